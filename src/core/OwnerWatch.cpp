#include "core/OwnerWatch.h"

namespace comfreydeck::core {

bool isLost(const OwnerObservation &Observed, const OwnerWatchBounds &Bounds,
            TimePoint Now) {
  if (Observed.Failures >= Bounds.SuspectAfter)
    return true;
  if (Observed.IsMember)
    return false;
  if (Observed.WasMember)
    return true;
  return Observed.UnknownSince &&
         Now >= *Observed.UnknownSince + Bounds.UnknownGrace;
}

} // namespace comfreydeck::core
