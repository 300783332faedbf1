#ifndef COMFREYDECK_CORE_QUARANTINE_H
#define COMFREYDECK_CORE_QUARANTINE_H

#include "core/Types.h"

#include <map>

/// Keeps tasks away from workers that fail more often than the other workers of
/// their pool. A worker on which every task fails at once would otherwise look
/// idle and attract more tasks.
namespace comfreydeck::core {

/// Failure history of one worker.
struct WorkerHealth {
  /// Finished tasks, and the failed ones among them; both decay with each
  /// further finished task.
  double Finished = 0;
  double Failures = 0;
  /// Whether it gets no tasks except probes.
  bool Quarantined = false;
  /// Earliest time of the next probe.
  TimePoint ProbeAt;
  /// Consecutive failed probes.
  std::uint32_t FailedProbes = 0;
  /// Whether a probe task has been granted and has not finished.
  bool Probing = false;
};

struct QuarantinePolicy {
  /// Decay factor applied to the counts at each finished task.
  double Decay = 0.9;
  /// Finished tasks, after decay, below which a worker is not judged.
  double MinFinished = 3;
  /// A worker is quarantined if its failure rate exceeds the rate of the other
  /// workers by more than this.
  double ExcessFailureRate = 0.4;
  /// Maximum fraction of a pool's workers in quarantine at once; at least one
  /// worker.
  double MaxQuarantinedFraction = 0.25;
  Duration FirstBackoff = std::chrono::seconds(2);
  Duration LongestBackoff = std::chrono::minutes(5);
};

/// Quarantine state of the workers of one pool.
struct Quarantine {
  QuarantinePolicy Policy;
  std::map<WorkerId, WorkerHealth> Workers;
};

/// Records that a task finished on \p Worker. \p PoolSize counts all workers of
/// the pool. Not thread-safe.
void recordFinished(Quarantine &Q, WorkerId Worker, bool Failed,
                    std::size_t PoolSize, TimePoint Now);

/// Whether \p Worker may get a task now, as a probe if it is quarantined. Not
/// thread-safe.
bool mayStart(const Quarantine &Q, WorkerId Worker, TimePoint Now);

/// Records that a task was granted on \p Worker. Not thread-safe.
void recordStart(Quarantine &Q, WorkerId Worker, TimePoint Now);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_QUARANTINE_H
