#include "jobs/StartPlan_p.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace comfreydeck::jobs {

namespace {

/// How long it waits for room elsewhere before it starts on a worker that is
/// avoided for failed or slow runs. The lease of its lost run has taken three
/// of the nine seconds within which it has to run again.
constexpr std::chrono::milliseconds QuarantinedAfter(2000);
/// How long it waits until no suspect is given the worker where it can start
/// soonest.
constexpr std::chrono::milliseconds SuspectsMakeWayAfter(2000);
/// How long it waits for a kept worker before it starts on a closed one.
constexpr std::chrono::milliseconds ClosedAfter(3000);
/// Within this time a worker that was emptied is back from its upkeep, and the
/// tasks that had no place elsewhere run again.
constexpr std::chrono::milliseconds UpkeepTime(5000);
/// Workers are kept for lasting tasks until one in this many usable ones is.
constexpr std::size_t WorkersPerKept = 8;

} // namespace

core::Resources StartPlan::roomBesideLasting(const WorkerState &W) {
  core::Resources Left = W.Entry.Capacity;
  auto Take = [](std::uint32_t &Has, std::uint32_t Need) {
    Has -= std::min(Has, Need);
  };
  for (const auto &[Job, Task] : W.Tasks) {
    const StepSpec &Step = PoolState::stepOf(*Job, Task);
    if (!Step.Lasting || isBeingStoppedOn(W, *Job, Task))
      continue;
    core::Resources Need = reservedBy(Step);
    Take(Left.MilliCpus, Need.MilliCpus);
    Take(Left.MemoryMb, Need.MemoryMb);
    Take(Left.Accelerators, Need.Accelerators);
  }
  return Left;
}

bool StartPlan::isBeingStopped(const JobRecord &Job, std::uint32_t Task) {
  const std::vector<LiveRun> &Runs = Job.Tasks[Task].Runs;
  return !Runs.empty() &&
         std::all_of(Runs.begin(), Runs.end(),
                     [](const LiveRun &Run) { return Run.Stopping; });
}

/// Whether the task's run on the worker is being stopped; it may have another
/// one elsewhere.
bool StartPlan::isBeingStoppedOn(const WorkerState &W, const JobRecord &Job,
                                 std::uint32_t Task) {
  const std::vector<LiveRun> &Runs = Job.Tasks[Task].Runs;
  return std::any_of(Runs.begin(), Runs.end(), [&](const LiveRun &Run) {
    return Run.Worker == W.Entry.Id && Run.Stopping;
  });
}

void StartPlan::planLastingMoves() {
  std::vector<WorkerState *> Closed;
  for (auto &[Id, W] : Owner_.Workers_)
    if (W->Closed && W->Lasting > 0)
      Closed.push_back(W.get());
  // One that is nearly empty first: its room comes back with its upkeep.
  std::sort(Closed.begin(), Closed.end(),
            [](const WorkerState *A, const WorkerState *B) {
              return std::tie(B->Evicting, A->Lasting, A->Entry.Id) <
                     std::tie(A->Evicting, B->Lasting, B->Entry.Id);
            });
  planStillWaiting(Closed);
  planBreakingGangs();
  if (Closed.empty())
    return;
  for (WorkerState *W : Closed)
    for (const auto &[Job, Task] : W->Tasks)
      if (PoolState::stepOf(*Job, Task).Lasting &&
          !PoolState::stepOf(*Job, Task).Gang && !isFinal(Job->Now) &&
          isBeingStopped(*Job, Task))
        holdPlace(*Job, Task);
  for (WorkerState *W : Closed) {
    moveLasting(*W);
    // Others must not take the places that the first one needs next.
    if (W == Closed.front())
      holdPlacesAhead(*W);
  }
  releasePlaces(PlacesAhead_);
  if (!Closed.front()->Evicting || !mayEmptyWithoutPlaces())
    return;
  // Tasks move only to workers that are emptied later, so that they don't move
  // back and forth.
  for (auto It = Closed.begin(); It != Closed.end() && (*It)->Evicting; ++It)
    if (moveAmongClosed(**It, {std::next(It), Closed.end()}) ||
        emptyWithoutPlaces(**It))
      return;
}

/// Keeps room for a task that is to start elsewhere, for this round. False if
/// there is none. The run that it still has stands for its team's use.
bool StartPlan::holdPlace(JobRecord &Job, std::uint32_t Task) {
  WorkerState *Place = chooseWorker(Job, Task);
  if (Place)
    holdPlaceOn(*Place, Job, Task);
  return Place != nullptr;
}

void StartPlan::holdPlaceOn(WorkerState &W, JobRecord &Job,
                            std::uint32_t Task) {
  PoolState::occupy(W, PoolState::stepOf(Job, Task));
  HeldPlaces_.push_back({&Job, Task, &W});
}

/// Stops the lasting tasks on a closed worker that have a place elsewhere, as
/// many at a time as their steps allow.
void StartPlan::moveLasting(WorkerState &W) {
  for (const auto &[Job, Task] : W.Tasks) {
    const StepSpec &Step = PoolState::stepOf(*Job, Task);
    if (Step.Lasting && Step.Gang) {
      moveGang(W, *Job, Task);
      continue;
    }
    if (!Step.Lasting || !mayLeave(*Job, Task))
      continue;
    // A worker that leaves takes its tasks along.
    if (W.Entry.Draining || holdPlace(*Job, Task))
      stopOn(W, *Job, Task, StopReason::WorkerClosed);
    else
      keepWorker(*Job, Task);
  }
}

/// Whether the lasting task may be stopped now, and may start again.
bool StartPlan::mayLeave(const JobRecord &Job, std::uint32_t Task) const {
  return !isBeingStopped(Job, Task) && Owner_.mayRestart(Job) &&
         !isHeldBack(Job) && Owner_.mayBecomeAbsent(Job, Task, In_.Now);
}

/// Holds places for the lasting tasks that may not leave the worker yet, until
/// the other closed workers' tasks have theirs.
void StartPlan::holdPlacesAhead(WorkerState &W) {
  for (const auto &[Job, Task] : W.Tasks) {
    const StepSpec &Step = PoolState::stepOf(*Job, Task);
    if (!Step.Lasting || Step.Gang || isBeingStopped(*Job, Task))
      continue;
    if (WorkerState *Place = chooseWorker(*Job, Task)) {
      PoolState::occupy(*Place, PoolState::stepOf(*Job, Task));
      PlacesAhead_.push_back({Job, Task, Place});
    }
  }
}

/// Moves the worker's lasting tasks to workers that are closed as well but
/// emptied later. False if there is no room for any.
bool StartPlan::moveAmongClosed(WorkerState &W,
                                std::span<WorkerState *const> Later) {
  bool Moved = false;
  for (const auto &[Job, Task] : W.Tasks) {
    const StepSpec &Step = PoolState::stepOf(*Job, Task);
    if (!Step.Lasting || Step.Gang || !mayLeave(*Job, Task))
      continue;
    WorkerState *Place = chooseClosed(*Job, Task, Later);
    if (!Place)
      continue;
    holdPlaceOn(*Place, *Job, Task);
    stopOn(W, *Job, Task, StopReason::WorkerClosed);
    Moved = true;
  }
  return Moved;
}

/// The worker with room among closed ones that has the most lasting tasks. One
/// that is being emptied may be taken down at any moment.
WorkerState *
StartPlan::chooseClosed(JobRecord &Job, std::uint32_t Task,
                        std::span<WorkerState *const> Closed) const {
  WorkerState *Best = nullptr;
  for (WorkerState *W : Closed)
    if (keepsLasting(*W) && isSound(*W) &&
        meetsConstraints(*W, Job, Task, PoolState::stepOf(Job, Task)) &&
        (!Best || W->Lasting > Best->Lasting))
      Best = W;
  return Best;
}

/// The best worker with room among those that are avoided only since their runs
/// failed or were slow.
WorkerState *StartPlan::chooseQuarantined(JobRecord &Job,
                                          std::uint32_t Task) const {
  WorkerState *Best = nullptr;
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  auto Score = [&](const WorkerState &W) {
    return score(W, loadOf(W), Job, Task, Step);
  };
  for (auto &[Id, W] : Owner_.Workers_)
    if (isOnlyQuarantined(*W) && meetsConstraints(*W, Job, Task, Step) &&
        (!Best || Score(*W) > Score(*Best)))
      Best = W.get();
  return Best;
}

/// Whether the worker has a lasting task that is not being stopped.
bool StartPlan::keepsLasting(const WorkerState &W) {
  return std::any_of(W.Tasks.begin(), W.Tasks.end(), [](const auto &Item) {
    const auto &[Job, Task] = Item;
    return PoolState::stepOf(*Job, Task).Lasting && !isFinal(Job->Now) &&
           !isBeingStopped(*Job, Task);
  });
}

void StartPlan::stopOn(const WorkerState &W, JobRecord &Job, std::uint32_t Task,
                       StopReason Reason) {
  for (LiveRun &Run : Job.Tasks[Task].Runs)
    if (!Run.Stopping && Run.Worker == W.Entry.Id)
      Owner_.stopRun(Job, Task, Run, Reason, In_.Now);
}

/// Whether no lasting task waits that was stopped lately, so that a worker's
/// tasks may wait for its own upkeep.
bool StartPlan::mayEmptyWithoutPlaces() const {
  return std::none_of(
      Owner_.Open_.begin(), Owner_.Open_.end(), [&](JobRecord *Job) {
        if (!Job->Spec.Steps.front().Lasting)
          return false;
        for (std::uint32_t Task = 0; Task < Job->Tasks.size(); ++Task) {
          const TaskState &State = Job->Tasks[Task];
          bool Waits =
              State.Runs.empty() && In_.Now - State.WaitingSince < UpkeepTime;
          if (!State.Kept.Done && (Waits || isBeingStopped(*Job, Task)))
            return true;
        }
        return false;
      });
}

/// Stops all lasting tasks on the worker if their steps allow that, though they
/// have no place elsewhere; else stops none.
bool StartPlan::emptyWithoutPlaces(WorkerState &W) {
  std::map<TaskOfJob, std::uint32_t, TaskOrder> Leaving;
  for (const auto &[Job, Task] : W.Tasks) {
    if (!PoolState::stepOf(*Job, Task).Lasting || isBeingStopped(*Job, Task))
      continue;
    TaskPlace Place = PoolState::placeOf(*Job, Task);
    std::uint32_t Others = Leaving[{Job, Task - Place.Index}]++;
    std::uint32_t Unavailable =
        Owner_.countUnavailable(*Job, Task, In_.Now) + Others;
    if (!Owner_.mayRestart(*Job) || isHeldBack(*Job) ||
        Unavailable >= PoolState::absenceLimit(PoolState::stepOf(*Job, Task)))
      return false;
  }
  if (Leaving.empty())
    return false;
  for (const auto &[Job, Task] : W.Tasks)
    if (PoolState::stepOf(*Job, Task).Lasting)
      stopOn(W, *Job, Task, StopReason::WorkerEmptied);
  return true;
}

/// Whether the lasting task could start beside others now if there were room.
bool StartPlan::waitsForRoom(const JobRecord &Job, std::uint32_t Task) const {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  return Job.Tasks[Task].Runs.empty() && !Step.Gang && mayStart(Job, Task) &&
         !isIsolated(Job, Task) && hasTeamRoom(Job, Step, 1);
}

/// The worker on which the lasting task that has waited for longest can start
/// soonest, if one has waited for long.
const WorkerState *StartPlan::findPlaceForLasting() const {
  JobRecord *Longest = nullptr;
  std::uint32_t Position = 0;
  core::TimePoint Since = In_.Now - SuspectsMakeWayAfter;
  for (JobRecord *Job : Owner_.Open_) {
    if (!Job->Spec.Steps.front().Lasting || isHeldBack(*Job))
      continue;
    PoolState::refreshWaiting(*Job);
    for (std::uint32_t Task : Job->Waiting) {
      if (Job->Tasks[Task].WaitingSince > Since || !waitsForRoom(*Job, Task))
        continue;
      Since = Job->Tasks[Task].WaitingSince;
      Longest = Job;
      Position = Task;
    }
  }
  if (!Longest)
    return nullptr;
  const StepSpec &Step = PoolState::stepOf(*Longest, Position);
  const WorkerState *Best = nullptr;
  auto BestRank = std::make_pair(0.0, std::string_view());
  for (const auto &[Id, W] : Owner_.Workers_) {
    bool Takes = !W->Closed && W->QuarantinedUntil <= In_.Now && canAnswer(*W);
    if (!Takes || !hasLabel(W->Entry, Step) || !mayHost(*W, Step) ||
        !hasSpread(*W, *Longest, Position, Step))
      continue;
    std::optional<double> Ms = msUntilRoom(*W, Step);
    if (!Ms)
      continue;
    // Nothing starts beside a suspect that has the worker to itself.
    std::vector<ExpectedEnd> Ends = endsOn(*W);
    if (W->Isolated && !Ends.empty())
      Ms = Ends.back().InMs;
    auto Rank = std::make_pair(*Ms, std::string_view(Id));
    if (!Best || Rank < BestRank) {
      Best = W.get();
      BestRank = Rank;
    }
  }
  return Best;
}

/// Starts lasting tasks that wait on closed workers if no other will have room,
/// and keeps room for those that have waited for long: it comes free in pieces
/// that each suit a short task, so that a larger one would wait for as long as
/// short ones come.
void StartPlan::planStillWaiting(std::span<WorkerState *const> Closed) {
  struct Waiting {
    core::TimePoint Since;
    JobRecord *Job = nullptr;
    std::uint32_t Task = 0;
  };
  std::vector<Waiting> Longest;
  for (JobRecord *Job : Owner_.Open_) {
    if (!Job->Spec.Steps.front().Lasting || isHeldBack(*Job))
      continue;
    PoolState::refreshWaiting(*Job);
    for (std::uint32_t Task : Job->Waiting) {
      if (waitsForRoom(*Job, Task) && !isWithheld(*Job, Task))
        Longest.push_back({Job->Tasks[Task].WaitingSince, Job, Task});
    }
  }
  std::sort(Longest.begin(), Longest.end(),
            [](const Waiting &A, const Waiting &B) {
              return std::tie(A.Since, A.Job->Spec.Id, A.Task) <
                     std::tie(B.Since, B.Job->Spec.Id, B.Task);
            });
  for (const Waiting &W : Longest) {
    if (isBounded())
      return;
    core::Duration Age = In_.Now - W.Since;
    WorkerState *Avoided =
        Age < QuarantinedAfter ? nullptr : chooseQuarantined(*W.Job, W.Task);
    if (Avoided) {
      start(*W.Job, W.Task, *Avoided, nextRun());
      announce(*W.Job, W.Task);
      continue;
    }
    bool Comes = chooseToKeep(*W.Job, W.Task) != Usable_.end();
    if (Comes && (Age < KeepRoomAfter || keepWorker(*W.Job, W.Task)) &&
        Age < ClosedAfter)
      continue;
    if (WorkerState *Place = chooseClosed(*W.Job, W.Task, Closed)) {
      start(*W.Job, W.Task, *Place, nextRun());
      announce(*W.Job, W.Task);
    }
  }
}

/// Expected time until the task's run on the worker ends by itself. A run that
/// takes longer than expected is taken to last as long again.
double StartPlan::leftMs(const WorkerState &W, const JobRecord &Job,
                         std::uint32_t Task) const {
  double WholeMs =
      Owner_.Estimates_.runTimeOnMs(Job, PoolState::stepOf(Job, Task), W.Entry);
  double LeftMs = 0;
  for (const LiveRun &Run : Job.Tasks[Task].Runs) {
    double AgeMs = core::inMs(In_.Now - Run.OrderedAt);
    if (Run.Worker == W.Entry.Id)
      LeftMs = AgeMs < WholeMs ? WholeMs - AgeMs : AgeMs;
  }
  return LeftMs;
}

/// When runs on the worker that aren't lasting, or are being stopped, are
/// expected to end, and what they reserve, the first end first.
std::vector<StartPlan::ExpectedEnd>
StartPlan::endsOn(const WorkerState &W) const {
  std::vector<ExpectedEnd> Ends;
  for (const auto &[Job, Task] : W.Tasks) {
    const StepSpec &Ending = PoolState::stepOf(*Job, Task);
    bool Stops = isBeingStoppedOn(W, *Job, Task);
    if (Ending.Lasting && !Stops)
      continue;
    double LeftMs = Stops ? 0 : leftMs(W, *Job, Task);
    Ends.push_back({LeftMs, reservedBy(Ending)});
  }
  std::sort(Ends.begin(), Ends.end(),
            [](const ExpectedEnd &A, const ExpectedEnd &B) {
              return A.InMs < B.InMs;
            });
  return Ends;
}

void StartPlan::addTo(core::Resources &Free, const core::Resources &Freed) {
  Free.MilliCpus += Freed.MilliCpus;
  Free.MemoryMb += Freed.MemoryMb;
  Free.Accelerators += Freed.Accelerators;
}

/// Expected time until the worker has room for a task of the step; none if only
/// the end of a lasting task would make it. A run that takes longer than
/// expected is taken to last as long again.
std::optional<double> StartPlan::msUntilRoom(const WorkerState &W,
                                             const StepSpec &Step) const {
  core::Resources Free = freeOn(W);
  if (core::fits(reservedBy(Step), Free))
    return 0;
  for (const ExpectedEnd &End : endsOn(W)) {
    addTo(Free, End.Freed);
    if (core::fits(reservedBy(Step), Free))
      return End.InMs;
  }
  return std::nullopt;
}

/// The worker that will have room for the task soonest, if any will without a
/// lasting task that ends.
std::vector<WorkerState *>::iterator
StartPlan::chooseToKeep(JobRecord &Job, std::uint32_t Task) {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  auto Best = Usable_.end();
  auto BestRank = std::make_tuple(0.0, std::uint32_t{0}, std::string_view());
  for (auto It = Usable_.begin(); It != Usable_.end(); ++It) {
    const WorkerState &W = **It;
    if (!hasLabel(W.Entry, Step) || !mayHost(W, Step) ||
        hasRunOn(W, Job, Task) || !hasSpread(W, Job, Task, Step))
      continue;
    std::optional<double> Ms = msUntilRoom(W, Step);
    if (!Ms)
      continue;
    auto Rank =
        std::make_tuple(*Ms, W.Entry.Capacity.MilliCpus - freeOn(W).MilliCpus,
                        std::string_view(W.Entry.Id));
    if (Best == Usable_.end() || Rank < BestRank) {
      Best = It;
      BestRank = Rank;
    }
  }
  return Best;
}

/// Lets no task but lasting ones start in this round on the worker that will
/// have room for this one soonest. False if there is none, or enough are kept.
bool StartPlan::keepWorker(JobRecord &Job, std::uint32_t Task) {
  std::size_t Usable = Usable_.size() + KeptWorkers_;
  if (KeptWorkers_ >= std::max<std::size_t>(Usable / WorkersPerKept, 1))
    return false;
  auto Kept = chooseToKeep(Job, Task);
  if (Kept == Usable_.end())
    return false;
  Usable_.erase(Kept);
  ++KeptWorkers_;
  return true;
}

} // namespace comfreydeck::jobs
