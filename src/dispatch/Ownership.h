#ifndef COMFREYDECK_DISPATCH_OWNERSHIP_H
#define COMFREYDECK_DISPATCH_OWNERSHIP_H

#include "dispatch/PoolController.h"

namespace comfreydeck::dispatch {

/// Writes this entry's heartbeat, takes pools that have no live owner and
/// releases them at shutdown. Runs on the loop's thread.
class Ownership {
public:
  Ownership(Context &Ctx, FleetView &View);

  void start();
  /// Re-evaluates who owns which pool; call when the view changed or time has
  /// passed.
  void review();
  /// Passes changed workers, configuration or closed data centres on to the
  /// owned pools. Throws std::runtime_error after all of them if that failed
  /// for one.
  void refreshControllers();

  /// Null if the pool is not owned here or not loaded yet.
  std::shared_ptr<PoolController> controller(const std::string &Pool) const;
  const std::map<std::string, std::shared_ptr<PoolController>> &
  controllers() const {
    return Controllers_;
  }
  /// The token under which this entry owns the fleet; zero if it doesn't.
  std::uint64_t fleetToken() const { return FleetToken_; }
  /// Whether an earlier process of this entry was the previous owner of the
  /// fleet.
  bool isFleetReclaimed() const { return FleetReclaimed_; }

  /// This entry, as the others see it.
  jobs::EntryView self() const;
  /// An entry whose heartbeat is older counts as possibly lost.
  static constexpr std::chrono::milliseconds HeartbeatTimeout{1600};

  /// Asks the pool's owner, as named in the store, whether it still works on
  /// the pool and reaches the store.
  using ProbeOwner =
      std::function<void(const std::string &Pool, std::function<void(bool)>)>;
  /// Call before \ref start.
  void setProbe(ProbeOwner Probe) { Probe_ = std::move(Probe); }
  /// Call before \ref start.
  void setStopQuery(StopQuery Query) { StopQuery_ = std::move(Query); }
  /// Ends the ownership of the pool under any token before \p Token. Returns
  /// the time since this entry's last order under one, and takes care that it
  /// gives none later; nothing if it owns the pool under a newer token or is
  /// handing its pools over.
  std::optional<core::Duration> stopOrders(const std::string &Pool,
                                           std::uint64_t Token);
  /// Whether this entry owns the pool, loaded or not.
  bool isOwned(const std::string &Pool) const;

  /// Releases all pools, then calls \p Done.
  void shutDown(std::function<void()> Done);

private:
  void heartbeat();
  void reviewTime();
  void writeHeartbeat();
  void takePools();
  void reclaimPools();
  bool wasJustLost(const std::string &Pool) const;
  bool mayBeAlive(const jobs::PoolView &Pool) const;
  void probeOwner(const std::string &Pool);
  void take(const std::string &Pool);
  void onTaken(PoolTakeover Takeover, std::uint64_t Token);
  void verifyTake(const PoolTakeover &Takeover);
  void dropLostPools();
  void endController(const std::string &Pool);
  void applyJobRow(const store::PartRow &Row);
  void follow(std::uint64_t Version);
  void release(const std::string &Pool, std::uint64_t Token,
               std::function<void()> Done);

  Context &Ctx_;
  FleetView &View_;
  TableFollower Jobs_;
  JobTableReader JobTable_;
  std::map<std::string, std::shared_ptr<PoolController>> Controllers_;
  ProbeOwner Probe_;
  StopQuery StopQuery_;
  std::set<std::string> PendingTakes_;
  std::set<std::string> PendingProbes_;
  /// Last answers of owners whose heartbeats were late.
  std::map<std::string, core::TimePoint> AnsweredAt_;
  std::map<std::string, core::TimePoint> LostAt_;
  /// Highest token of another owner that asked this entry to stop, by pool.
  std::map<std::string, std::uint64_t> SupersededBy_;
  std::uint64_t FleetToken_ = 0;
  bool FleetReclaimed_ = false;
  std::uint64_t HeartbeatCount_ = 0;
  std::size_t MaxEntriesSeen_ = 0;
  /// When the number of entries last reached a new maximum.
  core::TimePoint MaxEntriesSeenAt_;
  bool Registered_ = false;
  bool HeartbeatInFlight_ = false;
  bool Leaving_ = false;
  /// No earlier process of this entry runs from then on.
  core::TimePoint StartedAt_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_OWNERSHIP_H
