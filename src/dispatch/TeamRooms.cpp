#include "dispatch/TeamRooms.h"

#include "dispatch/EventLog.h"
#include "jobs/TeamAllotment.h"

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;
using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Bounds how long a team's first task waits for its allotment.
constexpr milliseconds TurnPeriod(80);
constexpr milliseconds StoreLimit(1500);

bool isBounded(const core::Resources &Limit) {
  return Limit.MilliCpus > 0 || Limit.MemoryMb > 0 || Limit.Accelerators > 0;
}

} // namespace

TeamRooms::TeamRooms(Context &Ctx, FleetView &View, Ownership &Owners)
    : Ctx_(Ctx), View_(View), Owners_(Owners) {}

void TeamRooms::start() { turn(); }

void TeamRooms::turn() {
  Ctx_.Loop.after(TurnPeriod, [this] { turn(); });
  auto Config = View_.config();
  if (!Config || !View_.isSynced())
    return;
  apply();
  for (const auto &[Name, Team] : Config->Teams)
    for (const auto &[Pool, Keeper] : Owners_.keepers())
      if (isBounded(Team.UpperLimit) && Keeper->isLoaded())
        adjust(Team, *Keeper);
}

void TeamRooms::apply() {
  auto Config = View_.config();
  if (!Config)
    return;
  for (const auto &[Pool, Keeper] : Owners_.keepers()) {
    std::map<std::string, core::Resources> Room;
    for (const auto &[Name, Team] : Config->Teams) {
      if (!isBounded(Team.UpperLimit))
        continue;
      auto Stored = View_.allotments().find(Name);
      static const jobs::PoolParts None;
      const jobs::PoolParts &Parts =
          Stored == View_.allotments().end() ? None : Stored->second.ByPool;
      Room[Name] = jobs::roomOf(Pool, Parts, Team.UpperLimit);
    }
    Keeper->setTeamRoom(std::move(Room));
  }
}

void TeamRooms::adjust(const jobs::Team &Team, const PoolKeeper &Keeper) {
  if (Writing_.count(Team.Name) != 0)
    return;
  TeamAllotment Next;
  auto Stored = View_.allotments().find(Team.Name);
  if (Stored != View_.allotments().end())
    Next = Stored->second;
  const std::string &Pool = Keeper.state().pool();
  core::Resources Wanted = jobs::wantedPart(
      Pool, Next.ByPool, Team.UpperLimit, Keeper.state().teamUse(Team.Name),
      Keeper.state().teamDemand(Team.Name));
  if (Wanted == Next.ByPool[Pool])
    return;
  Next.ByPool[Pool] = Wanted;
  Writing_.insert(Team.Name);
  store::PartKey Key = {rows::Control, rows::LimitsPart, Team.Name};
  store::PartTransaction T;
  T.Conditions.push_back({Key, Next.Version});
  T.Puts.push_back({Key, FleetView::allotmentValue(Next)});
  Ctx_.Store.commit(
      std::move(T), StoreLimit,
      [this, Name = Team.Name, Next](PartAnswer Answer) {
        Ctx_.Loop.post([this, Name, Next, Answer = std::move(Answer)] {
          Writing_.erase(Name);
          if (Answer.Outcome == PartOutcome::Ok) {
            TeamAllotment Mine = Next;
            Mine.Version = Answer.Version;
            View_.setAllotment(Name, Mine);
            apply();
          }
          for (const store::PartRow &Row : Answer.Rows)
            View_.setAllotment(Name, FleetView::decodeAllotment(Row));
        });
      });
}

} // namespace comfreydeck::dispatch
