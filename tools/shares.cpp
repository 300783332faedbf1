#include "core/PoolOwner.h"
#include "standins/NaiveScheduler.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <queue>

// Simulates a pool owner on a virtual clock and measures how far each team's
// served time is from its fair share, in comparison with a pool that is split
// among the entries and with the naive scheduler.

using namespace comfreydeck;
using nlohmann::json;
using std::chrono::duration;

namespace {

constexpr core::Duration Tick = std::chrono::milliseconds(10);
constexpr double TickSeconds = duration<double>(Tick).count();

/// A pool and the demand for it.
struct Scenario {
  std::string Name = "three-centres";
  std::uint32_t DataCentres = 3;
  std::uint32_t Workers = 10;
  std::uint32_t SlotsEach = 8;
  std::uint32_t Queues = 5;
  std::uint32_t Entries = 8;
  std::vector<std::uint32_t> Shares = {1, 1, 1, 1, 3, 3};
  /// Relative demand of each team.
  std::vector<double> DemandWeights = {1, 1, 1, 1, 8, 12};
  std::uint32_t MaxUpperLimit = 60;
  /// Mean demand as a fraction of the pool's capacity. A queue asks for
  /// BurstFactor times the mean in its turn and for the mean divided by
  /// QuietDivisor otherwise.
  double MeanLoad = 0.6;
  double BurstFactor = 5;
  double QuietDivisor = 20;
  std::uint32_t BurstSeconds = 8;
  double MeanRunSeconds = 1;
  double DeadlineSeconds = 10;
  double UrgentFraction = 0.02;
  std::uint32_t Periods = 10;

  std::uint32_t slots() const { return Workers * SlotsEach; }
  std::uint32_t periodSeconds() const { return BurstSeconds * Queues; }
};

/// Generates all requests of a run in order of arrival.
std::vector<core::Demand> makeDemands(const Scenario &S, std::uint64_t Seed) {
  core::Rng Random(Seed);
  std::exponential_distribution<double> Run(1 / S.MeanRunSeconds);
  std::discrete_distribution<std::uint32_t> Team(S.DemandWeights.begin(),
                                                 S.DemandWeights.end());
  std::bernoulli_distribution Urgent(S.UrgentFraction);
  double Mean = S.MeanLoad * S.slots() / S.MeanRunSeconds;
  std::vector<core::Demand> Demands;
  auto Ticks =
      static_cast<std::uint64_t>(S.Periods * S.periodSeconds() / TickSeconds);
  for (std::uint64_t T = 0; T < Ticks; ++T) {
    double At = static_cast<double>(T) * TickSeconds;
    bool IsBurst = std::fmod(At, S.periodSeconds()) < S.BurstSeconds;
    double Rate = Mean * (IsBurst ? S.BurstFactor : 1 / S.QuietDivisor);
    std::poisson_distribution<int> Arrivals(Rate * TickSeconds);
    for (int N = Arrivals(Random); N > 0; --N) {
      core::Demand D;
      D.Id = {{1}, Demands.size() + 1};
      D.Team.Value = Team(Random);
      D.Queue.Value = 0;
      D.Arrived = core::TimePoint(Tick * T);
      D.Run = std::chrono::duration_cast<core::Duration>(
          duration<double>(Run(Random)));
      D.Deadline = D.Arrived + std::chrono::duration_cast<core::Duration>(
                                   duration<double>(S.DeadlineSeconds));
      D.Urgent = Urgent(Random);
      Demands.push_back(D);
    }
  }
  return Demands;
}

std::uint32_t limitOf(const Scenario &S, std::size_t Team) {
  return std::min(S.MaxUpperLimit, 20 * S.Shares[Team]);
}

/// The scheduler under test.
struct Policy {
  std::function<void(const core::Demand &)> Enqueue;
  std::function<std::vector<core::DemandId>(core::TimePoint)> Decide;
  std::function<void(const core::Demand &, core::TimePoint)> Finish;
};

struct Outcome {
  /// Slot seconds by team.
  std::vector<double> Served;
  double WorstUrgentWait = 0;

  double work() const {
    double Sum = 0;
    for (double S : Served)
      Sum += S;
    return Sum;
  }
};

Outcome simulate(const Scenario &S, const std::vector<core::Demand> &Demands,
                 const Policy &P) {
  struct Completion {
    core::TimePoint At;
    std::size_t Index;
    bool operator>(const Completion &Other) const { return At > Other.At; }
  };
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      Completions;
  Outcome Out;
  Out.Served.resize(S.Shares.size());
  std::size_t Next = 0;
  core::TimePoint Now{};
  while (Next < Demands.size() || !Completions.empty()) {
    for (; Next < Demands.size() && Demands[Next].Arrived <= Now; ++Next)
      P.Enqueue(Demands[Next]);
    for (; !Completions.empty() && Completions.top().At <= Now;
         Completions.pop())
      P.Finish(Demands[Completions.top().Index], Now);
    for (core::DemandId Id : P.Decide(Now)) {
      const core::Demand &D = Demands[Id.Number - 1];
      Out.Served[D.Team.Value] += duration<double>(D.Run).count();
      Completions.push({Now + D.Run, Id.Number - 1});
      if (D.Urgent)
        Out.WorstUrgentWait = std::max(
            Out.WorstUrgentWait, duration<double>(Now - D.Arrived).count());
    }
    Now += Tick;
  }
  return Out;
}

/// Computes the slot seconds owed to each team: a fluid model serves the same
/// demand and divides the slots by share at every tick, within the limits.
std::vector<double> computeOwed(const Scenario &S,
                                const std::vector<core::Demand> &Demands) {
  struct WaitingDemand {
    core::TimePoint Until;
    double Remaining;
  };
  std::size_t Teams = S.Shares.size();
  std::vector<std::deque<WaitingDemand>> Waiting(Teams);
  std::vector<double> Owed(Teams);
  std::size_t Next = 0;
  bool AnyWaiting = true;
  for (core::TimePoint Now{}; Next < Demands.size() || AnyWaiting;
       Now += Tick) {
    for (; Next < Demands.size() && Demands[Next].Arrived <= Now; ++Next)
      Waiting[Demands[Next].Team.Value].push_back(
          {*Demands[Next].Deadline,
           duration<double>(Demands[Next].Run).count()});
    std::vector<double> Requested(Teams);
    for (std::size_t T = 0; T < Teams; ++T) {
      while (!Waiting[T].empty() && Waiting[T].front().Until <= Now)
        Waiting[T].pop_front();
      double Sum = 0;
      double MaxSeconds = limitOf(S, T) * TickSeconds;
      for (auto It = Waiting[T].begin();
           It != Waiting[T].end() && Sum < MaxSeconds; ++It)
        Sum += It->Remaining;
      Requested[T] = std::min(Sum, MaxSeconds);
    }
    double Free = S.slots() * TickSeconds;
    std::vector<double> Granted(Teams);
    for (bool Changed = true; Changed && Free > 1e-12;) {
      double Weight = 0;
      for (std::size_t T = 0; T < Teams; ++T)
        Weight += Granted[T] < Requested[T] ? S.Shares[T] : 0;
      Changed = Weight > 0;
      double Round = Free;
      for (std::size_t T = 0; T < Teams && Changed; ++T) {
        double Part =
            std::min(Round * S.Shares[T] / Weight, Requested[T] - Granted[T]);
        Part = std::max(Part, 0.0);
        Granted[T] += Part;
        Free -= Part;
      }
      Changed = Changed && Free > S.slots() * TickSeconds * 1e-9;
    }
    AnyWaiting = false;
    for (std::size_t T = 0; T < Teams; ++T) {
      Owed[T] += Granted[T];
      for (double Remaining = Granted[T];
           Remaining > 1e-12 && !Waiting[T].empty();) {
        double Part = std::min(Remaining, Waiting[T].front().Remaining);
        Waiting[T].front().Remaining -= Part;
        Remaining -= Part;
        if (Waiting[T].front().Remaining <= 1e-12)
          Waiting[T].pop_front();
      }
      AnyWaiting = AnyWaiting || !Waiting[T].empty();
    }
  }
  return Owed;
}

std::vector<core::PoolWorker> workersOf(const Scenario &S,
                                        std::uint32_t SlotsEach) {
  std::vector<core::PoolWorker> Workers;
  for (std::uint32_t N = 0; N < S.Workers; ++N) {
    core::PoolWorker W;
    W.Id.Value = N;
    W.Zone.Value = N % S.DataCentres;
    W.Rack.Value = N / 4;
    W.Slots = SlotsEach;
    W.Total = {64000, 131072, 0};
    Workers.push_back(W);
  }
  return Workers;
}

core::PoolOwner ownerOf(const Scenario &S, std::uint32_t SlotsEach,
                        std::uint32_t Parts, core::Duration CreditWindow) {
  core::PoolOwner Owner;
  Owner.Clock.CreditWindow = CreditWindow;
  core::setWorkers(Owner, workersOf(S, SlotsEach));
  for (std::uint32_t T = 0; T < S.Shares.size(); ++T)
    core::setTeam(Owner, core::TeamId{T}, S.Shares[T],
                  (limitOf(S, T) + Parts - 1) / Parts, {});
  return Owner;
}

/// Hashes demands to the owners: one owner per entry's slice of the pool, or a
/// single one for the whole pool.
Policy ownersPolicy(std::vector<core::PoolOwner> &Owners) {
  auto OwnerOf = [&Owners](core::DemandId Id) -> core::PoolOwner & {
    return Owners[(Id.Number * 0x9E3779B97F4A7C15ULL >> 32) % Owners.size()];
  };
  Policy P;
  P.Enqueue = [OwnerOf](const core::Demand &D) {
    core::enqueue(OwnerOf(D.Id), D, D.Arrived);
  };
  P.Decide = [&Owners](core::TimePoint Now) {
    std::vector<core::DemandId> Started;
    for (core::PoolOwner &Owner : Owners)
      for (const core::Grant &G :
           core::decide(Owner, Now, Now + std::chrono::seconds(2)).Grants)
        Started.push_back(G.Id);
    return Started;
  };
  P.Finish = [OwnerOf](const core::Demand &D, core::TimePoint Now) {
    core::finish(OwnerOf(D.Id), D.Id, D.Run, Now);
  };
  return P;
}

Policy naivePolicy(const Scenario &S, standins::NaiveScheduler &Naive) {
  Naive.Slots = S.slots();
  for (std::uint32_t T = 0; T < S.Shares.size(); ++T)
    Naive.Teams[core::TeamId{T}] = {S.Shares[T], limitOf(S, T), 0, 0};
  Policy P;
  P.Enqueue = [&Naive](const core::Demand &D) { Naive.Waiting.push_back(D); };
  P.Decide = [&Naive](core::TimePoint Now) {
    std::vector<core::DemandId> Started;
    for (const core::Demand &D : standins::naiveDecide(Naive, Now))
      Started.push_back(D.Id);
    return Started;
  };
  P.Finish = [&Naive](const core::Demand &D, core::TimePoint) {
    standins::naiveFinish(Naive, D.Team);
  };
  return P;
}

json report(const char *Name, const Outcome &Out,
            const std::vector<double> &Owed, double NaiveWork) {
  json Teams = json::array();
  double Worst = 0;
  for (std::size_t T = 0; T < Owed.size(); ++T) {
    double Deviation = std::abs(Out.Served[T] - Owed[T]) / Owed[T];
    Worst = std::max(Worst, Deviation);
    Teams.push_back(std::round(Deviation * 1e4) / 1e4);
  }
  return {{"design", Name},
          {"off_by_team", Teams},
          {"worst", std::round(Worst * 1e4) / 1e4},
          {"work_to_naive", std::round(Out.work() / NaiveWork * 1e4) / 1e4},
          {"worst_urgent_wait_s", Out.WorstUrgentWait}};
}

json measure(const Scenario &S, std::uint64_t Seed) {
  std::vector<core::Demand> Demands = makeDemands(S, Seed);
  std::vector<double> Owed = computeOwed(S, Demands);
  standins::NaiveScheduler Naive;
  Outcome ByNaive = simulate(S, Demands, naivePolicy(S, Naive));
  json Rows = json::array();
  Rows.push_back(report("naive", ByNaive, Owed, ByNaive.work()));
  auto Add = [&](const char *Name, std::uint32_t Parts, std::uint32_t Each,
                 core::Duration CreditWindow) {
    std::vector<core::PoolOwner> Owners;
    for (std::uint32_t N = 0; N < Parts; ++N)
      Owners.push_back(ownerOf(S, Each, Parts, CreditWindow));
    Outcome Out = simulate(S, Demands, ownersPolicy(Owners));
    Rows.push_back(report(Name, Out, Owed, ByNaive.work()));
  };
  constexpr std::chrono::seconds Minute(60);
  Add("owner", 1, S.SlotsEach, Minute);
  Add("owner, no memory", 1, S.SlotsEach, core::Duration(0));
  Add("owner, memory 600 s", 1, S.SlotsEach, 10 * Minute);
  Add("slices by entry", S.Entries, S.SlotsEach / S.Entries, Minute);
  return {{"scenario", S.Name},
          {"seed", Seed},
          {"requests", Demands.size()},
          {"designs", Rows}};
}

void print(const json &Result) {
  std::cout << Result["scenario"].get<std::string>() << ", seed "
            << Result["seed"] << ", " << Result["requests"] << " requests\n";
  for (const json &Row : Result["designs"])
    std::cout << "  " << std::left << std::setw(22)
              << Row["design"].get<std::string>() << "worst off "
              << std::setw(8) << Row["worst"].dump() << "work to naive "
              << std::setw(8) << Row["work_to_naive"].dump() << "urgent "
              << std::setw(8) << Row["worst_urgent_wait_s"].dump()
              << Row["off_by_team"].dump() << "\n";
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Measures fairness of scheduling on a virtual clock");
  std::uint64_t Seed = 1;
  bool AsJson = false;
  App.add_option("--seed", Seed, "Seed of the demand");
  App.add_flag("--json", AsJson, "JSON instead of a table");
  CLI11_PARSE(App, Argc, Argv);
  Scenario FourDataCentres;
  FourDataCentres.Name = "four-centres";
  FourDataCentres.DataCentres = 4;
  FourDataCentres.DemandWeights = {1, 1, 1, 1, 16, 16};
  json All = json::array();
  for (const Scenario &S : {Scenario{}, FourDataCentres})
    All.push_back(measure(S, Seed));
  if (AsJson)
    std::cout << All.dump(2) << "\n";
  else
    for (const json &Result : All)
      print(Result);
  return 0;
}
