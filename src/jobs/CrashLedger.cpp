#include "jobs/CrashLedger.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// Whether it is still open if an incarnation that has ended had the run.
/// Orders name the worker only, so that \p NextBorn, if it is the same worker,
/// may have accepted the start: its report tells.
bool isOpen(StartSign Sign, std::int64_t NextBorn) {
  return Sign == StartSign::Sent ||
         (Sign == StartSign::Accepted && NextBorn != 0);
}

} // namespace

const char *nameOf(StartSign Sign) {
  switch (Sign) {
  case StartSign::Inherited:
    return "inherited";
  case StartSign::Sent:
    return "sent";
  case StartSign::Unclear:
    return "unclear";
  case StartSign::Accepted:
    return "accepted";
  case StartSign::Listed:
    return "listed";
  }
  return "";
}

void CrashLedger::add(const std::string &Worker, std::int64_t Born,
                      std::vector<SuspectRun> Runs, core::TimePoint Since) {
  for (SuspectRun &Run : Runs)
    if (!contains(Run))
      Lost_[Worker].push_back({std::move(Run), Born, Since, false, 0});
}

std::vector<LostRun>
CrashLedger::takeEnded(const std::string &Worker,
                       const std::deque<std::int64_t> &Borns,
                       std::int64_t NextBorn) {
  return takeAnswered(Worker, NextBorn, [&Borns](std::int64_t Lost) {
    return std::find(Borns.begin(), Borns.end(), Lost) != Borns.end();
  });
}

std::vector<LostRun> CrashLedger::takeOthers(const std::string &Worker,
                                             std::int64_t Born,
                                             std::int64_t NextBorn) {
  return takeAnswered(Worker, NextBorn,
                      [Born](std::int64_t Lost) { return Lost != Born; });
}

std::vector<LostRun>
CrashLedger::takeAnswered(const std::string &Worker, std::int64_t NextBorn,
                          const std::function<bool(std::int64_t)> &HasEnded) {
  auto At = Lost_.find(Worker);
  if (At != Lost_.end())
    for (LostRun &Lost : At->second)
      if (!Lost.Ended && HasEnded(Lost.Born) &&
          isOpen(Lost.Run.Sign, NextBorn)) {
        Lost.Ended = true;
        Lost.NextBorn = NextBorn;
      }
  return takeIf(Worker, [&](const LostRun &Lost) {
    return !Lost.Ended && HasEnded(Lost.Born);
  });
}

std::vector<LostRun>
CrashLedger::takeIf(const std::string &Worker,
                    const std::function<bool(const LostRun &)> &Is) {
  std::vector<LostRun> Taken;
  auto At = Lost_.find(Worker);
  if (At == Lost_.end())
    return Taken;
  std::erase_if(At->second, [&](const LostRun &Lost) {
    if (!Is(Lost))
      return false;
    Taken.push_back(Lost);
    return true;
  });
  if (At->second.empty())
    Lost_.erase(At);
  return Taken;
}

LostRun *CrashLedger::find(const std::string &Worker, const SuspectRun &Run) {
  auto At = Lost_.find(Worker);
  if (At == Lost_.end())
    return nullptr;
  auto It =
      std::find_if(At->second.begin(), At->second.end(),
                   [&Run](const LostRun &Lost) { return Lost.Run == Run; });
  return It == At->second.end() ? nullptr : &*It;
}

void CrashLedger::expire(core::TimePoint Now) {
  for (auto &[Worker, Runs] : Lost_)
    std::erase_if(
        Runs, [&](const LostRun &Lost) { return Now - Lost.Since > KeepFor; });
  std::erase_if(Lost_, [](const auto &Item) { return Item.second.empty(); });
}

void CrashLedger::dropUnknown(
    const std::function<bool(const std::string &)> &IsKnown) {
  std::erase_if(Lost_, [&](const auto &Item) { return !IsKnown(Item.first); });
}

void CrashLedger::forEach(
    core::TimePoint Now,
    const std::function<void(const SuspectRun &, core::Duration)> &Do) const {
  for (const auto &[Worker, Runs] : Lost_)
    for (const LostRun &Lost : Runs)
      Do(Lost.Run, Now - Lost.Since);
}

std::optional<core::TimePoint> CrashLedger::latestOf(const std::string &JobId,
                                                     std::uint32_t Task) const {
  std::optional<core::TimePoint> Latest;
  for (const auto &[Worker, Runs] : Lost_)
    for (const LostRun &Lost : Runs)
      if (Lost.Run.Task == Task && Lost.Run.JobId == JobId)
        Latest = std::max(Latest.value_or(Lost.Since), Lost.Since);
  return Latest;
}

void CrashLedger::collect(const std::string &JobId, std::uint32_t Task,
                          std::set<RunId> &Runs) const {
  for (const auto &[Worker, Lost] : Lost_)
    for (const LostRun &One : Lost)
      if (One.Run.Task == Task && One.Run.JobId == JobId)
        Runs.insert(One.Run.Run);
}

bool CrashLedger::contains(const SuspectRun &Run) const {
  return std::any_of(Lost_.begin(), Lost_.end(), [&](const auto &Item) {
    return std::any_of(Item.second.begin(), Item.second.end(),
                       [&](const LostRun &Lost) { return Lost.Run == Run; });
  });
}

} // namespace comfreydeck::jobs
