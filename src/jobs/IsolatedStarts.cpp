#include "jobs/StartPlan_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace comfreydeck::jobs {

namespace {

/// Workers are reserved at a time until one in this many usable ones is, or
/// twice as many if they need not be drained first.
constexpr std::size_t WorkersPerReservation = 4;
/// How long a worker that crashed is avoided for tasks that may crash it: its
/// own fault may have been the cause.
constexpr std::chrono::milliseconds CrashedLately(15000);
/// From the choice of a worker for a task until the worker is free for the next
/// one, beside the time for which the run has to last.
constexpr std::chrono::milliseconds IsolationOverhead(200);
/// Tasks share workers where more wait than get one of their own within this
/// time.
constexpr std::chrono::milliseconds IsolationLine(4000);
/// Most tasks that share a worker: its crash counts against all of them.
constexpr std::size_t MaxSharing = 16;
/// Tasks share no workers while one in this many has crashed within the time
/// below: a crash would tell nothing of any of them.
constexpr std::size_t WorkersPerCrash = 16;
constexpr std::chrono::milliseconds CrashWindow(1000);

} // namespace

bool StartPlan::hasCrashedLately(const WorkerState &W) const {
  auto At = Owner_.CrashedAt_.find(W.Entry.Address);
  return At != Owner_.CrashedAt_.end() && In_.Now - At->second < CrashedLately;
}

bool StartPlan::isSuspect(const JobRecord &Job, std::uint32_t Task) const {
  return Job.Suspect && Owner_.countPossibleCrashes(Job, Task) > 0;
}

bool StartPlan::isIsolated(const JobRecord &Job, std::uint32_t Task) const {
  return Job.Suspect && Owner_.countPossibleCrashes(Job, Task) >=
                            Owner_.Limits_.IsolationCrashes;
}

/// A task whose workers may only have been out of reach is not delayed.
bool StartPlan::mustAnnounce(const JobRecord &Job, std::uint32_t Task) const {
  return Job.Suspect &&
         (PoolState::countCrashes(Job, Task) > 0 || isIsolated(Job, Task));
}

/// Whether the task's start is stored while it is sent, without waiting for
/// that: an earlier run may have crashed its worker without a trace, and this
/// owner may be lost before the worker is known to be silent.
bool StartPlan::mustNote(const JobRecord &Job, std::uint32_t Task) const {
  return MayHaveMissedCrash_ && Job.Inherited && !Job.Tasks[Task].HadRun &&
         !PoolState::stepOf(Job, Task).Lasting;
}

/// Whether a crash of the worker can be attributed to one new run there.
bool StartPlan::isQuiet(const WorkerState &W) const {
  return std::all_of(W.Tasks.begin(), W.Tasks.end(), [&](const auto &Item) {
    const auto &[Job, Task] = Item;
    const std::vector<LiveRun> &Runs = Job->Tasks[Task].Runs;
    return std::all_of(Runs.begin(), Runs.end(), [&](const LiveRun &Run) {
      return Run.SendAfter == 0 &&
             In_.Now - Run.OrderedAt >= Owner_.Limits_.SuspicionAge;
    });
  });
}

/// Whether, in addition, a crash costs no other run that would have to start
/// over.
bool StartPlan::isClear(const WorkerState &W) const {
  return isQuiet(W) &&
         std::all_of(W.Tasks.begin(), W.Tasks.end(), [](const auto &Item) {
           return PoolState::stepOf(*Item.first, Item.second).Lasting;
         });
}

/// Whether the task may start beside runs that would have to start over.
bool StartPlan::hasWaitedIsolated(const JobRecord &Job,
                                  std::uint32_t Task) const {
  return In_.Now - Job.Tasks[Task].WaitingSince >= Owner_.Limits_.IsolationWait;
}

bool StartPlan::mayIsolateOn(const WorkerState &W, bool Waited) const {
  return Waited ? isQuiet(W) : isClear(W);
}

void StartPlan::isolate(WorkerState &W) {
  // A worker that is out of reach takes no starts anyway.
  if (!W.Isolated && W.IncarnationConfirmed)
    ++Reserved_;
  W.Isolated = true;
}

/// Has the run that the task was given in this round stored.
void StartPlan::announce(JobRecord &Job, std::uint32_t Task, bool Shared) {
  for (LiveRun &Run : Job.Tasks[Task].Runs) {
    if (Run.SendAfter != LiveRun::NotAnnounced)
      continue;
    Owner_.setAnnounced(Job, Task,
                        {Run.Run, Run.Worker,
                         Owner_.Workers_.at(Run.Worker)->Born,
                         core::Duration::zero(), Shared});
    Run.SendAfter = Owner_.Outbox_.lastChange();
    // It is asked while the row is being stored.
    Owner_.Workers_.at(Run.Worker)->ReportWanted = true;
  }
}

/// Whether the worker has to report before the stored run is sent. It may have
/// crashed since its last report, and the start would count for nothing.
bool StartPlan::mustReportFirst(const WorkerState &W,
                                const LiveRun &Run) const {
  bool IsFresh =
      In_.Now - W.ReportRequestedAt <= Owner_.Limits_.SuspectReportAge;
  return (!IsFresh && W.ReportRequestedAt < *Run.StoredAt) ||
         Owner_.mayHaveRestartedUnseen(W, In_);
}

/// Sends the unit's announced runs, all or none, once a later owner would know
/// of them.
void StartPlan::sendAnnounced(JobRecord &Job, std::uint32_t First,
                              std::uint32_t Last) {
  std::vector<std::pair<std::uint32_t, LiveRun>> Held;
  for (std::uint32_t T = First; T < Last; ++T)
    for (const LiveRun &Run : Job.Tasks[T].Runs)
      if (Run.SendAfter != 0 && !Run.Stopping)
        Held.emplace_back(T, Run);
  // The worker's capacity may have shrunk since the run's room was reserved.
  auto FitsStill = [&](const auto &Item) {
    const WorkerState &W = *Owner_.Workers_.at(Item.second.Worker);
    // Lasting tasks start on closed and quarantined workers too.
    bool Takes = canTake(W) ||
                 (PoolState::stepOf(Job, Item.first).Lasting && canAnswer(W));
    return Takes && core::fits(W.Used, W.Entry.Capacity);
  };
  // A gang whose member was dropped with its worker starts anew as a whole.
  bool Whole = Held.empty() || Held.size() == Last - First;
  // While the job's row is refused, its runs would keep workers from others.
  bool Usable = Whole && !Job.SetAside &&
                std::all_of(Held.begin(), Held.end(), FitsStill);
  bool Stored = std::all_of(Held.begin(), Held.end(), [&](const auto &Item) {
    return Owner_.Outbox_.isStored(Item.second.SendAfter);
  });
  bool Unsure = false;
  for (const auto &[Task, Run] : Held) {
    WorkerState &W = *Owner_.Workers_.at(Run.Worker);
    LiveRun &Live = *Owner_.findRun(Job, Task, Run.Run);
    if (Stored && !Live.StoredAt)
      Live.StoredAt = In_.Now;
    if (Usable && Stored && mustReportFirst(W, Live))
      Unsure = W.ReportWanted = true;
  }
  for (const auto &[Task, Run] : Held) {
    if (!Usable) {
      takeBack(Job, Task, Run.Run);
    } else if (Stored && !Unsure) {
      LiveRun &Live = *Owner_.findRun(Job, Task, Run.Run);
      Live.SendAfter = 0;
      Live.Fence = Owner_.fenceOf(*Owner_.Workers_.at(Run.Worker));
      Live.OrderedAt = In_.Now;
      Starts_.push_back(
          orderFor(Job, Task, *Owner_.Workers_.at(Run.Worker), Run.Run));
    }
  }
}

/// Forgets an announced run that has ended without a crash.
void StartPlan::forgetAnnounced(JobRecord &Job, std::uint32_t Task) {
  std::optional<AnnouncedRun> &Announced = Job.Tasks[Task].Kept.Announced;
  if (!Announced || Owner_.findRun(Job, Task, Announced->Run) ||
      Owner_.Lost_.contains({Job.Spec.Id, Task, Announced->Run}))
    return;
  Announced.reset();
  Owner_.Outbox_.markChanged(Job);
}

/// Notes the workers of the task's runs, and isolates them if the task has
/// crashed several workers.
void StartPlan::noteSuspectRuns(JobRecord &Job, std::uint32_t Task) {
  bool Isolated = isIsolated(Job, Task);
  for (const LiveRun &Run : Job.Tasks[Task].Runs) {
    WorkerState &W = *Owner_.Workers_.at(Run.Worker);
    ++Suspects_[&W];
    if (Isolated)
      isolate(W);
  }
}

std::vector<StartPlan::IsolatedUnit> StartPlan::findIsolated() {
  std::vector<IsolatedUnit> Waiting;
  for (JobRecord *Job : Owner_.Open_) {
    if (!Job->Suspect)
      continue;
    for (std::uint32_t T = 0; T < Job->Tasks.size(); ++T) {
      if (Job->Tasks[T].Kept.Done || !isSuspect(*Job, T))
        continue;
      noteSuspectRuns(*Job, T);
      auto [First, Last] = PoolState::unitOf(*Job, T);
      bool Waits =
          std::all_of(Job->Tasks.begin() + First, Job->Tasks.begin() + Last,
                      [](const TaskState &S) { return S.Runs.empty(); });
      bool Ready = PoolState::stepReady(*Job, PoolState::placeOf(*Job, T));
      if (T == First && Waits && Ready && isIsolated(*Job, T) &&
          !isHeldBack(*Job))
        Waiting.push_back({Job, First});
    }
  }
  std::sort(Waiting.begin(), Waiting.end(),
            [](const IsolatedUnit &A, const IsolatedUnit &B) {
              bool ALasts = PoolState::stepOf(*A.Job, A.First).Lasting;
              bool BLasts = PoolState::stepOf(*B.Job, B.First).Lasting;
              return std::tie(BLasts, A.Job->Spec.AcceptedMs, A.Job->Spec.Id,
                              A.First) < std::tie(ALasts,
                                                  B.Job->Spec.AcceptedMs,
                                                  B.Job->Spec.Id, B.First);
            });
  return Waiting;
}

void StartPlan::planSuspects() {
  for (auto &[Id, W] : Owner_.Workers_)
    if (std::exchange(W->Isolated, false))
      ReservedBefore_.insert(W.get());
  bool AnySuspect =
      std::any_of(Owner_.Open_.begin(), Owner_.Open_.end(),
                  [](const JobRecord *Job) { return Job->Suspect; });
  if (!AnySuspect)
    return;
  for (auto &[Id, W] : Owner_.Workers_)
    if (canTake(*W))
      Takers_.push_back(W.get());
    else if (isOnlyQuarantined(*W))
      Quarantined_.push_back(W.get());
  MaxReserved_ =
      std::max<std::size_t>(Takers_.size() / WorkersPerReservation, 1);
  for (JobRecord *Job : Owner_.Open_) {
    if (!Job->Suspect)
      continue;
    for (std::uint32_t T = 0; T < Job->Tasks.size(); ++T) {
      auto [First, Last] = PoolState::unitOf(*Job, T);
      if (T == First)
        sendAnnounced(*Job, First, Last);
      forgetAnnounced(*Job, T);
    }
  }
  std::vector<IsolatedUnit> Waiting = findIsolated();
  LeftToLasting_ = findPlaceForLasting();
  auto MayShare = [this](const IsolatedUnit &Unit) {
    return !PoolState::stepOf(*Unit.Job, Unit.First).Gang &&
           mayShareWorker(*Unit.Job, Unit.First);
  };
  std::size_t PerWorker = suspectsPerWorker(static_cast<std::size_t>(
      std::count_if(Waiting.begin(), Waiting.end(), MayShare)));
  // Those that need a worker alone would hold up a line of those that don't.
  if (PerWorker > 1)
    std::stable_partition(Waiting.begin(), Waiting.end(), MayShare);
  const JobRecord *Tried = nullptr;
  for (std::size_t N = 0; N < Waiting.size(); ++N) {
    const IsolatedUnit &Unit = Waiting[N];
    JobRecord &Job = *Unit.Job;
    const StepSpec &Step = PoolState::stepOf(Job, Unit.First);
    // One task at a time tells enough of a job that can fail.
    if ((&Job == Tried && !Step.Lasting) || !Job.Tasks[Unit.First].Runs.empty())
      continue;
    Tried = &Job;
    if (!Owner_.mayTryAgain(Job, Unit.First))
      continue;
    if (Step.Gang)
      planIsolatedGang(Job, Unit.First);
    else
      planIsolatedTask(Job, Unit.First, std::span(Waiting).subspan(N + 1),
                       PerWorker);
  }
}

/// How many of the waiting tasks start together on one worker, so that they
/// are worked off within about \ref IsolationLine.
std::size_t StartPlan::suspectsPerWorker(std::size_t Waiting) const {
  auto Turns = static_cast<std::size_t>(
      IsolationLine / (Owner_.Limits_.SuspicionAge + IsolationOverhead));
  std::size_t Alone = 2 * MaxReserved_ * std::max<std::size_t>(Turns, 1);
  if (Waiting <= Alone || haveManyCrashed())
    return 1;
  return std::min((Waiting + Alone - 1) / Alone, MaxSharing);
}

/// Whether workers crash by themselves, as far as can be told by their number.
bool StartPlan::haveManyCrashed() const {
  const auto &CrashedAt = Owner_.UnexplainedCrashAt_;
  auto Crashed = static_cast<std::size_t>(std::count_if(
      CrashedAt.begin(), CrashedAt.end(), [&](const auto &Address) {
        return In_.Now - Address.second < CrashWindow;
      }));
  return Crashed * WorkersPerCrash > Takers_.size();
}

/// Whether several earlier owners may have been lost with crashes of the task
/// that none knows of. An owner that stored all the crashes that are known, and
/// is lost, stands for one.
bool StartPlan::mayHaveHiddenCrashes(const JobRecord &Job,
                                     std::uint32_t Task) const {
  const std::vector<RunId> &Crashed = Job.Tasks[Task].Kept.CrashedRuns;
  auto TokenOf = [](RunId Run) { return Run >> RunCounterBits; };
  return Job.Inherited &&
         std::any_of(Crashed.begin(), Crashed.end(), [&](RunId Run) {
           return TokenOf(Run) == Owner_.token() ||
                  TokenOf(Run) != TokenOf(Crashed.front());
         });
}

/// Whether a crash that may be another task's leaves the task a run of its own.
bool StartPlan::mayShareWorker(const JobRecord &Job, std::uint32_t Task) const {
  return !mayHaveHiddenCrashes(Job, Task) &&
         Owner_.countPossibleCrashes(Job, Task) <=
             Owner_.Limits_.IsolationCrashes;
}

/// Starts up to \p Most of the waiting tasks on a worker that one of them has
/// to itself otherwise. False if none was started.
bool StartPlan::startBeside(WorkerState &W,
                            std::span<const IsolatedUnit> Others,
                            std::size_t Most) {
  std::size_t Started = 0;
  for (const IsolatedUnit &Unit : Others) {
    if (Started >= Most)
      break;
    JobRecord &Job = *Unit.Job;
    const StepSpec &Step = PoolState::stepOf(Job, Unit.First);
    if (Step.Gang || !Job.Tasks[Unit.First].Runs.empty() ||
        !mayStart(Job, Unit.First) || !mayShareWorker(Job, Unit.First) ||
        !hasTeamRoom(Job, Step, 1) ||
        !meetsConstraints(W, Job, Unit.First, Step))
      continue;
    start(Job, Unit.First, W, nextRun());
    announce(Job, Unit.First, true);
    ++Started;
  }
  return Started > 0;
}

/// \p Others may start on the same worker, up to \p Most tasks in all.
void StartPlan::planIsolatedTask(JobRecord &Job, std::uint32_t Task,
                                 std::span<const IsolatedUnit> Others,
                                 std::size_t Most) {
  // A choice among many workers costs more than what else a task is asked.
  if (Reserved_ >= 2 * MaxReserved_ || !mayStart(Job, Task) ||
      !hasTeamRoom(Job, PoolState::stepOf(Job, Task), 1))
    return;
  bool Waited = hasWaitedIsolated(Job, Task);
  WorkerState *W = chooseForIsolation(Job, Task);
  if (!W)
    return;
  bool HasRoom = meetsConstraints(*W, Job, Task, PoolState::stepOf(Job, Task));
  bool Ready = HasRoom && mayIsolateOn(*W, Waited);
  bool Soon = Ready || (HasRoom && Waited);
  if (Reserved_ >= MaxReserved_ * (Soon ? 2 : 1))
    return;
  if (Ready) {
    bool MayShare = mayShareWorker(Job, Task);
    start(Job, Task, *W, nextRun());
    announce(Job, Task, MayShare && startBeside(*W, Others, Most - 1));
  }
  isolate(*W);
}

/// Starts the gang on workers of its own, or reserves as many as may be.
void StartPlan::planIsolatedGang(JobRecord &Job, std::uint32_t First) {
  const StepSpec &Step = PoolState::stepOf(Job, First);
  std::uint32_t Last = First + Step.Tasks;
  bool Waited = hasWaitedIsolated(Job, First);
  Usable_.clear();
  for (auto &[Id, W] : Owner_.Workers_)
    if (mayReserve(*W) && mayIsolateOn(*W, Waited))
      Usable_.push_back(W.get());
  planGang(Job, First);
  Usable_.clear();
  for (std::uint32_t T = First; T < Last; ++T)
    for (const LiveRun &Run : Job.Tasks[T].Runs)
      isolate(*Owner_.Workers_.at(Run.Worker));
  if (!Job.Tasks[First].Runs.empty() ||
      (Waited && reserveRoomForGang(Job, First)))
    return;
  for (std::uint32_t N = 0; N < Step.Tasks && Reserved_ < MaxReserved_; ++N) {
    WorkerState *W = chooseForIsolation(Job, First);
    if (!W)
      return;
    isolate(*W);
  }
}

/// Reserves workers that have room for the whole gang, however many, so that
/// they are quiet within the suspicion age. Those of the last round come first:
/// others would not be quiet sooner.
bool StartPlan::reserveRoomForGang(JobRecord &Job, std::uint32_t First) {
  const StepSpec &Step = PoolState::stepOf(Job, First);
  if (!hasTeamRoom(Job, Step, Step.Tasks))
    return false;
  std::vector<WorkerState *> Places;
  for (bool Others : {false, true}) {
    Usable_.clear();
    for (auto &[Id, W] : Owner_.Workers_)
      if (mayReserve(*W) &&
          (Others || isQuiet(*W) || ReservedBefore_.contains(W.get())))
        Usable_.push_back(W.get());
    Places = placeGang(Job, First);
    if (!Places.empty())
      break;
  }
  Usable_.clear();
  for (WorkerState *W : Places)
    isolate(*W);
  return !Places.empty();
}

/// The worker that is clear soonest, so that few others wait for it. What lasts
/// there leaves room for the task: waiting for that would be in vain. Once the
/// task has waited for long, the worker where it starts soonest.
WorkerState *StartPlan::chooseForIsolation(JobRecord &Job,
                                           std::uint32_t Task) const {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  bool Waited = hasWaitedIsolated(Job, Task);
  auto Fits = [&](const WorkerState &W) {
    return core::fits(reservedBy(Step), roomBesideLasting(W)) &&
           hasLabel(W.Entry, Step) && mayHost(W, Step) &&
           (!Step.Lasting || hasSpread(W, Job, Task, Step));
  };
  auto Rank = [&](const WorkerState &W) {
    bool HasRoom = Waited && meetsConstraints(W, Job, Task, Step);
    bool Quiet = HasRoom && isQuiet(W);
    bool Kept = Waited && ReservedBefore_.contains(&W);
    double RoomMs = Waited ? msUntilRoom(W, Step).value_or(0) : 0;
    return std::make_tuple(Waited && !HasRoom, isOnlyQuarantined(W),
                           Waited && !Quiet, RoomMs, hasCrashedLately(W), !Kept,
                           W.Lasting, W.Tasks.size(), W.Entry.Id);
  };
  // As other lasting tasks do that have waited for as long.
  auto MayReserve = [&](const WorkerState &W) {
    return mayReserve(W) || (Waited && Step.Lasting && !Step.Gang &&
                             isOnlyQuarantined(W) && &W != LeftToLasting_);
  };
  WorkerState *Best = nullptr;
  std::optional<decltype(Rank(*Best))> BestRank;
  for (const auto *Workers : {&Takers_, &Quarantined_})
    for (WorkerState *W : *Workers) {
      if (!MayReserve(*W) || W->Born == 0 || !Fits(*W))
        continue;
      auto Its = Rank(*W);
      if (BestRank && Its >= *BestRank)
        continue;
      Best = W;
      BestRank = Its;
    }
  return Best;
}

} // namespace comfreydeck::jobs
