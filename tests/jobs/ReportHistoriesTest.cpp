#include "jobs/PoolSimulation.h"

#include <doctest/doctest.h>

using namespace comfreydeck::jobs;

namespace {

constexpr std::uint64_t FirstSeed = 20261207;

/// Checks that so many histories of the kind have no fault.
void checkHistories(SimulationOptions Options, std::uint64_t Histories) {
  for (std::uint64_t N = 0; N < Histories; ++N) {
    Options.Seed = FirstSeed + N;
    CAPTURE(Options.Seed);
    CHECK(PoolSimulation(Options).simulate().Fault == "");
  }
}

} // namespace

TEST_CASE("a task starts again after its end was acknowledged unread in random "
          "histories in which workers list ends in any order") {
  constexpr std::uint64_t Histories = 50;
  SimulationOptions Options;
  Options.UnorderedEnds = true;
  checkHistories(Options, Histories);
  Options.LateReports = true;
  Options.EntriesDisappear = true;
  checkHistories(Options, Histories);
}
