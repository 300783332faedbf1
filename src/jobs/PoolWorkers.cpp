#include "jobs/PoolState.h"

#include "jobs/Placement_p.h"
#include "jobs/PoolTimes_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// Earlier incarnations that are remembered for each worker.
constexpr std::size_t MaxEarlierBorns = 16;

} // namespace

void PoolState::startIncarnation(WorkerState &W, std::int64_t Born,
                                 const WorkerReport *Report,
                                 core::TimePoint Now) {
  std::vector<SuspectRun> Unlisted = unlistedStarts(W);
  Events_.Restarts.push_back(
      {W.Entry.Id, W.Born, Born, Report != nullptr, true, Unlisted.size()});
  std::vector<LiveRun> Runs;
  Runs.reserve(Unlisted.size());
  for (const SuspectRun &Start : Unlisted)
    Runs.push_back(*findRun(*jobOf(Start.JobId), Start.Task, Start.Run));
  MissedCrash_ = MissedCrash_ || !W.Heard || !W.UnknownRuns.empty();
  dropCrashed(W, Born, Report, Now);
  for (std::size_t N = 0; N < Runs.size(); ++N)
    keepUnlistedStart(*jobOf(Unlisted[N].JobId), Unlisted[N].Task, Runs[N],
                      Now);
  if (W.AskedAt) {
    W.EarlierFence = fenceOf(W);
    raiseFence(W);
  }
  expectLateOrders(W);
  W.IncarnationConfirmed = false;
  W.DoubtedSince.reset();
  // A row may have told of an earlier one in between.
  std::erase(W.EarlierBorns, Born);
  W.EarlierBorns.push_back(W.Born);
  if (W.EarlierBorns.size() > MaxEarlierBorns)
    W.EarlierBorns.pop_front();
  W.BornKnownAt = Now;
  W.Restarted = true;
  W.Ended = false;
  W.Born = Born;
  W.BornAddress.clear();
  W.Clock = WorkerClock();
  W.FencedAt.reset();
  W.DeadlineMs = 0;
  W.ProcessedUpTo = W.StoredUpTo = W.AcknowledgedUpTo = 0;
  W.Unstored.clear();
  W.Parked.clear();
  W.UnknownRuns.clear();
  W.FailuresInRow = 0;
  W.NotedEarlierOrders.reset();
  // What an earlier incarnation reported says nothing of what earlier owners'
  // orders started on this one.
  if (!Settled_ && !Report && isUnknownToEarlierOwners(W))
    W.Heard = false;
}

/// Records until when orders that were sent to the worker may give a lease to
/// an incarnation after the present one.
void PoolState::expectLateOrders(WorkerState &W) const {
  // On a clock that starts anew, the end of a lease lies far ahead: only the
  // worker's own limit holds.
  if (W.LeaseOrderedAt) {
    W.EarlierDeadlineMs = std::max(W.EarlierDeadlineMs, W.DeadlineMs);
    W.EarlierOrdersUntil =
        latestLeaseEnd(*W.LeaseOrderedAt + Limits_.LateOrder, Limits_.MaxLease);
  }
}

/// Lets the worker get no start until a report that is requested from now on
/// has told whether its incarnation is the known one. \p Shown is the start
/// time of the other one, of which a late report or the worker's row has told.
void PoolState::doubtIncarnation(WorkerState &W, std::int64_t Shown,
                                 bool ByReport, core::TimePoint Now) {
  Events_.Restarts.push_back(
      {W.Entry.Id, W.Born, Shown, ByReport, false, unlistedStarts(W).size()});
  expectLateOrders(W);
  W.DoubtedSince = Now;
  W.IncarnationConfirmed = false;
  W.NextHold = std::min(W.NextHold, Now);
}

bool PoolState::isEarlierIncarnation(const WorkerState &W, std::int64_t Born) {
  return std::find(W.EarlierBorns.begin(), W.EarlierBorns.end(), Born) !=
         W.EarlierBorns.end();
}

/// Applies the start time in a row that has changed. Rows lag behind reports,
/// and a late write may bring an earlier one back.
void PoolState::applyListedBirth(WorkerState &W, std::int64_t Born,
                                 core::TimePoint Now) {
  if (W.Born == 0 || Born == W.Born || isEarlierIncarnation(W, Born))
    return;
  bool RowWasCurrent = W.Entry.Born == W.Born;
  if (W.Ended || (Born > W.Born && RowWasCurrent))
    startIncarnation(W, Born, nullptr, Now);
  else
    doubtIncarnation(W, Born, false, Now);
}

/// Runs on the worker whose start was sent and that no report has listed: the
/// start may have been or may still be carried out by the next incarnation.
std::vector<SuspectRun> PoolState::unlistedStarts(const WorkerState &W) const {
  std::vector<SuspectRun> Starts;
  for (const auto &[Job, Task] : W.Tasks)
    for (const LiveRun &Run : Job->Tasks[Task].Runs)
      if (Run.Worker == W.Entry.Id && Run.SendAfter == 0 && !Run.Listed)
        Starts.push_back({Job->Spec.Id, Task, Run.Run});
  return Starts;
}

/// Keeps a run that was ordered before the worker restarted. One whose start
/// was answered stays until a report of the present incarnation lists it or
/// not, another one until a report to a higher fence does.
void PoolState::keepUnlistedStart(JobRecord &Job, std::uint32_t Task,
                                  LiveRun Run, core::TimePoint Now) {
  forgetPresumedEnd(refOf(Job, Task), Run.Run);
  Run.StopOutdated = Run.StopInFlight;
  // The restart counts as a first report that leaves it out.
  if (Run.Confirmed)
    Run.MissingSince = Run.ConfirmedAt;
  if (isFinal(Job.Now) || Job.Tasks[Task].Kept.Done) {
    Run.Stopping = true;
    Run.StopAt = Now;
    StopsChanged_ = true;
  }
  addRun(Job, Task, std::move(Run));
}

void PoolState::setWorkers(std::span<const WorkerEntry> Entries,
                           core::TimePoint Now) {
  Now_ = Now;
  std::set<std::string> Listed;
  for (const WorkerEntry &Entry : Entries) {
    Listed.insert(Entry.Id);
    std::unique_ptr<WorkerState> &Slot = Workers_[Entry.Id];
    if (!Slot) {
      Slot = std::make_unique<WorkerState>();
      Slot->Born = Entry.Born;
      Slot->BornKnownAt = Now;
      Slot->FenceStep = ForgottenFenceStep_;
    }
    if (Entry.Born != Slot->Entry.Born)
      applyListedBirth(*Slot, Entry.Born, Now);
    // The next owner finds the worker through the roster, which must have its
    // current address.
    if (Slot->Entry.Address != Entry.Address) {
      Slot->Enrolled = false;
      Slot->AddressKnownAt = Now;
      Outbox_.enrol(Entry.Id);
    }
    Slot->Entry = Entry;
    if (Entry.Born == Slot->Born)
      Slot->BornAddress = Entry.Address;
    Slot->Gone = false;
  }
  for (auto &[Id, W] : Workers_) {
    if (Listed.count(Id) == 0 && !W->Gone) {
      W->Gone = true;
      W->GoneAt = Now;
    }
  }
  settleReplaced(Entries, Now);
}

void PoolState::addEnrolled(const WorkerEntry &Entry, core::TimePoint Now) {
  std::unique_ptr<WorkerState> &Slot = Workers_[Entry.Id];
  if (Slot)
    return;
  Slot = std::make_unique<WorkerState>();
  Slot->Entry = Entry;
  Slot->AddressKnownAt = Now;
  Slot->BornAddress = Entry.Address;
  Slot->Born = Entry.Born;
  Slot->InheritedBorn = Entry.Born;
  if (Entry.EarlierOrdersFor)
    Slot->InheritedOrdersUntil = TakenAt_ + *Entry.EarlierOrdersFor;
  Slot->NotedEarlierOrders = Slot->StoredEarlierOrders = Entry.EarlierOrdersFor;
  // The earlier owner may not have stored all crashes of a recent restart.
  MissedCrash_ =
      MissedCrash_ || Entry.EarlierOrdersFor != core::Duration::zero();
  Slot->BornKnownAt = Now;
  Slot->Enrolled = true;
  Slot->Gone = true;
  Slot->GoneAt = Now;
  if (Entry.Released) {
    Slot->Release = {Now - Entry.ReleasedFor, true, 0, 0, Entry.ReleasedFor};
    Slot->Closed = true;
    Events_.Releases.push_back({ReleaseChange::Kind::Inherited, Entry.Id, 0});
  }
}

void PoolState::setEarlierOwnersStopped(core::TimePoint At) {
  EarlierStoppedAt_ = At;
}

void PoolState::confirmEnded(const std::string &Id) {
  auto At = Workers_.find(Id);
  if (At == Workers_.end())
    return;
  WorkerState &W = *At->second;
  if (W.Heard && !W.Gone)
    return;
  // Machines are taken away only from workers without runs.
  noteUnheard(W);
  settleLost(W, Lost_.takeOthers(Id, AnyIncarnation, 0), {}, 0,
             W.Gone ? W.GoneAt : Now_);
  dropRuns(W, PresumedCause::MachineListed);
  W.UnknownRuns.clear();
  W.Parked.clear();
  W.Heard = true;
  W.Release = {};
  // Its entry may still be listed for a while.
  W.Ended = W.Ended || !W.Gone;
}

bool PoolState::endIncarnation(const WorkerIncarnation &Which) {
  auto At = Workers_.find(Which.Worker);
  if (At == Workers_.end() || At->second->Born != Which.Born)
    return false;
  clearLost(Which.Worker);
  dropRuns(*At->second, PresumedCause::MachineOrdered);
  At->second->Ended = true;
  return true;
}

void PoolState::setConfig(std::shared_ptr<const FleetConfig> Config) {
  if (Config == Config_)
    return;
  Config_ = std::move(Config);
  for (JobRecord *Job : Open_)
    applyQueueSettings(*Job);
}

void PoolState::setClosedDataCentres(std::set<std::string> Names) {
  ClosedDataCentres_ = std::move(Names);
}

void PoolState::setClosedWorkers(const std::set<std::string> &Ids) {
  for (auto &[Id, W] : Workers_)
    W->Closed = Ids.count(Id) != 0 || W->Release.AskedAt;
}

void PoolState::setTeamRoom(std::map<std::string, core::Resources> Room) {
  for (auto &[Name, Team] : Teams_)
    Team.Room.reset();
  for (const auto &[Name, Bound] : Room)
    Teams_[Name].Room = Bound;
}

void PoolState::setEvictingWorkers(const std::set<std::string> &Ids) {
  for (auto &[Id, W] : Workers_)
    W->Evicting = Ids.count(Id) != 0;
}

bool PoolState::isDrained(const std::string &Id) const {
  auto At = Workers_.find(Id);
  return At != Workers_.end() && isEmpty(*At->second);
}

bool PoolState::isEmpty(const WorkerState &W) {
  // Before the first report the worker may have runs of an earlier owner, and a
  // silent worker may have ends that were never reported. Ends that are not
  // stored yet exist only on the worker if this owner fails.
  return W.Heard && W.IncarnationConfirmed && !W.Isolated && W.Tasks.empty() &&
         W.UnknownRuns.empty() && W.Unstored.empty();
}

bool PoolState::isReady(const LiveRun &Run, core::TimePoint Now) const {
  const WorkerState &W = *Workers_.at(Run.Worker);
  return !Run.Stopping && Run.Percent >= ReadyPercent && !W.Gone &&
         hasMadeReportWithin(W, Limits_.ReportStale, Now) &&
         !mayHaveEarlierStop(Run);
}

/// Whether an earlier owner may have stopped a run that the worker still
/// listed. The first report to this owner fenced off the earlier ones; stops
/// accepted before take effect within StopTime after it.
bool PoolState::mayHaveEarlierStop(const LiveRun &Run) const {
  if (Run.Run >> RunCounterBits == Token_)
    return false;
  const WorkerState &W = *Workers_.at(Run.Worker);
  return W.Clock.LastReportMs - W.Clock.FirstReportMs <= toMs(Limits_.StopTime);
}

std::uint32_t PoolState::countUnavailable(const JobRecord &Job,
                                          std::uint32_t Task,
                                          core::TimePoint Now) const {
  TaskPlace Place = placeOf(Job, Task);
  std::uint32_t First = Task - Place.Index;
  std::uint32_t Count = 0;
  for (std::uint32_t T = First; T < First + Job.Spec.Steps[Place.Step].Tasks;
       ++T) {
    const std::vector<LiveRun> &Runs = Job.Tasks[T].Runs;
    bool Works = std::any_of(Runs.begin(), Runs.end(), [&](const LiveRun &Run) {
      return isReady(Run, Now);
    });
    Count += Works || T == Task ? 0 : 1;
  }
  return Count;
}

/// Number of tasks of the step that orders may make unavailable at once.
std::uint32_t PoolState::absenceLimit(const StepSpec &Step) {
  return std::max<std::uint32_t>(Step.AbsenceAllowance, 1);
}

/// Whether the allowance of the lasting task's step covers its absence.
bool PoolState::mayBecomeAbsent(const JobRecord &Job, std::uint32_t Task,
                                core::TimePoint Now) const {
  return countUnavailable(Job, Task, Now) < absenceLimit(stepOf(Job, Task));
}

/// Whether a task of the job can be started again once its run has been
/// stopped.
bool PoolState::mayRestart(const JobRecord &Job) const {
  return !Job.Spec.PayloadMissing && !Job.ProgressUnread &&
         (Settled_ || !Job.Inherited);
}

/// Stops the tasks that end by themselves on workers that are being evicted.
void PoolState::stopEvicted(const PlanInput &In) {
  for (auto &[Id, W] : Workers_) {
    if (!W->Closed || !W->Evicting)
      continue;
    for (const auto &[Job, Task] : W->Tasks) {
      if (stepOf(*Job, Task).Lasting || !mayRestart(*Job))
        continue;
      for (LiveRun &Run : Job->Tasks[Task].Runs)
        if (!Run.Stopping && Run.Worker == Id)
          stopRun(*Job, Task, Run, StopReason::WorkerClosed, In.Now);
    }
  }
}

/// Whether at most half of the workers that could run each open job's tasks are
/// avoided once this one is: what fails or is slow on more of them is hardly
/// the workers' fault.
bool PoolState::mayQuarantine(const WorkerState &W, core::TimePoint Now) const {
  std::vector<const WorkerState *> Avoided = {&W};
  std::vector<const WorkerState *> Others;
  for (const auto &[Id, Host] : Workers_) {
    bool Open = !Host->Closed && !Host->Entry.Draining && !Host->Ended &&
                !Host->Gone && Host->IncarnationConfirmed;
    if (Open && Host.get() != &W)
      (isAvoided(*Host, Now) ? Avoided : Others).push_back(Host.get());
  }
  auto LeavesHalf = [&](const StepSpec &Step) {
    auto CouldRun = [&Step](const WorkerState *Host) {
      return hasLabel(Host->Entry, Step) &&
             core::fits(reservedBy(Step), Host->Entry.Capacity);
    };
    if (!CouldRun(&W))
      return true;
    auto Left = std::count_if(Avoided.begin(), Avoided.end(), CouldRun);
    for (auto It = Others.begin(); It != Others.end() && Left > 0; ++It)
      Left -= CouldRun(*It) ? 1 : 0;
    return Left == 0;
  };
  std::vector<const StepSpec *> Seen;
  auto IsSeen = [&Seen](const StepSpec &Step) {
    return std::any_of(Seen.begin(), Seen.end(), [&](const StepSpec *Other) {
      return Other->Label == Step.Label &&
             core::fits(reservedBy(*Other), reservedBy(Step)) &&
             core::fits(reservedBy(Step), reservedBy(*Other));
    });
  };
  for (const JobRecord *Job : Open_)
    for (const StepSpec &Step : Job->Spec.Steps) {
      if (IsSeen(Step))
        continue;
      if (!LeavesHalf(Step))
        return false;
      Seen.push_back(&Step);
    }
  return true;
}

/// Keeps tasks away from a worker that seems at fault.
void PoolState::quarantine(WorkerState &W, core::TimePoint Now) const {
  if (mayQuarantine(W, Now))
    W.QuarantinedUntil = std::max(W.QuarantinedUntil, Now + Limits_.Quarantine);
}

bool PoolState::allHeard(core::TimePoint Now) const {
  return std::all_of(Workers_.begin(), Workers_.end(), [&](const auto &Item) {
    const WorkerState &W = *Item.second;
    // After slow loading of the jobs, all leases may have expired before the
    // first request. Workers still list ends that must be counted, so wait for
    // their answers, and for the rest of their lists as long as they answer.
    bool Asked = W.AskedAt && Now - *W.AskedAt >= Limits_.ReportAnswer;
    bool Silent = Asked && !hasReportedWithin(W, Limits_.ReportStale, Now);
    bool Heard = W.Heard && !W.DoubtedSince;
    return Heard || ((W.Ended || Silent) && leaseLapsed(W, Now));
  });
}

} // namespace comfreydeck::jobs
