#include "dispatch/PoolEventLog.h"

#include "dispatch/EventLog.h"
#include "dispatch/MachineCache.h"

namespace comfreydeck::dispatch {

namespace {

/// Counted runs that a line names at most.
constexpr std::size_t MaxCountedShown = 20;

struct WorkerCount {
  std::size_t Heard = 0;
  std::size_t NotListed = 0;
  std::size_t Restarted = 0;
};

WorkerCount countWorkers(const jobs::PoolState &State) {
  WorkerCount Count;
  for (const auto &[Id, Worker] : State.workers()) {
    Count.Heard += Worker->Heard ? 1 : 0;
    Count.NotListed += Worker->Gone ? 1 : 0;
    Count.Restarted += jobs::isUnknownToEarlierOwners(*Worker) ? 1 : 0;
  }
  return Count;
}

std::string describe(const jobs::SuspectRun &Run) {
  return Run.JobId + '/' + std::to_string(Run.Task) + '#' +
         std::to_string(Run.Run);
}

/// The runs that counted against the task, as
/// task#run:worker:born>next born:ms from its order to its count:start.
std::string describeCounted(const jobs::CrashRecord &Record,
                            const jobs::TaskRef &Task) {
  std::string Text;
  std::size_t Shown = 0;
  for (const jobs::CountedRun &C : Record.Counted) {
    if (C.Run.JobId != Task.JobId || ++Shown > MaxCountedShown)
      continue;
    Text += Text.empty() ? "" : " ";
    Text += std::to_string(C.Run.Task) + '#' + std::to_string(C.Run.Run) + ':' +
            C.Worker + ':' + std::to_string(C.Born) + '>' +
            std::to_string(C.NextBorn) + ':';
    if (C.Run.OrderedAt)
      Text += std::to_string(core::inMs(C.CountedAt - *C.Run.OrderedAt));
    Text += std::string(":") + jobs::nameOf(C.Run.Sign);
  }
  return Text;
}

} // namespace

PoolEventLog::PoolEventLog(std::string Pool, std::uint64_t Token,
                           core::TimePoint TakenAt)
    : Pool_(std::move(Pool)), Token_(Token), TakenAt_(TakenAt) {}

// Loading.

void PoolEventLog::logLoadFailure(const char *Table,
                                  const store::PartAnswer &Answer,
                                  core::TimePoint Now) const {
  logEvent("pool_load_failed", {{"pool", Pool_},
                                {"token", Token_},
                                {"table", Table},
                                {"outcome", store::nameOf(Answer.Outcome)},
                                {"error", Answer.Error},
                                {"rows_read", Answer.Rows.size()},
                                {"since_ms", core::inMs(Now - TakenAt_)}});
}

void PoolEventLog::logLoaded(const jobs::PoolState &State,
                             const jobs::OwnerHistory &Earlier,
                             std::int64_t ListAgeMs) const {
  WorkerCount Count = countWorkers(State);
  logEvent("pool_loaded", {{"pool", Pool_},
                           {"token", Token_},
                           {"jobs", State.jobs().size()},
                           {"workers", State.workers().size()},
                           {"workers_not_listed", Count.NotListed},
                           {"earlier_owners", Earlier.Owners.size()},
                           {"earlier_known", Earlier.Complete ? 1 : 0},
                           {"list_age_ms", ListAgeMs}});
}

void PoolEventLog::logSettled(const jobs::PoolState &State,
                              core::TimePoint Now) const {
  WorkerCount Count = countWorkers(State);
  auto Waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - TakenAt_);
  logEvent("pool_settled", {{"pool", Pool_},
                            {"token", Token_},
                            {"workers", State.workers().size()},
                            {"workers_heard", Count.Heard},
                            {"workers_not_listed", Count.NotListed},
                            {"workers_restarted", Count.Restarted},
                            {"waited_ms", Waited.count()}});
  for (const auto &[Id, Worker] : State.workers())
    if (!Worker->Heard)
      logEvent("worker_unheard",
               {{"worker", Id},
                {"pool", Pool_},
                {"token", Token_},
                {"listed", Worker->Gone ? 0 : 1},
                {"ended", Worker->Ended ? 1 : 0},
                {"failed_reports", Worker->FailedReports},
                {"asked_ms_ago",
                 Worker->AskedAt ? core::inMs(Now - *Worker->AskedAt) : -1.0}});
}

void PoolEventLog::logLost(const char *Why) const {
  logEvent("pool_lost", {{"pool", Pool_}, {"token", Token_}, {"reason", Why}});
}

void PoolEventLog::logUnreadableJob(const std::string &Key,
                                    const char *Error) const {
  logEvent("job_row_unreadable", {{"job", Key}, {"error", Error}});
}

void PoolEventLog::logUnreadableProgress(const std::string &JobId,
                                         const char *Error) const {
  logEvent("progress_row_unreadable", {{"job", JobId}, {"error", Error}});
}

void PoolEventLog::logNotApplied(const std::string &JobId,
                                 const char *Error) const {
  logEvent("job_not_applied", {{"job", JobId}, {"error", Error}});
}

void PoolEventLog::logAppliedLate(const std::string &JobId) const {
  logEvent("job_applied_late", {{"job", JobId}, {"pool", Pool_}});
}

void PoolEventLog::logUnreadableRoster(const std::string &Worker,
                                       const char *Error) const {
  logEvent("roster_row_unreadable", {{"worker", Worker}, {"error", Error}});
}

void PoolEventLog::logUnreadableSettled() const {
  logEvent("settled_row_unreadable", {{"pool", Pool_}});
}

void PoolEventLog::logPayloadFailure(const std::string &JobId,
                                     const store::PartAnswer &Answer) const {
  logEvent("payload_read_failed", {{"job", JobId},
                                   {"outcome", store::nameOf(Answer.Outcome)},
                                   {"error", Answer.Error}});
}

void PoolEventLog::logLookedUp(std::size_t Jobs, std::size_t Finished,
                               std::uint64_t RowVersion) const {
  logEvent("jobs_looked_up", {{"pool", Pool_},
                              {"token", Token_},
                              {"jobs", Jobs},
                              {"finished", Finished},
                              {"row_version", RowVersion}});
}

// Decisions.

void PoolEventLog::logDecisions(jobs::PoolState &State) const {
  jobs::PoolEvents Events = State.takeEvents();
  for (const jobs::StopDecision &Decision : Events.Stops)
    logStop(Decision);
  for (const jobs::LastingJobEnd &End : Events.LastingEnds)
    logLastingEnd(End);
  if (Events.LongestWait)
    logWait(*Events.LongestWait);
  for (const jobs::IncarnationChange &Change : Events.Restarts)
    logRestart(Change);
  for (const jobs::LapsedRuns &Lapsed : Events.Lapsed)
    logLapsed(Lapsed);
  for (const jobs::CrashRecord &Record : Events.Crashes)
    logCrash(Record);
  for (const jobs::PresumedEnd &End : Events.PresumedEnds)
    logPresumedEnd(End);
  for (const jobs::SurvivingRun &Survivor : Events.Survivors)
    logSurvivor(Survivor);
  for (const jobs::ReleaseChange &Change : Events.Releases)
    logRelease(Change);
  for (const jobs::ClockAhead &Clock : Events.ClocksAhead)
    logEvent("worker_clock_ahead", {{"worker", Clock.Worker},
                                    {"pool", Pool_},
                                    {"by_ms", core::inMs(Clock.By)}});
}

void PoolEventLog::logRelease(const jobs::ReleaseChange &Change) const {
  using Kind = jobs::ReleaseChange::Kind;
  bool Ends = Change.What == Kind::TakenBack || Change.What == Kind::Expired;
  bool ByRequest =
      Change.What == Kind::Released || Change.What == Kind::TakenBack;
  logEvent(Ends ? "worker_taken_back" : "worker_released",
           {{"worker", Change.Worker},
            {"pool", Pool_},
            {"token", Token_},
            {"fleet_token", Change.FleetToken},
            {"by_request", ByRequest}});
}

/// A stop of a lasting task makes its step less available, so that the state it
/// was based on is logged with it.
void PoolEventLog::logStop(const jobs::StopDecision &Decision) const {
  logEvent("lasting_task_stopped",
           {{"job", Decision.Task.JobId},
            {"step", Decision.Task.Step},
            {"index", Decision.Task.Index},
            {"run", Decision.Run},
            {"worker", Decision.Worker},
            {"reason", jobs::nameOf(Decision.Reason)},
            {"percent", Decision.Percent},
            {"report_age_ms", core::inMs(Decision.ReportAge)},
            {"unavailable", Decision.Unavailable},
            {"allowed", Decision.Allowed},
            {"token", Token_}});
}

/// Logs the end of a job with lasting tasks when it is decided; its state may
/// never be stored by this owner.
void PoolEventLog::logLastingEnd(const jobs::LastingJobEnd &End) const {
  logEvent("lasting_job_ended", {{"job", End.JobId},
                                 {"pool", Pool_},
                                 {"state", jobs::nameOf(End.State)},
                                 {"why", jobs::nameOf(End.Cause)},
                                 {"runs", End.Runs},
                                 {"at_work", End.AtWork},
                                 {"token", Token_}});
}

/// Logs the longest wait of a task, with what keeps it from starting.
void PoolEventLog::logWait(const jobs::LongWait &Long) const {
  const jobs::TaskRef &Task = Long.Wait.Task;
  logEvent(Long.Lasting ? "lasting_task_waits" : "task_waits",
           {{"pool", Pool_},
            {"token", Token_},
            {"job", Task.JobId},
            {"occurrence", Task.Occurrence},
            {"step", Task.Step},
            {"index", Task.Index},
            {"waited_ms", core::inMs(Long.Wait.Age)},
            {"reason", jobs::nameOf(Long.Wait.Reason)},
            {"workers", Long.Placement.Workers},
            {"unheard", Long.Unheard},
            {"isolated", Long.Isolated},
            {"usable", Long.Placement.Usable},
            {"with_label", Long.Placement.WithLabel},
            {"with_room", Long.Placement.WithRoom},
            {"with_spread", Long.Placement.WithSpread}});
}

/// Logs a restart of a worker under its id that this owner has found, or a
/// doubt about one.
void PoolEventLog::logRestart(const jobs::IncarnationChange &Change) const {
  logEvent(Change.IsLater ? "worker_restarted" : "worker_restart_doubted",
           {{"worker", Change.Worker},
            {"pool", Pool_},
            {"token", Token_},
            {"born", Change.Shown},
            {"born_before", Change.Known},
            {"by", Change.ByReport ? "report" : "list"},
            {"starts_in_doubt", Change.StartsInDoubt}});
}

/// Logs the runs that count as ended since their worker's lease has lapsed.
void PoolEventLog::logLapsed(const jobs::LapsedRuns &Lapsed) const {
  logEvent(
      "runs_lapsed",
      {{"worker", Lapsed.Worker},
       {"pool", Pool_},
       {"token", Token_},
       {"runs", Lapsed.Runs},
       {"report_age_ms", core::inMs(Lapsed.ReportAge)},
       {"doubted", Lapsed.Doubted ? 1 : 0},
       {"heard_for_ms", Lapsed.HeardFor ? core::inMs(*Lapsed.HeardFor) : -1.0},
       {"first_clock_ms", Lapsed.FirstClockMs},
       {"restarted_at_takeover", Lapsed.RestartedAtTakeover ? 1 : 0}});
}

/// Logs a worker that has crashed with runs, and each job that failed for it.
void PoolEventLog::logCrash(const jobs::CrashRecord &Record) const {
  std::string Suspects;
  for (const jobs::SuspectRun &Run : Record.Suspects) {
    Suspects += Suspects.empty() ? "" : " ";
    Suspects += describe(Run);
  }
  logEvent("worker_crashed", {{"worker", Record.Worker},
                              {"pool", Pool_},
                              {"runs", Record.Runs},
                              {"suspects", Suspects},
                              {"too_old", Record.TooOld},
                              {"not_sent", Record.NotSent},
                              {"delayed", Record.Delayed.size()},
                              {"token", Token_}});
  for (const jobs::TaskRef &Task : Record.GivenUp)
    logEvent("job_given_up", {{"job", Task.JobId},
                              {"occurrence", Task.Occurrence},
                              {"step", Task.Step},
                              {"index", Task.Index},
                              {"worker", Record.Worker},
                              {"counted", describeCounted(Record, Task)},
                              {"pool", Pool_},
                              {"token", Token_}});
}

void PoolEventLog::logPresumedEnd(const jobs::PresumedEnd &End) const {
  logEvent(
      "run_presumed_ended",
      {{"job", End.Task.JobId},
       {"occurrence", End.Task.Occurrence},
       {"step", End.Task.Step},
       {"index", End.Task.Index},
       {"run", End.Run},
       {"worker", End.Worker},
       {"pool", Pool_},
       {"token", Token_},
       {"cause", jobs::nameOf(End.Cause)},
       {"start", jobs::nameOf(End.Sign)},
       {"age_ms", core::inMs(End.Age)},
       {"report_age_ms", End.ReportAge ? core::inMs(*End.ReportAge) : -1.0}});
}

/// Logs a run that a report lists although it counted as ended, so that its
/// task may have started again beside it.
void PoolEventLog::logSurvivor(const jobs::SurvivingRun &Survivor) const {
  const jobs::PresumedEnd &Presumed = Survivor.Presumed;
  logEvent("run_survived",
           {{"job", Presumed.Task.JobId},
            {"occurrence", Presumed.Task.Occurrence},
            {"step", Presumed.Task.Step},
            {"index", Presumed.Task.Index},
            {"run", Presumed.Run},
            {"worker", Presumed.Worker},
            {"pool", Pool_},
            {"token", Token_},
            {"cause", jobs::nameOf(Presumed.Cause)},
            {"after_ms", core::inMs(Survivor.After)},
            {"end", Survivor.End ? jobs::nameOf(*Survivor.End) : "running"}});
}

// Workers.

void PoolEventLog::logStartRefused(const jobs::StartOrder &Order,
                                   jobs::OrderOutcome Outcome) const {
  logEvent("start_refused", {{"job", Order.Task.JobId},
                             {"worker", Order.Worker},
                             {"run", Order.Run},
                             {"outcome", jobs::nameOf(Outcome)}});
}

void PoolEventLog::logReplaced(const jobs::WorkerState &Worker) const {
  logEvent("worker_replaced", {{"worker", Worker.Entry.Id},
                               {"address", Worker.Entry.Address},
                               {"pool", Pool_},
                               {"token", Token_},
                               {"listed", Worker.Gone ? 0 : 1}});
}

void PoolEventLog::logWorkerEnded(const jobs::WorkerState &Worker,
                                  const MachineList &List) const {
  const std::string &Id = Worker.Entry.Id;
  logEvent("worker_ended", {{"worker", Id},
                            {"pool", Pool_},
                            {"token", Token_},
                            {"machine", machineStateOf(Id, List.Machines)},
                            {"machines", List.Machines.size()},
                            {"listed", Worker.Gone ? 0 : 1},
                            {"heard", Worker.Heard ? 1 : 0},
                            {"runs", Worker.Tasks.size()}});
}

// Storing.

void PoolEventLog::logEnded(const jobs::PoolState &State,
                            const jobs::ProgressBatch &Batch,
                            std::uint64_t RowVersion) const {
  for (const jobs::ProgressWrite &Write : Batch.Writes) {
    const jobs::JobRecord *Job = State.findJob(Write.JobId);
    if (!Job || !jobs::isFinal(Write.Progress.State))
      continue;
    std::size_t FailedRuns = 0;
    std::string FailedOn;
    for (const jobs::TaskState &Task : Job->Tasks) {
      FailedRuns += Task.Kept.FailedRuns.size();
      if (!Task.FailedOn.empty())
        FailedOn = Task.FailedOn;
    }
    logEvent("job_ended",
             {{"job", Write.JobId},
              {"pool", Pool_},
              {"state", jobs::nameOf(Write.Progress.State)},
              {"why", Job->EndedFor ? jobs::nameOf(*Job->EndedFor) : ""},
              {"failed_runs", FailedRuns},
              {"max_attempts", Job->Spec.MaxAttempts},
              {"last_failed_on", FailedOn},
              {"token", Token_},
              {"row_version", RowVersion}});
  }
}

void PoolEventLog::logProgressRefused(const std::string &Error) const {
  logEvent("progress_refused",
           {{"pool", Pool_}, {"token", Token_}, {"error", Error}});
}

void PoolEventLog::logSetAside(const char *Kind, const std::string &Id,
                               const std::string &Error) const {
  logEvent("row_set_aside", {{"pool", Pool_},
                             {"token", Token_},
                             {"kind", Kind},
                             {"id", Id},
                             {"error", Error}});
}

} // namespace comfreydeck::dispatch
