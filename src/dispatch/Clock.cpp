#include "dispatch/Clock.h"

#include "net/Loop.h"

namespace comfreydeck::dispatch {

core::TimePoint bootNow() { return net::bootNow(); }

std::int64_t wallMs() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

} // namespace comfreydeck::dispatch
