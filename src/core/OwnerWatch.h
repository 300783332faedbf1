#ifndef COMFREYDECK_CORE_OWNERWATCH_H
#define COMFREYDECK_CORE_OWNERWATCH_H

#include "core/Types.h"

#include <optional>

/// Detection of lost pool owners.
namespace comfreydeck::core {

/// What is known about an entry that owns a pool.
struct OwnerObservation {
  /// Whether the list of members as last read includes it.
  bool IsMember = false;
  /// Whether any earlier list of members included it.
  bool WasMember = false;
  /// Consecutive calls that it did not answer.
  std::uint32_t Failures = 0;
  /// Since when it has been named as an owner without being a member.
  std::optional<TimePoint> UnknownSince;
};

/// Thresholds for considering an owner lost.
struct OwnerWatchBounds {
  /// Consecutive unanswered calls after which an owner is considered lost.
  std::uint32_t SuspectAfter = 3;
  /// How long an owner may be missing from the members: an entry may own a pool
  /// before a list of members that includes it is read.
  Duration UnknownGrace = std::chrono::seconds(2);
};

/// Whether the entry is considered lost and should be fenced. Thread-safe.
bool isLost(const OwnerObservation &Observed, const OwnerWatchBounds &Bounds,
            TimePoint Now);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_OWNERWATCH_H
