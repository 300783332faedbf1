#include "jobs/RunPace.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// Shorter observations are too coarse, since progress is in whole percent.
constexpr std::chrono::milliseconds MinWatch(500);
/// Run times within a queue vary by up to 2.5 times the mean; slower runs are
/// attributed to the worker.
constexpr double BehindFactor = 2.5;
/// Time to stop a run and restart it elsewhere.
constexpr std::chrono::milliseconds RestartCost(600);
constexpr std::uint32_t WholePercent = 100;

} // namespace

void noteProgress(RunPace &Pace, std::uint32_t Percent, core::TimePoint At) {
  if (Pace.FirstAt == core::TimePoint()) {
    Pace.FirstAt = At;
    Pace.FirstPercent = Percent;
  }
  Pace.LastAt = At;
  Pace.LastPercent = Percent;
}

bool isStraggling(const RunPace &Pace, core::Duration Expected) {
  core::Duration Watched = Pace.LastAt - Pace.FirstAt;
  if (Watched < MinWatch)
    return false;
  auto Bound = std::chrono::duration_cast<core::Duration>(
      Expected * BehindFactor + RestartCost);
  if (Pace.LastPercent <= Pace.FirstPercent)
    return Watched > std::max<core::Duration>(Expected, MinWatch);
  double PerPercent = static_cast<double>(Watched.count()) /
                      (Pace.LastPercent - Pace.FirstPercent);
  double Left =
      PerPercent * (WholePercent - std::min(Pace.LastPercent, WholePercent));
  return Left > static_cast<double>(Bound.count());
}

} // namespace comfreydeck::jobs
