#ifndef COMFREYDECK_DISPATCH_STRAYJOBS_H
#define COMFREYDECK_DISPATCH_STRAYJOBS_H

#include "dispatch/Ownership.h"

namespace comfreydeck::dispatch {

/// Has each owned pool's row name the queues of jobs that wait there though the
/// configuration sends their queues elsewhere, so that all entries count them.
/// Runs on the loop's thread.
class StrayJobs {
public:
  StrayJobs(Context &Ctx, FleetView &View, Ownership &Owners)
      : Ctx_(Ctx), View_(View), Owners_(Owners) {}

  void start() { tick(); }

private:
  void tick();
  void write(const PoolController &Controller, StrayQueues Stray);

  Context &Ctx_;
  FleetView &View_;
  Ownership &Owners_;
  /// Pools whose rows are being written.
  std::set<std::string> Writing_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_STRAYJOBS_H
