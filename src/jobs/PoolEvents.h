#ifndef COMFREYDECK_JOBS_POOLEVENTS_H
#define COMFREYDECK_JOBS_POOLEVENTS_H

#include "jobs/CrashLedger.h"
#include "jobs/JobEnd.h"
#include "jobs/PoolMetrics.h"
#include "jobs/PresumedEnd.h"
#include "jobs/StopDecision.h"
#include "jobs/WorkerRelease.h"

#include <optional>

namespace comfreydeck::jobs {

/// An incarnation that took the place of the known one, or may have, for logs.
struct IncarnationChange {
  std::string Worker;
  /// Start times, in Unix milliseconds.
  std::int64_t Known = 0;
  std::int64_t Shown = 0;
  /// A report told of it, not the worker's row.
  bool ByReport = false;
  /// It is a later one; otherwise it may be an earlier one too.
  bool IsLater = false;
  /// Starts that were sent before and may be carried out by it.
  std::size_t StartsInDoubt = 0;
};

/// Runs that count as ended since their worker's lease has lapsed, for logs.
struct LapsedRuns {
  std::string Worker;
  std::size_t Runs = 0;
  /// Age of the worker's last report.
  core::Duration ReportAge{0};
  /// The worker may have restarted; starts that no report has listed are kept.
  bool Doubted = false;
  /// Time since the incarnation's first report to this owner, and the clock in
  /// it; nothing before that report.
  std::optional<core::Duration> HeardFor;
  std::int64_t FirstClockMs = 0;
  /// The roster named another incarnation when the pool was taken.
  bool RestartedAtTakeover = false;
};

/// A worker whose answer is dated after its arrival, for logs.
struct ClockAhead {
  std::string Worker;
  core::Duration By{0};
};

/// A worker that has crashed, for logs.
struct CrashRecord {
  std::string Worker;
  /// Number of its runs, or of those lost when it went silent.
  std::size_t Runs = 0;
  /// Runs that may have caused the crash.
  std::vector<SuspectRun> Suspects;
  /// Runs that are no suspects, since they were too old or had not been sent.
  std::size_t TooOld = 0;
  std::size_t NotSent = 0;
  /// Lasting tasks that pause because of their crashes.
  std::vector<TaskRef> Delayed;
  /// Tasks whose jobs have failed because of their crashes.
  std::vector<TaskRef> GivenUp;
  /// The runs that were counted for these tasks, as far as they are remembered.
  std::vector<CountedRun> Counted;
};

/// What has happened in a pool since its owner was last asked, each list oldest
/// first.
struct PoolEvents {
  /// Decisions to stop lasting tasks.
  std::vector<StopDecision> Stops;
  std::vector<LastingJobEnd> LastingEnds;
  /// The wait that is longest by its bound, if the last check found a long one:
  /// a lasting task's, or one of another task for which room is there. Such
  /// checks are made about once a second.
  std::optional<LongWait> LongestWait;
  /// Restarts of workers, certain ones and doubts.
  std::vector<IncarnationChange> Restarts;
  std::vector<LapsedRuns> Lapsed;
  std::vector<CrashRecord> Crashes;
  std::vector<PresumedEnd> PresumedEnds;
  std::vector<SurvivingRun> Survivors;
  std::vector<ReleaseChange> Releases;
  /// The first for each worker.
  std::vector<ClockAhead> ClocksAhead;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_POOLEVENTS_H
