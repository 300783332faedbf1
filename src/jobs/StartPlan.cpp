#include "jobs/StartPlan_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// Weights of the worker's score, relative to the CPU utilisation's range of 0
/// to 1.
constexpr double NearRackBonus = 4.0;
constexpr double MixedPenalty = 8.0;
constexpr double FailedHerePenalty = 2.0;
/// A worker with lasting tasks can't move to another pool anyway.
constexpr double LastingBonus = 1.0;
constexpr double ColdPenalty = 0.5;
/// A task that may run anywhere takes utilised workers of a rack that others
/// need last.
constexpr double SparedRackPenalty = 2.5;
/// A job that has to start within this time to be in time goes first: otherwise
/// large jobs would always wait for smaller ones that can still wait.
constexpr double UrgentSlackMs = 500;
constexpr double BesideSuspectPenalty = 16.0;
constexpr double RunBesideSuspectPenalty = 0.5;
constexpr double SuspectsTogetherPenalty = 16.0;
constexpr double CrashedLatelyPenalty = 8.0;

} // namespace

core::Resources StartPlan::freeOn(const WorkerState &W) {
  const core::Resources &All = W.Entry.Capacity;
  auto Left = [](std::uint32_t Has, std::uint32_t Used) {
    return Has > Used ? Has - Used : 0;
  };
  return {Left(All.MilliCpus, W.Used.MilliCpus),
          Left(All.MemoryMb, W.Used.MemoryMb),
          Left(All.Accelerators, W.Used.Accelerators)};
}

StartPlan::StartPlan(PoolState &Owner, const PlanInput &In)
    : Owner_(Owner), In_(In),
      MayStartInherited_(Owner.mayStartInherited(In.Now)),
      MayHaveMissedCrash_(Owner.mayHaveMissedCrash(In.Now)) {}

void StartPlan::findUsable() {
  Usable_.clear();
  MostFree_ = {};
  for (auto &[Id, W] : Owner_.Workers_)
    if (canTake(*W))
      Usable_.push_back(W.get());
  for (const WorkerState *W : Usable_) {
    core::Resources Free = freeOn(*W);
    MostFree_.MilliCpus = std::max(MostFree_.MilliCpus, Free.MilliCpus);
    MostFree_.MemoryMb = std::max(MostFree_.MemoryMb, Free.MemoryMb);
    MostFree_.Accelerators =
        std::max(MostFree_.Accelerators, Free.Accelerators);
  }
}

bool StartPlan::canTake(const WorkerState &W) const {
  return !W.Closed && isSound(W);
}

bool StartPlan::isSound(const WorkerState &W) const {
  return !W.Isolated && W.QuarantinedUntil <= In_.Now && canAnswer(W);
}

bool StartPlan::isOnlyQuarantined(const WorkerState &W) const {
  return W.QuarantinedUntil > In_.Now && !W.Closed && !W.Isolated &&
         canAnswer(W);
}

bool StartPlan::canAnswer(const WorkerState &W) const {
  return W.Enrolled && W.Heard && W.IncarnationConfirmed && !W.Ended &&
         !W.Gone && !W.Entry.Draining && W.UnknownRuns.empty() &&
         W.LostStarts.empty() && W.Clock.ShownMs > 0 &&
         W.AvoidUntil <= In_.Now && !Owner_.mayHaveLaterOwner(W, In_) &&
         Owner_.ClosedDataCentres_.count(W.Entry.DataCentre) == 0 &&
         Owner_.leaseFor(W, In_) > 0;
}

StartPlan::Candidate StartPlan::assess(JobRecord &Job) {
  Candidate C;
  C.Job = &Job;
  C.Lasting = Job.Spec.Steps.front().Lasting;
  C.Priority = Job.Priority;
  ChainMs_.clear();
  ChainLeftMs_.clear();
  double Chain = 0;
  double Remaining = 0;
  for (std::size_t S = 0; S < Job.Spec.Steps.size(); ++S) {
    const StepSpec &Step = Job.Spec.Steps[S];
    double Ms = Owner_.runTimeMs(Job, Step);
    double Before = 0;
    double LeftBefore = 0;
    for (std::uint32_t Earlier : Step.After) {
      Before = std::max(Before, ChainMs_[Earlier]);
      LeftBefore = std::max(LeftBefore, ChainLeftMs_[Earlier]);
    }
    ChainMs_.push_back(Before + Ms);
    ChainLeftMs_.push_back(LeftBefore + (Job.UnfinishedTasks[S] > 0 ? Ms : 0));
    C.RemainingWork += Job.UnfinishedTasks[S] * Ms * Step.Need.MilliCpus;
    Chain = std::max(Chain, ChainMs_.back());
    Remaining = std::max(Remaining, ChainLeftMs_.back());
  }
  C.DeadlineMs = static_cast<double>(Job.Spec.AcceptedMs) +
                 Job.Spec.SlackFactor * Chain + Job.Spec.TargetMs;
  double Slack = C.DeadlineMs - static_cast<double>(In_.WallMs) - Remaining;
  C.Late = Slack < 0;
  C.Urgent = !C.Late && Slack < UrgentSlackMs;
  if (C.Lasting) {
    C.WaitingSince = core::TimePoint::max();
    for (std::uint32_t Task : Job.Waiting)
      C.WaitingSince = std::min(C.WaitingSince, Job.Tasks[Task].WaitingSince);
  }
  return C;
}

bool StartPlan::before(const Candidate &A, const Candidate &B) {
  if (A.Lasting != B.Lasting)
    return A.Lasting;
  if (A.Priority != B.Priority)
    return A.Priority < B.Priority;
  if (A.WaitingSince != B.WaitingSince)
    return A.WaitingSince < B.WaitingSince;
  if (A.Late != B.Late)
    return !A.Late;
  if (A.Urgent != B.Urgent)
    return A.Urgent;
  if (A.RemainingWork != B.RemainingWork)
    return A.RemainingWork < B.RemainingWork;
  return A.Job->Spec.Id < B.Job->Spec.Id;
}

std::optional<WaitReason> StartPlan::heldBackBy(const JobRecord &Job) const {
  if (Job.Advised)
    return WaitReason::Advised;
  if (!In_.MayStart)
    return WaitReason::Authority;
  if (Job.ProgressUnread)
    return WaitReason::ProgressUnread;
  if (Job.Inherited && !MayStartInherited_)
    return WaitReason::Takeover;
  if (Job.Spec.PayloadMissing)
    return WaitReason::Payload;
  // The runs of a suspect job start only once they are stored.
  if (Job.SetAside && Owner_.hasPossibleCrash(Job))
    return WaitReason::RowRefused;
  return std::nullopt;
}

bool StartPlan::mayFit(JobRecord &Job) const {
  if (isHeldBack(Job))
    return false;
  PoolState::refreshWaiting(Job);
  return std::any_of(Job.WaitingSteps.begin(), Job.WaitingSteps.end(),
                     [&](const StepSpec *Step) {
                       return core::fits(reservedBy(*Step), MostFree_) &&
                              !isKnownUnplaceable(*Step) &&
                              hasTeamRoom(Job, *Step, 1);
                     });
}

std::vector<StartOrder> StartPlan::run() {
  planSuspects();
  planWaiting();
  for (const HeldRoom &Start : Withheld_)
    Start.Worker->ReportWanted = true;
  releaseWithheld();
  releasePlaces(HeldPlaces_);
  return std::move(Starts_);
}

void StartPlan::planWaiting() {
  findUsable();
  findWantedRacks();
  std::vector<Candidate> Heap;
  if (!Usable_.empty())
    for (JobRecord *Job : Owner_.Open_)
      if (mayFit(*Job))
        Heap.push_back(assess(*Job));
  // A few jobs usually use up all room, so a heap avoids sorting the rest.
  std::make_heap(Heap.begin(), Heap.end(), isLater);
  planCandidates(Heap, true);
  planLastingMoves();
  keepRoomForGang(Heap);
  planCandidates(Heap, false);
}

void StartPlan::planCandidates(std::vector<Candidate> &Heap, bool Lasting) {
  while (!Heap.empty() && Heap.front().Lasting == Lasting && !isBounded()) {
    std::pop_heap(Heap.begin(), Heap.end(), isLater);
    JobRecord &Job = *Heap.back().Job;
    Heap.pop_back();
    std::size_t Limits = Unplaced_.size();
    planJob(Job);
    if (Unplaced_.size() == Limits)
      continue;
    std::erase_if(Heap, [this](const Candidate &C) { return !mayFit(*C.Job); });
    std::make_heap(Heap.begin(), Heap.end(), isLater);
  }
}

bool StartPlan::mayStart(const JobRecord &Job, std::uint32_t Task) const {
  const TaskState &State = Job.Tasks[Task];
  bool Wanted =
      State.Runs.empty() || (State.WantsCopy && State.Runs.size() == 1);
  return !State.Kept.Done && Wanted && !delayOf(Job, Task);
}

std::optional<WaitReason> StartPlan::delayOf(const JobRecord &Job,
                                             std::uint32_t Task) const {
  if (Job.Spec.Repetitions > 0) {
    std::int64_t K = PoolState::placeOf(Job, Task).Occurrence;
    if (In_.WallMs < Job.Spec.FirstDueMs + K * Job.Spec.IntervalMs)
      return WaitReason::NotDue;
  }
  if (Job.Tasks[Task].NotBefore > In_.Now)
    return PoolState::stepOf(Job, Task).Gang ? WaitReason::GangPause
                                             : WaitReason::CrashOpen;
  return std::nullopt;
}

bool StartPlan::hasTeamRoom(const JobRecord &Job, const StepSpec &Step,
                            std::uint32_t Count) {
  const std::optional<core::Resources> &Room = Job.Team->Room;
  if (!Room)
    return true;
  const core::Resources &Use = Job.Team->Use;
  auto Fits = [Count](std::uint64_t Used, std::uint64_t Need,
                      std::uint64_t Bound) {
    return Used + Need * Count <= Bound;
  };
  return Fits(Use.MilliCpus, Step.Need.MilliCpus, Room->MilliCpus) &&
         Fits(Use.MemoryMb, Step.Need.MemoryMb, Room->MemoryMb) &&
         Fits(Use.Accelerators, Step.Need.Accelerators, Room->Accelerators);
}

bool StartPlan::isKnownUnplaceable(const StepSpec &Step) const {
  core::Resources Need = reservedBy(Step);
  return std::any_of(
      Unplaced_.begin(), Unplaced_.end(),
      [&](const core::Resources &Least) { return core::fits(Least, Need); });
}

void StartPlan::planJob(JobRecord &Job) {
  // First task of the last step for which no worker was found; the step's other
  // tasks are skipped, as they would not find one either.
  std::optional<std::uint32_t> Unplaceable;
  for (std::uint32_t Task : Job.Waiting) {
    if (isBounded())
      return;
    if (!mayStart(Job, Task) || isIsolated(Job, Task))
      continue;
    TaskPlace Place = PoolState::placeOf(Job, Task);
    const StepSpec &Step = Job.Spec.Steps[Place.Step];
    if (isKnownUnplaceable(Step))
      continue;
    std::uint32_t First = Task - Place.Index;
    if (Step.Gang) {
      if (First == Task)
        planGang(Job, First);
      continue;
    }
    bool IsCopy = !Job.Tasks[Task].Runs.empty();
    if (!hasTeamRoom(Job, Step, 1) || (First == Unplaceable && !IsCopy))
      continue;
    WorkerState *W = chooseWorker(Job, Task);
    if (W && waitsForRackInsteadOf(*W, Job, Task))
      continue;
    if (W) {
      start(Job, Task, *W, nextRun());
      announce(Job, Task);
    }
    if (W || IsCopy || isSuspect(Job, Task))
      continue;
    if (Step.Label.empty() && Step.MaxPerWorker == 0 && !Step.Lasting)
      Unplaced_.push_back(reservedBy(Step));
    else
      Unplaceable = First;
  }
}

/// Removes a run that was never ordered; its task goes on waiting.
void StartPlan::takeBack(JobRecord &Job, std::uint32_t Task, RunId Run) {
  const LiveRun *Live = Owner_.findRun(Job, Task, Run);
  if (!Live)
    return;
  auto Suspects = Suspects_.find(Owner_.Workers_.at(Live->Worker).get());
  if (isSuspect(Job, Task) && Suspects != Suspects_.end() &&
      --Suspects->second == 0)
    Suspects_.erase(Suspects);
  core::TimePoint Since = Job.Tasks[Task].WaitingSince;
  Owner_.removeRun(Job, Task, Run);
  Job.Tasks[Task].WaitingSince = Since;
}

std::uint32_t StartPlan::countStepRuns(const WorkerState &W, JobRecord &Job,
                                       std::uint32_t Task) {
  TaskPlace Place = PoolState::placeOf(Job, Task);
  std::uint32_t First = Task - Place.Index;
  std::uint32_t Last = First + Job.Spec.Steps[Place.Step].Tasks;
  std::uint32_t Count = 0;
  for (auto It = W.Tasks.lower_bound({&Job, First});
       It != W.Tasks.end() && It->first == &Job && It->second < Last; ++It)
    for (const LiveRun &Run : Job.Tasks[It->second].Runs)
      Count += Run.Worker == W.Entry.Id ? 1 : 0;
  return Count;
}

bool StartPlan::hasSpread(const WorkerState &W, JobRecord &Job,
                          std::uint32_t Task, const StepSpec &Step) {
  return Step.MaxPerWorker == 0 ||
         countStepRuns(W, Job, Task) < Step.MaxPerWorker;
}

bool StartPlan::meetsConstraints(const WorkerState &W, JobRecord &Job,
                                 std::uint32_t Task,
                                 const StepSpec &Step) const {
  if (!core::fits(reservedBy(Step), freeOn(W)) || !mayHost(W, Step))
    return false;
  // A copy on the same worker as the straggling run would be slow as well.
  return hasLabel(W.Entry, Step) && !hasRunOn(W, Job, Task) &&
         hasSpread(W, Job, Task, Step);
}

bool StartPlan::hasRunOn(const WorkerState &W, const JobRecord &Job,
                         std::uint32_t Task) {
  const std::vector<LiveRun> &Runs = Job.Tasks[Task].Runs;
  return std::any_of(Runs.begin(), Runs.end(), [&](const LiveRun &Run) {
    return Run.Worker == W.Entry.Id;
  });
}

/// Whether the loss of the worker would be known soon enough for the step.
bool StartPlan::mayHost(const WorkerState &W, const StepSpec &Step) const {
  return !Step.Lasting || Owner_.mayHostLasting(W, In_.Now);
}

StartPlan::WorkerLoad StartPlan::loadOf(const WorkerState &W) {
  return {freeOn(W), W.Lasting, W.Serving, W.Filling};
}

double StartPlan::score(const WorkerState &W, const WorkerLoad &Load,
                        const JobRecord &Job, std::uint32_t Task,
                        const StepSpec &Step) const {
  // Prefer utilised workers, so that empty ones can move to another pool.
  double Score = 1 - static_cast<double>(Load.Free.MilliCpus) /
                         std::max<std::uint32_t>(W.Entry.Capacity.MilliCpus, 1);
  if (Load.Lasting > 0)
    Score += LastingBonus;
  if (!Step.NearRack.empty() && W.Entry.Rack == Step.NearRack)
    Score += NearRackBonus;
  if (isSparedFor(W, Step))
    Score -= SparedRackPenalty;
  bool Mixed = (Step.Filling && Load.Serving > 0) ||
               (Step.TailTargetMs > 0 && Load.Filling > 0);
  if (Mixed)
    Score -= MixedPenalty;
  if (Job.Tasks[Task].FailedOn == W.Entry.Id)
    Score -= FailedHerePenalty;
  if (W.Entry.ColdFor > core::Duration::zero())
    Score -= ColdPenalty;
  auto Others = Suspects_.find(&W);
  if (Others != Suspects_.end())
    Score -= BesideSuspectPenalty;
  if (!isSuspect(Job, Task))
    return Score;
  // A crash then ends fewer other runs and has fewer possible causes.
  Score -= RunBesideSuspectPenalty * static_cast<double>(W.Tasks.size());
  if (Others != Suspects_.end())
    Score -= SuspectsTogetherPenalty;
  if (hasCrashedLately(W))
    Score -= CrashedLatelyPenalty;
  return Score;
}

/// How much less a worker suits a member of a suspect gang for the members that
/// are to start there.
double StartPlan::besideSuspects(std::uint32_t Members) {
  return BesideSuspectPenalty + SuspectsTogetherPenalty +
         RunBesideSuspectPenalty * Members;
}

WorkerState *StartPlan::chooseWorker(JobRecord &Job, std::uint32_t Task) const {
  const StepSpec &Step = Owner_.stepOf(Job, Task);
  bool Apart = In_.Now < Job.Tasks[Task].SpreadUntil;
  WorkerState *Best = nullptr;
  double BestScore = 0;
  for (WorkerState *W : Usable_) {
    if (!meetsConstraints(*W, Job, Task, Step) ||
        (Apart && Suspects_.count(W) != 0))
      continue;
    double Score = score(*W, loadOf(*W), Job, Task, Step);
    if (!Best || Score > BestScore) {
      Best = W;
      BestScore = Score;
    }
  }
  return Best;
}

RunId StartPlan::nextRun() {
  return (Owner_.Token_ << RunCounterBits) + Owner_.NextRun_++;
}

/// Whether a run there is stored before its start is sent.
bool StartPlan::isAnnouncedOn(const JobRecord &Job, std::uint32_t Task,
                              const WorkerState &W) const {
  return mustAnnounce(Job, Task) && W.Born != 0;
}

/// Whether the worker has to report before the task may start there.
bool StartPlan::mustWithhold(const JobRecord &Job, std::uint32_t Task,
                             const WorkerState &W) const {
  return !isAnnouncedOn(Job, Task, W) && Owner_.mayHaveRestartedUnseen(W, In_);
}

/// Lets the task wait for a report of the worker.
void StartPlan::withhold(const JobRecord &Job, std::uint32_t Task,
                         WorkerState &W) {
  Owner_.reserve(W, Job, PoolState::stepOf(Job, Task));
  Withheld_.push_back({&Job, Task, &W});
}

bool StartPlan::isWithheld(const JobRecord &Job, std::uint32_t Task) const {
  return std::any_of(Withheld_.begin(), Withheld_.end(),
                     [&](const HeldRoom &Start) {
                       return Start.Job == &Job && Start.Task == Task;
                     });
}

/// Gives back the room of the withheld starts.
void StartPlan::releaseWithheld() {
  for (const HeldRoom &Start : Withheld_)
    Owner_.release(*Start.Worker, *Start.Job,
                   PoolState::stepOf(*Start.Job, Start.Task));
  Withheld_.clear();
}

void StartPlan::releasePlaces(std::vector<HeldRoom> &Places) {
  for (const HeldRoom &Place : Places)
    PoolState::vacate(*Place.Worker, PoolState::stepOf(*Place.Job, Place.Task));
  Places.clear();
}

void StartPlan::start(JobRecord &Job, std::uint32_t Task, WorkerState &W,
                      RunId Run) {
  bool Announced = isAnnouncedOn(Job, Task, W);
  bool Noted = !Announced && mustNote(Job, Task) && W.Born != 0;
  if (mustWithhold(Job, Task, W)) {
    withhold(Job, Task, W);
    return;
  }
  LiveRun Live;
  Live.Run = Run;
  Live.Worker = W.Entry.Id;
  Live.Fence = Owner_.fenceOf(W);
  Live.OrderedAt = In_.Now;
  Live.SendAfter = Announced ? LiveRun::NotAnnounced : 0;
  Owner_.addRun(Job, Task, std::move(Live));
  if (isSuspect(Job, Task))
    ++Suspects_[&W];
  Job.Tasks[Task].WantsCopy = false;
  if (Noted) {
    Job.Suspect = true;
    Owner_.setAnnounced(Job, Task, {Run, W.Entry.Id, W.Born});
  }
  if (!Announced)
    Starts_.push_back(orderFor(Job, Task, W, Run));
}

StartOrder StartPlan::orderFor(const JobRecord &Job, std::uint32_t Task,
                               WorkerState &W, RunId Run) const {
  StartOrder Order;
  Order.Worker = W.Entry.Id;
  Order.Task = Owner_.refOf(Job, Task);
  Order.Run = Run;
  Order.Payload = Job.Spec.Payload;
  Order.Checkpoint = Job.Tasks[Task].Kept.Checkpoint;
  Order.DeadlineMs = Owner_.leaseFor(W, In_);
  Order.Fence = Owner_.fenceOf(W);
  PoolState::recordLease(W, Order.DeadlineMs, In_.Now);
  return Order;
}

} // namespace comfreydeck::jobs
