#ifndef COMFREYDECK_ENTRY_OWNEDPOOL_H
#define COMFREYDECK_ENTRY_OWNEDPOOL_H

#include "core/PoolOwner.h"
#include "entry/Fleet.h"

#include <functional>
#include <map>

namespace comfreydeck::entry {

/// The answer to a request for a slot.
struct AcquireResult {
  /// None if a slot was granted.
  core::Reason Refused = core::Reason::None;
  core::WorkerId Worker;
  std::string WorkerAddress;
  /// The start must be sent before this time.
  core::TimePoint SendBy;
  /// The worker refuses the start after this time of its own clock.
  std::uint64_t NotAfterWorkerMs = 0;
};

using AcquireCallback = std::function<void(AcquireResult)>;

/// How a granted or waiting demand ended.
enum class DemandOutcome : std::uint8_t { NeverStarted, Ended, Unknown };

/// What the pool's owner is told when a demand ends.
struct DemandEnd {
  DemandOutcome Outcome = DemandOutcome::NeverStarted;
  /// How long the target ran; zero if the task never started.
  core::Duration Ran{0};
  /// Whether the target failed rather than answered the task.
  bool TargetFailed = false;
};

/// One pool that this entry owns: its queue, the callers that wait, and the
/// running tasks as confirmed by the workers. Control thread only.
class OwnedPool {
public:
  /// \p Workers must outlive the pool.
  OwnedPool(core::PoolId Pool, core::Epoch Term, const Fleet &Workers);
  /// Refuses all waiting callers with \ref core::Reason::NoOwner, so that they
  /// retry.
  ~OwnedPool();

  OwnedPool(const OwnedPool &) = delete;
  OwnedPool &operator=(const OwnedPool &) = delete;

  /// Queues a demand. A demand that is already queued keeps its place and
  /// answers the latest caller; one already granted gets the same grant.
  void acquire(const core::Demand &D, AcquireCallback Done);

  /// Records how a demand ended. After an unknown end the slot stays occupied
  /// until the worker confirms that the task no longer runs.
  void release(core::DemandId Id, const DemandEnd &End);

  /// Grants free slots to queued demands; no grant outlives \p LeaseEnd.
  void decide(core::TimePoint LeaseEnd);

  /// Suspends grants until each worker has reported its running tasks in an
  /// answer to a request sent after this call. Workers that don't answer count
  /// as full.
  void rebuild();

  /// Adopts the state handed over by the previous owner; ends a rebuild.
  void adoptHandOver(std::span<const core::Demand> Waiting,
                     std::span<const core::RunningTask> Running);

  /// Reconciles the running tasks with the workers' latest reports.
  void reconcile(const core::Configuration &C);

  /// Drops the waiting demands of entries that are gone.
  void dropDemandsOf(const std::function<bool(core::Incarnation)> &IsGone);

  const core::PoolOwner &state() const { return Owner_; }
  core::PoolOwner &state() { return Owner_; }
  bool isRebuilding() const { return Rebuilding_; }

private:
  /// A grant as it was sent.
  struct Granted {
    AcquireResult Result;
    /// Whether the worker has listed the task.
    bool Listed = false;
  };

  AcquireResult resultOf(const core::Grant &G) const;
  AcquireResult renewGrant(core::DemandId Id, core::TimePoint LeaseEnd);
  void answer(core::DemandId Id, const AcquireResult &Result);
  void end(core::DemandId Id, core::Duration Ran);
  void adoptListed(core::WorkerId Worker, const WorkerReport &Status,
                   const core::Configuration &C);
  void endUnlisted(core::WorkerId Worker, const WorkerReport &Status);
  bool hasEnded(const core::RunningTask &Task,
                const WorkerReport &Status) const;
  void updateUnknownSlots();
  void pruneEnded();

  const Fleet &Workers_;
  core::PoolOwner Owner_;
  std::map<core::DemandId, AcquireCallback> Waiting_;
  std::map<core::DemandId, Granted> Granted_;
  /// Recently ended, so that a stale worker report does not adopt them again.
  std::map<core::DemandId, core::TimePoint> EndedAt_;
  std::map<core::WorkerId, core::TimePoint> ReconciledAt_;
  core::TimePoint LeaseEnd_;
  core::TimePoint RebuildSince_;
  bool Rebuilding_ = false;
  /// Whether workers that don't answer count as full.
  bool CountSilentAsFull_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_OWNEDPOOL_H
