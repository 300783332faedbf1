#ifndef COMFREYDECK_ENTRY_OWNEDPOOL_H
#define COMFREYDECK_ENTRY_OWNEDPOOL_H

#include "core/PoolOwner.h"
#include "entry/Fleet.h"

#include <functional>
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

using AcquireCallback = std::function<void(AcquireResult)>;

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

/// One pool that this entry owns: its queue, who waits for what, and what runs
/// as far as workers confirm it. Only on the control thread.
class OwnedPool {
public:
  /// \p Workers must outlive the pool.
  OwnedPool(core::PoolId Pool, core::Epoch Term, const Fleet &Workers);
  /// Refuses all who wait with \ref core::Reason::NoOwner, so that they ask
  /// again.
  ~OwnedPool();

  OwnedPool(const OwnedPool &) = delete;
  OwnedPool &operator=(const OwnedPool &) = delete;

  /// Queues a demand. One that waits already keeps its place and answers the
  /// latest caller; one that was granted gets the same grant.
  void acquire(const core::Demand &D, AcquireCallback Done);

  /// Takes in how a demand ended. An unknown end holds the slot until the
  /// worker confirms that nothing runs.
  void release(core::DemandId Id, const DemandEnd &End);

  /// Gives what may be given; each grant ends with \p LeaseEnd at the latest.
  void decide(core::TimePoint LeaseEnd);

  /// Holds back every grant until each worker has told what it runs, in an
  /// answer asked for after this call. Workers that stay silent count as full.
  void rebuild();

  /// Takes over what the earlier owner handed over; no rebuild is needed then.
  void takeHandOver(std::span<const core::Demand> Waiting,
                    std::span<const core::RunningTask> Running);

  /// Holds against what the workers said last.
  void reconcile(const core::Configuration &C);

  /// Drops the waiting demands of entries that are gone.
  void dropDemandsOf(const std::function<bool(core::Incarnation)> &IsGone);

  const core::PoolOwner &state() const { return Owner_; }
  core::PoolOwner &state() { return Owner_; }
  bool isRebuilding() const { return Rebuilding_; }

private:
  /// A grant as it was given.
  struct Granted {
    AcquireResult Result;
    /// Whether the worker has listed the task.
    bool Listed = false;
  };

  AcquireResult resultOf(const core::Grant &G) const;
  AcquireResult renewed(core::DemandId Id, core::TimePoint LeaseEnd);
  void answer(core::DemandId Id, const AcquireResult &Result);
  void end(core::DemandId Id, core::Duration Ran);
  void adoptListed(core::WorkerId Worker, const WorkerReport &Status,
                   const core::Configuration &C);
  void endUnlisted(core::WorkerId Worker, const WorkerReport &Status);
  bool isOver(const core::RunningTask &Task, const WorkerReport &Status) const;
  void countUnknown();
  void forgetEnded();

  const Fleet &Workers_;
  core::PoolOwner Owner_;
  std::map<core::DemandId, AcquireCallback> Waiting_;
  std::map<core::DemandId, Granted> Granted_;
  /// Ended of late, so that an old report of a worker does not bring one back.
  std::map<core::DemandId, core::TimePoint> Ended_;
  std::map<core::WorkerId, core::TimePoint> Reconciled_;
  core::TimePoint LeaseEnd_;
  core::TimePoint RebuildSince_;
  bool Rebuilding_ = false;
  /// Whether silent workers count as full.
  bool CountsSilent_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_OWNEDPOOL_H
