#ifndef COMFREYDECK_JOBS_POOLTIMES_P_H
#define COMFREYDECK_JOBS_POOLTIMES_P_H

#include "core/Types.h"

#include <cstdint>

namespace comfreydeck::jobs {

/// A lasting task whose report shows that is at work.
inline constexpr std::uint32_t AtWorkPercent = 100;

/// Whole milliseconds, as workers' clocks count. Thread-safe.
inline std::int64_t toMs(core::Duration D) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(D).count();
}

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_POOLTIMES_P_H
