#include "core/OwnerWatch.h"

namespace comfreydeck::core {

bool isLost(const OwnerSight &Sight, const OwnerWatchBounds &Bounds,
            TimePoint Now) {
  if (Sight.Failures >= Bounds.SuspectAfter)
    return true;
  if (Sight.IsMember)
    return false;
  if (Sight.WasMember)
    return true;
  return Sight.UnknownSince && Now >= *Sight.UnknownSince + Bounds.UnknownGrace;
}

} // namespace comfreydeck::core
