#ifndef COMFREYDECK_JOBS_POOLMETRICS_H
#define COMFREYDECK_JOBS_POOLMETRICS_H

#include "core/DurationHistogram.h"
#include "jobs/Worker.h"

#include <array>
#include <optional>

namespace comfreydeck::jobs {

/// A worker's status as its pool's owner sees it. Where several apply, the
/// first one counts.
enum class WorkerStatus : std::uint8_t {
  /// No longer listed.
  Gone,
  /// This incarnation has ended, but its entry is still listed.
  Ended,
  /// No report since this owner took over the pool.
  Unheard,
  /// The last order got no answer, or the last report on its runs is too old.
  Silent,
  /// Temporarily gets no tasks after refused orders or failed runs.
  Avoided,
  /// Closed for maintenance, draining or in a closed data centre.
  Closed,
  /// Has runs of jobs that this owner does not know, or may still carry out
  /// starts that this owner has given up.
  Occupied,
  /// Not in the stored roster yet, so that it gets no tasks.
  Unenrolled,
  Usable,
};

inline constexpr std::size_t WorkerStatusCount = 9;

const char *nameOf(WorkerStatus Status);

/// Event counters of one pool, for metrics and logs.
struct PoolCounters {
  std::uint64_t Starts = 0;
  /// Completed tasks.
  std::uint64_t Done = 0;
  /// Failed runs that count towards MaxAttempts.
  std::uint64_t Failed = 0;
  /// Tasks whose runs were dropped because the worker restarted, was removed or
  /// its lease expired.
  std::uint64_t Lapsed = 0;
  /// Reported runs that were unknown to this owner.
  std::uint64_t UnexpectedRuns = 0;
  std::uint64_t Stragglers = 0;
  /// Answers of workers that are dated after their arrival.
  std::uint64_t AnswersAhead = 0;
  /// Workers that crashed with runs.
  std::uint64_t Crashes = 0;
  /// Jobs that failed because of such crashes.
  std::uint64_t GivenUp = 0;
  /// Outcomes of orders to workers.
  std::array<std::uint64_t, OrderOutcomeCount> StartAnswers{};
  std::array<std::uint64_t, OrderOutcomeCount> StopAnswers{};
  std::array<std::uint64_t, OrderOutcomeCount> ReportAnswers{};
  /// Ended runs that workers reported, by RunEnd.
  std::array<std::uint64_t, RunEndCount> Ends{};
  /// Age of the worker's latest report when a start was planned.
  core::DurationHistogram ReportAge;
  /// How long workers were out of use, by the status that they had meanwhile.
  /// Counted when the status changes.
  std::array<core::DurationHistogram, WorkerStatusCount> OutOfUse{};
  /// Time from a start to the answer or report that told what became of it.
  core::DurationHistogram Unconfirmed;
  /// Maximum number of starts planned on the basis of one report.
  std::uint32_t MaxStartsPerReport = 0;
};

/// Why a ready task has no run, or may have none. Where several apply, the
/// first one counts.
enum class WaitReason : std::uint8_t {
  /// Its worker does not answer, and the run may still be live.
  SilentWorker,
  /// The time of its repetition has not come.
  NotDue,
  /// Its queue requires the advisor's approval.
  Advised,
  /// The owner may not start tasks: it has lost touch with the store or hands
  /// the pool over.
  Authority,
  /// Its job's stored progress can't be read, so that it may have run.
  ProgressUnread,
  /// An earlier owner may have started it, and not every worker has reported.
  Takeover,
  /// Its job's payload is not loaded yet.
  Payload,
  /// It may crash workers, so that its runs start only once they are stored,
  /// and the store refuses its job's row.
  RowRefused,
  /// Its gang was stopped since a member got no start, and pauses before the
  /// next try.
  GangPause,
  /// It has crashed the maximum number of workers, if those out of reach have
  /// crashed.
  CrashOpen,
  /// Its team's limit is reached.
  TeamLimit,
  /// No usable worker has its label.
  Label,
  /// No worker that has its label has the capacity.
  Unplaceable,
  /// It has crashed several workers and waits for one to itself.
  Isolated,
  /// Its gang finds no workers for all members at once.
  Gang,
  /// Its gang finds workers for all members in several racks only, and waits
  /// for
  /// one rack.
  Rack,
  /// Each worker with room runs as many tasks of the step as it may.
  Spread,
  /// The worker chosen for it has to report first.
  Report,
  /// No usable worker has room, or planning has not run yet.
  Room,
};

inline constexpr std::size_t WaitReasonCount = 19;

const char *nameOf(WaitReason Reason);

/// A ready task that has no run, or whose run is in doubt.
struct TaskWait {
  TaskRef Task;
  WaitReason Reason = WaitReason::Room;
  /// Time since its last run ended, its worker last answered or it became
  /// ready, as far as this owner knows.
  core::Duration Age{0};
};

/// How many workers meet each further requirement of a task, in the order in
/// which they are checked.
struct PlacementCounts {
  std::uint32_t Workers = 0;
  /// May get starts.
  std::uint32_t Usable = 0;
  std::uint32_t WithLabel = 0;
  std::uint32_t WithRoom = 0;
  /// Run fewer tasks of the step than its maximum.
  std::uint32_t WithSpread = 0;
};

/// A task that has had no run for long, or whose worker has been silent for
/// long, and what its placement depends on.
struct LongWait {
  TaskWait Wait;
  bool Lasting = false;
  PlacementCounts Placement;
  /// Workers reserved for tasks that may crash them.
  std::uint32_t Isolated = 0;
  /// Workers that have not reported since the takeover.
  std::uint32_t Unheard = 0;
};

/// Point-in-time statistics of one pool.
struct PoolGauges {
  std::uint64_t OpenJobs = 0;
  std::uint64_t Runs = 0;
  /// Runs whose start is neither acknowledged nor confirmed by a report.
  std::uint64_t UnconfirmedRuns = 0;
  std::array<std::uint64_t, WaitReasonCount> Waiting{};
  /// How long these tasks have waited, but for those that are not due.
  std::array<core::DurationHistogram, WaitReasonCount> Waits;
  /// The longest waits of lasting and of other tasks.
  std::optional<TaskWait> LongestLastingWait;
  std::optional<TaskWait> LongestOtherWait;
  std::array<std::uint64_t, WorkerStatusCount> Workers{};
  /// Free CPU on usable workers, in thousandths of a core.
  std::uint64_t FreeMilliCpus = 0;
};

/// Converts an enum value to an array index.
template <typename Enum> constexpr std::size_t indexOf(Enum Value) {
  return static_cast<std::size_t>(Value);
}

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_POOLMETRICS_H
