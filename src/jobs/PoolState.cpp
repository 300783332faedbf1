#include "jobs/PoolState.h"

#include "jobs/GangRetry.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::jobs {

PoolState::PoolState(std::string Pool, std::uint64_t Token,
                     core::TimePoint TakenAt, OwnerLimits Limits)
    : Pool_(std::move(Pool)), Token_(Token), TakenAt_(TakenAt), Limits_(Limits),
      Estimates_(Limits.RemoteFactor), Now_(TakenAt) {}

JobRecord &PoolState::makeJob(const JobSpec &Spec, core::TimePoint Now) {
  auto Job = std::make_unique<JobRecord>();
  Job->Spec = Spec;
  Job->Number = ++JobCount_;
  MissingPayloads_ += Spec.PayloadMissing ? 1 : 0;
  Job->KnownSince = Now;
  std::uint32_t Begin = 0;
  for (const StepSpec &Step : Spec.Steps) {
    Job->StepBegin.push_back(Begin);
    Begin += Step.Tasks;
  }
  Job->Tasks.resize(std::size_t{Begin} * occurrences(Spec));
  for (TaskState &Task : Job->Tasks)
    Task.WaitingSince = Now;
  for (std::uint32_t K = 0; K < occurrences(Spec); ++K)
    for (const StepSpec &Step : Spec.Steps)
      Job->UnfinishedTasks.push_back(Step.Tasks);
  Job->TasksPerOccurrence = Begin;
  Job->Times = &Estimates_.timesOf(Spec.Queue);
  Job->Team = &Teams_[Spec.Team];
  applyQueueSettings(*Job);
  JobRecord &Made = *Job;
  Jobs_[Spec.Id] = std::move(Job);
  Awaited_.erase(Spec.Id);
  return Made;
}

void PoolState::applyQueueSettings(JobRecord &Job) const {
  const Queue *Q =
      Config_ ? findQueueByName(*Config_, Job.Spec.Queue) : nullptr;
  Job.Priority = Q ? Q->Priority : Job.Spec.Priority;
  Job.Advised = Q && Q->Advised;
}

void PoolState::openJob(JobRecord &Job) {
  Job.OpenIndex = Open_.size();
  Open_.push_back(&Job);
}

void PoolState::closeJob(JobRecord &Job) {
  Open_.back()->OpenIndex = Job.OpenIndex;
  Open_[Job.OpenIndex] = Open_.back();
  Open_.pop_back();
  Finished_[{Job.Spec.AcceptedMs, Job.Number}] = &Job;
}

void PoolState::addJob(const JobSpec &Spec, core::TimePoint Now) {
  if (Jobs_.count(Spec.Id) != 0) {
    if (!Spec.PayloadMissing)
      setPayload(Spec.Id, Spec.Payload);
    return;
  }
  JobRecord &Job = makeJob(Spec, Now);
  Job.Inherited = Now - TakenAt_ < Limits_.NewJobAge;
  openJob(Job);
  Estimates_.recordArrival(Job, Now);
  applyEarlyReports(Job, Now);
}

/// Applies runs and ends that workers reported before the job was known.
void PoolState::applyEarlyReports(const JobRecord &Job, core::TimePoint Now) {
  for (auto &[Id, W] : Workers_) {
    std::vector<ParkedEnd> Parked = std::exchange(W->Parked, {});
    for (ParkedEnd &Waiting : Parked) {
      if (Waiting.End.Task.JobId != Job.Spec.Id || Job.ProgressUnread) {
        W->Parked.push_back(std::move(Waiting));
        continue;
      }
      applyEnd(*jobOf(Job.Spec.Id), *W, Waiting.End, Now);
      Outbox_.settleEnd(*W, Waiting.End.Number);
    }
    std::vector<RunReport> Runs = std::exchange(W->UnknownRuns, {});
    for (const RunReport &Run : Runs)
      handleRunning(*W, Run, W->ReportedAt.value_or(Now), Now);
  }
}

void PoolState::inheritJob(const JobSpec &Spec, const JobProgress *Kept,
                           core::TimePoint Now) {
  if (Jobs_.count(Spec.Id) != 0)
    return;
  JobRecord &Job = makeJob(Spec, Now);
  Job.Inherited = true;
  if (Kept)
    applyKept(Job, *Kept, Now);
  if (isFinal(Job.Now))
    Finished_[{Spec.AcceptedMs, Job.Number}] = &Job;
  else
    openJob(Job);
  applyEarlyReports(Job, Now);
}

void PoolState::applyKept(JobRecord &Job, const JobProgress &Kept,
                          core::TimePoint Now) {
  Job.Now = Job.Stored = Kept.State;
  Job.Started = Kept.State != JobState::Queued;
  if (isFinal(Kept.State))
    Job.EndedFor = JobEndCause::Stored;
  std::size_t Known = std::min(Job.Tasks.size(), Kept.Tasks.size());
  for (std::uint32_t T = 0; T < Known; ++T) {
    Job.Tasks[T].Kept = Kept.Tasks[T];
    TaskPlace Place = placeOf(Job, T);
    if (Kept.Tasks[T].Done)
      --Job.UnfinishedTasks[Place.Occurrence * Job.Spec.Steps.size() +
                            Place.Step];
  }
  inheritSuspicion(Job, Now);
}

std::vector<std::string> PoolState::jobsWithoutPayload() const {
  std::vector<std::string> Ids;
  if (MissingPayloads_ == 0)
    return Ids;
  for (const JobRecord *Job : Open_)
    if (Job->Spec.PayloadMissing)
      Ids.push_back(Job->Spec.Id);
  return Ids;
}

void PoolState::setPayload(const std::string &Id, std::string Payload) {
  JobRecord *Job = jobOf(Id);
  if (!Job || !Job->Spec.PayloadMissing)
    return;
  Job->Spec.Payload = std::move(Payload);
  Job->Spec.PayloadMissing = false;
  --MissingPayloads_;
}

void PoolState::dropFinished(std::int64_t AcceptedBeforeMs) {
  for (auto It = Finished_.begin();
       It != Finished_.end() && It->first.first < AcceptedBeforeMs;) {
    const JobRecord &Job = *It->second;
    bool HasRuns =
        std::any_of(Job.Tasks.begin(), Job.Tasks.end(),
                    [](const TaskState &T) { return !T.Runs.empty(); });
    if (!isFinal(Job.Stored) || Job.FirstChange != 0 || Job.SetAside ||
        HasRuns || Now_ < Job.LateStartsUntil) {
      ++It;
      continue;
    }
    DroppedUpToMs_ = std::max(DroppedUpToMs_, It->first.first);
    It = Finished_.erase(It);
    Jobs_.erase(Jobs_.find(Job.Spec.Id));
  }
}

bool PoolState::mayHaveDropped(const JobSpec &Spec) const {
  return Spec.AcceptedMs <= DroppedUpToMs_ && Jobs_.count(Spec.Id) == 0;
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

std::set<std::string> PoolState::strayQueues(const FleetConfig &Config) const {
  std::map<std::string_view, bool> IsHere;
  for (const JobRecord *Job : Open_) {
    if (Job->Started)
      continue;
    auto [Known, IsNew] = IsHere.try_emplace(Job->Spec.Queue, false);
    if (!IsNew)
      continue;
    const Queue *Routed = findQueueByName(Config, Job->Spec.Queue);
    Known->second = Routed && Routed->Pool == Pool_;
  }
  std::set<std::string> Names;
  for (const auto &[Name, Here] : IsHere)
    if (!Here)
      Names.emplace(Name);
  return Names;
}

const StepSpec &PoolState::stepOf(const JobRecord &Job, std::uint32_t Task) {
  return Job.Spec.Steps[placeOf(Job, Task).Step];
}

std::uint32_t PoolState::indexOf(const JobRecord &Job,
                                 const TaskRef &Ref) const {
  if (Ref.Step >= Job.StepBegin.size() ||
      Ref.Index >= Job.Spec.Steps[Ref.Step].Tasks ||
      Ref.Occurrence >= occurrences(Job.Spec))
    return static_cast<std::uint32_t>(Job.Tasks.size());
  return Ref.Occurrence * Job.TasksPerOccurrence + Job.StepBegin[Ref.Step] +
         Ref.Index;
}

TaskPlace PoolState::placeOf(const JobRecord &Job, std::uint32_t Task) {
  TaskPlace Place;
  Place.Occurrence = Task / Job.TasksPerOccurrence;
  std::uint32_t Within = Task % Job.TasksPerOccurrence;
  auto After =
      std::upper_bound(Job.StepBegin.begin(), Job.StepBegin.end(), Within);
  Place.Step = static_cast<std::uint32_t>(After - Job.StepBegin.begin()) - 1;
  Place.Index = Within - Job.StepBegin[Place.Step];
  return Place;
}

TaskRef PoolState::refOf(const JobRecord &Job, std::uint32_t Task) {
  TaskPlace Place = placeOf(Job, Task);
  return {Job.Spec.Id, Place.Occurrence, Place.Step, Place.Index};
}

bool PoolState::stepReady(const JobRecord &Job, const TaskPlace &Place) {
  const std::vector<std::uint32_t> &After = Job.Spec.Steps[Place.Step].After;
  std::size_t Base = Place.Occurrence * Job.Spec.Steps.size();
  return std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
    return Job.UnfinishedTasks[Base + Earlier] == 0;
  });
}

void PoolState::refreshWaiting(JobRecord &Job) {
  if (Job.WaitingKnown)
    return;
  Job.WaitingKnown = true;
  Job.Waiting.clear();
  Job.WaitingSteps.clear();
  auto IsWanted = [](const TaskState &Task) {
    bool Wanted =
        Task.Runs.empty() || (Task.WantsCopy && Task.Runs.size() == 1);
    return Wanted && !Task.Kept.Done;
  };
  auto Steps = static_cast<std::uint32_t>(Job.Spec.Steps.size());
  for (std::uint32_t N = 0; N < Job.UnfinishedTasks.size(); ++N) {
    TaskPlace Place = {N / Steps, N % Steps, 0};
    const StepSpec &Step = Job.Spec.Steps[Place.Step];
    if (Job.UnfinishedTasks[N] == 0 || !stepReady(Job, Place))
      continue;
    std::uint32_t First =
        Place.Occurrence * Job.TasksPerOccurrence + Job.StepBegin[Place.Step];
    std::size_t Before = Job.Waiting.size();
    for (std::uint32_t Task = First; Task < First + Step.Tasks; ++Task)
      if (IsWanted(Job.Tasks[Task]))
        Job.Waiting.push_back(Task);
    bool IsNew = std::find(Job.WaitingSteps.begin(), Job.WaitingSteps.end(),
                           &Step) == Job.WaitingSteps.end();
    if (Job.Waiting.size() > Before && IsNew)
      Job.WaitingSteps.push_back(&Step);
  }
}

// Runs and their resource reservations.

LiveRun *PoolState::findRun(JobRecord &Job, std::uint32_t Task, RunId Run) {
  for (LiveRun &Live : Job.Tasks[Task].Runs)
    if (Live.Run == Run)
      return &Live;
  return nullptr;
}

void PoolState::occupy(WorkerState &W, const StepSpec &Step) {
  if (!Step.Filling)
    W.Used.MilliCpus += Step.Need.MilliCpus;
  W.Used.MemoryMb += Step.Need.MemoryMb;
  W.Used.Accelerators += Step.Need.Accelerators;
  W.Serving += Step.TailTargetMs > 0 ? 1 : 0;
  W.Lasting += Step.Lasting ? 1 : 0;
  W.Filling += Step.Filling ? 1 : 0;
}

void PoolState::vacate(WorkerState &W, const StepSpec &Step) {
  if (!Step.Filling)
    W.Used.MilliCpus -= Step.Need.MilliCpus;
  W.Used.MemoryMb -= Step.Need.MemoryMb;
  W.Used.Accelerators -= Step.Need.Accelerators;
  W.Serving -= Step.TailTargetMs > 0 ? 1 : 0;
  W.Lasting -= Step.Lasting ? 1 : 0;
  W.Filling -= Step.Filling ? 1 : 0;
}

void PoolState::reserve(WorkerState &W, const JobRecord &Job,
                        const StepSpec &Step) {
  occupy(W, Step);
  core::Resources &Use = Job.Team->Use;
  Use.MilliCpus += Step.Need.MilliCpus;
  Use.MemoryMb += Step.Need.MemoryMb;
  Use.Accelerators += Step.Need.Accelerators;
}

void PoolState::release(WorkerState &W, const JobRecord &Job,
                        const StepSpec &Step) {
  vacate(W, Step);
  core::Resources &Use = Job.Team->Use;
  Use.MilliCpus -= Step.Need.MilliCpus;
  Use.MemoryMb -= Step.Need.MemoryMb;
  Use.Accelerators -= Step.Need.Accelerators;
}

void PoolState::addRun(JobRecord &Job, std::uint32_t Task, LiveRun Run) {
  WorkerState &W = *Workers_.at(Run.Worker);
  reserve(W, Job, stepOf(Job, Task));
  W.Tasks.insert({&Job, Task});
  TaskState &State = Job.Tasks[Task];
  State.Runs.push_back(std::move(Run));
  State.HadRun = true;
  State.HasBegun = false;
  Job.WaitingKnown = false;
}

/// Records that a task of the job has started.
void PoolState::markStarted(JobRecord &Job) {
  Job.Started = true;
  if (Job.Now == JobState::Queued)
    Job.Now = JobState::Running;
}

/// Records that a worker has begun the run.
void PoolState::markBegun(JobRecord &Job, std::uint32_t Task, RunId Run) {
  markStarted(Job);
  if (findRun(Job, Task, Run))
    Job.Tasks[Task].HasBegun = true;
}

/// Records that the run's start has been carried out.
void PoolState::confirmRun(LiveRun &Run, core::TimePoint Now) {
  if (Run.Confirmed)
    return;
  Run.Confirmed = true;
  Run.ConfirmedAt = Now;
  core::addSample(Counters_.Unconfirmed, Now - Run.OrderedAt);
}

void PoolState::removeRun(JobRecord &Job, std::uint32_t Task, RunId Run) {
  std::vector<LiveRun> &Runs = Job.Tasks[Task].Runs;
  auto It = std::find_if(Runs.begin(), Runs.end(),
                         [Run](const LiveRun &L) { return L.Run == Run; });
  if (It == Runs.end())
    return;
  std::string Worker = It->Worker;
  // A gang that found no room was never ordered.
  if (!It->Confirmed && Now_ > It->OrderedAt)
    core::addSample(Counters_.Unconfirmed, Now_ - It->OrderedAt);
  TaskState &State = Job.Tasks[Task];
  bool IsGang = stepOf(Job, Task).Gang;
  if (IsGang)
    State.NoStartOn = State.HasBegun ? "" : Worker;
  Runs.erase(It);
  if (Runs.empty())
    State.WaitingSince = Now_;
  Job.WaitingKnown = false;
  WorkerState &W = *Workers_.at(Worker);
  release(W, Job, stepOf(Job, Task));
  bool Another = std::any_of(Runs.begin(), Runs.end(), [&](const LiveRun &L) {
    return L.Worker == Worker;
  });
  if (!Another)
    W.Tasks.erase({&Job, Task});
  if (IsGang) {
    auto [First, Last] = unitOf(Job, Task);
    endGangTry(std::span(Job.Tasks).subspan(First, Last - First), Now_);
  }
}

void PoolState::presumeEnded(JobRecord &Job, std::uint32_t Task, RunId Run,
                             PresumedCause Cause) {
  const LiveRun *Live = findRun(Job, Task, Run);
  if (!Live)
    return;
  notePresumedEnd(Job, Task, *Live, Cause);
  removeRun(Job, Task, Run);
}

void PoolState::notePresumedEnd(const JobRecord &Job, std::uint32_t Task,
                                const LiveRun &Run, PresumedCause Cause) {
  PresumedEnd End;
  End.Task = refOf(Job, Task);
  End.Run = Run.Run;
  End.Worker = Run.Worker;
  End.Cause = Cause;
  End.Sign = signOf(Run);
  End.At = Now_;
  End.Age = Now_ - Run.OrderedAt;
  if (const auto &ReportedAt = Workers_.at(Run.Worker)->ReportedAt)
    End.ReportAge = Now_ - *ReportedAt;
  // The refusal of a start is logged with its outcome.
  if (Cause != PresumedCause::StartRefused)
    Events_.PresumedEnds.push_back(End);
  Presumed_.add(std::move(End));
}

/// Takes back that the run counts as ended.
void PoolState::forgetPresumedEnd(const TaskRef &Task, RunId Run) {
  Presumed_.take(Task, Run);
  std::erase_if(Events_.PresumedEnds, [&](const PresumedEnd &End) {
    return End.Run == Run && End.Task == Task;
  });
}

/// Notes that a report lists the run, if it was presumed to have ended.
void PoolState::noteSurvivor(const TaskRef &Task, RunId Run,
                             std::optional<RunEnd> End) {
  if (std::optional<PresumedEnd> Presumed = Presumed_.take(Task, Run)) {
    core::Duration After = Now_ - Presumed->At;
    Events_.Survivors.push_back({std::move(*Presumed), After, End});
  }
}

void PoolState::dropRuns(WorkerState &W, PresumedCause Cause) {
  auto Tasks = W.Tasks;
  for (const auto &[Job, Task] : Tasks) {
    std::vector<LiveRun> Runs = Job->Tasks[Task].Runs;
    for (const LiveRun &Run : Runs)
      if (Run.Worker == W.Entry.Id)
        presumeEnded(*Job, Task, Run.Run, Cause);
  }
  Counters_.Lapsed += Tasks.size();
}

void PoolState::stopRun(const JobRecord &Job, std::uint32_t Task, LiveRun &Run,
                        StopReason Reason, core::TimePoint Now) {
  recordStop(Job, Task, Run, Reason, Now);
  Run.Stopping = true;
  Run.StopAt = Now;
  StopsChanged_ = true;
}

void PoolState::recordStop(const JobRecord &Job, std::uint32_t Task,
                           const LiveRun &Run, StopReason Reason,
                           core::TimePoint Now) {
  const StepSpec &Step = stepOf(Job, Task);
  if (!Step.Lasting)
    return;
  StopDecision Decision;
  Decision.Task = refOf(Job, Task);
  Decision.Run = Run.Run;
  Decision.Worker = Run.Worker;
  Decision.Reason = Reason;
  Decision.Percent = Run.Percent;
  Decision.ReportAge = Now - Workers_.at(Run.Worker)->ReportedAt.value_or(Now);
  Decision.Unavailable = countUnavailable(Job, Task, Now);
  Decision.Allowed = absenceLimit(Step);
  Events_.Stops.push_back(std::move(Decision));
}

} // namespace comfreydeck::jobs
