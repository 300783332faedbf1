#ifndef COMFREYDECK_DISPATCH_POOLMOVES_H
#define COMFREYDECK_DISPATCH_POOLMOVES_H

#include "dispatch/MachineBook.h"
#include "dispatch/Peers.h"
#include "jobs/PoolSizes.h"

namespace comfreydeck::dispatch {

/// Moves machines to the pools that need them, at the entry that owns the
/// fleet. Runs on the loop's thread.
class PoolMoves {
public:
  PoolMoves(Context &Ctx, FleetView &View, Peers &Calls, MachineBook &Book);

  /// Requests the pools' loads and orders the resulting moves.
  void turn(std::uint64_t Token);
  /// Forgets all moves in progress; call when the token changed.
  void reset();
  /// Whether a maintenance wave is using the machine.
  using IsTaken = std::function<bool(const std::string &)>;
  void setTaken(IsTaken Taken) { Taken_ = std::move(Taken); }

private:
  /// A machine that is moving to a pool.
  struct Going {
    std::string To;
    core::TimePoint OrderedAt;
  };

  void askLoads();
  void plan();
  std::vector<jobs::PoolLoad> describe();
  void begin(const jobs::MachineMove &Move);
  void order(const jobs::MachineMove &Move);
  void ended(const jobs::MachineMove &Move, const std::string &Worker,
             DutyOutcome Outcome);
  void forgetArrived();

  Context &Ctx_;
  FleetView &View_;
  Peers &Calls_;
  MachineBook &Book_;
  IsTaken Taken_;
  std::uint64_t Token_ = 0;
  std::map<std::string, OwnerLoad> Loads_;
  std::map<std::string, core::TimePoint> SurplusSince_;
  std::map<std::string, Going> Going_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_POOLMOVES_H
