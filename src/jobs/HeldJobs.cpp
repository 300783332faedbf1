#include "jobs/PoolState.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::jobs {

namespace {

/// Interval of the stops of a run whose job is unknown, until no report lists
/// it.
constexpr std::chrono::milliseconds UnknownStopRetry(1000);

} // namespace

void PoolState::holdJob(const JobSpec &Spec, std::optional<JobState> Stored,
                        core::TimePoint Now) {
  if (Jobs_.count(Spec.Id) != 0)
    return;
  JobRecord &Job = makeJob(Spec, Now);
  Job.Inherited = true;
  Job.ProgressUnread = true;
  Job.Started = Stored && *Stored != JobState::Queued;
  openJob(Job);
  applyEarlyReports(Job, Now);
}

void PoolState::restoreJob(const std::string &Id, const JobProgress &Kept,
                           core::TimePoint Now) {
  JobRecord *Job = jobOf(Id);
  if (!Job || !Job->ProgressUnread)
    return;
  Now_ = Now;
  Job->ProgressUnread = false;
  bool HasRuns = Job->Started;
  // What workers have told meanwhile is newer than the stored progress.
  std::vector<TaskProgress> Learnt;
  Learnt.reserve(Job->Tasks.size());
  for (TaskState &Task : Job->Tasks)
    Learnt.push_back(std::exchange(Task.Kept, {}));
  applyKept(*Job, Kept, Now);
  if (HasRuns && !isFinal(Job->Now))
    markStarted(*Job);
  for (std::size_t T = 0; T < Learnt.size(); ++T) {
    TaskState &Task = Job->Tasks[T];
    for (LiveRun &Run : Task.Runs)
      Run.Stopping = Run.Stopping || Task.Kept.Done;
    if (isFinal(Job->Now) || Task.Kept.Done)
      continue;
    if (!Learnt[T].Checkpoint.empty())
      Task.Kept.Checkpoint = std::move(Learnt[T].Checkpoint);
    std::vector<RunId> &Crashed = Task.Kept.CrashedRuns;
    for (RunId Run : Learnt[T].CrashedRuns)
      if (std::find(Crashed.begin(), Crashed.end(), Run) == Crashed.end()) {
        Crashed.push_back(Run);
        if (wasShared(Task.Kept, Run))
          Task.Kept.SharedCrashes.push_back(Run);
        Outbox_.markChanged(*Job);
      }
    Job->Suspect = Job->Suspect || !Crashed.empty();
  }
  Job->WaitingKnown = false;
  StopsChanged_ = true;
  if (isFinal(Job->Now)) {
    closeJob(*Job);
    stopAllRuns(*Job, JobEndCause::Stored);
  }
  applyEarlyReports(*Job, Now);
  for (std::uint32_t T = 0; T < Job->Tasks.size() && !isFinal(Job->Now); ++T) {
    if (countCrashes(*Job, T) < mostCrashes(*Job, T))
      continue;
    if (stepOf(*Job, T).Lasting) {
      delayLasting(*Job, T, Now);
      continue;
    }
    ++Counters_.GivenUp;
    endJob(*Job, JobEndCause::Crashes);
  }
  if (Job->CancelWanted && !isFinal(Job->Now))
    endJob(*Job, JobEndCause::Cancelled);
}

/// Whether the job exists and it isn't known which of its tasks have run.
bool PoolState::isAwaited(const std::string &Id) const {
  const JobRecord *Job = findJob(Id);
  return Awaited_.count(Id) != 0 || (Job && Job->ProgressUnread);
}

/// Whether the job can't be added yet and was cancelled.
bool PoolState::isCancelledAwaited(const std::string &Id) const {
  auto At = Awaited_.find(Id);
  return At != Awaited_.end() && At->second;
}

/// Stops the worker's runs of cancelled jobs that can't be added yet.
void PoolState::planUnknownStops(WorkerState &W, core::TimePoint Now,
                                 Orders &Out) {
  auto MustStop = [&](const RunReport &Run) {
    return isCancelledAwaited(Run.Task.JobId) &&
           !W.UnknownMissing.contains({Run.Task, Run.Run});
  };
  if (std::none_of(W.UnknownRuns.begin(), W.UnknownRuns.end(), MustStop))
    return;
  if (W.StopUnknownAt <= Now) {
    for (const RunReport &Run : W.UnknownRuns)
      if (MustStop(Run))
        Out.Stops.push_back({W.Entry.Id, Run.Task, Run.Run, fenceOf(W)});
    W.StopUnknownAt = Now + UnknownStopRetry;
  }
  NextStopAt_ = std::min(NextStopAt_, W.StopUnknownAt);
}

/// Whether the worker alone can tell a later owner of an end of such a job.
bool PoolState::hasAwaitedEnds(const WorkerState &W) const {
  return std::any_of(
      W.Unstored.begin(), W.Unstored.end(),
      [this](const UnstoredEnd &End) { return isAwaited(End.JobId); });
}

} // namespace comfreydeck::jobs
