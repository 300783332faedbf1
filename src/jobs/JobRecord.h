#ifndef COMFREYDECK_JOBS_JOBRECORD_H
#define COMFREYDECK_JOBS_JOBRECORD_H

#include "jobs/CrashLedger.h"
#include "jobs/JobEnd.h"
#include "jobs/RunPace.h"
#include "jobs/Worker.h"

#include <limits>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace comfreydeck::jobs {

/// One live run of a task.
struct LiveRun {
  RunId Run = 0;
  std::string Worker;
  /// The start was acknowledged or a report listed the run.
  bool Confirmed = false;
  /// Value of \ref SendAfter before the run is announced.
  static constexpr std::uint64_t NotAnnounced =
      std::numeric_limits<std::uint64_t>::max();
  /// Number of the change that announces the run, which is sent once that is
  /// stored; zero if it has been sent.
  std::uint64_t SendAfter = 0;
  /// When it was first seen to be stored, before it is sent.
  std::optional<core::TimePoint> StoredAt;
  /// The run is to be stopped.
  bool Stopping = false;
  bool StopInFlight = false;
  /// The stop in flight was sent to an earlier incarnation of the worker.
  bool StopOutdated = false;
  /// Its start had no clear answer.
  bool Unclear = false;
  /// A report of the worker's present incarnation has listed it.
  bool Listed = false;
  /// When a report was read that should list the run and doesn't; nothing if
  /// the last one does.
  std::optional<core::TimePoint> MissingSince;
  /// A report that listed it was made when it was too old to be the cause of a
  /// crash.
  bool HasLasted = false;
  /// Fence of its start.
  std::uint64_t Fence = 0;
  core::TimePoint OrderedAt;
  /// When its start was sent, if that is known; the maximum while the start is
  /// known to wait.
  core::TimePoint SentAt;
  core::TimePoint ConfirmedAt;
  /// When the last stop order was planned.
  core::TimePoint StopSentAt;
  /// Earliest time to send the next stop order.
  core::TimePoint StopAt;
  /// When a report last showed a lasting task as started up.
  core::TimePoint ReadyAt;
  /// When a report last showed a changed \ref Percent.
  core::TimePoint ProgressedAt;
  RunPace Pace;
  std::uint32_t Percent = 0;
  double Load = 0;

  /// Whether its start is known to wait to be sent.
  bool isWaiting() const { return SentAt == core::TimePoint::max(); }
  /// When its start was sent; when it was ordered if that is not known.
  core::TimePoint sentAt() const {
    return isWaiting() ? OrderedAt : std::max(OrderedAt, SentAt);
  }
};

/// What is known of the run's start.
inline StartSign signOf(const LiveRun &Run) {
  if (Run.Listed)
    return StartSign::Listed;
  if (Run.Confirmed)
    return StartSign::Accepted;
  return Run.Unclear ? StartSign::Unclear : StartSign::Sent;
}

struct TaskState {
  TaskProgress Kept;
  std::vector<LiveRun> Runs;
  /// Until then, a suspect task waits for a worker without another suspect.
  core::TimePoint SpreadUntil;
  /// Earliest time of the next start.
  core::TimePoint NotBefore;
  /// A worker has begun the last run.
  bool HasBegun = false;
  /// Of a gang's member: the worker of its last run if that was not begun.
  std::string NoStartOn;
  /// Of a gang's first member: tries in a row in which some members began and
  /// some did not.
  std::uint32_t VainTries = 0;
  /// Worker on which the last run failed or straggled.
  std::string FailedOn;
  /// A run of it was a straggler; such a task is not restarted for that reason
  /// again. Not set for lasting steps.
  bool HadStraggler = false;
  /// A second copy is to start in parallel with the current run.
  bool WantsCopy = false;
  /// This owner has started it or found a run of it.
  bool HadRun = false;
  /// When its last run was removed, or when it became ready to start.
  core::TimePoint WaitingSince;
};

/// Run times of one queue's tasks.
struct RunTimes {
  std::uint32_t Samples = 0;
  /// Moving average, in milliseconds.
  double MeanMs = 0;
};

/// One team's use of this pool.
struct TeamState {
  /// Resources reserved by its runs.
  core::Resources Use;
  /// Maximum of \ref Use in this pool; empty means unlimited.
  std::optional<core::Resources> Room;
};

/// Position of a task within its job.
struct TaskPlace {
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
};

struct JobRecord {
  JobSpec Spec;
  /// Counts the jobs that the owner has learned of.
  std::uint64_t Number = 0;
  std::vector<TaskState> Tasks;
  /// Index of each step's first task within an occurrence.
  std::vector<std::uint32_t> StepBegin;
  /// Number of unfinished tasks, by occurrence and step.
  std::vector<std::uint32_t> UnfinishedTasks;
  /// The current state, possibly not persisted yet.
  JobState Now = JobState::Queued;
  /// The persisted state. A final state becomes visible only once persisted.
  JobState Stored = JobState::Queued;
  /// Why it has ended, if it has.
  std::optional<JobEndCause> EndedFor;
  /// A worker has begun one of its tasks.
  bool Started = false;
  core::TimePoint KnownSince;
  /// Until then, a start that was given up without an answer may still be
  /// carried out, or its run may last.
  core::TimePoint LateStartsUntil;
  /// An earlier owner may have started it.
  bool Inherited = false;
  /// Number of its first change that is not in a batch yet; zero if there is
  /// none.
  std::uint64_t FirstChange = 0;
  /// The store refuses its progress, which is in no batch of changes.
  bool SetAside = false;
  /// It has changed since its progress was last put into a batch of rows that
  /// were set aside.
  bool ChangedAside = false;
  /// Index in the list of open jobs.
  std::size_t OpenIndex = 0;
  /// Priority of its queue, or the job's own if the queue is not configured.
  std::uint32_t Priority = 0;
  bool Advised = false;
  /// Its stored progress can't be read: which of its tasks have run is not
  /// known.
  bool ProgressUnread = false;
  /// It was cancelled meanwhile.
  bool CancelWanted = false;
  /// A worker has crashed, or may have crashed, under one of its tasks.
  bool Suspect = false;
  RunTimes *Times = nullptr;
  TeamState *Team = nullptr;
  std::uint32_t TasksPerOccurrence = 1;
  /// Whether \ref Waiting and \ref WaitingSteps are up to date; reset by each
  /// change that may affect them.
  bool WaitingKnown = false;
  /// Tasks of ready steps that need a run, in order.
  std::vector<std::uint32_t> Waiting;
  /// Distinct steps of these tasks.
  std::vector<const StepSpec *> WaitingSteps;
};

/// Jobs by id.
using JobTable = std::unordered_map<std::string, std::unique_ptr<JobRecord>>;

/// A task of a job, by its index within the job.
using TaskOfJob = std::pair<JobRecord *, std::uint32_t>;

/// Orders tasks in the way in which their jobs became known, which doesn't
/// depend on addresses.
struct TaskOrder {
  bool operator()(const TaskOfJob &A, const TaskOfJob &B) const {
    return A.first->Number != B.first->Number
               ? A.first->Number < B.first->Number
               : A.second < B.second;
  }
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_JOBRECORD_H
