#include "jobs/TeamAllotment.h"

#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

TEST_CASE("the pools' parts never exceed the team's limit") {
  constexpr std::uint32_t Limit = 1000;
  for (unsigned Seed = 0; Seed < 200; ++Seed) {
    std::mt19937 Rng(Seed);
    std::uniform_int_distribution<std::uint32_t> Any(0, 800);
    PoolParts Parts;
    for (int Turn = 0; Turn < 100; ++Turn) {
      std::string Pool(1, static_cast<char>('a' + Rng() % 4));
      core::Resources Use;
      Use.MilliCpus = std::min(Any(Rng), Parts[Pool].MilliCpus);
      core::Resources Demand{Any(Rng), 0, 0};
      Parts[Pool] = wantedPart(Pool, Parts, {Limit, 0, 0}, Use, Demand);
      CHECK(Parts[Pool].MilliCpus >= Use.MilliCpus);
      std::uint64_t Sum = 0;
      for (const auto &[Name, Part] : Parts)
        Sum += Part.MilliCpus;
      REQUIRE(Sum <= Limit);
    }
  }
}

TEST_CASE("a lowered limit reduces each pool's part proportionally") {
  PoolParts Parts = {{"a", {600, 0, 0}}, {"b", {400, 0, 0}}};
  CHECK(roomOf("a", Parts, {500, 0, 0}).MilliCpus == 300);
  CHECK(roomOf("b", Parts, {500, 0, 0}).MilliCpus == 200);
  CHECK(roomOf("a", Parts, {2000, 0, 0}).MilliCpus == 600);
}

TEST_CASE("a limit of zero means unlimited") {
  CHECK(roomOf("a", {}, {0, 0, 0}).MilliCpus == 0xffffffffU);
}

TEST_CASE(
    "a pool without tasks of a team leaves nearly all of its limit to the "
    "pool that has them") {
  constexpr std::uint32_t Limit = 1600;
  PoolParts Parts = {{"a", {}}, {"b", {}}, {"c", {}}, {"d", {}}};
  const core::Resources None;
  const core::Resources All{Limit, 0, 0};
  for (int Turn = 0; Turn < 8; ++Turn) {
    std::string Busy(1, static_cast<char>('a' + Turn % 4));
    // Each pool's tasks have ended when the next one's turn begins.
    for (auto &[Pool, Part] : Parts)
      if (Pool != Busy)
        Part = wantedPart(Pool, Parts, {Limit, 0, 0}, None, None);
    Parts[Busy] = wantedPart(Busy, Parts, {Limit, 0, 0}, None, All);
    CHECK(Parts[Busy].MilliCpus >= Limit * 3 / 4);
  }
}

TEST_CASE("a pool that lacks room of a team's limit gets what others hold and "
          "don't use") {
  constexpr std::uint32_t Limit = 1000;
  for (unsigned Seed = 0; Seed < 500; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Rng(Seed);
    PoolParts Parts;
    std::map<std::string, core::Resources> Asked;
    auto TakeTurns = [&] {
      for (int Round = 0; Round < 8; ++Round)
        for (const auto &[Pool, Wanted] : Asked)
          Parts[Pool] = wantedPart(Pool, Parts, {Limit, 0, 0}, {}, Asked[Pool]);
    };
    for (int Phase = 0; Phase < 10; ++Phase) {
      std::uint32_t Left = Limit * 3 / 4;
      for (char Name : std::string("abcde")) {
        std::uint32_t Share =
            std::uniform_int_distribution<std::uint32_t>(0, Left)(Rng);
        Asked[std::string(1, Name)] = {Share, 0, 0};
        Left -= Share;
      }
      TakeTurns();
      for (const auto &[Pool, Wanted] : Asked)
        REQUIRE(Parts[Pool].MilliCpus >= Wanted.MilliCpus);
    }
  }
}

namespace {

constexpr core::Duration TurnPeriod = std::chrono::milliseconds(100);

/// Pools that share the limit of one team by its row; each has one unit, which
/// starts as a whole or not at all.
struct SharedLimit {
  struct Pool {
    std::uint32_t Use = 0;
    /// Zero if nothing waits.
    std::uint32_t Unit = 0;
    /// Number of such units.
    std::uint32_t Count = 1;
    /// Whether its workers have room for them.
    bool HasRoom = true;
    TurnWatch Watch;
  };
  core::Resources Limit{1000, 0, 0};
  PoolParts Parts;
  PoolNeeds Needs;
  std::map<std::string, Pool> Pools;
  core::TimePoint Now{};
  /// Changes of a pool's part so far.
  std::uint32_t Changes = 0;

  /// Each pool adjusts its part in turn.
  void adjustAll() {
    Now += TurnPeriod;
    for (auto &[Name, P] : Pools)
      adjust(Name, P);
    std::uint64_t Sum = 0;
    for (const auto &[Name, Part] : Parts)
      Sum += Part.MilliCpus;
    REQUIRE(Sum <= Limit.MilliCpus);
  }
  void adjust(const std::string &Name, Pool &P) {
    core::Resources Use{P.Use, 0, 0};
    core::Resources Unit{P.Unit, 0, 0};
    core::Resources Demand{P.Unit * P.Count, 0, 0};
    std::vector<core::Resources> Units;
    if (P.Unit > 0 && P.HasRoom)
      Units.push_back(Unit);
    watchTurn(P.Watch, Needs, Now);
    std::optional<core::Resources> Need =
        neededPart(Parts[Name], Limit, Use, Units);
    core::Resources Wanted =
        leaveToTurn(Name, wantedPart(Name, Parts, Limit, Use, Demand), Parts,
                    Needs, P.Watch, Limit, Use);
    Wanted = leaveUnusable(Name, Wanted, Parts, Needs, P.Watch, Limit, Use,
                           P.HasRoom ? Demand : core::Resources());
    REQUIRE(Wanted.MilliCpus >= P.Use);
    if (Need)
      Needs[Name] = needToStore(Name, Needs, P.Watch, *Need);
    else
      Needs.erase(Name);
    Changes += Parts[Name] == Wanted ? 0 : 1;
    Parts[Name] = Wanted;
  }
  /// Starts what the pool can.
  void start(const std::string &Name) {
    Pool &P = Pools[Name];
    while (P.Count > 0 && P.HasRoom && mayStart(Name)) {
      P.Use += P.Unit;
      --P.Count;
    }
  }
  bool mayStart(const std::string &Name) {
    const Pool &P = Pools[Name];
    return P.Unit > 0 && Parts[Name].MilliCpus >= P.Use + P.Unit;
  }
};

} // namespace

TEST_CASE("of two gangs in two pools that each need more than half of their "
          "team's limit, one gets it, and then the other") {
  SharedLimit B;
  for (std::uint32_t Asked : {450U, 600U}) {
    B.Pools["a"].Unit = B.Pools["b"].Unit = Asked;
    for (int Round = 0; Round < 8; ++Round)
      B.adjustAll();
  }
  CHECK(std::max(B.Parts["a"].MilliCpus, B.Parts["b"].MilliCpus) >= 600);
  std::string First = B.mayStart("a") ? "a" : "b";
  std::string Second = B.mayStart("a") ? "b" : "a";
  B.Pools[First].Use = std::exchange(B.Pools[First].Unit, 0);
  for (int Round = 0; Round < 8; ++Round)
    B.adjustAll();
  CHECK_FALSE(B.mayStart(Second));
  B.Pools[First].Use = 0;
  for (int Round = 0; Round < 8; ++Round)
    B.adjustAll();
  CHECK(B.mayStart(Second));
}

TEST_CASE(
    "a gang that a team's limit can't hold beside lasting work of another "
    "pool keeps no smaller one from its turn") {
  SharedLimit B;
  B.Pools["c"].Use = 450;
  B.Parts["c"] = {450, 0, 0};
  B.Parts["a"] = B.Parts["b"] = {275, 0, 0};
  B.Pools["a"].Unit = 600;
  B.Pools["b"].Unit = 300;
  core::TimePoint Until = B.Now + 2 * TurnLength;
  while (B.Now < Until && !B.mayStart("b"))
    B.adjustAll();
  CHECK(B.mayStart("b"));
}

TEST_CASE("each of several pools' gangs that need more than half of their "
          "team's limit starts in time") {
  constexpr core::Duration RunTime = std::chrono::seconds(1);
  constexpr core::Duration Pause = std::chrono::seconds(2);
  /// Jobs that can run have to be done this long after the traffic's end.
  constexpr core::Duration LongestWait = std::chrono::seconds(14);
  for (unsigned Seed = 0; Seed < 50; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Rng(Seed);
    SharedLimit B;
    std::map<std::string, core::TimePoint> ChangeAt;
    for (const char *Name : {"a", "b", "c", "d"})
      ChangeAt[Name] = B.Now + std::chrono::milliseconds(Rng() % 3000);
    std::uint32_t Starts = 0;
    while (B.Now < core::TimePoint{} + std::chrono::seconds(200)) {
      B.adjustAll();
      for (auto &[Name, P] : B.Pools)
        CHECK((P.Unit == 0 || B.Now - ChangeAt[Name] < LongestWait));
      for (auto &[Name, At] : ChangeAt) {
        SharedLimit::Pool &P = B.Pools[Name];
        if (B.mayStart(Name)) {
          P.Use = std::exchange(P.Unit, 0);
          At = B.Now + RunTime;
          ++Starts;
        } else if (P.Use > 0 && B.Now >= At) {
          P.Use = 0;
          At = B.Now + Pause;
        } else if (P.Use == 0 && P.Unit == 0 && B.Now >= At) {
          P.Unit = 510 + Rng() % 490;
        }
      }
    }
    CHECK(Starts > 40);
  }
}

TEST_CASE("a turn that is told anew is seen after the row has lost all needs") {
  TurnWatch Watch;
  core::TimePoint Now{};
  PoolNeeds Needs = {{"a", {{600, 0, 0}, 7}}};
  watchTurn(Watch, Needs, Now);
  Now += TurnLength;
  watchTurn(Watch, Needs, Now);
  CHECK(Watch.Turn == 0);
  CHECK(needToStore("a", Needs, Watch, {600, 0, 0}).Turn == 8);
  Needs = {{"b", {{600, 0, 0}, 1}}};
  watchTurn(Watch, Needs, Now);
  CHECK(Watch.Turn == 1);
}

TEST_CASE("the least unit that the limit holds beside the runs is needed, and "
          "none where one can start") {
  const core::Resources Limit{1000, 0, 8};
  const std::vector<core::Resources> Units = {
      {700, 9000, 0}, {300, 100, 0}, {100, 100, 8}};
  CHECK(neededPart({200, 0, 0}, Limit, {100, 0, 0}, Units) ==
        core::Resources{400, 0, 0});
  CHECK(neededPart({400, 0, 0}, Limit, {100, 0, 0}, Units) == std::nullopt);
  CHECK(neededPart({900, 0, 0}, Limit, {900, 0, 2}, Units) == std::nullopt);
  CHECK(neededPart({0, 0, 0}, Limit, {0, 0, 0}, {}) == std::nullopt);
}

TEST_CASE("a gang asks for its whole need of its team's limit, or for nothing "
          "where the workers can't hold it") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2"});
  B.plan();
  B.report("w1");
  B.report("w2");
  auto Add = [&](unsigned Number, std::uint32_t Tasks, bool Gang) {
    JobSpec Spec = sampleJob(Number, Tasks);
    Spec.Team = "team" + std::to_string(Number);
    Spec.Steps[0].Gang = Gang;
    B.Owner.addJob(Spec, B.Now);
    return Spec.Team;
  };
  using Units = std::vector<core::Resources>;
  std::string Wide = Add(1, 9, true);
  CHECK(B.Owner.teamDemand(Wide, 0) == core::Resources{});
  CHECK(B.Owner.teamUnits(Wide, 0).empty());
  std::string Fitting = Add(2, 8, true);
  CHECK(B.Owner.teamDemand(Fitting, 0) == core::Resources{8000, 800, 0});
  CHECK(B.Owner.teamUnits(Fitting, 0) == Units{{8000, 800, 0}});
  std::string Single = Add(3, 9, false);
  CHECK(B.Owner.teamDemand(Single, 0) == core::Resources{8000, 900, 0});
  CHECK(B.Owner.teamUnits(Single, 0) == Units{{1000, 100, 0}});
}

TEST_CASE("a part covers what is asked for as far as the limit allows") {
  const core::Resources Limit{1000, 0, 0};
  CHECK(covers({600, 0, 0}, Limit, {400, 50, 0}, {200, 50, 0}));
  CHECK_FALSE(covers({600, 0, 0}, Limit, {400, 0, 0}, {201, 0, 0}));
  CHECK(covers({1000, 0, 0}, Limit, {900, 0, 0}, {500, 0, 0}));
  CHECK(largerOf({1, 5, 0}, {2, 3, 0}) == core::Resources{2, 5, 0});
}

TEST_CASE("a scheduled job keeps nothing of its team's limit from other pools "
          "before it is due") {
  constexpr std::uint32_t Limit = 8000;
  constexpr std::int64_t NowMs = 1000000;
  OwnerFixture B;
  B.listWorkers({"w1", "w2", "w3", "w4"});
  B.plan();
  for (const char *Id : {"w1", "w2", "w3", "w4"})
    B.report(Id);
  JobSpec Spec = sampleJob(1, 2);
  Spec.Team = "team";
  Spec.Repetitions = 5;
  Spec.FirstDueMs = NowMs + 20000;
  Spec.IntervalMs = 10000;
  B.Owner.addJob(Spec, B.Now);
  PoolParts Parts;
  auto PartAt = [&](std::int64_t WallMs) {
    Parts["pool"] =
        wantedPart("pool", Parts, {Limit, 0, 0}, B.Owner.teamUse("team"),
                   B.Owner.teamDemand("team", WallMs));
    return Parts["pool"].MilliCpus;
  };
  CHECK(PartAt(NowMs) <= Limit / 16);
  CHECK(PartAt(Spec.FirstDueMs) >= 2000);
  CHECK(PartAt(Spec.FirstDueMs) < 4000);
  CHECK(PartAt(Spec.FirstDueMs + 4 * Spec.IntervalMs) == Limit);
}

TEST_CASE("a pool takes no more of a team's limit than its workers can use") {
  constexpr std::uint32_t Limit = 64000;
  OwnerFixture B;
  B.listWorkers({"w1", "w2"});
  B.plan();
  B.report("w1");
  B.report("w2");
  unsigned Number = 0;
  auto DemandOf = [&](std::uint32_t Tasks, core::Resources Need,
                      const std::string &Label, bool Filling = false) {
    JobSpec Spec = sampleJob(++Number, Tasks);
    Spec.Team = "team" + std::to_string(Number);
    Spec.Steps[0].Need = Need;
    Spec.Steps[0].Label = Label;
    Spec.Steps[0].Filling = Filling;
    B.Owner.addJob(Spec, B.Now);
    return B.Owner.teamDemand(Spec.Team, 0);
  };
  CHECK(DemandOf(2, {1000, 100, 0}, "") == core::Resources{2000, 200, 0});
  CHECK(DemandOf(100, {1000, 10, 0}, "") == core::Resources{8000, 1000, 0});
  CHECK(DemandOf(10, {4001, 100, 0}, "") == core::Resources{});
  CHECK(DemandOf(10, {1000, 100, 1}, "") == core::Resources{});
  CHECK(DemandOf(10, {1000, 100, 0}, "kind-x") == core::Resources{});
  CHECK(DemandOf(100, {1000, 10, 0}, "", true) ==
        core::Resources{100000, 1000, 0});
  PoolParts Parts;
  Parts["pool"] = wantedPart("pool", Parts, {Limit, 0, 0}, {},
                             B.Owner.teamDemand("team2", 0));
  CHECK(Parts["pool"].MilliCpus == 8000 + Limit / 16);
}

// LOST: work that waits for room held a team's whole limit, and used none.
TEST_CASE(
    "pools whose work has no room leave their team's limit to a pool with "
    "room, and get it back") {
  SharedLimit B;
  for (const char *Full : {"a", "c"}) {
    B.Pools[Full].Unit = 100;
    B.Pools[Full].Count = 16;
    B.Pools[Full].HasRoom = false;
  }
  B.adjustAll();
  B.adjustAll();
  std::uint32_t Before = B.Changes;
  for (int Round = 0; Round < 100; ++Round)
    B.adjustAll();
  CHECK(B.Changes == Before);
  SharedLimit::Pool &Idle = B.Pools["b"];
  Idle.Unit = 100;
  Idle.Count = 9;
  for (int Round = 0; Round < 8; ++Round) {
    B.adjustAll();
    B.start("b");
  }
  CHECK(Idle.Use == 900);
  Idle.Unit = Idle.Count = 0;
  Before = B.Changes;
  for (int Round = 0; Round < 100; ++Round)
    B.adjustAll();
  CHECK(B.Changes <= Before + 2);
  Idle.Use = 0;
  B.Pools["a"].HasRoom = true;
  for (int Round = 0; Round < 16; ++Round) {
    B.adjustAll();
    B.start("a");
  }
  CHECK(B.Pools["a"].Use >= 900);
}

TEST_CASE(
    "tasks need a part of their team's limit only where there is room for "
    "them") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.report(holdFor(B.plan(), "w1"));
  JobSpec Other = sampleJob(1);
  Other.Steps[0].Need = {4000, 100, 0};
  bool IsLasting = false;
  SUBCASE("beside tasks that last") { IsLasting = true; }
  SUBCASE("beside tasks that end") {}
  Other.Steps[0].Lasting = IsLasting;
  B.Owner.addJob(Other, B.Now);
  REQUIRE(B.plan().Starts.size() == 1);
  auto Add = [&](unsigned Number, bool Lasting, bool Gang) {
    JobSpec Spec = sampleJob(Number, 2);
    Spec.Team = "team" + std::to_string(Number);
    Spec.Steps[0].Lasting = Lasting;
    Spec.Steps[0].Gang = Gang;
    B.Owner.addJob(Spec, B.Now);
    return Spec.Team;
  };
  std::string Single = Add(2, false, false);
  CHECK(B.Owner.teamStartable(Single, 0) == core::Resources{});
  CHECK(B.Owner.teamUnits(Single, 0).empty());
  JobSpec Spread = sampleJob(5, 3);
  Spread.Team = "team5";
  Spread.Steps[0].Need = {0, 100, 0};
  Spread.Steps[0].MaxPerWorker = 1;
  B.Owner.addJob(Spread, B.Now);
  CHECK(B.Owner.teamStartable("team5", 0) == core::Resources{0, 100, 0});
  // Room is kept for these until it is enough.
  for (const std::string &Team : {Add(3, true, false), Add(4, false, true)}) {
    CHECK(B.Owner.teamStartable(Team, 0) ==
          (IsLasting ? core::Resources{} : core::Resources{2000, 200, 0}));
    CHECK(B.Owner.teamUnits(Team, 0).size() == (IsLasting ? 0 : 1));
  }
}
