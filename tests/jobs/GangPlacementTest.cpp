#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

#include <functional>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

/// A pool of workers in racks, each with room for four tasks of a core.
struct RackFixture : OwnerFixture {
  static constexpr double RemoteFactor = 2;

  static OwnerLimits limits() {
    OwnerLimits Limits;
    Limits.RemoteFactor = RemoteFactor;
    return Limits;
  }

  /// \p Racks has one entry for each worker.
  explicit RackFixture(const std::vector<std::string> &Racks)
      : OwnerFixture(7, limits()) {
    std::vector<std::string> Ids;
    for (std::size_t N = 1; N <= Racks.size(); ++N)
      Ids.push_back("w" + std::to_string(N));
    listWorkers(Ids);
    for (std::size_t N = 0; N < Racks.size(); ++N)
      Entries[N].Rack = Racks[N];
    Owner.setWorkers(Entries, Now);
    plan();
    for (const std::string &Id : Ids)
      report(Id);
  }

  static JobSpec gang(unsigned Number, std::uint32_t Tasks) {
    JobSpec Spec = sampleJob(Number, Tasks);
    Spec.Steps[0].Gang = true;
    return Spec;
  }

  std::uint64_t waiting(WaitReason Reason) {
    return Owner.gauges(Now, 1000000).Waiting[jobs::indexOf(Reason)];
  }
};

} // namespace

TEST_CASE("a gang that waits for room uses up no run ids") {
  RackFixture B({"r1", "r1"});
  B.Owner.addJob(sampleJob(1), B.Now);
  std::vector<StartOrder> Before = B.plan().Starts;
  REQUIRE(Before.size() == 1);
  B.Owner.addJob(RackFixture::gang(2, 9), B.Now);
  for (int Round = 0; Round < 1000; ++Round)
    REQUIRE(B.plan().Starts.empty());
  B.Owner.addJob(sampleJob(3), B.Now);
  std::vector<StartOrder> After = B.plan().Starts;
  REQUIRE(After.size() == 1);
  CHECK(After[0].Run == Before[0].Run + 1);
}

TEST_CASE("a gang for one rack waits without end since the best worker stands "
          "in a rack that is too small") {
  RackFixture B({"r2", "r2", "r2", "r2", "r3", "r3", "r3", "r3", "r1"});
  // The only worker of its rack gets the first task of its own.
  JobSpec Alone = sampleJob(1);
  Alone.Steps[0].NearRack = "r1";
  Alone.Steps[0].Lasting = true;
  bool Idle = false;
  SUBCASE("by its lasting task") { B.Owner.addJob(Alone, B.Now); }
  SUBCASE("though all workers are empty") { Idle = true; }
  REQUIRE(B.plan().Starts.size() == (Idle ? 0 : 1));
  JobSpec Spec = RackFixture::gang(2, 8);
  Spec.Steps[0].SameRack = true;
  B.Owner.addJob(Spec, B.Now);
  std::vector<StartOrder> Starts = B.plan().Starts;
  REQUIRE(Starts.size() == 8);
  std::set<std::string> Racks;
  for (const StartOrder &Start : Starts)
    Racks.insert(B.Owner.workers().at(Start.Worker)->Entry.Rack);
  CHECK(Racks.size() == 1);
}

TEST_CASE("a gang that wants one rack never starts since no rack is large "
          "enough for it") {
  RackFixture B({"r1", "r1", "r2", "r2"});
  JobSpec Spec = RackFixture::gang(1, 10);
  Spec.Steps[0].SameRack = true;
  SUBCASE("ending by itself") {}
  SUBCASE("lasting") { Spec.Steps[0].Lasting = true; }
  B.Owner.addJob(Spec, B.Now);
  CHECK(B.plan().Starts.size() == 10);
}

TEST_CASE("a gang waits for one rack for longer than several would cost it") {
  RackFixture B({"r1", "r2"});
  JobSpec Other = sampleJob(1, 6);
  Other.Steps[0].MaxPerWorker = 3;
  B.Owner.addJob(Other, B.Now);
  std::vector<StartOrder> Short = B.plan().Starts;
  REQUIRE(Short.size() == 6);
  JobSpec Spec = RackFixture::gang(2, 2);
  Spec.Steps[0].SameRack = true;
  milliseconds Longest(500);
  SUBCASE("a short one") { Spec.Steps[0].EstimateMs = 500; }
  SUBCASE("a long one") {
    Spec.Steps[0].EstimateMs = 60000;
    Longest = milliseconds(3000);
  }
  B.Owner.addJob(Spec, B.Now);
  CHECK(B.plan().Starts.empty());
  CHECK(B.waiting(WaitReason::Rack) == 2);
  CHECK(B.waiting(WaitReason::Gang) == 0);
  B.advance(Longest - milliseconds(100));
  for (const StartOrder &Start : Short)
    B.answer(Start, OrderOutcome::Accepted);
  for (const char *Id : {"w1", "w2"}) {
    std::vector<RunReport> Running;
    for (const StartOrder &Start : Short)
      if (Start.Worker == Id)
        Running.push_back(runReportOf(Start, 50));
    B.report(Id, Running);
  }
  CHECK(B.plan().Starts.empty());
  B.advance(milliseconds(100));
  CHECK(B.plan().Starts.size() == 2);
}

namespace {

/// A gang of two on two workers, whose starts are planned. No other worker has
/// room.
struct StartingGang : OwnerFixture {
  static constexpr milliseconds Timeout{3000};
  std::vector<StartOrder> Starts;

  StartingGang() {
    listWorkers({"w1", "w2"});
    plan();
    for (const char *Id : {"w1", "w2"})
      report(Id);
    Owner.onStored(Owner.takeChanges(10).Mark);
    JobSpec Spec = sampleJob(1, 2);
    Spec.Steps[0].Gang = true;
    Spec.Steps[0].MaxPerWorker = 1;
    Owner.addJob(Spec, Now);
    Starts = plan().Starts;
    REQUIRE(Starts.size() == 2);
    answer(Starts[0], OrderOutcome::Accepted);
  }

  /// Plans every 100 ms while the first member's worker reports it at
  /// \p Percent; returns when a member there is first told to stop, if it is
  /// before the time is over.
  std::optional<milliseconds> stoppedWithin(milliseconds Time,
                                            std::uint32_t Percent = 0) {
    for (milliseconds Passed(0); Passed < Time;) {
      for (const StopOrder &Stop : plan().Stops)
        if (Stop.Worker == Starts[0].Worker)
          return Passed;
      advance(milliseconds(100));
      Passed += milliseconds(100);
      report(Starts[0].Worker, {runReportOf(Starts[0], Percent)});
    }
    return std::nullopt;
  }
};

} // namespace

TEST_CASE("the members of a gang that have started wait alone for one whose "
          "start had no effect") {
  StartingGang B;
  SUBCASE("not sent") { B.answer(B.Starts[1], OrderOutcome::NotSent); }
  SUBCASE("refused") { B.answer(B.Starts[1], OrderOutcome::NoRoom); }
  SUBCASE("another incarnation") {
    B.answer(B.Starts[1], OrderOutcome::OtherIncarnation);
  }
  CHECK(B.stoppedWithin(StartingGang::Timeout) == milliseconds(0));
  EndReport End =
      endReportOf(1, B.Starts[0].Task, B.Starts[0].Run, RunEnd::Stopped);
  B.report(B.Starts[0].Worker, {}, {End});
  B.advance(milliseconds(1000));
  for (const char *Id : {"w1", "w2"})
    B.report(Id);
  CHECK(B.plan().Starts.size() == 2);
}

TEST_CASE("the members of a gang that have started wait alone for one that may "
          "never start") {
  StartingGang B;
  SUBCASE("its start has no answer") {
    B.answer(B.Starts[1], OrderOutcome::Unknown);
  }
  SUBCASE("its start is under way") {}
  SUBCASE("its worker has taken it and answers no more") {
    B.answer(B.Starts[1], OrderOutcome::Accepted);
    HoldOrder Asked;
    Asked.Worker = B.Starts[1].Worker;
    B.dropReport(Asked);
  }
  std::optional<milliseconds> At = B.stoppedWithin(StartingGang::Timeout);
  REQUIRE(At);
  // An answer may yet come.
  CHECK(*At >= StartingGang::Timeout / 2);
  CHECK(*At <= StartingGang::Timeout - milliseconds(600));
}

TEST_CASE("a gang that is at work is stopped for a worker that does not "
          "answer") {
  StartingGang B;
  B.answer(B.Starts[1], OrderOutcome::Accepted);
  HoldOrder Asked;
  Asked.Worker = B.Starts[1].Worker;
  std::uint32_t Percent = 0;
  SUBCASE("it had reported its member") {
    B.report(Asked.Worker, {runReportOf(B.Starts[1], 0)});
  }
  SUBCASE("another member has made progress") { Percent = 1; }
  B.dropReport(Asked);
  CHECK_FALSE(B.stoppedWithin(StartingGang::Timeout, Percent));
}

TEST_CASE("a gang whose members have all started is stopped") {
  StartingGang B;
  B.answer(B.Starts[1], OrderOutcome::Accepted);
  for (int Turn = 0; Turn < 60; ++Turn) {
    CHECK(B.plan().Stops.empty());
    B.advance(milliseconds(100));
    for (const StartOrder &Start : B.Starts)
      B.report(Start.Worker, {runReportOf(Start, 0)});
  }
}

namespace {

/// A gang of two whose members' workers answer as the test says, planned every
/// 100 ms. Stops are carried out at once.
struct RetriedGang : StartingGang {
  using Outcome = std::function<OrderOutcome(const StartOrder &)>;
  std::map<std::string, StartOrder> Running;
  std::uint64_t Ends = 0;
  std::size_t Stops = 0;
  std::vector<core::TimePoint> Tries;
  std::uint64_t MostPaused = 0;

  RetriedGang() {
    Running[Starts[0].Worker] = Starts[0];
    Tries.push_back(Now);
  }

  void run(milliseconds Time, const Outcome &AnswerOf) {
    for (milliseconds Passed(0); Passed < Time; Passed += milliseconds(100)) {
      Orders Out = plan();
      if (!Out.Starts.empty())
        Tries.push_back(Now);
      for (const StartOrder &Start : Out.Starts) {
        OrderOutcome Answer = AnswerOf(Start);
        if (Answer == OrderOutcome::Accepted)
          Running[Start.Worker] = Start;
        answer(Start, Answer);
      }
      Stops += Out.Stops.size();
      PoolGauges Gauges = Owner.gauges(Now, 1000000);
      MostPaused =
          std::max(MostPaused, Gauges.Waiting[indexOf(WaitReason::GangPause)]);
      advance(milliseconds(100));
      for (const StopOrder &Stop : Out.Stops)
        end(Stop.Worker, RunEnd::Stopped);
      for (const WorkerEntry &Entry : Entries)
        if (auto At = Running.find(Entry.Id); At != Running.end())
          report(Entry.Id, {runReportOf(At->second, 0)});
        else
          report(Entry.Id);
    }
  }

  void end(const std::string &Worker, RunEnd How) {
    auto At = Running.find(Worker);
    if (At == Running.end())
      return;
    StartOrder Start = At->second;
    Running.erase(At);
    report(Worker, {}, {endReportOf(++Ends, Start.Task, Start.Run, How)});
  }

  milliseconds gap(std::size_t Try) const {
    return std::chrono::duration_cast<milliseconds>(Tries[Try] -
                                                    Tries[Try - 1]);
  }
};

OrderOutcome accept(const StartOrder & /*Order*/) {
  return OrderOutcome::Accepted;
}

} // namespace

TEST_CASE("a gang with a member that never gets its start is started and "
          "stopped three times in two seconds") {
  RetriedGang B;
  OrderOutcome Lost = OrderOutcome::NotSent;
  SUBCASE("not sent") {}
  SUBCASE("withheld") { Lost = OrderOutcome::Withheld; }
  std::string Bad = B.Starts[1].Worker;
  RetriedGang::Outcome LoseOne = [&](const StartOrder &Order) {
    return Order.Worker == Bad ? Lost : OrderOutcome::Accepted;
  };
  B.answer(B.Starts[1], Lost);
  B.run(std::chrono::seconds(30), LoseOne);
  MESSAGE((B.Tries.size() * 2) << " starts, " << B.Stops << " stops");
  CHECK(B.Tries.size() <= 14);
  CHECK(B.Stops <= 14);
  CHECK(B.MostPaused == 2);
  // The first retry is quick, and no pause exceeds the bound.
  CHECK(B.gap(1) <= milliseconds(1000));
  CHECK(B.gap(B.Tries.size() - 1) >= milliseconds(3000));
  CHECK(B.gap(B.Tries.size() - 1) <= milliseconds(4000));

  // Once all members have run, the next retry is quick again.
  B.run(std::chrono::seconds(4), accept);
  REQUIRE(B.Running.size() == 2);
  for (const char *Id : {"w1", "w2"})
    B.end(Id, RunEnd::Stopped);
  std::size_t Before = B.Tries.size();
  B.run(std::chrono::seconds(3), LoseOne);
  REQUIRE(B.Tries.size() > Before + 1);
  CHECK(B.gap(Before + 1) <= milliseconds(1000));
}

TEST_CASE("a gang is not tried at once on another worker after a member's "
          "start was withheld") {
  RetriedGang B;
  std::string Bad = B.Starts[1].Worker;
  B.Entries.push_back(sampleWorker("w3"));
  B.Owner.addEnrolled(B.Entries.back(), B.Now);
  B.Owner.setWorkers(B.Entries, B.Now);
  B.Entries.back().ColdFor = std::chrono::seconds(10);
  B.Owner.setWorkers(B.Entries, B.Now);
  B.report("w3");
  B.answer(B.Starts[1], OrderOutcome::Withheld);
  B.run(std::chrono::seconds(1), [&](const StartOrder &Order) {
    return Order.Worker == Bad ? OrderOutcome::Withheld
                               : OrderOutcome::Accepted;
  });
  CHECK(B.Tries.size() == 2);
  CHECK(B.Running.size() == 2);
}

TEST_CASE("a gang waits between tries though its members got their starts") {
  RetriedGang B;
  B.answer(B.Starts[1], OrderOutcome::Accepted);
  B.Running[B.Starts[1].Worker] = B.Starts[1];
  for (int Try = 0; Try < 8; ++Try) {
    B.run(milliseconds(500), accept);
    REQUIRE(B.Running.size() == 2);
    for (const char *Id : {"w1", "w2"})
      B.end(Id, RunEnd::Stopped);
  }
  CHECK(B.MostPaused == 0);
}

TEST_CASE("a gang is started in part after a takeover that finds two runs of "
          "its members that may have crashed their workers") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2", "w3", "w4"});
  B.Owner.setEarlierOwnersStopped(B.Now - std::chrono::seconds(20));
  for (const char *Silent : {"w8", "w9"})
    B.Owner.addEnrolled(sampleWorker(Silent), B.Now);
  JobSpec Spec = sampleJob(1, 2);
  Spec.Steps[0].Gang = true;
  JobProgress Kept;
  Kept.Tasks.resize(2);
  Kept.Tasks[0].Unsettled = {{1, "w8", 1}};
  Kept.Tasks[1].Unsettled = {{2, "w9", 1}};
  B.Owner.inheritJob(Spec, &Kept, B.Now);
  std::size_t Most = 0;
  for (int Round = 0; Round < 100; ++Round) {
    std::size_t Starts = B.plan().Starts.size();
    CHECK(Starts != 1);
    Most = std::max(Most, Starts);
    B.Owner.onStored(B.Owner.takeChanges(10).Mark);
    B.advance(milliseconds(100));
    for (const char *Id : {"w1", "w2", "w3", "w4"})
      if (Most == 0)
        B.report(Id);
  }
  CHECK(Most == 2);
}
