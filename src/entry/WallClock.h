#ifndef COMFREYDECK_ENTRY_WALLCLOCK_H
#define COMFREYDECK_ENTRY_WALLCLOCK_H

#include <chrono>
#include <cstdint>

namespace comfreydeck::entry {

/// Returns the wall clock time in milliseconds since the Unix epoch. For rows
/// that other entries read, where a skew of seconds is harmless. Thread-safe.
inline std::int64_t wallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_WALLCLOCK_H
