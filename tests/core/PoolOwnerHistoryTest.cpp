#include "core/PoolOwner.h"
#include "standins/NaiveScheduler.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::core;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{Duration(1h)};
constexpr std::uint64_t Seeds = 200;
constexpr int Steps = 300;

std::uint32_t draw(Rng &Random, std::uint32_t Least, std::uint32_t Most) {
  return std::uniform_int_distribution<std::uint32_t>(Least, Most)(Random);
}

/// One random history of a pool.
struct History {
  explicit History(std::uint64_t Seed) : Random(Seed) {
    for (std::uint32_t N = 1; N <= 6; ++N)
      Workers.push_back(
          {{N}, {N % 3}, {N / 2}, draw(Random, 1, 8), {8000, 8192, 2}, true});
    setWorkers(Owner, Workers);
    for (std::uint32_t N = 1; N <= 5; ++N)
      setTeam(Owner, {N}, draw(Random, 1, 5), draw(Random, 0, 12), Now);
  }

  Rng Random;
  TimePoint Now = Start;
  PoolOwner Owner;
  std::vector<PoolWorker> Workers;
  std::uint64_t NextNumber = 1;

  Demand newDemand() {
    Demand D;
    D.Id = {{1}, NextNumber++};
    D.Team = {draw(Random, 1, 5)};
    D.Queue = {draw(Random, 1, 3)};
    D.Size = {draw(Random, 0, 4) * 1000, draw(Random, 0, 2) * 1024,
              draw(Random, 0, 9) == 0 ? 1U : 0U};
    D.Run = std::chrono::milliseconds(draw(Random, 0, 3000));
    D.Arrived = Now;
    D.Deadline = Now + std::chrono::milliseconds(draw(Random, 1, 20000));
    D.Urgent = draw(Random, 0, 9) == 0;
    return D;
  }

  DemandId someOf(auto &Map) {
    auto It = Map.begin();
    std::advance(It,
                 draw(Random, 0, static_cast<std::uint32_t>(Map.size() - 1)));
    return It->first;
  }

  void step() {
    Now += std::chrono::milliseconds(draw(Random, 0, 200));
    switch (draw(Random, 0, 7)) {
    case 0:
    case 1:
    case 2:
    case 3:
      enqueue(Owner, newDemand(), Now);
      break;
    case 4:
    case 5:
      if (!Owner.Running.empty())
        finish(Owner, someOf(Owner.Running),
               std::chrono::milliseconds(draw(Random, 0, 9000)), Now);
      break;
    case 6:
      if (!Owner.Waiting.empty())
        cancel(Owner, someOf(Owner.Waiting));
      break;
    case 7:
      Workers[draw(Random, 0, 5)].Open = draw(Random, 0, 3) != 0;
      setWorkers(Owner, Workers);
      setTeam(Owner, {draw(Random, 1, 5)}, draw(Random, 1, 5),
              draw(Random, 0, 12), Now);
      break;
    }
  }
};

struct Use {
  std::uint32_t Slots = 0;
  Resources Size;
};

/// Recomputes the use of each worker from the running tasks alone.
std::map<WorkerId, Use> usesOf(const PoolOwner &Owner) {
  std::map<WorkerId, Use> Uses;
  for (const auto &[Id, Task] : Owner.Running) {
    Use &U = Uses[Task.Worker];
    ++U.Slots;
    U.Size.MilliCpus += Task.Size.MilliCpus;
    U.Size.MemoryMb += Task.Size.MemoryMb;
    U.Size.Accelerators += Task.Size.Accelerators;
  }
  return Uses;
}

void checkBounds(const PoolOwner &Owner, const PoolDecisions &Decided) {
  std::map<WorkerId, Use> Uses = usesOf(Owner);
  for (const auto &[Id, W] : Owner.Workers.Workers) {
    CHECK(Uses[Id].Slots <= W.Worker.Slots);
    CHECK(fits(Uses[Id].Size, W.Worker.Total));
    CHECK(Uses[Id].Slots == W.UsedSlots);
  }
  std::map<TeamId, std::uint32_t> Running;
  for (const auto &[Id, Task] : Owner.Running)
    ++Running[Task.Team];
  for (const Grant &G : Decided.Grants) {
    CHECK(Running[G.Team] <= Owner.Teams.at(G.Team).Allotment);
    CHECK(Owner.Workers.Workers.at(G.Worker).Worker.Open);
  }
}

/// No demand may wait while its team's allotment and an unreserved worker have
/// room for it.
void checkWorkConserving(const PoolOwner &Owner) {
  std::set<WorkerId> Kept;
  for (const Reservation &R : Owner.Reserved)
    Kept.insert(R.Worker);
  for (const auto &[Id, W] : Owner.Waiting) {
    const OwnedTeam &Team = Owner.Teams.at(W.Asked.Team);
    if (Team.Running >= Team.Allotment)
      continue;
    for (const auto &[Worker, Indexed] : Owner.Workers.Workers)
      CHECK_FALSE((!Kept.contains(Worker) && hasRoom(Indexed, W.Planned)));
  }
}

} // namespace

TEST_CASE("random histories keep every bound and leave no slot idle") {
  MESSAGE("seeds 1 to " << Seeds << ", " << Steps << " steps each");
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    History H(Seed);
    for (int Step = 0; Step < Steps; ++Step) {
      H.step();
      PoolDecisions Decided = decide(H.Owner, H.Now, H.Now + 2s);
      checkBounds(H.Owner, Decided);
      checkWorkConserving(H.Owner);
    }
  }
}

namespace {

/// The owner and the naive scheduler with the same uniform demands.
struct SchedulerPair {
  PoolOwner Owner;
  standins::NaiveScheduler Naive;
  std::uint64_t NextNumber = 1;

  SchedulerPair(Rng &Random, std::uint32_t TeamCount) {
    std::vector<PoolWorker> Workers;
    for (std::uint32_t N = 1; N <= 4; ++N)
      Workers.push_back({{N}, {N % 2}, {N}, draw(Random, 1, 6), {}, true});
    setWorkers(Owner, Workers);
    for (const PoolWorker &W : Workers)
      Naive.Slots += W.Slots;
    for (std::uint32_t N = 1; N <= TeamCount; ++N) {
      std::uint32_t Share = draw(Random, 1, 5);
      std::uint32_t Limit = draw(Random, 1, 20);
      setTeam(Owner, {N}, Share, Limit, Start);
      Naive.Teams[{N}] = {Share, Limit, 0, 0};
    }
  }

  void ask(TeamId Team, TimePoint Now, Duration Until) {
    Demand D;
    D.Id = {{1}, NextNumber++};
    D.Team = Team;
    D.Queue = {1};
    D.Run = 1s;
    D.Arrived = Now;
    D.Deadline = Now + Until;
    enqueue(Owner, D, Now);
    Naive.Waiting.push_back(D);
  }

  void endAll(TimePoint Now) {
    std::vector<DemandId> Ended;
    for (const auto &[Id, Task] : Owner.Running)
      Ended.push_back(Id);
    for (DemandId Id : Ended)
      finish(Owner, Id, 1s, Now);
    for (auto &[Id, Team] : Naive.Teams)
      while (Team.Running > 0)
        standins::naiveFinish(Naive, Id);
  }
};

std::set<DemandId> idsOf(const std::vector<Grant> &Grants) {
  std::set<DemandId> Ids;
  for (const Grant &G : Grants)
    Ids.insert(G.Id);
  return Ids;
}

std::set<DemandId> idsOf(const std::vector<Demand> &Started) {
  std::set<DemandId> Ids;
  for (const Demand &D : Started)
    Ids.insert(D.Id);
  return Ids;
}

} // namespace

TEST_CASE("one team: the naive scheduler starts the same demands") {
  MESSAGE("seeds 1 to " << Seeds);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    Rng Random(Seed);
    SchedulerPair P(Random, 1);
    for (int Round = 0; Round < 20; ++Round) {
      TimePoint Now = Start + std::chrono::seconds(Round);
      for (std::uint32_t N = draw(Random, 0, 20); N > 0; --N)
        P.ask({1}, Now, std::chrono::milliseconds(draw(Random, 1, 20000)));
      CHECK(idsOf(decide(P.Owner, Now, Now + 2s).Grants) ==
            idsOf(standins::naiveDecide(P.Naive, Now)));
      P.endAll(Now + 1s);
    }
  }
}

TEST_CASE("teams that always wait: the naive scheduler starts as many tasks "
          "of each") {
  MESSAGE("seeds 1 to " << Seeds);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    Rng Random(Seed);
    SchedulerPair P(Random, 5);
    for (std::uint32_t Team = 1; Team <= 5; ++Team)
      for (int N = 0; N < 450; ++N)
        P.ask({Team}, Start, 1h);
    std::map<TeamId, std::int64_t> Lead;
    for (int Round = 0; Round < 20; ++Round) {
      TimePoint Now = Start + std::chrono::seconds(Round);
      auto Grants = decide(P.Owner, Now, Now + 2s).Grants;
      auto Started = standins::naiveDecide(P.Naive, Now);
      CHECK(Grants.size() == Started.size());
      for (const Grant &G : Grants)
        ++Lead[G.Team];
      for (const Demand &D : Started)
        --Lead[D.Team];
      // Ties are broken differently, by at most one task of each team.
      for (const auto &[Team, Count] : Lead)
        CHECK(std::abs(Count) <= 1);
      P.endAll(Now + 1s);
    }
  }
}
