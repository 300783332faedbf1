#ifndef COMFREYDECK_DISPATCH_CLOCK_H
#define COMFREYDECK_DISPATCH_CLOCK_H

#include "core/Types.h"

namespace comfreydeck::dispatch {

/// Time since boot, including time spent suspended, unlike the steady clock.
/// Leases are measured on it. Thread-safe.
core::TimePoint bootNow();

/// This machine's own time of day, in Unix time. May be wrong and may step;
/// decisions use \ref FleetClock. Thread-safe.
core::Duration ownTimeOfDay();

/// The same in milliseconds; for logs. Thread-safe.
std::int64_t wallMs();

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_CLOCK_H
