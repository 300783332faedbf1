#include "dispatch/Clock.h"

#include "net/Loop.h"

namespace comfreydeck::dispatch {

core::TimePoint bootNow() { return net::bootNow(); }

core::Duration ownTimeOfDay() {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(ownTimeOfDay())
      .count();
}

} // namespace comfreydeck::dispatch
