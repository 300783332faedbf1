#include "dispatch/Ownership.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;
using store::PartAnswer;
using store::PartOutcome;

namespace {

/// An entry whose heartbeat is older than two periods is asked whether it still
/// works on its pools; it loses them if it doesn't answer.
constexpr milliseconds BeatPeriod(700);
constexpr milliseconds DeadAfter(1600);
/// Pause before an owner that has answered is asked again.
constexpr milliseconds AskPause(600);
constexpr milliseconds StoreLimit(1500);
/// A heartbeat that is not answered in time is written again within its period,
/// so that a lost answer doesn't look like a dead entry.
constexpr milliseconds BeatLimit(500);
constexpr milliseconds TakeRetry(200);
/// How long a starting entry waits for the others to register before it takes
/// pools.
constexpr milliseconds GatherTime(1000);
/// Pause before a lost pool may be taken again: its new owner may not have
/// registered yet.
constexpr milliseconds LostPause(1500);
/// Pause between reads of the job table, by which owners find jobs that no
/// entry pushed to them.
constexpr milliseconds JobsPause(400);

} // namespace

Ownership::Ownership(Context &Ctx, FleetView &View)
    : Ctx_(Ctx), View_(View),
      Jobs_(Ctx.Loop, Ctx.Store,
            {rows::Jobs, {}, JobsPause, [] { return rows::jobParts(); }},
            [this](const auto &Rows, bool) {
              for (const store::PartRow &Row : Rows)
                takeJobRow(Row);
            }) {}

void Ownership::start() {
  StartedAt_ = bootNow();
  beat();
}

std::shared_ptr<PoolKeeper> Ownership::keeper(const std::string &Pool) const {
  auto It = Keepers_.find(Pool);
  bool Usable = It != Keepers_.end() && It->second->isLoaded();
  return Usable ? It->second : nullptr;
}

/// Heartbeats are written until the process ends; those during shutdown are
/// marked as leaving.
void Ownership::beat() {
  Ctx_.Loop.after(BeatPeriod, [this] { beat(); });
  writeBeat();
}

jobs::EntryView Ownership::self() const {
  jobs::EntryView Me;
  Me.Name = Ctx_.Settings.Name;
  Me.Life = Ctx_.Life;
  Me.PeerAddress = Ctx_.Settings.Peers;
  Me.DataCentre = Ctx_.Settings.DataCentre;
  Me.Leaving = Leaving_;
  if (Ctx_.Settings.Cores > 0 && Ctx_.Settings.LinkMbps > 0)
    Me.Capacity = jobs::capacityOf(Ctx_.Settings.Cores, Ctx_.Settings.LinkMbps);
  return Me;
}

void Ownership::writeBeat() {
  if (BeatInFlight_)
    return;
  BeatInFlight_ = true;
  jobs::EntryView Me = self();
  store::PartTransaction T;
  T.Puts.push_back({{rows::Control, "", rows::EntryPrefix + Me.Name},
                    FleetView::entryValue(Me, ++Beats_)});
  Ctx_.Store.commit(std::move(T), BeatLimit, [this](PartAnswer Answer) {
    Ctx_.Loop.post([this, Outcome = Answer.Outcome] {
      BeatInFlight_ = false;
      Registered_ = Registered_ || Outcome == PartOutcome::Ok;
    });
  });
}

void Ownership::review() {
  dropForeign();
  choose();
  View_.followWorkersClosely(!Keepers_.empty());
}

void Ownership::refreshKeepers() {
  for (const auto &[Pool, Keeper] : Keepers_)
    if (Keeper->isLoaded())
      Keeper->refresh();
}

/// Drops pools whose rows name another owner.
void Ownership::dropForeign() {
  std::vector<std::string> Foreign;
  for (const auto &[Pool, Keeper] : Keepers_) {
    const jobs::PoolView *Row = View_.pool(Pool);
    if (Row && Row->Version > Keeper->token())
      Foreign.push_back(Pool);
  }
  for (const std::string &Pool : Foreign) {
    logEvent("pool_lost", {{"pool", Pool}, {"reason", "taken by another"}});
    LostAt_[Pool] = bootNow();
    Keepers_[Pool]->drop();
    Keepers_.erase(Pool);
  }
  const jobs::PoolView *Fleet = View_.pool(rows::FleetDuty);
  if (Fleet && Fleet->Version > FleetToken_)
    FleetToken_ = 0;
}

void Ownership::choose() {
  core::TimePoint Now = bootNow();
  if (!View_.isSynced() || !Registered_ || Leaving_)
    return;
  takeBack();
  if (Now - StartedAt_ < GatherTime)
    return;
  std::vector<jobs::EntryView> Entries = View_.entries();
  std::vector<jobs::PoolView> Pools = View_.pools();
  // When the whole fleet starts, the first entries must not take all pools.
  if (Entries.size() > MostEntries_) {
    MostEntries_ = Entries.size();
    NewestSeenAt_ = Now;
  }
  bool Gathered = jobs::hasGathered(StartedAt_, NewestSeenAt_, Now);
  for (const std::string &Pool : jobs::poolsToTake(
           self(), Entries, Pools, View_.controlCurrentAt(), Now, DeadAfter)) {
    if (wasJustLost(Pool) || isOwned(Pool))
      continue;
    const jobs::PoolView *Row = View_.pool(Pool);
    bool NeverOwned = !Row || Row->Version == 0;
    if (NeverOwned && !Gathered)
      continue;
    if (Row && mayAnswer(*Row))
      askOwner(Pool);
    else
      take(Pool);
  }
  std::set<std::string> WorkedOn;
  for (const jobs::PoolView &Pool : Pools)
    if (isOwned(Pool.Pool))
      WorkedOn.insert(Pool.Pool);
  for (const std::string &Pool : jobs::poolsInNameOnly(self(), Pools, WorkedOn))
    if (!wasJustLost(Pool))
      take(Pool);
}

bool Ownership::wasJustLost(const std::string &Pool) const {
  auto Lost = LostAt_.find(Pool);
  return Lost != LostAt_.end() && bootNow() - Lost->second < LostPause;
}

/// Takes pools whose owner row names an earlier process of this entry, which no
/// longer runs.
void Ownership::takeBack() {
  for (const jobs::PoolView &Pool : View_.pools())
    if (Pool.OwnerName == Ctx_.Settings.Name && Pool.OwnerLife != Ctx_.Life &&
        !isOwned(Pool.Pool))
      take(Pool.Pool);
}

bool Ownership::isOwned(const std::string &Pool) const {
  return Keepers_.count(Pool) != 0 ||
         (Pool == rows::FleetDuty && FleetToken_ != 0);
}

/// Whether the process that the row names may still be running.
bool Ownership::mayAnswer(const jobs::PoolView &Pool) const {
  const jobs::EntryView *Owner = View_.entry(Pool.OwnerName);
  return Owner && !Owner->Leaving && Owner->Life == Pool.OwnerLife &&
         Owner->Name != Ctx_.Settings.Name;
}

/// Asks the owner before its pool is taken: heartbeats are late while the store
/// is slow, and a live owner must not lose its pool for that.
void Ownership::askOwner(const std::string &Pool) {
  auto Answered = AnsweredAt_.find(Pool);
  bool Recent =
      Answered != AnsweredAt_.end() && bootNow() - Answered->second < AskPause;
  if (Recent || !Asking_.insert(Pool).second)
    return;
  Ask_(Pool, [this, Pool](bool Works) {
    Asking_.erase(Pool);
    if (Works) {
      AnsweredAt_[Pool] = bootNow();
      logEvent("owner_answered", {{"pool", Pool}});
    } else if (!Leaving_ && !isOwned(Pool)) {
      take(Pool);
    }
  });
}

/// Token of the row's owner if it gives no more orders, because it released the
/// pool or its process has ended; zero otherwise. Earlier owners may still give
/// orders if this one had not settled.
std::uint64_t Ownership::endedOwner(const jobs::PoolView *Row) const {
  if (!Row)
    return 0;
  if (Row->OwnerName.empty())
    return Row->GivenBy;
  bool Mine =
      Row->OwnerName == Ctx_.Settings.Name && Row->OwnerLife != Ctx_.Life;
  return Mine ? Row->Version : 0;
}

void Ownership::take(const std::string &Pool) {
  if (Taking_.count(Pool) != 0)
    return;
  Taking_.insert(Pool);
  const jobs::PoolView *Row = View_.pool(Pool);
  store::PartKey Key = {rows::Control, rows::poolPart(Pool), rows::OwnerKey};
  store::PartTransaction T;
  T.Conditions.push_back({Key, Row ? Row->Version : 0});
  T.Puts.push_back({Key, FleetView::ownerValue(Ctx_.Settings.Name, Ctx_.Life)});
  PoolTaking Taking{Pool, 0, bootNow(), endedOwner(Row)};
  Ctx_.Store.commit(
      std::move(T), StoreLimit, [this, Taking](PartAnswer Answer) {
        Ctx_.Loop.post([this, Taking, Answer = std::move(Answer)] {
          if (Answer.Outcome == PartOutcome::Ok)
            taken(Taking, Answer.Version);
          else if (Answer.Outcome == PartOutcome::NotDone)
            Taking_.erase(Taking.Pool);
          else
            checkTake(Taking);
        });
      });
}

/// Reads the owner row after an attempt that was not answered or lost to
/// another write.
void Ownership::checkTake(const PoolTaking &Taking) {
  PoolTaking Tried = Taking;
  // Another entry may have owned the pool in the meantime.
  Tried.EndedOwner = 0;
  store::PartRange Range = {rows::Control, rows::poolPart(Tried.Pool),
                            rows::OwnerKey, ""};
  Ctx_.Store.read(Range, [this, Tried](PartAnswer Answer) {
    Ctx_.Loop.post([this, Tried, Answer = std::move(Answer)] {
      if (Answer.Outcome != PartOutcome::Ok) {
        Ctx_.Loop.after(TakeRetry, [this, Tried] { checkTake(Tried); });
        return;
      }
      for (const store::PartRow &Row : Answer.Rows) {
        if (Row.Where.Key != rows::OwnerKey)
          continue;
        jobs::PoolView Owner = FleetView::decodeOwner(Row);
        View_.setPool(Owner);
        bool Mine = Owner.OwnerName == Ctx_.Settings.Name &&
                    Owner.OwnerLife == Ctx_.Life;
        if (Mine) {
          taken(Tried, Row.Version);
          return;
        }
      }
      Taking_.erase(Tried.Pool);
    });
  });
}

void Ownership::taken(PoolTaking Taking, std::uint64_t Token) {
  Taking.Token = Token;
  const std::string &Pool = Taking.Pool;
  Taking_.erase(Pool);
  const jobs::PoolView *Before = View_.pool(Pool);
  bool TakenBack = Before && Before->OwnerName == Ctx_.Settings.Name;
  View_.setPool({Pool, Ctx_.Settings.Name, Ctx_.Life, Token});
  logEvent("pool_taken", {{"pool", Pool}, {"token", Token}});
  if (Pool == rows::FleetDuty) {
    FleetToken_ = Token;
    FleetTakenBack_ = TakenBack;
    return;
  }
  auto Lost = [this](const std::string &Name) {
    LostAt_[Name] = bootNow();
    Keepers_.erase(Name);
  };
  auto Old = Keepers_.find(Pool);
  if (Old != Keepers_.end())
    Old->second->drop();
  auto Keeper =
      std::make_shared<PoolKeeper>(Ctx_, View_, Jobs_, Taking, std::move(Lost));
  Keepers_[Pool] = Keeper;
  View_.followWorkersClosely(true);
  // An entry without pools reads the worker list rarely, so its copy may be
  // old.
  View_.whenWorkersRead([this, Keeper] {
    Keeper->load([this](std::uint64_t Version) { follow(Version); });
  });
}

/// Skips decoding jobs of pools that other entries own.
void Ownership::takeJobRow(const store::PartRow &Row) {
  std::string_view Named = codec::poolOf(Row.Value);
  for (const auto &[Pool, Keeper] : Keepers_)
    if (Named.empty() || Named == Pool)
      Keeper->takeJobRow(Row);
}

void Ownership::follow(std::uint64_t Version) {
  if (!Jobs_.isStarted())
    Jobs_.startAt(Version);
}

void Ownership::release(const std::string &Pool, std::uint64_t Token,
                        std::function<void()> Done) {
  store::PartKey Key = {rows::Control, rows::poolPart(Pool), rows::OwnerKey};
  store::PartTransaction T;
  T.Conditions.push_back({Key, Token});
  T.Puts.push_back({Key, FleetView::givenValue(Token)});
  Ctx_.Store.commit(std::move(T), StoreLimit,
                    [this, Pool, Done](PartAnswer Answer) {
                      Ctx_.Loop.post([Pool, Done, Answer] {
                        logEvent("pool_released",
                                 {{"pool", Pool},
                                  {"outcome", store::nameOf(Answer.Outcome)}});
                        Done();
                      });
                    });
}

void Ownership::leave(std::function<void()> Done) {
  Leaving_ = true;
  writeBeat();
  auto Left = std::make_shared<std::size_t>(Keepers_.size() + 1);
  auto One = [Left, Done = std::move(Done)] {
    if (--*Left == 0)
      Done();
  };
  auto Keepers = std::move(Keepers_);
  Keepers_.clear();
  for (const auto &[Pool, Keeper] : Keepers) {
    std::uint64_t Token = Keeper->token();
    auto Release = [this, Pool = Pool, Keeper = Keeper, Token, One] {
      Keeper->drop();
      release(Pool, Token, One);
    };
    if (Keeper->isLoaded())
      Keeper->leave(Release);
    else
      Release();
  }
  if (FleetToken_ != 0)
    release(rows::FleetDuty, std::exchange(FleetToken_, 0), One);
  else
    One();
}

} // namespace comfreydeck::dispatch
