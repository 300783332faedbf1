#include "dispatch/PoolController.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"

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
/// Pause before a failed read of the store is retried.
constexpr milliseconds StoreRetry(120);
/// A worker reopens if its closing was not requested again for this long.
constexpr milliseconds CloseExpiry(2500);
/// Finished jobs are kept for a margin beyond the promised time.
constexpr milliseconds FinishedKeepMargin(10000);

/// Jobs that could not be applied whose rows are read again at a time, and the
/// pause between two times.
constexpr std::size_t MaxUnappliedReads = 4;
constexpr milliseconds UnappliedReadPause(250);

/// Payloads that are read at the same time.
constexpr std::size_t MaxPayloadReads = 16;

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
      Log_(Takeover.Pool, Takeover.Token), Unlisted_(Ctx, State_, Log_, *this),
      Sender_(Ctx, State_, Log_, *this),
      Monitor_(Ctx.Count, Takeover.Pool, Takeover.Token),
      Writer_(Ctx, State_, Log_, Monitor_, *this,
              [this](const char *Why) { loseOwnership(Why); }),
      TakenAt_(Takeover.At), Earlier_(Takeover.Earlier),
      StopQuery_(std::move(Query)), Lost_(std::move(Lost)),
      Part_(rows::poolPart(Takeover.Pool)) {}

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
    Self->Log_.logLoadFailure(rows::Jobs, *Answer, bootNow() - Self->TakenAt_);
    Self->Ctx_.Loop.after(StoreRetry,
                          [Self, TableRead] { Self->load(TableRead); });
  });
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
  Log_.logLoadFailure(rows::Progress, Answer, bootNow() - TakenAt_);
  Ctx_.Loop.after(StoreRetry, [Self = shared_from_this(), JobTable] {
    Self->loadProgress(JobTable);
  });
}

void PoolController::restoreState(
    const std::vector<store::PartRow> &JobRows,
    const std::vector<store::PartRow> &ProgressRows) {
  RowsByKey ByKey;
  std::uint64_t ChainVersion = 0;
  core::TimePoint Now = bootNow();
  for (const store::PartRow &Row : ProgressRows) {
    if (Row.Where.Key == rows::ChainKey) {
      ChainVersion = Row.Version;
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
  Writer_.begin(ChainVersion);
  for (const store::PartRow &Row : JobRows)
    if (Row.Where.Key.ends_with(rows::CancelSuffix))
      applyJobRow(Row);
  for (const store::PartRow &Row : std::exchange(EarlyJobRows_, {}))
    applyJobRow(Row);
  stopEarlierOwners();
  refresh();
  Log_.logLoaded(State_, Earlier_, View_.workersAgeMs());
  tick();
}

/// Decodes a row of the job table. If it can't be, the row is read again later.
std::optional<jobs::JobSpec>
PoolController::decodeJobRow(const store::PartRow &Row) {
  try {
    return codec::decodeJob(Row.Value);
  } catch (const std::exception &E) {
    Log_.logUnreadableJob(Row.Where.Key, E.what());
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
    Log_.logUnreadableProgress(Spec.Id, E.what());
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
    Log_.logNotApplied(Spec.Id, E.what());
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
    Log_.logAppliedLate(Spec.Id);
  schedulePlan();
}

void PoolController::applySettledRow(const store::PartRow &Row) {
  std::uint64_t Token = 0;
  const char *End = Row.Value.data() + Row.Value.size();
  auto [Read, Error] = std::from_chars(Row.Value.data(), End, Token);
  if (Error == std::errc() && Read == End)
    jobs::dropBeforeSettled(Earlier_, Token);
  else
    Log_.logUnreadableSettled();
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
  Log_.logPayloadFailure(JobId, Answer);
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
    Log_.logUnreadableRoster(Entry.Id, E.what());
  }
  State_.addEnrolled(Entry, Now);
}

// Events.

void PoolController::refresh() {
  State_.setConfig(View_.config());
  State_.setClosedDataCentres(View_.closedDataCentres());
  std::vector<jobs::WorkerEntry> Entries = View_.workersOf(State_.pool());
  State_.setWorkers(Entries, bootNow());
  Unlisted_.check();
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
    Log_.logNotApplied(Key, E.what());
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
    Log_.logLoadFailure(rows::Progress, Answer, bootNow() - TakenAt_);
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
  Log_.logLookedUp(Ids.size(), Finished, Answer.Version);
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
  Writer_.finish(std::move(Done));
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
  Log_.logLost(Why);
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
  In.MaxStarts = Sender_.startRoom();
  Sender_.recordSending();
  jobs::Orders Orders = State_.plan(In);
  core::TimePoint Planned = bootNow();
  Monitor_.recordPlanTime(Planned - In.Now);
  NextPlanAt_ = Planned + jobs::pauseAfterPlan(Planned - In.Now);
  noteSettled(In.Now);
  Log_.logDecisions(State_);
  Sender_.send(Orders);
  Monitor_.recordStarts(Sender_.startWindow(), Sender_.unansweredStarts());
  if (State_.isFenced()) {
    loseOwnership(State_.isFenceUsedUp() ? "fence used up" : "fenced");
    return;
  }
  auto Keep = std::chrono::duration_cast<milliseconds>(
      Ctx_.Settings.KeepFinished + FinishedKeepMargin);
  State_.dropFinished(In.WallMs - Keep.count());
  Writer_.flush();
}

void PoolController::noteSettled(core::TimePoint Now) {
  if (SettledLogged_ || !State_.isSettled())
    return;
  SettledLogged_ = true;
  if (EarlierOwners_)
    EarlierOwners_->cancel();
  Log_.logSettled(State_, Now - TakenAt_);
}

} // namespace comfreydeck::dispatch
