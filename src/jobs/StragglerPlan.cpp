#include "jobs/StragglerPlan_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// Lasting tasks start up within about a second, even on a loaded worker.
constexpr std::chrono::milliseconds StartUpLimit(3000);
/// Number of jobs with straggling runs after which the worker is considered
/// slow.
constexpr std::uint32_t SlowJobsLimit = 2;

} // namespace

void StragglerPlan::run() {
  for (auto &[Id, W] : Owner_.Workers_)
    for (const auto &[Job, Task] : W->Tasks)
      for (LiveRun &Run : Job->Tasks[Task].Runs)
        if (Run.Worker == Id)
          consider(*W, *Job, Task, Run);
}

void StragglerPlan::consider(WorkerState &W, JobRecord &Job, std::uint32_t Task,
                             LiveRun &Run) {
  const StepSpec &Step = Owner_.stepOf(Job, Task);
  TaskState &State = Job.Tasks[Task];
  // Restart each task at most once: one that is slow on a second worker too is
  // slow by itself.
  // A copy of a task that may crash its worker would cost another worker.
  bool MayCrash = Job.Suspect && Owner_.countPossibleCrashes(Job, Task) > 0;
  bool Settled = Run.Stopping || State.HadStraggler || Step.Gang ||
                 Step.Filling || MayCrash || !Owner_.mayRestart(Job);
  if (Settled || !isBehind(W, Job, Step, Run) ||
      !mayBeUnavailable(Job, Task, Step, Run) || !hasRoomElsewhere(W, Step))
    return;
  State.HadStraggler = !Step.Lasting;
  State.FailedOn = W.Entry.Id;
  recordSlowJob(W, Job);
  ++Owner_.Counters_.Stragglers;
  if (Step.Copies) {
    State.WantsCopy = true;
    Job.WaitingKnown = false;
    return;
  }
  if (!W.IncarnationConfirmed)
    return;
  Owner_.stopRun(Job, Task, Run, StopReason::Straggler, In_.Now);
}

bool StragglerPlan::isBehind(const WorkerState &W, const JobRecord &Job,
                             const StepSpec &Step, const LiveRun &Run) const {
  core::Duration Silent =
      In_.Now - std::max(W.ReportedAt.value_or(Run.OrderedAt), Run.OrderedAt);
  if (Silent > Owner_.Limits_.ReportStale / 2)
    return Step.Copies;
  if (!Run.Confirmed)
    return false;
  if (Step.Lasting)
    return In_.Now - std::max(Run.ConfirmedAt, Run.ReadyAt) > StartUpLimit;
  auto Expected = std::chrono::milliseconds(static_cast<std::int64_t>(
      Owner_.Estimates_.runTimeOnMs(Job, Step, W.Entry)));
  return isStraggling(Run.Pace, Expected);
}

/// Whether the run's task may be away until it has restarted. A lasting run
/// that makes progress may be at work by the time it is stopped.
bool StragglerPlan::mayBeUnavailable(const JobRecord &Job, std::uint32_t Task,
                                     const StepSpec &Step,
                                     const LiveRun &Run) const {
  bool Stalled =
      In_.Now - std::max(Run.ConfirmedAt, Run.ProgressedAt) > StartUpLimit;
  return !Step.Lasting || Stalled || Owner_.mayBecomeAbsent(Job, Task, In_.Now);
}

bool StragglerPlan::hasRoomElsewhere(const WorkerState &W,
                                     const StepSpec &Step) const {
  auto Fits = [&](const WorkerState &Other) {
    bool Usable = Other.IncarnationConfirmed && !Other.Gone && !Other.Closed &&
                  !Other.Isolated && !Other.Entry.Draining &&
                  !isAvoided(Other, In_.Now);
    core::Resources Used = Other.Used;
    Used.MilliCpus += Step.Need.MilliCpus;
    Used.MemoryMb += Step.Need.MemoryMb;
    Used.Accelerators += Step.Need.Accelerators;
    return &Other != &W && Usable && core::fits(Used, Other.Entry.Capacity);
  };
  return std::any_of(Owner_.Workers_.begin(), Owner_.Workers_.end(),
                     [&](const auto &Item) { return Fits(*Item.second); });
}

void StragglerPlan::recordSlowJob(WorkerState &W, const JobRecord &Job) {
  if (W.LastSlowJob == Job.Spec.Id)
    return;
  W.LastSlowJob = Job.Spec.Id;
  if (++W.SlowJobs >= SlowJobsLimit)
    Owner_.quarantine(W, In_.Now);
}

} // namespace comfreydeck::jobs
