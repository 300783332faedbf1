#include "jobs/PoolSizes.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <numeric>
#include <random>

// Simulates pools that take turns in demand, on a virtual clock and without
// owners, orders or network: under the present plan for their machines, with
// even shares and as one pool.

using namespace comfreydeck;
using namespace comfreydeck::jobs;
using nlohmann::json;

namespace {

constexpr std::int64_t StepMs = 10;
constexpr double StepSeconds = StepMs / 1000.0;
/// Period of the planning rounds of the fleet's owner.
constexpr std::int64_t RoundMs = 150;
constexpr std::int64_t PlayMs = 240000;
/// Jobs that arrive after PlayMs are load, but are not counted.
constexpr std::int64_t EndMs = PlayMs + 25000;
constexpr double MachineCores = 64;
constexpr std::uint32_t TasksPerStep = 8;
constexpr std::uint32_t LastingTasks = 24;
constexpr double LastingCores = 1;
constexpr std::int64_t MoveMs = 1500;
/// A worker is slow by this factor for a while after it has joined.
constexpr std::int64_t ColdMs = 2000;
constexpr double ColdFactor = 1.5;
/// A job is in time within twice its chain and this, late within three times
/// of both, and worthless after that.
constexpr double TargetMs = 600;
constexpr double SlackFactor = 2;
constexpr double LateLimit = 3;
/// Worth of a late job, as a share of one in time.
constexpr double LateWorth = 0.5;
/// A job that has to start within this time goes first.
constexpr double UrgentSlackMs = 500;
/// Prices in work: of a machine in a pool, and of a move as that of a machine
/// for two seconds.
constexpr double MachinePriceCores = 0.07 * MachineCores;
constexpr double MovePriceCoreMs = MachinePriceCores * 2000;
/// Windows of the arrival rate, and jobs that the short one needs.
constexpr std::int64_t ArrivalWindowMs = 1000;
constexpr std::int64_t BurstWindowMs = 350;
constexpr std::size_t BurstJobs = 3;
/// Waiting tasks of older jobs don't count as load.
constexpr std::int64_t MaxUsefulAgeMs = 6000;
/// Demand of a pool in its turn and out of it, against its mean.
constexpr double TurnFactor = 5;
constexpr double QuietFactor = 0.05;

/// Jobs of one kind.
struct Kind {
  double TaskMs;
  double Cores;
  /// Share of its jobs with two steps; the others have one.
  double TwoSteps;
  /// Mean jobs a second in a pool of the largest site.
  double Rate;
};

constexpr std::array<Kind, 2> Kinds = {
    {{1000, 5.6, 0.6, 20}, {1300, 12, 1, 7}}};

struct Site {
  const char *Name;
  std::uint32_t Pools;
  std::uint32_t Machines;
  /// Machines that start in the standby pool.
  std::uint32_t Standby;
  /// Load against that of the largest site.
  double Load;
  std::uint32_t LastingPerMachine;
  /// Part of a turn after which the next one begins.
  double TurnShift;
};

constexpr std::array<Site, 3> Sites = {{{"grown", 5, 350, 60, 1, 2, 1},
                                        {"small", 5, 40, 5, 40.0 / 350, 6, 1},
                                        {"twin", 5, 120, 45, 0.45, 2, 0.8}}};

enum class Plan : std::uint8_t {
  /// PoolSizes, as the product does.
  Present,
  /// All machines spread evenly, without moves.
  Even,
  /// One pool of all machines, paid for only while needed.
  Bound,
};

struct Job {
  std::uint32_t Pool = 0;
  const Kind *Is = nullptr;
  std::int64_t ArriveMs = 0;
  std::uint32_t Steps = 1;
  std::vector<double> TaskMs;
  std::uint32_t Step = 0;
  std::uint32_t Done = 0;
  std::vector<std::uint32_t> Waiting;
  std::int64_t EndedMs = -1;

  double chainMs() const { return Is->TaskMs * Steps; }
  double objectiveMs() const { return SlackFactor * chainMs() + TargetMs; }
  double chainLeftMs() const { return Is->TaskMs * (Steps - Step); }
  double waitingCores() const {
    return static_cast<double>(Waiting.size()) * Is->Cores;
  }
  double work() const {
    return std::accumulate(TaskMs.begin(), TaskMs.end(), 0.0) * Is->Cores;
  }
};

/// The begin and end of each turn, by pool.
std::vector<std::vector<double>> drawTurns(const Site &S,
                                           std::mt19937_64 &Random) {
  std::vector<std::uint32_t> Order(S.Pools);
  std::iota(Order.begin(), Order.end(), 0);
  std::shuffle(Order.begin(), Order.end(), Random);
  std::vector<std::vector<double>> Turns(S.Pools);
  std::uniform_real_distribution<double> LengthMs(10000, 15000);
  double Begin = 0;
  for (std::size_t N = 0; Begin < EndMs; ++N) {
    double Lasts = LengthMs(Random);
    Turns[Order[N % S.Pools]].push_back(Begin);
    Turns[Order[N % S.Pools]].push_back(Begin + Lasts);
    Begin += Lasts * S.TurnShift;
  }
  return Turns;
}

Job drawJob(std::uint32_t Pool, double AtMs, std::mt19937_64 &Random) {
  std::uniform_real_distribution<double> Share(0, 1);
  std::uniform_real_distribution<double> Spread(0.8, 1.2);
  const Kind &K = Kinds[Pool % Kinds.size()];
  Job J;
  J.Pool = Pool;
  J.Is = &K;
  J.ArriveMs = static_cast<std::int64_t>(AtMs);
  J.Steps = Share(Random) < K.TwoSteps ? 2 : 1;
  for (std::uint32_t T = 0; T < J.Steps * TasksPerStep; ++T)
    J.TaskMs.push_back(K.TaskMs * Spread(Random));
  return J;
}

std::vector<Job> drawLoad(const Site &S, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::vector<std::vector<double>> Turns = drawTurns(S, Random);
  std::vector<Job> Jobs;
  std::uniform_real_distribution<double> Share(0, 1);
  for (std::uint32_t P = 0; P < S.Pools; ++P) {
    double Rate = Kinds[P % Kinds.size()].Rate * S.Load * TurnFactor / 1000;
    std::exponential_distribution<double> Gap(Rate);
    for (double At = Gap(Random); At < EndMs; At += Gap(Random)) {
      auto Passed = std::upper_bound(Turns[P].begin(), Turns[P].end(), At) -
                    Turns[P].begin();
      bool InTurn = Passed % 2 == 1;
      if (InTurn || Share(Random) <= QuietFactor / TurnFactor)
        Jobs.push_back(drawJob(P, At, Random));
    }
  }
  std::sort(Jobs.begin(), Jobs.end(), [](const Job &A, const Job &B) {
    return std::pair(A.ArriveMs, A.Pool) < std::pair(B.ArriveMs, B.Pool);
  });
  return Jobs;
}

struct Run {
  Job *Of = nullptr;
  std::int64_t EndsMs = 0;
};

struct Machine {
  std::string Id;
  std::uint32_t Pool = 0;
  std::int64_t UpAtMs = 0;
  std::int64_t ColdUntilMs = 0;
  double Lasting = 0;
  double Used = 0;
  std::vector<Run> Runs;

  bool isIdle(std::int64_t NowMs) const {
    return UpAtMs <= NowMs && Runs.empty() && Lasting == 0;
  }
  double freeCores() const { return MachineCores - Lasting - Used; }
};

/// What callers got and what it cost.
struct Outcome {
  double Jobs = 0;
  double InTime = 0;
  double Late = 0;
  double Work = 0;
  double WorthWork = 0;
  /// Machine-seconds in pools.
  double AtWork = 0;
  double Held = 0;
  double Idle = 0;
  double Moving = 0;
  /// Cores at work with tasks that are not lasting, in core seconds.
  double UsedCores = 0;
  double Moves = 0;
  /// Idle machine-seconds in pools without waiting tasks while another pool's
  /// tasks wait.
  double Stranded = 0;
  /// Waiting cores by time, and those that PoolState::load leaves out.
  double Waiting = 0;
  double LeftOut = 0;
  std::vector<double> FailedByPool;
  std::vector<double> JobsByPool;

  double machineSeconds() const { return AtWork + Held + Idle + Moving; }
};

/// Plays one load under one plan.
class Play {
public:
  Play(const Site &S, Plan How, std::uint64_t Seed)
      : Site_(S), How_(How), Pools_(How == Plan::Bound ? 1 : S.Pools),
        Jobs_(drawLoad(S, Seed)), Open_(Pools_), Members_(Pools_),
        SurplusSince_(Pools_ + 1, 0), ArrivedWork_(Pools_) {
    for (Job &J : Jobs_)
      J.Pool = How == Plan::Bound ? 0 : J.Pool;
    placeMachines();
    listMembers();
  }

  Outcome play() {
    for (Now_ = 0; Now_ < EndMs; Now_ += StepMs) {
      join();
      arrive();
      endRuns();
      if (How_ == Plan::Present && Now_ % RoundMs == 0)
        plan();
      for (std::uint32_t P = 0; P < Pools_; ++P)
        start(P);
      if (Now_ < PlayMs)
        account();
    }
    settle();
    return Out_;
  }

private:
  void placeMachines() {
    std::uint32_t Standby = How_ == Plan::Present ? Site_.Standby : 0;
    std::uint32_t InPools = Site_.Machines - Standby;
    std::uint32_t Holders = lastingMachines() * Site_.Pools;
    for (std::uint32_t N = 0; N < Site_.Machines; ++N) {
      Machine M;
      M.Id = std::to_string(N);
      M.Pool = N < InPools ? N % Pools_ : Pools_;
      M.Lasting = N < Holders ? Site_.LastingPerMachine * LastingCores : 0;
      Machines_.push_back(std::move(M));
    }
  }

  /// Machines of one pool that hold its lasting tasks.
  std::uint32_t lastingMachines() const {
    return LastingTasks / Site_.LastingPerMachine;
  }

  void listMembers() {
    for (std::vector<Machine *> &M : Members_)
      M.clear();
    for (Machine &M : Machines_)
      if (M.Pool < Pools_ && M.UpAtMs <= Now_)
        Members_[M.Pool].push_back(&M);
  }

  void join() {
    if (std::any_of(Machines_.begin(), Machines_.end(), [&](const Machine &M) {
          return M.UpAtMs > Now_ - StepMs && M.UpAtMs <= Now_;
        }))
      listMembers();
  }

  void arrive() {
    for (; Next_ < Jobs_.size() && Jobs_[Next_].ArriveMs <= Now_; ++Next_) {
      Job &J = Jobs_[Next_];
      offerStep(J);
      Open_[J.Pool].push_back(&J);
      ArrivedWork_[J.Pool].emplace_back(Now_, J.Is->TaskMs * J.Steps *
                                                  TasksPerStep * J.Is->Cores);
    }
  }

  static void offerStep(Job &J) {
    for (std::uint32_t T = 0; T < TasksPerStep; ++T)
      J.Waiting.push_back(J.Step * TasksPerStep + T);
  }

  void endRuns() {
    for (Machine &M : Machines_)
      std::erase_if(M.Runs, [&](const Run &R) {
        if (R.EndsMs > Now_)
          return false;
        M.Used -= R.Of->Is->Cores;
        endTask(*R.Of);
        return true;
      });
    for (std::vector<Job *> &Open : Open_)
      std::erase_if(Open, [](const Job *J) { return J->EndedMs >= 0; });
  }

  void endTask(Job &J) const {
    if (++J.Done < TasksPerStep)
      return;
    J.Done = 0;
    if (++J.Step < J.Steps)
      offerStep(J);
    else
      J.EndedMs = Now_;
  }

  /// The order of StartPlan.
  struct Candidate {
    Job *Of = nullptr;
    bool Late = false;
    bool Urgent = false;
    double Remaining = 0;

    bool operator<(const Candidate &B) const {
      if (Late != B.Late)
        return !Late;
      if (Urgent != B.Urgent)
        return Urgent;
      if (Remaining != B.Remaining)
        return Remaining < B.Remaining;
      return Of < B.Of;
    }
  };

  double slackMs(const Job &J) const {
    return static_cast<double>(J.ArriveMs - Now_) + J.objectiveMs() -
           J.chainLeftMs();
  }

  std::vector<Candidate> startOrder(std::uint32_t Pool) const {
    double MostFree = 0;
    for (const Machine *M : Members_[Pool])
      MostFree = std::max(MostFree, M->freeCores());
    std::vector<Candidate> Order;
    for (Job *J : Open_[Pool]) {
      if (J->Waiting.empty() || J->Is->Cores > MostFree)
        continue;
      double Slack = slackMs(*J);
      double Left = TasksPerStep * (J->Steps - J->Step) - J->Done;
      Order.push_back({J, Slack < 0, Slack >= 0 && Slack < UrgentSlackMs,
                       Left * J->Is->TaskMs * J->Is->Cores});
    }
    std::sort(Order.begin(), Order.end());
    return Order;
  }

  void start(std::uint32_t Pool) {
    double Unplaced = MachineCores + 1;
    for (const Candidate &C : startOrder(Pool))
      while (!C.Of->Waiting.empty() && C.Of->Is->Cores < Unplaced)
        if (!startTask(Pool, *C.Of))
          Unplaced = C.Of->Is->Cores;
  }

  bool startTask(std::uint32_t Pool, Job &J) const {
    Machine *Best = nullptr;
    auto Prefers = [&](const Machine &A, const Machine &B) {
      if ((A.Lasting > 0) != (B.Lasting > 0))
        return A.Lasting > 0;
      return A.freeCores() < B.freeCores();
    };
    for (Machine *M : Members_[Pool])
      if (M->freeCores() >= J.Is->Cores && (!Best || Prefers(*M, *Best)))
        Best = M;
    if (!Best)
      return false;
    std::uint32_t Task = J.Waiting.back();
    J.Waiting.pop_back();
    double Ms = J.TaskMs[Task] * (Best->ColdUntilMs > Now_ ? ColdFactor : 1);
    Best->Runs.push_back({&J, Now_ + static_cast<std::int64_t>(Ms)});
    Best->Used += J.Is->Cores;
    return true;
  }

  std::string nameOf(std::uint32_t Pool) const {
    return Pool == Pools_ ? "standby" : "p" + std::to_string(Pool);
  }

  std::uint32_t poolOf(const std::string &Name) const {
    for (std::uint32_t P = 0; P < Pools_; ++P)
      if (nameOf(P) == Name)
        return P;
    return Pools_;
  }

  /// As PoolState::arrivingCpu.
  double arrivingCores(std::uint32_t Pool) const {
    const std::vector<std::pair<std::int64_t, double>> &Arrived =
        ArrivedWork_[Pool];
    double Rate = 0;
    for (std::int64_t Window : {BurstWindowMs, ArrivalWindowMs}) {
      double Work = 0;
      std::size_t Count = 0;
      for (auto It = Arrived.rbegin();
           It != Arrived.rend() && Now_ - It->first <= Window; ++It) {
        Work += It->second;
        ++Count;
      }
      if (Window == ArrivalWindowMs || Count >= BurstJobs)
        Rate = std::max(Rate, Work / static_cast<double>(Window));
    }
    return Rate;
  }

  /// As PoolState::load.
  PoolLoad loadOf(std::uint32_t Pool) const {
    auto Milli = [](double Cores) {
      return static_cast<std::uint64_t>(std::llround(Cores * 1000));
    };
    PoolLoad Load;
    Load.Pool = nameOf(Pool);
    Load.Standby = Pool == Pools_;
    Load.PerMachine = {static_cast<std::uint32_t>(Milli(MachineCores)), 0, 0};
    double Lasting = 0;
    double Used = 0;
    for (const Machine &M : Machines_) {
      if (M.Pool != Pool)
        continue;
      ++Load.Machines;
      Lasting += M.Lasting;
      Used += M.Used;
      if (M.isIdle(Now_))
        Load.Idle.push_back(M.Id);
    }
    Load.LastingCpu = Milli(Lasting);
    Load.UsedCpu = Milli(Used);
    if (Load.Standby)
      return Load;
    Load.MinWorkers = lastingMachines();
    Load.ArrivingCpu = Milli(arrivingCores(Pool));
    double Waiting = 0;
    for (const Job *J : Open_[Pool]) {
      bool TooLate = Now_ - J->ArriveMs > MaxUsefulAgeMs;
      Waiting += TooLate ? 0 : J->waitingCores();
    }
    Load.WaitingCpu = Milli(Waiting);
    return Load;
  }

  void plan() {
    std::vector<PoolLoad> Loads;
    for (std::uint32_t P = 0; P <= Pools_; ++P) {
      Loads.push_back(loadOf(P));
      PoolLoad &Load = Loads.back();
      if (Load.Machines <= machinesNeeded(Load))
        SurplusSince_[P] = Now_;
      Load.SurplusFor = std::chrono::milliseconds(Now_ - SurplusSince_[P]);
    }
    for (const MachineMove &Move : planMoves(Loads))
      move(Move);
  }

  void move(const MachineMove &Move) {
    Machine &M = Machines_[std::stoul(Move.Machine)];
    // It has no runs; the sum of their cores may have left a remainder.
    M.Used = 0;
    M.Pool = poolOf(Move.To);
    M.UpAtMs = Now_ + MoveMs;
    M.ColdUntilMs = M.UpAtMs + ColdMs;
    listMembers();
    Out_.Moves += Now_ < PlayMs ? 1 : 0;
  }

  void account() {
    if (How_ == Plan::Bound)
      accountNeeded();
    else
      accountMachines();
    accountTasks();
    accountStranded();
  }

  void accountMachines() {
    for (const Machine &M : Machines_) {
      if (M.Pool >= Pools_)
        continue;
      double &Use = M.UpAtMs > Now_   ? Out_.Moving
                    : !M.Runs.empty() ? Out_.AtWork
                    : M.Lasting > 0   ? Out_.Held
                                      : Out_.Idle;
      Use += StepSeconds;
    }
  }

  /// Only the machines that the bound needs: those with lasting tasks in any
  /// case, which work as well.
  void accountNeeded() {
    double Used = usedCores();
    double Holding = lastingMachines() * Site_.Pools;
    double Lasting = LastingTasks * Site_.Pools * LastingCores;
    double Working = std::min(Used / MachineCores, Holding);
    double More = std::max((Used + Lasting) / MachineCores - Holding, 0.0);
    Out_.AtWork += (Working + More) * StepSeconds;
    Out_.Held += (Holding - Working) * StepSeconds;
  }

  double usedCores() const {
    double Used = 0;
    for (const Machine &M : Machines_)
      Used += M.Used;
    return Used;
  }

  void accountTasks() {
    Out_.UsedCores += usedCores() * StepSeconds;
    for (const std::vector<Job *> &Open : Open_)
      for (const Job *J : Open) {
        double Waiting = J->waitingCores() * StepSeconds;
        Out_.Waiting += Waiting;
        Out_.LeftOut += Now_ - J->ArriveMs > MaxUsefulAgeMs ? Waiting : 0;
      }
  }

  void accountStranded() {
    double Idle = 0;
    bool AnyWaits = false;
    for (std::uint32_t P = 0; P < Pools_; ++P) {
      if (std::any_of(Open_[P].begin(), Open_[P].end(),
                      [](const Job *J) { return !J->Waiting.empty(); }))
        AnyWaits = true;
      else
        Idle += static_cast<double>(
            std::count_if(Members_[P].begin(), Members_[P].end(),
                          [&](const Machine *M) { return M->isIdle(Now_); }));
    }
    Out_.Stranded += AnyWaits ? Idle * StepSeconds : 0;
  }

  void settle() {
    Out_.FailedByPool.assign(Pools_, 0);
    Out_.JobsByPool.assign(Pools_, 0);
    for (const Job &J : Jobs_) {
      if (J.ArriveMs >= PlayMs)
        continue;
      double Took = static_cast<double>(J.EndedMs - J.ArriveMs);
      bool InTime = J.EndedMs >= 0 && Took <= J.objectiveMs();
      bool Late =
          J.EndedMs >= 0 && !InTime && Took <= LateLimit * J.objectiveMs();
      double Work = J.work() / 1000;
      ++Out_.Jobs;
      ++Out_.JobsByPool[J.Pool];
      Out_.InTime += InTime ? 1 : 0;
      Out_.Late += Late ? 1 : 0;
      Out_.FailedByPool[J.Pool] += InTime || Late ? 0 : 1;
      Out_.Work += Work;
      Out_.WorthWork += InTime ? Work : Late ? Work * LateWorth : 0;
    }
  }

  const Site &Site_;
  Plan How_;
  std::uint32_t Pools_;
  std::vector<Job> Jobs_;
  std::size_t Next_ = 0;
  std::int64_t Now_ = 0;
  std::vector<Machine> Machines_;
  std::vector<std::vector<Job *>> Open_;
  std::vector<std::vector<Machine *>> Members_;
  std::vector<std::int64_t> SurplusSince_;
  std::vector<std::vector<std::pair<std::int64_t, double>>> ArrivedWork_;
  Outcome Out_;
};

json describe(const Site &S, const char *Name, std::uint64_t Seed,
              const Outcome &O) {
  auto Round = [](double Value, double Unit) {
    return std::round(Value / Unit) * Unit;
  };
  double Failed = 0;
  json ByPool = json::array();
  for (std::size_t P = 0; P < O.JobsByPool.size(); ++P) {
    Failed += O.FailedByPool[P];
    ByPool.push_back(Round(O.FailedByPool[P] / O.JobsByPool[P], 0.001));
  }
  constexpr double Seconds = PlayMs / 1000.0;
  double Price = O.machineSeconds() * MachinePriceCores / O.Work;
  double Moves = O.Moves * MovePriceCoreMs / 1000 / O.Work;
  return {{"site", S.Name},
          {"plan", Name},
          {"seed", Seed},
          {"in_time", Round(O.InTime / O.Jobs, 0.001)},
          {"late", Round(O.Late / O.Jobs, 0.001)},
          {"failed", Round(Failed / O.Jobs, 0.001)},
          {"failed_by_pool", ByPool},
          {"mean_machines", Round(O.machineSeconds() / Seconds, 0.1)},
          {"at_work", Round(O.AtWork / Seconds, 0.1)},
          {"held", Round(O.Held / Seconds, 0.1)},
          {"idle", Round(O.Idle / Seconds, 0.1)},
          {"moving", Round(O.Moving / Seconds, 0.1)},
          {"cores", Round(O.UsedCores / Seconds, 1)},
          {"stranded", Round(O.Stranded / Seconds, 0.1)},
          {"left_out", O.Waiting > 0 ? Round(O.LeftOut / O.Waiting, 0.001) : 0},
          {"moves_an_hour_and_machine",
           Round(O.Moves / S.Machines * 3600 / Seconds, 0.1)},
          {"price_machines", Round(Price, 0.001)},
          {"price_moves", Round(Moves, 0.001)},
          {"worth", Round(O.WorthWork / O.Work - Price - Moves, 0.001)}};
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App(
      "Simulates pools and the moves of their machines on a virtual clock");
  std::uint64_t First = 1;
  std::uint64_t Seeds = 5;
  App.add_option("--seed", First, "First seed of the load");
  App.add_option("--seeds", Seeds, "Number of seeds");
  CLI11_PARSE(App, Argc, Argv);
  constexpr std::pair<Plan, const char *> Plans[] = {
      {Plan::Present, "present"},
      {Plan::Even, "even, no moves"},
      {Plan::Bound, "bound"}};
  for (const Site &S : Sites)
    for (const auto &[How, Name] : Plans)
      for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed)
        std::cout << describe(S, Name, Seed, Play(S, How, Seed).play()).dump()
                  << std::endl;
  return 0;
}
