#ifndef COMFREYDECK_CORE_FAIRCLOCK_H
#define COMFREYDECK_CORE_FAIRCLOCK_H

#include "core/Types.h"

#include <deque>

/// Virtual time of a weighted fair order with a bounded memory.
namespace comfreydeck::core {

/// Where the virtual time stood at a moment.
struct VirtualSample {
  TimePoint At;
  double Virtual = 0;
};

/// Start-time fair queueing, where a flow that returns is placed no further
/// back than the virtual time stood one memory ago. A memory of zero is plain
/// start-time fair queueing: a flow keeps no credit over an idle time.
struct FairClock {
  Duration Memory = std::chrono::seconds(60);
  double Virtual = 0;
  /// By time, oldest first; no more than one for each step of the memory.
  std::deque<VirtualSample> Past;
};

/// Takes in the virtual start time of a grant. \p Now never runs backwards.
void advance(FairClock &Clock, double Start, TimePoint Now);

/// The least virtual time that a flow may return with.
double returnFloor(const FairClock &Clock, TimePoint Now);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_FAIRCLOCK_H
