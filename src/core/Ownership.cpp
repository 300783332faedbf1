#include "core/Ownership.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

/// Weight of a member for a pool in rendezvous hashing.
std::uint64_t weightOf(PoolId Pool, Incarnation Member) {
  std::uint64_t Mixed = Member.Value ^ (Pool.Value * 0x9E3779B97F4A7C15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
}

} // namespace

Incarnation preferredOwner(PoolId Pool, std::span<const Incarnation> Members) {
  auto LessWeight = [Pool](Incarnation A, Incarnation B) {
    return weightOf(Pool, A) < weightOf(Pool, B);
  };
  auto It = std::max_element(Members.begin(), Members.end(), LessWeight);
  return It == Members.end() ? Incarnation{} : *It;
}

} // namespace comfreydeck::core
