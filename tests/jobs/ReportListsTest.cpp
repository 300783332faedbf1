#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

/// An owner of two workers; a task of its job runs on w1, which has listed it.
struct TaskOnFirst {
  OwnerFixture B;
  StartOrder Start;

  explicit TaskOnFirst(std::uint32_t Tasks = 1) {
    B.listWorkers({"w1", "w2"});
    B.plan();
    report({});
    B.report("w2");
    B.Owner.setClosedWorkers({"w2"});
    B.Owner.addJob(sampleJob(1, Tasks), B.Now);
    Start = B.plan().Starts.at(0);
    B.answer(Start, OrderOutcome::Accepted);
    B.Owner.setClosedWorkers({});
    B.advance(milliseconds(10));
    report({runReportOf(Start)});
    B.advance(milliseconds(10));
  }

  void report(std::vector<RunReport> Running,
              std::vector<EndReport> Ended = {}) {
    B.report("w1", std::move(Running), std::move(Ended));
  }

  EndReport done(std::uint64_t Number) const {
    return endReportOf(Number, Start.Task, Start.Run, RunEnd::Done);
  }
};

} // namespace

TEST_CASE("a done task doesn't start again since its end is listed after one "
          "with a higher number") {
  TaskOnFirst T;
  EndReport Later = endReportOf(9, {jobId(2), 0, 0, 0}, 5, RunEnd::Stopped);
  T.report({}, {Later, T.done(8)});
  T.B.advance(milliseconds(10));
  T.report({}, {Later, T.done(8)});
  CHECK(T.B.plan().Starts.empty());
  CHECK(T.B.Owner.findJob(jobId(1))->Now == JobState::Completed);
}
