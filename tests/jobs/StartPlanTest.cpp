#include "jobs/JobSamples.h"
#include "jobs/NaiveStarts.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr std::uint64_t FirstSeed = 20261204;
constexpr std::uint64_t Pools = 150;
constexpr int Steps = 40;
constexpr std::size_t BatchRows = 20;
constexpr int SettlingRounds = 4;

OwnerLimits limits() {
  OwnerLimits Limits;
  Limits.RemoteFactor = 2;
  return Limits;
}

/// A pool whose state changes at random; before each plan of the owner, the
/// naive plan is computed from the same state.
class RandomPool {
public:
  explicit RandomPool(std::uint64_t Seed)
      : Random_(Seed), Owner_("pool", 7, Now_, limits()) {
    setConfig();
    for (int N = draw(2, 10); N > 0; --N)
      Entries_.push_back(worker(N));
    Owner_.setWorkers(Entries_, Now_);
    store();
    for (int N = draw(0, 4); N > 0; --N)
      inherit();
  }

  /// Returns whether both plans are equal.
  bool step() {
    Now_ += milliseconds(draw(10, 400));
    for (int N = draw(0, 3); N > 0; --N)
      Owner_.addJob(job(), Now_);
    change();
    for (const WorkerEntry &Entry : Entries_)
      if (chance(0.7))
        report(Entry.Id);
    return decide();
  }

  std::size_t starts() const { return Count_; }
  std::uint64_t copies() const { return Copies_; }
  std::uint64_t gangs() const { return Gangs_; }

private:
  bool chance(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(Random_) < Share;
  }
  int draw(int From, int To) {
    return std::uniform_int_distribution<int>(From, To)(Random_);
  }
  std::uint32_t pick(int From, int To) {
    return static_cast<std::uint32_t>(draw(From, To));
  }

  std::int64_t ms() const {
    return std::chrono::duration_cast<milliseconds>(Now_.time_since_epoch())
        .count();
  }

  void setConfig() {
    auto Config = std::make_shared<FleetConfig>();
    Config->Pools.push_back({"pool", false, false});
    for (const char *Name : {"first", "second", "advised"}) {
      Queue Q;
      Q.Name = Name;
      Q.Pool = "pool";
      Q.Priority = pick(0, 2);
      Q.Advised = Q.Name == "advised";
      Config->Queues.push_back(Q);
    }
    Config_ = Config;
    Owner_.setConfig(Config_);
  }

  WorkerEntry worker(int Number) {
    WorkerEntry Entry = sampleWorker("w" + std::to_string(Number));
    Entry.DataCentre = "dc" + std::to_string(draw(1, 3));
    Entry.Rack = "r" + std::to_string(draw(1, 3));
    Entry.Capacity = {pick(2, 12) * 1000, pick(500, 4000), pick(0, 2)};
    if (chance(0.4))
      Entry.Labels = {"label"};
    Entry.ColdFor = milliseconds(chance(0.2) ? 1000 : 0);
    return Entry;
  }

  JobSpec job() {
    JobSpec Spec = sampleJob(++Jobs_);
    const char *Queues[] = {"first", "second", "advised", "unknown"};
    Spec.Queue = Queues[chance(0.05) ? 2 : chance(0.2) ? 3 : draw(0, 1)];
    Spec.Team = "team" + std::to_string(draw(1, 3));
    Spec.Priority = pick(0, 2);
    Spec.AcceptedMs = ms() - draw(0, 6000);
    Spec.TargetMs = pick(0, 2000);
    Spec.Steps.clear();
    bool Lasting = chance(0.2);
    for (int N = Lasting ? 1 : draw(1, 3); N > 0; --N)
      Spec.Steps.push_back(stepAfter(Spec.Steps.size(), Lasting));
    if (!Lasting && chance(0.15)) {
      Spec.Repetitions = pick(1, 3);
      Spec.FirstDueMs = ms() + draw(-500, 1000);
      Spec.IntervalMs = draw(0, 1500);
    }
    return Spec;
  }

  StepSpec stepAfter(std::size_t Earlier, bool Lasting) {
    StepSpec Step;
    Step.Lasting = Lasting;
    Step.Tasks = pick(1, 6);
    Step.Need = {pick(1, 5) * 700, pick(0, 600), chance(0.1) ? 1U : 0U};
    Step.EstimateMs = pick(50, 1500);
    for (std::uint32_t N = 0; N < Earlier; ++N)
      if (chance(0.6))
        Step.After.push_back(N);
    Step.Gang = chance(0.2);
    Step.SameRack = chance(0.5);
    Step.Copies = chance(0.5);
    Step.Filling = chance(0.15);
    Step.Label = chance(0.15) ? "label" : "";
    Step.NearRack = chance(0.2) ? "r2" : "";
    Step.MaxPerWorker = chance(0.3) ? pick(1, 2) : 0;
    Step.TailTargetMs = Lasting && chance(0.5) ? 50 : 0;
    return Step;
  }

  /// Adds a job of an earlier owner, with some of its first tasks done.
  void inherit() {
    JobSpec Spec = job();
    JobProgress Kept;
    Kept.State = JobState::Running;
    for (int N = draw(0, 3); N > 0 && !Spec.Steps.front().Lasting; --N)
      Kept.Tasks.emplace_back().Done = chance(0.5);
    Owner_.inheritJob(Spec, &Kept, Now_);
  }

  void store() { Owner_.onStored(Owner_.takeChanges(BatchRows).Mark); }

  void change() {
    if (chance(0.1))
      setConfig();
    if (chance(0.15)) {
      TeamRoom_.clear();
      for (const char *Name : {"team1", "team2"})
        if (chance(0.7))
          TeamRoom_[Name] = {pick(0, 30000), pick(500, 6000), pick(0, 3)};
      Owner_.setTeamRoom(TeamRoom_);
    }
    if (chance(0.1)) {
      Closed_.clear();
      if (chance(0.5))
        Closed_.insert("dc2");
      Owner_.setClosedDataCentres(Closed_);
    }
    std::set<std::string> Out;
    for (const WorkerEntry &Entry : Entries_)
      if (chance(0.05))
        Out.insert(Entry.Id);
    Owner_.setClosedWorkers(Out);
    Owner_.setEvictingWorkers(Out);
    if (chance(0.1))
      Owner_.cancelJob(jobId(pick(1, static_cast<int>(Jobs_) + 1)));
    if (chance(0.2)) {
      store();
      Owner_.dropFinished(ms() - 2000);
    }
    std::vector<WorkerEntry> Listed = Entries_;
    std::erase_if(Listed, [this](const WorkerEntry &) { return chance(0.02); });
    for (WorkerEntry &Entry : Listed)
      Entry.Draining = chance(0.03);
    Owner_.setWorkers(Listed, Now_);
  }

  /// Reports for the worker: some runs have ended, a few have disappeared.
  void report(const std::string &Id) {
    auto At = Owner_.workers().find(Id);
    if (At == Owner_.workers().end())
      return;
    HoldOrder Order;
    Order.Worker = Id;
    ReportResult Result;
    Result.Outcome =
        chance(0.02) ? OrderOutcome::Unknown : OrderOutcome::Accepted;
    Result.Report.ClockMs = ms();
    Result.Report.Born = At->second->Born;
    std::uint64_t Ends = At->second->ProcessedUpTo;
    std::map<TaskRef, const TaskState *> Tasks;
    for (const auto &[Job, Task] : At->second->Tasks)
      Tasks[refOf(*Job, Task)] = &Job->Tasks[Task];
    for (const auto &[Ref, Task] : Tasks)
      for (const LiveRun &Run : Task->Runs) {
        if (Run.Worker != Id || chance(0.01))
          continue;
        if (chance(0.25)) {
          RunEnd How = chance(0.2) ? RunEnd::Failed : RunEnd::Done;
          if (Run.Stopping)
            How = RunEnd::Stopped;
          Result.Report.Ended.push_back(endReportOf(++Ends, Ref, Run.Run, How));
          continue;
        }
        // Worker w1 is slow.
        std::uint32_t Percent = Id == "w1" ? 1 : pick(0, 100);
        Result.Report.Running.push_back({Ref, Run.Run, "", Percent, 0});
      }
    Owner_.onReport(Order, Result, Now_, Now_);
  }

  static TaskRef refOf(const JobRecord &Job, std::uint32_t Task) {
    std::uint32_t Whole = tasksPerOccurrence(Job.Spec);
    TaskRef Ref{Job.Spec.Id, Task / Whole, 0, Task % Whole};
    while (Ref.Index >= Job.Spec.Steps[Ref.Step].Tasks)
      Ref.Index -= Job.Spec.Steps[Ref.Step++].Tasks;
    return Ref;
  }

  bool decide() {
    NaiveInput Input;
    Input.Limits = limits();
    Input.Config = Config_.get();
    Input.TeamRoom = TeamRoom_;
    Input.ClosedDataCentres = Closed_;
    Input.In.Now = Now_;
    Input.In.WallMs = ms();
    // First run the parts of planning that precede the starts until the state
    // no longer changes; in each round another worker may be found slow.
    Input.In.MayStart = false;
    Input.In.AuthorityEnd = Now_ + OwnerLimits().Authority;
    Owner_.plan(Input.In);
    Input.In.MayStart = true;
    Input.In.AuthorityEnd = Now_;
    for (int Round = 0; Round < SettlingRounds; ++Round)
      Owner_.plan(Input.In);
    Input.In.AuthorityEnd = Now_ + OwnerLimits().Authority;
    std::vector<NaiveStart> Wanted = naiveStarts(Owner_, Input);
    Copies_ += std::count_if(
        Wanted.begin(), Wanted.end(), [this](const NaiveStart &Start) {
          const JobRecord *Job = Owner_.findJob(Start.Task.JobId);
          return std::any_of(Job->Tasks.begin(), Job->Tasks.end(),
                             [](const TaskState &T) { return T.WantsCopy; });
        });
    std::vector<NaiveStart> Taken;
    for (const StartOrder &Start : Owner_.plan(Input.In).Starts) {
      Taken.push_back({Start.Worker, Start.Task});
      const JobRecord *Job = Owner_.findJob(Start.Task.JobId);
      Gangs_ += Job->Spec.Steps[Start.Task.Step].Gang ? 1 : 0;
      OrderOutcome Outcome =
          chance(0.05) ? OrderOutcome::NoRoom : OrderOutcome::Accepted;
      Owner_.onStart(Start, {Outcome, ms()}, Now_);
    }
    Count_ += Taken.size();
    return Taken == Wanted;
  }

  std::mt19937_64 Random_;
  core::TimePoint Now_{};
  PoolState Owner_;
  std::shared_ptr<const FleetConfig> Config_;
  std::map<std::string, core::Resources> TeamRoom_;
  std::set<std::string> Closed_;
  std::vector<WorkerEntry> Entries_;
  unsigned Jobs_ = 0;
  std::size_t Count_ = 0;
  std::uint64_t Copies_ = 0;
  std::uint64_t Gangs_ = 0;
};

/// Whether both plans are equal in all steps of the pool.
bool plansAreEqual(std::uint64_t Seed) {
  RandomPool Pool(Seed);
  bool Same = true;
  for (int Step = 0; Step < Steps && Same; ++Step)
    Same = Pool.step();
  return Same;
}

} // namespace

TEST_CASE("workers are kept for a task that has a run there, or whose room is "
          "not seen to come free, while others could start there") {
  for (std::uint64_t Seed : {20262057, 20262128}) {
    CAPTURE(Seed);
    CHECK(plansAreEqual(Seed));
  }
}

TEST_CASE("the owner plans the same starts on the same workers as the naive "
          "implementation") {
  std::size_t Starts = 0;
  std::uint64_t Copies = 0;
  std::uint64_t Gangs = 0;
  for (std::uint64_t N = 0; N < Pools; ++N) {
    CAPTURE(FirstSeed + N);
    RandomPool Pool(FirstSeed + N);
    bool Same = true;
    for (int Step = 0; Step < Steps && Same; ++Step)
      Same = Pool.step();
    CHECK(Same);
    Starts += Pool.starts();
    Copies += Pool.copies();
    Gangs += Pool.gangs();
  }
  MESSAGE(Pools, " pools, ", Starts, " starts, ", Copies, " in jobs with ",
          "copies wanted, ", Gangs, " in gangs");
  // Make sure that the comparison covers enough cases.
  CHECK(Starts > Pools * Steps);
  CHECK(Copies > Pools);
  CHECK(Gangs > Pools);
}
