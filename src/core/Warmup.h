#ifndef COMFREYDECK_CORE_WARMUP_H
#define COMFREYDECK_CORE_WARMUP_H

#include "core/Types.h"

/// Gradual return of an instance to service.
namespace comfreydeck::core {

/// Slots that a worker may use \p SinceMs after its return: one at first, then
/// linearly more, up to all of \p Slots after \p WarmUpMs. Thread-safe.
std::uint32_t warmSlots(std::uint32_t Slots, std::int64_t SinceMs,
                        std::int64_t WarmUpMs);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_WARMUP_H
