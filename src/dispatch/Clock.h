#ifndef COMFREYDECK_DISPATCH_CLOCK_H
#define COMFREYDECK_DISPATCH_CLOCK_H

#include "core/Types.h"

namespace comfreydeck::dispatch {

/// Time since boot. Goes on while the machine is suspended, unlike the steady
/// clock: leases are measured on it. Thread-safe.
core::TimePoint bootNow();

/// Time of day in Unix milliseconds; for due times only. Thread-safe.
std::int64_t wallMs();

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_CLOCK_H
