#include "dispatch/TeamAllotments.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;
using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Bounds how long a team's first task waits for its allotment.
constexpr milliseconds TickPeriod(80);
constexpr milliseconds StoreTimeout(1500);
/// How long a pool lacks what it needs before it says so in the row; with runs
/// that end all the time none does.
constexpr milliseconds LackTime(800);

bool isBounded(const core::Resources &Limit) {
  return Limit.MilliCpus > 0 || Limit.MemoryMb > 0 || Limit.Accelerators > 0;
}

} // namespace

TeamAllotments::TeamAllotments(Context &Ctx, FleetView &View, Ownership &Owners)
    : Ctx_(Ctx), View_(View), Owners_(Owners) {}

void TeamAllotments::start() { tick(); }

void TeamAllotments::tick() {
  Ctx_.Loop.after(TickPeriod, [this] { tick(); });
  auto Config = View_.config();
  if (!Config || !View_.isSynced())
    return;
  apply();
  bool Lacking = false;
  for (const auto &[Name, Team] : Config->Teams)
    for (const auto &[Pool, Controller] : Owners_.controllers())
      if (isBounded(Team.UpperLimit) && Controller->isLoaded())
        Lacking = !adjust(Team, *Controller) || Lacking;
  View_.followControlClosely(Lacking);
}

void TeamAllotments::apply() {
  auto Config = View_.config();
  if (!Config)
    return;
  for (const auto &[Pool, Controller] : Owners_.controllers()) {
    std::map<std::string, core::Resources> Room;
    for (const auto &[Name, Team] : Config->Teams) {
      if (!isBounded(Team.UpperLimit))
        continue;
      auto Stored = View_.allotments().find(Name);
      jobs::PoolParts Parts;
      if (Stored != View_.allotments().end()) {
        Parts = Stored->second.ByPool;
        Parts[Pool] = usablePart(Name, Pool, Stored->second);
      }
      Room[Name] = jobs::roomOf(Pool, Parts, Team.UpperLimit);
    }
    Controller->setTeamRoom(std::move(Room));
  }
}

/// The pool's part without what a write of this entry may have given away.
core::Resources TeamAllotments::usablePart(const std::string &Team,
                                           const std::string &Pool,
                                           const TeamAllotment &Stored) const {
  auto Part = Stored.ByPool.find(Pool);
  if (Part == Stored.ByPool.end())
    return {};
  auto Lowered = Given_.find({Team, Pool});
  return isInDoubt(Team, Pool, Stored)
             ? jobs::smallerOf(Part->second, Lowered->second.Part)
             : Part->second;
}

/// Whether a write that replaces this row may have applied.
bool TeamAllotments::isInDoubt(const std::string &Team, const std::string &Pool,
                               const TeamAllotment &Stored) const {
  auto Lowered = Given_.find({Team, Pool});
  return Lowered != Given_.end() && Lowered->second.Version == Stored.Version;
}

/// The needs of pools that there are.
jobs::PoolNeeds
TeamAllotments::currentNeeds(const TeamAllotment &Stored) const {
  jobs::PoolNeeds Needs = Stored.Needs;
  auto Config = View_.config();
  std::erase_if(Needs, [&](const auto &Item) {
    return !jobs::findPool(*Config, Item.first);
  });
  return Needs;
}

/// The part that the pool lacks for long enough to say so.
std::optional<core::Resources> TeamAllotments::neededPart(
    const jobs::Team &Team, const PoolController &Controller,
    const core::Resources &Part, const core::Resources &Demand) {
  const jobs::PoolState &State = Controller.state();
  core::Resources Use = State.teamUse(Team.Name);
  std::optional<core::Resources> Needed;
  if (State.isSettled() && !jobs::covers(Part, Team.UpperLimit, Use, Demand))
    Needed = jobs::neededPart(Part, Team.UpperLimit, Use,
                              State.teamUnits(Team.Name, Ctx_.Clock.nowMs()));
  core::TimePoint Now = bootNow();
  std::pair<std::string, std::string> Key = {Team.Name, State.pool()};
  if (!Needed)
    LacksSince_.erase(Key);
  else if (Now - LacksSince_.try_emplace(Key, Now).first->second < LackTime)
    Needed.reset();
  return Needed;
}

/// Returns false if the team's tasks need more than the pool can get now.
bool TeamAllotments::adjust(const jobs::Team &Team,
                            const PoolController &Controller) {
  if (PendingWrites_.count(Team.Name) != 0)
    return true;
  TeamAllotment Next;
  auto Stored = View_.allotments().find(Team.Name);
  if (Stored != View_.allotments().end())
    Next = Stored->second;
  const jobs::PoolState &State = Controller.state();
  const std::string &Pool = State.pool();
  core::Resources Use = State.teamUse(Team.Name);
  core::Resources Demand = State.teamDemand(Team.Name, Ctx_.Clock.nowMs());
  core::Resources Held = Next.ByPool[Pool];
  jobs::TurnWatch &Watch = Turns_[Team.Name];
  jobs::PoolNeeds Needs = currentNeeds(Next);
  jobs::watchTurn(Watch, Needs, bootNow());
  core::Resources Wanted =
      jobs::wantedPart(Pool, Next.ByPool, Team.UpperLimit, Use, Demand);
  Wanted = jobs::leaveToTurn(Pool, Wanted, Next.ByPool, Needs, Watch,
                             Team.UpperLimit, Use);
  if (jobs::isOthersTurn(Pool, Needs, Watch))
    Wanted = jobs::leaveUnusable(
        Pool, Wanted, Next.ByPool, Needs, Watch, Team.UpperLimit, Use,
        State.teamStartable(Team.Name, Ctx_.Clock.nowMs()));
  // Runs of earlier owners that are not known yet count as well.
  if (!State.isSettled())
    Wanted = jobs::largerOf(Wanted, Held);
  jobs::PoolNeeds Before = Next.Needs;
  if (auto Needed = neededPart(Team, Controller, Held, Demand))
    Next.Needs[Pool] = jobs::needToStore(Pool, Needs, Watch, *Needed);
  else
    Next.Needs.erase(Pool);
  // A newer row tells what became of a write without an answer.
  if (Wanted == Held && Next.Needs == Before &&
      !isInDoubt(Team.Name, Pool, Next))
    return jobs::covers(Wanted, Team.UpperLimit, Use, Demand);
  Next.ByPool[Pool] = Wanted;
  write(Team.Name, Pool, Next);
  return true;
}

void TeamAllotments::write(const std::string &Team, const std::string &Pool,
                           const TeamAllotment &Next) {
  PendingWrites_.insert(Team);
  // Nothing starts with what is given away from here on.
  Given &Lowered = Given_[{Team, Pool}];
  if (Lowered.Version != Next.Version)
    Lowered = {Next.ByPool.at(Pool), Next.Version};
  // An earlier write for the same version may still apply.
  Lowered.Part = jobs::smallerOf(Lowered.Part, Next.ByPool.at(Pool));
  apply();
  store::PartKey Key = {rows::Control, rows::LimitsPart, Team};
  store::PartTransaction T;
  T.Conditions.push_back({Key, Next.Version});
  T.Puts.push_back({Key, FleetView::allotmentValue(Next)});
  Ctx_.Store.commit(
      std::move(T), StoreTimeout, [this, Team, Pool, Next](PartAnswer Answer) {
        Ctx_.Loop.post([this, Team, Pool, Next, Answer = std::move(Answer)] {
          onWritten(Team, Pool, Next, Answer);
        });
      });
}

void TeamAllotments::onWritten(const std::string &Team, const std::string &Pool,
                               const TeamAllotment &Next,
                               const PartAnswer &Answer) {
  PendingWrites_.erase(Team);
  auto Lowered = Given_.find({Team, Pool});
  if (Answer.Outcome == PartOutcome::Unknown)
    Lowered->second.Unsure = true;
  if (Answer.Outcome == PartOutcome::NotDone && !Lowered->second.Unsure)
    Given_.erase(Lowered);
  if (Answer.Outcome == PartOutcome::Ok) {
    TeamAllotment Mine = Next;
    Mine.Version = Answer.Version;
    View_.setAllotment(Team, Mine);
    apply();
  }
  for (const store::PartRow &Row : Answer.Rows)
    View_.applyAllotmentRow(Team, Row);
}

} // namespace comfreydeck::dispatch
