#ifndef COMFREYDECK_DISPATCH_TEAMROOMS_H
#define COMFREYDECK_DISPATCH_TEAMROOMS_H

#include "dispatch/Ownership.h"

namespace comfreydeck::dispatch {

/// Keeps the parts of the teams' upper limits that the pools owned here need.
/// On the loop's thread.
class TeamRooms {
public:
  TeamRooms(Context &Ctx, FleetView &View, Ownership &Owners);

  void start();
  /// Tells each owned pool what its teams may have running.
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
