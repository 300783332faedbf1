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

TEST_CASE(
    "a task starts again after it was done, or a lasting one counts as at "
    "work, since one report lists its run in neither list or in both") {
  constexpr std::uint64_t Histories = 100;
  for (bool LastingTasks : {false, true}) {
    SimulationOptions Options;
    Options.TornReports = true;
    Options.UnorderedEnds = true;
    Options.LastingTasks = LastingTasks;
    CAPTURE(LastingTasks);
    checkHistories(Options, Histories);
  }
}
