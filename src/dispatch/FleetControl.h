#ifndef COMFREYDECK_DISPATCH_FLEETCONTROL_H
#define COMFREYDECK_DISPATCH_FLEETCONTROL_H

#include "dispatch/OrderedEnds.h"
#include "dispatch/PoolRebalancer.h"
#include "jobs/WavePlan.h"

#include <optional>

namespace comfreydeck::dispatch {

/// Runs maintenance waves and moves machines between pools, at the entry that
/// owns the fleet. Runs on the loop's thread.
class FleetControl {
public:
  FleetControl(Context &Ctx, FleetView &View, Ownership &Owners,
               Peers &PeerCalls);

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
    /// Its maintenance has begun.
    bool Done = false;
    /// When this owner learned of that.
    core::TimePoint DoneAt;
    std::optional<core::TimePoint> OrderedAt;
  };
  struct WaveProgress {
    bool Loaded = false;
    bool Loading = false;
    bool Published = false;
    bool Completed = false;
    core::TimePoint SeenAt;
    std::map<std::string, MachineProgress> Machines;
  };

  void tick();
  bool mayOrder() const;
  void reset(std::uint64_t Token);
  void loadProgress(const std::string &Wave);
  void advance(const WaveRequest &Wave, WaveProgress &Status);
  std::vector<jobs::WaveMachine> describe(const WaveRequest &Wave,
                                          const WaveProgress &Status) const;
  void close(const std::vector<jobs::WaveMachine> &Machines,
             WaveProgress &Status);
  void maintain(const std::string &Wave, const std::string &Machine);
  void onMaintainEnded(const std::string &Wave, const std::string &Machine,
                       MachineOrderOutcome Outcome);
  void noteBegun(const WaveRequest &Wave, WaveProgress &Status);
  bool isInOtherWave(const std::string &Wave, const std::string &Machine) const;
  void reopen(WaveProgress &Status);
  void storeProgress(const std::string &Wave);
  void publishStatus(const std::string &Wave, bool Completed);
  bool isInMaintenance(const std::string &Machine) const;

  Context &Ctx_;
  FleetView &View_;
  Ownership &Owners_;
  Peers &Peers_;
  std::uint64_t Token_ = 0;
  core::TimePoint OrdersFrom_;
  std::map<std::string, WaveProgress> Waves_;
  MachineCache Cache_;
  OrderedEnds Ends_;
  PoolRebalancer Rebalancer_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_FLEETCONTROL_H
