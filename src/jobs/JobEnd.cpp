#include "jobs/JobEnd.h"

#include "jobs/PoolState.h"
#include "jobs/PoolTimes_p.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::jobs {

const char *nameOf(JobEndCause Cause) {
  switch (Cause) {
  case JobEndCause::TasksDone:
    return "tasks-done";
  case JobEndCause::FailedRuns:
    return "failed-runs";
  case JobEndCause::Crashes:
    return "crashes";
  case JobEndCause::Cancelled:
    return "cancelled";
  case JobEndCause::Stored:
    return "stored";
  }
  return "";
}

std::optional<JobState> stateAfter(JobEndCause Cause) {
  switch (Cause) {
  case JobEndCause::TasksDone:
    return JobState::Completed;
  case JobEndCause::FailedRuns:
  case JobEndCause::Crashes:
    return JobState::Failed;
  case JobEndCause::Cancelled:
    return JobState::Cancelled;
  case JobEndCause::Stored:
    return std::nullopt;
  }
  return std::nullopt;
}

void PoolState::cancelJob(const std::string &Id) {
  JobRecord *Job = jobOf(Id);
  if (auto Awaited = Awaited_.find(Id); Awaited != Awaited_.end()) {
    Awaited->second = true;
    StopsChanged_ = true;
  }
  if (Job && Job->ProgressUnread) {
    Job->CancelWanted = true;
    stopAllRuns(*Job, JobEndCause::Cancelled);
    return;
  }
  if (Job && !isFinal(Job->Now))
    endJob(*Job, JobEndCause::Cancelled);
}

/// Stops all runs of a job that ends or is to end.
void PoolState::stopAllRuns(JobRecord &Job, JobEndCause Cause) {
  StopsChanged_ = true;
  LastingJobEnd End;
  End.JobId = Job.Spec.Id;
  End.State = isFinal(Job.Now) ? Job.Now : JobState::Cancelled;
  End.Cause = Cause;
  bool HasLasting = false;
  for (std::uint32_t T = 0; T < Job.Tasks.size(); ++T) {
    bool Lasting = stepOf(Job, T).Lasting;
    HasLasting = HasLasting || Lasting;
    for (LiveRun &Run : Job.Tasks[T].Runs) {
      bool IsStopped = !std::exchange(Run.Stopping, true) && Lasting;
      End.Runs += IsStopped ? 1 : 0;
      End.AtWork += IsStopped && Run.Percent >= ReadyPercent ? 1 : 0;
    }
  }
  if (HasLasting && (End.Runs > 0 || isFinal(Job.Now)))
    Events_.LastingEnds.push_back(std::move(End));
}

/// Whether the job's end has to be stored before the task's runs are stopped: a
/// later owner that doesn't know of a failure goes on with the job. A cancel is
/// stored before an owner learns of it.
bool PoolState::mustStoreEnd(const JobRecord &Job, std::uint32_t Task) {
  return Job.Now == JobState::Failed && !isFinal(Job.Stored) &&
         stepOf(Job, Task).Lasting;
}

void PoolState::endJob(JobRecord &Job, JobEndCause Cause) {
  Job.Now = stateAfter(Cause).value();
  Job.EndedFor = Cause;
  closeJob(Job);
  stopAllRuns(Job, Cause);
  Outbox_.markChanged(Job);
}

void PoolState::taskDone(JobRecord &Job, std::uint32_t Task) {
  TaskState &State = Job.Tasks[Task];
  TaskPlace Place = placeOf(Job, Task);
  const StepSpec &Step = Job.Spec.Steps[Place.Step];
  // It starts again; a later run of it goes on.
  if (Step.Lasting)
    return;
  StopsChanged_ = StopsChanged_ || !State.Runs.empty();
  for (LiveRun &Run : State.Runs)
    Run.Stopping = true;
  if (State.Kept.Done || isFinal(Job.Now))
    return;
  State.Kept.Done = true;
  State.Kept.Checkpoint.clear();
  State.Kept.CrashedRuns.clear();
  State.Kept.SharedCrashes.clear();
  State.Kept.Announced.reset();
  State.Kept.Unsettled.clear();
  ++Counters_.Done;
  std::uint32_t &Unfinished =
      Job.UnfinishedTasks[Place.Occurrence * Job.Spec.Steps.size() +
                          Place.Step];
  if (--Unfinished == 0)
    restartWaits(Job, Place);
  Job.WaitingKnown = false;
  Outbox_.markChanged(Job);
  // A gang completes as a whole when one member does.
  if (Step.Gang)
    for (std::uint32_t MemberIndex = 0; MemberIndex < Step.Tasks; ++MemberIndex)
      taskDone(Job, Task - Place.Index + MemberIndex);
  bool AllDone =
      std::all_of(Job.UnfinishedTasks.begin(), Job.UnfinishedTasks.end(),
                  [](std::uint32_t Left) { return Left == 0; });
  if (AllDone && !isFinal(Job.Now))
    endJob(Job, JobEndCause::TasksDone);
}

/// Tasks of steps that depend on the ended one have waited for it until now.
void PoolState::restartWaits(JobRecord &Job, const TaskPlace &EndedStep) {
  std::uint32_t Begin = EndedStep.Occurrence * Job.TasksPerOccurrence;
  for (std::size_t S = 0; S < Job.Spec.Steps.size(); ++S) {
    const StepSpec &Step = Job.Spec.Steps[S];
    if (std::find(Step.After.begin(), Step.After.end(), EndedStep.Step) ==
        Step.After.end())
      continue;
    for (std::uint32_t Index = 0; Index < Step.Tasks; ++Index)
      Job.Tasks[Begin + Job.StepBegin[S] + Index].WaitingSince = Now_;
  }
}

void PoolState::taskFailed(JobRecord &Job, std::uint32_t Task, WorkerState &W,
                           core::TimePoint Now) {
  ++Counters_.Failed;
  TaskState &State = Job.Tasks[Task];
  State.FailedOn = W.Entry.Id;
  if (W.LastFailedJob != Job.Spec.Id) {
    W.LastFailedJob = Job.Spec.Id;
    ++W.FailuresInRow;
  }
  if (W.FailuresInRow >= Limits_.QuarantineFailures)
    quarantine(W, Now);
  const StepSpec &Step = stepOf(Job, Task);
  if (Step.Lasting || isFinal(Job.Now) || State.Kept.Done)
    return;
  Outbox_.markChanged(Job);
  std::size_t Failures = State.Kept.FailedRuns.size();
  if (Step.Gang) {
    Failures = 0;
    std::uint32_t First = Task - placeOf(Job, Task).Index;
    for (std::uint32_t MemberIndex = 0; MemberIndex < Step.Tasks; ++MemberIndex)
      Failures += Job.Tasks[First + MemberIndex].Kept.FailedRuns.size();
  }
  if (Failures >= Job.Spec.MaxAttempts)
    endJob(Job, JobEndCause::FailedRuns);
}

} // namespace comfreydeck::jobs
