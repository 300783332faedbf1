#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

// What pools ask for when a maintenance wave moves their lasting tasks.

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr std::uint32_t WorkerCpu = 64000;
constexpr std::uint32_t LastingCpu = 8500;
constexpr unsigned Workers = 21;
constexpr unsigned Closed = 6;

/// A pool of 21 workers, some of them closed for maintenance.
class ClosingPool {
public:
  explicit ClosingPool(unsigned ToClose = Closed) {
    for (unsigned N = 0; N < Workers; ++N)
      Ids_.push_back("w" + std::to_string(100 + N));
    B_.listWorkers(Ids_);
    for (WorkerEntry &Entry : B_.Entries)
      Entry.Capacity = {WorkerCpu, 100000, 0};
    B_.Owner.setWorkers(B_.Entries, B_.Now);
    reportAll();
    B_.advance(
        std::chrono::duration_cast<milliseconds>(OwnerLimits().NewJobAge));
    reportAll();
    close(ToClose);
  }

  void close(unsigned Count) {
    B_.Owner.setClosedWorkers({Ids_.end() - Count, Ids_.end()});
  }

  void addLasting(unsigned Tasks) {
    JobSpec Spec = sampleJob(++Jobs_, Tasks);
    Spec.Steps[0].Need = {LastingCpu, 10, 0};
    Spec.Steps[0].Lasting = true;
    B_.Owner.addJob(Spec, B_.Now);
    for (int Round = 0; Round < 3; ++Round) {
      B_.Owner.onStored(B_.Owner.takeChanges(90).Mark);
      for (const StartOrder &Order : B_.plan().Starts) {
        B_.answer(Order, OrderOutcome::Accepted);
        Running_[Order.Worker].push_back(runReportOf(Order));
      }
      B_.advance(milliseconds(100));
      reportAll();
    }
  }

  std::size_t runs() const {
    std::size_t Count = 0;
    for (const auto &[Worker, Runs] : Running_)
      Count += Runs.size();
    return Count;
  }

  /// The load as the owner of the fleet describes it.
  PoolLoad load() const {
    PoolLoad Reported = B_.Owner.load(B_.Now, 1000000);
    PoolLoad Load = Reported;
    Load.Idle.clear();
    for (const WorkerEntry &Entry : B_.Entries) {
      PoolMachine Machine;
      Machine.Id = "m" + Entry.Id;
      Machine.Worker = Entry.Id;
      Machine.Movable = true;
      countMachine(Machine, Reported, Load);
    }
    return Load;
  }

private:
  void reportAll() {
    for (const WorkerEntry &Entry : B_.Entries)
      B_.report(Entry.Id, Running_[Entry.Id]);
  }

  OwnerFixture B_;
  unsigned Jobs_ = 0;
  std::vector<std::string> Ids_;
  std::map<std::string, std::vector<RunReport>> Running_;
};

} // namespace

TEST_CASE("machines that are closed, draining or in maintenance don't count as "
          "their pool's") {
  CHECK(ClosingPool().load().Machines == Workers - Closed);
  CHECK(ClosingPool().load().Idle.size() == Workers - Closed);

  PoolMachine Machine;
  Machine.Id = "m1";
  Machine.Worker = "w1";
  Machine.Movable = true;
  PoolLoad Reported;
  PoolLoad Pool;
  countMachine(Machine, Reported, Pool);
  CHECK(Pool.Machines == 1);
  Machine.InMaintenance = true;
  countMachine(Machine, Reported, Pool);
  CHECK(Pool.Machines == 1);
}

TEST_CASE("a pool whose waiting lasting tasks fit on no worker asks for the "
          "machines that hold them whole") {
  ClosingPool Pool;
  Pool.addLasting(114);
  // Seven tasks fit on a worker, with room for half a task left over.
  REQUIRE(Pool.runs() == 105);
  PoolLoad Load = Pool.load();
  CHECK(Load.Machines == 15);
  CHECK(machinesNeeded(Load) == 17);
}

TEST_CASE("lasting tasks on closed workers count as without a place") {
  ClosingPool Pool(0);
  Pool.addLasting(114);
  REQUIRE(Pool.runs() == 114);
  CHECK(Pool.load().MissingMachines == 0);
  Pool.close(Closed);
  // 105 tasks fit on the other workers.
  CHECK(machinesNeeded(Pool.load()) == 17);
}

TEST_CASE("lasting tasks with a place ask for no machine beyond their sum") {
  ClosingPool Pool;
  Pool.addLasting(105);
  REQUIRE(Pool.runs() == 105);
  CHECK(Pool.load().MissingMachines == 0);
  CHECK(machinesNeeded(Pool.load()) <= 15);
}

TEST_CASE("lasting tasks without a place get the last machines before a surge "
          "of short work") {
  PoolLoad Surge;
  Surge.Pool = "a";
  Surge.Machines = 5;
  Surge.PerMachine = {1000, 1000, 0};
  Surge.WaitingCpu = 50000;
  PoolLoad Lasting;
  Lasting.Pool = "b";
  Lasting.Machines = Lasting.OpenWorkers = 5;
  Lasting.PerMachine = {1000, 1000, 0};
  Lasting.MissingMachines = 2;
  PoolLoad Standby;
  Standby.Pool = "s";
  Standby.Standby = true;
  Standby.Machines = 3;
  Standby.Idle = {"s1", "s2", "s3"};
  std::vector<PoolLoad> Loads = {Surge, Lasting, Standby};
  std::vector<MachineMove> Moves = planMoves(Loads);
  CHECK(Moves.size() == 3);
  CHECK(std::count_if(Moves.begin(), Moves.end(), [](const MachineMove &Move) {
          return Move.To == "b";
        }) == 2);
}

TEST_CASE("a pool with more than its share for a surge gives an idle machine "
          "to lasting tasks without a place") {
  PoolLoad Surge;
  Surge.Pool = "a";
  Surge.Machines = 15;
  Surge.PerMachine = {1000, 1000, 0};
  Surge.WaitingCpu = 50000;
  Surge.Idle = {"a1", "a2"};
  PoolLoad Lasting;
  Lasting.Pool = "b";
  Lasting.Machines = Lasting.OpenWorkers = 5;
  Lasting.PerMachine = {1000, 1000, 0};
  Lasting.MissingMachines = 1;
  std::vector<PoolLoad> Loads = {Surge, Lasting};
  std::vector<MachineMove> Moves = planMoves(Loads);
  REQUIRE(Moves.size() == 1);
  CHECK(Moves[0].Machine == "a1");
  CHECK(Moves[0].To == "b");

  Loads[0].LastingCpu = 15000;
  CHECK(planMoves(Loads).empty());
  Loads[0].LastingCpu = 0;
  Loads[0].Machines = 10;
  Loads[1].Machines = Loads[1].OpenWorkers = 10;
  CHECK(planMoves(Loads).empty());
}
