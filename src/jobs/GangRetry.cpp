#include "jobs/GangRetry.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// The pause after the second try that ended for a missing member; each further
/// one doubles it. The first retry doesn't wait.
constexpr std::chrono::milliseconds FirstPause(500);
/// Lasting members must run again within 9 s, a try and its stops included.
constexpr std::chrono::milliseconds LongestPause(3000);

core::Duration pauseAfter(std::uint32_t Tries) {
  if (Tries <= 1)
    return core::Duration::zero();
  core::Duration Pause = FirstPause;
  for (std::uint32_t N = 2; N < Tries && Pause < LongestPause; ++N)
    Pause *= 2;
  return std::min<core::Duration>(Pause, LongestPause);
}

} // namespace

void endGangTry(std::span<TaskState> Members, core::TimePoint Now) {
  std::size_t Begun = 0;
  for (const TaskState &Member : Members) {
    if (!Member.Runs.empty())
      return;
    Begun += Member.HasBegun ? 1 : 0;
  }
  // Nothing ran in vain.
  if (Begun == 0)
    return;
  bool IsFull = Begun == Members.size();
  std::uint32_t &Tries = Members.front().VainTries;
  Tries = IsFull ? 0 : Tries + 1;
  for (TaskState &Member : Members)
    Member.NotBefore = Now + pauseAfter(Tries);
}

bool gotNoStartOn(std::span<const TaskState> Members,
                  const std::string &Worker) {
  return Members.front().VainTries > 0 &&
         std::any_of(Members.begin(), Members.end(),
                     [&](const TaskState &Member) {
                       return Member.NoStartOn == Worker;
                     });
}

} // namespace comfreydeck::jobs
