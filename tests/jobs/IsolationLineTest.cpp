#include "jobs/CrashFixture.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr unsigned JobCount = 200;
/// A task that could run does so within this time.
constexpr milliseconds LongestWait(14000);

/// A pool in which each of many tasks has met two crashes of workers under an
/// earlier owner.
struct SuspectPool {
  CrashFixture F{{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}};
  std::set<std::string> Begun;
  std::map<TaskRef, int> Turns;
  /// The tasks that crash each worker that starts them, and their starts.
  std::map<TaskRef, std::uint32_t> Deadly;
  unsigned LastFresh = 1000;

  SuspectPool() {
    F.turn();
    F.turn();
  }

  void add(const JobSpec &Spec) {
    JobProgress Kept;
    Kept.State = JobState::Running;
    Kept.Tasks.resize(Spec.Steps[0].Tasks);
    for (TaskProgress &Task : Kept.Tasks)
      Task.CrashedRuns = {10, 20};
    F.B.Owner.inheritJob(Spec, &Kept, F.B.Now);
  }

  void addJobs() {
    for (unsigned Job = 1; Job <= JobCount; ++Job) {
      JobSpec Spec = sampleJob(Job);
      Spec.Steps[0].Need = {100, 10, 0};
      add(Spec);
    }
  }

  /// Each run that crashes no worker ends after a second.
  void turn() {
    F.turn();
    std::set<std::string> Crashing;
    for (const StartOrder &Start : F.LastStarts) {
      Begun.insert(Start.Task.JobId);
      auto At = Deadly.find(Start.Task);
      if (At == Deadly.end())
        continue;
      ++At->second;
      Crashing.insert(Start.Worker);
    }
    for (const std::string &Worker : Crashing)
      F.crash(Worker);
    std::vector<TaskRef> Over;
    for (const auto &[Id, Starts] : F.Running)
      for (const StartOrder &Start : Starts)
        if (++Turns[Start.Task] > 10)
          Over.push_back(Start.Task);
    for (const TaskRef &Task : Over)
      F.finish(Task);
  }

  /// All workers crash each half second, and a new job comes each turn.
  void storm(milliseconds Time) {
    for (WorkerEntry &Entry : F.B.Entries)
      Entry.Address = Entry.Id + ":1";
    for (milliseconds Passed(0); Passed < Time; Passed += milliseconds(100)) {
      JobSpec Fresh = sampleJob(++LastFresh);
      Fresh.Steps[0].Need = {100, 10, 0};
      F.B.Owner.addJob(Fresh, F.B.Now);
      turn();
      if (Passed % milliseconds(500) == milliseconds(0))
        for (const auto &[Id, Born] : std::map(F.Born))
          F.crash(Id);
    }
  }

  void run(milliseconds Time) {
    for (milliseconds Passed(0); Passed < Time; Passed += milliseconds(100))
      turn();
  }
};

} // namespace

TEST_CASE("tasks whose workers crashed twice wait in line for workers of their "
          "own for longer than a task may") {
  SuspectPool P;
  P.addJobs();
  P.run(LongestWait);
  CHECK(P.Begun.size() == JobCount);
}

TEST_CASE("a job of many tasks whose workers crashed twice waits in line for "
          "workers of its own for longer than a task may") {
  SuspectPool P;
  JobSpec Spec = sampleJob(1, JobCount);
  Spec.Steps[0].Need = {100, 10, 0};
  P.add(Spec);
  P.run(LongestWait);
  CHECK(P.Turns.size() == JobCount);
}

TEST_CASE("tasks that crash their workers start again and again, or others "
          "fail for them, where many tasks wait for workers of their own") {
  SuspectPool P;
  for (unsigned Job : {3U, 50U, 51U, 120U})
    P.Deadly[taskOf(Job)] = 0;
  P.addJobs();
  P.run(2 * LongestWait);
  for (unsigned Job = 1; Job <= JobCount; ++Job) {
    CAPTURE(Job);
    auto At = P.Deadly.find(taskOf(Job));
    JobState State = P.F.job(Job).Now;
    CHECK(State ==
          (At == P.Deadly.end() ? JobState::Completed : JobState::Failed));
    // The third crash, and one start more.
    if (At != P.Deadly.end())
      CHECK(At->second <= 2);
  }
}

TEST_CASE("tasks that shared a worker fail for its crash once an earlier one "
          "becomes known") {
  SuspectPool P;
  P.addJobs();
  // Under an earlier owner, each also had a run on w8, which is silent.
  P.F.Silent.insert("w8");
  for (unsigned Job = 1; Job <= 10; ++Job) {
    JobSpec Spec = sampleJob(JobCount + Job);
    Spec.Steps[0].Need = {100, 10, 0};
    JobProgress Kept;
    Kept.State = JobState::Running;
    Kept.Tasks.resize(1);
    Kept.Tasks[0].CrashedRuns = {10};
    Kept.Tasks[0].Announced = AnnouncedRun{20, "w8", 1};
    P.F.B.Owner.inheritJob(Spec, &Kept, P.F.B.Now);
  }
  std::string Shared;
  for (milliseconds Passed(0); Shared.empty() && Passed < LongestWait;
       Passed += milliseconds(100)) {
    P.turn();
    for (const auto &[Id, Starts] : P.F.Running)
      for (const StartOrder &Start : Starts)
        if (std::stoul(Start.Task.JobId) > JobCount && Starts.size() > 1)
          Shared = Id;
  }
  REQUIRE(!Shared.empty());
  P.F.crash(Shared);
  P.F.Silent.clear();
  P.F.crash("w8");
  P.run(milliseconds(1000));
  for (unsigned Job = 1; Job <= 10; ++Job)
    CHECK(P.F.job(JobCount + Job).Now != JobState::Failed);
}

TEST_CASE("tasks wait for as long as their pool's workers crash") {
  SuspectPool P;
  P.storm(milliseconds(1500));
  P.addJobs();
  P.storm(milliseconds(9000));
  unsigned Begun = 0;
  for (unsigned Job = 1; Job <= JobCount; ++Job)
    Begun += P.Begun.contains(jobId(Job)) ? 1 : 0;
  CHECK(Begun > 0);
}
