#ifndef COMFREYDECK_ENTRY_POOLSERVICE_H
#define COMFREYDECK_ENTRY_POOLSERVICE_H

#include "entry/AllotmentService.h"
#include "entry/ConfigStore.h"
#include "entry/Membership.h"
#include "entry/OwnedPool.h"

#include <map>
#include <memory>

namespace comfreydeck::entry {

/// Tracks the owner of each pool and runs the pools that this entry owns.
class PoolService {
public:
  /// The arguments must outlive the service.
  PoolService(const Context &C, Membership &Members, ConfigStore &Config,
              Fleet &Workers);

  /// Starts taking and handing over pools. Call once, on the control thread.
  void start();

  /// Hands over every owned pool and takes no more. \p Done is called on the
  /// control thread once all are handed over or a time limit has passed. On the
  /// control thread.
  void leave(std::function<void()> Done);

  /// Re-evaluates the owners after a change of members, configuration or
  /// workers. On the control thread.
  void refresh();

  /// Asks the pool's owner, local or remote, for a slot, and retries across
  /// ownership changes until the deadline. \p Done is called once, on the
  /// control thread. On the control thread.
  void acquire(core::PoolId Pool, core::Demand D, AcquireCallback Done);

  /// Tells the pool's owner how a demand ended, with retries until it is
  /// acknowledged. A demand still waiting is refused as cancelled. On the
  /// control thread.
  void release(core::PoolId Pool, core::DemandId Id, const DemandEnd &End);

  /// Handlers for calls from other entries. On the control thread.
  void serveAcquire(const cluster::wire::AcquireRequest &Request,
                    std::function<void(cluster::wire::AcquireReply)> Respond);
  cluster::wire::ReleaseReply
  serveRelease(const cluster::wire::ReleaseRequest &Request);
  void serveHandOver(const cluster::wire::HandOverRequest &Request,
                     std::function<void(cluster::wire::HandOverReply)> Respond);
  cluster::wire::ListRunningReply
  serveListRunning(const cluster::wire::ListRunningRequest &Request);

  /// The pool's owner as last read; null if it has none. On the control
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
  /// The owner of a pool, as last read from its row.
  struct KnownOwner {
    core::Incarnation Id;
    core::Epoch Term;
    std::uint64_t RowVersion = 0;
  };

  /// A pool that this entry owns and since when.
  struct LocalPool {
    std::unique_ptr<OwnedPool> Pool;
    std::uint64_t RowVersion = 0;
    core::TimePoint Since;
    /// Being handed over: no more grants.
    bool Leaving = false;
  };

  /// A demand of this entry that has no answer yet.
  struct Pending {
    core::PoolId Pool;
    core::Demand Asked;
    AcquireCallback Done;
    /// Answers to earlier attempts are ignored.
    std::uint32_t Attempt = 0;
  };

  /// Results of the recent liveness probes of an owner.
  struct Health {
    std::uint32_t Failures = 0;
    bool Asking = false;
  };

  using Releases = std::map<core::DemandId, DemandEnd>;

  // Ownership.
  void startProbing();
  void poll();
  void onScan(const store::ScanResult &Result);
  void updateAllOwnership();
  void updateOwnership(const core::Pool &P);
  void handOverIfDue(core::PoolId Pool, LocalPool &Held,
                     core::Incarnation Preferred);
  bool isSuspect(core::Incarnation Id) const;
  void trackOwners();
  core::Incarnation preferredFor(core::PoolId Pool) const;
  void fence(core::Incarnation Id);
  void claimOwnership(core::PoolId Pool, const KnownOwner &Known);
  void writeRow(core::PoolId Pool, const KnownOwner &Known,
                core::Incarnation Owner,
                std::function<void(store::CommitOutcome)> Done);
  void startOwning(core::PoolId Pool, const KnownOwner &Known);
  void stopOwning(core::PoolId Pool);
  void probeMembers();
  void probeMember(const Member &M);

  // Handing over.
  void handOver(core::PoolId Pool, const Member &To,
                std::function<void()> Done);
  void commitHandOver(core::PoolId Pool, const Member &To,
                      std::function<void()> Done);
  void onHandOverCommitted(core::PoolId Pool, const Member &To,
                           store::CommitOutcome Outcome,
                           const std::function<void()> &Done);
  void sendHandOver(core::PoolId Pool, const Member &To,
                    std::function<void()> Done);
  void adoptHandedOver(core::PoolId Pool, LocalPool &Held);

  // Owned pools.
  void update(LocalPool &Held);
  void updateTeams(LocalPool &Held);
  void updateTeam(LocalPool &Held, const core::Team &T);
  void countPools();
  void pump(LocalPool &Held);
  void pumpAll();

  // This entry's own demands.
  void ask(core::DemandId Id);
  void retryDemandsOf(core::PoolId Pool);
  void onAnswer(core::DemandId Id, std::uint32_t Attempt,
                const AcquireResult &Result);
  void askLocalOwner(LocalPool &Held, core::DemandId Id, const Pending &P);
  void askRemoteOwner(const Member &Owner, core::DemandId Id, const Pending &P);
  void answer(core::DemandId Id, const AcquireResult &Result);
  void scheduleRetry(core::DemandId Id, std::uint32_t Attempt);
  void flushReleases();
  void flushReleases(core::PoolId Pool);
  void sendReleases(core::PoolId Pool, const Member &Owner);

  Context Context_;
  Membership &Members_;
  ConfigStore &Config_;
  Fleet &Workers_;
  AllotmentService Allotments_;
  std::map<core::PoolId, KnownOwner> Owners_;
  std::map<core::PoolId, LocalPool> Owned_;
  std::map<core::DemandId, Pending> Pending_;
  std::map<core::PoolId, Releases> Releases_;
  std::set<core::PoolId> Releasing_;
  std::map<core::Incarnation, Health> Health_;
  std::set<core::Incarnation> SeenMembers_;
  /// Owners that are not members, and since when.
  std::map<core::Incarnation, core::TimePoint> UnknownSince_;
  std::map<core::PoolId, cluster::wire::HandOverRequest> ReceivedHandOvers_;
  std::set<core::PoolId> Writing_;
  /// Incarnations that this entry is fencing, and those that it has fenced.
  std::set<core::Incarnation> Fencing_;
  std::set<core::Incarnation> Fenced_;
  /// Number of pools each team may use, and the configuration it is from.
  std::map<core::TeamId, std::uint32_t> PoolCounts_;
  core::ConfigVersion PoolCountsOf_;
  /// Callbacks to run after the next scan of the rows.
  std::vector<std::function<void()>> AfterPoll_;
  core::TimePoint LastHandOver_;
  bool Polling_ = false;
  bool PollAgain_ = false;
  bool Leaving_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_POOLSERVICE_H
