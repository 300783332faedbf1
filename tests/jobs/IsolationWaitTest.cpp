#include "jobs/CrashFixture.h"

#include <doctest/doctest.h>
#include <utility>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

/// A lasting task has to run again within nine seconds, of which the lease of
/// its lost run takes three.
constexpr milliseconds LongestWait(6000);

struct IsolationFixture {
  CrashFixture F;
  unsigned Jobs = 100;

  explicit IsolationFixture(std::vector<std::string> Ids) : F(std::move(Ids)) {
    settle();
  }

  /// Only these workers have the label "here".
  void label(const std::set<std::string> &Ids) {
    for (WorkerEntry &Entry : F.B.Entries) {
      Entry.Labels.clear();
      if (Ids.contains(Entry.Id))
        Entry.Labels.push_back("here");
    }
    F.B.Owner.setWorkers(F.B.Entries, F.B.Now);
  }

  /// Starts a run that goes on to the end of the test.
  void run(const std::string &Worker, std::uint32_t MilliCpus, bool Lasting) {
    JobSpec Spec = sampleJob(++Jobs);
    Spec.Steps[0].Need = {MilliCpus, 50, 0};
    Spec.Steps[0].Lasting = Lasting;
    Spec.Steps[0].Label = "here";
    label({Worker});
    F.B.Owner.addJob(Spec, F.B.Now);
    REQUIRE(F.workerOf(taskOf(Jobs)) == Worker);
  }

  /// Adds a job that has crashed two workers under an earlier owner.
  void addCrashed(const JobSpec &Spec) {
    JobProgress Kept;
    Kept.State = JobState::Running;
    Kept.Tasks.resize(Spec.Steps[0].Tasks);
    Kept.Tasks[0].CrashedRuns = {10, 20};
    F.B.Owner.inheritJob(Spec, &Kept, F.B.Now);
  }

  void settle() {
    for (int Turn = 0; Turn < 10; ++Turn)
      F.turn();
  }

  /// Turns until the task has a run, while \p Short, a job of many tasks, is
  /// worked on: each run of it takes three to six turns.
  bool startsBeside(const TaskRef &Task, const std::string &Short) {
    std::map<TaskRef, std::uint32_t> Turns;
    for (milliseconds Passed(0); Passed <= LongestWait;
         Passed += milliseconds(100)) {
      std::vector<TaskRef> Over;
      for (const auto &[Id, Starts] : F.Running)
        for (const StartOrder &Start : Starts) {
          if (Start.Task == Task)
            return true;
          if (Start.Task.JobId == Short &&
              ++Turns[Start.Task] >= 3 + Start.Task.Index % 4)
            Over.push_back(Start.Task);
        }
      for (const TaskRef &Ended : Over)
        F.finish(Ended);
      F.turn();
    }
    return false;
  }
};

std::vector<std::string> workers(std::size_t Count) {
  std::vector<std::string> Ids(Count);
  for (std::size_t N = 0; N < Count; ++N)
    Ids[N] = "w" + std::to_string(N);
  return Ids;
}

} // namespace

TEST_CASE("a task whose workers crashed twice starts where the lasting tasks "
          "leave room") {
  IsolationFixture P({"w1", "w2"});
  P.run("w1", 1500, true);
  P.run("w1", 1200, true);
  P.run("w2", 3000, true);
  P.settle();
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Need.MilliCpus = 1250;
  SUBCASE("that lasts") { Spec.Steps[0].Lasting = true; }
  SUBCASE("that ends by itself") {}
  P.addCrashed(Spec);
  CHECK(P.F.workerOf(taskOf(1), LongestWait) == "w1");
}

TEST_CASE("a lasting task whose workers crashed twice starts where its step "
          "has not as many as allowed") {
  IsolationFixture P({"w1", "w2", "w3", "w4"});
  P.run("w2", 1000, true);
  P.run("w2", 1000, true);
  JobSpec Spec = sampleJob(1, 2);
  Spec.Steps[0].Lasting = true;
  Spec.Steps[0].MaxPerWorker = 1;
  Spec.Steps[0].Label = "here";
  P.label({"w1"});
  P.F.B.Owner.addJob(Spec, P.F.B.Now);
  REQUIRE(P.F.workerOf(taskOf(1, 0)) == "w1");
  for (const std::string Worker : {"w3", "w4"}) {
    P.label({Worker});
    REQUIRE(P.F.workerOf(taskOf(1, 1)) == Worker);
    P.F.crash(Worker);
  }
  P.label({"w1", "w2"});
  CHECK(P.F.workerOf(taskOf(1, 1), LongestWait) == "w2");
}

TEST_CASE("a task whose workers crashed twice does not wait without end for "
          "long runs") {
  IsolationFixture P(FourWorkers);
  for (const std::string &Id : FourWorkers)
    P.run(Id, 1000, false);
  P.settle();
  std::uint32_t Tasks = 0;
  SUBCASE("on workers with room") {}
  SUBCASE("in a pool that is full of short work") { Tasks = 1000; }
  P.F.B.Owner.addJob(sampleJob(2, std::max(Tasks, 1U)), P.F.B.Now);
  P.settle();
  P.addCrashed(sampleJob(1));
  CHECK(P.startsBeside(taskOf(1), jobId(2)));
}

TEST_CASE("a task that waits for a worker of its own holds up no other "
          "without end") {
  IsolationFixture P({"w1", "w2"});
  P.run("w1", 2000, false);
  P.run("w2", 2000, false);
  P.settle();
  JobSpec Large = sampleJob(1);
  Large.Steps[0].Need.MilliCpus = 4000;
  P.addCrashed(Large);
  P.addCrashed(sampleJob(2));
  CHECK(P.F.workerOf(taskOf(2), LongestWait) != "");
  CHECK(P.F.workerOf(taskOf(1), LongestWait) == "");
}

TEST_CASE("a gang that crashed two workers does not wait without end for "
          "workers without long runs") {
  IsolationFixture P(FourWorkers);
  for (const std::string &Id : FourWorkers)
    P.run(Id, 1000, false);
  JobSpec Spec = sampleJob(1, 3);
  Spec.Steps[0].Gang = true;
  Spec.Steps[0].MaxPerWorker = 1;
  std::uint32_t Tasks = 1;
  SUBCASE("on workers with room") {}
  SUBCASE("in a pool with much short work") { Tasks = 6; }
  P.F.B.Owner.addJob(sampleJob(2, Tasks), P.F.B.Now);
  P.settle();
  P.addCrashed(Spec);
  CHECK(P.startsBeside(taskOf(1), jobId(2)));
}

TEST_CASE("a gang that crashed two workers and needs most of the workers does "
          "not wait without end beside short work") {
  IsolationFixture P(workers(8));
  JobSpec Short = sampleJob(2, 1000);
  Short.Steps[0].MaxPerWorker = 2;
  P.F.B.Owner.addJob(Short, P.F.B.Now);
  P.settle();
  JobSpec Spec = sampleJob(1, 6);
  Spec.Steps[0].Gang = true;
  Spec.Steps[0].MaxPerWorker = 1;
  P.addCrashed(Spec);
  CHECK(P.startsBeside(taskOf(1), jobId(2)));
}

TEST_CASE("a task whose workers fell silent waits for none of them before its "
          "fifth start") {
  std::vector<std::string> Ids = workers(20);
  CrashFixture F(Ids);
  F.turn();
  JobSpec Spec = sampleJob(1);
  SUBCASE("that lasts") { Spec.Steps[0].Lasting = true; }
  SUBCASE("that ends by itself") {}
  F.B.Owner.addJob(Spec, F.B.Now);
  std::vector<core::TimePoint> Starts = {F.B.Now};
  core::TimePoint End = F.B.Now + std::chrono::seconds(22);
  while (F.B.Now < End) {
    F.turn();
    for (const StartOrder &Start : F.LastStarts) {
      Starts.push_back(F.B.Now);
      F.Silent.insert(Start.Worker);
      F.Running[Start.Worker].clear();
    }
  }
  // Each may have crashed its worker: a sixth start could be the third one
  // after the third crash.
  REQUIRE(Starts.size() == 6);
  for (std::size_t N = 1; N < Starts.size(); ++N)
    CHECK(Starts[N] - Starts[N - 1] < std::chrono::seconds(9));
  CHECK(F.job(1).Now == JobState::Running);
  CHECK(F.crashes(1) == 0);
  // A later owner that learns of the crashes gives the job up as well, unless
  // the task lasts.
  const TaskProgress &Kept = F.job(1).Tasks[0].Kept;
  REQUIRE(Kept.Unsettled.size() == 4);
  CHECK(Kept.Announced);
  CrashFixture Later(Ids, 9);
  for (const AnnouncedRun &Run : Kept.Unsettled)
    Later.Silent.insert(Run.Worker);
  Later.Silent.insert(Kept.Announced->Worker);
  JobProgress Progress;
  Progress.State = JobState::Running;
  Progress.Tasks = {Kept};
  Later.B.Owner.inheritJob(Spec, &Progress, Later.B.Now);
  CHECK(Later.workerOf(taskOf(1)) == "");
  Later.Silent.clear();
  for (const AnnouncedRun &Run : Kept.Unsettled)
    Later.crash(Run.Worker);
  if (!Spec.Steps[0].Lasting) {
    CHECK(Later.job(1).Now == JobState::Failed);
    return;
  }
  CHECK(Later.job(1).Now == JobState::Running);
  CHECK(Later.crashes(1) == OwnerLimits().MaxCrashes - 1);
  CHECK(Later.workerOf(taskOf(1), milliseconds(4000)) != "");
}

TEST_CASE("runs of silent workers that answer again don't count against their "
          "task") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  for (int Start = 0; Start < 2; ++Start) {
    std::string Worker = F.workerOf(taskOf(1), LongestWait);
    REQUIRE(!Worker.empty());
    F.Silent.insert(Worker);
    F.Running[Worker].clear();
  }
  REQUIRE(!F.workerOf(taskOf(1), LongestWait).empty());
  CHECK(F.job(1).Tasks[0].Kept.Unsettled.size() == 2);
  std::set<std::string> Heard = std::exchange(F.Silent, {});
  for (const std::string &Worker : Heard)
    F.report(Worker);
  CHECK(F.job(1).Tasks[0].Kept.Unsettled.empty());
  for (const std::string &Worker : Heard)
    F.crash(Worker);
  CHECK(F.crashes(1) == 0);
}

// Jobs that could run and didn't: each time that a suspect left the worker, the
// next one was given it first.
TEST_CASE("a lasting task waits as long as suspects take turns on the only "
          "worker with room") {
  constexpr std::uint32_t Suspects = 100;
  IsolationFixture P({"w1", "w2"});
  P.run("w1", 4000, true);
  JobSpec Crashed = sampleJob(1, Suspects);
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(Suspects);
  for (TaskProgress &Task : Kept.Tasks)
    Task.CrashedRuns = {10, 20};
  P.F.B.Owner.inheritJob(Crashed, &Kept, P.F.B.Now);
  P.settle();
  REQUIRE(!P.F.Running["w2"].empty());
  JobSpec Lasting = sampleJob(2);
  Lasting.Steps[0].Lasting = true;
  P.F.B.Owner.addJob(Lasting, P.F.B.Now);
  CHECK(P.startsBeside(taskOf(2), jobId(1)));
}
