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

TEST_CASE(
    "a task doesn't start again since one report lists its run neither as "
    "running nor as ended") {
  TaskOnFirst T;
  T.report({});
  Orders Planned = T.B.plan();
  CHECK(Planned.Starts.empty());
  HoldOrder Hold = holdFor(Planned, "w1");
  CHECK(Hold.Number != 0);
  CHECK(Hold.Wait == core::Duration::zero());
  T.B.advance(milliseconds(5));
  T.report({}, {T.done(1)});
  CHECK(T.B.plan().Starts.empty());
  CHECK(T.B.Owner.findJob(jobId(1))->Now == JobState::Completed);
}

TEST_CASE("a task doesn't start again since two reports that were requested at "
          "once leave its run out") {
  TaskOnFirst T;
  core::TimePoint SentAt = T.B.Now;
  T.B.advance(milliseconds(5));
  ReportResult Result;
  Result.Outcome = OrderOutcome::Accepted;
  Result.Report = {T.B.clockMs() - 2, 1, {}, {}};
  HoldOrder Hold;
  Hold.Worker = "w1";
  T.B.Owner.onReport(Hold, Result, SentAt, T.B.Now);
  Result.Report.ClockMs += 1;
  T.B.Owner.onReport(Hold, Result, SentAt, T.B.Now);
  CHECK(T.B.plan().Starts.empty());
  T.report({}, {T.done(1)});
  CHECK(T.B.Owner.findJob(jobId(1))->Now == JobState::Completed);
}

TEST_CASE("a task starts again once a second report leaves its run out") {
  TaskOnFirst T;
  T.report({});
  T.B.advance(milliseconds(5));
  SUBCASE("in a row") {
    T.report({});
    CHECK(T.B.plan().Starts.size() == 1);
  }
  SUBCASE("but not if one in between lists it") {
    T.report({runReportOf(T.Start)});
    T.B.advance(milliseconds(5));
    T.report({});
    CHECK(T.B.plan().Starts.empty());
  }
}
