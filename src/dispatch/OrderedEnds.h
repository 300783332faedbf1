#ifndef COMFREYDECK_DISPATCH_ORDEREDENDS_H
#define COMFREYDECK_DISPATCH_ORDEREDENDS_H

#include "dispatch/MachineCache.h"
#include "dispatch/Peers.h"

namespace comfreydeck::dispatch {

/// Tells the owners of pools which workers have ended with their machines. The
/// answer to an order doesn't say so: the operation may have been done by an
/// earlier order, and the machine's next worker may be up since. Runs on the
/// loop's thread.
class OrderedEnds {
public:
  OrderedEnds(const FleetView &View, Peers &PeerCalls,
              const MachineCache &Cache)
      : View_(View), Peers_(PeerCalls), Cache_(Cache) {}

  /// Call when an order is given that ends the machine's worker, as far as the
  /// lists of machines and of workers show it.
  void expect(const std::string &Machine, core::TimePoint Now);
  /// Reports the workers that a list requested after the order shows to have
  /// ended.
  void report();
  /// Forgets all orders; call when another entry may have given some.
  void reset() { ByMachine_.clear(); }

private:
  struct ExpectedEnd {
    jobs::WorkerIncarnation Which;
    std::string Pool;
    core::TimePoint OrderedAt;
  };

  const FleetView &View_;
  Peers &Peers_;
  const MachineCache &Cache_;
  std::map<std::string, ExpectedEnd> ByMachine_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_ORDEREDENDS_H
