#ifndef COMFREYDECK_ENTRY_POOLSERVICE_H
#define COMFREYDECK_ENTRY_POOLSERVICE_H

#include "core/PoolOwner.h"
#include "entry/ConfigStore.h"
#include "entry/Fleet.h"
#include "entry/Membership.h"

#include <map>

namespace comfreydeck::entry {

/// What came of asking for a slot.
struct AcquireResult {
  /// None where a slot was granted.
  core::Reason Refused = core::Reason::None;
  core::WorkerId Worker;
  std::string WorkerAddress;
  /// The start must be sent before this.
  core::TimePoint SendBy;
  /// The worker refuses the start after this, in its own clock.
  std::uint64_t NotAfterWorkerMs = 0;
};

/// How a granted or waiting demand ended.
enum class Ending : std::uint8_t { NeverStarted, Ended, Unknown };

/// What the pool's owner learns when a demand ends.
struct DemandEnd {
  Ending How = Ending::NeverStarted;
  /// How long the target took; zero where it never started.
  core::Duration Ran{0};
  /// Whether the target failed the task rather than answered it.
  bool TargetFailed = false;
};

/// Who owns which pool, and the pools that this entry owns.
class PoolService {
public:
  /// The parts must outlive the service.
  PoolService(const Context &C, Membership &Members, ConfigStore &Config,
              Fleet &Workers);

  /// Takes and gives up pools from now on. Call once, on the control thread.
  void start();

  /// Looks at owners again after a change of members, configuration or
  /// workers. On the control thread.
  void refresh();

  /// Asks the pool's owner, here or elsewhere, for a slot; \p Done comes on
  /// the control thread. On the control thread.
  void acquire(core::PoolId Pool, core::Demand D,
               std::function<void(AcquireResult)> Done);

  /// Tells the pool's owner how a demand ended. On the control thread.
  void release(core::PoolId Pool, core::DemandId Id, const DemandEnd &End);

  /// The same for the other entries' calls. On the control thread.
  void serveAcquire(const cluster::wire::AcquireRequest &Request,
                    std::function<void(cluster::wire::AcquireReply)> Respond);
  cluster::wire::ReleaseReply
  serveRelease(const cluster::wire::ReleaseRequest &Request);

  /// The pool's owner as last read; nothing where there is none. On the control
  /// thread.
  const Member *ownerOf(core::PoolId Pool) const;

  /// Whether this entry owns the pool. On the control thread.
  bool isOwner(core::PoolId Pool) const { return Owned_.contains(Pool); }

  /// Tasks that count as running on a worker of an owned pool. On the control
  /// thread.
  std::uint32_t runningOn(core::WorkerId Worker) const;

  /// The pools owned here. On the control thread.
  std::vector<core::PoolId> owned() const;

private:
  struct OwnedPool {
    core::PoolOwner Owner;
    std::map<core::DemandId, std::function<void(AcquireResult)>> Waiting;
  };

  struct KnownOwner {
    core::Incarnation Id;
    core::Epoch Term;
    std::uint64_t RowVersion = 0;
  };

  void poll();
  void onScan(const platform::ScanResult &Result);
  void consider(const core::Pool &P);
  void take(core::PoolId Pool, core::Epoch Term, std::uint64_t RowVersion);
  void own(core::PoolId Pool, core::Epoch Term);
  void update(OwnedPool &Owned);
  void pump(OwnedPool &Owned);
  void acquireHere(OwnedPool &Owned, core::Demand D,
                   std::function<void(AcquireResult)> Done);
  void acquireThere(const Member &Owner, core::PoolId Pool,
                    const core::Demand &D,
                    std::function<void(AcquireResult)> Done);
  AcquireResult resultOf(const core::Grant &G) const;
  /// Answers a demand that does not wait any more.
  static void refuseWaiting(OwnedPool &Owned, core::DemandId Id,
                            core::Reason Why);

  Context Context_;
  Membership &Members_;
  ConfigStore &Config_;
  Fleet &Workers_;
  std::map<core::PoolId, KnownOwner> Owners_;
  std::map<core::PoolId, OwnedPool> Owned_;
  bool Polling_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_POOLSERVICE_H
