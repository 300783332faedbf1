#ifndef COMFREYDECK_JOBS_RUNPACE_H
#define COMFREYDECK_JOBS_RUNPACE_H

#include "core/Types.h"

#include <cstdint>

/// How fast a run gets on, by the reports of its worker.
namespace comfreydeck::jobs {

/// The first and the last report that showed the run.
struct RunPace {
  core::TimePoint FirstAt;
  std::uint32_t FirstPercent = 0;
  core::TimePoint LastAt;
  std::uint32_t LastPercent = 0;
};

/// Takes another report into the pace. Thread-safe over different paces.
void noteProgress(RunPace &Pace, std::uint32_t Percent, core::TimePoint At);

/// Whether a run with that pace will surely need far longer than a new one
/// elsewhere, which would take \p Expected. False while there is too little to
/// tell by. Thread-safe.
bool isStraggling(const RunPace &Pace, core::Duration Expected);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_RUNPACE_H
