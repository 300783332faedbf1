#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

// Plays a wave of upkeep in a pool that is full of short jobs and checks for
// how long the lasting tasks that it moves have no run.

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr unsigned Seed = 20261206;
constexpr unsigned Workers = 16;
constexpr std::uint32_t WorkerCpu = 64000;
constexpr std::uint32_t ShortCpu = 8400;
/// Room for it comes free only if several short tasks end on one worker.
constexpr std::uint32_t LastingCpu = 48000;
constexpr unsigned LastingJobs = 4;
constexpr std::uint32_t TasksPerJob = 3;
constexpr std::uint32_t MaxPerWorker = 1;
constexpr milliseconds StepTime(10);
constexpr milliseconds ShortestRun(600);
constexpr milliseconds LongestRun(1000);
constexpr milliseconds StopTime(200);
/// From the start of a lasting task until it is at work.
constexpr milliseconds StartUpTime(500);
constexpr milliseconds ReportEvery(500);
constexpr milliseconds PlayTime(25000);
/// How long a drained worker stays closed.
constexpr milliseconds UpkeepTime(1000);
constexpr std::size_t ClosedAtOnce = 2;
/// Short work that arrives, as a share of what the workers finish.
constexpr double Overload = 1.2;
/// A lasting task without a run counts as lost after 3 s in which there is
/// room for it, and after a planned stop it has a run well before.
constexpr milliseconds MostWithoutRun(2000);
/// Time for which a worker of the wave may be closed before it is drained: the
/// moves of one task of a step at a time, and the last short run.
constexpr milliseconds MostUntilDrained(8000);

struct Outcome {
  unsigned Moves = 0;
  core::Duration LongestWithoutRun{0};
  unsigned Drained = 0;
  core::Duration LongestDrain{0};
  unsigned ShortDone = 0;
};

class FullPool {
public:
  explicit FullPool(unsigned PlaySeed) : Random_(PlaySeed) {
    std::vector<std::string> Ids;
    for (unsigned N = 0; N < Workers; ++N)
      Ids.push_back("w" + std::to_string(N));
    B_.listWorkers(Ids);
    for (WorkerEntry &Entry : B_.Entries)
      Entry.Capacity = {WorkerCpu, 100000, 0};
    B_.Owner.setWorkers(B_.Entries, B_.Now);
    plan();
    reportAll();
    B_.advance(
        std::chrono::duration_cast<milliseconds>(OwnerLimits().NewJobAge));
    reportAll();
    for (unsigned N = 0; N < LastingJobs; ++N)
      addLasting();
    Begin_ = B_.Now;
    ToClose_ = Ids;
  }

  Outcome play() {
    while (B_.Now - Begin_ < PlayTime) {
      arrive();
      if (B_.Now - Begin_ >= 2 * LongestRun)
        closeWorkers();
      endRuns();
      B_.Owner.onStored(B_.Owner.takeChanges(90).Mark);
      plan();
      checkRoom();
      B_.advance(StepTime);
      if ((B_.Now - Begin_) % ReportEvery == core::Duration::zero())
        reportAll();
    }
    for (const auto &[Task, Since] : WithoutRun_)
      noteWait(B_.Now - Since);
    return Seen_;
  }

private:
  struct Running {
    StartOrder Order;
    core::TimePoint StartedAt;
    core::TimePoint EndsAt;
    RunEnd How = RunEnd::Done;
    bool Lasting = false;
  };
  struct Upkeep {
    core::TimePoint ClosedAt;
    std::optional<core::TimePoint> DrainedAt;
  };

  std::int64_t wallMs() const { return 1000000 + B_.clockMs(); }

  void addLasting() {
    JobSpec Spec = sampleJob(++Jobs_, TasksPerJob);
    Spec.AcceptedMs = wallMs();
    Spec.Steps[0].Need = {LastingCpu, 10, 0};
    Spec.Steps[0].Lasting = true;
    Spec.Steps[0].AbsenceAllowance = 1;
    Spec.Steps[0].MaxPerWorker = MaxPerWorker;
    B_.Owner.addJob(Spec, B_.Now);
  }

  void arrive() {
    constexpr std::uint32_t Tasks = 4;
    constexpr double MeanRunMs = (ShortestRun + LongestRun).count() / 2.0;
    constexpr double Room = double(Workers) * WorkerCpu -
                            double(LastingJobs) * TasksPerJob * LastingCpu;
    std::poisson_distribution<unsigned> Count(
        Overload * Room / ShortCpu / MeanRunMs * StepTime.count() / Tasks);
    for (unsigned N = Count(Random_); N > 0; --N) {
      JobSpec Spec = sampleJob(++Jobs_, Tasks);
      Spec.Steps[0].Need = {ShortCpu, 10, 0};
      Spec.Steps[0].EstimateMs = MeanRunMs;
      Spec.TargetMs = 600;
      Spec.AcceptedMs = wallMs();
      B_.Owner.addJob(Spec, B_.Now);
    }
  }

  void closeWorkers() {
    std::set<std::string> Back;
    for (auto &[Id, Work] : Closed_) {
      if (!Work.DrainedAt && B_.Owner.isDrained(Id)) {
        Work.DrainedAt = B_.Now;
        ++Seen_.Drained;
      }
      if (!Work.DrainedAt || B_.Now - *Work.DrainedAt < UpkeepTime)
        continue;
      Seen_.LongestDrain =
          std::max(Seen_.LongestDrain, *Work.DrainedAt - Work.ClosedAt);
      Back.insert(Id);
    }
    for (const std::string &Id : Back)
      Closed_.erase(Id);
    while (Closed_.size() < ClosedAtOnce && !ToClose_.empty()) {
      Closed_[ToClose_.back()].ClosedAt = B_.Now;
      ToClose_.pop_back();
    }
    std::set<std::string> Ids;
    for (const auto &[Id, Work] : Closed_)
      Ids.insert(Id);
    B_.Owner.setClosedWorkers(Ids);
  }

  void endRuns() {
    for (auto &[Worker, Runs] : Running_) {
      std::vector<EndReport> Ends;
      for (const Running &Run : Runs) {
        if (Run.EndsAt > B_.Now)
          continue;
        Ends.push_back(endReportOf(++Ended_[Worker], Run.Order.Task,
                                   Run.Order.Run, Run.How));
        if (Run.Lasting)
          WithoutRun_[Run.Order.Task] = B_.Now;
        else if (Run.How == RunEnd::Done)
          ++Seen_.ShortDone;
      }
      if (Ends.empty())
        continue;
      std::erase_if(Runs,
                    [&](const Running &Run) { return Run.EndsAt <= B_.Now; });
      report(Worker, std::move(Ends));
    }
  }

  void report(const std::string &Worker, std::vector<EndReport> Ends) {
    std::vector<RunReport> Reports;
    for (const Running &Run : Running_[Worker]) {
      core::Duration Whole = Run.Lasting ? core::Duration(StartUpTime)
                                         : Run.EndsAt - Run.StartedAt;
      auto Percent = static_cast<std::uint32_t>(
          std::min<std::int64_t>((B_.Now - Run.StartedAt) * 100 / Whole, 100));
      Reports.push_back(runReportOf(Run.Order, Percent));
    }
    B_.report(Worker, std::move(Reports), std::move(Ends));
  }
  void reportAll() {
    for (const WorkerEntry &Entry : B_.Entries)
      report(Entry.Id, {});
  }

  bool isLasting(const TaskRef &Task) const {
    return B_.Owner.findJob(Task.JobId)->Spec.Steps[0].Lasting;
  }

  void plan() {
    PlanInput In;
    In.Now = B_.Now;
    In.WallMs = wallMs();
    In.AuthorityEnd = B_.Now + std::chrono::seconds(8);
    Orders Out = B_.Owner.plan(In);
    for (const StartOrder &Order : Out.Starts)
      start(Order);
    for (const StopOrder &Order : Out.Stops) {
      B_.Owner.onStop(Order, {OrderOutcome::Accepted, B_.clockMs()}, B_.Now);
      for (Running &Run : Running_[Order.Worker])
        if (Run.Order.Run == Order.Run && Run.How != RunEnd::Stopped) {
          Run.EndsAt = B_.Now + StopTime;
          Run.How = RunEnd::Stopped;
          Seen_.Moves += Run.Lasting ? 1 : 0;
        }
    }
  }

  void start(const StartOrder &Order) {
    B_.answer(Order, OrderOutcome::Accepted);
    Running Run{Order, B_.Now, core::TimePoint::max()};
    Run.Lasting = isLasting(Order.Task);
    if (!Run.Lasting) {
      std::uniform_int_distribution<int> Ms(ShortestRun.count(),
                                            LongestRun.count());
      Run.EndsAt = B_.Now + milliseconds(Ms(Random_));
    }
    Running_[Order.Worker].push_back(Run);
    auto Waited = WithoutRun_.extract(Order.Task);
    if (!Waited.empty())
      noteWait(B_.Now - Waited.mapped());
  }

  void noteWait(core::Duration Wait) {
    Seen_.LongestWithoutRun = std::max(Seen_.LongestWithoutRun, Wait);
  }

  /// No worker gets more than it holds, and no task has two runs.
  void checkRoom() {
    std::set<TaskRef> Lasting;
    for (const auto &[Worker, Runs] : Running_) {
      std::uint32_t Cpu = 0;
      for (const Running &Run : Runs) {
        Cpu += Run.Lasting ? LastingCpu : ShortCpu;
        if (Run.Lasting && !Lasting.insert(Run.Order.Task).second)
          FAIL("a task has two runs");
      }
      if (Cpu > WorkerCpu)
        FAIL("a worker is over its capacity");
    }
  }

  std::mt19937 Random_;
  OwnerFixture B_;
  core::TimePoint Begin_;
  unsigned Jobs_ = 0;
  std::vector<std::string> ToClose_;
  std::map<std::string, Upkeep> Closed_;
  std::map<std::string, std::vector<Running>> Running_;
  std::map<std::string, std::uint64_t> Ended_;
  /// Lasting tasks that a stop has ended, and since when.
  std::map<TaskRef, core::TimePoint> WithoutRun_;
  Outcome Seen_;
};

/// A lasting task of 3 cores at work on one of two workers of 4 cores; four
/// runs of one core fill the other one.
struct TwoWorkers {
  OwnerFixture B;
  StartOrder Lasting;
  std::vector<StartOrder> Short;
  std::string Other;
  std::uint64_t Ended = 0;

  TwoWorkers() {
    B.listWorkers({"w1", "w2"});
    plan();
    reportAll();
    B.advance(
        std::chrono::duration_cast<milliseconds>(OwnerLimits().NewJobAge));
    reportAll();
    JobSpec Spec = sampleJob(1);
    Spec.Steps[0].Lasting = true;
    Spec.Steps[0].Need = {3000, 100, 0};
    B.Owner.addJob(Spec, B.Now);
    Lasting = plan().Starts.at(0);
    B.Owner.addJob(sampleJob(2, 5), B.Now);
    for (const StartOrder &Order : plan().Starts)
      if (Order.Worker != Lasting.Worker)
        Short.push_back(Order);
    REQUIRE(Short.size() == 4);
    Other = Short[0].Worker;
    reportAll();
  }

  Orders plan() {
    Orders Out = B.plan();
    for (const StartOrder &Order : Out.Starts)
      B.answer(Order, OrderOutcome::Accepted);
    B.Owner.onStored(B.Owner.takeChanges(90).Mark);
    return Out;
  }

  void reportAll() {
    if (Lasting.Worker.empty()) {
      B.report("w1");
      B.report("w2");
      return;
    }
    std::vector<RunReport> Runs;
    for (const StartOrder &Order : Short)
      Runs.push_back(runReportOf(Order, 50));
    B.report(Other, Runs);
    B.report(Lasting.Worker, {runReportOf(Lasting)});
  }

  void endShort() {
    EndReport End =
        endReportOf(++Ended, Short.back().Task, Short.back().Run, RunEnd::Done);
    Short.pop_back();
    std::vector<RunReport> Runs;
    for (const StartOrder &Order : Short)
      Runs.push_back(runReportOf(Order, 50));
    B.report(Other, Runs, {End});
  }

  /// The decision of this round to stop the lasting task, if there is one.
  std::optional<StopDecision> decide() {
    reportAll();
    Orders Out = plan();
    std::vector<StopDecision> Taken = B.Owner.takeStopDecisions();
    CHECK(Taken.empty() == std::none_of(Out.Stops.begin(), Out.Stops.end(),
                                        [this](const StopOrder &Stop) {
                                          return Stop.Run == Lasting.Run;
                                        }));
    if (Taken.empty())
      return std::nullopt;
    return Taken[0];
  }
};

} // namespace

TEST_CASE("a lasting task leaves a closed worker once room is kept for it, "
          "which no short task takes") {
  TwoWorkers P;
  P.B.Owner.setClosedWorkers({P.Lasting.Worker});
  CHECK_FALSE(P.decide());
  P.B.Owner.addJob(sampleJob(3, 4), P.B.Now);
  for (int Ends = 0; Ends < 2; ++Ends) {
    P.endShort();
    P.B.advance(milliseconds(100));
    CHECK_FALSE(P.decide());
    CHECK(P.B.Owner.workers().at(P.Other)->Used.MilliCpus ==
          1000 * P.Short.size());
  }
  P.endShort();
  std::optional<StopDecision> Stop = P.decide();
  REQUIRE(Stop);
  CHECK(Stop->Next == NextPlace::Kept);
  CHECK(Stop->NextWorker == P.Other);
  CHECK(Stop->PlaceWait == milliseconds(200));
  // The old run has not ended yet.
  CHECK(P.plan().Starts.empty());
  P.B.report(P.Lasting.Worker, {},
             {endReportOf(1, P.Lasting.Task, P.Lasting.Run, RunEnd::Stopped)});
  Orders Out = P.plan();
  REQUIRE(!Out.Starts.empty());
  CHECK(Out.Starts[0].Task == P.Lasting.Task);
  CHECK(Out.Starts[0].Worker == P.Other);
}

TEST_CASE("a closed worker's lasting task waits only for so long, and only if "
          "some worker can hold it") {
  TwoWorkers P;
  std::set<std::string> Closed = {P.Lasting.Worker};
  P.B.Owner.setClosedWorkers(Closed);
  SUBCASE("no room comes free in time") {
    CHECK_FALSE(P.decide());
    P.B.advance(milliseconds(1990));
    CHECK_FALSE(P.decide());
    P.B.advance(milliseconds(10));
    std::optional<StopDecision> Stop = P.decide();
    REQUIRE(Stop);
    CHECK(Stop->Next == NextPlace::TimedOut);
    CHECK(Stop->PlaceWait == milliseconds(2000));
  }
  SUBCASE("the worker is evicted while the task waits") {
    CHECK_FALSE(P.decide());
    P.B.Owner.setEvictingWorkers(Closed);
    std::optional<StopDecision> Stop = P.decide();
    REQUIRE(Stop);
    CHECK(Stop->Next == NextPlace::NotSought);
  }
  SUBCASE("its data centre is closed") {
    P.B.Owner.setClosedDataCentres({"dc1"});
    CHECK(P.decide());
  }
  SUBCASE("its worker is draining") {
    for (WorkerEntry &Entry : P.B.Entries)
      Entry.Draining = Entry.Id == P.Lasting.Worker;
    P.B.Owner.setWorkers(P.B.Entries, P.B.Now);
    CHECK(P.decide());
  }
  SUBCASE("the other worker is closed too while the task waits") {
    CHECK_FALSE(P.decide());
    P.B.Owner.takePlaceEvents();
    P.B.Owner.setClosedWorkers({"w1", "w2"});
    std::optional<StopDecision> Stop = P.decide();
    REQUIRE(Stop);
    CHECK(Stop->Next == NextPlace::NoneSuits);
    std::vector<PlaceEvent> Events = P.B.Owner.takePlaceEvents();
    REQUIRE(Events.size() == 1);
    CHECK(Events[0].Change == PlaceChange::WorkerLost);
    CHECK(P.B.Owner.workers().at(P.Other)->Kept == core::Resources());
  }
  SUBCASE("the other worker has become too small") {
    for (WorkerEntry &Entry : P.B.Entries)
      if (Entry.Id == P.Other)
        Entry.Capacity.MilliCpus = 2000;
    P.B.Owner.setWorkers(P.B.Entries, P.B.Now);
    std::optional<StopDecision> Stop = P.decide();
    REQUIRE(Stop);
    CHECK(Stop->Next == NextPlace::NoneSuits);
  }
  SUBCASE("the worker is opened again") {
    CHECK_FALSE(P.decide());
    CHECK(P.B.Owner.workers().at(P.Other)->Kept.MilliCpus == 3000);
    P.B.Owner.setClosedWorkers({});
    CHECK_FALSE(P.decide());
    CHECK(P.B.Owner.workers().at(P.Other)->Kept == core::Resources());
  }
}
