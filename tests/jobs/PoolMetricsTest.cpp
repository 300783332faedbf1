#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

template <typename Enum> void checkNames(std::size_t Values) {
  std::set<std::string> Names;
  for (std::size_t V = 0; V < Values; ++V) {
    CAPTURE(V);
    std::string Name = nameOf(static_cast<Enum>(V));
    CHECK(!Name.empty());
    CHECK(Names.insert(Name).second);
  }
  // The next value has no name, so the count of values is right.
  CHECK(std::string(nameOf(static_cast<Enum>(Values))).empty());
}

std::uint64_t countWithStatus(OwnerFixture &B, WorkerStatus Which) {
  return B.Owner.gauges(B.Now, 0).Workers[jobs::indexOf(Which)];
}

std::uint64_t countWaiting(OwnerFixture &B, WaitReason Why) {
  return B.Owner.gauges(B.Now, 0).Waiting[jobs::indexOf(Why)];
}

} // namespace

TEST_CASE("each value of a logged or counted enum has a unique name") {
  checkNames<OrderOutcome>(OrderOutcomeCount);
  checkNames<RunEnd>(RunEndCount);
  checkNames<WorkerStatus>(WorkerStatusCount);
  checkNames<WaitReason>(WaitReasonCount);
}

TEST_CASE("each worker is counted under exactly one status") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2", "w3", "w4", "w5", "w6", "w7"});
  B.plan();
  CHECK(countWithStatus(B, WorkerStatus::Unheard) == 7);
  for (const char *Id : {"w1", "w2", "w3", "w4", "w5"})
    B.report(Id);
  RunReport Stranger;
  Stranger.Task.JobId = jobId(99);
  Stranger.Run = 1;
  B.report("w6", {Stranger});
  HoldOrder Lost;
  Lost.Worker = "w2";
  B.dropReport(Lost);
  B.Owner.setClosedWorkers({"w3"});
  B.Owner.endIncarnation({"w4", 1});
  B.Entries.erase(B.Entries.begin() + 4);
  B.Owner.setWorkers(B.Entries, B.Now);
  CHECK(countWithStatus(B, WorkerStatus::Usable) == 1);
  CHECK(countWithStatus(B, WorkerStatus::Silent) == 1);
  CHECK(countWithStatus(B, WorkerStatus::Closed) == 1);
  CHECK(countWithStatus(B, WorkerStatus::Ended) == 1);
  CHECK(countWithStatus(B, WorkerStatus::Gone) == 1);
  CHECK(countWithStatus(B, WorkerStatus::Occupied) == 1);
  CHECK(countWithStatus(B, WorkerStatus::Unheard) == 1);
  PoolGauges All = B.Owner.gauges(B.Now, 0);
  CHECK(std::accumulate(All.Workers.begin(), All.Workers.end(),
                        std::uint64_t{0}) == 7);
  CHECK(All.FreeMilliCpus == 4000);
}

TEST_CASE("a worker that is not in the stored roster yet is not counted as "
          "usable") {
  OwnerFixture B;
  std::vector<WorkerEntry> Entries = {sampleWorker("w1")};
  B.Owner.setWorkers(Entries, B.Now);
  B.plan();
  B.report("w1");
  CHECK(countWithStatus(B, WorkerStatus::Unenrolled) == 1);
  CHECK(B.Owner.gauges(B.Now, 0).FreeMilliCpus == 0);
  B.Owner.onStored(B.Owner.takeChanges(10).Mark);
  CHECK(countWithStatus(B, WorkerStatus::Usable) == 1);
}

TEST_CASE("a worker that refused a start is not counted as silent") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  B.Owner.addJob(sampleJob(1), B.Now);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 1);
  SUBCASE("refused") {
    B.answer(Out.Starts[0], OrderOutcome::NoRoom);
    CHECK(countWithStatus(B, WorkerStatus::Avoided) == 1);
  }
  SUBCASE("no answer") {
    B.answer(Out.Starts[0], OrderOutcome::Unknown);
    CHECK(countWithStatus(B, WorkerStatus::Silent) == 1);
  }
  SUBCASE("no report on its run") {
    B.answer(Out.Starts[0], OrderOutcome::Accepted);
    CHECK(countWithStatus(B, WorkerStatus::Usable) == 1);
    B.advance(milliseconds(2000));
    CHECK(countWithStatus(B, WorkerStatus::Silent) == 1);
  }
}

TEST_CASE("waiting tasks are counted by reason") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2"});
  B.plan();
  B.report("w1");
  B.report("w2");
  B.Owner.addJob(sampleJob(1, 10), B.Now);
  CHECK(B.plan().Starts.size() == 8);
  CHECK(countWaiting(B, WaitReason::Room) == 2);
  PoolGauges Full = B.Owner.gauges(B.Now, 0);
  CHECK(Full.OpenJobs == 1);
  CHECK(Full.Runs == 8);
  CHECK(Full.UnconfirmedRuns == 8);
  CHECK(Full.FreeMilliCpus == 0);
  B.Owner.setTeamRoom({{"", core::Resources{8000, 10000, 0}}});
  CHECK(countWaiting(B, WaitReason::TeamLimit) == 2);
  CHECK(countWaiting(B, WaitReason::Room) == 0);
}

TEST_CASE("inherited tasks that wait for workers' reports are counted as "
          "waiting for the takeover") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2"});
  B.Owner.inheritJob(sampleJob(1, 3), nullptr, B.Now);
  B.plan();
  B.report("w1");
  CHECK(B.plan().Starts.empty());
  CHECK(countWaiting(B, WaitReason::Takeover) == 3);
  B.report("w2");
  CHECK(countWaiting(B, WaitReason::Takeover) == 0);
}

TEST_CASE("tasks whose step is not ready do not count as waiting") {
  OwnerFixture B;
  JobSpec Spec = sampleJob(1);
  Spec.Steps.push_back(Spec.Steps[0]);
  Spec.Steps[1].After = {0};
  B.Owner.addJob(Spec, B.Now);
  CHECK(countWaiting(B, WaitReason::Room) == 1);
}

TEST_CASE("answers and ends are counted by kind, and repeated ends once") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  B.Owner.addJob(sampleJob(1, 3), B.Now);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 3);
  B.answer(Out.Starts[0], OrderOutcome::Accepted);
  B.answer(Out.Starts[1], OrderOutcome::NoRoom);
  B.answer(Out.Starts[2], OrderOutcome::NotSent);
  EndReport End =
      endReportOf(1, Out.Starts[0].Task, Out.Starts[0].Run, RunEnd::Done);
  B.report("w1", {}, {End});
  B.report("w1", {}, {End});
  HoldOrder Lost;
  Lost.Worker = "w1";
  B.dropReport(Lost);
  PoolCounters Seen = B.Owner.takeCounters();
  CHECK(Seen.Starts == 3);
  CHECK(Seen.StartAnswers[jobs::indexOf(OrderOutcome::Accepted)] == 1);
  CHECK(Seen.StartAnswers[jobs::indexOf(OrderOutcome::NoRoom)] == 1);
  CHECK(Seen.StartAnswers[jobs::indexOf(OrderOutcome::NotSent)] == 1);
  CHECK(Seen.ReportAnswers[jobs::indexOf(OrderOutcome::Accepted)] == 3);
  CHECK(Seen.ReportAnswers[jobs::indexOf(OrderOutcome::Unknown)] == 1);
  CHECK(Seen.Ends[jobs::indexOf(RunEnd::Done)] == 1);
  CHECK(Seen.Done == 1);
  CHECK(B.Owner.takeCounters().Starts == 0);
}

TEST_CASE("starts record the age of the report and the starts per report") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  B.advance(milliseconds(300));
  B.Owner.addJob(sampleJob(1, 2), B.Now);
  B.plan();
  B.Owner.addJob(sampleJob(2, 1), B.Now);
  B.plan();
  PoolCounters Seen = B.Owner.takeCounters();
  CHECK(Seen.ReportAge.Total == 3);
  CHECK(Seen.ReportAge.Max == milliseconds(300));
  CHECK(Seen.MaxStartsPerReport == 3);
  B.report("w1");
  B.Owner.addJob(sampleJob(3, 1), B.Now);
  B.plan();
  CHECK(B.Owner.takeCounters().MaxStartsPerReport == 1);
}

TEST_CASE("counters record how long a worker was out of use and a run "
          "unconfirmed") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  B.plan();
  B.Owner.takeCounters();
  B.Owner.addJob(sampleJob(1, 2), B.Now);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 2);
  B.answer(Out.Starts[0], OrderOutcome::Accepted);
  B.advance(milliseconds(100));
  B.answer(Out.Starts[1], OrderOutcome::Unknown);
  B.plan();
  B.advance(milliseconds(300));
  B.report("w1", {runReportOf(Out.Starts[0]), runReportOf(Out.Starts[1])});
  B.plan();
  PoolCounters Seen = B.Owner.takeCounters();
  CHECK(Seen.Unconfirmed.Total == 2);
  CHECK(Seen.Unconfirmed.Max == milliseconds(400));
  const core::DurationHistogram &Silent =
      Seen.OutOfUse[jobs::indexOf(WorkerStatus::Silent)];
  CHECK(Silent.Total == 1);
  CHECK(Silent.Max == milliseconds(300));
  CHECK(Seen.OutOfUse[jobs::indexOf(WorkerStatus::Usable)].Total == 0);
}

TEST_CASE("an answer of a worker that is dated after now goes unnoticed") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2"});
  B.plan();
  B.report("w1");
  B.report("w2");
  B.advance(milliseconds(100));
  B.Owner.addJob(sampleJob(1), B.Now);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 1);
  const std::string &Fast = Out.Starts[0].Worker;
  B.report(Fast == "w1" ? "w2" : "w1");
  B.WorkersOlderBy += milliseconds(1200);
  B.answer(Out.Starts[0], OrderOutcome::Accepted);
  B.report(Fast, {runReportOf(Out.Starts[0])});
  CHECK(B.Owner.takeCounters().AnswersAhead == 2);
  std::vector<ClockAhead> Logged = B.Owner.takeEvents().ClocksAhead;
  REQUIRE(Logged.size() == 1);
  CHECK(Logged[0].Worker == Fast);
  CHECK(Logged[0].By == milliseconds(1200));
}

TEST_CASE("a worker that is out of use as the owner's machine boots is not "
          "counted") {
  OwnerFixture B;
  REQUIRE(B.Now == core::TimePoint());
  B.listWorkers({"w1"});
  B.plan();
  B.advance(milliseconds(300));
  B.report("w1");
  B.plan();
  PoolCounters Seen = B.Owner.takeCounters();
  const core::DurationHistogram &Unheard =
      Seen.OutOfUse[jobs::indexOf(WorkerStatus::Unheard)];
  CHECK(Unheard.Total == 1);
  CHECK(Unheard.Max == milliseconds(300));
}

// A gang whose last member finds no room is not started at all.
TEST_CASE("starts that are rolled back during planning are not counted") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  JobSpec Spec = sampleJob(1, 5);
  Spec.Steps[0].Gang = true;
  B.Owner.addJob(Spec, B.Now);
  CHECK(B.plan().Starts.empty());
  CHECK(B.Owner.takeCounters().Starts == 0);
}

TEST_CASE("the longest wait of a lasting task is reported with its reason and "
          "what its placement depends on") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2"});
  JobSpec Spec = sampleJob(1, 2);
  Spec.Steps[0].Lasting = true;
  Spec.Steps[0].MaxPerWorker = 1;
  B.Owner.inheritJob(Spec, nullptr, B.Now);
  B.plan();
  B.report("w1");
  B.advance(milliseconds(2900));
  B.plan();
  CHECK_FALSE(B.Owner.takeEvents().LongestWait);
  B.advance(milliseconds(1100));
  SUBCASE("an earlier owner may have started it") {
    B.plan();
    std::optional<LongWait> Long = B.Owner.takeEvents().LongestWait;
    REQUIRE(Long);
    CHECK(Long->Wait.Task == TaskRef{jobId(1), 0, 0, 0});
    CHECK(Long->Wait.Reason == WaitReason::Takeover);
    CHECK(Long->Wait.Age == milliseconds(4000));
    CHECK(Long->Unheard == 1);
    CHECK(Long->Placement.Usable == 1);
    CHECK_FALSE(B.Owner.takeEvents().LongestWait);
    PoolGauges Now = B.Owner.gauges(B.Now, 0);
    REQUIRE(Now.LongestLastingWait);
    CHECK(Now.LongestLastingWait->Age == milliseconds(4000));
    CHECK_FALSE(Now.LongestOtherWait);
  }
  SUBCASE("its step already runs on the only usable worker") {
    B.report("w2");
    B.Owner.setClosedWorkers({"w2"});
    CHECK(B.plan().Starts.size() == 1);
    std::optional<LongWait> Long = B.Owner.takeEvents().LongestWait;
    REQUIRE(Long);
    CHECK(Long->Wait.Task.Index == 1);
    CHECK(Long->Wait.Reason == WaitReason::Spread);
    CHECK(Long->Placement.WithLabel == 1);
    CHECK(Long->Placement.WithRoom == 1);
    CHECK(Long->Placement.WithSpread == 0);
  }
}

TEST_CASE(
    "a lasting task whose worker is silent is reported as waiting for it") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Lasting = true;
  B.Owner.addJob(Spec, B.Now);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 1);
  B.answer(Out.Starts[0], OrderOutcome::Accepted);
  B.report("w1", {runReportOf(Out.Starts[0])});
  B.advance(milliseconds(800));
  B.plan();
  B.advance(milliseconds(1200));
  B.plan();
  CHECK_FALSE(B.Owner.takeEvents().LongestWait);
  SUBCASE("the worker has not answered") {
    B.advance(milliseconds(1300));
    B.plan();
    std::optional<LongWait> Long = B.Owner.takeEvents().LongestWait;
    REQUIRE(Long);
    CHECK(Long->Wait.Task == TaskRef{jobId(1), 0, 0, 0});
    CHECK(Long->Wait.Reason == WaitReason::SilentWorker);
    CHECK(Long->Wait.Age == milliseconds(3300));
  }
  SUBCASE("the worker has answered") {
    B.report("w1", {runReportOf(Out.Starts[0])});
    B.advance(milliseconds(1300));
    B.plan();
    CHECK_FALSE(B.Owner.takeEvents().LongestWait);
  }
}

TEST_CASE("the wait of a task begins when its last run ended") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Lasting = true;
  B.Owner.addJob(Spec, B.Now);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 1);
  B.answer(Out.Starts[0], OrderOutcome::Accepted);
  B.advance(milliseconds(5000));
  B.report(
      "w1", {},
      {endReportOf(1, Out.Starts[0].Task, Out.Starts[0].Run, RunEnd::Stopped)});
  B.advance(milliseconds(100));
  PoolGauges Now = B.Owner.gauges(B.Now, 0);
  REQUIRE(Now.LongestLastingWait);
  CHECK(Now.LongestLastingWait->Age == milliseconds(100));
}

TEST_CASE("tasks wait for their owner's authority while it may not start any") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  B.Owner.addJob(sampleJob(1), B.Now);
  PlanInput In;
  In.Now = In.AuthorityEnd = B.Now;
  In.MayStart = false;
  CHECK(B.Owner.plan(In).Starts.empty());
  CHECK(countWaiting(B, WaitReason::Authority) == 1);
}
