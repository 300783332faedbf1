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
  // One value more has no name: the number of values is right.
  CHECK(std::string(nameOf(static_cast<Enum>(Values))).empty());
}

std::uint64_t standing(const OwnerBench &B, WorkerStanding Which) {
  return B.Owner.census(B.Now, 0).Workers[jobs::indexOf(Which)];
}

std::uint64_t waiting(const OwnerBench &B, WaitReason Why) {
  return B.Owner.census(B.Now, 0).Waiting[jobs::indexOf(Why)];
}

} // namespace

TEST_CASE("every value that is logged or counted has a name of its own") {
  checkNames<OrderOutcome>(OrderOutcomes);
  checkNames<RunEnd>(RunEnds);
  checkNames<WorkerStanding>(WorkerStandings);
  checkNames<WaitReason>(WaitReasons);
}

TEST_CASE("each worker is counted once, by what keeps work from it") {
  OwnerBench B;
  B.list({"w1", "w2", "w3", "w4", "w5", "w6", "w7"});
  B.plan();
  CHECK(standing(B, WorkerStanding::Unheard) == 7);
  for (const char *Id : {"w1", "w2", "w3", "w4", "w5"})
    B.report(Id);
  RunReport Stranger;
  Stranger.Task.JobId = jobId(99);
  Stranger.Run = 1;
  B.report("w6", {Stranger});
  HoldOrder Lost;
  Lost.Worker = "w2";
  B.silent(Lost);
  B.Owner.setClosedWorkers({"w3"});
  B.Owner.endLife("w4");
  B.Entries.erase(B.Entries.begin() + 4);
  B.Owner.setWorkers(B.Entries, B.Now);
  CHECK(standing(B, WorkerStanding::Usable) == 1);
  CHECK(standing(B, WorkerStanding::Silent) == 1);
  CHECK(standing(B, WorkerStanding::Closed) == 1);
  CHECK(standing(B, WorkerStanding::Ended) == 1);
  CHECK(standing(B, WorkerStanding::Gone) == 1);
  CHECK(standing(B, WorkerStanding::Occupied) == 1);
  CHECK(standing(B, WorkerStanding::Unheard) == 1);
  PoolCensus All = B.Owner.census(B.Now, 0);
  CHECK(std::accumulate(All.Workers.begin(), All.Workers.end(),
                        std::uint64_t{0}) == 7);
  CHECK(All.FreeMilliCpus == 4000);
}

TEST_CASE("a worker that refused a start is told from a silent one") {
  OwnerBench B;
  B.list({"w1"});
  B.plan();
  B.report("w1");
  B.Owner.addJob(sampleJob(1), B.Now);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 1);
  SUBCASE("refused") {
    B.answer(Out.Starts[0], OrderOutcome::NoRoom);
    CHECK(standing(B, WorkerStanding::Avoided) == 1);
  }
  SUBCASE("no answer") {
    B.answer(Out.Starts[0], OrderOutcome::Unknown);
    CHECK(standing(B, WorkerStanding::Silent) == 1);
  }
  SUBCASE("no report on its run") {
    B.answer(Out.Starts[0], OrderOutcome::Accepted);
    CHECK(standing(B, WorkerStanding::Usable) == 1);
    B.pass(milliseconds(2000));
    CHECK(standing(B, WorkerStanding::Silent) == 1);
  }
}

TEST_CASE("tasks that wait are told apart by what they wait for") {
  OwnerBench B;
  B.list({"w1", "w2"});
  B.plan();
  B.report("w1");
  B.report("w2");
  B.Owner.addJob(sampleJob(1, 10), B.Now);
  CHECK(B.plan().Starts.size() == 8);
  CHECK(waiting(B, WaitReason::Room) == 2);
  PoolCensus Full = B.Owner.census(B.Now, 0);
  CHECK(Full.OpenJobs == 1);
  CHECK(Full.Runs == 8);
  CHECK(Full.UnsureRuns == 8);
  CHECK(Full.FreeMilliCpus == 0);
  B.Owner.setTeamRoom({{"", core::Resources{8000, 10000, 0}}});
  CHECK(waiting(B, WaitReason::TeamLimit) == 2);
  CHECK(waiting(B, WaitReason::Room) == 0);
}

TEST_CASE("inherited tasks that wait for unheard workers are told apart") {
  OwnerBench B;
  B.list({"w1", "w2"});
  B.Owner.inheritJob(sampleJob(1, 3), nullptr, B.Now);
  B.plan();
  B.report("w1");
  CHECK(B.plan().Starts.empty());
  CHECK(waiting(B, WaitReason::Takeover) == 3);
  B.report("w2");
  CHECK(waiting(B, WaitReason::Takeover) == 0);
}

TEST_CASE("steps that are not due yet do not count as waiting") {
  OwnerBench B;
  JobSpec Spec = sampleJob(1);
  Spec.Steps.push_back(Spec.Steps[0]);
  Spec.Steps[1].After = {0};
  B.Owner.addJob(Spec, B.Now);
  CHECK(waiting(B, WaitReason::Room) == 1);
}

TEST_CASE("answers and ends are counted by kind, once") {
  OwnerBench B;
  B.list({"w1"});
  B.plan();
  B.report("w1");
  B.Owner.addJob(sampleJob(1, 3), B.Now);
  Orders Out = B.plan();
  REQUIRE(Out.Starts.size() == 3);
  B.answer(Out.Starts[0], OrderOutcome::Accepted);
  B.answer(Out.Starts[1], OrderOutcome::NoRoom);
  B.answer(Out.Starts[2], OrderOutcome::NotSent);
  EndReport End =
      endedAs(1, Out.Starts[0].Task, Out.Starts[0].Run, RunEnd::Done);
  B.report("w1", {}, {End});
  B.report("w1", {}, {End});
  HoldOrder Lost;
  Lost.Worker = "w1";
  B.silent(Lost);
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

TEST_CASE("the age of the report behind a start and its use are counted") {
  OwnerBench B;
  B.list({"w1"});
  B.plan();
  B.report("w1");
  B.pass(milliseconds(300));
  B.Owner.addJob(sampleJob(1, 2), B.Now);
  B.plan();
  B.Owner.addJob(sampleJob(2, 1), B.Now);
  B.plan();
  PoolCounters Seen = B.Owner.takeCounters();
  CHECK(Seen.ReportAge.Total == 3);
  CHECK(Seen.ReportAge.Max == milliseconds(300));
  CHECK(Seen.MostByOneReport == 3);
  B.report("w1");
  B.Owner.addJob(sampleJob(3, 1), B.Now);
  B.plan();
  CHECK(B.Owner.takeCounters().MostByOneReport == 1);
}

// A gang that finds no room for its last member is not started at all.
TEST_CASE("starts that are taken back within a planning are not counted") {
  OwnerBench B;
  B.list({"w1"});
  B.plan();
  B.report("w1");
  JobSpec Spec = sampleJob(1, 5);
  Spec.Steps[0].Gang = true;
  B.Owner.addJob(Spec, B.Now);
  CHECK(B.plan().Starts.empty());
  CHECK(B.Owner.takeCounters().Starts == 0);
}
