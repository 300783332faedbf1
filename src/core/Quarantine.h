#ifndef COMFREYDECK_CORE_QUARANTINE_H
#define COMFREYDECK_CORE_QUARANTINE_H

#include "core/Types.h"

#include <map>

/// Keeps work away from workers that fail against their pool's peers. A worker
/// that fails everything ends its tasks fast and would attract work.
namespace comfreydeck::core {

/// What is remembered of one worker.
struct WorkerHealth {
  /// Ends that fade with each further end.
  double Ends = 0;
  double Failures = 0;
  /// Whether it is out but for probes.
  bool Quarantined = false;
  /// When the next probe may go there.
  TimePoint ProbeAt;
  /// Probes failed in a row.
  std::uint32_t FailedProbes = 0;
  /// A probe's task has been let through and has not ended.
  bool Probing = false;
};

struct QuarantinePolicy {
  /// What is left of the earlier ends after one more.
  double Fade = 0.9;
  /// Ends, as they are left after fading, before a worker is judged.
  double LeastEnds = 3;
  /// A worker fails if its part of failures is this much over its peers'.
  double Excess = 0.4;
  /// Part of a pool's workers that may be out at once; at least one.
  double MostOut = 0.25;
  Duration FirstBackoff = std::chrono::seconds(2);
  Duration LongestBackoff = std::chrono::minutes(5);
};

/// The workers of one pool.
struct Quarantine {
  QuarantinePolicy Policy;
  std::map<WorkerId, WorkerHealth> Workers;
};

/// A task ended on \p Worker, well or not. \p PoolSize counts all workers of
/// the pool. Not thread-safe.
void recordEnd(Quarantine &Q, WorkerId Worker, bool Failed,
               std::size_t PoolSize, TimePoint Now);

/// Whether \p Worker may get a task now, be it a probe. Not thread-safe.
bool mayStart(const Quarantine &Q, WorkerId Worker, TimePoint Now);

/// A task was granted on \p Worker. Not thread-safe.
void recordStart(Quarantine &Q, WorkerId Worker, TimePoint Now);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_QUARANTINE_H
