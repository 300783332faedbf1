#include "jobs/RunPace.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// Shorter observations are too coarse, since progress is in whole percent.
constexpr std::chrono::milliseconds MinObservation(500);
/// Run times within a queue vary by up to 2.5 times the mean; slower runs are
/// attributed to the worker.
constexpr double StragglerFactor = 2.5;
/// Time to stop a run and restart it elsewhere.
constexpr std::chrono::milliseconds RestartCost(600);
constexpr std::uint32_t WholePercent = 100;

} // namespace

void recordProgress(RunPace &Pace, std::uint32_t Percent, core::TimePoint At) {
  if (!Pace.FirstAt) {
    Pace.FirstAt = At;
    Pace.FirstPercent = Percent;
  }
  Pace.LastAt = At;
  Pace.LastPercent = Percent;
}

bool isStraggling(const RunPace &Pace, core::Duration Expected) {
  if (!Pace.FirstAt)
    return false;
  core::Duration Observed = Pace.LastAt - *Pace.FirstAt;
  if (Observed < MinObservation)
    return false;
  auto Bound = std::chrono::duration_cast<core::Duration>(
      Expected * StragglerFactor + RestartCost);
  if (Pace.LastPercent <= Pace.FirstPercent)
    return Observed > std::max<core::Duration>(Expected, MinObservation);
  double PerPercent = static_cast<double>(Observed.count()) /
                      (Pace.LastPercent - Pace.FirstPercent);
  double Left =
      PerPercent * (WholePercent - std::min(Pace.LastPercent, WholePercent));
  return Left > static_cast<double>(Bound.count());
}

} // namespace comfreydeck::jobs
