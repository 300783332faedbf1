#ifndef COMFREYDECK_CORE_FAIRCLOCK_H
#define COMFREYDECK_CORE_FAIRCLOCK_H

#include "core/Types.h"

#include <deque>

/// Virtual time for weighted fair queueing with a bounded credit.
namespace comfreydeck::core {

/// The virtual time at one point in time.
struct VirtualSample {
  TimePoint At;
  double Virtual = 0;
};

/// Start-time fair queueing that bounds the credit of a returning flow: its
/// virtual time is at least the one of one \ref CreditWindow ago. With a window
/// of zero it is plain start-time fair queueing: a flow keeps no credit from an
/// idle period.
struct FairClock {
  /// Length of the period over which an idle flow keeps its credit.
  Duration CreditWindow = std::chrono::seconds(60);
  double Virtual = 0;
  /// By time, the oldest first; at most SamplesPerWindow within the credit
  /// window.
  std::deque<VirtualSample> Samples;
};

/// Advances the virtual time to the virtual start time of a grant. \p Now must
/// not decrease between calls.
void advance(FairClock &Clock, double Start, TimePoint Now);

/// The minimum virtual time of a flow that returns at \p Now.
double minReturnTime(const FairClock &Clock, TimePoint Now);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_FAIRCLOCK_H
