#ifndef COMFREYDECK_DISPATCH_FLEETDUTY_H
#define COMFREYDECK_DISPATCH_FLEETDUTY_H

#include "dispatch/PoolMoves.h"
#include "jobs/WavePlan.h"

namespace comfreydeck::dispatch {

/// Runs maintenance waves and moves machines between pools, at the entry that
/// owns the fleet. Runs on the loop's thread.
class FleetDuty {
public:
  FleetDuty(Context &Ctx, FleetView &View, Ownership &Owners, Peers &Calls);

  void start();

private:
  struct MachineProgress {
    core::TimePoint ClosingSince;
    bool Closing = false;
    /// The worker that its pool's owner reported empty, and when.
    std::string ClearWorker;
    core::TimePoint ClearAt;
    /// Token of the owner that reported it; another owner may have started
    /// tasks since.
    std::uint64_t ClearToken = 0;
    bool InFlight = false;
    bool Done = false;
    core::TimePoint OrderedAt;
  };
  struct WaveProgress {
    bool Loaded = false;
    bool Loading = false;
    bool Announced = false;
    bool Completed = false;
    core::TimePoint SeenAt;
    std::map<std::string, MachineProgress> Machines;
  };

  void turn();
  bool mayOrder() const;
  void reset(std::uint64_t Token);
  void load(const std::string &Wave);
  void advance(const WaveRequest &Wave, WaveProgress &So);
  std::vector<jobs::WaveMachine> describe(const WaveRequest &Wave,
                                          const WaveProgress &So) const;
  void close(const std::vector<jobs::WaveMachine> &Machines, WaveProgress &So);
  void maintain(const std::string &Wave, const std::string &Machine);
  void ended(const std::string &Wave, const std::string &Machine,
             DutyOutcome Outcome);
  void keep(const std::string &Wave);
  void announce(const std::string &Wave, bool Completed);
  bool isInHand(const std::string &Machine) const;

  Context &Ctx_;
  FleetView &View_;
  Ownership &Owners_;
  Peers &Calls_;
  std::uint64_t Token_ = 0;
  core::TimePoint OrderFrom_;
  std::map<std::string, WaveProgress> Waves_;
  MachineBook Book_;
  PoolMoves Moves_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_FLEETDUTY_H
