#include "jobs/StartPlan_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// A lasting task must have a run again within this time.
constexpr std::chrono::milliseconds LastingBound(9000);
/// Once the traffic has ended, work for which there is room must run within
/// this time.
constexpr std::chrono::milliseconds OtherBound(14000);
/// A lasting task normally restarts well within this.
constexpr std::chrono::milliseconds LongLastingWait(3000);
constexpr core::Duration LongOtherWait = OtherBound / 2;

} // namespace

WaitReason StartPlan::reasonOf(JobRecord &Job, std::uint32_t Task) const {
  if (!Job.Tasks[Task].Runs.empty())
    return WaitReason::SilentWorker;
  auto [First, Last] = PoolState::unitOf(Job, Task);
  std::optional<WaitReason> Delay = delayOf(Job, Task);
  if (Delay == WaitReason::NotDue)
    return *Delay;
  if (std::optional<WaitReason> Held = heldBackBy(Job))
    return *Held;
  // A gang waits for each of its members.
  for (std::uint32_t T = First; T < Last && !Delay; ++T)
    Delay = delayOf(Job, T);
  if (Delay)
    return *Delay;
  if (Job.Suspect && !Owner_.mayTryAgain(Job, Task))
    return WaitReason::CrashOpen;
  if (!hasTeamRoom(Job, PoolState::stepOf(Job, Task), Last - First))
    return WaitReason::TeamLimit;
  return placementReason(Job, Task);
}

WaitReason StartPlan::placementReason(JobRecord &Job,
                                      std::uint32_t Task) const {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  auto HasLabel = [&](const WorkerState *W) {
    return hasLabel(W->Entry, Step);
  };
  if (!Usable_.empty() &&
      std::none_of(Usable_.begin(), Usable_.end(), HasLabel))
    return WaitReason::Label;
  if (exceedsCapacity(Step))
    return WaitReason::Unplaceable;
  if (isIsolated(Job, Task))
    return WaitReason::Isolated;
  if (Step.Gang)
    return gangReason(Job, PoolState::unitOf(Job, Task).first);
  if (!core::fits(reservedBy(Step), MostFree_))
    return WaitReason::Room;
  if (const WorkerState *W = chooseWorker(Job, Task)) {
    if (mayWaitForRackInsteadOf(*W, Job, Task))
      return WaitReason::Rack;
    return mustWithhold(Job, Task, *W) ? WaitReason::Report : WaitReason::Room;
  }
  return countPlacements(Job, Task).WithRoom > 0 ? WaitReason::Spread
                                                 : WaitReason::Room;
}

/// Whether there are workers with the step's label, and none is large enough
/// for a task of it.
bool StartPlan::exceedsCapacity(const StepSpec &Step) const {
  bool AnyListed = false;
  for (const WorkerState *W : Largest_) {
    if (!hasLabel(W->Entry, Step))
      continue;
    if (core::fits(reservedBy(Step), W->Entry.Capacity))
      return false;
    AnyListed = true;
  }
  return AnyListed;
}

/// Finds the usable workers, and those that tell whether a task can ever fit.
void StartPlan::findForReasons() {
  findUsable();
  Largest_.clear();
  for (const auto &[Id, W] : Owner_.Workers_) {
    auto IsLike = [&W = *W](const WorkerState *Other) {
      return core::fits(W.Entry.Capacity, Other->Entry.Capacity) &&
             W.Entry.Labels == Other->Entry.Labels;
    };
    if (!W->Gone && !W->Ended &&
        std::none_of(Largest_.begin(), Largest_.end(), IsLike))
      Largest_.push_back(W.get());
  }
}

TaskWait StartPlan::waitOf(JobRecord &Job, std::uint32_t Task) const {
  TaskWait Wait;
  Wait.Task = PoolState::refOf(Job, Task);
  Wait.Reason = reasonOf(Job, Task);
  Wait.Age = ageOf(Job, Task);
  return Wait;
}

/// How long the task has had no run that is known to be live; negative if it is
/// not due.
core::Duration StartPlan::ageOf(const JobRecord &Job,
                                std::uint32_t Task) const {
  core::Duration Age = In_.Now - Owner_.missedSince(Job, Task);
  if (Job.Spec.Repetitions == 0)
    return Age;
  std::int64_t DueMs =
      Job.Spec.FirstDueMs +
      PoolState::placeOf(Job, Task).Occurrence * Job.Spec.IntervalMs;
  return std::min<core::Duration>(
      Age, std::chrono::milliseconds(In_.WallMs - DueMs));
}

void StartPlan::countWaits(PoolGauges &Census) {
  findForReasons();
  for (JobRecord *Job : Owner_.Open_) {
    PoolState::refreshWaiting(*Job);
    // The first waiting task of a step tells for its others.
    std::optional<std::pair<std::uint32_t, WaitReason>> Known;
    for (std::uint32_t Task : Job->Waiting) {
      if (!Job->Tasks[Task].Runs.empty())
        continue;
      TaskWait Wait;
      std::uint32_t First = Task - PoolState::placeOf(*Job, Task).Index;
      if (!Known || Known->first != First || Job->Suspect)
        Known = {First, reasonOf(*Job, Task)};
      Wait.Reason = Known->second;
      ++Census.Waiting[jobs::indexOf(Wait.Reason)];
      if (Wait.Reason == WaitReason::NotDue)
        continue;
      Wait.Age = ageOf(*Job, Task);
      core::addSample(Census.Waits[jobs::indexOf(Wait.Reason)], Wait.Age);
      std::optional<TaskWait> &Longest = PoolState::stepOf(*Job, Task).Lasting
                                             ? Census.LongestLastingWait
                                             : Census.LongestOtherWait;
      if (Longest && Wait.Age <= Longest->Age)
        continue;
      Wait.Task = PoolState::refOf(*Job, Task);
      Longest = Wait;
    }
  }
}

PlacementCounts StartPlan::countPlacements(JobRecord &Job,
                                           std::uint32_t Task) const {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  PlacementCounts Counts;
  Counts.Workers = static_cast<std::uint32_t>(Owner_.Workers_.size());
  Counts.Usable = static_cast<std::uint32_t>(Usable_.size());
  for (const WorkerState *W : Usable_) {
    if (!hasLabel(W->Entry, Step) || !mayHost(*W, Step))
      continue;
    ++Counts.WithLabel;
    if (!core::fits(reservedBy(Step), freeOn(*W)))
      continue;
    ++Counts.WithRoom;
    Counts.WithSpread += hasSpread(*W, Job, Task, Step) ? 1 : 0;
  }
  return Counts;
}

/// Whether the task merely waits for its turn, as most do in a full pool.
bool StartPlan::isQueued(JobRecord &Job, std::uint32_t Task) const {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  switch (reasonOf(Job, Task)) {
  case WaitReason::NotDue:
  case WaitReason::Advised:
  case WaitReason::TeamLimit:
  case WaitReason::Spread:
    return true;
  case WaitReason::Gang:
    return !isHalfFree();
  case WaitReason::Room:
    return !core::fits(reservedBy(Step), MostFree_) ||
           countPlacements(Job, Task).WithSpread == 0;
  default:
    return false;
  }
}

/// Whether half of the CPU of the usable workers is free.
bool StartPlan::isHalfFree() const {
  std::uint64_t Free = 0;
  std::uint64_t All = 0;
  for (const WorkerState *W : Usable_) {
    Free += freeOn(*W).MilliCpus;
    All += W->Entry.Capacity.MilliCpus;
  }
  return Free * 2 >= All;
}

/// Notes the wait of a task of the job if it is long and longer by its bound. A
/// task that is not lasting waits from the end of its last run on.
void StartPlan::noteLongWait(JobRecord &Job, LongWaiting &Longest) const {
  bool Lasting = Job.Spec.Steps.front().Lasting;
  core::Duration Limit = Lasting ? LongLastingWait : LongOtherWait;
  core::Duration Bound = Lasting ? LastingBound : OtherBound;
  if (In_.Now - Job.KnownSince <= Limit)
    return;
  std::optional<std::uint32_t> Queued;
  auto Note = [&](std::uint32_t Task) {
    core::Duration Age = ageOf(Job, Task);
    double Share = core::inMs(Age) / core::inMs(Bound);
    if (Age <= Limit || Share <= Longest.Share)
      return;
    std::uint32_t First = Task - PoolState::placeOf(Job, Task).Index;
    // Suspect tasks may differ from others of their step.
    if (First == Queued && !Job.Suspect)
      return;
    if (!Lasting && isQueued(Job, Task))
      Queued = First;
    else
      Longest = {Share, &Job, Task};
  };
  if (!Lasting) {
    PoolState::refreshWaiting(Job);
    for (std::uint32_t Task : Job.Waiting)
      if (Job.Tasks[Task].Runs.empty())
        Note(Task);
    return;
  }
  for (std::uint32_t Task = 0; Task < Job.Tasks.size(); ++Task)
    if (!Job.Tasks[Task].Kept.Done &&
        PoolState::stepReady(Job, PoolState::placeOf(Job, Task)))
      Note(Task);
}

std::optional<LongWait> StartPlan::findLongWait() {
  findForReasons();
  LongWaiting Longest;
  for (JobRecord *Job : Owner_.Open_)
    noteLongWait(*Job, Longest);
  if (!Longest.Job)
    return std::nullopt;
  LongWait Found;
  Found.Wait = waitOf(*Longest.Job, Longest.Task);
  Found.Lasting = Longest.Job->Spec.Steps.front().Lasting;
  Found.Placement = countPlacements(*Longest.Job, Longest.Task);
  for (const auto &[Id, W] : Owner_.Workers_) {
    Found.Unheard += W->Heard ? 0 : 1;
    Found.Isolated += W->Isolated ? 1 : 0;
  }
  return Found;
}

} // namespace comfreydeck::jobs
