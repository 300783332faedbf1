#include "jobs/PoolSimulation.h"

#include <doctest/doctest.h>

using namespace comfreydeck::jobs;

namespace {

constexpr std::uint64_t FirstSeed = 20261204;
constexpr std::uint64_t Histories = 10;

std::uint64_t digestOf(std::uint64_t Seed, bool LastingTasks, bool Racks) {
  SimulationOptions Options;
  Options.Seed = Seed;
  Options.LastingTasks = LastingTasks;
  Options.CrashingTasks = true;
  Options.Racks = Racks;
  Options.Gangs = Racks;
  return PoolSimulation(Options).simulate().Digest;
}

} // namespace

// Owners went through a worker's tasks in the order of addresses.
TEST_CASE("a history has the same orders and rows whatever was simulated "
          "before it") {
  for (bool LastingTasks : {false, true})
    for (bool Racks : {false, true}) {
      if (LastingTasks && Racks)
        continue;
      std::vector<std::uint64_t> Digests;
      for (std::uint64_t N = 0; N < Histories; ++N)
        Digests.push_back(digestOf(FirstSeed + N, LastingTasks, Racks));
      for (std::uint64_t N = Histories; N-- > 0;) {
        CAPTURE(FirstSeed + N);
        CAPTURE(LastingTasks);
        CAPTURE(Racks);
        CHECK(digestOf(FirstSeed + N, LastingTasks, Racks) == Digests[N]);
      }
    }
}
