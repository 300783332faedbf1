#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

/// A settled owner of a worker with room, and a job of two tasks whose progress
/// can't be read.
struct HeldJob : OwnerFixture {
  JobSpec Spec = sampleJob(1, 2);

  HeldJob() {
    listWorkers({"w1"});
    Owner.setEarlierOwnersStopped(Now);
    Owner.holdJob(Spec, JobState::Running, Now);
    JobsReadAt = Now + std::chrono::hours(1);
    plan();
    report("w1");
    plan();
  }
  const JobRecord &job() const { return *Owner.findJob(Spec.Id); }
  /// Its stored progress: the first task is done.
  JobProgress kept(JobState State = JobState::Running) const {
    JobProgress Kept;
    Kept.State = State;
    Kept.Tasks.resize(2);
    Kept.Tasks[0].Done = true;
    return Kept;
  }
  RunReport runOf(std::uint32_t Index, RunId Run) const {
    RunReport Report;
    Report.Task = {Spec.Id, 0, 0, Index};
    Report.Run = Run;
    return Report;
  }
  EndReport endOf(std::uint32_t Index, RunId Run) const {
    return endReportOf(1, {Spec.Id, 0, 0, Index}, Run, RunEnd::Done);
  }
  std::uint64_t storedUpTo() {
    Owner.onStored(Owner.takeChanges(100).Mark);
    plan();
    return Owner.workers().at("w1")->StoredUpTo;
  }
};

} // namespace

TEST_CASE("a job whose progress can't be read starts nothing, and then only "
          "what has not run") {
  HeldJob B;
  CHECK(B.plan().Starts.empty());
  PoolGauges Now = B.Owner.gauges(B.Now, 1000000);
  CHECK(Now.Waiting[indexOf(WaitReason::ProgressUnread)] == 2);
  CHECK(B.Owner.pending(B.Spec.Queue) == 0);
  B.Owner.restoreJob(B.Spec.Id, B.kept(), B.Now);
  Orders Planned = B.plan();
  REQUIRE(Planned.Starts.size() == 1);
  CHECK(Planned.Starts[0].Task.Index == 1);
}

TEST_CASE("nothing is stored of a job whose progress can't be read, nor is an "
          "end of it acknowledged") {
  HeldJob B;
  B.report("w1", {B.runOf(0, 1)}, {B.endOf(1, 2)});
  B.plan();
  CHECK(B.Owner.takeChanges(100).Writes.empty());
  CHECK(B.storedUpTo() == 0);
  B.Owner.cancelJob(B.Spec.Id);
  CHECK(B.Owner.takeChanges(100).Writes.empty());
  CHECK(B.storedUpTo() == 0);
}

TEST_CASE("ends reported while a job's progress can't be read count once it "
          "can") {
  HeldJob B;
  B.report("w1", {}, {B.endOf(1, 2)});
  B.Owner.restoreJob(B.Spec.Id, B.kept(), B.Now);
  CHECK(B.job().Now == JobState::Completed);
  CHECK(B.storedUpTo() == 1);
}

TEST_CASE("a run of a task that is done by the stored progress is stopped once "
          "that can be read") {
  HeldJob B;
  B.report("w1", {B.runOf(0, 1), B.runOf(1, 2)});
  CHECK(B.plan().Stops.empty());
  B.Owner.restoreJob(B.Spec.Id, B.kept(), B.Now);
  Orders Planned = B.plan();
  REQUIRE(Planned.Stops.size() == 1);
  CHECK(Planned.Stops[0].Run == 1);
  CHECK(Planned.Starts.empty());
}

TEST_CASE("a job that is cancelled while its progress can't be read never "
          "starts, and stays as it ended if it had ended") {
  HeldJob B;
  B.report("w1", {B.runOf(1, 2)});
  B.Owner.cancelJob(B.Spec.Id);
  CHECK(B.plan().Stops.size() == 1);
  SUBCASE("it was running") {
    B.Owner.restoreJob(B.Spec.Id, B.kept(), B.Now);
    CHECK(B.job().Now == JobState::Cancelled);
  }
  SUBCASE("it had completed") {
    B.Owner.restoreJob(B.Spec.Id, B.kept(JobState::Completed), B.Now);
    CHECK(B.job().Now == JobState::Completed);
  }
  CHECK(B.plan().Starts.empty());
}

TEST_CASE("the runs of a job that is cancelled while its row can't be read go "
          "on") {
  HeldJob B;
  RunReport Unknown;
  Unknown.Task = {jobId(2), 0, 0, 0};
  Unknown.Run = 1;
  B.Owner.awaitJob(jobId(2));
  B.report("w1", {Unknown});
  CHECK(B.plan().Stops.empty());
  SUBCASE("reported before") { B.Owner.cancelJob(jobId(2)); }
  SUBCASE("reported afterwards") {
    B.report("w1");
    B.Owner.cancelJob(jobId(2));
    CHECK(B.plan().Stops.empty());
    B.report("w1", {Unknown});
  }
  SUBCASE("found unreadable again") {
    B.Owner.cancelJob(jobId(2));
    B.Owner.awaitJob(jobId(2));
  }
  std::vector<StopOrder> Stops = B.plan().Stops;
  REQUIRE(Stops.size() == 1);
  CHECK(Stops[0].Task == Unknown.Task);
  CHECK(Stops[0].Run == Unknown.Run);
  CHECK(B.plan().Stops.empty());
  // The stop may have been lost.
  B.advance(milliseconds(1000));
  CHECK(B.plan().Stops.size() == 1);
  B.report("w1");
  B.advance(milliseconds(1000));
  CHECK(B.plan().Stops.empty());
}

TEST_CASE("an end of a job whose row can't be read is kept until it can") {
  HeldJob B;
  JobSpec Other = sampleJob(2);
  B.Owner.awaitJob(Other.Id);
  B.report("w1", {}, {endReportOf(1, {Other.Id, 0, 0, 0}, 1, RunEnd::Done)});
  CHECK(B.storedUpTo() == 0);
  B.Owner.inheritJob(Other, nullptr, B.Now);
  CHECK(B.Owner.findJob(Other.Id)->Now == JobState::Completed);
  CHECK(B.storedUpTo() == 1);
}

TEST_CASE("the time for which owners waited for a run's outcome counts again "
          "though its worker has answered since") {
  OwnerFixture B;
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  Kept.Tasks[0].CrashedRuns = {1, 2};
  Kept.Tasks[0].Announced = AnnouncedRun{3, "w1", 1, milliseconds(3000)};
  B.listWorkers({"w1"});
  B.Owner.inheritJob(sampleJob(1), &Kept, B.Now);
  B.plan();
  RunReport Alive;
  Alive.Task = {jobId(1), 0, 0, 0};
  Alive.Run = 3;
  B.report("w1", {Alive});
  ProgressBatch Batch = B.Owner.takeChanges(100);
  REQUIRE(Batch.Writes.size() == 1);
  const std::optional<AnnouncedRun> &Stored =
      Batch.Writes[0].Progress.Tasks[0].Announced;
  REQUIRE(Stored);
  CHECK(Stored->Waited == core::Duration::zero());
}

TEST_CASE("an end whose effects were stored before is acknowledged once its "
          "job is known, though nothing else is stored") {
  HeldJob B;
  SUBCASE("its progress could not be read") {
    B.report("w1", {}, {B.endOf(0, 1)});
    B.Owner.restoreJob(B.Spec.Id, B.kept(), B.Now);
  }
  SUBCASE("its row could not be read") {
    JobSpec Other = sampleJob(2, 2);
    B.Owner.awaitJob(Other.Id);
    B.report("w1", {}, {endReportOf(1, {Other.Id, 0, 0, 0}, 1, RunEnd::Done)});
    JobProgress Kept = B.kept();
    B.Owner.inheritJob(Other, &Kept, B.Now);
  }
  B.plan();
  CHECK(B.Owner.workers().at("w1")->StoredUpTo == 1);
}

TEST_CASE("a crash under a job whose progress can't be read is stored once it "
          "can") {
  HeldJob B;
  B.report("w1", {B.runOf(1, 2)});
  B.Entries[0].Born = 2;
  B.Owner.setWorkers(B.Entries, B.Now);
  REQUIRE(PoolState::countCrashes(B.job(), 1) == 1);
  B.Owner.restoreJob(B.Spec.Id, B.kept(), B.Now);
  ProgressBatch Batch = B.Owner.takeChanges(10);
  REQUIRE(Batch.Writes.size() == 1);
  CHECK(Batch.Writes[0].Progress.Tasks[1].CrashedRuns == std::vector<RunId>{2});
}

TEST_CASE("a run that has ended counts as running for ever behind 500 ends of "
          "a job that can't be read" *
          doctest::should_fail()) {
  constexpr std::uint32_t MaxEndsListed = 500;
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.Owner.setEarlierOwnersStopped(B.Now);
  JobSpec Other = sampleJob(2, MaxEndsListed);
  B.Owner.awaitJob(Other.Id);
  B.Owner.addJob(sampleJob(1), B.Now);
  B.plan();
  B.report("w1");
  B.Owner.onStored(B.Owner.takeChanges(100).Mark);
  Orders Planned = B.plan();
  REQUIRE(Planned.Starts.size() == 1);
  B.answer(Planned.Starts[0], OrderOutcome::Accepted);
  std::vector<EndReport> Ends;
  for (std::uint32_t N = 0; N < MaxEndsListed; ++N)
    Ends.push_back(endReportOf(N + 1, {Other.Id, 0, 0, N}, 1, RunEnd::Done));
  for (int Second = 0; Second < 30; ++Second) {
    B.advance(std::chrono::seconds(1));
    B.report("w1", {}, Ends);
    B.Owner.onStored(B.Owner.takeChanges(100).Mark);
    B.plan();
  }
  CHECK(B.Owner.findJob(jobId(1))->Tasks[0].Runs.empty());
}

TEST_CASE("a run that has ended counts as running for ever behind 500 ends of "
          "a job whose row is refused" *
          doctest::should_fail()) {
  constexpr std::uint32_t MaxEndsListed = 500;
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.Owner.setEarlierOwnersStopped(B.Now);
  JobSpec Other = sampleJob(2, MaxEndsListed + 1);
  Other.Steps[0].Need.MilliCpus = 4001;
  B.Owner.addJob(Other, B.Now);
  B.Owner.addJob(sampleJob(1), B.Now);
  B.plan();
  B.report("w1");
  B.Owner.onStored(B.Owner.takeChanges(100).Mark);
  Orders Planned = B.plan();
  REQUIRE(Planned.Starts.size() == 1);
  B.answer(Planned.Starts[0], OrderOutcome::Accepted);
  std::vector<EndReport> Ends;
  for (std::uint32_t N = 0; N < MaxEndsListed; ++N)
    Ends.push_back(endReportOf(N + 1, {Other.Id, 0, 0, N}, 1, RunEnd::Done));
  B.report("w1", {}, Ends);
  ProgressBatch Refused = B.Owner.takeChanges(100);
  REQUIRE(Refused.Writes.size() == 1);
  B.Owner.setAside(Refused);
  B.Owner.onStored(Refused.Mark);
  for (int Second = 0; Second < 30; ++Second) {
    B.advance(std::chrono::seconds(1));
    B.report("w1", {}, Ends);
    B.Owner.onStored(B.Owner.takeChanges(100).Mark);
    B.plan();
  }
  CHECK(B.Owner.findJob(jobId(1))->Tasks[0].Runs.empty());
}

TEST_CASE("a worker takes nothing for as long as it has a run of a job that "
          "can't be read" *
          doctest::should_fail()) {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.Owner.setEarlierOwnersStopped(B.Now);
  JobSpec Lasting = sampleJob(1);
  Lasting.Steps[0].Lasting = true;
  B.Owner.addJob(Lasting, B.Now);
  B.plan();
  B.report("w1");
  B.Owner.onStored(B.Owner.takeChanges(100).Mark);
  Orders Planned = B.plan();
  REQUIRE(Planned.Starts.size() == 1);
  B.answer(Planned.Starts[0], OrderOutcome::Accepted);
  // The lasting run's lease is extended, and so is that of the other run.
  RunReport Unknown;
  Unknown.Task = {jobId(2), 0, 0, 0};
  Unknown.Run = 1;
  B.Owner.awaitJob(Unknown.Task.JobId);
  B.report("w1", {runReportOf(Planned.Starts[0]), Unknown});
  B.Owner.addJob(sampleJob(3), B.Now);
  bool Started = false;
  for (int Turn = 0; Turn < 300; ++Turn) {
    B.advance(milliseconds(100));
    Orders Next = B.plan();
    Started = Started || !Next.Starts.empty();
    B.report("w1", {runReportOf(Planned.Starts[0]), Unknown});
  }
  CHECK(Started);
}
