#ifndef COMFREYDECK_CORE_OWNERWATCH_H
#define COMFREYDECK_CORE_OWNERWATCH_H

#include "core/Types.h"

#include <optional>

/// Whether another entry is to be taken for lost.
namespace comfreydeck::core {

/// What is known of an entry that owns a pool.
struct OwnerSight {
  /// Whether the members as last read include it.
  bool IsMember = false;
  /// Whether they ever did.
  bool WasMember = false;
  /// Calls in a row that it did not answer.
  std::uint32_t Failures = 0;
  /// Since when it is named as an owner without being a member.
  std::optional<TimePoint> UnknownSince;
};

/// Bounds of the watch.
struct OwnerWatchBounds {
  std::uint32_t SuspectAfter = 3;
  /// An entry may own a pool before the members that include it are read.
  Duration UnknownGrace = std::chrono::seconds(2);
};

/// Whether the entry is lost, so that it should be fenced. Thread-safe.
bool isLost(const OwnerSight &Sight, const OwnerWatchBounds &Bounds,
            TimePoint Now);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_OWNERWATCH_H
