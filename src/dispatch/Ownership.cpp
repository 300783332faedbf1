#include "dispatch/Ownership.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

#include <stdexcept>

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;
using store::PartAnswer;
using store::PartOutcome;

namespace {

/// An entry whose heartbeat is older than two periods is asked whether it still
/// works on its pools; it loses them if it doesn't answer.
constexpr milliseconds HeartbeatPeriod(700);
static_assert(Ownership::HeartbeatTimeout > 2 * HeartbeatPeriod);
/// Pause before an owner that has answered is asked again.
constexpr milliseconds ProbePause(600);
constexpr milliseconds StoreTimeout(1500);
/// A heartbeat that is not answered in time is written again within its period,
/// so that a lost answer doesn't look like a dead entry.
constexpr milliseconds HeartbeatWriteTimeout(500);
constexpr milliseconds TakeRetry(200);
/// How long a starting entry waits for the others to register before it takes
/// pools. Pools released while others are alive don't wait: in a rolling
/// restart they would stay without an owner.
constexpr milliseconds RegistrationWait(1000);
/// Pause before a lost pool may be taken again: its new owner may not have
/// registered yet.
constexpr milliseconds RetakePause(1500);
/// Pause between reads of the job table, by which owners find jobs that no
/// entry pushed to them.
constexpr milliseconds JobsPause(400);

} // namespace

Ownership::Ownership(Context &Ctx, FleetView &View)
    : Ctx_(Ctx), View_(View),
      Jobs_(Ctx.Loop, Ctx.Store,
            {rows::Jobs, {}, JobsPause, [] { return rows::jobParts(); }},
            {nullptr, [this](const auto &Row) { applyJobRow(Row); }, nullptr}),
      JobTable_(Ctx.Loop, Ctx.Store), StartedAt_(bootNow()) {}

void Ownership::start() { heartbeat(); }

std::shared_ptr<PoolController>
Ownership::controller(const std::string &Pool) const {
  auto It = Controllers_.find(Pool);
  bool Usable = It != Controllers_.end() && It->second->isLoaded();
  return Usable ? It->second : nullptr;
}

/// Heartbeats are written until the process ends; those during shutdown are
/// marked as leaving.
void Ownership::heartbeat() {
  Ctx_.Loop.after(HeartbeatPeriod, [this] { heartbeat(); });
  writeHeartbeat();
}

jobs::EntryView Ownership::self() const {
  jobs::EntryView Me;
  Me.Name = Ctx_.Settings.Name;
  Me.Life = Ctx_.Life;
  Me.PeerAddress = Ctx_.Settings.Peers;
  Me.DataCentre = Ctx_.Settings.DataCentre;
  Me.Leaving = Leaving_;
  Me.OwnTime = Ctx_.Clock.ownReport();
  if (Ctx_.Settings.Cores > 0 && Ctx_.Settings.LinkMbps > 0)
    Me.Capacity = jobs::capacityOf(Ctx_.Settings.Cores, Ctx_.Settings.LinkMbps);
  return Me;
}

void Ownership::writeHeartbeat() {
  if (HeartbeatInFlight_)
    return;
  HeartbeatInFlight_ = true;
  jobs::EntryView Me = self();
  store::PartTransaction T;
  T.Puts.push_back(
      {{rows::Control, rows::entryPart(Me.Name), rows::EntryPrefix + Me.Name},
       FleetView::entryValue(Me, ++HeartbeatCount_)});
  std::optional<core::AgreedTime> Agreed = Ctx_.Clock.agreedToStore();
  if (Agreed)
    T.Puts.push_back(
        {{rows::Control, rows::entryPart(Me.Name), rows::TimePrefix + Me.Name},
         FleetView::timeValue(*Agreed)});
  core::TimePoint SentAt = bootNow();
  Ctx_.Store.commit(
      std::move(T), HeartbeatWriteTimeout,
      [this, Agreed, SentAt](const PartAnswer &Answer) {
        Ctx_.Loop.post([this, Agreed, SentAt, ReceivedAt = bootNow(),
                        Outcome = Answer.Outcome, Clock = Answer.Clock] {
          HeartbeatInFlight_ = false;
          if (Clock)
            Ctx_.Clock.observeStore({SentAt, ReceivedAt, *Clock});
          if (Outcome != PartOutcome::Ok)
            return;
          // Pools are taken from now on, by the agreed time if there is one.
          reviewTime();
          Registered_ = true;
          if (Agreed)
            Ctx_.Clock.noteStored(*Agreed);
        });
      });
}

void Ownership::reviewTime() {
  if (View_.isControlSynced())
    Ctx_.Clock.review(View_.timeReports(Ctx_.Settings.Name, HeartbeatTimeout));
}

void Ownership::review() {
  reviewTime();
  dropLostPools();
  takePools();
  View_.followWorkersClosely(!Controllers_.empty());
}

void Ownership::refreshControllers() {
  std::string Failed;
  for (const auto &[Pool, Controller] : Controllers_) {
    if (!Controller->isLoaded())
      continue;
    try {
      Controller->refresh();
    } catch (const std::exception &E) {
      logEvent("pool_refresh_failed", {{"pool", Pool}, {"error", E.what()}});
      Failed = Pool;
    }
  }
  if (!Failed.empty())
    throw std::runtime_error("pool " + Failed + " was not refreshed");
}

/// Drops pools whose rows name another owner.
void Ownership::dropLostPools() {
  std::vector<std::string> LostPools;
  for (const auto &[Pool, Controller] : Controllers_) {
    const jobs::PoolView *Row = View_.pool(Pool);
    if (Row && Row->Version > Controller->token())
      LostPools.push_back(Pool);
  }
  for (const std::string &Pool : LostPools) {
    logEvent("pool_lost", {{"pool", Pool}, {"reason", "taken by another"}});
    endController(Pool);
  }
  const jobs::PoolView *Fleet = View_.pool(rows::FleetControl);
  if (Fleet && Fleet->Version > FleetToken_)
    FleetToken_ = 0;
}

void Ownership::endController(const std::string &Pool) {
  Controllers_.at(Pool)->drop();
  Controllers_.erase(Pool);
  LostAt_[Pool] = bootNow();
}

std::optional<core::Duration> Ownership::stopOrders(const std::string &Pool,
                                                    std::uint64_t Token) {
  auto Owned = Controllers_.find(Pool);
  if (Leaving_ ||
      (Owned != Controllers_.end() && Owned->second->token() > Token))
    return std::nullopt;
  if (Owned != Controllers_.end() && Owned->second->token() < Token) {
    logEvent("pool_lost",
             {{"pool", Pool}, {"reason", "stopped by the next owner"}});
    endController(Pool);
  }
  std::uint64_t &Newest = SupersededBy_[Pool];
  Newest = std::max(Newest, Token);
  auto Lost = LostAt_.find(Pool);
  return bootNow() - (Lost == LostAt_.end() ? StartedAt_ : Lost->second);
}

void Ownership::takePools() {
  core::TimePoint Now = bootNow();
  if (!View_.isSynced() || !Registered_ || Leaving_)
    return;
  reclaimPools();
  std::vector<jobs::EntryView> Entries = View_.entries();
  bool Starting = Now - StartedAt_ < RegistrationWait;
  std::vector<jobs::PoolView> Pools = View_.pools();
  // When the whole fleet starts, the first entries must not take all pools.
  if (!Starting && Entries.size() > MaxEntriesSeen_) {
    MaxEntriesSeen_ = Entries.size();
    MaxEntriesSeenAt_ = Now;
  }
  bool Gathered = jobs::isDiscoveryComplete(StartedAt_, MaxEntriesSeenAt_, Now);
  for (const std::string &Pool :
       jobs::poolsToTake(self(), Entries, Pools, View_.controlCurrentAt(), Now,
                         HeartbeatTimeout)) {
    if (wasJustLost(Pool) || isOwned(Pool))
      continue;
    const jobs::PoolView *Row = View_.pool(Pool);
    bool NeverOwned = !Row || Row->Version == 0;
    if (NeverOwned && !Gathered)
      continue;
    if (Starting && !(Row && jobs::isReleasedBesideOthers(
                                 self(), *Row, Entries, Now, HeartbeatTimeout)))
      continue;
    if (Row && mayBeAlive(*Row))
      probeOwner(Pool);
    else
      take(Pool);
  }
  if (Starting)
    return;
  std::set<std::string> WorkedOn;
  for (const jobs::PoolView &Pool : Pools)
    if (isOwned(Pool.Pool))
      WorkedOn.insert(Pool.Pool);
  for (const std::string &Pool : jobs::unservedPools(self(), Pools, WorkedOn))
    if (!wasJustLost(Pool))
      take(Pool);
}

bool Ownership::wasJustLost(const std::string &Pool) const {
  auto Lost = LostAt_.find(Pool);
  return Lost != LostAt_.end() && bootNow() - Lost->second < RetakePause;
}

/// Takes pools whose owner row names an earlier process of this entry, which no
/// longer runs.
void Ownership::reclaimPools() {
  for (const jobs::PoolView &Pool : View_.pools())
    if (Pool.OwnerName == Ctx_.Settings.Name && Pool.OwnerLife != Ctx_.Life &&
        !isOwned(Pool.Pool))
      take(Pool.Pool);
}

bool Ownership::isOwned(const std::string &Pool) const {
  return Controllers_.count(Pool) != 0 ||
         (Pool == rows::FleetControl && FleetToken_ != 0);
}

/// Whether the process that the row names may still be running.
bool Ownership::mayBeAlive(const jobs::PoolView &Pool) const {
  const jobs::EntryView *Owner = View_.entry(Pool.OwnerName);
  return Owner && !Owner->Leaving && Owner->Life == Pool.OwnerLife &&
         Owner->Name != Ctx_.Settings.Name;
}

/// Asks the owner before its pool is taken: heartbeats are late while the store
/// is slow, and a live owner must not lose its pool for that.
void Ownership::probeOwner(const std::string &Pool) {
  auto Answered = AnsweredAt_.find(Pool);
  bool Recent = Answered != AnsweredAt_.end() &&
                bootNow() - Answered->second < ProbePause;
  if (Recent || !PendingProbes_.insert(Pool).second)
    return;
  Probe_(Pool, [this, Pool](bool Works) {
    PendingProbes_.erase(Pool);
    if (Works) {
      AnsweredAt_[Pool] = bootNow();
      logEvent("owner_answered", {{"pool", Pool}});
    } else if (!Leaving_ && !isOwned(Pool)) {
      take(Pool);
    }
  });
}

void Ownership::take(const std::string &Pool) {
  if (PendingTakes_.count(Pool) != 0)
    return;
  PendingTakes_.insert(Pool);
  const jobs::PoolView *Row = View_.pool(Pool);
  store::PartKey Key = {rows::Control, rows::poolPart(Pool), rows::OwnerKey};
  store::PartTransaction T;
  T.Conditions.push_back({Key, Row ? Row->Version : 0});
  PoolTakeover Takeover{Pool, 0, bootNow(),
                        jobs::historyAfter(Row ? *Row : jobs::PoolView())};
  Takeover.Reclaimed = Row && Row->OwnerName == Ctx_.Settings.Name &&
                       Row->OwnerLife != Ctx_.Life;
  T.Puts.push_back({Key, FleetView::ownerValue(Ctx_.Settings.Name, Ctx_.Life,
                                               Takeover.Earlier)});
  Ctx_.Store.commit(
      std::move(T), StoreTimeout, [this, Takeover](PartAnswer Answer) {
        Ctx_.Loop.post([this, Takeover, Answer = std::move(Answer)] {
          if (Answer.Outcome == PartOutcome::Ok)
            onTaken(Takeover, Answer.Version);
          else if (Answer.Outcome == PartOutcome::NotDone)
            PendingTakes_.erase(Takeover.Pool);
          else
            verifyTake(Takeover);
        });
      });
}

/// Reads the owner row after an attempt that was not answered or lost to
/// another write.
void Ownership::verifyTake(const PoolTakeover &Takeover) {
  store::PartRange Range = {rows::Control, rows::poolPart(Takeover.Pool),
                            rows::OwnerKey, ""};
  Ctx_.Store.read(Range, [this, Takeover](PartAnswer Answer) {
    Ctx_.Loop.post([this, Takeover, Answer = std::move(Answer)] {
      if (Answer.Outcome != PartOutcome::Ok) {
        Ctx_.Loop.after(TakeRetry, [this, Takeover] { verifyTake(Takeover); });
        return;
      }
      for (const store::PartRow &Row : Answer.Rows) {
        if (Row.Where.Key != rows::OwnerKey)
          continue;
        jobs::PoolView Owner;
        try {
          Owner = FleetView::decodeOwner(Row);
        } catch (const std::exception &E) {
          logEvent("control_row_unreadable",
                   {{"key", Row.Where.Key}, {"error", E.what()}});
          break;
        }
        View_.setPool(Owner);
        bool Mine = Owner.OwnerName == Ctx_.Settings.Name &&
                    Owner.OwnerLife == Ctx_.Life;
        if (Mine) {
          // The row may be of another attempt, after another owner.
          PoolTakeover Taken = Takeover;
          Taken.Earlier = Owner.Earlier;
          onTaken(Taken, Row.Version);
          return;
        }
      }
      PendingTakes_.erase(Takeover.Pool);
    });
  });
}

void Ownership::onTaken(PoolTakeover Takeover, std::uint64_t Token) {
  Takeover.Token = Token;
  const std::string &Pool = Takeover.Pool;
  PendingTakes_.erase(Pool);
  if (Token < SupersededBy_[Pool])
    return;
  jobs::PoolView Mine{Pool, Ctx_.Settings.Name, Ctx_.Life, Token};
  Mine.Earlier = Takeover.Earlier;
  View_.setPool(std::move(Mine));
  logEvent("pool_taken", {{"pool", Pool}, {"token", Token}});
  if (Pool == rows::FleetControl) {
    FleetToken_ = Token;
    FleetReclaimed_ = Takeover.Reclaimed;
    return;
  }
  auto Lost = [this](const std::string &Name) {
    LostAt_[Name] = bootNow();
    Controllers_.erase(Name);
  };
  if (Controllers_.count(Pool) != 0)
    endController(Pool);
  auto Controller = std::make_shared<PoolController>(
      Ctx_, View_, Jobs_, JobTable_, Takeover, StopQuery_, std::move(Lost));
  Controllers_[Pool] = Controller;
  View_.followWorkersClosely(true);
  // An entry without pools reads the worker list rarely, so its copy may be
  // old.
  View_.whenWorkersRead([this, Controller] {
    Controller->load([this](std::uint64_t Version) { follow(Version); });
  });
}

/// Skips decoding jobs of pools that other entries own.
void Ownership::applyJobRow(const store::PartRow &Row) {
  std::string_view Named = codec::poolOf(Row.Value);
  for (const auto &[Pool, Controller] : Controllers_)
    if (Named.empty() || Named == Pool)
      Controller->applyJobRow(Row);
}

void Ownership::follow(std::uint64_t Version) {
  if (!Jobs_.isStarted())
    Jobs_.startFrom(Version);
}

void Ownership::release(const std::string &Pool, std::uint64_t Token,
                        std::function<void()> Done) {
  store::PartKey Key = {rows::Control, rows::poolPart(Pool), rows::OwnerKey};
  store::PartTransaction T;
  T.Conditions.push_back({Key, Token});
  const jobs::PoolView *Row = View_.pool(Pool);
  T.Puts.push_back(
      {Key, FleetView::releasedValue(Token, Row ? Row->Earlier
                                                : jobs::OwnerHistory())});
  Ctx_.Store.commit(std::move(T), StoreTimeout,
                    [this, Pool, Done](PartAnswer Answer) {
                      Ctx_.Loop.post([Pool, Done, Answer] {
                        logEvent("pool_released",
                                 {{"pool", Pool},
                                  {"outcome", store::nameOf(Answer.Outcome)}});
                        Done();
                      });
                    });
}

void Ownership::shutDown(std::function<void()> Done) {
  Leaving_ = true;
  writeHeartbeat();
  auto Left = std::make_shared<std::size_t>(Controllers_.size() + 1);
  auto One = [Left, Done = std::move(Done)] {
    if (--*Left == 0)
      Done();
  };
  auto Controllers = std::move(Controllers_);
  Controllers_.clear();
  for (const auto &[Pool, Controller] : Controllers) {
    std::uint64_t Token = Controller->token();
    auto Release = [this, Pool = Pool, Controller = Controller, Token, One] {
      Controller->drop();
      release(Pool, Token, One);
    };
    if (Controller->isLoaded())
      Controller->shutDown(Release);
    else
      Release();
  }
  if (FleetToken_ != 0)
    release(rows::FleetControl, std::exchange(FleetToken_, 0), One);
  else
    One();
}

} // namespace comfreydeck::dispatch
