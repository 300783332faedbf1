#include "jobs/PoolState.h"

#include "jobs/LastingDemand_p.h"
#include "jobs/Placement_p.h"
#include "jobs/PoolTimes_p.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace comfreydeck::jobs {

namespace {

using std::chrono::milliseconds;

/// A task's share of its team's limit is asked for this long before the task is
/// due.
constexpr milliseconds AllotmentLead(1000);

/// When the task is due, in Unix milliseconds; zero for jobs that don't repeat.
std::int64_t dueMs(const JobRecord &Job, std::uint32_t Task) {
  if (Job.Spec.Repetitions == 0)
    return 0;
  std::int64_t Occurrence = Task / Job.TasksPerOccurrence;
  return Job.Spec.FirstDueMs + Occurrence * Job.Spec.IntervalMs;
}

/// Whether the worker could run a task of the step if it had no other one.
bool isLargeEnough(const WorkerEntry &Entry, const StepSpec &Step) {
  return hasLabel(Entry, Step) && core::fits(reservedBy(Step), Entry.Capacity);
}

/// Sums of resources, which may exceed those of any worker by far.
struct Totals {
  std::uint64_t MilliCpus = 0;
  std::uint64_t MemoryMb = 0;
  std::uint64_t Accelerators = 0;
};

void add(Totals &Sum, const core::Resources &More, std::uint64_t Times = 1) {
  Sum.MilliCpus += More.MilliCpus * Times;
  Sum.MemoryMb += More.MemoryMb * Times;
  Sum.Accelerators += More.Accelerators * Times;
}

std::uint32_t clamped(std::uint64_t Amount) {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(
      Amount, std::numeric_limits<std::uint32_t>::max()));
}

/// Jobs with an earlier acceptance time are taken for wrongly dated.
constexpr std::chrono::hours MaxAge(24);

/// Counts from when this owner knew the job if its acceptance time can't be
/// right.
std::int64_t ageMs(const JobRecord &Job, core::TimePoint Now,
                   std::int64_t WallMs) {
  std::int64_t Age = WallMs - Job.Spec.AcceptedMs;
  bool IsPlausible = Age >= 0 && std::chrono::milliseconds(Age) <= MaxAge;
  return IsPlausible ? Age : toMs(Now - Job.KnownSince);
}

} // namespace

core::Resources PoolState::teamUse(const std::string &Team) const {
  auto It = Teams_.find(Team);
  return It == Teams_.end() ? core::Resources{} : It->second.Use;
}

/// The team's units that wait and may start soon.
std::vector<PoolState::WaitingUnit>
PoolState::waitingUnits(const TeamState &Team, std::int64_t WallMs) const {
  std::vector<WaitingUnit> Units;
  for (JobRecord *Job : Open_) {
    if (Job->Team != &Team || Job->ProgressUnread)
      continue;
    refreshWaiting(*Job);
    std::vector<const StepSpec *> Placeable;
    for (const StepSpec *Step : Job->WaitingSteps)
      if (std::any_of(Workers_.begin(), Workers_.end(), [&](const auto &Item) {
            return !Item.second->Gone &&
                   isLargeEnough(Item.second->Entry, *Step);
          }))
        Placeable.push_back(Step);
    for (std::uint32_t T : Job->Waiting) {
      const StepSpec &Step = stepOf(*Job, T);
      if (!Job->Tasks[T].Runs.empty() ||
          WallMs < dueMs(*Job, T) - AllotmentLead.count() ||
          std::find(Placeable.begin(), Placeable.end(), &Step) ==
              Placeable.end())
        continue;
      auto [First, Last] = unitOf(*Job, T);
      bool AllWait =
          std::all_of(Job->Tasks.begin() + First, Job->Tasks.begin() + Last,
                      [](const TaskState &Task) { return Task.Runs.empty(); });
      if (T != First || !AllWait)
        continue;
      if (!Units.empty() && Units.back().Step == &Step)
        ++Units.back().Count;
      else
        Units.push_back({&Step, Last - First});
    }
  }
  return Units;
}

/// What the pool's workers hold beside the team's runs.
core::Resources PoolState::capacityBeside(const TeamState &Team) const {
  Totals Capacity;
  Totals Used;
  for (const auto &[Id, W] : Workers_)
    if (!W->Gone) {
      add(Capacity, W->Entry.Capacity);
      add(Used, W->Used);
    }
  auto Left = [](std::uint64_t Has, std::uint64_t Use) {
    return clamped(Has > Use ? Has - Use : 0);
  };
  return {Left(Capacity.MilliCpus,
               std::min<std::uint64_t>(Team.Use.MilliCpus, Used.MilliCpus)),
          Left(Capacity.MemoryMb, Team.Use.MemoryMb),
          Left(Capacity.Accelerators, Team.Use.Accelerators)};
}

/// The team's limit counts all that a unit needs, its workers' capacity not the
/// CPU time of filling tasks.
core::Resources PoolState::needOf(const WaitingUnit &Unit, bool OfWorkers) {
  auto Times = [&](std::uint64_t One) { return clamped(One * Unit.Tasks); };
  const core::Resources Need =
      OfWorkers ? reservedBy(*Unit.Step) : Unit.Step->Need;
  return {Times(Need.MilliCpus), Times(Need.MemoryMb),
          Times(Need.Accelerators)};
}

core::Resources PoolState::teamDemand(const std::string &Team,
                                      std::int64_t WallMs) const {
  auto Wanted = Teams_.find(Team);
  if (Wanted == Teams_.end())
    return {};
  std::vector<WaitingUnit> Units = waitingUnits(Wanted->second, WallMs);
  if (Units.empty())
    return {};
  core::Resources Left = capacityBeside(Wanted->second);
  Totals Demand;
  std::uint64_t FillingCpu = 0;
  for (const WaitingUnit &Unit : Units) {
    if (Unit.Step->Gang && !core::fits(needOf(Unit, true), Left))
      continue;
    core::Resources Need = needOf(Unit, false);
    if (Unit.Step->Filling)
      FillingCpu +=
          std::uint64_t{std::exchange(Need.MilliCpus, 0)} * Unit.Count;
    add(Demand, Need, Unit.Count);
  }
  auto Within = [](std::uint64_t Asked, std::uint32_t Most) {
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(Asked, Most));
  };
  return {clamped(Within(Demand.MilliCpus, Left.MilliCpus) + FillingCpu),
          Within(Demand.MemoryMb, Left.MemoryMb),
          Within(Demand.Accelerators, Left.Accelerators)};
}

PoolLoad PoolState::load(core::TimePoint Now, std::int64_t WallMs) const {
  // Jobs older than this are already late; additional machines would arrive
  // too late for them, except for lasting tasks.
  constexpr std::int64_t MaxUsefulAgeMs = 6000;
  PoolLoad Load;
  Load.Pool = Pool_;
  Load.ArrivingCpu = Estimates_.arrivingCpu(Now);
  for (const auto &[Id, W] : Workers_) {
    Load.PerMachine.MilliCpus =
        std::max(Load.PerMachine.MilliCpus, W->Entry.Capacity.MilliCpus);
    Load.PerMachine.MemoryMb =
        std::max(Load.PerMachine.MemoryMb, W->Entry.Capacity.MemoryMb);
    Load.PerMachine.Accelerators =
        std::max(Load.PerMachine.Accelerators, W->Entry.Capacity.Accelerators);
    for (const auto &[Job, Task] : W->Tasks) {
      const StepSpec &Step = stepOf(*Job, Task);
      std::uint64_t Cpu = Step.Filling ? 0 : Step.Need.MilliCpus;
      (Step.Lasting ? Load.LastingCpu : Load.UsedCpu) += Cpu;
      (Step.Lasting ? Load.LastingMemory : Load.UsedMemory) +=
          Step.Need.MemoryMb;
    }
    if (W->Closed || W->Entry.Draining)
      Load.Closed.push_back(Id);
    bool Idle = isEmpty(*W) && !W->Ended && !W->Gone && !W->Closed &&
                !W->Entry.Draining;
    if (Idle)
      Load.Idle.push_back(Id);
  }
  for (JobRecord *Job : Open_) {
    for (const StepSpec &Step : Job->Spec.Steps)
      if (Step.Lasting && Step.MaxPerWorker > 0)
        Load.MinWorkers =
            std::max(Load.MinWorkers,
                     (Step.Tasks + Step.MaxPerWorker - 1) / Step.MaxPerWorker);
    if (Job->ProgressUnread)
      continue;
    bool TooLate = ageMs(*Job, Now, WallMs) > MaxUsefulAgeMs;
    refreshWaiting(*Job);
    for (std::uint32_t T : Job->Waiting) {
      const StepSpec &Step = stepOf(*Job, T);
      if (!Job->Tasks[T].Runs.empty() || (TooLate && !Step.Lasting))
        continue;
      std::uint64_t Cpu = Step.Filling ? 0 : Step.Need.MilliCpus;
      Load.WaitingCpu += Cpu;
      Load.WaitingMemory += Step.Need.MemoryMb;
      Load.WaitingLastingCpu += Step.Lasting ? Cpu : 0;
      Load.WaitingLastingMemory += Step.Lasting ? Step.Need.MemoryMb : 0;
    }
  }
  LastingDemand(*this, Now).describe(Load);
  return Load;
}

} // namespace comfreydeck::jobs
