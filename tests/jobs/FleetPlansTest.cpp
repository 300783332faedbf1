#include "jobs/PoolSizes.h"
#include "jobs/WavePlan.h"

#include <doctest/doctest.h>

#include <random>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

WaveMachine waveMachine(unsigned Number) {
  WaveMachine M;
  M.Id = "m" + std::to_string(Number);
  M.Pool = "p" + std::to_string(Number % 3);
  M.Worker = "w" + std::to_string(Number);
  M.Up = true;
  return M;
}

} // namespace

TEST_CASE("a maintenance wave never takes down more machines than allowed") {
  for (unsigned Seed = 0; Seed < 300; ++Seed) {
    std::mt19937 Rng(Seed);
    std::vector<WaveMachine> Machines;
    for (unsigned N = 0; N < 20; ++N) {
      WaveMachine M = waveMachine(N);
      M.Down = Rng() % 8 == 0;
      M.Done = M.Down || Rng() % 4 == 0;
      M.Closing = !M.Done && Rng() % 2 == 0;
      M.Clear = M.Closing && Rng() % 2 == 0;
      Machines.push_back(M);
    }
    WaveBounds Bounds;
    Bounds.MaxAtOnce = 1 + Rng() % 5;
    Bounds.Left = std::chrono::seconds(Rng() % 30);
    WaveStep Step = planWave(Machines, Bounds);
    std::size_t Down = 0;
    for (const WaveMachine &M : Machines)
      Down += M.Down ? 1 : 0;
    CHECK((Step.Maintain.empty() ||
           Down + Step.Maintain.size() <= Bounds.MaxAtOnce));
    for (const std::string &Id : Step.Maintain)
      for (const WaveMachine &M : Machines)
        if (M.Id == Id)
          CHECK((M.Clear && !M.Done));
  }
}

TEST_CASE("a maintenance wave closes as few workers at once as time permits") {
  std::vector<WaveMachine> Machines;
  for (unsigned N = 0; N < 10; ++N)
    Machines.push_back(waveMachine(N));
  WaveBounds Bounds;
  Bounds.MaxAtOnce = 10;
  Bounds.Left = std::chrono::hours(1);
  CHECK(planWave(Machines, Bounds).Close.size() == 1);
  Bounds.Left = std::chrono::seconds(1);
  CHECK(planWave(Machines, Bounds).Close.size() == 10);
}

TEST_CASE("a pool that lacks machines gets idle ones, standby ones first") {
  PoolLoad Busy;
  Busy.Pool = "busy";
  Busy.Machines = 2;
  Busy.PerMachine = {1000, 1000, 0};
  Busy.UsedCpu = 2000;
  Busy.WaitingCpu = 2000;
  PoolLoad Quiet = Busy;
  Quiet.Pool = "quiet";
  Quiet.UsedCpu = Quiet.WaitingCpu = 0;
  Quiet.Machines = 8;
  Quiet.Idle = {"q1", "q2", "q3"};
  PoolLoad Standby;
  Standby.Pool = "standby";
  Standby.Standby = true;
  Standby.Machines = 1;
  Standby.Idle = {"s1"};
  std::vector<PoolLoad> Loads = {Busy, Quiet, Standby};
  std::vector<MachineMove> Moves = planMoves(Loads);
  // Four machines are needed: two cores in use, 70 % of the two waiting ones,
  // and the headroom.
  REQUIRE(Moves.size() == 2);
  CHECK(Moves[0].Machine == "s1");
  CHECK(Moves[0].To == "busy");
  CHECK(Moves[1].From == "quiet");
}

TEST_CASE("a short surplus of machines is not moved to the standby pool") {
  PoolLoad Quiet;
  Quiet.Pool = "quiet";
  Quiet.Machines = 9;
  Quiet.PerMachine = {1000, 1000, 0};
  Quiet.Idle = {"q1", "q2"};
  PoolLoad Standby;
  Standby.Pool = "standby";
  Standby.Standby = true;
  std::vector<PoolLoad> Loads = {Quiet, Standby};
  CHECK(planMoves(Loads).empty());
  Loads[0].SurplusFor = std::chrono::seconds(5);
  CHECK(planMoves(Loads).size() == 2);
}
