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

/// A pool of 21 workers, six of them closed for maintenance.
class ClosingPool {
public:
  ClosingPool() {
    std::vector<std::string> Ids;
    for (unsigned N = 0; N < Workers; ++N)
      Ids.push_back("w" + std::to_string(100 + N));
    B_.listWorkers(Ids);
    for (WorkerEntry &Entry : B_.Entries)
      Entry.Capacity = {WorkerCpu, 100000, 0};
    B_.Owner.setWorkers(B_.Entries, B_.Now);
    reportAll();
    B_.advance(
        std::chrono::duration_cast<milliseconds>(OwnerLimits().NewJobAge));
    reportAll();
    ClosedIds_.insert(Ids.end() - Closed, Ids.end());
    B_.Owner.setClosedWorkers(ClosedIds_);
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
  std::set<std::string> ClosedIds_;
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
