#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

// Plays a surge of more work than the pool holds and checks what callers get.

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr unsigned Seed = 20261205;
constexpr unsigned Workers = 60;
constexpr std::uint32_t WorkerCpu = 64000;
constexpr std::uint32_t TaskCpu = 8400;
constexpr milliseconds StepTime(10);
constexpr milliseconds TaskTime(800);
constexpr milliseconds SurgeTime(4500);
constexpr milliseconds PlayTime(20000);
constexpr milliseconds ReportEvery(500);
constexpr std::uint32_t TargetMs = 600;
constexpr double SlackFactor = 2;
constexpr std::uint32_t TasksPerWorker = WorkerCpu / TaskCpu;
/// Tasks that all workers finish in a second.
constexpr double Rate = 1000.0 / 800 * Workers * TasksPerWorker;
/// Work that arrives in the surge, as a share of what the workers finish.
constexpr double Overload = 1.6;

/// What became of the jobs of one size.
struct Share {
  unsigned Jobs = 0;
  unsigned InTime = 0;
  unsigned Done = 0;
  double value() const { return Jobs == 0 ? 1 : double(InTime) / Jobs; }
};

/// A pool in a surge: each job has one step, its size is its number of tasks.
class Surge {
public:
  explicit Surge(unsigned PlaySeed) : Random_(PlaySeed) {
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
    Begin_ = B_.Now;
  }

  std::map<std::uint32_t, Share> play() {
    while (B_.Now - Begin_ < PlayTime) {
      if (B_.Now - Begin_ < SurgeTime)
        arrive();
      endTasks();
      B_.Owner.onStored(B_.Owner.takeChanges(90).Mark);
      plan();
      B_.advance(StepTime);
      if ((B_.Now - Begin_) % ReportEvery == core::Duration::zero())
        reportAll();
    }
    for (Share *Size : {&Sizes_[2], &Sizes_[8], &Sizes_[32]})
      CHECK(Size->Done == Size->Jobs);
    return Sizes_;
  }

private:
  struct Running {
    StartOrder Order;
    core::TimePoint EndsAt;
  };

  std::int64_t wallMs() const { return 1000000 + B_.clockMs(); }

  void arrive() {
    constexpr double MeanTasks = 0.5 * 2 + 0.4 * 8 + 0.1 * 32;
    constexpr double StepSeconds = 0.01;
    std::poisson_distribution<unsigned> Count(Rate * Overload / MeanTasks *
                                              StepSeconds);
    std::discrete_distribution<unsigned> Size({0.5, 0.4, 0.1});
    for (unsigned N = Count(Random_); N > 0; --N) {
      constexpr std::uint32_t Tasks[] = {2, 8, 32};
      JobSpec Spec = sampleJob(++Jobs_, Tasks[Size(Random_)]);
      Spec.Steps[0].Need = {TaskCpu, 10, 0};
      Spec.Steps[0].EstimateMs = TaskTime.count();
      Spec.SlackFactor = SlackFactor;
      Spec.TargetMs = TargetMs;
      Spec.AcceptedMs = wallMs();
      ++Sizes_[Spec.Steps[0].Tasks].Jobs;
      B_.Owner.addJob(Spec, B_.Now);
    }
  }

  void endTasks() {
    std::map<std::string, std::vector<EndReport>> Ends;
    for (auto &[Worker, Runs] : Running_)
      for (Running &Run : Runs)
        if (Run.EndsAt <= B_.Now)
          Ends[Worker].push_back(endReportOf(++Ended_[Worker], Run.Order.Task,
                                             Run.Order.Run, RunEnd::Done));
    for (auto &[Worker, List] : Ends) {
      std::erase_if(Running_[Worker],
                    [&](const Running &Run) { return Run.EndsAt <= B_.Now; });
      std::vector<std::string> Ids;
      for (const EndReport &End : List)
        Ids.push_back(End.Task.JobId);
      report(Worker, List);
      for (const std::string &Id : Ids)
        countIfDone(Id);
    }
  }

  void countIfDone(const std::string &Id) {
    const JobRecord *Job = B_.Owner.findJob(Id);
    if (!Job || Job->Now != JobState::Completed || !Done_.insert(Id).second)
      return;
    Share &Size = Sizes_[Job->Spec.Steps[0].Tasks];
    ++Size.Done;
    auto Aim = static_cast<std::int64_t>(SlackFactor * TaskTime.count()) +
               Job->Spec.TargetMs;
    Size.InTime += wallMs() - Job->Spec.AcceptedMs <= Aim ? 1 : 0;
  }

  void report(const std::string &Worker, std::vector<EndReport> Ends) {
    std::vector<RunReport> Runs;
    for (const Running &Run : Running_[Worker])
      Runs.push_back(runReportOf(Run.Order, 50));
    B_.report(Worker, std::move(Runs), std::move(Ends));
  }
  void reportAll() {
    for (const WorkerEntry &Entry : B_.Entries)
      report(Entry.Id, {});
  }

  void plan() {
    PlanInput In;
    In.Now = B_.Now;
    In.WallMs = wallMs();
    In.AuthorityEnd = B_.Now + std::chrono::seconds(8);
    for (const StartOrder &Order : B_.Owner.plan(In).Starts) {
      B_.answer(Order, OrderOutcome::Accepted);
      Running_[Order.Worker].push_back({Order, B_.Now + TaskTime});
    }
  }

  std::mt19937 Random_;
  OwnerFixture B_;
  core::TimePoint Begin_;
  unsigned Jobs_ = 0;
  std::map<std::string, std::vector<Running>> Running_;
  std::map<std::string, std::uint64_t> Ended_;
  std::set<std::string> Done_;
  std::map<std::uint32_t, Share> Sizes_;
};

} // namespace

TEST_CASE("in a surge of more work than the pool holds, large jobs are served "
          "in time at least half as often as all") {
  Share All;
  Share Large;
  for (unsigned Play = 0; Play < 3; ++Play) {
    std::map<std::uint32_t, Share> Sizes = Surge(Seed + Play).play();
    for (const auto &[Tasks, Size] : Sizes) {
      All.Jobs += Size.Jobs;
      All.InTime += Size.InTime;
      if (Tasks == 32) {
        Large.Jobs += Size.Jobs;
        Large.InTime += Size.InTime;
      }
      MESSAGE(Tasks, " tasks: ", Size.InTime, " of ", Size.Jobs, " in time");
    }
  }
  CHECK(All.value() >= 0.9);
  CHECK(Large.value() >= All.value() / 2);
}
