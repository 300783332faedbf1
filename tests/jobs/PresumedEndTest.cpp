#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

/// An owner whose first task runs on w1, which has listed it.
struct RunningTask {
  OwnerFixture B;
  StartOrder Start;

  RunningTask() {
    B.listWorkers({"w1"});
    B.plan();
    B.report("w1");
    B.Owner.addJob(sampleJob(1), B.Now);
    Start = B.plan().Starts.at(0);
    B.answer(Start, OrderOutcome::Accepted);
    B.advance(milliseconds(10));
    B.report("w1", {runReportOf(Start)});
    B.advance(milliseconds(10));
  }

  /// Lets reports leave the run out, more often than the owner needs.
  void reportWithoutRun() {
    for (int N = 0; N < 3; ++N) {
      B.report("w1");
      B.advance(milliseconds(10));
    }
  }

  PresumedEnd onlyPresumedEnd() {
    std::vector<PresumedEnd> Ends = B.Owner.takeEvents().PresumedEnds;
    REQUIRE(Ends.size() == 1);
    CHECK(Ends[0].Run == Start.Run);
    CHECK(Ends[0].Task == Start.Task);
    CHECK(Ends[0].Worker == "w1");
    return Ends[0];
  }
};

/// Two tasks that run on a worker's second known incarnation. Rows of another
/// one between the two are unknown to the owner.
struct TwoTasksAfterRestart {
  static constexpr std::int64_t Born = 3;
  OwnerFixture B;
  std::vector<RunReport> Running;

  TwoTasksAfterRestart() {
    B.listWorkers({"w1"});
    B.plan();
    B.report("w1");
    list(B.Entries[0].Address, Born);
    B.plan();
    reportRunning();
    B.Owner.addJob(sampleJob(1), B.Now);
    B.Owner.addJob(sampleJob(2), B.Now);
    std::vector<StartOrder> Starts = B.plan().Starts;
    REQUIRE(Starts.size() == 2);
    for (const StartOrder &Start : Starts) {
      B.answer(Start, OrderOutcome::Accepted);
      Running.push_back(runReportOf(Start));
    }
    B.advance(milliseconds(10));
    reportRunning();
    B.Owner.takeEvents();
  }

  void list(const std::string &Address, std::int64_t ListedBorn) {
    B.advance(milliseconds(10));
    B.Entries[0].Address = Address;
    B.Entries[0].Born = ListedBorn;
    B.Owner.setWorkers(B.Entries, B.Now);
    B.advance(milliseconds(10));
  }
  void reportRunning() {
    HoldOrder Hold;
    Hold.Worker = "w1";
    B.report(Hold, Running, Born);
    B.advance(milliseconds(10));
  }
  /// Another worker answers a request for a report.
  void refuseReport(core::TimePoint SentAt) {
    HoldOrder Hold;
    Hold.Worker = "w1";
    B.advance(milliseconds(10));
    B.Owner.onReport(Hold, {OrderOutcome::OtherIncarnation, {}}, SentAt, B.Now);
  }
  StopOrder stopFirst() {
    B.Owner.cancelJob(jobId(1));
    return B.plan().Stops.at(0);
  }
  /// Another worker answers a stop.
  void refuseStop(const StopOrder &Stop) {
    B.advance(milliseconds(10));
    B.Owner.onStop(Stop, {OrderOutcome::OtherIncarnation, 0}, B.Now);
  }
  std::size_t presumedEnds() {
    return B.Owner.takeEvents().PresumedEnds.size();
  }
};

} // namespace

TEST_CASE("each run that counts as ended without a report is logged with the "
          "cause") {
  RunningTask R;
  SUBCASE("reports leave it out") {
    R.reportWithoutRun();
    PresumedEnd End = R.onlyPresumedEnd();
    CHECK(End.Cause == PresumedCause::NotReported);
    CHECK(End.Sign == StartSign::Listed);
    REQUIRE(End.ReportAge);
  }
  SUBCASE("its worker has restarted") {
    HoldOrder Hold;
    Hold.Worker = "w1";
    R.B.report(Hold, {}, 2);
    CHECK(R.onlyPresumedEnd().Cause == PresumedCause::WorkerRestarted);
  }
  SUBCASE("another worker answers") {
    HoldOrder Hold;
    Hold.Worker = "w1";
    ReportResult Result;
    Result.Outcome = OrderOutcome::OtherIncarnation;
    R.B.Owner.onReport(Hold, Result, R.B.Now, R.B.Now);
    CHECK(R.onlyPresumedEnd().Cause == PresumedCause::WorkerReplaced);
  }
  SUBCASE("its machine is removed") {
    R.B.Owner.endIncarnation({"w1", 1});
    CHECK(R.onlyPresumedEnd().Cause == PresumedCause::MachineOrdered);
  }
  SUBCASE("its worker is not listed any more and its machine is gone") {
    R.B.Owner.setWorkers({}, R.B.Now);
    R.B.Owner.confirmEnded("w1");
    CHECK(R.onlyPresumedEnd().Cause == PresumedCause::MachineListed);
  }
  SUBCASE("the lease lapses") {
    R.B.plan();
    R.B.advance(milliseconds(20000));
    R.B.plan();
    CHECK(R.onlyPresumedEnd().Cause == PresumedCause::LeaseLapsed);
  }
}

TEST_CASE("a report that lists a run which counted as ended is logged") {
  RunningTask R;
  R.reportWithoutRun();
  std::optional<RunEnd> How;
  SUBCASE("as running") { R.B.report("w1", {runReportOf(R.Start)}); }
  SUBCASE("as ended") {
    How = RunEnd::Done;
    R.B.report("w1", {},
               {endReportOf(1, R.Start.Task, R.Start.Run, RunEnd::Done)});
  }
  std::vector<SurvivingRun> Survivors = R.B.Owner.takeEvents().Survivors;
  REQUIRE(Survivors.size() == 1);
  CHECK(Survivors[0].Presumed.Run == R.Start.Run);
  CHECK(Survivors[0].Presumed.Cause == PresumedCause::NotReported);
  CHECK(Survivors[0].End == How);
}

TEST_CASE("a start that stays open over a restart doesn't count as ended") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  B.Owner.addJob(sampleJob(1), B.Now);
  StartOrder Start = B.plan().Starts.at(0);
  B.Owner.onSending(Start, B.Now);
  B.advance(milliseconds(10));
  HoldOrder Hold;
  Hold.Worker = "w1";
  B.report(Hold, {}, 2);
  CHECK(B.Owner.takeEvents().PresumedEnds.empty());
}

TEST_CASE("the latest presumed ends are kept") {
  PresumedEnds Ends;
  TaskRef Task;
  for (RunId Run = 1; Run <= 1001; ++Run) {
    PresumedEnd End;
    End.Task = Task;
    End.Run = Run;
    Ends.add(End);
  }
  CHECK_FALSE(Ends.take(Task, 1));
  CHECK(Ends.take(Task, 2));
  CHECK_FALSE(Ends.take(Task, 2));
}

TEST_CASE(
    "runs start elsewhere since another worker answers at an address that "
    "isn't their worker's") {
  TwoTasksAfterRestart R;
  OwnerFixture &B = R.B;
  SUBCASE("any more, asked for a report before a row showed that") {
    core::TimePoint SentAt = B.Now;
    R.list("next", TwoTasksAfterRestart::Born);
    R.refuseReport(SentAt);
    CHECK(R.presumedEnds() == 0);
  }
  SUBCASE("any more, told to stop a run before a row showed that") {
    StopOrder Stop = R.stopFirst();
    R.list("next", TwoTasksAfterRestart::Born);
    R.refuseStop(Stop);
    CHECK(R.presumedEnds() == 0);
  }
  SUBCASE("but that of a late row, asked for a report") {
    R.list("former", TwoTasksAfterRestart::Born - 1);
    R.refuseReport(B.Now);
    CHECK(R.presumedEnds() == 0);
  }
  SUBCASE("but that of a late row, told to stop a run") {
    R.list("former", TwoTasksAfterRestart::Born - 1);
    R.refuseStop(R.stopFirst());
    CHECK(R.presumedEnds() == 0);
  }
  SUBCASE("but it is theirs, asked for a report (control)") {
    R.refuseReport(B.Now);
    CHECK(R.presumedEnds() == 2);
  }
  SUBCASE("but it is theirs, told to stop a run (control)") {
    R.refuseStop(R.stopFirst());
    CHECK(R.presumedEnds() == 2);
  }
  SUBCASE("but it is theirs by a later report (control)") {
    R.list("next", TwoTasksAfterRestart::Born - 1);
    R.reportRunning();
    R.refuseReport(B.Now);
    CHECK(R.presumedEnds() == 2);
  }
}
