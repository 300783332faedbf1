#include "jobs/StartPlan_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// A lasting task normally restarts well within this.
constexpr std::chrono::milliseconds LongWaitLimit(3000);

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
  if (Owner_.isCrashOpen(Job, Task))
    return WaitReason::CrashOpen;
  if (!hasTeamRoom(Job, PoolState::stepOf(Job, Task), Last - First))
    return WaitReason::TeamLimit;
  return placementReason(Job, Task);
}

WaitReason StartPlan::placementReason(JobRecord &Job,
                                      std::uint32_t Task) const {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  auto HasLabel = [&](const WorkerState *W) { return hasLabel(*W, Step); };
  if (!Usable_.empty() &&
      std::none_of(Usable_.begin(), Usable_.end(), HasLabel))
    return WaitReason::Label;
  bool AnyListed = false;
  bool Placeable = false;
  for (const auto &[Id, W] : Owner_.Workers_) {
    if (W->Gone || W->Ended || !hasLabel(*W, Step))
      continue;
    AnyListed = true;
    Placeable = Placeable || core::fits(reserved(Step), W->Entry.Capacity);
  }
  if (AnyListed && !Placeable)
    return WaitReason::Unplaceable;
  if (isIsolated(Job, Task))
    return WaitReason::Isolated;
  if (Step.Gang)
    return gangReason(Job, PoolState::unitOf(Job, Task).first, Step);
  if (const WorkerState *W = chooseWorker(Job, Task, ""))
    return mustWithhold(Job, Task, *W) ? WaitReason::Report : WaitReason::Room;
  return countPlacements(Job, Task).WithRoom > 0 ? WaitReason::Spread
                                                 : WaitReason::Room;
}

/// The gang's members are alike, so that the number of places tells whether all
/// find one.
WaitReason StartPlan::gangReason(JobRecord &Job, std::uint32_t First,
                                 const StepSpec &Step) const {
  const WorkerState *Chosen = chooseWorker(Job, First, "");
  std::uint32_t Places = 0;
  bool Withheld = false;
  for (const WorkerState *W : Usable_) {
    bool Elsewhere =
        Step.SameRack && (!Chosen || W->Entry.Rack != Chosen->Entry.Rack);
    if (Elsewhere || !meetsConstraints(*W, Job, First, Step))
      continue;
    Places += countPlaces(*W, Job, First, Step);
    Withheld = Withheld || mustWithhold(Job, First, *W);
  }
  if (Places < Step.Tasks)
    return WaitReason::Gang;
  return Withheld ? WaitReason::Report : WaitReason::Room;
}

/// How many more tasks of the step the worker may take, up to all of them.
std::uint32_t StartPlan::countPlaces(const WorkerState &W, JobRecord &Job,
                                     std::uint32_t Task,
                                     const StepSpec &Step) const {
  core::Resources Need = reserved(Step);
  core::Resources Free = freeOn(W);
  std::uint32_t Places = Step.Tasks;
  auto Bound = [&](std::uint32_t Has, std::uint32_t One) {
    if (One > 0)
      Places = std::min(Places, Has / One);
  };
  Bound(Free.MilliCpus, Need.MilliCpus);
  Bound(Free.MemoryMb, Need.MemoryMb);
  Bound(Free.Accelerators, Need.Accelerators);
  if (Step.MaxPerWorker > 0) {
    std::uint32_t Runs = countStepRuns(W, Job, Task);
    Places =
        std::min(Places, Step.MaxPerWorker - std::min(Runs, Step.MaxPerWorker));
  }
  return Places;
}

TaskWait StartPlan::waitOf(JobRecord &Job, std::uint32_t Task) const {
  TaskWait Wait;
  Wait.Task = PoolState::refOf(Job, Task);
  Wait.Reason = reasonOf(Job, Task);
  Wait.Age = In_.Now - Owner_.missedSince(Job, Task);
  if (Job.Spec.Repetitions > 0) {
    std::int64_t DueMs =
        Job.Spec.FirstDueMs + Wait.Task.Occurrence * Job.Spec.IntervalMs;
    Wait.Age = std::min<core::Duration>(
        Wait.Age, std::chrono::milliseconds(In_.WallMs - DueMs));
  }
  return Wait;
}

void StartPlan::countWaits(PoolGauges &Census) {
  findUsable();
  for (JobRecord *Job : Owner_.Open_) {
    PoolState::refreshWaiting(*Job);
    for (std::uint32_t Task : Job->Waiting) {
      if (!Job->Tasks[Task].Runs.empty())
        continue;
      TaskWait Wait = waitOf(*Job, Task);
      ++Census.Waiting[jobs::indexOf(Wait.Reason)];
      if (Wait.Reason == WaitReason::NotDue)
        continue;
      std::optional<TaskWait> &Longest = PoolState::stepOf(*Job, Task).Lasting
                                             ? Census.LongestLastingWait
                                             : Census.LongestOtherWait;
      if (!Longest || Wait.Age > Longest->Age)
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
    if (!hasLabel(*W, Step) || !mayHost(*W, Step))
      continue;
    ++Counts.WithLabel;
    if (!core::fits(reserved(Step), freeOn(*W)))
      continue;
    ++Counts.WithRoom;
    Counts.WithSpread += hasSpread(*W, Job, Task, Step) ? 1 : 0;
  }
  return Counts;
}

std::optional<LongWait> StartPlan::findLongWait() {
  findUsable();
  JobRecord *Longest = nullptr;
  std::uint32_t LongestTask = 0;
  core::TimePoint Since = In_.Now - LongWaitLimit;
  for (JobRecord *Job : Owner_.Open_) {
    if (!Job->Spec.Steps.front().Lasting)
      continue;
    for (std::uint32_t Task = 0; Task < Job->Tasks.size(); ++Task) {
      core::TimePoint Missed = Owner_.missedSince(*Job, Task);
      bool Ready = PoolState::stepReady(*Job, PoolState::placeOf(*Job, Task));
      if (!Ready || Job->Tasks[Task].Kept.Done || Missed >= Since)
        continue;
      Since = Missed;
      Longest = Job;
      LongestTask = Task;
    }
  }
  if (!Longest)
    return std::nullopt;
  LongWait Found;
  Found.Wait = waitOf(*Longest, LongestTask);
  Found.Placement = countPlacements(*Longest, LongestTask);
  for (const auto &[Id, W] : Owner_.Workers_)
    Found.Unheard += W->Heard ? 0 : 1;
  return Found;
}

} // namespace comfreydeck::jobs
