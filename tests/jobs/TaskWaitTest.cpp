#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

/// The waiting tasks by reason, as "reason=count reason=count".
std::string waitsOf(OwnerFixture &B) {
  PoolGauges Now = B.Owner.gauges(B.Now, 1000000);
  std::string Text;
  for (std::size_t V = 0; V < Now.Waiting.size(); ++V)
    if (Now.Waiting[V] > 0)
      Text += (Text.empty() ? "" : " ") +
              std::string(nameOf(static_cast<WaitReason>(V))) + '=' +
              std::to_string(Now.Waiting[V]);
  return Text;
}

/// An owner whose workers have reported.
struct HeardWorkers : OwnerFixture {
  explicit HeardWorkers(std::vector<std::string> Ids) {
    listWorkers(Ids);
    Owner.setEarlierOwnersStopped(Now - std::chrono::seconds(20));
    plan();
    for (const std::string &Id : Ids)
      report(Id);
  }

  /// A job whose only task crashed so many workers, and may have crashed others
  /// that are silent.
  void inheritCrashed(unsigned Number, std::size_t Crashes,
                      std::vector<AnnouncedRun> Open = {}) {
    JobProgress Kept;
    Kept.Tasks.resize(1);
    for (RunId Run = 1; Run <= Crashes; ++Run)
      Kept.Tasks[0].CrashedRuns.push_back(Run);
    for (const AnnouncedRun &Run : Open)
      Owner.addEnrolled(sampleWorker(Run.Worker), Now);
    if (!Open.empty()) {
      Kept.Tasks[0].Announced = Open.back();
      Open.pop_back();
    }
    Kept.Tasks[0].Unsettled = Open;
    Owner.inheritJob(sampleJob(Number), &Kept, Now);
  }
};

} // namespace

TEST_CASE("a task that waits for a worker to itself is not said to wait for "
          "room") {
  HeardWorkers B({"w1"});
  B.Owner.addJob(sampleJob(1), B.Now);
  REQUIRE(B.plan().Starts.size() == 1);
  B.inheritCrashed(2, 2);
  CHECK(B.plan().Starts.empty());
  CHECK(waitsOf(B) == "isolated=1");
}

TEST_CASE("a task whose last crash may have happened waits for its outcome") {
  HeardWorkers B({"w1"});
  B.plan();
  B.inheritCrashed(1, 2, {{3, "w2", 1}});
  CHECK(B.plan().Starts.empty());
  CHECK(waitsOf(B) == "crash-open=1");
}

TEST_CASE("a gang that finds too few workers at once is not said to wait for "
          "room") {
  HeardWorkers B({"w1", "w2"});
  JobSpec Spec = sampleJob(1, 3);
  Spec.Steps[0].Gang = true;
  SUBCASE("too few places") { Spec.Steps[0].Need.MilliCpus = 3000; }
  SUBCASE("too few workers") { Spec.Steps[0].MaxPerWorker = 1; }
  B.Owner.addJob(Spec, B.Now);
  CHECK(B.plan().Starts.empty());
  CHECK(waitsOf(B) == "gang=3");
}

TEST_CASE("a suspect task whose row the store refuses waits for the row") {
  HeardWorkers B({"w1"});
  B.inheritCrashed(1, 1);
  CHECK(B.plan().Starts.empty());
  ProgressBatch Refused = B.Owner.takeChanges(10);
  REQUIRE(Refused.Writes.size() == 1);
  B.Owner.setAside(Refused);
  B.Owner.onStored(Refused.Mark);
  CHECK(B.plan().Starts.empty());
  CHECK(B.plan().Starts.empty());
  CHECK(waitsOf(B) == "row-refused=1");
}

TEST_CASE("a start that is withheld until its worker reports waits for the "
          "report") {
  HeardWorkers B({"w1"});
  core::TimePoint ConfirmedAt = B.Now;
  B.advance(milliseconds(1500));
  JobSpec Spec = sampleJob(1, 2);
  SUBCASE("each task by itself") {}
  SUBCASE("a gang") { Spec.Steps[0].Gang = true; }
  B.Owner.addJob(Spec, B.Now);
  CHECK(B.planConfirmed(ConfirmedAt).Starts.empty());
  CHECK(waitsOf(B) == "report=2");
}

TEST_CASE("a repetition before its time is not due, and no wait of a task") {
  HeardWorkers B({"w1"});
  JobSpec Spec = sampleJob(1);
  Spec.Repetitions = 2;
  Spec.FirstDueMs = 1000000;
  Spec.IntervalMs = 5000;
  B.Owner.addJob(Spec, B.Now);
  CHECK(B.plan().Starts.size() == 1);
  CHECK(waitsOf(B) == "not-due=1");
  CHECK_FALSE(B.Owner.gauges(B.Now, 1000000).LongestOtherWait);
}

TEST_CASE("a gang that exceeds its team's limit as a whole waits for the "
          "limit") {
  HeardWorkers B({"w1"});
  JobSpec Spec = sampleJob(1, 3);
  Spec.Steps[0].Gang = true;
  B.Owner.addJob(Spec, B.Now);
  B.Owner.setTeamRoom({{"", core::Resources{2000, 10000, 0}}});
  CHECK(B.plan().Starts.empty());
  CHECK(waitsOf(B) == "team-limit=3");
}

TEST_CASE("a task whose step fills its share of each worker with room waits "
          "for the spread") {
  HeardWorkers B({"w1"});
  JobSpec Spec = sampleJob(1, 2);
  Spec.Steps[0].MaxPerWorker = 1;
  B.Owner.addJob(Spec, B.Now);
  CHECK(B.plan().Starts.size() == 1);
  CHECK(waitsOf(B) == "spread=1");
}

TEST_CASE("a task whose label no usable worker has waits for the label") {
  HeardWorkers B({"w1", "w2"});
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Label = "fast";
  B.Entries[1].Labels = {"fast"};
  B.Owner.setWorkers(B.Entries, B.Now);
  B.Owner.setClosedWorkers({"w2"});
  B.Owner.addJob(Spec, B.Now);
  CHECK(B.plan().Starts.empty());
  CHECK(waitsOf(B) == "label=1");
}

TEST_CASE("a task that exceeds each worker's capacity is unplaceable") {
  HeardWorkers B({"w1", "w2"});
  JobSpec Spec = sampleJob(1);
  SUBCASE("each worker is too small") { Spec.Steps[0].Need.MilliCpus = 4001; }
  SUBCASE("the ones with its label are") {
    B.Entries[0].Capacity.MilliCpus = 9000;
    B.Entries[1].Labels = {"fast"};
    B.Owner.setWorkers(B.Entries, B.Now);
    Spec.Steps[0].Label = "fast";
    Spec.Steps[0].Need.MilliCpus = 5000;
  }
  B.Owner.addJob(Spec, B.Now);
  CHECK(B.plan().Starts.empty());
  CHECK(waitsOf(B) == "unplaceable=1");
}

TEST_CASE("a task for which only room lacks waits for room") {
  HeardWorkers B({"w1"});
  B.Owner.addJob(sampleJob(1, 5), B.Now);
  CHECK(B.plan().Starts.size() == 4);
  CHECK(waitsOf(B) == "room=1");
}

TEST_CASE("the waits of all tasks are counted by reason and length") {
  HeardWorkers B({"w1"});
  JobSpec Lasting = sampleJob(1);
  Lasting.Steps[0].Lasting = true;
  Lasting.Steps[0].Label = "fast";
  JobSpec Short = sampleJob(2, 2);
  Short.Steps[0].Label = "fast";
  B.Owner.addJob(Lasting, B.Now);
  B.advance(milliseconds(4000));
  B.Owner.addJob(Short, B.Now);
  B.advance(milliseconds(2000));
  B.plan();
  PoolGauges Now = B.Owner.gauges(B.Now, 1000000);
  const core::DurationHistogram &Waits =
      Now.Waits[jobs::indexOf(WaitReason::Label)];
  CHECK(Waits.Total == 3);
  CHECK(Waits.Max == milliseconds(6000));
  CHECK(core::countAbove(Waits, std::chrono::seconds(5)) == 1);
  CHECK(core::countAbove(Waits, std::chrono::seconds(1)) == 3);
}

TEST_CASE("a short task that can't start though the pool is idle is reported "
          "before its bound has passed") {
  HeardWorkers B({"w1", "w2"});
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Label = "fast";
  B.Owner.addJob(Spec, B.Now);
  B.advance(milliseconds(7000));
  B.plan();
  CHECK_FALSE(B.Owner.takeEvents().LongestWait);
  B.advance(milliseconds(1000));
  B.plan();
  std::optional<LongWait> Long = B.Owner.takeEvents().LongestWait;
  REQUIRE(Long);
  CHECK_FALSE(Long->Lasting);
  CHECK(Long->Wait.Task == TaskRef{jobId(1), 0, 0, 0});
  CHECK(Long->Wait.Reason == WaitReason::Label);
  CHECK(Long->Wait.Age == milliseconds(8000));
  CHECK(Long->Placement.Usable == 2);
  CHECK(Long->Placement.WithLabel == 0);
  B.advance(milliseconds(999));
  B.plan();
  CHECK_FALSE(B.Owner.takeEvents().LongestWait);
}

TEST_CASE("a long wait is not reported in the first second of the owner's "
          "clock") {
  OwnerFixture B;
  // The job is known for longer than the clock has run; only the first look
  // at waits falls into that second.
  B.Now = core::TimePoint() - milliseconds(8000);
  B.listWorkers({"w1"});
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Label = "fast";
  B.Owner.addJob(Spec, B.Now);
  B.report("w1");
  B.Now = core::TimePoint() + milliseconds(500);
  B.plan();
  CHECK(B.Owner.takeEvents().LongestWait);
}

TEST_CASE("a report of a long wait tells how many workers are kept for tasks "
          "that may crash them") {
  HeardWorkers B({"w1", "w2"});
  B.plan();
  B.inheritCrashed(
      1, 0,
      {{1, "w5", 1}, {2, "w6", 1}, {3, "w7", 1}, {4, "w8", 1}, {5, "w9", 1}});
  JobSpec Lasting = sampleJob(2, 2);
  Lasting.Steps[0].Lasting = true;
  Lasting.Steps[0].MaxPerWorker = 1;
  B.Owner.addJob(Lasting, B.Now);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 2);
  B.inheritCrashed(3, 2);
  B.advance(milliseconds(100));
  B.plan();
  for (int Second = 0; Second < 8; ++Second) {
    B.advance(milliseconds(1000));
    for (const StartOrder &Start : Out.Starts)
      B.report(Start.Worker, {runReportOf(Start)});
    B.plan();
  }
  std::optional<LongWait> Long = B.Owner.takeEvents().LongestWait;
  REQUIRE(Long);
  CHECK(Long->Wait.Reason == WaitReason::CrashOpen);
  CHECK(Long->Isolated == 1);
}

TEST_CASE("a task that waits for its turn in a full pool is not reported") {
  HeardWorkers B({"w1"});
  JobSpec Full = sampleJob(1, 4);
  B.Owner.addJob(Full, B.Now);
  std::vector<StartOrder> Running = B.plan().Starts;
  REQUIRE(Running.size() == 4);
  JobSpec Gang = sampleJob(3, 2);
  Gang.Steps[0].Gang = true;
  B.Owner.addJob(sampleJob(2, 3), B.Now);
  B.Owner.addJob(Gang, B.Now);
  for (int Second = 0; Second < 15; ++Second) {
    B.advance(milliseconds(1000));
    std::vector<RunReport> Reported;
    Reported.reserve(Running.size());
    for (const StartOrder &Start : Running)
      Reported.push_back(runReportOf(Start, 50));
    B.report("w1", Reported);
    B.plan();
    CHECK_FALSE(B.Owner.takeEvents().LongestWait);
  }
}

TEST_CASE("a gang that fits no set of workers of an idle pool is reported") {
  HeardWorkers B({"w1", "w2"});
  JobSpec Gang = sampleJob(1, 3);
  Gang.Steps[0].Gang = true;
  Gang.Steps[0].MaxPerWorker = 1;
  B.Owner.addJob(Gang, B.Now);
  B.advance(milliseconds(7001));
  B.plan();
  std::optional<LongWait> Long = B.Owner.takeEvents().LongestWait;
  REQUIRE(Long);
  CHECK(Long->Wait.Reason == WaitReason::Gang);
  CHECK(Long->Placement.WithSpread == 2);
}

TEST_CASE("of several long waits the one that has used most of its bound is "
          "reported") {
  HeardWorkers B({"w1"});
  JobSpec Other = sampleJob(1);
  Other.Steps[0].Label = "fast";
  JobSpec Lasting = sampleJob(2);
  Lasting.Steps[0].Label = "fast";
  Lasting.Steps[0].Lasting = true;
  B.Owner.addJob(Other, B.Now);
  B.advance(milliseconds(4000));
  B.Owner.addJob(Lasting, B.Now);
  B.advance(milliseconds(4000));
  B.plan();
  std::optional<LongWait> Long = B.Owner.takeEvents().LongestWait;
  REQUIRE(Long);
  CHECK(Long->Wait.Task.JobId == jobId(1));
  B.advance(milliseconds(4000));
  B.plan();
  Long = B.Owner.takeEvents().LongestWait;
  REQUIRE(Long);
  CHECK(Long->Wait.Task.JobId == jobId(2));
  CHECK(Long->Lasting);
}
