#ifndef COMFREYDECK_CORE_OWNERSHIP_H
#define COMFREYDECK_CORE_OWNERSHIP_H

#include "core/Types.h"

#include <span>

/// Which entry should own a pool.
namespace comfreydeck::core {

/// Chooses the owner of \p Pool by rendezvous hashing, which spreads the pools
/// evenly over \p Members and moves few of them when a member joins or leaves.
/// Returns an invalid incarnation if there are no members. Thread-safe.
Incarnation preferredOwner(PoolId Pool, std::span<const Incarnation> Members);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_OWNERSHIP_H
