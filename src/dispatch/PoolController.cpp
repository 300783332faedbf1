#include "dispatch/PoolController.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

#include <algorithm>

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;

namespace {

/// Interval of planning passes for changes that no event triggers: due times
/// and lapsed leases.
constexpr milliseconds TickPeriod(60);
/// A worker reopens if its closing was not requested again for this long.
constexpr milliseconds CloseExpiry(2500);
/// Finished jobs are kept for a margin beyond the promised time.
constexpr milliseconds FinishedKeepMargin(10000);

jobs::OwnerLimits limitsFor(const settings::DispatchSettings &Settings) {
  jobs::OwnerLimits Limits;
  Limits.Lease = std::min(Limits.Lease, Settings.MaxLease);
  Limits.MaxLease = Settings.MaxLease;
  Limits.StopTime = Settings.StopTime;
  Limits.GangTimeout = Settings.GangTimeout;
  Limits.RemoteFactor = Settings.RemoteFactor;
  return Limits;
}

} // namespace

PoolController::PoolController(Context &Ctx, FleetView &View,
                               const TableFollower &Jobs, JobTableReader &Table,
                               const PoolTakeover &Takeover, StopQuery Query,
                               std::function<void(const std::string &)> Lost)
    : Ctx_(Ctx), View_(View), Jobs_(Jobs),
      State_(Takeover.Pool, Takeover.Token, bootNow(), limitsFor(Ctx.Settings)),
      Log_(Takeover.Pool, Takeover.Token, Takeover.At),
      Restorer_(State_, Log_, Unapplied_),
      Loader_(Ctx, State_, Log_, Restorer_, *this, Table),
      Intake_(Ctx, State_, Log_, Unapplied_, Restorer_, *this),
      Rereader_(Ctx, State_, Log_, Unapplied_, Restorer_, *this),
      Payloads_(Ctx, State_, Log_, *this), Unlisted_(Ctx, State_, Log_, *this),
      Sender_(Ctx, State_, Log_, *this),
      Monitor_(Ctx.Count, Takeover.Pool, Takeover.Token),
      Writer_(Ctx, State_, Log_, Monitor_, *this,
              [this](const char *Why) { loseOwnership(Why); }),
      TakenAt_(Takeover.At), Earlier_(Takeover.Earlier),
      StopQuery_(std::move(Query)), Lost_(std::move(Lost)) {}

// Loading.

void PoolController::load(std::function<void(std::uint64_t)> TableRead) {
  Loader_.load(std::move(TableRead),
               [this](const LoadedRows &Rows) { onLoaded(Rows); });
}

void PoolController::onLoaded(const LoadedRows &Rows) {
  if (Rows.SettledToken)
    jobs::dropBeforeSettled(Earlier_, *Rows.SettledToken);
  Loaded_ = true;
  Writer_.begin(Rows.ChainVersion);
  Intake_.begin(Rows.Jobs);
  stopEarlierOwners();
  refresh();
  Log_.logLoaded(State_, Earlier_, View_.workersAgeMs());
  tick();
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

// Events.

void PoolController::applyJobRow(const store::PartRow &Row) {
  Intake_.applyJobRow(Row);
}

void PoolController::addJob(const jobs::JobSpec &Spec) { Intake_.addJob(Spec); }

void PoolController::cancelJob(const std::string &Id) { Intake_.cancelJob(Id); }

void PoolController::refresh() {
  State_.setConfig(View_.config());
  State_.setClosedDataCentres(View_.closedDataCentres());
  std::vector<jobs::WorkerEntry> Entries = View_.workersOf(State_.pool());
  State_.setWorkers(Entries, bootNow());
  Unlisted_.check();
  schedulePlan();
}

void PoolController::setTeamRoom(std::map<std::string, core::Resources> Room) {
  State_.setTeamRoom(std::move(Room));
}

ClosedWorkers PoolController::closeWorkers(const CloseRequest &Request) {
  core::TimePoint Now = bootNow();
  for (const std::string &Id : Request.Drain)
    ClosedWorkers_[Id] = {Now, false, Request.By};
  for (const std::string &Id : Request.Evict)
    ClosedWorkers_[Id] = {Now, true, Request.By};
  for (const jobs::WorkerIncarnation &Which : Request.Ended)
    if (!State_.endIncarnation(Which))
      logEvent("worker_end_ignored", {{"pool", State_.pool()},
                                      {"worker", Which.Worker},
                                      {"born", Which.Born}});
  for (const std::string &Id : Request.TakeBack) {
    auto Closed = ClosedWorkers_.find(Id);
    if (Closed != ClosedWorkers_.end() &&
        Closed->second.By.FleetToken == Request.By.FleetToken)
      ClosedWorkers_.erase(Closed);
    State_.takeBackWorker(Id, Request.By);
  }
  applyClosed();
  ClosedWorkers Result;
  for (const auto *Asked : {&Request.Drain, &Request.Evict, &Request.Release})
    for (const std::string &Id : *Asked) {
      jobs::ReleaseState Release = State_.releaseWorker(Id, Request.By, Now);
      if (Release == jobs::ReleaseState::Released)
        Result.Clear.push_back(Id);
      else if (Release == jobs::ReleaseState::Pending)
        Result.Releasing.push_back(Id);
    }
  schedulePlan();
  return Result;
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
  // Stored by the time that the next request asks for it.
  for (const auto &[Id, Asked] : ClosedWorkers_)
    State_.releaseWorker(Id, Asked.By, Asked.At);
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
  Monitor_.end(State_, bootNow(), Ctx_.Clock.nowMs());
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
  Rereader_.readDue(Now);
  Monitor_.recordUnapplied(Unapplied_.stats(Now));
  Monitor_.publishIfDue(State_, Now, Ctx_.Clock.nowMs());
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
  Payloads_.loadMissing();
  jobs::PlanInput In;
  In.Now = bootNow();
  In.WallMs = Ctx_.Clock.nowMs();
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
  Log_.logSettled(State_, Now);
}

} // namespace comfreydeck::dispatch
