#ifndef COMFREYDECK_ENTRY_FLEET_H
#define COMFREYDECK_ENTRY_FLEET_H

#include "core/Configuration.h"
#include "core/Maintenance.h"
#include "core/PoolOwner.h"
#include "entry/InstanceRows.h"

#include <map>
#include <set>

namespace comfreydeck::entry {

/// A task that a worker says it runs.
struct ListedTask {
  /// The attempt's id, as the worker was given it.
  std::string Task;
  std::string Team;
};

/// What a worker said last.
struct WorkerReport {
  /// Its own clock when it answered.
  std::uint64_t WorkerMs = 0;
  /// When it was asked and when its answer came, in this entry's clock.
  core::TimePoint Asked;
  core::TimePoint Received;
  std::vector<ListedTask> Running;
  std::string BootId;
};

/// The instances: their rows, what the platform lists, and what was last heard
/// of each worker. On the control thread only.
class Fleet {
public:
  explicit Fleet(const Context &C);

  /// Reads the rows and the list from now on. \p OnChange is called after each
  /// reading of the rows. Call once.
  void start(std::function<void()> OnChange);

  /// Reads the rows soon rather than at the next turn.
  void pollNow();

  /// The pool's workers as its owner may use them: closed unless the rows were
  /// read after the pool was taken.
  std::vector<core::PoolWorker> workersOf(core::PoolId Pool,
                                          const core::Configuration &C) const;

  /// Nothing where there is no such instance.
  const core::Instance *find(core::WorkerId Id) const;
  const core::Instance *find(std::string_view Name) const;

  /// \p At in the worker's own clock, never later than it truly is; nothing
  /// where the worker has not been heard of. In milliseconds.
  std::optional<std::uint64_t> workerClockMs(core::WorkerId Id,
                                             core::TimePoint At) const;

  /// Asks every worker of these pools, which this entry owns, how it is.
  void probe(std::span<const core::PoolId> Pools);

  /// Takes note of data centres that come back, so that their workers are
  /// given work gradually.
  void noteDataCentres(const core::Configuration &C);

  /// Asks the workers of a pool that this entry is about to take.
  void probeAhead(core::PoolId Pool);

  /// Nothing where the worker has not been heard of.
  const WorkerReport *reportOf(core::WorkerId Id) const;

  /// Whether the rows were read after this entry took the pool.
  bool isFresh(core::PoolId Pool) const;

  /// The pool's instances as its owner sees them, without the waves. What runs
  /// on a worker by the owner's own count comes from \p RunningOn.
  core::PoolSnapshot
  snapshot(const core::Pool &P, const core::Configuration &C,
           const std::function<std::uint32_t(core::WorkerId)> &RunningOn) const;

  /// No task starts on \p Id from now on, whatever its row says.
  void hold(core::WorkerId Id);
  /// Ends the hold, at once or only after the rows were read again.
  void release(core::WorkerId Id);
  void releaseAfterReading(std::span<const core::Instance> Items);

  /// All instances.
  const std::map<core::WorkerId, core::Instance> &instances() const {
    return Rows_.all();
  }
  InstanceRows &rows() { return Rows_; }
  const InstanceRows &rows() const { return Rows_; }

  /// Workers on the platform's list that have no row.
  std::vector<store::ListedInstance> withoutRow() const;
  /// Nothing where the list has no such worker.
  const store::ListedInstance *listed(const std::string &Name) const;

  /// When this worker last said that it had that many tasks; nothing where it
  /// was never heard.
  std::optional<std::uint32_t> reportedRunning(core::WorkerId Id) const;

private:
  struct Listing {
    store::ListedInstance Item;
    core::ListedStatus As = core::ListedStatus::Live;
    core::TimePoint Since;
  };
  using ReadingNumber = std::uint64_t;
  /// When a pool was taken, and the first reading that counts for it.
  struct Taking {
    ReadingNumber Reading = 0;
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
  std::map<core::PoolId, Taking> Taken_;
  /// The reading that ends the hold; zero where nothing ends it yet.
  std::map<core::WorkerId, ReadingNumber> Held_;
  /// When each data centre was last known to be out.
  std::map<std::string, std::int64_t> CameBackMs_;
  bool Listing_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_FLEET_H
