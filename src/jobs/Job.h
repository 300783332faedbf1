#ifndef COMFREYDECK_JOBS_JOB_H
#define COMFREYDECK_JOBS_JOB_H

#include "core/Types.h"

#include <cstdint>
#include <string>
#include <vector>

/// Jobs: steps of tasks that are accepted first and finished later.
namespace comfreydeck::jobs {

/// What each task of one step is and needs.
struct StepSpec {
  std::uint32_t Tasks = 1;
  core::Resources Need;
  /// The caller's guess of one task's run time, in milliseconds.
  std::uint32_t EstimateMs = 0;
  /// Earlier steps of which every task must have ended well.
  std::vector<std::uint32_t> After;
  /// All tasks of a run work only together.
  bool Gang = false;
  /// Tasks on more than one rack take longer.
  bool SameRack = false;
  bool Checkpoints = false;
  /// Copies of a task may run side by side.
  bool Copies = false;
  /// Runs until the job is cancelled.
  bool Lasting = false;
  /// Uses only the processor that other tasks leave; its own is not reserved.
  bool Filling = false;
  /// Label that the worker must carry; empty: any.
  std::string Label;
  /// Rack where the data is; empty: anywhere.
  std::string NearRack;
  /// Most tasks of the step on one worker; zero: no bound.
  std::uint32_t MaxPerWorker = 0;
  /// Tasks of one image behave alike.
  std::string Image;
  /// Bound on the tail of a serving task's response times; zero: none.
  std::uint32_t TailTargetMs = 0;
  /// Tasks of a lasting step that orders may keep from work at once.
  std::uint32_t AbsenceAllowance = 0;
};

/// One submitted job; never changes once accepted.
struct JobSpec {
  /// The caller's id, 16 hexadecimal digits.
  std::string Id;
  std::string Queue;
  /// The pool that the queue named when the job was accepted.
  std::string Pool;
  /// Empty: the queue is open to all.
  std::string Team;
  std::string Payload;
  std::vector<StepSpec> Steps;
  /// Times that the steps run; zero: once, without a due time.
  std::uint32_t Repetitions = 0;
  /// Due time of the first repetition, in Unix milliseconds.
  std::int64_t FirstDueMs = 0;
  std::int64_t IntervalMs = 0;
  /// When it was accepted, in Unix milliseconds at the accepting entry.
  std::int64_t AcceptedMs = 0;
  /// Tries of one task that may end as failed.
  std::uint32_t MaxAttempts = 1;
  /// Zero comes first.
  std::uint32_t Priority = 0;
  /// The objective: this many times the longest chain, and a fixed time more.
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

/// Whether a job in that state can change no more. Thread-safe.
inline bool isFinal(JobState S) { return S >= JobState::Completed; }

/// The state's name in logs and answers. Thread-safe.
const char *nameOf(JobState State);

/// Names one task of one job.
struct TaskRef {
  std::string JobId;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
  auto operator<=>(const TaskRef &) const = default;
};

/// Numbers one start of a task; rises from start to start, over owners too.
using RunId = std::uint64_t;

/// What is kept of one task between owners.
struct TaskProgress {
  bool Done = false;
  /// Runs that ended as failed. Each is listed again to a later owner, in any
  /// order.
  std::vector<RunId> FailedRuns;
  std::string Checkpoint;
};

/// What is kept of one job between owners. Tasks in the order of occurrence,
/// step and index.
struct JobProgress {
  JobState State = JobState::Queued;
  std::vector<TaskProgress> Tasks;
};

/// Occurrences of the steps. Thread-safe.
inline std::uint32_t occurrences(const JobSpec &Spec) {
  return Spec.Repetitions > 0 ? Spec.Repetitions : 1;
}

/// Tasks of one occurrence. Thread-safe.
std::uint32_t tasksPerOccurrence(const JobSpec &Spec);

/// What is wrong with the job; empty: nothing. Thread-safe.
std::string faultOf(const JobSpec &Spec);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_JOB_H
