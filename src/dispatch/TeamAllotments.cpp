#include "dispatch/TeamAllotments.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"
#include "jobs/TeamAllotment.h"

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;
using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Bounds how long a team's first task waits for its allotment.
constexpr milliseconds TickPeriod(80);
constexpr milliseconds StoreTimeout(1500);

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
      static const jobs::PoolParts None;
      const jobs::PoolParts &Parts =
          Stored == View_.allotments().end() ? None : Stored->second.ByPool;
      Room[Name] = jobs::roomOf(Pool, Parts, Team.UpperLimit);
    }
    Controller->setTeamRoom(std::move(Room));
  }
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
  const std::string &Pool = Controller.state().pool();
  core::Resources Use = Controller.state().teamUse(Team.Name);
  core::Resources Demand = Controller.state().teamDemand(Team.Name, wallMs());
  core::Resources Wanted =
      jobs::wantedPart(Pool, Next.ByPool, Team.UpperLimit, Use, Demand);
  // Runs of earlier owners that are not known yet count as well.
  if (!Controller.state().isSettled())
    Wanted = jobs::largerOf(Wanted, Next.ByPool[Pool]);
  if (Wanted == Next.ByPool[Pool])
    return jobs::covers(Wanted, Team.UpperLimit, Use, Demand);
  Next.ByPool[Pool] = Wanted;
  PendingWrites_.insert(Team.Name);
  store::PartKey Key = {rows::Control, rows::LimitsPart, Team.Name};
  store::PartTransaction T;
  T.Conditions.push_back({Key, Next.Version});
  T.Puts.push_back({Key, FleetView::allotmentValue(Next)});
  Ctx_.Store.commit(std::move(T), StoreTimeout,
                    [this, Name = Team.Name, Next](PartAnswer Answer) {
                      Ctx_.Loop.post(
                          [this, Name, Next, Answer = std::move(Answer)] {
                            PendingWrites_.erase(Name);
                            if (Answer.Outcome == PartOutcome::Ok) {
                              TeamAllotment Mine = Next;
                              Mine.Version = Answer.Version;
                              View_.setAllotment(Name, Mine);
                              apply();
                            }
                            for (const store::PartRow &Row : Answer.Rows)
                              View_.applyAllotmentRow(Name, Row);
                          });
                    });
  return true;
}

} // namespace comfreydeck::dispatch
