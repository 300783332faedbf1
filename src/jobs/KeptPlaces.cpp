#include "jobs/StartPlan_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace comfreydeck::jobs {

namespace {

/// How long a task on a closed worker goes on while its next place is sought:
/// upkeep, moves and smaller pools wait no longer for each turn of its step.
constexpr std::chrono::milliseconds PlaceWait(2000);
/// Room is kept in up to one part in this many of the usable workers' room, or
/// for one task.
constexpr std::uint32_t RoomPerKept = 4;

core::Resources sum(const core::Resources &A, const core::Resources &B) {
  return {A.MilliCpus + B.MilliCpus, A.MemoryMb + B.MemoryMb,
          A.Accelerators + B.Accelerators};
}

core::Resources difference(const core::Resources &A, const core::Resources &B) {
  auto Left = [](std::uint32_t Has, std::uint32_t Taken) {
    return Has > Taken ? Has - Taken : 0;
  };
  return {Left(A.MilliCpus, B.MilliCpus), Left(A.MemoryMb, B.MemoryMb),
          Left(A.Accelerators, B.Accelerators)};
}

} // namespace

const char *nameOf(PlaceChange Change) {
  switch (Change) {
  case PlaceChange::Kept:
    return "kept";
  case PlaceChange::Taken:
    return "taken";
  case PlaceChange::WorkerLost:
    return "worker-lost";
  case PlaceChange::FoundSooner:
    return "found-sooner";
  case PlaceChange::NotNeeded:
    return "not-needed";
  }
  return "";
}

// PoolState.

KeptPlace *PoolState::findPlace(const JobRecord &Job, std::uint32_t Task) {
  auto At = Places_.find({Job.Spec.Id, Task});
  return At == Places_.end() ? nullptr : &At->second;
}

void PoolState::recordPlace(const JobRecord &Job, std::uint32_t Task,
                            const KeptPlace &Place, PlaceChange Change,
                            core::TimePoint Now) {
  PlaceEvents_.push_back({refOf(Job, Task), Place.Worker, Change,
                          Now - Place.KeptSince, Now - Place.WantedSince});
}

/// Gives up the room that is kept for the task, if there is any.
void PoolState::clearPlace(const JobRecord &Job, std::uint32_t Task,
                           KeptPlace &Place, PlaceChange Change,
                           core::TimePoint Now) {
  if (Place.Worker.empty())
    return;
  recordPlace(Job, Task, Place, Change, Now);
  auto At = Workers_.find(Place.Worker);
  if (At != Workers_.end())
    At->second->Kept = difference(At->second->Kept, Place.Need);
  Place.Worker.clear();
  Place.HasRoom = false;
}

/// Counts anew what is kept on each worker: jobs and workers may have been
/// dropped since.
void PoolState::countKept() {
  for (auto &[Id, W] : Workers_)
    W->Kept = {};
  for (const auto &[Task, Place] : Places_) {
    auto At = Workers_.find(Place.Worker);
    if (At != Workers_.end())
      At->second->Kept = sum(At->second->Kept, Place.Need);
  }
}

std::vector<PlaceEvent> PoolState::takePlaceEvents() {
  return std::exchange(PlaceEvents_, {});
}

/// Whether tasks on the closed worker may go on until their next places have
/// room.
bool PoolState::mayWaitForPlaces(const WorkerState &W) const {
  return !W.Evicting && !W.Entry.Draining &&
         ClosedDataCentres_.count(W.Entry.DataCentre) == 0;
}

/// Why the lasting task on the closed worker is to be stopped now; empty if it
/// waits for its next place.
std::optional<NextPlace> PoolState::whyLeaveNow(const JobRecord &Job,
                                                std::uint32_t Task,
                                                const WorkerState &W,
                                                core::TimePoint Now) {
  const KeptPlace *Place = mayWaitForPlaces(W) ? findPlace(Job, Task) : nullptr;
  if (!Place)
    return NextPlace::NotSought;
  if (!Place->InTurn)
    return std::nullopt;
  if (Place->HasRoom)
    return NextPlace::Kept;
  if (!Place->Suits)
    return NextPlace::NoneSuits;
  if (Now - Place->WantedSince >= PlaceWait)
    return NextPlace::TimedOut;
  return std::nullopt;
}

// StartPlan.

/// Free resources of the worker, without what is kept for other tasks.
core::Resources StartPlan::roomFor(const WorkerState &W, const JobRecord &Job,
                                   std::uint32_t Task) const {
  core::Resources Others = W.Kept;
  const KeptPlace *Place =
      Owner_.Places_.empty() ? nullptr : Owner_.findPlace(Job, Task);
  if (Place && Place->Worker == W.Entry.Id)
    Others = difference(Others, Place->Need);
  return difference(W.Entry.Capacity, sum(W.Used, Others));
}

bool StartPlan::hasKeptPlace(const JobRecord &Job, std::uint32_t Task) const {
  const KeptPlace *Place = Owner_.findPlace(Job, Task);
  return Place && !Place->Worker.empty();
}

/// Whether the task has no run that goes on, so that it needs a place.
bool StartPlan::needsPlace(const JobRecord &Job, std::uint32_t Task) const {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  const TaskState &State = Job.Tasks[Task];
  bool Ready = PoolState::stepReady(Job, PoolState::placeOf(Job, Task));
  if (!Step.Lasting || Step.Gang || State.Kept.Done || !Ready ||
      isIsolated(Job, Task))
    return false;
  if (State.Runs.empty())
    return mayStart(Job, Task) && hasTeamRoom(Job, Step, 1);
  return hasTeamRoom(Job, Step, 0) &&
         std::all_of(
             State.Runs.begin(), State.Runs.end(), [&](const LiveRun &Run) {
               const WorkerState &W = *Owner_.Workers_.at(Run.Worker);
               return Run.Stopping || (W.Closed && Owner_.mayWaitForPlaces(W));
             });
}

std::vector<StartPlan::PlaceSeeker> StartPlan::findPlaceSeekers() {
  std::vector<PlaceSeeker> Seekers;
  for (JobRecord *Job : Owner_.Open_) {
    if (!Job->Spec.Steps.front().Lasting || isHeldBack(*Job))
      continue;
    for (std::uint32_t Task = 0; Task < Job->Tasks.size(); ++Task) {
      if (!needsPlace(*Job, Task))
        continue;
      const std::vector<LiveRun> &Runs = Job->Tasks[Task].Runs;
      bool AtWork =
          std::any_of(Runs.begin(), Runs.end(),
                      [](const LiveRun &Run) { return !Run.Stopping; });
      const KeptPlace *Place = Owner_.findPlace(*Job, Task);
      core::TimePoint Since = Place ? Place->WantedSince : In_.Now;
      Seekers.push_back({Job, Task, AtWork, Since});
    }
  }
  std::sort(Seekers.begin(), Seekers.end(),
            [](const PlaceSeeker &A, const PlaceSeeker &B) {
              return std::tie(A.AtWork, A.Since, A.Job->Spec.Id, A.Task) <
                     std::tie(B.AtWork, B.Since, B.Job->Spec.Id, B.Task);
            });
  return Seekers;
}

/// Gives each seeker its entry and drops those of other tasks.
void StartPlan::updateSeekers(const std::vector<PlaceSeeker> &Seekers) {
  std::set<std::pair<std::string, std::uint32_t>> Wanted;
  // Tasks of each step that are to leave next.
  std::map<std::pair<const JobRecord *, std::uint32_t>, std::uint32_t> Leaving;
  for (const PlaceSeeker &S : Seekers) {
    Wanted.insert({S.Job->Spec.Id, S.Task});
    auto [At, IsNew] = Owner_.Places_.try_emplace({S.Job->Spec.Id, S.Task});
    KeptPlace &Place = At->second;
    if (IsNew)
      Place.WantedSince = In_.Now;
    Place.Need = needOf(*S.Job, S.Task);
    Place.InTurn = true;
    if (!S.AtWork)
      continue;
    TaskPlace Within = PoolState::placeOf(*S.Job, S.Task);
    std::uint32_t &Before = Leaving[{S.Job, S.Task - Within.Index}];
    const StepSpec &Step = PoolState::stepOf(*S.Job, S.Task);
    Place.InTurn = Owner_.mayRestart(*S.Job) &&
                   Owner_.countUnavailable(*S.Job, S.Task, In_.Now) + Before <
                       PoolState::absenceLimit(Step);
    if (Place.InTurn) {
      ++Before;
      continue;
    }
    Owner_.clearPlace(*S.Job, S.Task, Place, PlaceChange::NotNeeded, In_.Now);
    Place.WantedSince = In_.Now;
  }
  for (auto It = Owner_.Places_.begin(); It != Owner_.Places_.end();) {
    if (Wanted.count(It->first) != 0) {
      ++It;
      continue;
    }
    if (const JobRecord *Job = Owner_.findJob(It->first.first))
      Owner_.clearPlace(*Job, It->first.second, It->second,
                        PlaceChange::NotNeeded, In_.Now);
    It = Owner_.Places_.erase(It);
  }
}

/// Whether the worker could hold the task if its short runs ended, beside what
/// else is kept there.
bool StartPlan::mayKeepOn(const WorkerState &W, JobRecord &Job,
                          std::uint32_t Task) const {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  if (!hasLabel(W, Step) || !mayHost(W, Step))
    return false;
  TaskPlace Within = PoolState::placeOf(Job, Task);
  std::uint32_t StepTasks = 0;
  core::Resources Lasting;
  for (const auto &[Other, T] : W.Tasks) {
    if (Other == &Job && T == Task)
      return false;
    const StepSpec &Runs = PoolState::stepOf(*Other, T);
    if (Runs.Lasting)
      Lasting = sum(Lasting, needOf(*Other, T));
    StepTasks += Other == &Job && &Runs == &Step ? 1 : 0;
  }
  std::uint32_t First = Task - Within.Index;
  for (std::uint32_t T = First; T < First + Step.Tasks; ++T) {
    const KeptPlace *Place = T == Task ? nullptr : Owner_.findPlace(Job, T);
    StepTasks += Place && Place->Worker == W.Entry.Id ? 1 : 0;
  }
  if (Step.MaxPerWorker != 0 && StepTasks >= Step.MaxPerWorker)
    return false;
  core::Resources Others = W.Kept;
  const KeptPlace *Own = Owner_.findPlace(Job, Task);
  if (Own && Own->Worker == W.Entry.Id)
    Others = difference(Others, Own->Need);
  return core::fits(sum(needOf(Job, Task), sum(Lasting, Others)),
                    W.Entry.Capacity);
}

/// Expected time until short runs on the worker have made room for the task.
double StartPlan::roomInMs(const WorkerState &W, const JobRecord &Job,
                           std::uint32_t Task) const {
  std::vector<std::pair<double, core::Resources>> Ends;
  for (const auto &[Other, T] : W.Tasks) {
    const StepSpec &Step = PoolState::stepOf(*Other, T);
    if (Step.Lasting)
      continue;
    for (const LiveRun &Run : Other->Tasks[T].Runs) {
      double Ms = PoolState::runTimeMs(*Other, Step) -
                  core::inMs(In_.Now - Run.OrderedAt);
      if (Run.Worker == W.Entry.Id)
        Ends.emplace_back(std::max(Ms, 0.0), needOf(*Other, T));
    }
  }
  std::sort(Ends.begin(), Ends.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  core::Resources Need = sum(needOf(Job, Task), sum(W.Used, W.Kept));
  double Ms = 0;
  for (const auto &[EndsInMs, Freed] : Ends) {
    if (core::fits(Need, W.Entry.Capacity))
      break;
    Need = difference(Need, Freed);
    Ms = EndsInMs;
  }
  return Ms;
}

/// Keeps room for the task on the worker that will have it soonest.
void StartPlan::seekPlace(JobRecord &Job, std::uint32_t Task, KeptPlace &Place,
                          core::Resources &KeptInAll,
                          const core::Resources &MostKept) {
  Place.Suits = false;
  WorkerState *Best = nullptr;
  std::tuple<bool, double, double> BestRank;
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  bool Bounded = KeptInAll != core::Resources() &&
                 !core::fits(sum(KeptInAll, Place.Need), MostKept);
  for (WorkerState *W : Usable_) {
    if (!mayKeepOn(*W, Job, Task))
      continue;
    Place.Suits = true;
    bool HasRoom = core::fits(Place.Need, roomFor(*W, Job, Task));
    if (!HasRoom && (Bounded || !Place.Worker.empty()))
      continue;
    double Ms = HasRoom ? 0 : roomInMs(*W, Job, Task);
    std::tuple<bool, double, double> Rank{!HasRoom, Ms,
                                          -score(*W, Job, Task, Step)};
    if (!Best || Rank < BestRank) {
      Best = W;
      BestRank = Rank;
    }
  }
  if (!Best)
    return;
  if (Place.Worker.empty())
    KeptInAll = sum(KeptInAll, Place.Need);
  Owner_.clearPlace(Job, Task, Place, PlaceChange::FoundSooner, In_.Now);
  Place.Worker = Best->Entry.Id;
  Place.KeptSince = In_.Now;
  Place.HasRoom = !std::get<0>(BestRank);
  Best->Kept = sum(Best->Kept, Place.Need);
  Owner_.recordPlace(Job, Task, Place, PlaceChange::Kept, In_.Now);
}

void StartPlan::keepPlaces() {
  std::vector<PlaceSeeker> Seekers = findPlaceSeekers();
  updateSeekers(Seekers);
  Owner_.countKept();
  if (Seekers.empty())
    return;
  findUsable();
  core::Resources Whole;
  for (const WorkerState *W : Usable_)
    Whole = sum(Whole, W->Entry.Capacity);
  core::Resources MostKept{Whole.MilliCpus / RoomPerKept,
                           Whole.MemoryMb / RoomPerKept,
                           Whole.Accelerators / RoomPerKept};
  core::Resources KeptInAll;
  for (const PlaceSeeker &S : Seekers) {
    KeptPlace &Place = *Owner_.findPlace(*S.Job, S.Task);
    if (Place.Worker.empty())
      continue;
    auto At = Owner_.Workers_.find(Place.Worker);
    if (At == Owner_.Workers_.end() || !canTake(*At->second) ||
        !mayKeepOn(*At->second, *S.Job, S.Task)) {
      Owner_.clearPlace(*S.Job, S.Task, Place, PlaceChange::WorkerLost,
                        In_.Now);
      continue;
    }
    KeptInAll = sum(KeptInAll, Place.Need);
    Place.HasRoom =
        core::fits(Place.Need, roomFor(*At->second, *S.Job, S.Task));
  }
  for (const PlaceSeeker &S : Seekers) {
    KeptPlace &Place = *Owner_.findPlace(*S.Job, S.Task);
    if (Place.InTurn && !Place.HasRoom)
      seekPlace(*S.Job, S.Task, Place, KeptInAll, MostKept);
  }
}

} // namespace comfreydeck::jobs
