#ifndef COMFREYDECK_DISPATCH_FLEETVIEW_H
#define COMFREYDECK_DISPATCH_FLEETVIEW_H

#include "core/TimeOfDay.h"
#include "dispatch/Context.h"
#include "dispatch/TableFollower.h"
#include "jobs/OwnerChoice.h"
#include "jobs/TeamAllotment.h"

#include <functional>
#include <map>
#include <set>

namespace comfreydeck::dispatch {

/// What one team may run in each pool, as stored.
struct TeamAllotment {
  jobs::PoolParts ByPool;
  jobs::PoolNeeds Needs;
  std::uint64_t Version = 0;
};

/// Queues of jobs that wait in a pool though another one serves the queues, as
/// the pool's owner has stored.
struct StrayQueues {
  /// Of the configuration by which the owner tells.
  std::uint64_t ConfigVersion = 0;
  std::set<std::string> Names;
  std::uint64_t Version = 0;
};

/// The part of a view that changed.
enum class ViewChange : std::uint8_t {
  /// Rows written by operators.
  Operators,
  /// The list of workers, beyond heartbeats.
  Workers,
  /// Entries, pool owners and team allotments.
  Control,
};

/// This entry's view of the fleet, read from the store. Runs on the loop's
/// thread.
class FleetView {
public:
  FleetView(Context &Ctx, std::function<void(ViewChange)> Changed);

  void start();

  /// Null until the first configuration is read.
  std::shared_ptr<const jobs::FleetConfig> config() const { return Config_; }
  /// Send time of the last answered read, as of which the configuration is
  /// known to be current.
  core::TimePoint configCurrentAt() const { return Operators_.currentAt(); }
  core::TimePoint controlCurrentAt() const { return Control_.currentAt(); }
  bool isSynced() const;
  /// Whether the rows of entries have been read.
  bool isControlSynced() const { return Control_.isSynced(); }
  /// What entries and earlier processes, also of entry \p Self, have stored
  /// about the time of day. An entry counts as alive up to \p DeadAfter after
  /// its last heartbeat.
  std::vector<core::TimeReport> timeReports(const std::string &Self,
                                            core::Duration DeadAfter) const;
  /// Age of the last read of the worker list, in milliseconds.
  std::int64_t workersAgeMs() const;

  const std::set<std::string> &closedDataCentres() const {
    return ClosedDataCentres_;
  }
  const std::map<std::string, WaveRequest> &waves() const { return Waves_; }
  std::vector<jobs::WorkerEntry> workersOf(const std::string &Pool) const;
  /// Calls \p Do for each listed worker of all pools.
  void
  forEachWorker(const std::function<void(const jobs::WorkerEntry &)> &Do) const;
  /// The listed worker; null if there is none.
  const jobs::WorkerEntry *worker(const std::string &Id) const;
  std::size_t workerCount() const { return Listed_.size(); }
  std::vector<jobs::EntryView> entries() const;
  std::vector<jobs::PoolView> pools() const;
  const jobs::PoolView *pool(const std::string &Name) const;
  const jobs::EntryView *entry(const std::string &Name) const;
  /// Null if the pool's owner has not stored any.
  const StrayQueues *strayQueues(const std::string &Pool) const;
  /// Pools that may have jobs of the queue: its own, those whose owners have
  /// stored that, and those whose owners haven't told by the configuration that
  /// is in force here. Call with a queue of that configuration.
  std::vector<std::string> poolsWithJobsOf(const jobs::Queue &Queue) const;
  const std::map<std::string, TeamAllotment> &allotments() const {
    return Allotments_;
  }

  /// Sets whether to read the worker list at short intervals; only owners of
  /// pools need it up to date.
  void followWorkersClosely(bool Closely);
  void followControlClosely(bool Closely);
  /// Calls \p Done after a new read of the worker list.
  void whenWorkersRead(std::function<void()> Done);

  /// Applies what a transaction of this entry has written, before it is read
  /// back.
  void setPool(jobs::PoolView Pool);
  void setAllotment(const std::string &Team, TeamAllotment Allotment);
  void setStrayQueues(const std::string &Pool, StrayQueues Stray);
  /// Applies a row of a team's allotments; one that can't be decoded is logged
  /// and ignored.
  void applyAllotmentRow(const std::string &Team, const store::PartRow &Row);

  /// Encode and decode the control rows of this product.
  static std::string ownerValue(const std::string &Name,
                                const std::string &Life,
                                const jobs::OwnerHistory &Earlier);
  /// Also accepts rows without a capacity or a time. Throws
  /// nlohmann::json::exception.
  static jobs::EntryView decodeEntry(const store::PartRow &Row);
  /// Value of a pool's owner row after its owner released it.
  static std::string releasedValue(std::uint64_t Token,
                                   const jobs::OwnerHistory &Earlier);
  static std::string entryValue(const jobs::EntryView &Entry,
                                std::uint64_t HeartbeatCount);
  /// Encode and decode the row of an entry's agreed time. Decoding throws
  /// nlohmann::json::exception.
  static std::string timeValue(const core::AgreedTime &Time);
  static core::AgreedTime decodeTime(const store::PartRow &Row);
  static std::string allotmentValue(const TeamAllotment &Allotment);
  /// Also accepts rows without needs, as earlier releases write them; those
  /// read the parts of rows that have them. Throws nlohmann::json::exception.
  static TeamAllotment decodeAllotment(const store::PartRow &Row);
  static jobs::PoolView decodeOwner(const store::PartRow &Row);
  static std::string strayQueuesValue(const StrayQueues &Stray);
  /// Throws nlohmann::json::exception.
  static StrayQueues decodeStrayQueues(const store::PartRow &Row);

private:
  RowHandlers operatorHandlers();
  RowHandlers workerHandlers();
  RowHandlers controlHandlers();
  void applyOperatorRow(const store::PartRow &Row);
  bool applyWorkerRow(const store::PartRow &Row);
  void beginControlRows(bool All);
  void applyControlRow(const store::PartRow &Row);
  void endControlRows();
  std::vector<std::string> controlParts() const;

  Context &Ctx_;
  std::function<void(ViewChange)> Changed_;
  TableFollower Operators_;
  TableFollower Workers_;
  TableFollower Control_;
  std::shared_ptr<const jobs::FleetConfig> Config_;
  std::set<std::string> ClosedDataCentres_;
  std::map<std::string, WaveRequest> Waves_;
  /// A listed worker, and the text that it was decoded from.
  struct ListedWorker {
    jobs::WorkerEntry Entry;
    std::string StrippedValue;
  };
  std::map<std::string, ListedWorker> Listed_;
  /// Whether a listed worker has changed since the last report of a change.
  bool ListChanged_ = false;
  std::map<std::string, jobs::EntryView> Entries_;
  /// The entries before the full read whose rows are being applied.
  std::map<std::string, jobs::EntryView> EntriesBefore_;
  /// By entry.
  std::map<std::string, core::AgreedTime> AgreedTimes_;
  std::map<std::string, jobs::PoolView> Pools_;
  /// By pool.
  std::map<std::string, StrayQueues> Stray_;
  std::map<std::string, TeamAllotment> Allotments_;
  core::TimePoint ControlSeenAt_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_FLEETVIEW_H
