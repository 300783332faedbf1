#ifndef COMFREYDECK_ENTRY_FLEET_H
#define COMFREYDECK_ENTRY_FLEET_H

#include "core/Configuration.h"
#include "core/Maintenance.h"
#include "core/PoolOwner.h"
#include "entry/InstanceRows.h"

#include <map>
#include <set>

namespace comfreydeck::entry {

/// A task that a worker reports as running.
struct ListedTask {
  /// The attempt's id, as sent to the worker.
  std::string Task;
  std::string Team;
};

/// A worker's latest status report.
struct WorkerReport {
  /// The worker's clock when it answered, in milliseconds.
  std::uint64_t WorkerMs = 0;
  /// When the request was sent and the answer received, in this entry's clock.
  core::TimePoint Asked;
  core::TimePoint Received;
  std::vector<ListedTask> Running;
  std::string BootId;
};

/// The instances: their rows, the platform's list, and the latest report of
/// each worker. Control thread only.
class Fleet {
public:
  explicit Fleet(const Context &C);

  /// Starts polling the rows and the list. \p OnChange is called after each
  /// complete read of the rows. Call once.
  void start(std::function<void()> OnChange);

  /// Reads the rows now, not at the next poll; no effect while a read runs.
  void pollNow();

  /// The pool's workers as its owner may use them: closed until the rows have
  /// been read after the pool was taken over.
  std::vector<core::PoolWorker> workersOf(core::PoolId Pool,
                                          const core::Configuration &C) const;

  /// Null if there is no such instance.
  const core::Instance *find(core::WorkerId Id) const;
  const core::Instance *find(std::string_view Name) const;

  /// A lower bound of \p At in the worker's own clock, in milliseconds; nullopt
  /// if the worker has not reported yet.
  std::optional<std::uint64_t> workerClockMs(core::WorkerId Id,
                                             core::TimePoint At) const;

  /// Requests a status report from every worker of these owned pools.
  void probe(std::span<const core::PoolId> Pools);

  /// Records when data centres return to service, so that their workers get
  /// tasks gradually.
  void recordDataCentreReturns(const core::Configuration &C);

  /// Requests status reports from the workers of a pool about to be taken over.
  void probePool(core::PoolId Pool);

  /// Null if the worker has not reported yet.
  const WorkerReport *reportOf(core::WorkerId Id) const;

  /// Whether the rows have been read since this entry took over the pool.
  bool isFresh(core::PoolId Pool) const;

  /// The pool's instances as its owner sees them, without the waves.
  /// \p RunningOn returns the owner's count of tasks running on a worker.
  core::PoolSnapshot
  snapshot(const core::Pool &P, const core::Configuration &C,
           const std::function<std::uint32_t(core::WorkerId)> &RunningOn) const;

  /// Prevents task starts on \p Id, regardless of its row.
  void hold(core::WorkerId Id);
  /// Ends the hold, at once or after the next complete read of the rows.
  void release(core::WorkerId Id);
  void releaseAfterNextRead(std::span<const core::Instance> Items);

  /// All instances.
  const std::map<core::WorkerId, core::Instance> &instances() const {
    return Rows_.all();
  }
  InstanceRows &rows() { return Rows_; }
  const InstanceRows &rows() const { return Rows_; }

  /// Workers on the platform's list that have no row.
  std::vector<store::ListedInstance> listedWithoutRow() const;
  /// Null if the list has no such worker.
  const store::ListedInstance *listed(const std::string &Name) const;

  /// The number of running tasks in the worker's latest report; nullopt if it
  /// has not reported yet.
  std::optional<std::uint32_t> reportedRunning(core::WorkerId Id) const;

private:
  struct Listing {
    store::ListedInstance Item;
    core::ListedStatus Status = core::ListedStatus::Live;
    core::TimePoint Since;
  };
  using ReadNumber = std::uint64_t;
  /// When a pool was taken over, and the first read of the rows valid for it.
  struct TakeOver {
    ReadNumber Reading = 0;
    core::TimePoint At;
  };

  void onRows();
  void onList(const store::ListResult &Result);
  void probeWorker(const core::Instance &I);
  core::InstanceSignals signalsOf(const core::Instance &I,
                                  core::TimePoint Now) const;
  std::vector<core::PoolInstance> observe(core::PoolId Pool,
                                          const core::Configuration &C) const;

  Context Context_;
  std::function<void()> OnChange_;
  InstanceRows Rows_;
  std::map<core::WorkerId, WorkerReport> Reports_;
  std::map<std::string, Listing> Listed_;
  std::map<core::PoolId, TakeOver> TakeOvers_;
  /// The read of the rows that ends the hold; zero if not determined yet.
  std::map<core::WorkerId, ReadNumber> Holds_;
  /// When each data centre was last known to be out.
  std::map<std::string, std::int64_t> ReturnedAtMs_;
  bool Listing_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_FLEET_H
