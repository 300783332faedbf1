#include "jobs/CrashFixture.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

JobSpec lastingJob(std::uint32_t Tasks) {
  JobSpec Spec = sampleJob(1, Tasks);
  Spec.Steps[0].Lasting = true;
  Spec.Steps[0].AbsenceAllowance = 1;
  Spec.Steps[0].MaxPerWorker = 1;
  return Spec;
}

} // namespace

TEST_CASE("a lasting job fails and all its tasks are stopped once workers have "
          "crashed under one of them again and again") {
  constexpr int Crashes = 8;
  constexpr std::chrono::milliseconds LongestAway(4000);
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(lastingJob(2), F.B.Now);
  const std::string Other = F.workerOf(taskOf(1, 1));
  std::uint64_t Delayed = 0;
  for (int Crash = 0; Crash < Crashes; ++Crash) {
    std::string Worker = F.workerOf(taskOf(1, 0), LongestAway);
    REQUIRE(!Worker.empty());
    F.crash(Worker);
    CHECK(F.job(1).Now == JobState::Running);
    CHECK(F.crashes(1) < OwnerLimits().MaxCrashes);
    CHECK(F.B.plan().Stops.empty());
    CHECK(F.workerOf(taskOf(1, 1)) == Other);
    Delayed += F.B.Owner.gauges(F.B.Now, 1000000)
                   .Waiting[indexOf(WaitReason::CrashOpen)];
  }
  CHECK(Delayed > 0);
}

TEST_CASE("an end of an earlier run stops the later run of a lasting task") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2"});
  B.report("w1");
  B.report("w2");
  B.Owner.addJob(lastingJob(1), B.Now);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 1);
  StartOrder First = Out.Starts[0];
  B.answer(First, OrderOutcome::Accepted);
  const std::string Other = First.Worker == "w1" ? "w2" : "w1";
  while (Out.Starts.empty() || Out.Starts[0].Run == First.Run) {
    REQUIRE(B.Now < core::TimePoint() + std::chrono::seconds(30));
    B.advance(milliseconds(100));
    for (const HoldOrder &Hold : Out.Holds)
      if (Hold.Worker == First.Worker)
        B.dropReport(Hold);
    B.report(Other);
    Out = B.plan();
  }
  StartOrder Second = Out.Starts[0];
  B.answer(Second, OrderOutcome::Accepted);
  B.advance(milliseconds(100));
  B.report(Second.Worker, {runReportOf(Second, 100)});
  B.report(First.Worker, {},
           {endReportOf(1, First.Task, First.Run, RunEnd::Done)});
  CHECK(B.plan().Stops.empty());
}
