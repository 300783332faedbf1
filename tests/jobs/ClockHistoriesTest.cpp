#include "jobs/PoolSimulation.h"

#include <doctest/doctest.h>

using namespace comfreydeck::jobs;

namespace {

constexpr std::uint64_t FirstSeed = 20261207;

/// Leases end while runs go on: some are long, and workers are often cut off.
SimulationOptions longRunsOnSlowClocks() {
  SimulationOptions Options;
  Options.SlowClocks = true;
  Options.CutAfterRestart = true;
  Options.SilentAfterStart = true;
  return Options;
}

} // namespace

TEST_CASE("runs count as lapsed before their leases end on slow clocks in "
          "random histories") {
  constexpr std::uint64_t Histories = 100;
  SimulationOptions Options = longRunsOnSlowClocks();
  for (std::uint64_t N = 0; N < Histories; ++N) {
    Options.Seed = FirstSeed + N;
    CAPTURE(Options.Seed);
    CHECK(PoolSimulation(Options).simulate().Fault == "");
  }
}

TEST_CASE("clocks that are slower than the platform says are detected in "
          "random histories") {
  constexpr std::uint64_t MostHistories = 200;
  SimulationOptions Options = longRunsOnSlowClocks();
  Options.ViolatedRule = RuleViolation::SlowerClocks;
  std::string Fault;
  for (std::uint64_t N = 0; N < MostHistories && Fault.empty(); ++N) {
    Options.Seed = FirstSeed + N;
    Fault = PoolSimulation(Options).simulate().Fault;
    if (!Fault.empty())
      MESSAGE("seed ", Options.Seed, ": ", Fault);
  }
  CHECK(!Fault.empty());
}
