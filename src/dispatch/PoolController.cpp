#include "dispatch/PoolController.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"
#include "dispatch/MachineCache.h"

#include <algorithm>
#include <charconv>

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;
using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Interval of planning passes for changes that no event triggers: due times
/// and lapsed leases.
constexpr milliseconds TickPeriod(60);
/// Pause before a failed read or write of the store is retried.
constexpr milliseconds StoreRetry(120);
/// Pause before a write of the chain row alone that the store refuses itself is
/// repeated, and before a row that was set aside is tried again. These bound
/// the calls that can't succeed to one per pause and pool.
constexpr milliseconds RefusedRetry(1000);
constexpr milliseconds AsideRetry(3000);
/// Batches the ends of several tasks into one write.
constexpr milliseconds FlushDelay(20);
/// A transaction takes 100 entries; two are conditions, one is the chain row
/// and some are further rows of large jobs.
constexpr std::size_t BatchRows = 80;
/// Most further rows in a batch. With the other rows they stay below the
/// megabyte that a transaction takes, in which bytes count four thirds.
constexpr std::size_t MaxFurtherRows = 8;
/// Tasks of the jobs in a batch, unless it has one job only.
constexpr std::size_t BatchTasks = 4000;
/// A worker reopens if its closing was not requested again for this long.
constexpr milliseconds CloseExpiry(2500);
/// Pause between two checks of workers that are no longer listed.
constexpr milliseconds UnlistedCheckPause(400);
/// Finished jobs are kept for a margin beyond the promised time.
constexpr milliseconds FinishedKeepMargin(10000);

/// Jobs that could not be applied whose rows are read again at a time, and the
/// pause between two times.
constexpr std::size_t MaxUnappliedReads = 4;
constexpr milliseconds UnappliedReadPause(250);

/// Payloads that are read at the same time.
constexpr std::size_t MaxPayloadReads = 16;

struct WorkerCount {
  std::size_t Heard = 0;
  std::size_t NotListed = 0;
};

/// Splits the batch into two, each with about half of its rows. Roster rows
/// come first, removals last: what a removed worker has ended is stored before.
std::pair<jobs::ProgressBatch, jobs::ProgressBatch>
split(const jobs::ProgressBatch &Batch) {
  std::pair<jobs::ProgressBatch, jobs::ProgressBatch> Halves;
  std::size_t Left = Batch.rowCount() / 2;
  auto Next = [&]() -> jobs::ProgressBatch & {
    if (Left == 0)
      return Halves.second;
    --Left;
    return Halves.first;
  };
  for (const jobs::WorkerEntry &Entry : Batch.Enrolled)
    Next().Enrolled.push_back(Entry);
  if (Batch.Settled)
    Next().Settled = true;
  for (const jobs::ProgressWrite &Write : Batch.Writes)
    Next().Writes.push_back(Write);
  for (const std::string &Id : Batch.Unenrolled)
    Next().Unenrolled.push_back(Id);
  return Halves;
}

using RowsByKey = PoolController::RowsByKey;

RowsByKey rowsByKey(const std::vector<store::PartRow> &Rows) {
  RowsByKey ByKey;
  for (const store::PartRow &Row : Rows)
    ByKey[Row.Where.Key] = &Row;
  return ByKey;
}

/// Decodes a job's progress from its row and those that belong to it. Throws
/// std::invalid_argument if one is malformed or missing.
jobs::JobProgress progressOf(const RowsByKey &Rows, const std::string &JobId) {
  codec::ProgressRow First = codec::decodeProgressRow(Rows.at(JobId)->Value);
  for (std::size_t N = 1; N <= First.FurtherRows; ++N) {
    auto Further = Rows.find(rows::progressKey(JobId, N));
    if (Further == Rows.end())
      throw std::invalid_argument("a row of the job's progress is missing");
    codec::addFurtherRow(First.Progress, Further->second->Value);
  }
  return std::move(First.Progress);
}

/// The job's state in its row, if at least that can be decoded.
std::optional<jobs::JobState> stateAmong(const RowsByKey &Rows,
                                         const std::string &JobId) {
  auto Row = Rows.find(JobId);
  if (Row == Rows.end())
    return std::nullopt;
  try {
    return codec::decodeProgressState(Row->second->Value);
  } catch (const std::invalid_argument &) {
    return std::nullopt;
  }
}

WorkerCount countWorkers(const jobs::PoolState &State) {
  WorkerCount Count;
  for (const auto &[Id, Worker] : State.workers()) {
    Count.Heard += Worker->Heard ? 1 : 0;
    Count.NotListed += Worker->Gone ? 1 : 0;
  }
  return Count;
}

jobs::OwnerLimits limitsFor(const settings::DispatchSettings &Settings) {
  jobs::OwnerLimits Limits;
  Limits.Lease = std::min(Limits.Lease, Settings.MaxLease);
  Limits.MaxLease = Settings.MaxLease;
  Limits.StopTime = Settings.StopTime;
  Limits.RemoteFactor = Settings.RemoteFactor;
  return Limits;
}

} // namespace

PoolController::PoolController(Context &Ctx, FleetView &View,
                               const TableFollower &Jobs, JobTableReader &Table,
                               const PoolTakeover &Takeover, StopQuery Query,
                               std::function<void(const std::string &)> Lost)
    : Ctx_(Ctx), View_(View), Jobs_(Jobs), Table_(Table),
      State_(Takeover.Pool, Takeover.Token, bootNow(), limitsFor(Ctx.Settings)),
      Monitor_(Ctx.Count, Takeover.Pool, Takeover.Token), TakenAt_(Takeover.At),
      Earlier_(Takeover.Earlier), StopQuery_(std::move(Query)),
      Lost_(std::move(Lost)), Part_(rows::poolPart(Takeover.Pool)) {}

// Loading.

void PoolController::load(std::function<void(std::uint64_t)> TableRead) {
  auto Self = shared_from_this();
  Table_.read([Self, TableRead = std::move(TableRead)](
                  std::shared_ptr<const PartAnswer> Answer) {
    if (Self->Dropped_)
      return;
    if (Answer->Outcome == PartOutcome::Ok) {
      TableRead(Answer->Version);
      Self->loadProgress(std::move(Answer));
      return;
    }
    Self->Ctx_.Count.recordRetry("load-jobs");
    Self->logLoadFailure(rows::Jobs, *Answer);
    Self->Ctx_.Loop.after(StoreRetry,
                          [Self, TableRead] { Self->load(TableRead); });
  });
}

/// Logs each failed load, since the pool gets no work done until its rows are
/// read.
void PoolController::logLoadFailure(const char *Table,
                                    const PartAnswer &Answer) {
  logEvent("pool_load_failed",
           {{"pool", State_.pool()},
            {"token", State_.token()},
            {"table", Table},
            {"outcome", store::nameOf(Answer.Outcome)},
            {"error", Answer.Error},
            {"rows_read", Answer.Rows.size()},
            {"since_ms", core::inMs(bootNow() - TakenAt_)}});
}

void PoolController::loadProgress(std::shared_ptr<const PartAnswer> JobTable) {
  auto Self = shared_from_this();
  readPartsPatiently(Ctx_.Loop, Ctx_.Store, rows::Progress, {Part_},
                     [Self, JobTable](PartAnswer Answer) {
                       Self->Ctx_.Loop.post(
                           [Self, JobTable, Answer = std::move(Answer)] {
                             Self->onProgressRead(JobTable, Answer);
                           });
                     });
}

void PoolController::onProgressRead(
    const std::shared_ptr<const PartAnswer> &JobTable,
    const PartAnswer &Answer) {
  if (Dropped_)
    return;
  if (Answer.Outcome == PartOutcome::Ok) {
    restoreState(JobTable->Rows, Answer.Rows);
    return;
  }
  Ctx_.Count.recordRetry("load-progress");
  logLoadFailure(rows::Progress, Answer);
  Ctx_.Loop.after(StoreRetry, [Self = shared_from_this(), JobTable] {
    Self->loadProgress(JobTable);
  });
}

void PoolController::restoreState(
    const std::vector<store::PartRow> &JobRows,
    const std::vector<store::PartRow> &ProgressRows) {
  RowsByKey ByKey;
  core::TimePoint Now = bootNow();
  for (const store::PartRow &Row : ProgressRows) {
    if (Row.Where.Key == rows::ChainKey) {
      ChainVersion_ = Row.Version;
      continue;
    }
    if (Row.Where.Key == rows::SettledKey) {
      applySettledRow(Row);
      continue;
    }
    if (Row.Where.Key.starts_with(rows::RosterPrefix)) {
      applyRosterRow(Row, Now);
      continue;
    }
    ByKey[Row.Where.Key] = &Row;
  }
  for (const store::PartRow &Row : JobRows) {
    std::string_view Named = codec::poolOf(Row.Value);
    bool OtherPool = !Named.empty() && Named != State_.pool();
    if (OtherPool || Row.Where.Key.ends_with(rows::CancelSuffix))
      continue;
    std::optional<jobs::JobSpec> Spec = decodeJobRow(Row);
    if (Spec && Spec->Pool == State_.pool())
      restoreJob(*Spec, ByKey);
  }
  Loaded_ = true;
  for (const store::PartRow &Row : JobRows)
    if (Row.Where.Key.ends_with(rows::CancelSuffix))
      applyJobRow(Row);
  for (const store::PartRow &Row : std::exchange(EarlyJobRows_, {}))
    applyJobRow(Row);
  stopEarlierOwners();
  refresh();
  WorkerCount Count = countWorkers(State_);
  logEvent("pool_loaded", {{"pool", State_.pool()},
                           {"token", State_.token()},
                           {"jobs", State_.jobs().size()},
                           {"workers", State_.workers().size()},
                           {"workers_not_listed", Count.NotListed},
                           {"earlier_owners", Earlier_.Owners.size()},
                           {"earlier_known", Earlier_.Complete ? 1 : 0},
                           {"list_age_ms", View_.workersAgeMs()}});
  tick();
}

/// Decodes a row of the job table. If it can't be, the row is read again later.
std::optional<jobs::JobSpec>
PoolController::decodeJobRow(const store::PartRow &Row) {
  try {
    return codec::decodeJob(Row.Value);
  } catch (const std::exception &E) {
    logEvent("job_row_unreadable",
             {{"job", Row.Where.Key}, {"error", E.what()}});
    setUnapplied(Row.Where.Key, UnappliedReason::JobRow, E);
    return std::nullopt;
  }
}

void PoolController::setUnapplied(const std::string &JobId,
                                  UnappliedReason Reason,
                                  const std::exception &Error) {
  Unapplied_.add(JobId, Reason, Error.what(), bootNow());
  State_.awaitJob(JobId);
}

/// Adds a job that an earlier owner may have known, with its progress among
/// \p Stored. If that can't be read, which of its tasks have run is not known:
/// none of them starts until it can. Returns whether the job has its progress.
bool PoolController::restoreJob(const jobs::JobSpec &Spec,
                                const RowsByKey &Stored) {
  core::TimePoint Now = bootNow();
  const jobs::JobRecord *Known = State_.findJob(Spec.Id);
  bool IsHeld = Known && Known->ProgressUnread;
  std::optional<jobs::JobProgress> Kept;
  try {
    if (Stored.count(Spec.Id) != 0)
      Kept = progressOf(Stored, Spec.Id);
    else if (IsHeld)
      throw std::invalid_argument("the job's progress is missing");
  } catch (const std::exception &E) {
    logEvent("progress_row_unreadable",
             {{"job", Spec.Id}, {"error", E.what()}});
    State_.holdJob(Spec, stateAmong(Stored, Spec.Id), Now);
    setUnapplied(Spec.Id, UnappliedReason::ProgressRow, E);
    return false;
  }
  try {
    if (IsHeld)
      State_.restoreJob(Spec.Id, *Kept, Now);
    else
      State_.inheritJob(Spec, Kept ? &*Kept : nullptr, Now);
  } catch (const std::exception &E) {
    logEvent("job_not_applied", {{"job", Spec.Id}, {"error", E.what()}});
    setUnapplied(Spec.Id, UnappliedReason::Failure, E);
    return false;
  }
  if (Unapplied_.isCancelled(Spec.Id))
    State_.cancelJob(Spec.Id);
  Unapplied_.remove(Spec.Id);
  return true;
}

/// Reads the rows again of jobs that could not be applied, a few at a time.
void PoolController::readUnapplied(core::TimePoint Now) {
  if (Now < NextUnappliedRead_)
    return;
  for (const std::string &Id : Unapplied_.takeDue(Now, MaxUnappliedReads)) {
    NextUnappliedRead_ = Now + UnappliedReadPause;
    const jobs::JobRecord *Known = State_.findJob(Id);
    Ctx_.Count.recordRetry("read-unapplied-job");
    if (Known && Known->ProgressUnread)
      readProgressAgain(Known->Spec);
    else
      readJobRowAgain(Id);
  }
}

void PoolController::readJobRowAgain(const std::string &JobId) {
  store::PartRange Range = {rows::Jobs, rows::jobPart(JobId), JobId,
                            JobId + "~"};
  auto Self = shared_from_this();
  readRange(Ctx_.Loop, Ctx_.Store, Range, [Self, JobId](PartAnswer Answer) {
    Self->Ctx_.Loop.post([Self, JobId, Answer = std::move(Answer)] {
      Self->onJobRowReadAgain(JobId, Answer);
    });
  });
}

void PoolController::onJobRowReadAgain(const std::string &JobId,
                                       const PartAnswer &Answer) {
  if (Dropped_ || !Unapplied_.contains(JobId))
    return;
  std::optional<jobs::JobSpec> Spec;
  bool IsFound = false;
  for (const store::PartRow &Row : Answer.Rows) {
    if (Row.Where.Key == JobId + rows::CancelSuffix)
      Unapplied_.cancel(JobId);
    if (Row.Where.Key != JobId)
      continue;
    IsFound = true;
    Spec = decodeJobRow(Row);
  }
  if (Spec && Spec->Pool == State_.pool()) {
    readProgressAgain(*Spec);
  } else if (Spec) {
    Unapplied_.remove(JobId);
    State_.forgetAwaited(JobId);
  } else if (!IsFound) {
    Unapplied_.postpone(JobId, bootNow());
  }
}

void PoolController::readProgressAgain(const jobs::JobSpec &Spec) {
  store::PartRange Range = {rows::Progress, Part_, Spec.Id, Spec.Id + "~"};
  auto Self = shared_from_this();
  readRange(Ctx_.Loop, Ctx_.Store, Range, [Self, Spec](PartAnswer Answer) {
    Self->Ctx_.Loop.post([Self, Spec, Answer = std::move(Answer)] {
      Self->onProgressReadAgain(Spec, Answer);
    });
  });
}

void PoolController::onProgressReadAgain(const jobs::JobSpec &Spec,
                                         const PartAnswer &Answer) {
  if (Dropped_ || !Unapplied_.contains(Spec.Id))
    return;
  if (Answer.Outcome != PartOutcome::Ok) {
    Unapplied_.postpone(Spec.Id, bootNow());
    return;
  }
  if (restoreJob(Spec, rowsByKey(Answer.Rows)))
    logEvent("job_applied_late", {{"job", Spec.Id}, {"pool", State_.pool()}});
  schedulePlan();
}

void PoolController::applySettledRow(const store::PartRow &Row) {
  std::uint64_t Token = 0;
  const char *End = Row.Value.data() + Row.Value.size();
  auto [Read, Error] = std::from_chars(Row.Value.data(), End, Token);
  if (Error == std::errc() && Read == End)
    jobs::dropBeforeSettled(Earlier_, Token);
  else
    logEvent("settled_row_unreadable", {{"pool", State_.pool()}});
}

/// Asks earlier owners to stop, so that inherited tasks need not wait for a
/// silent worker until these would have lost their authority.
void PoolController::stopEarlierOwners() {
  if (!Earlier_.Complete)
    return;
  EarlierOwners_ = std::make_shared<EarlierOwners>(Ctx_.Loop, State_.pool(),
                                                   State_.token(), StopQuery_);
  EarlierOwners_->stop(Earlier_.Owners, TakenAt_,
                       [Self = weak_from_this()](core::TimePoint At) {
                         auto Controller = Self.lock();
                         if (!Controller || Controller->Dropped_)
                           return;
                         Controller->State_.setEarlierOwnersStopped(At);
                         Controller->schedulePlan();
                       });
}

/// Reads the payloads of open jobs that came without them.
void PoolController::loadPayloads() {
  for (const std::string &Id : State_.jobsWithoutPayload()) {
    if (PayloadReads_.size() >= MaxPayloadReads)
      return;
    if (PayloadReads_.insert(Id).second)
      loadPayload(Id);
  }
}

void PoolController::loadPayload(const std::string &JobId) {
  store::PartRange Range = {rows::Payloads, rows::jobPart(JobId), JobId,
                            JobId + "~"};
  auto Self = shared_from_this();
  Ctx_.Store.read(Range, [Self, JobId](PartAnswer Answer) {
    Self->Ctx_.Loop.post([Self, JobId, Answer = std::move(Answer)] {
      Self->onPayload(JobId, Answer);
    });
  });
}

void PoolController::onPayload(const std::string &JobId,
                               const PartAnswer &Answer) {
  bool Found = Answer.Outcome == PartOutcome::Ok && !Answer.Rows.empty();
  if (Found) {
    PayloadReads_.erase(JobId);
    State_.setPayload(JobId, Answer.Rows.front().Value);
    schedulePlan();
    return;
  }
  Ctx_.Count.recordRetry("load-payload");
  logEvent("payload_read_failed", {{"job", JobId},
                                   {"outcome", store::nameOf(Answer.Outcome)},
                                   {"error", Answer.Error}});
  Ctx_.Loop.after(StoreRetry, [Self = shared_from_this(), JobId] {
    Self->PayloadReads_.erase(JobId);
  });
}

/// Adds the worker of a roster row. A row that can't be decoded still names a
/// worker that may run something: that worker can't be asked, so its lease is
/// waited out.
void PoolController::applyRosterRow(const store::PartRow &Row,
                                    core::TimePoint Now) {
  std::string_view Prefix(rows::RosterPrefix);
  jobs::WorkerEntry Entry;
  Entry.Id = Row.Where.Key.substr(Prefix.size());
  try {
    Entry = codec::decodeRosterRow(Entry.Id, Row.Value);
  } catch (const std::exception &E) {
    logEvent("roster_row_unreadable",
             {{"worker", Entry.Id}, {"error", E.what()}});
  }
  State_.addEnrolled(Entry, Now);
}

/// Checks workers that are no longer listed and have not reported to this
/// owner; most of them were moved to another pool. Inherited tasks wait for the
/// others until any lease has lapsed. Also checks those that may have crashed.
void PoolController::checkUnlistedWorkers() {
  if (CheckingUnlisted_)
    return;
  std::vector<std::string> Open;
  for (const auto &[Id, Worker] : State_.workers())
    if (mayHaveEnded(Id))
      Open.push_back(Id);
  if (Open.empty() || Dropped_ || !Ctx_.Machines)
    return;
  CheckingUnlisted_ = true;
  readMachines(Open, false);
}

bool PoolController::mayHaveEnded(const std::string &Id) const {
  auto At = State_.workers().find(Id);
  return At != State_.workers().end() &&
         (jobs::PoolState::mayHaveEnded(*At->second) ||
          (At->second->Gone && State_.mayHaveCrashed(Id)));
}

/// Reads the list of machines. \p Again says that the last list showed none of
/// the workers.
void PoolController::readMachines(const std::vector<std::string> &Ids,
                                  bool Again) {
  auto Self = shared_from_this();
  Ctx_.Machines->list([Self, Ids, Again](MachineList List) {
    Self->Ctx_.Loop.post([Self, Ids, Again, List = std::move(List)] {
      Self->onMachinesRead(Ids, List, Again);
    });
  });
}

/// Pages of one list may be read while machines come and go, so that it misses
/// some: a worker has ended without a machine only if two lists agree.
void PoolController::onMachinesRead(const std::vector<std::string> &Ids,
                                    const MachineList &List, bool Again) {
  if (!List.Ok)
    Ctx_.Count.recordRetry("list-machines");
  std::vector<std::string> Missing;
  for (const std::string &Id : Ids) {
    // It may have reported since the list was requested.
    if (!List.Ok || !mayHaveEnded(Id) || !hasWorkerEnded(Id, List.Machines))
      continue;
    if (Again || isWorkerShown(Id, List.Machines))
      endWorker(Id, List);
    else
      Missing.push_back(Id);
  }
  schedulePlan();
  if (!Missing.empty() && !Dropped_) {
    readMachines(Missing, true);
    return;
  }
  Ctx_.Loop.after(UnlistedCheckPause, [Self = shared_from_this()] {
    Self->CheckingUnlisted_ = false;
    Self->checkUnlistedWorkers();
  });
}

/// Logs what is assumed of the worker's runs, which may start again now.
void PoolController::endWorker(const std::string &Id, const MachineList &List) {
  auto At = State_.workers().find(Id);
  if (At == State_.workers().end())
    return;
  const jobs::WorkerState &Worker = *At->second;
  logEvent("worker_ended", {{"worker", Id},
                            {"pool", State_.pool()},
                            {"token", State_.token()},
                            {"machine", machineStateOf(Id, List.Machines)},
                            {"machines", List.Machines.size()},
                            {"listed", Worker.Gone ? 0 : 1},
                            {"heard", Worker.Heard ? 1 : 0},
                            {"runs", Worker.Tasks.size()}});
  State_.confirmEnded(Id);
}

// Events.

void PoolController::refresh() {
  State_.setConfig(View_.config());
  State_.setClosedDataCentres(View_.closedDataCentres());
  std::vector<jobs::WorkerEntry> Entries = View_.workersOf(State_.pool());
  State_.setWorkers(Entries, bootNow());
  checkUnlistedWorkers();
  schedulePlan();
}

void PoolController::applyJobRow(const store::PartRow &Row) {
  const std::string &Key = Row.Where.Key;
  if (Row.Removed)
    return;
  if (!Loaded_) {
    EarlyJobRows_.push_back(Row);
    return;
  }
  if (Key.ends_with(rows::CancelSuffix)) {
    std::string_view Suffix(rows::CancelSuffix);
    cancelJob(Key.substr(0, Key.size() - Suffix.size()));
    return;
  }
  if (State_.findJob(Key))
    return;
  std::optional<jobs::JobSpec> Spec = decodeJobRow(Row);
  if (!Spec)
    return;
  if (Spec->Pool != State_.pool()) {
    Unapplied_.remove(Key);
    State_.forgetAwaited(Key);
    return;
  }
  try {
    addJob(*Spec);
  } catch (const std::exception &E) {
    logEvent("job_not_applied", {{"job", Key}, {"error", E.what()}});
    setUnapplied(Key, UnappliedReason::Failure, E);
  }
}

void PoolController::addJob(const jobs::JobSpec &Spec) {
  // One that could not be applied may have run under an earlier owner.
  bool MayHaveRun = State_.mayHaveDropped(Spec) || Unapplied_.contains(Spec.Id);
  if (MayHaveRun && !State_.findJob(Spec.Id)) {
    lookUpJob(Spec);
    return;
  }
  State_.addJob(Spec, bootNow());
  schedulePlan();
}

/// Adds the job once its stored progress has been read. Further jobs that are
/// to be looked up join the same read.
void PoolController::lookUpJob(const jobs::JobSpec &Spec) {
  bool IsFirst = LookUps_.empty();
  LookUps_.try_emplace(Spec.Id, JobLookUp{Spec});
  if (IsFirst)
    Ctx_.Loop.post([Self = shared_from_this()] { Self->readLookedUp(); });
}

void PoolController::readLookedUp() {
  if (Dropped_)
    return;
  std::vector<std::string> Ids;
  Ids.reserve(LookUps_.size());
  for (const auto &[Id, Waiting] : LookUps_)
    Ids.push_back(Id);
  store::PartRange Range = {rows::Progress, Part_, Ids.front(),
                            Ids.back() + "~"};
  auto Self = shared_from_this();
  readRange(Ctx_.Loop, Ctx_.Store, Range,
            [Self, Ids = std::move(Ids)](PartAnswer Answer) {
              Self->Ctx_.Loop.post([Self, Ids, Answer = std::move(Answer)] {
                Self->onLookedUpRead(Ids, Answer);
              });
            });
}

void PoolController::onLookedUpRead(const std::vector<std::string> &Ids,
                                    const PartAnswer &Answer) {
  if (Dropped_)
    return;
  if (Answer.Outcome != PartOutcome::Ok) {
    Ctx_.Count.recordRetry("look-up-jobs");
    logLoadFailure(rows::Progress, Answer);
    Ctx_.Loop.after(StoreRetry,
                    [Self = shared_from_this()] { Self->readLookedUp(); });
    return;
  }
  RowsByKey Stored = rowsByKey(Answer.Rows);
  std::size_t Finished = 0;
  for (const std::string &Id : Ids) {
    JobLookUp Job = std::move(LookUps_.extract(Id).mapped());
    if (restoreJob(Job.Spec, Stored))
      Finished += jobs::isFinal(State_.findJob(Id)->Now) ? 1 : 0;
    if (Job.Cancelled)
      cancelJob(Id);
  }
  logEvent("jobs_looked_up", {{"pool", State_.pool()},
                              {"token", State_.token()},
                              {"jobs", Ids.size()},
                              {"finished", Finished},
                              {"row_version", Answer.Version}});
  if (!LookUps_.empty())
    readLookedUp();
  schedulePlan();
}

void PoolController::cancelJob(const std::string &Id) {
  auto LookUp = LookUps_.find(Id);
  if (LookUp != LookUps_.end())
    LookUp->second.Cancelled = true;
  Unapplied_.cancel(Id);
  State_.cancelJob(Id);
  schedulePlan();
}

void PoolController::setTeamRoom(std::map<std::string, core::Resources> Room) {
  State_.setTeamRoom(std::move(Room));
}

std::vector<std::string>
PoolController::closeWorkers(const CloseRequest &Request) {
  core::TimePoint Now = bootNow();
  for (const std::string &Id : Request.Drain)
    ClosedWorkers_[Id] = {Now, false};
  for (const std::string &Id : Request.Evict)
    ClosedWorkers_[Id] = {Now, true};
  for (const std::string &Id : Request.Ended)
    State_.endIncarnation(Id);
  applyClosed();
  schedulePlan();
  std::vector<std::string> Clear;
  for (const auto *Asked : {&Request.Drain, &Request.Evict})
    std::copy_if(
        Asked->begin(), Asked->end(), std::back_inserter(Clear),
        [this](const std::string &Id) { return State_.isDrained(Id); });
  return Clear;
}

void PoolController::applyClosed() {
  core::TimePoint Now = bootNow();
  std::erase_if(ClosedWorkers_, [Now](const auto &Item) {
    return Now - Item.second.At > CloseExpiry;
  });
  std::set<std::string> All;
  std::set<std::string> Evicted;
  for (const auto &[Id, Asked] : ClosedWorkers_) {
    All.insert(Id);
    if (Asked.Evict)
      Evicted.insert(Id);
  }
  State_.setClosedWorkers(All);
  State_.setEvictingWorkers(Evicted);
}

void PoolController::shutDown(std::function<void()> Done) {
  Leaving_ = true;
  ShutDownDone_ = std::move(Done);
  flush();
}

void PoolController::drop() {
  if (Dropped_)
    return;
  Dropped_ = true;
  Ctx_.Workers.dropUnsent(State_.pool());
  if (EarlierOwners_)
    EarlierOwners_->cancel();
  Monitor_.end(State_, bootNow(), wallMs());
}

void PoolController::loseOwnership(const char *Why) {
  if (Dropped_)
    return;
  drop();
  logEvent(
      "pool_lost",
      {{"pool", State_.pool()}, {"token", State_.token()}, {"reason", Why}});
  Lost_(State_.pool());
}

// Decisions.

void PoolController::tick() {
  if (Dropped_)
    return;
  auto Self = shared_from_this();
  Ctx_.Loop.after(TickPeriod, [Self] { Self->tick(); });
  schedulePlan();
  core::TimePoint Now = bootNow();
  readUnapplied(Now);
  Monitor_.recordUnapplied(Unapplied_.stats(Now));
  Monitor_.publishIfDue(State_, Now, wallMs());
}

void PoolController::schedulePlan() {
  if (PlanQueued_ || Dropped_ || !Loaded_)
    return;
  PlanQueued_ = true;
  core::TimePoint Now = bootNow();
  auto Run = [Self = shared_from_this(), Now] {
    Self->Monitor_.recordPlanWait(bootNow() - Now);
    Self->PlanQueued_ = false;
    Self->plan();
  };
  if (Now >= NextPlanAt_)
    Ctx_.Loop.post(std::move(Run));
  else
    Ctx_.Loop.after(NextPlanAt_ - Now, std::move(Run));
}

core::TimePoint PoolController::authorityEnd() const {
  core::TimePoint Confirmed = std::max(TakenAt_, View_.controlCurrentAt());
  return Confirmed + jobs::OwnerLimits().Authority;
}

void PoolController::plan() {
  if (Dropped_ || !Loaded_)
    return;
  applyClosed();
  loadPayloads();
  jobs::PlanInput In;
  In.Now = bootNow();
  In.WallMs = wallMs();
  In.AuthorityEnd = authorityEnd();
  In.MayStart = !Leaving_ && In.Now < In.AuthorityEnd;
  In.JobsReadAt = Jobs_.currentAt();
  In.MaxStarts = jobs::roomIn(StartWindow_, UnansweredStarts_);
  recordSending();
  jobs::Orders Orders = State_.plan(In);
  core::TimePoint Planned = bootNow();
  Monitor_.recordPlanTime(Planned - In.Now);
  NextPlanAt_ = Planned + jobs::pauseAfterPlan(Planned - In.Now);
  logSettled(In.Now);
  logStopDecisions();
  logLongWait();
  logRestarts();
  logLapsedRuns();
  logCrashes();
  StartsBounded_ = Orders.StartsBounded;
  send(std::move(Orders));
  Monitor_.recordStarts(jobs::roomIn(StartWindow_, 0), UnansweredStarts_);
  if (State_.isFenced()) {
    loseOwnership(State_.isFenceUsedUp() ? "fence used up" : "fenced");
    return;
  }
  auto Keep = std::chrono::duration_cast<milliseconds>(
      Ctx_.Settings.KeepFinished + FinishedKeepMargin);
  State_.dropFinished(In.WallMs - Keep.count());
  flush();
}

/// Logs once that inherited tasks may start, and how many workers have reported
/// by then.
void PoolController::logSettled(core::TimePoint Now) {
  if (SettledLogged_ || !State_.isSettled())
    return;
  SettledLogged_ = true;
  if (EarlierOwners_)
    EarlierOwners_->cancel();
  WorkerCount Count = countWorkers(State_);
  auto Waited = std::chrono::duration_cast<milliseconds>(Now - TakenAt_);
  logEvent("pool_settled", {{"pool", State_.pool()},
                            {"token", State_.token()},
                            {"workers", State_.workers().size()},
                            {"workers_heard", Count.Heard},
                            {"workers_not_listed", Count.NotListed},
                            {"waited_ms", Waited.count()}});
}

/// Logs each decision to stop a lasting task, which makes its step less
/// available, with the state it was based on.
void PoolController::logStopDecisions() {
  for (const jobs::StopDecision &Decision : State_.takeStopDecisions())
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
              {"token", State_.token()}});
}

/// Logs the longest wait of a task, with what keeps it from starting.
void PoolController::logLongWait() {
  std::optional<jobs::LongWait> Long = State_.takeLongWait();
  if (!Long)
    return;
  const jobs::TaskRef &Task = Long->Wait.Task;
  logEvent(Long->Lasting ? "lasting_task_waits" : "task_waits",
           {{"pool", State_.pool()},
            {"token", State_.token()},
            {"job", Task.JobId},
            {"occurrence", Task.Occurrence},
            {"step", Task.Step},
            {"index", Task.Index},
            {"waited_ms", core::inMs(Long->Wait.Age)},
            {"reason", jobs::nameOf(Long->Wait.Reason)},
            {"workers", Long->Placement.Workers},
            {"unheard", Long->Unheard},
            {"isolated", Long->Isolated},
            {"usable", Long->Placement.Usable},
            {"with_label", Long->Placement.WithLabel},
            {"with_room", Long->Placement.WithRoom},
            {"with_spread", Long->Placement.WithSpread}});
}

/// Logs each restart of a worker under its id that this owner has found, and
/// each doubt about one.
void PoolController::logRestarts() {
  for (const jobs::IncarnationChange &Change : State_.takeIncarnationChanges())
    logEvent(Change.IsLater ? "worker_restarted" : "worker_restart_doubted",
             {{"worker", Change.Worker},
              {"pool", State_.pool()},
              {"token", State_.token()},
              {"born", Change.Shown},
              {"born_before", Change.Known},
              {"by", Change.ByReport ? "report" : "list"},
              {"starts_in_doubt", Change.StartsInDoubt}});
}

/// Logs the runs that count as ended since their worker's lease has lapsed.
void PoolController::logLapsedRuns() {
  for (const jobs::LapsedRuns &Lapsed : State_.takeLapsedRuns())
    logEvent("runs_lapsed", {{"worker", Lapsed.Worker},
                             {"pool", State_.pool()},
                             {"token", State_.token()},
                             {"runs", Lapsed.Runs},
                             {"report_age_ms", core::inMs(Lapsed.ReportAge)},
                             {"doubted", Lapsed.Doubted ? 1 : 0}});
}

/// Logs each worker that has crashed with runs, and each job that failed for
/// it.
void PoolController::logCrashes() {
  for (const jobs::CrashRecord &Record : State_.takeCrashRecords()) {
    std::string Suspects;
    for (const jobs::SuspectRun &Run : Record.Suspects) {
      Suspects += Suspects.empty() ? "" : " ";
      Suspects += Run.JobId + '/' + std::to_string(Run.Task) + '#' +
                  std::to_string(Run.Run);
    }
    logEvent("worker_crashed", {{"worker", Record.Worker},
                                {"pool", State_.pool()},
                                {"runs", Record.Runs},
                                {"suspects", Suspects},
                                {"token", State_.token()}});
    for (const jobs::TaskRef &Task : Record.GivenUp)
      logEvent("job_given_up", {{"job", Task.JobId},
                                {"occurrence", Task.Occurrence},
                                {"step", Task.Step},
                                {"index", Task.Index},
                                {"worker", Record.Worker},
                                {"pool", State_.pool()},
                                {"token", State_.token()}});
  }
}

const jobs::WorkerEntry *
PoolController::entryOf(const std::string &Worker) const {
  auto It = State_.workers().find(Worker);
  return It == State_.workers().end() ? nullptr : &It->second->Entry;
}

void PoolController::send(jobs::Orders Orders) {
  auto Self = shared_from_this();
  core::TimePoint GivenAt = bootNow();
  for (jobs::StopOrder &Order : Orders.Stops)
    if (const jobs::WorkerEntry *To = entryOf(Order.Worker))
      Ctx_.Workers.stop(*To, Order.Fence, Order,
                        [Self, Order](jobs::OrderResult Result) {
                          Self->Ctx_.Loop.post([Self, Order, Result] {
                            Self->State_.onStop(Order, Result, bootNow());
                            Self->schedulePlan();
                          });
                        });
  for (jobs::StartOrder &Order : Orders.Starts) {
    const jobs::WorkerEntry *To = entryOf(Order.Worker);
    if (!To)
      continue;
    ++UnansweredStarts_;
    // Only the order's identity is needed once it has been sent.
    jobs::StartOrder Sent;
    Sent.Worker = Order.Worker;
    Sent.Task = Order.Task;
    Sent.Run = Order.Run;
    Sent.Fence = Order.Fence;
    auto SentAt = std::make_shared<net::BeginTime>();
    Given_.push_back({SentAt, Sent});
    Ctx_.Workers.start(
        *To, Order.Fence, Order, SentAt,
        [Self, Sent = std::move(Sent), GivenAt,
         SentAt](jobs::OrderResult Result) {
          Self->Ctx_.Loop.post([Self, Sent, GivenAt, SentAt, Result] {
            Self->onStartAnswered(Sent, Result, GivenAt, SentAt);
          });
        });
  }
  for (jobs::HoldOrder &Order : Orders.Holds) {
    const jobs::WorkerEntry *To = entryOf(Order.Worker);
    if (!To)
      continue;
    auto SentAt = std::make_shared<net::BeginTime>();
    Given_.push_back({SentAt, Order});
    Ctx_.Workers.report(*To, Order.Fence, Order, SentAt,
                        [Self, Order, GivenAt](jobs::ReportResult Result) {
                          Self->Ctx_.Loop.post([Self, Order, GivenAt, Result] {
                            Self->onReported(Order, Result, GivenAt);
                          });
                        });
  }
}

/// Tells the state which orders still wait to be sent and which have been sent
/// since the last round. Those that were answered meanwhile don't matter.
void PoolController::recordSending() {
  std::erase_if(Given_, [this](GivenOrder &Given) {
    std::shared_ptr<net::BeginTime> Mark = Given.SentAt.lock();
    if (!Mark)
      return true;
    core::TimePoint SentAt = *Mark;
    bool IsSent = SentAt != core::TimePoint();
    if (IsSent || !Given.Waits)
      std::visit(
          [&](const auto &Order) {
            State_.onSending(Order,
                             IsSent ? std::optional(SentAt) : std::nullopt);
          },
          Given.Order);
    Given.Waits = !IsSent;
    return IsSent;
  });
}

void PoolController::onReported(const jobs::HoldOrder &Order,
                                const jobs::ReportResult &Result,
                                core::TimePoint SentAt) {
  auto At = State_.workers().find(Order.Worker);
  bool FirstAnswer = At != State_.workers().end() && !At->second->Heard;
  if (FirstAnswer && Result.Outcome == jobs::OrderOutcome::OtherIncarnation)
    logEvent("worker_replaced", {{"worker", Order.Worker},
                                 {"address", At->second->Entry.Address},
                                 {"pool", State_.pool()},
                                 {"token", State_.token()},
                                 {"listed", At->second->Gone ? 0 : 1}});
  State_.onReport(Order, Result, SentAt, bootNow());
  schedulePlan();
}

void PoolController::onStartAnswered(const jobs::StartOrder &Order,
                                     const jobs::OrderResult &Result,
                                     core::TimePoint GivenAt,
                                     const SendMark &SentAt) {
  core::TimePoint Now = bootNow();
  --UnansweredStarts_;
  jobs::recordAnswer(StartWindow_, Now - GivenAt, Now);
  core::TimePoint At = *SentAt;
  if (Result.Outcome == jobs::OrderOutcome::Unknown && At != core::TimePoint())
    State_.onSending(Order, At);
  State_.onStart(Order, Result, Now);
  if (Result.Outcome != jobs::OrderOutcome::Accepted)
    logEvent("start_refused", {{"job", Order.Task.JobId},
                               {"worker", Order.Worker},
                               {"run", Order.Run},
                               {"outcome", jobs::nameOf(Result.Outcome)}});
  if (StartsBounded_ || Result.Outcome != jobs::OrderOutcome::Accepted)
    schedulePlan();
}

// Storing.

void PoolController::flush() {
  if (Storing_ || Dropped_ || !Loaded_)
    return;
  jobs::ProgressBatch Batch = takeBatch();
  if (Batch.isEmpty()) {
    if (Leaving_ && ShutDownDone_) {
      auto Left = std::exchange(ShutDownDone_, nullptr);
      Left();
    }
    return;
  }
  Storing_ = true;
  ChainAccepted_ = false;
  BatchMark_ = Batch.Mark;
  Parts_.push_back(std::move(Batch));
  sendNextPart();
}

jobs::ProgressBatch PoolController::takeBatch() {
  if (State_.hasSetAside() && bootNow() >= NextAsideTry_) {
    jobs::ProgressBatch Batch = State_.takeSetAside();
    if (!Batch.isEmpty())
      return Batch;
  }
  return State_.takeChanges(BatchRows, BatchTasks);
}

/// Sends the next part of the batch; once there is none left, confirms it.
void PoolController::sendNextPart() {
  if (!Parts_.empty()) {
    auto Write = std::make_shared<BatchWrite>();
    Write->Batch = std::move(Parts_.front());
    Monitor_.recordStoring(bootNow());
    Parts_.pop_front();
    sendBatch(Write);
    return;
  }
  State_.onStored(BatchMark_);
  schedulePlan();
  auto Self = shared_from_this();
  Ctx_.Loop.after(Leaving_ ? core::Duration::zero() : FlushDelay, [Self] {
    Self->Storing_ = false;
    Self->flush();
  });
}

/// Sends the next attempt of the write. All attempts have the same conditions
/// and rows, so that one of them applies at most, and none after a newer batch.
void PoolController::sendBatch(const std::shared_ptr<BatchWrite> &Write) {
  const jobs::ProgressBatch &Batch = Write->Batch;
  store::PartTransaction T;
  store::PartKey Chain = {rows::Progress, Part_, rows::ChainKey};
  T.Conditions = {{{rows::Control, Part_, rows::OwnerKey}, State_.token()},
                  {Chain, ChainVersion_}};
  T.Puts.push_back({Chain, ""});
  std::size_t RowBytes = Ctx_.Settings.StoreRowBytes;
  std::size_t BytesLeft = RowBytes * MaxFurtherRows;
  for (const jobs::ProgressWrite &Job : Batch.Writes) {
    std::vector<std::string> Rows =
        codec::encodeProgressRows(Job.Progress, RowBytes, BytesLeft);
    for (std::size_t N = 0; N < Rows.size(); ++N) {
      BytesLeft -= std::min(BytesLeft, Rows[N].size());
      T.Puts.push_back(
          {{rows::Progress, Part_, rows::progressKey(Job.JobId, N)},
           std::move(Rows[N])});
    }
  }
  for (const jobs::WorkerEntry &Entry : Batch.Enrolled)
    T.Puts.push_back({{rows::Progress, Part_, rows::RosterPrefix + Entry.Id},
                      codec::encodeRosterRow(Entry)});
  if (Batch.Settled)
    T.Puts.push_back({{rows::Progress, Part_, rows::SettledKey},
                      std::to_string(State_.token())});
  for (const std::string &Id : Batch.Unenrolled)
    T.Removals.push_back({rows::Progress, Part_, rows::RosterPrefix + Id});
  recordAttempt(Write->Attempts);
  core::TimePoint SentAt = bootNow();
  auto Self = shared_from_this();
  Ctx_.Store.commit(
      std::move(T), attemptLimit(Write->Attempts.Sent),
      [Self, Write, SentAt](PartAnswer Answer) {
        Self->Ctx_.Loop.post([Self, Write, SentAt, Answer = std::move(Answer)] {
          Self->onBatchAnswered(Write, Answer, bootNow() - SentAt);
        });
      });
  if (auto Pause = pauseBeforeRepeat(StorePace_, Write->Attempts.Sent))
    repeatBatch(Write, *Pause, true);
}

/// Sends the next attempt after the pause if \ref mayRepeat allows it then.
void PoolController::repeatBatch(const std::shared_ptr<BatchWrite> &Write,
                                 core::Duration Pause, bool BesideOpen) {
  Ctx_.Loop.after(Pause, [Self = shared_from_this(), Write, BesideOpen,
                          Sent = Write->Attempts.Sent] {
    if (Self->Dropped_ || !mayRepeat(Write->Attempts, Sent, BesideOpen))
      return;
    Self->Ctx_.Count.recordRetry("store-progress");
    Self->sendBatch(Write);
  });
}

/// Logs one line for each job that ended, with the number of failed runs and
/// the worker of the last one.
void PoolController::logEnded(const jobs::ProgressBatch &Batch,
                              std::uint64_t RowVersion) {
  for (const jobs::ProgressWrite &Write : Batch.Writes) {
    const jobs::JobRecord *Job = State_.findJob(Write.JobId);
    if (!Job || !jobs::isFinal(Write.Progress.State))
      continue;
    std::size_t FailedRuns = 0;
    std::string FailedOn;
    for (const jobs::TaskState &Task : Job->Tasks) {
      FailedRuns += Task.Kept.FailedRuns.size();
      if (!Task.FailedOn.empty())
        FailedOn = Task.FailedOn;
    }
    logEvent("job_ended", {{"job", Write.JobId},
                           {"pool", State_.pool()},
                           {"state", jobs::nameOf(Write.Progress.State)},
                           {"failed_runs", FailedRuns},
                           {"max_attempts", Job->Spec.MaxAttempts},
                           {"last_failed_on", FailedOn},
                           {"token", State_.token()},
                           {"row_version", RowVersion}});
  }
}

void PoolController::onBatchAnswered(const std::shared_ptr<BatchWrite> &Write,
                                     const PartAnswer &Answer,
                                     core::Duration Took) {
  if (Answer.Outcome == PartOutcome::Ok ||
      Answer.Outcome == PartOutcome::Conflict)
    recordAnswer(StorePace_, Took);
  WriteStep Step =
      takeAnswer(Write->Attempts, Answer.Outcome, Answer.Permanent);
  if (Dropped_)
    return;
  if (Step == WriteStep::Settle)
    onBatchSettled(*Write, Answer);
  else if (Step == WriteStep::Retry)
    repeatBatch(Write, StoreRetry, false);
}

void PoolController::onBatchSettled(const BatchWrite &Write,
                                    const PartAnswer &Answer) {
  const jobs::ProgressBatch &Batch = Write.Batch;
  if (Answer.Permanent) {
    onBatchRefused(Batch, Answer, Write.Attempts.Unsure);
    return;
  }
  if (Answer.Outcome == PartOutcome::Ok)
    ChainVersion_ = Answer.Version;
  if (Answer.Outcome == PartOutcome::Conflict) {
    std::uint64_t Owner = 0;
    std::uint64_t Chain = 0;
    for (const store::PartRow &Row : Answer.Rows)
      (Row.Where.Key == rows::OwnerKey ? Owner : Chain) = Row.Version;
    // Only this owner writes the chain row, so an earlier attempt has applied
    // that was not answered.
    if (Owner != State_.token() || Chain <= ChainVersion_) {
      loseOwnership("owner row changed");
      return;
    }
    ChainVersion_ = Chain;
  }
  Monitor_.recordStored(bootNow(), Write.Attempts.Sent > 1,
                        Answer.Outcome == PartOutcome::Conflict);
  ChainAccepted_ = ChainAccepted_ || Batch.isEmpty();
  logEnded(Batch, Answer.Version);
  sendNextPart();
}

/// Finds the rows that the store refuses. A write of the chain row alone shows
/// whether it refuses the rows, and ends earlier attempts without an answer:
/// one that was applied later would be taken for a write of newer rows.
void PoolController::onBatchRefused(const jobs::ProgressBatch &Batch,
                                    const PartAnswer &Answer, bool Again) {
  if (Batch.isEmpty()) {
    Ctx_.Count.recordRetry("store-refuses-pool");
    logEvent("progress_refused", {{"pool", State_.pool()},
                                  {"token", State_.token()},
                                  {"error", Answer.Error}});
    Parts_.push_front({});
    Ctx_.Loop.after(RefusedRetry, [Self = shared_from_this()] {
      if (!Self->Dropped_)
        Self->sendNextPart();
    });
    return;
  }
  if (Again || !ChainAccepted_) {
    Parts_.push_front(Batch);
    Parts_.push_front({});
  } else if (Batch.rowCount() > 1) {
    auto [First, Second] = split(Batch);
    Parts_.push_front(std::move(Second));
    Parts_.push_front(std::move(First));
  } else {
    setAside(Batch, Answer);
  }
  sendNextPart();
}

/// Leaves the only row of \p Row for later, so that it holds up no other.
void PoolController::setAside(const jobs::ProgressBatch &Row,
                              const PartAnswer &Answer) {
  State_.setAside(Row);
  NextAsideTry_ = bootNow() + AsideRetry;
  const char *Kind = "settled";
  std::string Id;
  if (!Row.Writes.empty()) {
    Kind = "job";
    Id = Row.Writes.front().JobId;
  } else if (!Row.Enrolled.empty()) {
    Kind = "enrolled-worker";
    Id = Row.Enrolled.front().Id;
  } else if (!Row.Unenrolled.empty()) {
    Kind = "left-worker";
    Id = Row.Unenrolled.front();
  }
  Ctx_.Count.recordRefusedRow(Kind);
  logEvent("row_set_aside", {{"pool", State_.pool()},
                             {"token", State_.token()},
                             {"kind", Kind},
                             {"id", Id},
                             {"error", Answer.Error}});
}

} // namespace comfreydeck::dispatch
