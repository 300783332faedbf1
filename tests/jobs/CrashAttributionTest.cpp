#include "jobs/CrashFixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

// A task that crashes its workers was started without end: nothing counted the
// crashes.
TEST_CASE("a job fails after three workers crashed under one of its tasks") {
  CrashFixture F(FourWorkers);
  SUBCASE("whose clocks go on") {}
  SUBCASE("whose clocks are set back") {
    F.BirthStep = -1;
    for (auto &[Id, Born] : F.Born)
      Born = 100;
    F.listBirths();
  }
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  std::uint32_t Starts = 0;
  for (int Turn = 0; Turn < 100; ++Turn) {
    F.turn();
    for (const StartOrder &Start : F.LastStarts) {
      ++Starts;
      F.B.advance(milliseconds(200));
      F.crash(Start.Worker);
    }
  }
  CHECK(Starts == 3);
  CHECK(F.job(1).Now == JobState::Failed);
  F.store("");
  CHECK(PoolState::shownState(F.job(1)) == JobState::Failed);
  PoolCounters Counters = F.B.Owner.takeCounters();
  CHECK(Counters.Crashes == 3);
  CHECK(Counters.GivenUp == 1);
  std::vector<CrashRecord> Records = F.B.Owner.takeEvents().Crashes;
  REQUIRE(Records.size() == 3);
  CHECK(Records[0].Suspects.size() == 1);
  CHECK(Records[0].GivenUp.empty());
  REQUIRE(Records[2].GivenUp.size() == 1);
  CHECK(Records[2].GivenUp[0] == taskOf(1));
}

TEST_CASE("a crash counts against no task on an owner whose machine is younger "
          "than its workers") {
  CrashFixture F(FourWorkers);
  F.B.WorkersOlderBy = std::chrono::hours(24);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  std::string Worker = F.workerOf(taskOf(1));
  SUBCASE("after a report") { F.report(Worker); }
  SUBCASE("after the answer to the start") {}
  F.crash(Worker);
  CHECK(F.crashes(1) == 1);
}

TEST_CASE("a report clears a task's crashes at once on an owner whose machine "
          "is younger than its workers") {
  CrashFixture F(FourWorkers);
  F.B.WorkersOlderBy = std::chrono::hours(24);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  F.crash(F.workerOf(taskOf(1)));
  F.report(F.workerOf(taskOf(1)));
  CHECK(F.crashes(1) == 1);
}

/// Plans until there is a start, which is not answered, for at most \p Most.
static StartOrder unansweredStart(CrashFixture &F,
                                  milliseconds Most = milliseconds(8000)) {
  for (milliseconds Passed(0); Passed < Most; Passed += milliseconds(100)) {
    F.B.advance(milliseconds(100));
    Orders Out = F.B.plan();
    F.store("");
    for (const HoldOrder &Hold : Out.Holds)
      if (F.Silent.count(Hold.Worker) == 0)
        F.B.report(Hold, {}, F.Born[Hold.Worker]);
    if (!Out.Starts.empty())
      return Out.Starts.front();
  }
  return {};
}

/// Three workers are found to have crashed before the starts that were sent to
/// them are answered so.
static void checkStarts(OrderOutcome Answer, bool ByRow, std::size_t Counted) {
  CAPTURE(ByRow);
  CrashFixture F({"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"});
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  for (int Crash = 0; Crash < 3; ++Crash) {
    StartOrder Start = unansweredStart(F);
    REQUIRE(!Start.Worker.empty());
    if (ByRow) {
      F.crash(Start.Worker);
    } else {
      HoldOrder Hold;
      Hold.Worker = Start.Worker;
      ReportResult Result;
      Result.Outcome = OrderOutcome::OtherIncarnation;
      F.B.Owner.onReport(Hold, Result, F.B.Now, F.B.Now);
      F.Silent.insert(Start.Worker);
    }
    F.B.answer(Start, Answer);
  }
  if (Counted > 0)
    unansweredStart(F);
  CHECK(F.crashes(1) == Counted);
  CHECK((F.job(1).Now == JobState::Failed) == (Counted == 3));
}

TEST_CASE("a job is given up for starts that no worker carried out, as their "
          "answers show after its owner has learned of the restarts") {
  for (bool ByRow : {false, true}) {
    checkStarts(OrderOutcome::OtherIncarnation, ByRow, 0);
    checkStarts(OrderOutcome::NotSent, ByRow, 0);
    checkStarts(OrderOutcome::NoRoom, ByRow, 0);
    // Control.
    checkStarts(OrderOutcome::Accepted, ByRow, 3);
    checkStarts(OrderOutcome::Unknown, ByRow, 3);
  }
}

TEST_CASE("a later owner counts a stored run though its start was refused or "
          "not sent") {
  std::vector<std::string> Ids = {"w1", "w2", "w3", "w4",
                                  "w5", "w6", "w7", "w8"};
  CrashFixture Earlier(Ids);
  Earlier.turn();
  Earlier.B.Owner.addJob(sampleJob(1), Earlier.B.Now);
  for (int Crash = 0; Crash < 2; ++Crash)
    Earlier.crash(Earlier.workerOf(taskOf(1), milliseconds(9000)));
  StartOrder Start = unansweredStart(Earlier);
  REQUIRE(!Start.Worker.empty());
  OrderOutcome Answer = OrderOutcome::NotSent;
  std::size_t Counted = 2;
  SUBCASE("not sent") {}
  SUBCASE("another worker") { Answer = OrderOutcome::OtherIncarnation; }
  SUBCASE("(control: no clear answer)") {
    Answer = OrderOutcome::Unknown;
    Counted = 3;
  }
  Earlier.B.answer(Start, Answer);
  JobProgress Stored;
  Stored.Tasks = {Earlier.job(1).Tasks[0].Kept};
  CrashFixture Later(Ids, 8);
  Later.Born = Earlier.Born;
  ++Later.Born[Start.Worker];
  Later.listBirths();
  Later.B.Owner.inheritJob(sampleJob(1), &Stored, Later.B.Now);
  for (const std::string &Id : Ids)
    Later.report(Id);
  CHECK(Later.crashes(1) == Counted);
  CHECK((Later.job(1).Now == JobState::Failed) == (Counted == 3));
}

TEST_CASE("a run counts as having crashed an incarnation though the next one "
          "lists it or was born before its start was sent") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  StartOrder Start = unansweredStart(F);
  REQUIRE(!Start.Worker.empty());
  HoldOrder Hold;
  Hold.Worker = Start.Worker;
  ReportResult Result;
  Result.Outcome = OrderOutcome::Accepted;
  Result.Report = {50, F.Born[Start.Worker] + 1, {}, {}};
  std::size_t Counted = 0;
  SUBCASE("it lists the run") {
    Result.Report.Running.push_back(runReportOf(Start, 50));
  }
  SUBCASE("it was born before") { Result.Report.ClockMs = 100; }
  SUBCASE("(control: it may have been born since)") { Counted = 1; }
  F.B.advance(milliseconds(100));
  F.B.Owner.onStart(Start, {OrderOutcome::Unknown, 0}, F.B.Now);
  F.B.Owner.onReport(Hold, Result, F.B.Now, F.B.Now);
  CHECK(F.crashes(1) == Counted);
}

TEST_CASE("a crash counts against no task since an answer of the next life, "
          "whose clock shows more, makes its runs too old") {
  CrashFixture F({"w1"});
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  StartOrder Suspect = unansweredStart(F);
  REQUIRE(!Suspect.Worker.empty());
  F.B.answer(Suspect, OrderOutcome::Accepted);
  F.B.advance(milliseconds(50));
  F.B.report("w1", {runReportOf(Suspect, 10)});
  F.B.Owner.addJob(sampleJob(2), F.B.Now);
  F.B.advance(milliseconds(50));
  Orders Out = F.B.plan();
  REQUIRE(Out.Starts.size() == 1);
  F.B.advance(milliseconds(100));
  std::int64_t NextClockMs = F.B.clockMs() + 3600000;
  // Its lease end lies in the past there.
  F.B.Owner.onStart(Out.Starts[0], {OrderOutcome::Late, NextClockMs}, F.B.Now);
  HoldOrder Hold;
  Hold.Worker = "w1";
  ReportResult Result;
  Result.Outcome = OrderOutcome::Accepted;
  Result.Report = {NextClockMs, 2, {}, {}};
  F.B.Owner.onReport(Hold, Result, F.B.Now, F.B.Now);
  CHECK(F.crashes(1) == 1);
}

enum class NextLife : std::uint8_t { HasRun, LacksRun, Silent };

/// A worker's row tells of its restart before a report does.
static void checkRestartByRow(NextLife Next) {
  CAPTURE(static_cast<int>(Next));
  CrashFixture F(FourWorkers, 9);
  F.turn();
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  Kept.Tasks[0].CrashedRuns = {10, 20};
  F.B.Owner.inheritJob(sampleJob(1), &Kept, F.B.Now);
  StartOrder Start = unansweredStart(F, std::chrono::seconds(15));
  REQUIRE(!Start.Worker.empty());
  F.B.answer(Start, OrderOutcome::Accepted);
  F.crash(Start.Worker);
  if (Next == NextLife::HasRun)
    F.Running[Start.Worker] = {Start};
  if (Next == NextLife::Silent)
    F.Silent.insert(Start.Worker);
  std::size_t Starts = 0;
  for (int Turn = 0; Turn < (Next == NextLife::Silent ? 43 : 2); ++Turn) {
    F.turn();
    Starts += F.LastStarts.size();
  }
  CHECK(Starts == 0);
  CHECK((F.job(1).Now == JobState::Failed) == (Next != NextLife::HasRun));
}

TEST_CASE(
    "a job is given up for a run that the next incarnation accepted, since its "
    "worker's row told of that incarnation first") {
  checkRestartByRow(NextLife::HasRun);
  // Controls.
  checkRestartByRow(NextLife::LacksRun);
  checkRestartByRow(NextLife::Silent);
}

TEST_CASE("a job that is given up names the runs that were counted") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  std::vector<std::string> Workers;
  for (int Crash = 0; Crash < 3; ++Crash) {
    Workers.push_back(F.workerOf(taskOf(1)));
    REQUIRE(!Workers.back().empty());
    F.B.advance(milliseconds(200));
    F.crash(Workers.back());
  }
  std::vector<CrashRecord> Records = F.B.Owner.takeEvents().Crashes;
  REQUIRE(Records.size() == 3);
  CHECK(Records[1].Counted.empty());
  REQUIRE(Records[2].Counted.size() == 3);
  for (std::size_t N = 0; N < Workers.size(); ++N) {
    const CountedRun &Run = Records[2].Counted[N];
    CHECK(Run.Worker == Workers[N]);
    CHECK(Run.Born + 1 == Run.NextBorn);
    CHECK(Run.Run.Sign == StartSign::Listed);
    REQUIRE(Run.Run.OrderedAt);
    CHECK(Run.CountedAt - *Run.Run.OrderedAt >= milliseconds(200));
  }
}

TEST_CASE("a crash tells why runs of the worker are no suspects") {
  CrashFixture F({"w1"});
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  for (int Turn = 0; Turn < 10; ++Turn)
    F.turn();
  F.B.Owner.addJob(sampleJob(2), F.B.Now);
  REQUIRE(!F.workerOf(taskOf(2)).empty());
  F.crash("w1");
  std::vector<CrashRecord> Records = F.B.Owner.takeEvents().Crashes;
  REQUIRE(Records.size() == 1);
  CHECK(Records[0].Runs == 2);
  CHECK(Records[0].Suspects.size() == 1);
  CHECK(Records[0].TooOld == 1);
}

TEST_CASE("a crash is stored with the job's progress") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  std::string Worker = F.workerOf(taskOf(1));
  RunId Run = F.Running[Worker][0].Run;
  CHECK(!F.store(jobId(1)));
  F.crash(Worker);
  std::optional<JobProgress> Stored = F.store(jobId(1));
  REQUIRE(Stored);
  CHECK(Stored->Tasks[0].CrashedRuns == std::vector<RunId>{Run});
}

TEST_CASE("runs count only if their worker crashed soon after their start") {
  CrashFixture F(FourWorkers);
  F.turn();
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Lasting = true;
  F.B.Owner.addJob(Spec, F.B.Now);
  std::string Worker = F.workerOf(taskOf(1));
  SUBCASE("at once") {
    F.crash(Worker);
    CHECK(F.crashes(1) == 1);
  }
  SUBCASE("after four tenths of a second") {
    for (int Turn = 0; Turn < 4; ++Turn)
      F.turn();
    F.crash(Worker);
    CHECK(F.crashes(1) == 1);
  }
  SUBCASE("after a second") {
    for (int Turn = 0; Turn < 10; ++Turn)
      F.turn();
    F.crash(Worker);
    CHECK(F.crashes(1) == 0);
  }
  SUBCASE("the worker was removed on the owner's order") {
    F.B.Owner.endIncarnation({Worker, F.Born[Worker]});
    F.crash(Worker);
    CHECK(F.crashes(1) == 0);
  }
  SUBCASE("the worker was draining") {
    for (WorkerEntry &Entry : F.B.Entries)
      Entry.Draining = Entry.Id == Worker;
    F.B.Owner.setWorkers(F.B.Entries, F.B.Now);
    F.crash(Worker);
    CHECK(F.crashes(1) == 0);
  }
  SUBCASE("a report tells of the new incarnation first") {
    F.Running[Worker].clear();
    ++F.Born[Worker];
    F.report(Worker);
    CHECK(F.crashes(1) == 1);
  }
}

// A task that crashes its worker often does so before the start is answered.
TEST_CASE("a start without an answer may have crashed the worker") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  Orders Out = F.B.plan();
  REQUIRE(Out.Starts.size() == 1);
  SUBCASE("it was sent") {
    F.B.answer(Out.Starts[0], OrderOutcome::Unknown);
    F.crash(Out.Starts[0].Worker);
    CHECK(F.crashes(1) == 1);
  }
  SUBCASE("it was not sent") {
    F.B.answer(Out.Starts[0], OrderOutcome::NotSent);
    F.crash(Out.Starts[0].Worker);
    CHECK(F.crashes(1) == 0);
  }
}

// The platform gives a restarted worker another id at the address that the
// crashed one had.
TEST_CASE("a worker whose address has gone to another one has crashed") {
  CrashFixture F(FourWorkers);
  for (WorkerEntry &Entry : F.B.Entries)
    Entry.Address = Entry.Id + ":1";
  F.B.Owner.setWorkers(F.B.Entries, F.B.Now);
  F.turn();
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  std::string Worker = F.workerOf(taskOf(1));
  REQUIRE(!Worker.empty());
  RunId Run = F.Running[Worker][0].Run;
  F.Silent.insert(Worker);
  SUBCASE("another worker answers a report") {
    HoldOrder Order;
    Order.Worker = Worker;
    F.B.Owner.onReport(Order, {OrderOutcome::OtherIncarnation, {}}, F.B.Now,
                       F.B.Now);
    CHECK(F.crashes(1) == 1);
  }
  SUBCASE("another worker answers a report after the lease lapsed") {
    for (int Turn = 0; Turn < 60; ++Turn)
      F.turn();
    CHECK(F.crashes(1) == 0);
    HoldOrder Order;
    Order.Worker = Worker;
    F.B.Owner.onReport(Order, {OrderOutcome::OtherIncarnation, {}}, F.B.Now,
                       F.B.Now);
    CHECK(F.crashes(1) == 1);
  }
  SUBCASE("another worker answers a stop") {
    F.B.Owner.onStop({Worker, taskOf(1), Run},
                     {OrderOutcome::OtherIncarnation, 0}, F.B.Now);
    CHECK(F.crashes(1) == 1);
  }
  SUBCASE("another worker is listed there once the lease has lapsed") {
    for (int Turn = 0; Turn < 60; ++Turn)
      F.turn();
    std::vector<WorkerEntry> Entries = F.B.Entries;
    for (WorkerEntry &Entry : Entries)
      if (Entry.Id == Worker)
        Entry.Id = "w5";
    F.B.Owner.setWorkers(Entries, F.B.Now);
    CHECK(F.crashes(1) == 1);
  }
  SUBCASE("its machine has another worker once the lease has lapsed") {
    std::vector<std::string> Others = FourWorkers;
    std::erase(Others, Worker);
    for (int Turn = 0; Turn < 60; ++Turn)
      F.turn();
    F.list(Others);
    for (int Turn = 0; Turn < 60; ++Turn)
      F.turn();
    CHECK(F.B.Owner.mayHaveCrashed(Worker));
    F.B.Owner.confirmEnded(Worker);
    CHECK(F.crashes(1) == 1);
    CHECK(!F.B.Owner.mayHaveCrashed(Worker));
  }
  SUBCASE("its machine was taken away on the owner's order") {
    F.B.Owner.endIncarnation({Worker, F.Born[Worker]});
    HoldOrder Order;
    Order.Worker = Worker;
    F.B.Owner.onReport(Order, {OrderOutcome::OtherIncarnation, {}}, F.B.Now,
                       F.B.Now);
    CHECK(F.crashes(1) == 0);
  }
}

TEST_CASE("runs of a silent worker count once it is known to have crashed") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  std::string Worker = F.workerOf(taskOf(1));
  RunId Run = F.Running[Worker][0].Run;
  F.Silent.insert(Worker);
  F.Stores = false;
  for (int Turn = 0; Turn < 10; ++Turn)
    F.turn();
  std::optional<JobProgress> Early = F.store(jobId(1));
  F.Stores = true;
  // A later owner learns of the run even if this one is lost by now.
  REQUIRE(Early);
  CHECK(Early->Tasks[0].Announced == AnnouncedRun{Run, Worker, 1});
  std::vector<std::string> Others = FourWorkers;
  std::erase(Others, Worker);
  SUBCASE("listed all the time") {}
  SUBCASE("not listed meanwhile") { F.list(Others); }
  for (int Turn = 0; Turn < 60; ++Turn)
    F.turn();
  CHECK(F.B.Owner.mayHaveCrashed(Worker));
  CHECK(F.crashes(1) == 0);
  std::size_t Restarted = 0;
  for (const std::string &Id : Others)
    Restarted += F.Running[Id].size();
  CHECK(Restarted == 1);
  F.Silent.clear();
  bool Crashed = false;
  SUBCASE("a newer incarnation answers") {
    Crashed = true;
    F.crash(Worker);
  }
  SUBCASE("the same incarnation answers") {
    F.Running[Worker].clear();
    F.list(FourWorkers);
    F.turn(milliseconds(300));
    F.report(Worker);
    F.crash(Worker);
  }
  F.turn();
  std::vector<CrashRecord> Records = F.B.Owner.takeEvents().Crashes;
  REQUIRE(Records.size() == (Crashed ? 1 : 0));
  if (Crashed)
    CHECK(Records[0].Suspects == std::vector<SuspectRun>{{jobId(1), 0, Run}});
  // The second run has lasted meanwhile.
  CHECK(F.crashes(1) == 0);
}

TEST_CASE("a run that lasts clears its task's crashes") {
  CrashFixture F(FourWorkers);
  F.turn();
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Lasting = true;
  F.B.Owner.addJob(Spec, F.B.Now);
  for (int Crash = 0; Crash < 2; ++Crash)
    F.crash(F.workerOf(taskOf(1)));
  CHECK(F.crashes(1) == 2);
  F.workerOf(taskOf(1));
  for (int Turn = 0; Turn < 30; ++Turn)
    F.turn();
  CHECK(F.crashes(1) == 0);
  CHECK(!F.job(1).Tasks[0].Kept.Announced);
  F.crash(F.workerOf(taskOf(1)));
  CHECK(F.job(1).Now == JobState::Running);
}

TEST_CASE("a report clears a task's crashes only if it was made once the run "
          "had lasted") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  F.crash(F.workerOf(taskOf(1)));
  std::string Worker = F.workerOf(taskOf(1), milliseconds(6000));
  REQUIRE(Worker != "");
  REQUIRE(F.crashes(1) == 1);
  core::TimePoint StartedAt = F.B.Now;
  milliseconds RequestedAfter(50);
  milliseconds MadeAfter(50);
  std::size_t Crashes = 2;
  SUBCASE("it was long under way") {}
  SUBCASE("the worker had it wait for long") {
    MadeAfter = milliseconds(850);
    Crashes = 0;
  }
  F.B.advance(milliseconds(900));
  HoldOrder Order;
  Order.Worker = Worker;
  ReportResult Result;
  Result.Outcome = OrderOutcome::Accepted;
  Result.Report = {F.B.clockMs() - 900 + MadeAfter.count(),
                   F.Born[Worker],
                   {runReportOf(F.Running[Worker][0], 50)},
                   {}};
  F.B.Owner.onReport(Order, Result, StartedAt + RequestedAfter, F.B.Now);
  F.crash(Worker);
  CHECK(F.crashes(1) == Crashes);
}

TEST_CASE("tasks whose workers crashed once start on different workers") {
  CrashFixture F(FourWorkers);
  F.turn();
  for (unsigned Number = 1; Number <= 3; ++Number)
    F.B.Owner.addJob(sampleJob(Number), F.B.Now);
  std::string Worker = F.workerOf(taskOf(1));
  REQUIRE(F.Running[Worker].size() == 3);
  F.crash(Worker);
  std::set<std::string> Workers;
  for (unsigned Number = 1; Number <= 3; ++Number)
    Workers.insert(F.workerOf(taskOf(Number)));
  CHECK(Workers.size() == 3);
  CHECK(Workers.count(Worker) == 0);
}

TEST_CASE("a task whose workers crashed twice runs on a worker of its own") {
  CrashFixture F({"w1", "w2", "w3"});
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  for (int Crash = 0; Crash < 2; ++Crash)
    F.crash(F.workerOf(taskOf(1)));
  // Twelve tasks fill three workers.
  F.B.Owner.addJob(sampleJob(2, 20), F.B.Now);
  std::string Worker = F.workerOf(taskOf(1));
  REQUIRE(!Worker.empty());
  for (int Turn = 0; Turn < 4; ++Turn) {
    CHECK(F.Running[Worker].size() == 1);
    F.turn();
  }
  // Once the run has lasted, its worker takes others.
  for (int Turn = 0; Turn < 10; ++Turn)
    F.turn();
  CHECK(F.Running[Worker].size() == 4);
  F.finish(taskOf(1));
  CHECK(F.job(1).Now == JobState::Completed);
}

TEST_CASE("neighbours of a task that crashes its workers are not given up") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  for (unsigned Number = 2; Number <= 9; ++Number)
    F.B.Owner.addJob(sampleJob(Number), F.B.Now);
  for (int Turn = 0; Turn < 300; ++Turn) {
    F.turn();
    for (const std::string &Id : FourWorkers) {
      bool Deadly =
          std::any_of(F.Running[Id].begin(), F.Running[Id].end(),
                      [](const StartOrder &S) { return S.Task == taskOf(1); });
      if (Deadly) {
        F.crash(Id);
        continue;
      }
      // Each other task takes a second.
      if (Turn % 10 == 0)
        for (const StartOrder &Start : std::vector<StartOrder>(F.Running[Id]))
          F.finish(Start.Task);
    }
  }
  CHECK(F.job(1).Now == JobState::Failed);
  for (unsigned Number = 2; Number <= 9; ++Number) {
    CAPTURE(Number);
    CHECK(F.job(Number).Now == JobState::Completed);
  }
}

TEST_CASE("a suspect's run starts only once it is stored") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  for (int Crash = 0; Crash < 2; ++Crash)
    F.crash(F.workerOf(taskOf(1)));
  F.Stores = false;
  CHECK(F.workerOf(taskOf(1), milliseconds(1500)) == "");
  std::optional<JobProgress> Stored = F.store(jobId(1));
  REQUIRE(Stored);
  REQUIRE(Stored->Tasks[0].Announced);
  std::string Worker = F.workerOf(taskOf(1));
  CHECK(Worker == Stored->Tasks[0].Announced->Worker);
  CHECK(F.Running[Worker][0].Run == Stored->Tasks[0].Announced->Run);
  CHECK(F.Born[Worker] == Stored->Tasks[0].Announced->Born);
}

TEST_CASE("a suspect's run on an idle worker is taken for lapsed before it is "
          "sent, and stored anew in each round") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.turn();
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  Kept.Tasks[0].CrashedRuns = {1, 2};
  // Idle workers are asked for no reports.
  F.B.advance(std::chrono::seconds(5));
  F.B.Owner.inheritJob(sampleJob(1), &Kept, F.B.Now);
  Orders Out = F.B.plan();
  REQUIRE(F.job(1).Tasks[0].Runs.size() == 1);
  RunId First = F.job(1).Tasks[0].Runs[0].Run;
  std::string Worker = F.job(1).Tasks[0].Runs[0].Worker;
  CHECK(holdFor(Out, Worker).Worker == Worker);
  for (int Round = 0; Round < 5; ++Round) {
    F.B.advance(milliseconds(20));
    F.B.plan();
    REQUIRE(F.job(1).Tasks[0].Runs.size() == 1);
    CHECK(F.job(1).Tasks[0].Runs[0].Run == First);
  }
  F.store(jobId(1));
  Out = F.B.plan();
  CHECK(Out.Starts.empty());
  F.report(Worker);
  Out = F.B.plan();
  REQUIRE(Out.Starts.size() == 1);
  CHECK(Out.Starts[0].Run == First);
}

// A job was given up for starts that nobody carried out: workers had crashed
// since their last report, which was awaited for up to a second.
TEST_CASE("a suspect's run is sent to a worker that crashed since its last "
          "report, and counts") {
  CrashFixture F(FourWorkers);
  F.turn();
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  Kept.Tasks[0].CrashedRuns = {1, 2};
  F.B.Owner.inheritJob(sampleJob(1), &Kept, F.B.Now);
  F.Stores = false;
  const std::vector<LiveRun> &Runs = F.job(1).Tasks[0].Runs;
  for (int Turn = 0; Turn < 30 && Runs.empty(); ++Turn)
    F.turn();
  REQUIRE(Runs.size() == 1);
  std::string Worker = Runs[0].Worker;
  F.Silent.insert(Worker);
  F.store("");
  F.B.advance(milliseconds(300));
  Orders Out = F.B.plan();
  CHECK(Out.Starts.empty());
  CHECK(holdFor(Out, Worker).Worker == Worker);
  for (const StartOrder &Start : Out.Starts)
    F.B.answer(Start, OrderOutcome::Unknown);
  F.report(Worker);
  SUBCASE("which is back at once") {
    F.Silent.erase(Worker);
    F.crash(Worker);
    F.report(Worker);
  }
  SUBCASE("which stays silent") {}
  F.Stores = true;
  std::string Next = F.workerOf(taskOf(1), milliseconds(500));
  CHECK(F.Silent.count(Next) == 0);
  CHECK(Next != "");
  CHECK(F.crashes(1) == 2);
  CHECK(F.job(1).Now != JobState::Failed);
}

TEST_CASE("a suspect's run is not sent to a worker that may have restarted "
          "unseen by an owner cut off from the store") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  for (int Crash = 0; Crash < 2; ++Crash)
    F.crash(F.workerOf(taskOf(1)));
  F.Stores = false;
  CHECK(F.workerOf(taskOf(1), milliseconds(1500)) == "");
  std::optional<JobProgress> Stored = F.store(jobId(1));
  REQUIRE(Stored);
  REQUIRE(Stored->Tasks[0].Announced);
  std::string Worker = Stored->Tasks[0].Announced->Worker;
  core::TimePoint ConfirmedAt = F.B.Now;
  F.B.advance(milliseconds(2000));
  Orders Out = F.B.planConfirmed(ConfirmedAt);
  CHECK(Out.Starts.empty());
  CHECK(holdFor(Out, Worker).Worker == Worker);
  F.report(Worker);
  Out = F.B.planConfirmed(ConfirmedAt);
  REQUIRE(Out.Starts.size() == 1);
  CHECK(Out.Starts[0].Worker == Worker);
}

TEST_CASE("a suspect's run doesn't start, nor keep its worker from others, "
          "while its job's row is refused") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  for (int Crash = 0; Crash < 2; ++Crash)
    F.crash(F.workerOf(taskOf(1)));
  F.Stores = false;
  CHECK(F.workerOf(taskOf(1), milliseconds(1500)) == "");
  ProgressBatch Refused = F.B.Owner.takeChanges(10);
  REQUIRE(Refused.Writes.size() == 1);
  REQUIRE(Refused.Writes[0].Progress.Tasks[0].Announced);
  F.B.Owner.setAside(Refused);
  F.B.Owner.onStored(Refused.Mark);
  F.Stores = true;
  CHECK(F.workerOf(taskOf(1), milliseconds(1500)) == "");
  CHECK(std::none_of(F.B.Owner.workers().begin(), F.B.Owner.workers().end(),
                     [](const auto &Item) { return Item.second->Isolated; }));
  ProgressBatch Again = F.B.Owner.takeSetAside();
  REQUIRE(Again.Writes.size() == 1);
  CHECK_FALSE(Again.Writes[0].Progress.Tasks[0].Announced);
  F.B.Owner.onStored(Again.Mark);
  CHECK(F.workerOf(taskOf(1)) != "");
}

TEST_CASE("a later owner counts the crash under an announced run") {
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  Kept.Tasks[0].CrashedRuns = {10, 20};
  Kept.Tasks[0].Announced = {30, "w2", 1};
  CrashFixture F(FourWorkers, 9);
  F.B.Owner.inheritJob(sampleJob(1), &Kept, F.B.Now);
  SUBCASE("the worker has restarted") {
    F.crash("w2");
    for (int Turn = 0; Turn < 10; ++Turn)
      F.turn();
    CHECK(F.job(1).Now == JobState::Failed);
    CHECK(F.workerOf(taskOf(1)) == "");
  }
  SUBCASE("the worker restarts after it was away") {
    F.list({"w1", "w3", "w4"});
    F.Silent = {"w2"};
    CHECK(F.workerOf(taskOf(1), milliseconds(5000)) == "");
    F.Silent.clear();
    F.crash("w2");
    for (int Turn = 0; Turn < 10; ++Turn)
      F.turn();
    CHECK(F.job(1).Now == JobState::Failed);
  }
  SUBCASE("the worker still has the run") {
    StartOrder Start;
    Start.Worker = "w2";
    Start.Task = taskOf(1);
    Start.Run = 30;
    F.Running["w2"] = {Start};
    for (int Turn = 0; Turn < 10; ++Turn)
      F.turn();
    CHECK(F.crashes(1) == 2);
    CHECK(F.Running["w2"].size() == 1);
    F.finish(taskOf(1));
    CHECK(F.job(1).Now == JobState::Completed);
  }
  SUBCASE("the run never started") {
    CHECK(F.workerOf(taskOf(1)) != "");
    CHECK(F.crashes(1) == 2);
  }
}

TEST_CASE("a gang's members share their crashes") {
  CrashFixture F(FourWorkers);
  F.turn();
  JobSpec Spec = sampleJob(1, 2);
  Spec.Steps[0].Gang = true;
  Spec.Steps[0].MaxPerWorker = 1;
  F.B.Owner.addJob(Spec, F.B.Now);
  for (std::size_t Crash = 1; Crash <= 3; ++Crash) {
    std::string Worker = F.workerOf(taskOf(1, 1));
    REQUIRE(!Worker.empty());
    std::string Other = F.workerOf(taskOf(1, 0));
    F.crash(Worker);
    CHECK(F.crashes(1, 0) == Crash);
    CHECK(F.crashes(1, 1) == Crash);
    // The other member ends as its gang is broken.
    StartOrder Left = F.Running[Other][0];
    F.Running[Other].clear();
    F.B.report(Other);
    HoldOrder Order;
    Order.Worker = Other;
    ReportResult Result;
    Result.Outcome = OrderOutcome::Accepted;
    Result.Report = {
        F.B.clockMs(),
        F.Born[Other],
        {},
        {endReportOf(++F.Ends, Left.Task, Left.Run, RunEnd::Broken)}};
    F.B.Owner.onReport(Order, Result, F.B.Now, F.B.Now);
    F.turn();
  }
  CHECK(F.job(1).Now == JobState::Failed);
}

TEST_CASE("a gang's member that lasts clears no crash while another member's "
          "worker is silent") {
  CrashFixture F(FourWorkers);
  F.turn();
  JobSpec Spec = sampleJob(1, 2);
  Spec.Steps[0].Gang = true;
  Spec.Steps[0].MaxPerWorker = 1;
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(2);
  Kept.Tasks[1].CrashedRuns = {10};
  F.B.Owner.inheritJob(Spec, &Kept, F.B.Now);
  std::string Worker = F.workerOf(taskOf(1, 1));
  REQUIRE(!Worker.empty());
  bool Silent = true;
  SUBCASE("which may have crashed") { F.Silent.insert(Worker); }
  SUBCASE("(control: all answer)") { Silent = false; }
  for (int Turn = 0; Turn < 10; ++Turn)
    F.turn();
  CHECK(F.crashes(1, 0) == (Silent ? 1 : 0));
}

// Guards against a gang that is announced and forgotten in each round.
TEST_CASE("a suspect gang without room writes nothing") {
  CrashFixture F({"w1", "w2"});
  F.turn();
  JobSpec Spec = sampleJob(1, 2);
  Spec.Steps[0].Gang = true;
  Spec.Steps[0].MaxPerWorker = 1;
  F.B.Owner.addJob(Spec, F.B.Now);
  F.crash(F.workerOf(taskOf(1)));
  F.Running.clear();
  F.list({"w1"});
  for (int Turn = 0; Turn < 5; ++Turn)
    F.turn();
  REQUIRE(F.crashes(1) == 1);
  F.Writes = 0;
  for (int Turn = 0; Turn < 20; ++Turn)
    F.turn();
  CHECK(F.Writes == 0);
}

TEST_CASE("occurrences of a job count their crashes apart") {
  CrashFixture F(FourWorkers);
  F.turn();
  JobSpec Spec = sampleJob(1);
  Spec.Repetitions = 3;
  Spec.IntervalMs = 0;
  F.B.Owner.addJob(Spec, F.B.Now);
  for (std::uint32_t K = 0; K < 3; ++K) {
    std::string Worker = F.workerOf({jobId(1), K, 0, 0});
    F.crash(Worker);
    for (std::uint32_t Earlier = 0; Earlier <= K; ++Earlier)
      CHECK(F.crashes(1, Earlier) >= 1);
  }
  CHECK(F.job(1).Now == JobState::Running);
}

TEST_CASE("both copies of a task count, and a suspect gets no copy") {
  CrashFixture F(FourWorkers);
  F.turn();
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Copies = true;
  F.B.Owner.addJob(Spec, F.B.Now);
  std::string Worker = F.workerOf(taskOf(1));
  auto IsSilent = [&] {
    F.Silent.insert(F.workerOf(taskOf(1)));
    for (int Turn = 0; Turn < 12; ++Turn)
      F.turn();
    return F.job(1).Tasks[0].Runs.size();
  };
  SUBCASE("no crash yet") { CHECK(IsSilent() == 2); }
  SUBCASE("after a crash") {
    F.crash(Worker);
    CHECK(F.workerOf(taskOf(1)) != "");
    CHECK(IsSilent() == 1);
  }
}

TEST_CASE("a day without crashes writes nothing more") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.store("");
  F.Writes = 0;
  F.B.Owner.addJob(sampleJob(1, 4), F.B.Now);
  F.turn();
  F.turn();
  CHECK(F.Writes == 0);
  for (std::uint32_t Index = 0; Index < 4; ++Index)
    F.finish(taskOf(1, Index));
  F.turn();
  CHECK(F.Writes == 1);
}

TEST_CASE("a crash costs at most four rows for a suspect") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  std::string Worker = F.workerOf(taskOf(1));
  F.Writes = 0;
  F.Silent.insert(Worker);
  for (int Turn = 0; Turn < 10; ++Turn)
    F.turn();
  // Its run is stored while the worker is silent.
  CHECK(F.Writes == 1);
  F.Silent.clear();
  F.crash(Worker);
  // Its crash, and the run that is to start next.
  for (int Turn = 0; Turn < 4; ++Turn)
    F.turn();
  CHECK(F.Writes <= 3);
  // Cleared once that run has lasted.
  for (int Turn = 0; Turn < 20; ++Turn)
    F.turn();
  CHECK(F.Writes <= 4);
  CHECK(F.crashes(1) == 0);
}

// Between a worker's restart and the first sign of it, the new incarnation
// takes orders that were meant for the old one.
TEST_CASE("a run that a new incarnation accepted is not started elsewhere") {
  CrashFixture F(FourWorkers);
  F.turn();
  core::TimePoint BeforeStart = F.B.Now;
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  F.B.advance(milliseconds(100));
  Orders Out = F.B.plan();
  REQUIRE(Out.Starts.size() == 1);
  for (const HoldOrder &Hold : Out.Holds)
    F.report(Hold.Worker);
  const StartOrder &Start = Out.Starts.front();
  ++F.Born[Start.Worker];
  F.Running[Start.Worker].push_back(Start);
  F.B.answer(Start, OrderOutcome::Accepted);
  SUBCASE("its report tells of the restart first") { F.report(Start.Worker); }
  SUBCASE("a report from before the start tells of the restart first") {
    HoldOrder Hold;
    Hold.Worker = Start.Worker;
    ReportResult Result;
    Result.Outcome = OrderOutcome::Accepted;
    Result.Report = {F.B.clockMs(), F.Born[Start.Worker], {}, {}};
    F.B.Owner.onReport(Hold, Result, BeforeStart, F.B.Now);
  }
  SUBCASE("its row tells of the restart first") {
    for (WorkerEntry &Entry : F.B.Entries)
      Entry.Born = F.Born[Entry.Id];
    F.B.Owner.setWorkers(F.B.Entries, F.B.Now);
  }
  for (int Turn = 0; Turn < 5; ++Turn) {
    F.turn();
    for (const StartOrder &Later : F.LastStarts)
      CHECK_FALSE(Later.Task == taskOf(1));
  }
}

TEST_CASE("a run that a worker accepted before it restarted starts elsewhere "
          "once a report does not list it") {
  CrashFixture F(FourWorkers);
  F.turn();
  F.B.Owner.addJob(sampleJob(1), F.B.Now);
  F.B.advance(milliseconds(100));
  Orders Out = F.B.plan();
  REQUIRE(Out.Starts.size() == 1);
  for (const HoldOrder &Hold : Out.Holds)
    F.report(Hold.Worker);
  F.B.answer(Out.Starts.front(), OrderOutcome::Accepted);
  F.crash(Out.Starts.front().Worker);
  CHECK_FALSE(F.workerOf(taskOf(1)).empty());
}

TEST_CASE("a run that an earlier owner announced counts as a crash "
          "only once a later incarnation is known") {
  OwnerFixture B(8);
  constexpr RunId Run = (7U << RunCounterBits) + 3;
  auto Enrol = [&](std::int64_t Born) {
    WorkerEntry Entry = sampleWorker("w1");
    Entry.Born = Born;
    B.Owner.addEnrolled(Entry, B.Now);
  };
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  Kept.Tasks[0].CrashedRuns = {1, 2};
  // The roster has the start time that the worker had when it was enrolled.
  SUBCASE("its time of day was set back after it was enrolled") {
    Kept.Tasks[0].Announced = {Run, "w1", 500};
    Enrol(1000);
    B.Owner.inheritJob(sampleJob(1), &Kept, B.Now);
  }
  SUBCASE("its row lags behind two restarts after it was enrolled") {
    Kept.Tasks[0].Announced = {Run, "w1", 3000};
    Enrol(1000);
    B.Owner.inheritJob(sampleJob(1), &Kept, B.Now);
    WorkerEntry Entry = sampleWorker("w1");
    Entry.Born = 2000;
    std::vector<WorkerEntry> Entries = {Entry};
    B.Owner.setWorkers(Entries, B.Now);
  }
  B.advance(milliseconds(50));
  B.plan();
  CHECK(PoolState::countCrashes(*B.Owner.findJob(jobId(1)), 0) == 2);
  CHECK(B.Owner.findJob(jobId(1))->Now == JobState::Running);
}

// A task that crashed its workers was started three times after its third crash
// where each owner was lost before the crash was stored.
TEST_CASE("a start is stored while it is sent if an earlier run may have "
          "crashed a worker that this owner had not heard") {
  CrashFixture F(FourWorkers);
  F.Stores = false;
  bool Noted = true;
  bool Lasting = false;
  SUBCASE("which has restarted") { F.crash("w1"); }
  SUBCASE("which is silent") { F.Silent.insert("w1"); }
  SUBCASE("(control: all were heard)") { Noted = false; }
  SUBCASE("(control: the task lasts)") {
    F.crash("w1");
    Lasting = true;
    Noted = false;
  }
  SUBCASE("(control: it restarted once it had been heard)") {
    F.turn();
    F.crash("w1");
    Noted = false;
  }
  JobSpec Spec = sampleJob(1);
  Spec.Steps[0].Lasting = Lasting;
  F.B.Owner.inheritJob(Spec, nullptr, F.B.Now);
  std::string Worker = F.workerOf(taskOf(1), std::chrono::seconds(15));
  REQUIRE(!Worker.empty());
  RunId Run = F.Running[Worker][0].Run;
  std::optional<JobProgress> Stored = F.store(jobId(1));
  REQUIRE((Stored && Stored->Tasks[0].Announced) == Noted);
  if (!Noted)
    return;
  CHECK(Stored->Tasks[0].Announced->Run == Run);
  CHECK(Stored->Tasks[0].Announced->Worker == Worker);
  CHECK(Stored->Tasks[0].Announced->Born == F.Born[Worker]);
  CHECK(F.crashes(1) == 0);
  for (int Turn = 0; Turn < 12; ++Turn)
    F.turn();
  Stored = F.store(jobId(1));
  REQUIRE(Stored);
  CHECK(!Stored->Tasks[0].Announced);
  for (int Turn = 0; Turn < 12; ++Turn)
    F.turn();
  CHECK(!F.store(jobId(1)));
}

TEST_CASE("a start that is stored while it is sent does not wait for a row "
          "that is refused") {
  CrashFixture F(FourWorkers);
  F.Stores = false;
  F.crash("w1");
  JobSpec Spec = sampleJob(1);
  Spec.Steps.push_back(Spec.Steps.front());
  Spec.Steps.back().After = {0};
  F.B.Owner.inheritJob(Spec, nullptr, F.B.Now);
  REQUIRE(!F.workerOf(taskOf(1)).empty());
  ProgressBatch Batch = F.B.Owner.takeChanges(10);
  REQUIRE(!Batch.isEmpty());
  F.B.Owner.setAside(Batch);
  F.finish(taskOf(1));
  CHECK(!F.workerOf({jobId(1), 0, 1, 0}).empty());
}

TEST_CASE("a start is not stored while it is sent though a worker was lost "
          "whose runs this owner did not all know") {
  CrashFixture F(FourWorkers);
  F.Stores = false;
  SUBCASE("at whose address another one answers") {
    HoldOrder Order;
    Order.Worker = "w1";
    ReportResult Result;
    Result.Outcome = OrderOutcome::OtherIncarnation;
    F.B.Owner.onReport(Order, Result, F.B.Now, F.B.Now);
  }
  SUBCASE("which is gone and forgotten") {
    F.Silent.insert("w1");
    F.list({"w2", "w3", "w4"});
    for (int Turn = 0; Turn < 250; ++Turn)
      F.turn();
    REQUIRE(F.B.Owner.workers().count("w1") == 0);
  }
  SUBCASE("but for a run of a job that was not known") {
    F.turn();
    F.B.report("w1", {{taskOf(1), 1, "", 10}});
    F.crash("w1");
  }
  F.B.Owner.inheritJob(sampleJob(1), nullptr, F.B.Now);
  std::string Worker = F.workerOf(taskOf(1), std::chrono::seconds(15));
  REQUIRE(!Worker.empty());
  std::optional<JobProgress> Stored = F.store(jobId(1));
  CHECK((Stored && Stored->Tasks[0].Announced));
}
