#include "jobs/PoolState.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

// Measures the processor time of an owner's decisions for several numbers of
// workers and open jobs, with and without gangs among these. The open jobs
// exceed the capacity of the workers.

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

/// Long after all jobs were accepted, so that all of them are late.
constexpr std::int64_t WallMs = 1000000;
constexpr std::uint32_t Teams = 20;
constexpr std::uint32_t WorkersPerRack = 12;
constexpr unsigned IdDigits = 16;
constexpr std::size_t BatchJobs = 90;
/// One job in this many is lasting.
constexpr std::uint32_t LastingInterval = 100;
/// Finished jobs that are retained, since callers may still query them.
constexpr std::int64_t RetainedJobs = 800;

bool isLasting(std::uint32_t Number) { return Number % LastingInterval == 1; }

/// Tasks of the smallest and of the largest gang.
constexpr std::uint32_t LeastMembers = 4;
constexpr std::uint32_t MostMembers = 32;

/// \p GangInterval: one job in this many is a gang; none if zero.
JobSpec jobOf(std::uint32_t Number, std::uint32_t GangInterval) {
  std::string Digits = std::to_string(Number);
  JobSpec Spec;
  Spec.Id = std::string(IdDigits - Digits.size(), '0') + Digits;
  bool Lasting = isLasting(Number);
  Spec.Queue = Lasting ? "lasting" : "short";
  Spec.Pool = "pool";
  Spec.Team = "team-" + std::to_string(Number % Teams);
  Spec.Payload = "text";
  Spec.MaxAttempts = 3;
  Spec.SlackFactor = 2;
  Spec.TargetMs = 600;
  Spec.AcceptedMs = Number;
  StepSpec Step;
  Step.Tasks = Lasting ? 24 : 8;
  Step.Need = {Lasting ? 500U : 4000U, 500, 0};
  Step.EstimateMs = 600;
  Step.Lasting = Lasting;
  Step.MaxPerWorker = Lasting ? 2 : 0;
  Spec.Steps = {Step};
  if (Lasting)
    return Spec;
  bool Gang = GangInterval > 0 && Number % GangInterval == 0;
  if (Gang) {
    std::uint32_t Sizes = MostMembers - LeastMembers + 1;
    Step.Tasks = LeastMembers + Number / GangInterval % Sizes;
    Step.Gang = true;
    Step.SameRack = Number / GangInterval % 2 == 0;
  }
  Spec.Steps = {Step};
  Step.After = {0};
  Spec.Steps.push_back(Step);
  return Spec;
}

/// Drives an owner whose workers answer immediately.
class Driver {
public:
  Driver(std::uint32_t Workers, std::uint32_t Jobs, std::uint32_t GangInterval)
      : GangInterval_(GangInterval),
        Owner_("pool", 7, Now_ - OwnerLimits().NewJobAge * 2, OwnerLimits()) {
    auto Config = std::make_shared<FleetConfig>();
    Config->Pools.push_back({"pool", false, false});
    for (std::uint32_t N = 0; N < Teams; ++N)
      Config->Queues.push_back(
          {"queue-" + std::to_string(N), "host", "/", "other"});
    for (const char *Name : {"lasting", "short"})
      Config->Queues.push_back({Name, "host", "/", "pool"});
    Owner_.setConfig(Config);
    std::map<std::string, core::Resources> Room;
    for (std::uint32_t N = 0; N < Teams; ++N)
      Room["team-" + std::to_string(N)] = {4000000, 4000000, 100};
    Owner_.setTeamRoom(Room);
    std::vector<WorkerEntry> Entries;
    for (std::uint32_t N = 0; N < Workers; ++N) {
      WorkerEntry Entry;
      Entry.Id = "worker-of-a-pool-" + std::to_string(N);
      Entry.Pool = "pool";
      Entry.Address = "127.0.0.1:1";
      Entry.DataCentre = "dc" + std::to_string(N % 3);
      Entry.Rack = "rack-" + std::to_string(N / WorkersPerRack);
      Entry.Capacity = {32000, 65536, 0};
      Entry.Born = 1;
      Entries.push_back(Entry);
    }
    Owner_.setWorkers(Entries, Now_);
    Owner_.onStored(Owner_.takeChanges(Entries.size()).Mark);
    for (const WorkerEntry &Entry : Entries)
      report(Entry.Id, {});
    while (NextJob_ < Jobs)
      Owner_.addJob(jobOf(++NextJob_, GangInterval_), Now_);
    plan();
  }

  /// Plans once, as after an event that changed nothing.
  void plan() {
    PlanInput In;
    In.Now = Now_;
    In.WallMs = WallMs;
    In.AuthorityEnd = Now_ + std::chrono::seconds(8);
    Orders Out = Owner_.plan(In);
    for (StartOrder &Start : Out.Starts) {
      Owner_.onStart(Start, {OrderOutcome::Accepted, clockMs()}, Now_);
      if (!isLasting(static_cast<std::uint32_t>(std::stoul(Start.Task.JobId))))
        Started_.push_back(std::move(Start));
    }
  }

  /// Ends the oldest run: its worker reports the end, the end is stored and the
  /// owner plans again.
  void endOldestRun() {
    StartOrder Ended = std::move(Started_.front());
    Started_.pop_front();
    EndReport End;
    End.Number = ++Ends_[Ended.Worker];
    End.Task = Ended.Task;
    End.Run = Ended.Run;
    End.How = RunEnd::Done;
    report(Ended.Worker, {End});
    Owner_.onStored(Owner_.takeChanges(BatchJobs).Mark);
    const JobRecord *Job = Owner_.findJob(Ended.Task.JobId);
    if (Job && isFinal(Job->Now)) {
      NextJob_ += isLasting(NextJob_ + 1) ? 2 : 1;
      Owner_.addJob(jobOf(NextJob_, GangInterval_), Now_);
    }
    plan();
    Owner_.dropFinished(std::int64_t{NextJob_} - RetainedJobs);
  }

  /// Lets a second pass, in which each worker reports.
  void passSecond() {
    Now_ += std::chrono::seconds(1);
    for (const auto &[Id, W] : Owner_.workers()) {
      std::vector<RunReport> Running;
      for (const auto &[Job, Task] : W->Tasks)
        for (const LiveRun &Run : Job->Tasks[Task].Runs)
          Running.push_back({{Job->Spec.Id, 0, Task / Job->Spec.Steps[0].Tasks,
                              Task % Job->Spec.Steps[0].Tasks},
                             Run.Run,
                             "",
                             50,
                             0});
      sendReport(Id, {}, std::move(Running));
    }
  }

  void countWaits() {
    benchmark::DoNotOptimize(Owner_.gauges(Now_, WallMs).Waiting);
  }

  bool hasStarted() const { return !Started_.empty(); }

private:
  void report(const std::string &Worker, std::vector<EndReport> Ended) {
    std::vector<RunReport> Running;
    for (const StartOrder &Start : Started_)
      if (Start.Worker == Worker)
        Running.push_back({Start.Task, Start.Run, "", 50, 0});
    sendReport(Worker, std::move(Ended), std::move(Running));
  }

  void sendReport(const std::string &Worker, std::vector<EndReport> Ended,
                  std::vector<RunReport> Running) {
    HoldOrder Order;
    Order.Worker = Worker;
    ReportResult Result;
    Result.Outcome = OrderOutcome::Accepted;
    Result.Report.ClockMs = clockMs();
    Result.Report.Born = 1;
    Result.Report.Ended = std::move(Ended);
    Result.Report.Running = std::move(Running);
    Owner_.onReport(Order, Result, Now_, Now_);
  }

  std::int64_t clockMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               Now_.time_since_epoch())
        .count();
  }

  std::uint32_t GangInterval_;
  core::TimePoint Now_{std::chrono::hours(1)};
  PoolState Owner_;
  std::uint32_t NextJob_ = 0;
  std::deque<StartOrder> Started_;
  std::map<std::string, std::uint64_t> Ends_;
};

Driver driverOf(const benchmark::State &State) {
  return Driver(static_cast<std::uint32_t>(State.range(0)),
                static_cast<std::uint32_t>(State.range(1)),
                static_cast<std::uint32_t>(State.range(2)));
}

void planUnchanged(benchmark::State &State) {
  Driver D = driverOf(State);
  for (auto Round : State)
    D.plan();
}

void planAfterAnEnd(benchmark::State &State) {
  Driver D = driverOf(State);
  for (auto Round : State)
    if (D.hasStarted())
      D.endOldestRun();
}

/// With the check for long waits, which is made once a second.
void planAfterASecond(benchmark::State &State) {
  Driver D = driverOf(State);
  constexpr int LongWaitSeconds = 8;
  for (int N = 0; N < LongWaitSeconds; ++N) {
    D.passSecond();
    D.plan();
  }
  for (auto Round : State) {
    State.PauseTiming();
    D.passSecond();
    State.ResumeTiming();
    D.plan();
  }
}

/// The statistics of a summary.
void countWaits(benchmark::State &State) {
  Driver D = driverOf(State);
  for (auto Round : State)
    D.countWaits();
}

const std::vector<std::vector<std::int64_t>> Sizes = {
    {10, 87, 266}, {10, 200, 800, 1300}, {0, 10}};
const std::vector<std::string> Names = {"workers", "jobs", "gang_interval"};

BENCHMARK(planUnchanged)->ArgNames(Names)->ArgsProduct(Sizes);
BENCHMARK(planAfterASecond)->ArgNames(Names)->ArgsProduct(Sizes);
BENCHMARK(countWaits)->ArgNames(Names)->ArgsProduct(Sizes);
BENCHMARK(planAfterAnEnd)->ArgNames(Names)->ArgsProduct(Sizes);

} // namespace

BENCHMARK_MAIN();
