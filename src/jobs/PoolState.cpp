#include "jobs/PoolState.h"

#include "jobs/StartPlan_p.h"
#include "jobs/StragglerPlan_p.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace comfreydeck::jobs {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// The worker lists no more ends than this at once.
constexpr std::size_t MaxEndsListed = 500;
/// Added to each computed lease end for rounding.
constexpr std::int64_t LeaseSlackMs = 60;
/// Jobs that came within this show the rate at which more will.
constexpr core::Duration ArrivalWindow = milliseconds(1000);
constexpr core::Duration BurstWindow = milliseconds(350);
/// Fewer jobs in the shorter window show no rate.
constexpr std::size_t BurstJobs = 3;
/// Mark of an end that may not be noted yet, whatever is stored.
constexpr std::uint64_t NeverStored = std::numeric_limits<std::uint64_t>::max();
/// A lasting task with that is at work.
constexpr std::uint32_t AtWorkPercent = 100;
/// Pause between stops of one run that were not answered.
constexpr milliseconds StopRetry(300);

std::int64_t toMs(core::Duration D) {
  return duration_cast<milliseconds>(D).count();
}

} // namespace

PoolState::PoolState(std::string Pool, std::uint64_t Token,
                     core::TimePoint TakenAt, OwnerLimits Limits)
    : Pool_(std::move(Pool)), Token_(Token), TakenAt_(TakenAt),
      Limits_(Limits) {}

// Jobs.

JobRecord &PoolState::makeJob(const JobSpec &Spec, core::TimePoint Now) {
  auto Job = std::make_unique<JobRecord>();
  Job->Spec = Spec;
  Job->KnownSince = Now;
  std::uint32_t Begin = 0;
  for (const StepSpec &Step : Spec.Steps) {
    Job->StepBegin.push_back(Begin);
    Begin += Step.Tasks;
  }
  Job->Tasks.resize(std::size_t{Begin} * occurrences(Spec));
  for (std::uint32_t K = 0; K < occurrences(Spec); ++K)
    for (const StepSpec &Step : Spec.Steps)
      Job->Undone.push_back(Step.Tasks);
  JobRecord &Made = *Job;
  Jobs_[Spec.Id] = std::move(Job);
  return Made;
}

void PoolState::addJob(const JobSpec &Spec, core::TimePoint Now) {
  if (Jobs_.count(Spec.Id) != 0)
    return;
  JobRecord &Job = makeJob(Spec, Now);
  Job.Inherited = Now - TakenAt_ < Limits_.NewJobAge;
  Open_.insert(&Job);
  noteArrival(Job, Now);
  adoptReported(Job, Now);
}

/// What workers have listed of the job before it was known here.
void PoolState::adoptReported(const JobRecord &Job, core::TimePoint Now) {
  for (auto &[Id, W] : Workers_) {
    std::vector<ParkedEnd> Parked = std::exchange(W->Parked, {});
    for (ParkedEnd &Waiting : Parked) {
      if (Waiting.End.Task.JobId != Job.Spec.Id) {
        W->Parked.push_back(std::move(Waiting));
        continue;
      }
      applyEnd(*jobOf(Job.Spec.Id), *W, Waiting.End, Now);
      for (auto &[Number, Mark] : W->Unstored)
        if (Number == Waiting.End.Number)
          Mark = Touches_;
    }
    std::vector<RunReport> Runs = std::exchange(W->UnknownRuns, {});
    for (const RunReport &Run : Runs)
      handleRunning(*W, Run, W->ReportedAt, Now);
  }
}

void PoolState::inheritJob(const JobSpec &Spec, const JobProgress *Kept,
                           core::TimePoint Now) {
  if (Jobs_.count(Spec.Id) != 0)
    return;
  JobRecord &Job = makeJob(Spec, Now);
  Job.Inherited = true;
  if (Kept) {
    Job.Now = Job.Stored = Kept->State;
    Job.Started = Kept->State != JobState::Queued;
    std::size_t Known = std::min(Job.Tasks.size(), Kept->Tasks.size());
    for (std::uint32_t T = 0; T < Known; ++T) {
      Job.Tasks[T].Kept = Kept->Tasks[T];
      TaskRef Ref = refOf(Job, T);
      if (Kept->Tasks[T].Done)
        --Job.Undone[Ref.Occurrence * Spec.Steps.size() + Ref.Step];
    }
  }
  if (!isFinal(Job.Now))
    Open_.insert(&Job);
  adoptReported(Job, Now);
}

void PoolState::cancelJob(const std::string &Id) {
  JobRecord *Job = jobOf(Id);
  if (Job && !isFinal(Job->Now))
    endJob(*Job, JobState::Cancelled);
}

void PoolState::dropFinished(std::int64_t AcceptedBeforeMs) {
  for (auto It = Jobs_.begin(); It != Jobs_.end();) {
    const JobRecord &Job = *It->second;
    bool HasRuns =
        std::any_of(Job.Tasks.begin(), Job.Tasks.end(),
                    [](const TaskState &T) { return !T.Runs.empty(); });
    bool Drop = isFinal(Job.Stored) && Job.FirstTouch == 0 && !HasRuns &&
                Job.Spec.AcceptedMs < AcceptedBeforeMs;
    It = Drop ? Jobs_.erase(It) : std::next(It);
  }
}

JobRecord *PoolState::jobOf(const std::string &Id) {
  auto It = Jobs_.find(Id);
  return It == Jobs_.end() ? nullptr : It->second.get();
}

const JobRecord *PoolState::findJob(const std::string &Id) const {
  auto It = Jobs_.find(Id);
  return It == Jobs_.end() ? nullptr : It->second.get();
}

JobState PoolState::shownState(const JobRecord &Job) {
  if (isFinal(Job.Stored))
    return Job.Stored;
  return Job.Started ? JobState::Running : JobState::Queued;
}

std::uint32_t PoolState::pending(const std::string &Queue) const {
  std::uint32_t Count = 0;
  for (const JobRecord *Job : Open_)
    if (Job->Spec.Queue == Queue && !Job->Started)
      ++Count;
  return Count;
}

const StepSpec &PoolState::stepOf(const JobRecord &Job,
                                  std::uint32_t Task) const {
  return Job.Spec.Steps[refOf(Job, Task).Step];
}

std::uint32_t PoolState::indexOf(const JobRecord &Job,
                                 const TaskRef &Ref) const {
  std::uint32_t PerOccurrence = tasksPerOccurrence(Job.Spec);
  if (Ref.Step >= Job.StepBegin.size() ||
      Ref.Index >= Job.Spec.Steps[Ref.Step].Tasks ||
      Ref.Occurrence >= occurrences(Job.Spec))
    return static_cast<std::uint32_t>(Job.Tasks.size());
  return Ref.Occurrence * PerOccurrence + Job.StepBegin[Ref.Step] + Ref.Index;
}

TaskRef PoolState::refOf(const JobRecord &Job, std::uint32_t Task) const {
  std::uint32_t PerOccurrence =
      static_cast<std::uint32_t>(Job.Tasks.size()) / occurrences(Job.Spec);
  TaskRef Ref;
  Ref.JobId = Job.Spec.Id;
  Ref.Occurrence = Task / PerOccurrence;
  std::uint32_t Within = Task % PerOccurrence;
  auto After =
      std::upper_bound(Job.StepBegin.begin(), Job.StepBegin.end(), Within);
  Ref.Step = static_cast<std::uint32_t>(After - Job.StepBegin.begin()) - 1;
  Ref.Index = Within - Job.StepBegin[Ref.Step];
  return Ref;
}

bool PoolState::stepReady(const JobRecord &Job, std::uint32_t Task) const {
  TaskRef Ref = refOf(Job, Task);
  const std::vector<std::uint32_t> &After = Job.Spec.Steps[Ref.Step].After;
  std::size_t Base = Ref.Occurrence * Job.Spec.Steps.size();
  return std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
    return Job.Undone[Base + Earlier] == 0;
  });
}

void PoolState::touch(JobRecord &Job) {
  ++Touches_;
  if (Job.FirstTouch != 0)
    return;
  Job.FirstTouch = Touches_;
  Changed_.push_back(&Job);
}

void PoolState::endJob(JobRecord &Job, JobState State) {
  Job.Now = State;
  Open_.erase(&Job);
  for (TaskState &Task : Job.Tasks)
    for (LiveRun &Run : Task.Runs)
      Run.Stopping = true;
  touch(Job);
}

void PoolState::taskDone(JobRecord &Job, std::uint32_t Task) {
  TaskState &State = Job.Tasks[Task];
  for (LiveRun &Run : State.Runs)
    Run.Stopping = true;
  TaskRef Ref = refOf(Job, Task);
  const StepSpec &Step = Job.Spec.Steps[Ref.Step];
  if (State.Kept.Done || isFinal(Job.Now) || Step.Lasting)
    return;
  State.Kept.Done = true;
  State.Kept.Checkpoint.clear();
  ++Counters_.Done;
  --Job.Undone[Ref.Occurrence * Job.Spec.Steps.size() + Ref.Step];
  touch(Job);
  // One member's end stands for the whole gang.
  if (Step.Gang)
    for (std::uint32_t Mate = 0; Mate < Step.Tasks; ++Mate)
      taskDone(Job, Task - Ref.Index + Mate);
  bool AllDone = std::all_of(Job.Undone.begin(), Job.Undone.end(),
                             [](std::uint32_t Left) { return Left == 0; });
  if (AllDone && !isFinal(Job.Now))
    endJob(Job, JobState::Completed);
}

void PoolState::taskFailed(JobRecord &Job, std::uint32_t Task, WorkerState &W,
                           core::TimePoint Now) {
  ++Counters_.Failed;
  TaskState &State = Job.Tasks[Task];
  State.FailedOn = W.Entry.Id;
  if (W.LastFailedJob != Job.Spec.Id) {
    W.LastFailedJob = Job.Spec.Id;
    ++W.FailuresInRow;
  }
  if (W.FailuresInRow >= Limits_.QuarantineFailures)
    W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.Quarantine);
  const StepSpec &Step = stepOf(Job, Task);
  if (Step.Lasting || isFinal(Job.Now) || State.Kept.Done)
    return;
  touch(Job);
  std::size_t Failures = State.Kept.FailedRuns.size();
  if (Step.Gang) {
    Failures = 0;
    std::uint32_t First = Task - refOf(Job, Task).Index;
    for (std::uint32_t Mate = 0; Mate < Step.Tasks; ++Mate)
      Failures += Job.Tasks[First + Mate].Kept.FailedRuns.size();
  }
  if (Failures >= Job.Spec.MaxAttempts)
    endJob(Job, JobState::Failed);
}

// Runs and the room that they take.

LiveRun *PoolState::findRun(JobRecord &Job, std::uint32_t Task, RunId Run) {
  for (LiveRun &Live : Job.Tasks[Task].Runs)
    if (Live.Run == Run)
      return &Live;
  return nullptr;
}

void PoolState::reserve(WorkerState &W, const JobRecord &Job,
                        const StepSpec &Step) {
  if (!Step.Filling)
    W.Used.MilliCpus += Step.Need.MilliCpus;
  W.Used.MemoryMb += Step.Need.MemoryMb;
  W.Used.Accelerators += Step.Need.Accelerators;
  W.Serving += Step.TailTargetMs > 0 ? 1 : 0;
  W.Lasting += Step.Lasting ? 1 : 0;
  W.Filling += Step.Filling ? 1 : 0;
  core::Resources &Use = TeamUse_[Job.Spec.Team];
  Use.MilliCpus += Step.Need.MilliCpus;
  Use.MemoryMb += Step.Need.MemoryMb;
  Use.Accelerators += Step.Need.Accelerators;
}

void PoolState::release(WorkerState &W, const JobRecord &Job,
                        const StepSpec &Step) {
  if (!Step.Filling)
    W.Used.MilliCpus -= Step.Need.MilliCpus;
  W.Used.MemoryMb -= Step.Need.MemoryMb;
  W.Used.Accelerators -= Step.Need.Accelerators;
  W.Serving -= Step.TailTargetMs > 0 ? 1 : 0;
  W.Lasting -= Step.Lasting ? 1 : 0;
  W.Filling -= Step.Filling ? 1 : 0;
  core::Resources &Use = TeamUse_[Job.Spec.Team];
  Use.MilliCpus -= Step.Need.MilliCpus;
  Use.MemoryMb -= Step.Need.MemoryMb;
  Use.Accelerators -= Step.Need.Accelerators;
}

void PoolState::addRun(JobRecord &Job, std::uint32_t Task, LiveRun Run) {
  WorkerState &W = *Workers_.at(Run.Worker);
  reserve(W, Job, stepOf(Job, Task));
  W.Tasks.insert({&Job, Task});
  Job.Tasks[Task].Runs.push_back(std::move(Run));
  Job.Started = true;
  if (Job.Now == JobState::Queued)
    Job.Now = JobState::Running;
}

void PoolState::removeRun(JobRecord &Job, std::uint32_t Task, RunId Run) {
  std::vector<LiveRun> &Runs = Job.Tasks[Task].Runs;
  auto It = std::find_if(Runs.begin(), Runs.end(),
                         [Run](const LiveRun &L) { return L.Run == Run; });
  if (It == Runs.end())
    return;
  std::string Worker = It->Worker;
  Runs.erase(It);
  WorkerState &W = *Workers_.at(Worker);
  release(W, Job, stepOf(Job, Task));
  bool Another = std::any_of(Runs.begin(), Runs.end(), [&](const LiveRun &L) {
    return L.Worker == Worker;
  });
  if (!Another)
    W.Tasks.erase({&Job, Task});
}

void PoolState::loseRuns(WorkerState &W) {
  auto Tasks = W.Tasks;
  for (const auto &[Job, Task] : Tasks) {
    std::vector<LiveRun> Runs = Job->Tasks[Task].Runs;
    for (const LiveRun &Run : Runs)
      if (Run.Worker == W.Entry.Id)
        removeRun(*Job, Task, Run.Run);
  }
  Counters_.Lapsed += Tasks.size();
}

// Workers.

void PoolState::newLife(WorkerState &W, std::int64_t Born,
                        core::TimePoint Now) {
  loseRuns(W);
  W.LifeSure = false;
  W.Ended = false;
  W.Born = Born;
  W.ClockMs = 0;
  W.DeadlineMs = 0;
  W.Handled = W.Noted = W.NotedTold = 0;
  W.Unstored.clear();
  W.Parked.clear();
  W.UnknownRuns.clear();
  W.FailuresInRow = 0;
  W.ClockAt = Now;
}

void PoolState::setWorkers(std::span<const WorkerEntry> Entries,
                           core::TimePoint Now) {
  std::set<std::string> Listed;
  for (const WorkerEntry &Entry : Entries) {
    Listed.insert(Entry.Id);
    std::unique_ptr<WorkerState> &Slot = Workers_[Entry.Id];
    if (!Slot) {
      Slot = std::make_unique<WorkerState>();
      Slot->Born = Entry.Born;
    }
    if (Entry.Born > Slot->Born && Slot->Born != 0)
      newLife(*Slot, Entry.Born, Now);
    Slot->Entry = Entry;
    Slot->Gone = false;
  }
  for (auto &[Id, W] : Workers_) {
    if (Listed.count(Id) == 0 && !W->Gone) {
      W->Gone = true;
      W->GoneAt = Now;
    }
  }
}

void PoolState::addVanished(const WorkerEntry &Entry, core::TimePoint Now) {
  std::unique_ptr<WorkerState> &Slot = Workers_[Entry.Id];
  if (Slot)
    return;
  Slot = std::make_unique<WorkerState>();
  Slot->Entry = Entry;
  Slot->Born = Entry.Born;
  Slot->Gone = true;
  Slot->GoneAt = Now;
}

void PoolState::confirmOver(const std::string &Id) {
  auto At = Workers_.find(Id);
  if (At == Workers_.end() || !At->second->Gone)
    return;
  loseRuns(*At->second);
  At->second->Heard = true;
}

void PoolState::endLife(const std::string &Id) {
  auto At = Workers_.find(Id);
  if (At == Workers_.end())
    return;
  loseRuns(*At->second);
  At->second->Ended = true;
}

void PoolState::setConfig(std::shared_ptr<const FleetConfig> Config) {
  Config_ = std::move(Config);
}

void PoolState::setClosedDataCentres(std::set<std::string> Names) {
  ClosedDataCentres_ = std::move(Names);
}

void PoolState::setClosedWorkers(const std::set<std::string> &Ids) {
  for (auto &[Id, W] : Workers_)
    W->Closed = Ids.count(Id) != 0;
}

void PoolState::setTeamRoom(std::map<std::string, core::Resources> Room) {
  TeamRoom_ = std::move(Room);
}

void PoolState::setPressedWorkers(const std::set<std::string> &Ids) {
  for (auto &[Id, W] : Workers_)
    W->Pressed = Ids.count(Id) != 0;
}

bool PoolState::isClear(const std::string &Id) const {
  auto At = Workers_.find(Id);
  return At != Workers_.end() && isEmpty(*At->second);
}

bool PoolState::isEmpty(const WorkerState &W) {
  // What an earlier owner started there is known from the first report on; a
  // silent worker may hold ends that were never reported; and ends that are not
  // stored are known to the worker alone if this owner is lost.
  return W.Heard && W.LifeSure && W.Tasks.empty() && W.UnknownRuns.empty() &&
         W.Unstored.empty();
}

bool PoolState::isAtWork(const LiveRun &Run, core::TimePoint Now) const {
  const WorkerState &W = *Workers_.at(Run.Worker);
  return !Run.Stopping && Run.Percent >= AtWorkPercent && !W.Gone &&
         Now - W.ReportedAt < Limits_.ReportStale;
}

std::uint32_t PoolState::absent(const JobRecord &Job, std::uint32_t Task,
                                core::TimePoint Now) const {
  TaskRef Ref = refOf(Job, Task);
  std::uint32_t First = Task - Ref.Index;
  std::uint32_t Count = 0;
  for (std::uint32_t T = First; T < First + Job.Spec.Steps[Ref.Step].Tasks;
       ++T) {
    const std::vector<LiveRun> &Runs = Job.Tasks[T].Runs;
    bool Works = std::any_of(Runs.begin(), Runs.end(), [&](const LiveRun &Run) {
      return isAtWork(Run, Now);
    });
    Count += Works || T == Task ? 0 : 1;
  }
  return Count;
}

/// Lasting tasks on workers that are to be taken out go elsewhere, as many at a
/// time as their steps allow; other tasks only where it presses.
void PoolState::clearClosed(const PlanInput &In) {
  for (auto &[Id, W] : Workers_) {
    if (!W->Closed)
      continue;
    for (const auto &[Job, Task] : W->Tasks) {
      const StepSpec &Step = stepOf(*Job, Task);
      std::uint32_t Allowed = std::max<std::uint32_t>(Step.AbsenceAllowance, 1);
      bool May =
          Step.Lasting ? absent(*Job, Task, In.Now) < Allowed : W->Pressed;
      if (!May)
        continue;
      for (LiveRun &Run : Job->Tasks[Task].Runs)
        if (!Run.Stopping && Run.Worker == Id) {
          Run.Stopping = true;
          Run.StopAt = In.Now;
        }
    }
  }
}

void PoolState::noteClock(WorkerState &W, std::int64_t ClockMs,
                          core::TimePoint Now) {
  if (ClockMs <= 0)
    return;
  // Answers overtake one another: the later reading is the higher one.
  if (ClockMs < W.ClockMs)
    return;
  W.ClockMs = ClockMs;
  W.ClockAt = Now;
}

std::int64_t PoolState::leaseFor(const WorkerState &W,
                                 const PlanInput &In) const {
  if (W.ClockMs == 0)
    return 0;
  core::Duration Length = std::min(Limits_.Lease, In.AuthorityEnd - In.Now);
  if (Length <= core::Duration::zero())
    return 0;
  return W.ClockMs + toMs(In.Now - W.ClockAt) + toMs(Length);
}

bool PoolState::leaseLapsed(const WorkerState &W, core::TimePoint Now) const {
  auto Inherited = std::chrono::duration_cast<core::Duration>(
      Limits_.EarlierOrders * (1 + Limits_.ClockDrift));
  if (Now < TakenAt_ + Inherited + milliseconds(LeaseSlackMs))
    return false;
  if (W.DeadlineMs == 0)
    return true;
  double Passed =
      static_cast<double>(toMs(Now - W.ClockAt)) * (1 - Limits_.ClockDrift);
  return W.ClockMs + static_cast<std::int64_t>(Passed) >=
         W.DeadlineMs + LeaseSlackMs;
}

bool PoolState::allHeard(core::TimePoint Now) const {
  return std::all_of(Workers_.begin(), Workers_.end(), [&](const auto &Item) {
    return Item.second->Heard || leaseLapsed(*Item.second, Now);
  });
}

// Results of orders.

void PoolState::onStart(const StartOrder &Order, const OrderResult &Result,
                        core::TimePoint Now) {
  auto At = Workers_.find(Order.Worker);
  if (At == Workers_.end())
    return;
  WorkerState &W = *At->second;
  noteClock(W, Result.ClockMs, Now);
  JobRecord *Job = jobOf(Order.Task.JobId);
  if (!Job)
    return;
  std::uint32_t Task = indexOf(*Job, Order.Task);
  LiveRun *Run = findRun(*Job, Task, Order.Run);
  switch (Result.Outcome) {
  case OrderOutcome::Accepted:
    if (Run && !Run->Confirmed) {
      Run->Confirmed = true;
      Run->ConfirmedAt = Now;
    }
    return;
  case OrderOutcome::Fenced:
    Fenced_ = true;
    return;
  case OrderOutcome::Unknown:
    // It may run, now or later: a report that lists it or a stop that is
    // answered settles it.
    ++Counters_.Uncertain;
    if (Run && !Run->Confirmed) {
      Run->Stopping = true;
      Run->StopAt = Now;
    }
    W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.RefusalPause);
    W.LifeSure = false;
    return;
  case OrderOutcome::OtherIncarnation:
    W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.RefusalPause);
    removeRun(*Job, Task, Order.Run);
    return;
  case OrderOutcome::OldRun:
  case OrderOutcome::Late:
  case OrderOutcome::NoRoom:
  case OrderOutcome::NoTicket:
  case OrderOutcome::Refused:
  case OrderOutcome::NotSent:
    ++Counters_.Refused;
    if (Result.Outcome == OrderOutcome::NotSent)
      W.LifeSure = false;
    if (Result.Outcome != OrderOutcome::OldRun)
      W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.RefusalPause);
    // A report may have shown it running already: then it stays.
    if (Run && !Run->Confirmed)
      removeRun(*Job, Task, Order.Run);
    return;
  }
}

void PoolState::onStop(const StopOrder &Order, const OrderResult &Result,
                       core::TimePoint Now) {
  auto At = Workers_.find(Order.Worker);
  JobRecord *Job = jobOf(Order.Task.JobId);
  if (At == Workers_.end() || !Job)
    return;
  WorkerState &W = *At->second;
  noteClock(W, Result.ClockMs, Now);
  if (Result.Outcome == OrderOutcome::Fenced)
    Fenced_ = true;
  std::uint32_t Task = indexOf(*Job, Order.Task);
  LiveRun *Run = findRun(*Job, Task, Order.Run);
  if (!Run)
    return;
  Run->StopInFlight = false;
  if (Result.Outcome == OrderOutcome::OtherIncarnation) {
    removeRun(*Job, Task, Order.Run);
    return;
  }
  if (Result.Outcome != OrderOutcome::Accepted) {
    Run->StopAt = Now + StopRetry;
    return;
  }
  // From now on a report that does not list the run shows that it is gone.
  if (!Run->Confirmed) {
    Run->Confirmed = true;
    Run->ConfirmedAt = Now;
  }
  Run->StopAt = Now + std::chrono::seconds(1);
  W.NextHold = std::min(W.NextHold, Now);
}

void PoolState::onReport(const HoldOrder &Order, const ReportResult &Result,
                         core::TimePoint SentAt, core::TimePoint Now) {
  auto At = Workers_.find(Order.Worker);
  if (At == Workers_.end())
    return;
  WorkerState &W = *At->second;
  W.HoldInFlight = false;
  W.NextHold = Now + Limits_.ReportRetry;
  W.LifeSure = false;
  if (Result.Outcome == OrderOutcome::Fenced) {
    Fenced_ = true;
    return;
  }
  if (Result.Outcome == OrderOutcome::OtherIncarnation) {
    // The life that had these runs is over.
    loseRuns(W);
    W.Heard = true;
    W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.RefusalPause);
    return;
  }
  if (Result.Outcome != OrderOutcome::Accepted) {
    W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.RefusalPause);
    return;
  }
  const WorkerReport &Report = Result.Report;
  if (Report.Born != 0 && Report.Born != W.Born) {
    if (Report.Born < W.Born)
      return;
    newLife(W, Report.Born, Now);
  }
  noteClock(W, Report.ClockMs, Now);
  W.Heard = W.LifeSure = true;
  W.ReportedAt = Now;
  W.NotedTold = std::max(W.NotedTold, Order.NotedUpTo);
  W.NextHold = Report.Ended.empty() ? Now : Now + Limits_.ReportPause;
  for (const EndReport &End : Report.Ended)
    if (End.Number > W.Handled)
      handleEnd(W, End, Now);
  W.UnknownRuns.clear();
  for (const RunReport &Run : Report.Running)
    handleRunning(W, Run, SentAt, Now);
  if (Report.Ended.size() < MaxEndsListed)
    dropMissing(W, Report, SentAt);
}

void PoolState::handleEnd(WorkerState &W, const EndReport &End,
                          core::TimePoint Now) {
  W.Handled = End.Number;
  JobRecord *Job = jobOf(End.Task.JobId);
  if (!Job) {
    // The owner before may have started a job of which this one is told later:
    // its end must not be forgotten meanwhile.
    W.Parked.push_back({End, Now});
    W.Unstored.emplace_back(End.Number, NeverStored);
    return;
  }
  applyEnd(*Job, W, End, Now);
  W.Unstored.emplace_back(End.Number, Touches_);
  // Nothing of it has to be stored where nothing waits to be.
  if (Changed_.empty() && Storing_.empty())
    onStored(Touches_);
}

void PoolState::applyEnd(JobRecord &Job, WorkerState &W, const EndReport &End,
                         core::TimePoint Now) {
  std::uint32_t Task = indexOf(Job, End.Task);
  if (Task >= Job.Tasks.size())
    return;
  TaskState &State = Job.Tasks[Task];
  if (!End.Checkpoint.empty() && !State.Kept.Done &&
      State.Kept.Checkpoint != End.Checkpoint) {
    State.Kept.Checkpoint = End.Checkpoint;
    touch(Job);
  }
  LiveRun *Run = findRun(Job, Task, End.Run);
  if (Run && End.How == RunEnd::Done) {
    noteRunTime(Job, *Run, Now);
    if (!State.Moved)
      W.SlowJobs = 0;
  }
  removeRun(Job, Task, End.Run);
  if (End.How == RunEnd::Done) {
    W.FailuresInRow = 0;
    taskDone(Job, Task);
  }
  std::vector<RunId> &Failed = State.Kept.FailedRuns;
  bool Counted =
      std::find(Failed.begin(), Failed.end(), End.Run) != Failed.end();
  if (End.How == RunEnd::Failed && !Counted) {
    if (!stepOf(Job, Task).Lasting)
      Failed.push_back(End.Run);
    taskFailed(Job, Task, W, Now);
  }
}

/// Ends of jobs that a whole reading of the jobs doesn't have matter no more.
void PoolState::settleParked(const PlanInput &In) {
  for (auto &[Id, W] : Workers_) {
    if (W->Parked.empty())
      continue;
    for (const ParkedEnd &Waiting : W->Parked)
      if (Waiting.SeenAt < In.JobsReadAt)
        for (auto &[Number, Mark] : W->Unstored)
          if (Number == Waiting.End.Number)
            Mark = 0;
    std::erase_if(W->Parked, [&](const ParkedEnd &Waiting) {
      return Waiting.SeenAt < In.JobsReadAt;
    });
    advanceNoted(*W);
  }
}

void PoolState::handleRunning(WorkerState &W, const RunReport &Report,
                              core::TimePoint SentAt, core::TimePoint Now) {
  JobRecord *Job = jobOf(Report.Task.JobId);
  std::uint32_t Task = Job ? indexOf(*Job, Report.Task) : 0;
  if (!Job || Task >= Job->Tasks.size()) {
    W.UnknownRuns.push_back(Report);
    return;
  }
  LiveRun *Run = findRun(*Job, Task, Report.Run);
  if (!Run) {
    ++Counters_.UnexpectedRuns;
    LiveRun Found;
    Found.Run = Report.Run;
    Found.Worker = W.Entry.Id;
    Found.OrderedAt = Found.ConfirmedAt = SentAt;
    Found.Confirmed = true;
    Found.StopAt = Now;
    const TaskState &State = Job->Tasks[Task];
    Found.Stopping =
        isFinal(Job->Now) || State.Kept.Done || !State.Runs.empty();
    addRun(*Job, Task, std::move(Found));
    Run = findRun(*Job, Task, Report.Run);
  }
  if (!Run->Confirmed) {
    Run->Confirmed = true;
    Run->ConfirmedAt = Now;
  }
  Run->Percent = Report.Percent;
  noteProgress(Run->Pace, Report.Percent, Now);
  if (Report.Percent >= AtWorkPercent)
    Run->AtWorkAt = Now;
  Run->Load = Report.Load;
  TaskState &State = Job->Tasks[Task];
  if (!Report.Checkpoint.empty() && !State.Kept.Done)
    State.Kept.Checkpoint = Report.Checkpoint;
}

/// A run that was there before the report was asked for and is in neither list
/// is gone.
void PoolState::dropMissing(WorkerState &W, const WorkerReport &Report,
                            core::TimePoint SentAt) {
  std::set<RunId> Listed;
  for (const RunReport &Run : Report.Running)
    Listed.insert(Run.Run);
  auto Tasks = W.Tasks;
  for (const auto &[Job, Task] : Tasks) {
    std::vector<LiveRun> Runs = Job->Tasks[Task].Runs;
    for (const LiveRun &Run : Runs)
      if (Run.Worker == W.Entry.Id && Run.Confirmed &&
          Run.ConfirmedAt < SentAt && Listed.count(Run.Run) == 0)
        removeRun(*Job, Task, Run.Run);
  }
}

// What is stored.

ProgressBatch PoolState::takeChanges(std::size_t Most) {
  ProgressBatch Batch;
  Storing_.clear();
  while (!Changed_.empty() && Batch.Writes.size() < Most) {
    JobRecord &Job = *Changed_.front();
    Changed_.pop_front();
    Job.FirstTouch = 0;
    ProgressWrite Write;
    Write.JobId = Job.Spec.Id;
    Write.Progress.State = Job.Now;
    // A finished job's tasks matter no more.
    if (!isFinal(Job.Now))
      for (const TaskState &Task : Job.Tasks)
        Write.Progress.Tasks.push_back(Task.Kept);
    Storing_.emplace_back(Job.Spec.Id, Job.Now);
    Batch.Writes.push_back(std::move(Write));
  }
  Batch.Mark = Changed_.empty() ? Touches_ : Changed_.front()->FirstTouch - 1;
  return Batch;
}

void PoolState::onStored(std::uint64_t Mark) {
  for (const auto &[Id, State] : Storing_)
    if (JobRecord *Job = jobOf(Id))
      Job->Stored = State;
  Storing_.clear();
  StoredMark_ = std::max(StoredMark_, Mark);
  for (auto &[Id, W] : Workers_)
    advanceNoted(*W);
}

void PoolState::advanceNoted(WorkerState &W) {
  while (!W.Unstored.empty() && W.Unstored.front().second <= StoredMark_) {
    W.Noted = W.Unstored.front().first;
    W.Unstored.pop_front();
  }
}

// Decisions.

core::Resources PoolState::teamUse(const std::string &Team) const {
  auto It = TeamUse_.find(Team);
  return It == TeamUse_.end() ? core::Resources{} : It->second;
}

core::Resources PoolState::teamDemand(const std::string &Team) const {
  core::Resources Demand;
  for (const JobRecord *Job : Open_) {
    if (Job->Spec.Team != Team)
      continue;
    for (std::uint32_t T = 0; T < Job->Tasks.size(); ++T) {
      const TaskState &Task = Job->Tasks[T];
      if (Task.Kept.Done || !Task.Runs.empty() || !stepReady(*Job, T))
        continue;
      const core::Resources &Need = stepOf(*Job, T).Need;
      Demand.MilliCpus += Need.MilliCpus;
      Demand.MemoryMb += Need.MemoryMb;
      Demand.Accelerators += Need.Accelerators;
    }
  }
  return Demand;
}

void PoolState::noteArrival(const JobRecord &Job, core::TimePoint Now) {
  double Work = 0;
  for (const StepSpec &Step : Job.Spec.Steps)
    if (!Step.Lasting && !Step.Filling)
      Work += runTimeMs(Job, Step) * Step.Tasks * Step.Need.MilliCpus;
  Arrivals_.emplace_back(Now, Work);
  while (Now - Arrivals_.front().first > ArrivalWindow)
    Arrivals_.pop_front();
}

/// The start of a burst shows in the shorter window first; one large job alone
/// is no burst.
std::uint64_t PoolState::arrivingCpu(core::TimePoint Now) const {
  double Rate = 0;
  for (core::Duration Window : {BurstWindow, ArrivalWindow}) {
    double Work = 0;
    std::size_t Jobs = 0;
    for (const auto &[At, Asked] : Arrivals_) {
      bool Inside = Now - At <= Window;
      Work += Inside ? Asked : 0;
      Jobs += Inside ? 1 : 0;
    }
    auto Ms = std::chrono::duration_cast<milliseconds>(Window).count();
    if (Window == ArrivalWindow || Jobs >= BurstJobs)
      Rate = std::max(Rate, Work / static_cast<double>(Ms));
  }
  return static_cast<std::uint64_t>(Rate);
}

PoolLoad PoolState::load(core::TimePoint Now, std::int64_t WallMs) const {
  // What has waited for longer is late, and machines come too late for it.
  constexpr std::int64_t WorthwhileMs = 6000;
  PoolLoad Load;
  Load.Pool = Pool_;
  Load.ArrivingCpu = arrivingCpu(Now);
  for (const auto &[Id, W] : Workers_) {
    Load.PerMachine.MilliCpus =
        std::max(Load.PerMachine.MilliCpus, W->Entry.Capacity.MilliCpus);
    Load.PerMachine.MemoryMb =
        std::max(Load.PerMachine.MemoryMb, W->Entry.Capacity.MemoryMb);
    for (const auto &[Job, Task] : W->Tasks) {
      const StepSpec &Step = stepOf(*Job, Task);
      std::uint64_t Cpu = Step.Filling ? 0 : Step.Need.MilliCpus;
      (Step.Lasting ? Load.LastingCpu : Load.UsedCpu) += Cpu;
      (Step.Lasting ? Load.LastingMemory : Load.UsedMemory) +=
          Step.Need.MemoryMb;
    }
    bool Idle = isEmpty(*W) && !W->Ended && !W->Gone && !W->Closed &&
                !W->Entry.Draining;
    if (Idle)
      Load.Idle.push_back(Id);
  }
  for (const JobRecord *Job : Open_) {
    for (const StepSpec &Step : Job->Spec.Steps)
      if (Step.Lasting && Step.MaxPerWorker > 0)
        Load.SpreadOver =
            std::max(Load.SpreadOver,
                     (Step.Tasks + Step.MaxPerWorker - 1) / Step.MaxPerWorker);
    if (WallMs - Job->Spec.AcceptedMs > WorthwhileMs)
      continue;
    for (std::uint32_t T = 0; T < Job->Tasks.size(); ++T) {
      const TaskState &Task = Job->Tasks[T];
      if (Task.Kept.Done || !Task.Runs.empty() || !stepReady(*Job, T))
        continue;
      const StepSpec &Step = stepOf(*Job, T);
      Load.WaitingCpu += Step.Filling ? 0 : Step.Need.MilliCpus;
      Load.WaitingMemory += Step.Need.MemoryMb;
    }
  }
  return Load;
}

void PoolState::noteRunTime(const JobRecord &Job, const LiveRun &Run,
                            core::TimePoint Now) {
  // The first samples count fully, later ones as in a window of that many.
  constexpr std::uint32_t Window = 50;
  RunTimes &Times = RunTimes_[Job.Spec.Queue];
  Times.Samples = std::min(Times.Samples + 1, Window);
  double Ms = static_cast<double>(toMs(Now - Run.OrderedAt));
  Times.MeanMs += (Ms - Times.MeanMs) / Times.Samples;
}

double PoolState::runTimeMs(const JobRecord &Job, const StepSpec &Step) const {
  constexpr std::uint32_t Enough = 10;
  auto It = RunTimes_.find(Job.Spec.Queue);
  if (It == RunTimes_.end() || It->second.Samples < Enough)
    return Step.EstimateMs;
  return It->second.MeanMs;
}

/// Runs on workers that are out of reach end with their leases.
void PoolState::expireSilent(const PlanInput &In) {
  for (auto It = Workers_.begin(); It != Workers_.end();) {
    WorkerState &W = *It->second;
    if (!W.Tasks.empty() && leaseLapsed(W, In.Now))
      loseRuns(W);
    bool Forget = W.Gone && W.Tasks.empty() && !W.HoldInFlight &&
                  (W.Heard || leaseLapsed(W, In.Now));
    It = Forget ? Workers_.erase(It) : std::next(It);
  }
}

void PoolState::planStops(const PlanInput &In, Orders &Out) {
  for (auto &[Id, W] : Workers_)
    for (const auto &[Job, Task] : W->Tasks)
      for (LiveRun &Run : Job->Tasks[Task].Runs) {
        bool Due = Run.Stopping && !Run.StopInFlight && Run.Worker == Id &&
                   Run.StopAt <= In.Now;
        if (!Due)
          continue;
        Run.StopInFlight = true;
        Out.Stops.push_back({Id, refOf(*Job, Task), Run.Run});
      }
}

void PoolState::planHolds(const PlanInput &In, Orders &Out) {
  for (auto &[Id, W] : Workers_) {
    if (W->Ended)
      continue;
    bool Wanted = !W->Tasks.empty() || W->Noted > W->NotedTold ||
                  !W->UnknownRuns.empty() || !W->LifeSure;
    if (!Wanted || W->HoldInFlight || In.Now < W->NextHold)
      continue;
    HoldOrder Hold;
    Hold.Worker = Id;
    // A worker that is silent gets no longer lease: its runs end with the one
    // that it has, and can then be started elsewhere.
    bool Extend =
        !W->Tasks.empty() && In.Now - W->ReportedAt < Limits_.ReportStale;
    Hold.DeadlineMs = Extend ? leaseFor(*W, In) : 0;
    // A new life counts its ends anew: it must not forget by the old count.
    Hold.NotedUpTo = W->LifeSure ? W->Noted : 0;
    bool MayWait = W->LifeSure && !W->Tasks.empty();
    Hold.Wait = MayWait ? Limits_.ReportWait : core::Duration::zero();
    W->DeadlineMs = std::max(W->DeadlineMs, Hold.DeadlineMs);
    W->HoldInFlight = true;
    Out.Holds.push_back(std::move(Hold));
  }
}

Orders PoolState::plan(const PlanInput &In) {
  Orders Out;
  if (Fenced_ || NextRun_ >> RunCounterBits != 0) {
    Fenced_ = true;
    return Out;
  }
  settleParked(In);
  expireSilent(In);
  clearClosed(In);
  if (In.MayStart)
    StragglerPlan(*this, In).run();
  if (In.MayStart && Config_) {
    StartPlan Plan(*this, In);
    Out.Starts = Plan.run();
  }
  planStops(In, Out);
  planHolds(In, Out);
  return Out;
}

} // namespace comfreydeck::jobs
