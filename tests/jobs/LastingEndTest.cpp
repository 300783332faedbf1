#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

/// A job with two lasting tasks beside one that ends.
JobSpec mixedJob() {
  JobSpec Spec = sampleJob(1, 2);
  Spec.MaxAttempts = 1;
  Spec.Steps.resize(2, Spec.Steps[0]);
  Spec.Steps[0].Lasting = true;
  Spec.Steps[0].AbsenceAllowance = 1;
  Spec.Steps[1].Tasks = 1;
  return Spec;
}

/// The job with a run of each task, those of lasting ones at work.
struct RunningJob {
  OwnerFixture B;
  std::vector<StartOrder> Starts;

  RunningJob() {
    B.listWorkers({"w1"});
    B.report("w1");
    B.Owner.addJob(mixedJob(), B.Now);
    Starts = B.plan().Starts;
    for (const StartOrder &Start : Starts)
      B.answer(Start, OrderOutcome::Accepted);
    B.advance(milliseconds(100));
    B.report("w1", reports());
    B.Owner.takeEvents();
  }

  std::vector<RunReport> reports() const {
    std::vector<RunReport> Reports;
    Reports.reserve(Starts.size());
    for (const StartOrder &Start : Starts)
      Reports.push_back(runReportOf(Start));
    return Reports;
  }
};

void checkEnd(PoolState &Owner, JobState State, JobEndCause Cause) {
  std::vector<LastingJobEnd> Ends = Owner.takeEvents().LastingEnds;
  REQUIRE(Ends.size() == 1);
  CHECK(Ends[0].JobId == jobId(1));
  CHECK(Ends[0].State == State);
  CHECK(Ends[0].Cause == Cause);
  CHECK(Ends[0].Runs == 2);
  CHECK(Ends[0].AtWork == 2);
}

} // namespace

TEST_CASE("the end of a lasting job does not tell why its tasks are stopped") {
  RunningJob F;
  SUBCASE("cancelled") {
    F.B.Owner.cancelJob(jobId(1));
    checkEnd(F.B.Owner, JobState::Cancelled, JobEndCause::Cancelled);
  }
  SUBCASE("another step's task has failed") {
    const StartOrder &Ending = F.Starts.back();
    REQUIRE(Ending.Task.Step == 1);
    F.B.report("w1", {runReportOf(F.Starts[0]), runReportOf(F.Starts[1])},
               {endReportOf(1, Ending.Task, Ending.Run, RunEnd::Failed)});
    checkEnd(F.B.Owner, JobState::Failed, JobEndCause::FailedRuns);
  }
}

TEST_CASE("runs of a lasting job that its stored progress shows as ended are "
          "stopped without a trace") {
  RunningJob Earlier;
  OwnerFixture B(8);
  B.listWorkers({"w1"});
  B.Owner.holdJob(mixedJob(), std::nullopt, B.Now);
  B.report("w1", Earlier.reports());
  JobProgress Kept;
  Kept.State = JobState::Failed;
  Kept.Tasks.resize(3);
  B.Owner.restoreJob(jobId(1), Kept, B.Now);
  checkEnd(B.Owner, JobState::Failed, JobEndCause::Stored);
  CHECK(B.plan().Stops.size() == 3);
}

TEST_CASE("a run of a lasting job found after its end is stopped without a "
          "trace") {
  RunningJob Earlier;
  OwnerFixture B(8);
  B.listWorkers({"w1"});
  JobProgress Kept;
  Kept.State = JobState::Cancelled;
  Kept.Tasks.resize(3);
  B.Owner.inheritJob(mixedJob(), &Kept, B.Now);
  B.report("w1", Earlier.reports());
  std::vector<StopDecision> Stops = B.Owner.takeEvents().Stops;
  REQUIRE(Stops.size() == 2);
  CHECK(Stops[0].Reason == StopReason::JobEnded);
}

TEST_CASE("a second run of a lasting task is stopped without a trace") {
  RunningJob F;
  RunReport Second = runReportOf(F.Starts[0]);
  ++Second.Run;
  F.B.report("w1", {F.reports()[0], Second, F.reports()[1], F.reports()[2]});
  std::vector<StopDecision> Stops = F.B.Owner.takeEvents().Stops;
  REQUIRE(Stops.size() == 1);
  CHECK(Stops[0].Run == Second.Run);
  CHECK(Stops[0].Reason == StopReason::Duplicate);
}

TEST_CASE("the lasting tasks of a job that has failed are stopped before its "
          "end is stored") {
  RunningJob F;
  const StartOrder &Ending = F.Starts.back();
  std::vector<RunReport> Lasting = {runReportOf(F.Starts[0]),
                                    runReportOf(F.Starts[1])};
  F.B.report("w1", Lasting,
             {endReportOf(1, Ending.Task, Ending.Run, RunEnd::Failed)});
  REQUIRE(F.B.Owner.findJob(jobId(1))->Now == JobState::Failed);
  CHECK(F.B.plan().Stops.empty());
  F.B.advance(milliseconds(100));
  CHECK(F.B.plan().Stops.empty());
  F.B.Owner.onStored(F.B.Owner.takeChanges(10).Mark);
  F.B.advance(milliseconds(100));
  CHECK(F.B.plan().Stops.size() == 2);
}
