#include "jobs/TeamAllotment.h"

#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

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

TEST_CASE("of two gangs in two pools that each need more than half of their "
          "team's limit, one gets it" *
          doctest::should_fail()) {
  const core::Resources Limit{1000, 0, 0};
  PoolParts Parts;
  for (std::uint32_t Asked : {450U, 600U})
    for (int Round = 0; Round < 8; ++Round)
      for (const char *Pool : {"a", "b"})
        Parts[Pool] = wantedPart(Pool, Parts, Limit, {}, {Asked, 0, 0});
  CHECK(std::max(Parts["a"].MilliCpus, Parts["b"].MilliCpus) >= 600);
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
