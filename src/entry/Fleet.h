#ifndef COMFREYDECK_ENTRY_FLEET_H
#define COMFREYDECK_ENTRY_FLEET_H

#include "core/Configuration.h"
#include "core/Instance.h"
#include "core/PoolOwner.h"
#include "entry/Context.h"

#include <map>

namespace comfreydeck::entry {

/// A task that a worker says it runs.
struct ListedTask {
  /// The attempt's id, as the worker was given it.
  std::string Task;
  std::string Team;
};

/// What a worker last said of itself.
struct WorkerStatus {
  /// Its own clock when it answered.
  std::uint64_t ClockMs = 0;
  /// When it was asked and when it had answered, in this entry's clock.
  core::TimePoint Asked;
  core::TimePoint Received;
  std::vector<ListedTask> Running;
};

/// The instances' rows and what was last heard of each worker.
class Fleet {
public:
  explicit Fleet(const Context &C);

  /// Reads the rows from now on. \p OnChange is called on the control thread
  /// after each reading. Call once, on that thread.
  void start(std::function<void()> OnChange);

  /// The pool's workers as its owner may use them. On the control thread.
  std::vector<core::PoolWorker> workersOf(core::PoolId Pool,
                                          const core::Configuration &C) const;

  /// Nothing where there is no such instance. On the control thread.
  const core::Instance *find(core::WorkerId Id) const;

  /// \p At in the worker's own clock, never later than it truly is; nothing
  /// where the worker has not been heard of. In milliseconds. On the control
  /// thread.
  std::optional<std::uint64_t> workerClockMs(core::WorkerId Id,
                                             core::TimePoint At) const;

  /// What a worker last said; nothing where it has not been heard of. On the
  /// control thread.
  const WorkerStatus *statusOf(core::WorkerId Id) const;

  /// Asks every worker of these pools how it is. On the control thread.
  void probe(std::span<const core::PoolId> Pools);

  /// Puts an instance into a pool; \p Done gets an empty text or what went
  /// wrong. On the control thread.
  void assign(const std::string &Name, core::PoolId Pool,
              std::function<void(std::string)> Done);

  /// All instances. On the control thread.
  const std::map<core::WorkerId, core::Instance> &instances() const {
    return Instances_;
  }

private:
  void poll(std::string After);
  void onScan(const platform::ScanResult &Result);
  void probeWorker(const core::Instance &I);
  void onListed(const std::string &Name, core::PoolId Pool,
                const platform::ListResult &Listed,
                const std::function<void(std::string)> &Done);

  Context Context_;
  std::function<void()> OnChange_;
  std::map<core::WorkerId, core::Instance> Instances_;
  std::map<core::WorkerId, core::Instance> Reading_;
  std::map<core::WorkerId, WorkerStatus> Statuses_;
  bool Polling_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_FLEET_H
