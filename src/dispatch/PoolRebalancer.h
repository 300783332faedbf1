#ifndef COMFREYDECK_DISPATCH_POOLREBALANCER_H
#define COMFREYDECK_DISPATCH_POOLREBALANCER_H

#include "dispatch/MachineCache.h"
#include "dispatch/Peers.h"
#include "jobs/PoolSizes.h"

namespace comfreydeck::dispatch {

/// Moves machines to the pools that need them, at the entry that owns the
/// fleet. Runs on the loop's thread.
class PoolRebalancer {
public:
  PoolRebalancer(Context &Ctx, FleetView &View, Peers &PeerCalls,
                 MachineCache &Cache);

  /// Requests the pools' loads and orders the resulting moves.
  void tick(std::uint64_t Token);
  /// Forgets all moves in progress; call when the token changed.
  void reset();
  /// Whether a maintenance wave is using the machine.
  using MaintenanceCheck = std::function<bool(const std::string &)>;
  void setMaintenanceCheck(MaintenanceCheck InMaintenance) {
    InMaintenance_ = std::move(InMaintenance);
  }

private:
  /// A machine that is moving to a pool.
  struct PendingMove {
    std::string To;
    core::TimePoint OrderedAt;
  };

  void askLoads();
  void plan();
  std::vector<jobs::PoolLoad> describe();
  void begin(const jobs::MachineMove &Move);
  void sendOrder(const jobs::MachineMove &Move);
  void onMoveEnded(const jobs::MachineMove &Move, const std::string &Worker,
                   MachineOrderOutcome Outcome);
  void dropFinishedMoves();

  Context &Ctx_;
  FleetView &View_;
  Peers &Peers_;
  MachineCache &Cache_;
  MaintenanceCheck InMaintenance_;
  std::uint64_t Token_ = 0;
  std::map<std::string, OwnerLoad> Loads_;
  std::map<std::string, core::TimePoint> SurplusSince_;
  std::map<std::string, PendingMove> PendingMoves_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_POOLREBALANCER_H
