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
