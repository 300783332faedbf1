#ifndef COMFREYDECK_DISPATCH_POOLREBALANCER_H
#define COMFREYDECK_DISPATCH_POOLREBALANCER_H

#include "dispatch/OrderedEnds.h"
#include "jobs/PoolSizes.h"

#include <span>

namespace comfreydeck::dispatch {

/// What the owner of the fleet knows beside pools and machines.
struct FleetChecks {
  /// Whether a maintenance wave is using the machine.
  std::function<bool(const std::string &Machine)> InMaintenance;
  /// Whether no other entry can be giving orders now.
  std::function<bool()> MayOrder;
};

/// Moves machines to the pools that need them, at the entry that owns the
/// fleet. Runs on the loop's thread.
class PoolRebalancer {
public:
  PoolRebalancer(Context &Ctx, FleetView &View, Peers &PeerCalls,
                 MachineCache &Cache, OrderedEnds &Ends, FleetChecks Checks);

  /// Requests the pools' loads and orders the resulting moves.
  void tick(std::uint64_t Token);
  /// Forgets all moves in progress; call when the token changed.
  void reset();
  /// Whether the machine was ordered to move, or is about to be.
  bool isMoving(const std::string &Machine) const {
    return PendingMoves_.count(Machine) != 0;
  }

private:
  /// A machine that is moving to a pool.
  struct PendingMove {
    std::string To;
    core::TimePoint OrderedAt;
  };
  /// A move and the worker that it ends; empty if there is none.
  struct WorkerMove {
    jobs::MachineMove Move;
    std::string Worker;
  };
  /// Moves out of one pool whose workers' releases are asked for.
  struct WantedMoves {
    std::string From;
    std::vector<WorkerMove> Moves;
    core::TimePoint Until;
    std::uint64_t Token = 0;
  };

  void askLoads();
  void plan();
  std::vector<jobs::PoolLoad> describe();
  void askReleases(const WantedMoves &Wanted);
  void onReleaseAnswer(const WantedMoves &Wanted, const CloseAnswer &Answer);
  void giveUp(const std::string &From, std::span<const WorkerMove> Moves);
  void sendOrder(const WorkerMove &Order);
  void onMoveEnded(const WorkerMove &Order, MachineOrderOutcome Outcome);
  void dropFinishedMoves();

  Context &Ctx_;
  FleetView &View_;
  Peers &Peers_;
  MachineCache &Cache_;
  OrderedEnds &Ends_;
  FleetChecks Checks_;
  std::uint64_t Token_ = 0;
  /// Number of the last request for releases.
  std::uint64_t LastRequest_ = 0;
  std::map<std::string, OwnerLoad> Loads_;
  std::map<std::string, core::TimePoint> SurplusSince_;
  std::map<std::string, PendingMove> PendingMoves_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_POOLREBALANCER_H
