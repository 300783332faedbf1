#include "dispatch/UnappliedJobs.h"

#include <algorithm>
#include <numeric>

namespace comfreydeck::dispatch {

namespace {

/// Pause before a job is tried again; doubles up to the longer one.
constexpr std::chrono::milliseconds FirstPause(500);
constexpr std::chrono::milliseconds MaxPause(3000);

} // namespace

const char *nameOf(UnappliedReason Reason) {
  switch (Reason) {
  case UnappliedReason::JobRow:
    return "job-row";
  case UnappliedReason::ProgressRow:
    return "progress-row";
  case UnappliedReason::Failure:
    return "failure";
  }
  return "";
}

std::uint64_t UnappliedStats::count() const {
  return std::accumulate(Jobs.begin(), Jobs.end(), std::uint64_t{0});
}

void UnappliedJobs::add(const std::string &JobId, UnappliedReason Reason,
                        const std::string &Error, core::TimePoint Now) {
  Job &Failed = Jobs_.try_emplace(JobId, Job{}).first->second;
  if (Failed.Tries++ == 0)
    Failed.Since = Now;
  Failed.Reason = Reason;
  Failed.Error = Error;
  Failed.Pause =
      std::clamp<core::Duration>(Failed.Pause * 2, FirstPause, MaxPause);
  Failed.NextAt = Now + Failed.Pause;
}

std::vector<std::string> UnappliedJobs::takeDue(core::TimePoint Now,
                                                std::size_t Most) {
  std::vector<std::pair<core::TimePoint, std::string>> Due;
  for (const auto &[Id, Failed] : Jobs_)
    if (Failed.NextAt <= Now)
      Due.emplace_back(Failed.NextAt, Id);
  std::sort(Due.begin(), Due.end());
  Due.resize(std::min(Due.size(), Most));
  std::vector<std::string> Ids;
  for (auto &[At, Id] : Due) {
    Jobs_.at(Id).NextAt = core::TimePoint::max();
    Ids.push_back(std::move(Id));
  }
  return Ids;
}

void UnappliedJobs::postpone(const std::string &JobId, core::TimePoint Now) {
  auto At = Jobs_.find(JobId);
  if (At != Jobs_.end())
    At->second.NextAt = Now + At->second.Pause;
}

void UnappliedJobs::cancel(const std::string &JobId) {
  auto At = Jobs_.find(JobId);
  if (At != Jobs_.end())
    At->second.Cancelled = true;
}

bool UnappliedJobs::isCancelled(const std::string &JobId) const {
  auto At = Jobs_.find(JobId);
  return At != Jobs_.end() && At->second.Cancelled;
}

UnappliedStats UnappliedJobs::stats(core::TimePoint Now) const {
  UnappliedStats Stats;
  for (const auto &[Id, Failed] : Jobs_) {
    ++Stats.Jobs[static_cast<std::size_t>(Failed.Reason)];
    core::Duration Age = Now - Failed.Since;
    if (!Stats.Oldest || Age > Stats.Oldest->Age)
      Stats.Oldest = {Id, Failed.Reason, Age, Failed.Tries, Failed.Error};
  }
  return Stats;
}

} // namespace comfreydeck::dispatch
