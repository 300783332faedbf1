#ifndef COMFREYDECK_CORE_OWNERSHIP_H
#define COMFREYDECK_CORE_OWNERSHIP_H

#include "core/Types.h"

#include <span>

/// Which entry should own a pool.
namespace comfreydeck::core {

/// Spreads pools evenly over \p Members, and moves few of them when a member
/// comes or goes; an invalid incarnation where there is no member.
/// Thread-safe.
Incarnation preferredOwner(PoolId Pool, std::span<const Incarnation> Members);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_OWNERSHIP_H
