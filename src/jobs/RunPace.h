#ifndef COMFREYDECK_JOBS_RUNPACE_H
#define COMFREYDECK_JOBS_RUNPACE_H

#include "core/Types.h"

#include <cstdint>
#include <optional>

/// Progress rate of a run, estimated from its worker's reports.
namespace comfreydeck::jobs {

/// Progress in the first and the latest report that listed the run, if any has.
struct RunPace {
  std::optional<core::TimePoint> FirstAt;
  std::uint32_t FirstPercent = 0;
  core::TimePoint LastAt;
  std::uint32_t LastPercent = 0;
};

/// Adds a report. Thread-safe for different \p Pace objects.
void recordProgress(RunPace &Pace, std::uint32_t Percent, core::TimePoint At);

/// Whether the run's remaining time far exceeds \p Expected, the run time of a
/// new run elsewhere. False while the observation is too short. Thread-safe.
bool isStraggling(const RunPace &Pace, core::Duration Expected);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_RUNPACE_H
