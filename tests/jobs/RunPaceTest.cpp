#include "jobs/RunPace.h"
#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

TEST_CASE("a run is a straggler only if a new one would finish much earlier") {
  struct Case {
    const char *What;
    std::uint32_t First;
    std::uint32_t Last;
    int WatchedMs;
    int ExpectedMs;
    bool Straggles;
  };
  const Case Cases[] = {
      {"on pace", 0, 50, 500, 1000, false},
      {"twice as long", 0, 25, 500, 1000, false},
      {"eight times as long", 0, 7, 600, 1000, true},
      {"observed too briefly", 0, 1, 300, 1000, false},
      {"slow, but nearly done", 80, 92, 800, 1000, false},
      {"stalled", 0, 0, 1200, 1000, true},
      {"not started yet", 0, 0, 800, 1000, false},
      {"resumed, then stalled", 60, 60, 1100, 1000, true},
      {"a long task on pace", 0, 10, 600, 6000, false},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.What);
    core::TimePoint At{};
    RunPace Pace;
    recordProgress(Pace, C.First, At);
    recordProgress(Pace, C.Last, At + milliseconds(C.WatchedMs));
    CHECK(isStraggling(Pace, milliseconds(C.ExpectedMs)) == C.Straggles);
  }
}

namespace {

/// Two workers and one running task that reports no progress.
struct StalledRunFixture : OwnerFixture {
  StartOrder Start;

  explicit StalledRunFixture(const JobSpec &Spec) {
    listWorkers({"w1", "w2"});
    plan();
    report("w1");
    report("w2");
    Owner.addJob(Spec, Now);
    Orders Out = plan();
    REQUIRE(Out.Starts.size() == 1);
    Start = Out.Starts[0];
    answer(Start, OrderOutcome::Accepted);
  }

  void reportStalled(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      report(Start.Worker, {runReportOf(Start, 0)});
      report(other());
      advance(milliseconds(400));
    }
    report(Start.Worker, {runReportOf(Start, 0)});
    report(other());
  }

  std::string other() const { return Start.Worker == "w1" ? "w2" : "w1"; }
};

} // namespace

TEST_CASE("a stalled run is restarted on another worker, but only once") {
  StalledRunFixture B(sampleJob(1));
  B.reportStalled(2);
  CHECK(B.plan().Stops.empty());
  B.reportStalled(2);
  Orders Out = B.plan();
  REQUIRE(Out.Stops.size() == 1);
  CHECK(Out.Starts.empty());
  B.report(B.Start.Worker, {},
           {endReportOf(1, B.Start.Task, B.Start.Run, RunEnd::Stopped)});
  Out = B.plan();
  REQUIRE(Out.Starts.size() == 1);
  CHECK(Out.Starts[0].Worker == B.other());
  B.answer(Out.Starts[0], OrderOutcome::Accepted);
  B.Start = Out.Starts[0];
  B.reportStalled(6);
  CHECK(B.plan().Stops.empty());
}

TEST_CASE("a stalled run gets a parallel copy if its step allows copies") {
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Copies = true;
  StalledRunFixture B(Spec);
  B.reportStalled(4);
  Orders Out = B.plan();
  CHECK(Out.Stops.empty());
  REQUIRE(Out.Starts.size() == 1);
  CHECK(Out.Starts[0].Worker == B.other());
  B.answer(Out.Starts[0], OrderOutcome::Accepted);
  CHECK(B.plan().Starts.empty());
  B.report(
      B.other(), {},
      {endReportOf(1, Out.Starts[0].Task, Out.Starts[0].Run, RunEnd::Done)});
  CHECK(B.Owner.findJob(jobId(1))->Now == JobState::Completed);
  Orders After = B.plan();
  REQUIRE(After.Stops.size() == 1);
  CHECK(After.Stops[0].Run == B.Start.Run);
}

TEST_CASE("a stalled run is not stopped without room on another worker") {
  StalledRunFixture B(sampleJob(1));
  B.Entries = {sampleWorker(B.Start.Worker)};
  B.Owner.setWorkers(B.Entries, B.Now);
  B.reportStalled(6);
  CHECK(B.plan().Stops.empty());
}
