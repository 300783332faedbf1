#include "jobs/PoolSimulation.h"

#include <doctest/doctest.h>

using namespace comfreydeck::jobs;

namespace {

constexpr std::uint64_t FirstSeed = 20261207;

} // namespace

TEST_CASE("tasks of silent workers start before the leases end that earlier "
          "owners gave, in random histories in which these are asked to stop") {
  constexpr std::uint64_t Histories = 100;
  std::uint64_t Takeovers = 0;
  for (bool Late : {false, true})
    for (std::uint64_t N = 0; N < Histories; ++N) {
      SimulationOptions Options;
      Options.Seed = FirstSeed + N;
      Options.StoppableOwners = true;
      Options.LateReports = Options.RowsLag = Late;
      CAPTURE(Options.Seed);
      CAPTURE(Late);
      SimulationResult Result = PoolSimulation(Options).simulate();
      CHECK(Result.Fault == "");
      Takeovers += Result.Takeovers;
    }
  MESSAGE(Takeovers, " owners");
}

TEST_CASE("owners that are asked to stop and go on are detected in random "
          "histories") {
  constexpr std::uint64_t MostHistories = 400;
  std::string Fault;
  for (std::uint64_t N = 0; N < MostHistories && Fault.empty(); ++N) {
    SimulationOptions Options;
    Options.Seed = FirstSeed + N;
    Options.ViolatedRule = RuleViolation::NoStopOfOwners;
    Options.StoppableOwners = true;
    Fault = PoolSimulation(Options).simulate().Fault;
    if (!Fault.empty())
      MESSAGE("seed ", Options.Seed, ": ", Fault);
  }
  CHECK(!Fault.empty());
}
