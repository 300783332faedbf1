#ifndef COMFREYDECK_DISPATCH_CLOCK_H
#define COMFREYDECK_DISPATCH_CLOCK_H

#include "core/Types.h"

namespace comfreydeck::dispatch {

/// Time since boot, including time spent suspended, unlike the steady clock.
/// Leases are measured on it. Thread-safe.
core::TimePoint bootNow();

/// Wall-clock time in Unix milliseconds; used only for due times. Thread-safe.
std::int64_t wallMs();

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_CLOCK_H
