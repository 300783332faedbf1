#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

#include <random>

// Tasks whose data are in one rack, and what others do to them.

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr double Factor = 3;

OwnerLimits limits() {
  OwnerLimits Limits;
  Limits.RemoteFactor = Factor;
  return Limits;
}

JobSpec nearJob(unsigned Number, std::uint32_t Tasks = 1) {
  JobSpec Spec = sampleJob(Number, Tasks);
  Spec.Steps[0].NearRack = "r1";
  return Spec;
}

/// Workers w1, w2 and so on in the given racks, whose runs take a second, or
/// longer away from their data.
struct RackPool : OwnerFixture {
  struct Run {
    StartOrder Start;
    core::TimePoint From;
    core::TimePoint Until;
  };
  std::map<std::string, std::vector<Run>> Running;
  std::map<std::string, std::uint64_t> Ends;

  explicit RackPool(const std::vector<std::string> &Racks,
                    const core::Resources &Capacity = {4000, 1000, 0})
      : OwnerFixture(7, limits()) {
    std::vector<std::string> Ids;
    for (std::size_t N = 1; N <= Racks.size(); ++N)
      Ids.push_back("w" + std::to_string(N));
    listWorkers(Ids);
    for (std::size_t N = 0; N < Racks.size(); ++N) {
      Entries[N].Rack = Racks[N];
      Entries[N].Capacity = Capacity;
    }
    Owner.setWorkers(Entries, Now);
    plan();
    reportAll();
  }

  const std::string &rackOf(const std::string &Worker) const {
    return Owner.workers().at(Worker)->Entry.Rack;
  }

  /// Plans a round; the workers begin what it starts.
  std::vector<StartOrder> round(milliseconds RunTime = milliseconds(1000)) {
    std::vector<StartOrder> Starts = plan().Starts;
    for (const StartOrder &Start : Starts) {
      answer(Start, OrderOutcome::Accepted);
      const JobRecord *Job = Owner.findJob(Start.Task.JobId);
      const StepSpec &Step = Job->Spec.Steps[Start.Task.Step];
      bool Near =
          Step.NearRack.empty() || Step.NearRack == rackOf(Start.Worker);
      core::Duration Takes =
          Near ? RunTime : RunTime * static_cast<int>(Factor);
      Running[Start.Worker].push_back({Start, Now, Now + Takes});
    }
    return Starts;
  }

  /// Lets time pass; every worker reports how far its runs are.
  void pass(milliseconds Time) {
    advance(Time);
    reportAll();
    Owner.onStored(Owner.takeChanges(1000).Mark);
  }

  void reportAll() {
    for (const WorkerEntry &Entry : Entries) {
      std::vector<RunReport> Runs;
      std::vector<EndReport> Ended;
      std::vector<Run> &Here = Running[Entry.Id];
      for (const Run &R : Here)
        if (R.Until <= Now)
          Ended.push_back(endReportOf(++Ends[Entry.Id], R.Start.Task,
                                      R.Start.Run, RunEnd::Done));
        else
          Runs.push_back(runReportOf(
              R.Start, static_cast<std::uint32_t>(100 * (Now - R.From) /
                                                  (R.Until - R.From))));
      std::erase_if(Here, [&](const Run &R) { return R.Until <= Now; });
      report(Entry.Id, Runs, Ended);
    }
  }
};

} // namespace

TEST_CASE("runs away from their data count as slow, and their sound workers "
          "are avoided") {
  RackPool B({"r2", "r2"});
  for (unsigned N = 1; N <= 2; ++N)
    B.Owner.addJob(nearJob(N), B.Now);
  // Within 2.5 times the estimate near the data.
  REQUIRE(B.round(milliseconds(1500)).size() == 2);
  for (int N = 0; N < 20; ++N) {
    B.pass(milliseconds(100));
    B.round();
  }
  CHECK(B.Owner.takeCounters().Stragglers == 0);
  for (const auto &[Id, W] : B.Owner.workers())
    CHECK(!isAvoided(*W, B.Now));
}

TEST_CASE("runs away from their data lengthen the time expected of runs near "
          "them") {
  RackPool B({"r2", "r2"});
  for (unsigned N = 1; N <= 4; ++N) {
    B.Owner.addJob(nearJob(N, 8), B.Now);
    B.round();
    for (int Step = 0; Step < 31; ++Step) {
      B.pass(milliseconds(100));
      B.round();
    }
  }
  B.Owner.addJob(nearJob(9), B.Now);
  const JobRecord *Job = B.Owner.findJob(jobId(9));
  CHECK(PoolState::runTimeMs(*Job, Job->Spec.Steps[0]) ==
        doctest::Approx(1000).epsilon(0.1));
}

TEST_CASE("a task runs away from its data although a run near them ends soon") {
  RackPool B({"r1", "r2"});
  B.Owner.addJob(nearJob(1, 4), B.Now);
  REQUIRE(B.round().size() == 4);
  B.pass(milliseconds(500));
  B.Owner.addJob(nearJob(2), B.Now);
  CHECK(B.round().empty());
  CHECK(B.Owner.gauges(B.Now, 1000000).Waiting[indexOf(WaitReason::Rack)] == 1);
  B.pass(milliseconds(500));
  std::vector<StartOrder> Starts = B.round();
  REQUIRE(Starts.size() == 1);
  CHECK(B.rackOf(Starts[0].Worker) == "r1");
}

TEST_CASE("a task waits for the rack of its data for longer than another rack "
          "costs it, or for a rack that is of no use") {
  RackPool B({"r1", "r2"});
  JobSpec Busy = sampleJob(1, 4);
  Busy.Steps[0].NearRack = "r1";
  JobSpec Spec = nearJob(2);
  milliseconds Longest(0);
  SUBCASE("up to the cost") {
    Busy.Steps[0].EstimateMs = 790;
    Spec.Steps[0].EstimateMs = 400;
    Longest = milliseconds(800);
  }
  SUBCASE("up to the bound") {
    Busy.Steps[0].EstimateMs = 1990;
    Spec.Steps[0].EstimateMs = 60000;
    Longest = milliseconds(2000);
  }
  SUBCASE("behind too much work") { Busy.Steps[0].EstimateMs = 60000; }
  SUBCASE("behind a lasting task") { Busy.Steps[0].Lasting = true; }
  SUBCASE("without the label") { Spec.Steps[0].Label = "fast"; }
  SUBCASE("without a worker there") { Spec.Steps[0].NearRack = "r3"; }
  if (!Spec.Steps[0].Label.empty()) {
    B.Entries[1].Labels = {"fast"};
    B.Owner.setWorkers(B.Entries, B.Now);
  }
  B.Owner.addJob(Busy, B.Now);
  REQUIRE(B.round(milliseconds(60000)).size() == 4);
  B.Owner.addJob(Spec, B.Now);
  for (milliseconds Waited(0); Waited < Longest; Waited += milliseconds(100)) {
    CHECK(B.round(milliseconds(60000)).empty());
    B.pass(milliseconds(100));
  }
  std::vector<StartOrder> Starts = B.round();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Worker == "w2");
}

TEST_CASE("tasks that may run anywhere take the rack that others need") {
  RackPool B({"r1", "r2"});
  JobSpec Held = nearJob(1);
  Held.Steps.push_back(Held.Steps[0]);
  Held.Steps[1].After = {0};
  B.Owner.addJob(Held, B.Now);
  B.Owner.addJob(sampleJob(2, 3), B.Now);
  std::vector<StartOrder> Starts = B.round();
  REQUIRE(Starts.size() == 4);
  for (const StartOrder &Start : Starts)
    CHECK((B.rackOf(Start.Worker) == "r1") == (Start.Task.JobId == jobId(1)));
}

TEST_CASE("bursts of work of which a part has its data in one rack are late "
          "though the pool has room") {
  // Three of nine workers hold the data of two fifths of the tasks.
  RackPool B({"r1", "r1", "r1", "r2", "r2", "r2", "r3", "r3", "r3"},
             {64000, 100000, 0});
  constexpr int TickMs = 50;
  constexpr int BurstTicks = 120;
  constexpr int Ticks = 400;
  constexpr std::int64_t AimMs = 2200;
  std::mt19937_64 Random(20261206);
  std::map<std::string, core::TimePoint> Since;
  unsigned Jobs = 0;
  int InTime = 0;
  for (int Tick = 0; Tick < Ticks; ++Tick) {
    // 0.62 of the pool's cores while the burst lasts.
    if (Tick < BurstTicks) {
      JobSpec Spec = sampleJob(++Jobs, 6);
      Spec.Steps[0].Need = {3000, 100, 0};
      Spec.Steps[0].NearRack = Random() % 5 < 2 ? "r1" : "";
      Spec.AcceptedMs = 1000000;
      Since[Spec.Id] = B.Now;
      B.Owner.addJob(Spec, B.Now);
    }
    B.round();
    B.pass(milliseconds(TickMs));
    std::erase_if(Since, [&](const auto &Job) {
      const JobRecord *Known = B.Owner.findJob(Job.first);
      bool Done = !Known || isFinal(Known->Now);
      InTime += Done && B.Now - Job.second <= milliseconds(AimMs) ? 1 : 0;
      return Done;
    });
  }
  MESSAGE(InTime, " of ", Jobs, " jobs in time, ", Since.size(), " not done");
  CHECK(Since.empty());
  CHECK(InTime >= static_cast<int>(Jobs) * 9 / 10);
}
