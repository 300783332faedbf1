#include "jobs/TeamAllotment.h"

#include <doctest/doctest.h>

#include <random>

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
