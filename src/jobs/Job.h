#ifndef COMFREYDECK_JOBS_JOB_H
#define COMFREYDECK_JOBS_JOB_H

#include "core/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Jobs: asynchronous work made of dependent steps, each with a number of
/// tasks.
namespace comfreydeck::jobs {

/// One step: its number of tasks and the requirements of each task.
struct StepSpec {
  std::uint32_t Tasks = 1;
  core::Resources Need;
  /// The caller's estimate of one task's run time, in milliseconds.
  std::uint32_t EstimateMs = 0;
  /// Earlier steps whose tasks must all have succeeded before this one starts.
  std::vector<std::uint32_t> After;
  /// The tasks must run at the same time (gang scheduling).
  bool Gang = false;
  /// Tasks take longer if spread over several racks.
  bool SameRack = false;
  bool Checkpoints = false;
  /// Several copies of one task may run at the same time.
  bool Copies = false;
  /// Long-running: its tasks run until the job is cancelled.
  bool Lasting = false;
  /// Best effort: uses only CPU time that other tasks leave idle, and reserves
  /// none.
  bool Filling = false;
  /// Label that the worker must have; empty means any worker.
  std::string Label;
  /// Preferred rack, where the data is; empty means no preference.
  std::string NearRack;
  /// Maximum tasks of the step on one worker; zero means unlimited.
  std::uint32_t MaxPerWorker = 0;
  /// Tasks with the same image have similar run-time behaviour.
  std::string Image;
  /// Upper bound on the tail latency of a serving task; zero means none.
  std::uint32_t TailTargetMs = 0;
  /// Maximum number of a lasting step's tasks that ordered stops may make
  /// unavailable at once.
  std::uint32_t AbsenceAllowance = 0;
};

/// One submitted job; immutable once accepted.
struct JobSpec {
  /// The caller's id, 16 hexadecimal digits.
  std::string Id;
  std::string Queue;
  /// The queue's pool at the time the job was accepted.
  std::string Pool;
  /// Empty if the queue is open to all.
  std::string Team;
  std::string Payload;
  /// The payload is stored in a row of its own and not loaded yet.
  bool PayloadMissing = false;
  std::vector<StepSpec> Steps;
  /// How often the steps run; zero means once, without a due time.
  std::uint32_t Repetitions = 0;
  /// Due time of the first repetition, in Unix milliseconds.
  std::int64_t FirstDueMs = 0;
  std::int64_t IntervalMs = 0;
  /// When it was accepted, in Unix milliseconds of the accepting entry's clock.
  std::int64_t AcceptedMs = 0;
  /// Failed runs of one task after which the job fails.
  std::uint32_t MaxAttempts = 1;
  /// Lower values are scheduled first.
  std::uint32_t Priority = 0;
  /// The completion-time objective is SlackFactor times the run time of the
  /// longest chain of steps, plus TargetMs.
  double SlackFactor = 1.0;
  std::uint32_t TargetMs = 0;
};

enum class JobState : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

/// Whether the state is terminal. Thread-safe.
inline bool isFinal(JobState S) { return S >= JobState::Completed; }

/// The state's name in logs and responses. Thread-safe.
const char *nameOf(JobState State);

/// Identifies one task of one job.
struct TaskRef {
  std::string JobId;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
  auto operator<=>(const TaskRef &) const = default;
};

/// Identifies one start of a task; increases with each start, also across
/// owners.
using RunId = std::uint64_t;

/// A run of a task that may crash its worker, stored before its start is sent.
/// It tells a later owner under which run a restarted worker has crashed.
struct AnnouncedRun {
  RunId Run = 0;
  std::string Worker;
  /// The worker's start time.
  std::int64_t Born = 0;
  /// For how long owners have waited for its outcome at least.
  core::Duration Waited{0};
  /// It was started together with runs of other tasks that may crash the
  /// worker.
  bool Shared = false;
  bool operator==(const AnnouncedRun &) const = default;
};

/// The part of a task's state that is persisted and handed to the next owner.
struct TaskProgress {
  bool Done = false;
  /// Runs that ended as failed. Workers may list them again to a later owner,
  /// in any order.
  std::vector<RunId> FailedRuns;
  /// Runs under which a worker crashed soon after their start. Emptied once a
  /// run of the task has lasted.
  std::vector<RunId> CrashedRuns;
  /// Those of them that shared their workers with other suspects, so that a
  /// crash may have been another task's.
  std::vector<RunId> SharedCrashes;
  std::optional<AnnouncedRun> Announced;
  /// Runs announced before that one whose workers have not answered since.
  /// Emptied once a run of the task has lasted.
  std::vector<AnnouncedRun> Unsettled;
  std::string Checkpoint;
};

/// The part of a job's state that is persisted and handed to the next owner.
/// Tasks are ordered by occurrence, step and index.
struct JobProgress {
  JobState State = JobState::Queued;
  std::vector<TaskProgress> Tasks;
};

/// How often the steps run. Thread-safe.
inline std::uint32_t occurrences(const JobSpec &Spec) {
  return Spec.Repetitions > 0 ? Spec.Repetitions : 1;
}

/// Number of tasks in one occurrence. Thread-safe.
std::uint32_t tasksPerOccurrence(const JobSpec &Spec);

/// Validates the job; returns an error message, or an empty string if it is
/// valid. Thread-safe.
std::string validationError(const JobSpec &Spec);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_JOB_H
