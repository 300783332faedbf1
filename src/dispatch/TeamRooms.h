#ifndef COMFREYDECK_DISPATCH_TEAMROOMS_H
#define COMFREYDECK_DISPATCH_TEAMROOMS_H

#include "dispatch/Ownership.h"

namespace comfreydeck::dispatch {

/// Adjusts the shares of the teams' upper limits to the needs of the pools
/// owned here. Runs on the loop's thread.
class TeamRooms {
public:
  TeamRooms(Context &Ctx, FleetView &View, Ownership &Owners);

  void start();
  /// Passes each owned pool the resources that its teams may use.
  void apply();

private:
  void turn();
  void adjust(const jobs::Team &Team, const PoolKeeper &Keeper);

  Context &Ctx_;
  FleetView &View_;
  Ownership &Owners_;
  std::set<std::string> Writing_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_TEAMROOMS_H
