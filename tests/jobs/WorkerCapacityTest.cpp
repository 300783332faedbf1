#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

// A worker's capacity may shrink and grow while it runs. Each decision must use
// what its entry says now.

namespace {

void setCapacity(OwnerFixture &B, std::size_t Worker, std::uint32_t MilliCpus) {
  B.Entries[Worker].Capacity.MilliCpus = MilliCpus;
  B.Owner.setWorkers(B.Entries, B.Now);
}

} // namespace

TEST_CASE("starts fit into a worker's capacity as it changes") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  B.Owner.addJob(sampleJob(1, 10), B.Now);
  setCapacity(B, 0, 2000);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 2);
  SUBCASE("it grows") {
    setCapacity(B, 0, 3000);
    CHECK(B.plan().Starts.size() == 1);
  }
  SUBCASE("it shrinks below what runs there") {
    setCapacity(B, 0, 1000);
    B.answer(Out.Starts[0], OrderOutcome::Accepted);
    B.answer(Out.Starts[1], OrderOutcome::Accepted);
    B.report(
        "w1", {runReportOf(Out.Starts[1], 50)},
        {endReportOf(1, Out.Starts[0].Task, Out.Starts[0].Run, RunEnd::Done)});
    CHECK(B.plan().Starts.empty());
    B.report(
        "w1", {},
        {endReportOf(2, Out.Starts[1].Task, Out.Starts[1].Run, RunEnd::Done)});
    CHECK(B.plan().Starts.size() == 1);
  }
  SUBCASE("it shrinks to nothing and is back") {
    setCapacity(B, 0, 0);
    CHECK(B.plan().Starts.empty());
    setCapacity(B, 0, 4000);
    CHECK(B.plan().Starts.size() == 2);
  }
  SUBCASE("a run that is being stopped counts until its end is listed") {
    B.answer(Out.Starts[0], OrderOutcome::Accepted);
    B.answer(Out.Starts[1], OrderOutcome::Accepted);
    B.Owner.cancelJob(jobId(1));
    B.Owner.addJob(sampleJob(2, 10), B.Now);
    setCapacity(B, 0, 3000);
    CHECK(B.plan().Starts.size() == 1);
  }
}

TEST_CASE("a gang starts only where all members fit into the capacities now") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2"});
  B.plan();
  B.report("w1");
  B.report("w2");
  JobSpec Spec = sampleJob(1, 6);
  Spec.Steps[0].Gang = true;
  B.Owner.addJob(Spec, B.Now);
  setCapacity(B, 1, 1000);
  CHECK(B.plan().Starts.empty());
  setCapacity(B, 1, 2000);
  CHECK(B.plan().Starts.size() == 6);
}

// A suspect's room is reserved while its run is being stored.
TEST_CASE("a reserved run is not sent to a worker that has shrunk since") {
  OwnerFixture B(9);
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  Kept.Tasks[0].CrashedRuns = {10};
  B.Owner.inheritJob(sampleJob(1), &Kept, B.Now);
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  CHECK(B.plan().Starts.empty());
  ProgressBatch Batch = B.Owner.takeChanges(10);
  REQUIRE(Batch.Writes.size() == 1);
  REQUIRE(Batch.Writes[0].Progress.Tasks[0].Announced);
  B.Owner.onStored(Batch.Mark);
  SUBCASE("it has shrunk") {
    setCapacity(B, 0, 500);
    CHECK(B.plan().Starts.empty());
  }
  SUBCASE("it has not") { CHECK(B.plan().Starts.size() == 1); }
}

TEST_CASE("a straggler is stopped only if another worker has room now") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2"});
  B.plan();
  B.report("w1");
  B.report("w2");
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Lasting = true;
  B.Owner.addJob(Spec, B.Now);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 1);
  std::string Worker = Out.Starts[0].Worker;
  std::size_t Other = Worker == "w1" ? 1 : 0;
  B.answer(Out.Starts[0], OrderOutcome::Accepted);
  setCapacity(B, Other, 500);
  std::size_t Stops = 0;
  auto Pass = [&] {
    for (int Turn = 0; Turn < 40; ++Turn) {
      B.advance(milliseconds(100));
      B.report(Worker, {runReportOf(Out.Starts[0], 10)});
      B.report(B.Entries[Other].Id);
      Stops += B.plan().Stops.size();
    }
  };
  Pass();
  CHECK(Stops == 0);
  setCapacity(B, Other, 1000);
  Pass();
  CHECK(Stops >= 1);
}

TEST_CASE("a pool's load and free room follow its workers' capacities") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  B.Owner.addJob(sampleJob(1), B.Now);
  REQUIRE(B.plan().Starts.size() == 1);
  CHECK(B.Owner.load(B.Now, 0).PerMachine.MilliCpus == 4000);
  CHECK(B.Owner.gauges(B.Now, 0).FreeMilliCpus == 3000);
  setCapacity(B, 0, 1500);
  CHECK(B.Owner.load(B.Now, 0).PerMachine.MilliCpus == 1500);
  CHECK(B.Owner.gauges(B.Now, 0).FreeMilliCpus == 500);
  setCapacity(B, 0, 500);
  CHECK(B.Owner.gauges(B.Now, 0).FreeMilliCpus == 0);
}
