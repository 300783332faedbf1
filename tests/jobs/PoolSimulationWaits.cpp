#include "jobs/PoolSimulation_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// A lasting task that could start has a run again within this: it may be
/// without one for six seconds, and for the three that are looked at.
constexpr std::chrono::seconds LastingWaitBound(9);
/// Other tasks that could start do within this: jobs are looked at so long
/// after the end of the traffic.
constexpr std::chrono::seconds WaitBound(14);

} // namespace

core::Resources PoolSimulation::usedOn(const Worker &W) const {
  core::Resources Used;
  for (const Run &R : W.Running) {
    core::Resources Need = reservedNeed(stepOf(R.Task));
    Used.MilliCpus += Need.MilliCpus;
    Used.MemoryMb += Need.MemoryMb;
    Used.Accelerators += Need.Accelerators;
  }
  return Used;
}

/// Index of the task in its job's progress.
std::size_t PoolSimulation::positionOf(const TaskRef &Task) const {
  const JobSpec &Spec = specOf(Task.JobId);
  std::size_t Position = Task.Index;
  for (std::uint32_t S = 0; S < Task.Step; ++S)
    Position += Spec.Steps[S].Tasks;
  Position += std::size_t{Task.Occurrence} * tasksPerOccurrence(Spec);
  return Position;
}

/// A gang is done as a whole once one member is.
bool PoolSimulation::isDoneBy(const TaskRef &Task, const EndReport &End) const {
  bool SameStep = End.Task.JobId == Task.JobId && End.Task.Step == Task.Step;
  return End.How == RunEnd::Done &&
         (End.Task == Task || (SameStep && stepOf(Task).Gang));
}

/// Whether the task is to run: its turn has come, and it is not done for good.
bool PoolSimulation::mustRun(const TaskRef &Task) const {
  if (!isDue(Task))
    return false;
  auto Stored = Stored_.find(Task.JobId);
  if (AcknowledgedTasks_.count(Task) != 0 ||
      (Stored != Stored_.end() && Stored->second.Tasks[positionOf(Task)].Done))
    return false;
  return std::none_of(Workers_.begin(), Workers_.end(), [&](const Worker &W) {
    auto IsRun = [&](const Run &R) { return R.Task == Task; };
    auto IsDone = [&](const EndReport &End) {
      return End.Task == Task && End.How == RunEnd::Done;
    };
    return W.Up && (std::any_of(W.Running.begin(), W.Running.end(), IsRun) ||
                    std::any_of(W.Ended.begin(), W.Ended.end(), IsDone));
  });
}

/// How many more such tasks the worker could take, ten at most.
std::uint32_t PoolSimulation::countPlaces(const Worker &W,
                                          const TaskRef &Task) const {
  const StepSpec &Step = stepOf(Task);
  bool Labelled =
      Step.Label.empty() ||
      std::find(W.Labels.begin(), W.Labels.end(), Step.Label) != W.Labels.end();
  if (!W.Listed || W.Closed || Now_ - W.BornAt < CalmTime || !Labelled)
    return 0;
  core::Resources Used = usedOn(W);
  std::uint32_t Places = timesIn(reservedNeed(Step),
                                 {W.Capacity.MilliCpus - Used.MilliCpus,
                                  W.Capacity.MemoryMb - Used.MemoryMb,
                                  W.Capacity.Accelerators - Used.Accelerators});
  if (Step.MaxPerWorker == 0)
    return Places;
  auto OfStep =
      std::count_if(W.Running.begin(), W.Running.end(),
                    [&](const Run &R) { return isSameStep(R.Task, Task); });
  std::uint32_t Limit = Step.MaxPerWorker;
  return std::min(Places,
                  Limit - std::min<std::uint32_t>(
                              Limit, static_cast<std::uint32_t>(OfStep)));
}

/// Whether the task's team, if its use is limited, uses under half of its room.
bool PoolSimulation::hasAmpleTeamRoom(const JobSpec &Spec,
                                      const StepSpec &Step) const {
  if (Spec.Team.empty())
    return true;
  std::uint64_t Used = Step.Need.MilliCpus * gangSize(Step);
  for (const Worker &W : Workers_)
    for (const Run &R : W.Running)
      if (specOf(R.Task.JobId).Team == Spec.Team)
        Used += stepOf(R.Task).Need.MilliCpus;
  return Used * 2 <= TeamRoom.MilliCpus;
}

/// Whether there is room for the task twice over on workers that can take it
/// and, unless it lasts, under half of the pool's capacity is in use. A gang
/// needs it for all its members.
bool PoolSimulation::hasAmpleRoom(const TaskRef &Task) const {
  const StepSpec &Step = stepOf(Task);
  std::uint32_t Places = 0;
  std::uint64_t Used = 0;
  std::uint64_t Capacity = 0;
  for (const Worker &W : Workers_) {
    if (!W.Up || isCutOff(W))
      continue;
    Used += usedOn(W).MilliCpus;
    Capacity += W.Capacity.MilliCpus;
    Places += countPlaces(W, Task);
  }
  return Places >= RoomTimes * gangSize(Step) &&
         (Step.Lasting || Used * 2 < Capacity) &&
         hasAmpleTeamRoom(specOf(Task.JobId), Step);
}

/// Checks how long tasks have waited that could start, once no fault is
/// injected any more; lasting ones only while all workers are in touch.
void PoolSimulation::watchWaits() {
  if (Now_.time_since_epoch() % WaitStep != core::Duration::zero())
    return;
  bool Faultless = FaultsOver_ || Options_.Calm;
  bool InTouch = std::none_of(Workers_.begin(), Workers_.end(),
                              [this](const Worker &W) { return isCutOff(W); });
  if (!Faultless)
    return;
  std::erase_if(OpenJobs_, [&](const auto &Job) {
    if (isOver(Job.first))
      forgetWaits(*Job.second);
    return isOver(Job.first);
  });
  for (const auto &[Id, Spec] : OpenJobs_)
    watchWaits(*Spec);
  if (!LastingJob_)
    return;
  if (InTouch)
    watchWaits(*LastingJob_);
  else
    forgetWaits(*LastingJob_);
}

bool PoolSimulation::isOver(const std::string &JobId) const {
  auto Stored = Stored_.find(JobId);
  return Stored != Stored_.end() && isFinal(Stored->second.State);
}

void PoolSimulation::forgetWaits(const JobSpec &Spec) {
  std::erase_if(Waits_,
                [&](const auto &Wait) { return Wait.first.JobId == Spec.Id; });
}

void PoolSimulation::watchWaits(const JobSpec &Spec) {
  for (std::uint32_t K = 0; K < occurrences(Spec); ++K)
    for (std::uint32_t S = 0; S < Spec.Steps.size(); ++S)
      for (std::uint32_t Index = 0; Index < Spec.Steps[S].Tasks; ++Index)
        watchWait({Spec.Id, K, S, Index});
}

void PoolSimulation::watchWait(const TaskRef &Task) {
  if (!mustRun(Task) || !hasAmpleRoom(Task)) {
    Waits_.erase(Task);
    return;
  }
  core::Duration Wait = Now_ - Waits_.emplace(Task, Now_).first->second;
  bool Lasting = stepOf(Task).Lasting;
  core::Duration &Longest =
      Lasting ? Result_.LongestLastingWait : Result_.LongestWait;
  Longest = std::max(Longest, Wait);
  watchRackWait(Task, Wait);
  if (Wait >=
      (Lasting ? core::Duration(LastingWaitBound) : core::Duration(WaitBound)))
    failWait(Task);
}

void PoolSimulation::failWait(const TaskRef &Task) {
  PoolGauges Gauges =
      Owners_.back()->State->gauges(nowOf(*Owners_.back()), clockMs());
  const std::optional<TaskWait> &Seen = stepOf(Task).Lasting
                                            ? Gauges.LongestLastingWait
                                            : Gauges.LongestOtherWait;
  fail("a task that could start has waited too long: " + Task.JobId + "." +
       std::to_string(Task.Step) + "." + std::to_string(Task.Index) +
       ", to its owner: " + (Seen ? nameOf(Seen->Reason) : "none waits"));
}

} // namespace comfreydeck::jobs
