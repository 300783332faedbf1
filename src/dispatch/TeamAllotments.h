#ifndef COMFREYDECK_DISPATCH_TEAMALLOTMENTS_H
#define COMFREYDECK_DISPATCH_TEAMALLOTMENTS_H

#include "dispatch/Ownership.h"

namespace comfreydeck::dispatch {

/// Adjusts the shares of the teams' upper limits to the needs of the pools
/// owned here. Runs on the loop's thread.
class TeamAllotments {
public:
  TeamAllotments(Context &Ctx, FleetView &View, Ownership &Owners);

  void start();
  /// Passes each owned pool the resources that its teams may use.
  void apply();

private:
  void tick();
  bool adjust(const jobs::Team &Team, const PoolController &Controller);

  Context &Ctx_;
  FleetView &View_;
  Ownership &Owners_;
  std::set<std::string> PendingWrites_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_TEAMALLOTMENTS_H
