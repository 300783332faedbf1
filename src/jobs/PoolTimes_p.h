#ifndef COMFREYDECK_JOBS_POOLTIMES_P_H
#define COMFREYDECK_JOBS_POOLTIMES_P_H

#include "core/Types.h"

#include <cstdint>

namespace comfreydeck::jobs {

/// Progress that a lasting task reports once it has started up.
inline constexpr std::uint32_t ReadyPercent = 100;

/// Whole milliseconds, the unit of workers' clocks. Thread-safe.
inline std::int64_t toMs(core::Duration D) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(D).count();
}

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_POOLTIMES_P_H
