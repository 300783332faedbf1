#include "jobs/CrashFixture.h"

#include <doctest/doctest.h>

#include <optional>

// Lasting tasks on closed workers, and the places that others leave for them.

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

/// A lasting task has to run again within nine seconds.
constexpr milliseconds LongestWait(9000);

/// Workers on which short tasks of one job come and go.
struct PlaceFixture {
  CrashFixture F;

  explicit PlaceFixture(std::vector<std::string> Ids) : F(std::move(Ids)) {
    turns(10);
  }

  void turns(int Count) {
    for (int N = 0; N < Count; ++N)
      F.turn();
  }

  void label(const std::set<std::string> &Ids) {
    for (WorkerEntry &Entry : F.B.Entries) {
      Entry.Labels.clear();
      if (Ids.contains(Entry.Id))
        Entry.Labels.push_back("here");
    }
    F.B.Owner.setWorkers(F.B.Entries, F.B.Now);
  }

  /// Starts a run that goes on to the end of the test.
  void run(unsigned Job, const std::string &Worker, std::uint32_t MilliCpus,
           bool Lasting, std::uint32_t MemoryMb = 50) {
    JobSpec Spec = sampleJob(Job);
    Spec.Steps[0].Need = {MilliCpus, MemoryMb, 0};
    Spec.Steps[0].Lasting = Lasting;
    Spec.Steps[0].Label = "here";
    Spec.Steps[0].EstimateMs = 600000;
    label({Worker});
    F.B.Owner.addJob(Spec, F.B.Now);
    REQUIRE(F.workerOf(taskOf(Job)) == Worker);
  }

  /// Ends the oldest short run, so that their room comes free piece by piece.
  void endShort(const std::string &Short) {
    std::optional<StartOrder> Oldest;
    for (const auto &[Id, Starts] : F.Running)
      for (const StartOrder &Start : Starts)
        if (Start.Task.JobId == Short && (!Oldest || Start.Run < Oldest->Run))
          Oldest = Start;
    if (Oldest)
      F.finish(Oldest->Task);
  }

  std::string place(const TaskRef &Task) {
    for (const auto &[Id, Starts] : F.Running)
      for (const StartOrder &Start : Starts)
        if (Start.Task == Task)
          return Id;
    return "";
  }

  bool startsBeside(const TaskRef &Task, const std::string &Short) {
    for (milliseconds Passed(0); Passed <= LongestWait;
         Passed += milliseconds(100)) {
      if (!place(Task).empty())
        return true;
      endShort(Short);
      F.turn();
    }
    return false;
  }
};

} // namespace

TEST_CASE("a lasting task waits without end for a kept worker whose room a "
          "long run has, while short work passes on the others") {
  PlaceFixture P({"w1", "w2"});
  std::uint32_t Cpu = 2000;
  std::uint32_t Memory = 100;
  SUBCASE("of CPU") { P.run(100, "w1", 2500, false); }
  SUBCASE("of memory") {
    Memory = 500;
    P.run(100, "w1", 100, false, 700);
  }
  P.label({});
  JobSpec Short = sampleJob(2, 3000);
  Short.Steps[0].Need = {1000, 200, 0};
  Short.Steps[0].EstimateMs = 400;
  P.F.B.Owner.addJob(Short, P.F.B.Now);
  P.turns(5);
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Lasting = true;
  Spec.Steps[0].Need = {Cpu, Memory, 0};
  P.F.B.Owner.addJob(Spec, P.F.B.Now);
  CHECK(P.startsBeside(taskOf(1), jobId(2)));
}

TEST_CASE("a task whose workers crashed twice waits without end for a reserved "
          "worker whose room a long run has, while short work passes on the "
          "others") {
  PlaceFixture P({"w1", "w2"});
  P.run(100, "w1", 2500, false);
  P.label({});
  JobSpec Short = sampleJob(2, 3000);
  Short.Steps[0].EstimateMs = 400;
  P.F.B.Owner.addJob(Short, P.F.B.Now);
  P.turns(5);
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Need.MilliCpus = 2000;
  SUBCASE("that lasts") { Spec.Steps[0].Lasting = true; }
  SUBCASE("that ends by itself") {}
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  Kept.Tasks[0].CrashedRuns = {10, 20};
  P.F.B.Owner.inheritJob(Spec, &Kept, P.F.B.Now);
  CHECK(P.startsBeside(taskOf(1), jobId(2)));
}

TEST_CASE("a lasting task that crashed one worker is announced on a closed "
          "worker and taken back in every round") {
  PlaceFixture P({"w1", "w2"});
  P.run(100, "w1", 3500, true);
  P.run(101, "w2", 1000, true);
  P.label({});
  P.F.B.Owner.setClosedWorkers({"w2"});
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Need.MilliCpus = 2000;
  Spec.Steps[0].Lasting = true;
  std::size_t Crashes = 0;
  SUBCASE("without a crash (control)") {}
  SUBCASE("with a crash") { Crashes = 1; }
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  if (Crashes > 0)
    Kept.Tasks[0].CrashedRuns = {10};
  P.F.B.Owner.inheritJob(Spec, &Kept, P.F.B.Now);
  std::uint32_t Before = P.F.Writes;
  CHECK(P.F.workerOf(taskOf(1), LongestWait) == "w2");
  CHECK(P.F.Writes - Before < 20);
}

namespace {

/// Workers that report their runs as at work, and end stopped ones after a time
/// by job.
struct MoveFixture {
  OwnerFixture B;
  struct Live {
    StartOrder Order;
    std::optional<core::TimePoint> EndsAt;
  };
  std::map<std::string, std::vector<Live>> Running;
  std::map<std::string, std::uint64_t> Ended;
  std::map<std::string, milliseconds> StopTimes;
  /// Tasks that never get to work.
  std::set<TaskRef> NeverReady;
  /// Members of gangs end once another one has ended.
  bool BreaksGangs = false;
  std::set<RunId> EndedGangs;
  unsigned Stops = 0;
  std::vector<std::string> StartedOn;

  explicit MoveFixture(const std::vector<std::string> &Ids) {
    B.listWorkers(Ids);
    turn();
    reportAll();
    B.advance(
        std::chrono::duration_cast<milliseconds>(OwnerLimits().NewJobAge));
    reportAll();
    turns(milliseconds(1000));
  }

  void report(const std::string &Worker, std::vector<EndReport> Ends) {
    std::vector<RunReport> Reports;
    for (const Live &Run : Running[Worker])
      Reports.push_back(runReportOf(
          Run.Order, NeverReady.contains(Run.Order.Task) ? 50 : 100));
    B.report(Worker, std::move(Reports), std::move(Ends));
  }

  void reportAll() {
    for (const WorkerEntry &Entry : B.Entries)
      report(Entry.Id, {});
  }

  void turn() {
    B.advance(milliseconds(100));
    for (auto &[Worker, Runs] : Running) {
      std::vector<EndReport> Ends;
      for (const Live &Run : Runs)
        if (Run.EndsAt && *Run.EndsAt <= B.Now)
          Ends.push_back(endReportOf(++Ended[Worker], Run.Order.Task,
                                     Run.Order.Run, RunEnd::Stopped));
      for (const EndReport &End : Ends)
        EndedGangs.insert(End.Run);
      std::erase_if(Runs, [&](const Live &Run) {
        return Run.EndsAt && *Run.EndsAt <= B.Now;
      });
      report(Worker, std::move(Ends));
    }
    if (BreaksGangs)
      breakGangs();
    B.Owner.onStored(B.Owner.takeChanges(90).Mark);
    Orders Out = B.plan();
    for (const StartOrder &Order : Out.Starts) {
      B.answer(Order, OrderOutcome::Accepted);
      Running[Order.Worker].push_back({Order, std::nullopt});
      StartedOn.push_back(Order.Worker);
    }
    for (const StopOrder &Order : Out.Stops) {
      B.Owner.onStop(Order, {OrderOutcome::Accepted, B.clockMs()}, B.Now);
      for (Live &Run : Running[Order.Worker])
        if (Run.Order.Run == Order.Run && Run.Order.Task == Order.Task &&
            !Run.EndsAt) {
          ++Stops;
          Run.EndsAt = B.Now + StopTimes[Run.Order.Task.JobId];
        }
    }
    for (const HoldOrder &Hold : Out.Holds)
      report(Hold.Worker, {});
  }

  /// Ends the runs of gangs of which a member has ended.
  void breakGangs() {
    for (auto &[Worker, Runs] : Running) {
      std::vector<EndReport> Ends;
      for (const Live &Run : Runs)
        if (EndedGangs.contains(Run.Order.Run))
          Ends.push_back(endReportOf(++Ended[Worker], Run.Order.Task,
                                     Run.Order.Run, RunEnd::Broken));
      std::erase_if(Runs, [&](const Live &Run) {
        return EndedGangs.contains(Run.Order.Run);
      });
      report(Worker, std::move(Ends));
    }
  }

  void turns(milliseconds Time) {
    for (milliseconds Passed(0); Passed < Time; Passed += milliseconds(100))
      turn();
  }

  std::string place(const TaskRef &Task) const {
    for (const auto &[Id, Runs] : Running)
      for (const Live &Run : Runs)
        if (Run.Order.Task == Task)
          return Id;
    return "";
  }

  JobSpec lasting(unsigned Job, std::uint32_t MilliCpus) {
    JobSpec Spec = sampleJob(Job);
    Spec.Steps[0].Need = {MilliCpus, 10, 0};
    Spec.Steps[0].Lasting = true;
    Spec.Steps[0].AbsenceAllowance = 1;
    StopTimes[Spec.Id] = milliseconds(200);
    return Spec;
  }

  /// Starts the job's only task on the worker.
  void addOn(const std::string &Worker, const JobSpec &Spec) {
    std::set<std::string> Others;
    for (const WorkerEntry &Entry : B.Entries)
      if (Entry.Id != Worker)
        Others.insert(Entry.Id);
    B.Owner.setClosedWorkers(Others);
    B.Owner.addJob(Spec, B.Now);
    turns(milliseconds(300));
    B.Owner.setClosedWorkers({});
    REQUIRE(place({Spec.Id, 0, 0, 0}) == Worker);
  }
};

} // namespace

TEST_CASE("tasks that are stopped to empty an evicted worker start on it again "
          "while another one there is still being stopped") {
  MoveFixture P({"w1", "w2"});
  P.addOn("w1", P.lasting(1, 1500));
  P.addOn("w1", P.lasting(2, 1500));
  P.addOn("w2", P.lasting(3, 3500));
  SUBCASE("which stop at the same time (control)") {}
  SUBCASE("which stop one after the other") {
    P.StopTimes[jobId(2)] = milliseconds(500);
  }
  P.turns(milliseconds(1000));
  P.B.Owner.setClosedWorkers({"w1"});
  P.B.Owner.setEvictingWorkers({"w1"});
  P.Stops = 0;
  P.StartedOn.clear();
  bool Drained = false;
  for (int N = 0; N < 300 && !Drained; ++N) {
    P.turn();
    Drained = P.B.Owner.isDrained("w1");
  }
  MESSAGE("stops ", P.Stops, ", starts ", P.StartedOn.size());
  CHECK(Drained);
  CHECK(P.Stops == 2);
  CHECK(P.StartedOn.empty());
}

TEST_CASE("short work waits without end for a place that is held for a lasting "
          "task that may not move") {
  MoveFixture P({"w1", "w2", "w3"});
  auto OfTeam = [](JobSpec Spec) {
    Spec.Team = "team";
    return Spec;
  };
  P.addOn("w1", P.lasting(1, 2000));
  // The second task never gets to work, so that the first may not be stopped.
  JobSpec Two = OfTeam(P.lasting(2, 2000));
  Two.Steps[0].Tasks = 2;
  P.NeverReady.insert(taskOf(2, 1));
  P.B.Owner.setClosedWorkers({"w3"});
  P.B.Owner.addJob(Two, P.B.Now);
  P.turns(milliseconds(1000));
  REQUIRE(P.place(taskOf(2, 0)) == "w1");
  REQUIRE(P.place(taskOf(2, 1)) == "w2");
  P.B.Owner.cancelJob(jobId(1));
  P.turns(milliseconds(2000));
  REQUIRE(P.Running["w1"].size() == 1);
  std::set<std::string> Closed;
  JobSpec Short = OfTeam(sampleJob(3));
  SUBCASE("with no worker closed (control)") {}
  SUBCASE("on the worker, of which a half is free") {
    P.addOn("w3", P.lasting(4, 4000));
    Closed = {"w1"};
  }
  SUBCASE("of the team's limit") {
    P.B.Owner.setTeamRoom({{"team", {5500, 1000000, 0}}});
    Closed = {"w1"};
  }
  P.B.Owner.setClosedWorkers(Closed);
  P.turns(milliseconds(1000));
  P.B.Owner.addJob(Short, P.B.Now);
  P.turns(milliseconds(20000));
  CHECK(P.place(taskOf(3)) != "");
}

TEST_CASE("a lasting gang waits without end while short work takes each piece "
          "of room") {
  PlaceFixture P({"w1", "w2"});
  JobSpec Short = sampleJob(2, 3000);
  Short.Steps[0].EstimateMs = 400;
  P.F.B.Owner.addJob(Short, P.F.B.Now);
  P.turns(5);
  JobSpec Spec = sampleJob(1, 2);
  Spec.Steps[0].Lasting = true;
  Spec.Steps[0].Need.MilliCpus = 3000;
  SUBCASE("(control: no gang)") {}
  SUBCASE("a gang") { Spec.Steps[0].Gang = true; }
  P.F.B.Owner.addJob(Spec, P.F.B.Now);
  CHECK(P.startsBeside(taskOf(1), jobId(2)));
}

TEST_CASE(
    "a gang waits without end while short work takes each piece of room") {
  PlaceFixture P({"w1", "w2", "w3", "w4"});
  JobSpec Short = sampleJob(2, 6000);
  Short.Steps[0].EstimateMs = 400;
  P.F.B.Owner.addJob(Short, P.F.B.Now);
  P.turns(5);
  JobSpec Spec = sampleJob(1, 6);
  Spec.Steps[0].Gang = true;
  SUBCASE("in any rack") {}
  SUBCASE("in one rack") { Spec.Steps[0].SameRack = true; }
  P.F.B.Owner.addJob(Spec, P.F.B.Now);
  CHECK(P.startsBeside(taskOf(1), jobId(2)));
}

namespace {

/// A lasting gang of two at work on w1 and w2, each of which holds one member.
struct GangMoveFixture {
  MoveFixture P{{"w1", "w2", "w3"}};

  GangMoveFixture() {
    JobSpec Spec = P.lasting(1, 3000);
    Spec.Steps[0].Tasks = 2;
    Spec.Steps[0].Gang = true;
    P.B.Owner.setClosedWorkers({"w3"});
    P.B.Owner.addJob(Spec, P.B.Now);
    P.turns(milliseconds(1000));
    REQUIRE(P.Running["w1"].size() == 1);
    REQUIRE(P.Running["w2"].size() == 1);
    P.StartedOn.clear();
  }
};

} // namespace

TEST_CASE("one member of a lasting gang is stopped alone as its worker is "
          "closed") {
  GangMoveFixture G;
  MoveFixture &P = G.P;
  unsigned Expected = 0;
  SUBCASE("the others end with it") {
    P.BreaksGangs = true;
    Expected = 1;
  }
  SUBCASE("the others go on without it") { Expected = 2; }
  P.B.Owner.setClosedWorkers({"w1"});
  P.turns(milliseconds(3000));
  MESSAGE("stops ", P.Stops, ", on w1 ", P.Running["w1"].size(), ", w2 ",
          P.Running["w2"].size(), ", w3 ", P.Running["w3"].size());
  CHECK(P.Stops == Expected);
  CHECK(P.StartedOn.size() == 2);
  CHECK(P.Running["w2"].size() == 1);
  CHECK(P.Running["w3"].size() == 1);
}

TEST_CASE("a lasting gang is stopped as a member's worker is closed though it "
          "has no place elsewhere") {
  GangMoveFixture G;
  MoveFixture &P = G.P;
  P.BreaksGangs = true;
  SUBCASE("a worker's room is missing") {
    P.B.Owner.setClosedWorkers({"w1", "w3"});
  }
  SUBCASE("another lasting task has it") {
    P.addOn("w3", P.lasting(2, 2000));
    P.B.Owner.setClosedWorkers({"w1"});
  }
  P.turns(milliseconds(5000));
  CHECK(P.Stops == 0);
  CHECK(P.place(taskOf(1, 0)) != "");
  CHECK(P.place(taskOf(1, 1)) != "");
}

TEST_CASE("short work takes the places of a lasting gang that moves") {
  GangMoveFixture G;
  MoveFixture &P = G.P;
  SUBCASE("the others end with it") { P.BreaksGangs = true; }
  SUBCASE("the others go on without it") {}
  P.B.Owner.setClosedWorkers({"w1"});
  P.turn();
  P.B.Owner.addJob(sampleJob(2, 300), P.B.Now);
  core::TimePoint From = P.B.Now;
  auto IsMoved = [&](const TaskRef &Task) {
    return P.place(Task) == "w2" || P.place(Task) == "w3";
  };
  while (!IsMoved(taskOf(1, 0)) || !IsMoved(taskOf(1, 1))) {
    REQUIRE(P.B.Now - From < LongestWait);
    P.turn();
  }
}

TEST_CASE("a lasting gang never leaves a closed worker while short work takes "
          "each piece of room") {
  GangMoveFixture G;
  MoveFixture &P = G.P;
  P.BreaksGangs = true;
  P.B.Owner.setClosedWorkers({});
  JobSpec Short = sampleJob(2, 3000);
  Short.Steps[0].EstimateMs = 400;
  P.B.Owner.addJob(Short, P.B.Now);
  P.turn();
  REQUIRE(P.Running["w3"].size() > 1);
  P.B.Owner.setClosedWorkers({"w1"});
  core::TimePoint From = P.B.Now;
  while (P.Stops == 0) {
    REQUIRE(P.B.Now - From < std::chrono::seconds(10));
    for (auto &[Id, Runs] : P.Running)
      for (MoveFixture::Live &Run : Runs)
        if (Run.Order.Task.JobId == Short.Id && !Run.EndsAt)
          Run.EndsAt = P.B.Now + milliseconds(400);
    P.turn();
  }
  P.turns(milliseconds(3000));
  CHECK(P.place(taskOf(1, 0)) != "");
  CHECK(P.place(taskOf(1, 1)) != "");
}

TEST_CASE("a lasting task whose job's row is refused is stopped on a closed "
          "worker though it may not start again") {
  MoveFixture P({"w1", "w2"});
  JobSpec Spec = P.lasting(1, 1000);
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  Kept.Tasks[0].CrashedRuns = {10};
  P.B.Owner.inheritJob(Spec, &Kept, P.B.Now);
  P.turns(milliseconds(4000));
  std::string Place = P.place(taskOf(1));
  REQUIRE(Place != "");
  // Its checkpoint, or any other change, is refused.
  bool Refused = false;
  SUBCASE("(control: no row is refused)") {}
  SUBCASE("refused") { Refused = true; }
  if (Refused) {
    ProgressBatch Batch;
    ProgressWrite Write;
    Write.JobId = Spec.Id;
    Batch.Writes.push_back(Write);
    P.B.Owner.setAside(Batch);
  }
  P.B.Owner.setClosedWorkers({Place});
  P.turns(milliseconds(9000));
  CHECK(P.place(taskOf(1)) != "");
}

TEST_CASE("a new owner starts a task whose workers fell silent within nine "
          "seconds") {
  std::vector<std::string> Ids;
  Ids.reserve(20);
  for (int N = 0; N < 20; ++N)
    Ids.push_back("w" + std::to_string(N));
  CrashFixture F(Ids, 9);
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Lasting = true;
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  std::size_t Open = 0;
  bool Enrolled = false;
  SUBCASE("once (control)") { Open = 1; }
  SUBCASE("four times") { Open = 4; }
  SUBCASE("five times") { Open = 5; }
  SUBCASE("once, after two known crashes") {
    Open = 1;
    Kept.Tasks[0].CrashedRuns = {10, 20};
  }
  SUBCASE("four times, and the roster still has them") {
    Open = 4;
    Enrolled = true;
  }
  SUBCASE("once, after two known crashes, and the roster still has it") {
    Open = 1;
    Kept.Tasks[0].CrashedRuns = {10, 20};
    Enrolled = true;
  }
  for (std::size_t N = 0; N < Open; ++N) {
    AnnouncedRun Run{100 + N, "gone" + std::to_string(N), 1};
    F.Silent.insert(Run.Worker);
    if (Enrolled)
      F.B.Owner.addEnrolled(sampleWorker(Run.Worker), F.B.Now);
    if (N + 1 < Open)
      Kept.Tasks[0].Unsettled.push_back(Run);
    else
      Kept.Tasks[0].Announced = Run;
  }
  F.B.Owner.inheritJob(Spec, &Kept, F.B.Now);
  core::TimePoint Begin = F.B.Now;
  std::string Place = F.workerOf(taskOf(1), milliseconds(60000));
  MESSAGE(Open, " open: starts after ", core::inMs(F.B.Now - Begin), " ms");
  CHECK(Place != "");
  CHECK(F.B.Now - Begin < LongestWait);
}

TEST_CASE("a new owner does not wait anew for silent workers that an earlier "
          "one has waited for") {
  std::vector<std::string> Ids = {"w1", "w2", "w3", "w4"};
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Lasting = true;
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  for (RunId Run = 100; Run < 104; ++Run)
    Kept.Tasks[0].Unsettled.push_back({Run, "gone" + std::to_string(Run), 1});
  Kept.Tasks[0].Announced = {104, "gone104", 1};
  core::Duration Passed{0};
  for (std::uint64_t Token = 9; Token < 14; ++Token) {
    CrashFixture F(Ids, Token);
    F.Stores = false;
    for (RunId Run = 100; Run < 105; ++Run) {
      std::string Gone = "gone" + std::to_string(Run);
      F.Silent.insert(Gone);
      F.B.Owner.addEnrolled(sampleWorker(Gone), F.B.Now);
    }
    F.B.Owner.inheritJob(Spec, &Kept, F.B.Now);
    core::TimePoint Begin = F.B.Now;
    bool Started = !F.workerOf(taskOf(1), milliseconds(6500)).empty();
    Passed += F.B.Now - Begin;
    if (Started)
      break;
    std::optional<JobProgress> Stored = F.store(jobId(1));
    REQUIRE(Stored);
    Kept = *Stored;
  }
  MESSAGE("starts after ", core::inMs(Passed), " ms");
  // One owner alone waits 20 s.
  CHECK(Passed < std::chrono::seconds(24));
}
