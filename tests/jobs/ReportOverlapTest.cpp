#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

TEST_CASE(
    "a lasting task that has ended counts as at work since a report lists "
    "its run both as running and as ended") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2", "w3"});
  B.plan();
  for (const char *Worker : {"w1", "w2", "w3"})
    B.report(Worker);
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Lasting = true;
  B.Owner.setClosedWorkers({"w2", "w3"});
  B.Owner.addJob(Spec, B.Now);
  StartOrder Start = B.plan().Starts.at(0);
  B.answer(Start, OrderOutcome::Accepted);
  B.advance(milliseconds(10));
  B.report("w1", {runReportOf(Start)});
  B.advance(milliseconds(10));
  B.report("w1", {runReportOf(Start)},
           {endReportOf(1, Start.Task, Start.Run, RunEnd::Failed)});
  B.Owner.setClosedWorkers({});
  CHECK(B.plan().Starts.size() == 1);
}

TEST_CASE("a task starts again after it was done since a report left out its "
          "run before its job was known") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2"});
  B.plan();
  B.report("w2");
  RunReport Run;
  Run.Task = {jobId(1), 0, 0, 0};
  Run.Run = (RunId(3) << RunCounterBits) + 1;
  B.report("w1", {Run});
  B.advance(milliseconds(10));
  B.report("w1");
  CHECK(!B.Owner.isDrained("w1"));
  B.advance(milliseconds(10));
  SUBCASE("and lists its end next") {
    B.Owner.inheritJob(sampleJob(1), nullptr, B.Now);
    CHECK(B.plan().Starts.empty());
    B.report("w1", {}, {endReportOf(1, Run.Task, Run.Run, RunEnd::Done)});
    CHECK(B.plan().Starts.empty());
    CHECK(B.Owner.findJob(jobId(1))->Now == JobState::Completed);
  }
  SUBCASE("but not for ever") {
    B.report("w1");
    B.Owner.inheritJob(sampleJob(1), nullptr, B.Now);
    CHECK(B.plan().Starts.size() == 1);
  }
}
