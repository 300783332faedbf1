#include "jobs/LastingDemand_p.h"

#include "jobs/Placement_p.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace comfreydeck::jobs {

namespace {

std::uint32_t left(std::uint32_t Has, std::uint32_t Need) {
  return Has > Need ? Has - Need : 0;
}

void take(core::Resources &Free, const core::Resources &Need) {
  Free.MilliCpus = left(Free.MilliCpus, Need.MilliCpus);
  Free.MemoryMb = left(Free.MemoryMb, Need.MemoryMb);
  Free.Accelerators = left(Free.Accelerators, Need.Accelerators);
}

/// Takes room for up to \p Most tasks; returns for how many there was.
std::uint32_t takeMost(core::Resources &Free, const core::Resources &Need,
                       std::uint32_t Most) {
  std::uint32_t Taken = 0;
  for (; Taken < Most && core::fits(Need, Free); ++Taken)
    take(Free, Need);
  return Taken;
}

bool isBeingStopped(const LiveRun &Run) { return Run.Stopping; }

/// Tasks of the step on the worker.
std::uint32_t countOn(const WorkerState &W, JobRecord *Job, std::uint32_t First,
                      std::uint32_t Tasks) {
  auto From = W.Tasks.lower_bound({Job, First});
  auto To = W.Tasks.lower_bound({Job, First + Tasks});
  return static_cast<std::uint32_t>(std::distance(From, To));
}

/// Tasks of the step that one worker may have beside \p Has.
std::uint32_t spreadLeft(const StepSpec &Step, std::uint32_t Has) {
  return Step.MaxPerWorker == 0 ? std::numeric_limits<std::uint32_t>::max()
                                : left(Step.MaxPerWorker, Has);
}

} // namespace

LastingDemand::LastingDemand(const PoolState &Owner, core::TimePoint Now)
    : Owner_(Owner), Now_(Now) {
  findGroups();
}

/// Whether the worker counts as one of the pool's.
bool LastingDemand::isOpen(const WorkerState &W) const {
  return !W.Closed && !W.Entry.Draining && !W.Ended && !W.Gone &&
         Owner_.ClosedDataCentres_.count(W.Entry.DataCentre) == 0;
}

/// A worker that this owner has not heard yet counts as one that will have room
/// soon.
bool LastingDemand::mayHostNow(const WorkerState &W) const {
  return !W.Isolated && !isAvoided(W, Now_) &&
         (!W.Heard || Owner_.mayHostLasting(W, Now_));
}

/// Whether nothing but the lack of a place keeps the task from its start.
bool LastingDemand::mayAskFor(const JobRecord &Job, std::uint32_t Task) const {
  const TaskState &State = Job.Tasks[Task];
  return State.Runs.empty() && !State.Kept.Done && State.NotBefore <= Now_ &&
         !Job.Advised && !Job.Spec.PayloadMissing &&
         !(Job.Inherited && !Owner_.mayStartInherited(Now_));
}

void LastingDemand::addTask(JobRecord &Job, std::uint32_t Task) {
  TaskPlace Place = PoolState::placeOf(Job, Task);
  std::uint32_t First = Task - Place.Index;
  Group &G = Groups_[{Job.Spec.Id, First}];
  G.Job = &Job;
  G.First = First;
  G.Step = &Job.Spec.Steps[Place.Step];
  ++G.Tasks;
}

void LastingDemand::findGroups() {
  for (JobRecord *Job : Owner_.Open_) {
    PoolState::refreshWaiting(*Job);
    for (std::uint32_t Task : Job->Waiting) {
      const StepSpec &Step = PoolState::stepOf(*Job, Task);
      if (!Step.Lasting || !mayAskFor(*Job, Task))
        continue;
      if (Job->Team && Job->Team->Room) {
        auto Use = TeamUse_.try_emplace(Job->Spec.Team, Job->Team->Use).first;
        core::Resources After = Use->second;
        After.MilliCpus += Step.Need.MilliCpus;
        After.MemoryMb += Step.Need.MemoryMb;
        After.Accelerators += Step.Need.Accelerators;
        if (!core::fits(After, *Job->Team->Room))
          continue;
        Use->second = After;
      }
      addTask(*Job, Task);
    }
  }
  for (const auto &[Id, W] : Owner_.Workers_)
    if (W->Closed || W->Entry.Draining)
      for (const auto &[Job, Task] : W->Tasks)
        if (PoolState::stepOf(*Job, Task).Lasting)
          addTask(*Job, Task);
  for (auto &[Key, G] : Groups_)
    ByNeed_.push_back(&G);
  std::stable_sort(ByNeed_.begin(), ByNeed_.end(),
                   [](const Group *A, const Group *B) {
                     return A->Step->Need.MilliCpus > B->Step->Need.MilliCpus;
                   });
}

void LastingDemand::placeOnWorkers() {
  for (const auto &[Id, W] : Owner_.Workers_) {
    if (!isOpen(*W) || !mayHostNow(*W))
      continue;
    core::Resources Free = W->Entry.Capacity;
    for (const auto &[Job, Task] : W->Tasks) {
      const StepSpec &Step = PoolState::stepOf(*Job, Task);
      const std::vector<LiveRun> &Runs = Job->Tasks[Task].Runs;
      if (Step.Lasting &&
          !std::all_of(Runs.begin(), Runs.end(), isBeingStopped))
        take(Free, reservedBy(Step));
    }
    for (Group *G : ByNeed_) {
      if (!hasLabel(W->Entry, *G->Step))
        continue;
      std::uint32_t Has = countOn(*W, G->Job, G->First, G->Step->Tasks);
      std::uint32_t Most = std::min(G->Tasks, spreadLeft(*G->Step, Has));
      G->Tasks -= takeMost(Free, reservedBy(*G->Step), Most);
    }
  }
}

/// Whether the task would fit on a machine that is like the pool's others. One
/// that finds no place on an empty worker finds none on the next one either.
bool LastingDemand::mayWaitForMachine(const Group &G,
                                      const core::Resources &Machine) const {
  if (G.Tasks == 0 || !core::fits(reservedBy(*G.Step), Machine))
    return false;
  bool Labelled = false;
  for (const auto &[Id, W] : Owner_.Workers_) {
    Labelled = Labelled || hasLabel(W->Entry, *G.Step);
    if (isOpen(*W) && mayHostNow(*W) && W->Tasks.empty() &&
        !hasLabel(W->Entry, *G.Step))
      return false;
  }
  return Labelled;
}

/// Number of machines that hold what is left.
std::uint32_t LastingDemand::placeOnMachines(const core::Resources &Machine) {
  std::vector<core::Resources> Free;
  for (Group *G : ByNeed_) {
    if (!mayWaitForMachine(*G, Machine))
      continue;
    std::uint32_t Most = spreadLeft(*G->Step, 0);
    core::Resources Need = reservedBy(*G->Step);
    for (std::size_t N = 0; G->Tasks > 0; ++N) {
      if (N == Free.size())
        Free.push_back(Machine);
      G->Tasks -= takeMost(Free[N], Need, std::min(G->Tasks, Most));
    }
  }
  return static_cast<std::uint32_t>(Free.size());
}

void LastingDemand::describe(PoolLoad &Load) {
  for (const auto &[Id, W] : Owner_.Workers_)
    Load.OpenWorkers += isOpen(*W) ? 1 : 0;
  placeOnWorkers();
  Load.MissingMachines = placeOnMachines(Load.PerMachine);
}

} // namespace comfreydeck::jobs
