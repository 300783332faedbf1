#include "dispatch/Clock.h"

#include <ctime>

namespace comfreydeck::dispatch {

core::TimePoint bootNow() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return core::TimePoint(std::chrono::seconds(Time.tv_sec) +
                         std::chrono::duration_cast<core::Duration>(
                             std::chrono::nanoseconds(Time.tv_nsec)));
}

std::int64_t wallMs() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

} // namespace comfreydeck::dispatch
