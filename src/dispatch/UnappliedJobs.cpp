#include "dispatch/UnappliedJobs.h"

#include <numeric>

namespace comfreydeck::dispatch {

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
  Job &Failed = Jobs_.try_emplace(JobId, Job{Reason, Now, 0, ""}).first->second;
  Failed.Reason = Reason;
  Failed.Error = Error;
  ++Failed.Tries;
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
