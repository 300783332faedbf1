#include "core/Forecast.h"
#include "core/LineFit.h"
#include "core/Maintenance.h"
#include "core/Warmup.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <iostream>

// Simulates the maintenance policy on a virtual clock: roll-out of waves, moves
// between pools and spare capacity, work done while a data centre is out and
// after it returns, and processor time of planning.

using namespace comfreydeck;
using namespace comfreydeck::core;
using nlohmann::json;

namespace {

constexpr std::uint32_t SlotsEach = 8;
constexpr std::uint32_t RackSize = 4;
constexpr std::int64_t TickMs = 1000;

struct Site {
  const char *Name;
  std::uint32_t DataCentres;
  std::uint32_t Pools;
  std::uint32_t PoolSize;
  std::uint32_t AbsentLimit;
  std::uint32_t AbsentPerDomain;
};

/// One pool of a site, with its racks spread over the data centres.
PoolSnapshot poolOf(const Site &S, std::uint32_t Number) {
  PoolSnapshot Snapshot;
  Snapshot.Limits.Id.Value = Number;
  Snapshot.Limits.Name = "pool" + std::to_string(Number);
  Snapshot.Limits.AbsentLimit = S.AbsentLimit;
  Snapshot.Limits.AbsentLimitPerDomain = S.AbsentPerDomain;
  Snapshot.NowUnixMs = TickMs;
  for (std::uint32_t N = 0; N < S.PoolSize; ++N) {
    PoolInstance I;
    I.Row.Id.Value = Number * S.PoolSize + N;
    I.Row.Name = "w" + std::to_string(I.Row.Id.Value);
    I.Row.Pool = Snapshot.Limits.Id;
    std::uint32_t Zone = N % S.DataCentres;
    std::uint32_t Rack = N / S.DataCentres / RackSize;
    I.Row.DataCentre = "dc" + std::to_string(Zone);
    I.Row.Rack = I.Row.DataCentre + "-" + std::to_string(Rack);
    I.Row.MaintainedUnixMs = Snapshot.NowUnixMs;
    I.Seen = {true, 0, "b0"};
    Snapshot.Instances.push_back(std::move(I));
  }
  return Snapshot;
}

struct RollOut {
  std::int64_t DurationMs = 0;
  /// Lower bound that the budgets allow for these instances.
  double MinMs = 0;
  /// Time to maintain all instances one after another.
  double SerialMs = 0;
};

/// Durations of an instance's last tasks and of its reboot.
struct MaintenanceTimes {
  std::int64_t TasksEndMs = 0;
  std::int64_t BackMs = 0;
};

void applyPlan(PoolSnapshot &S, const PoolPlan &Plan) {
  S.Ledger = Plan.Ledger;
  for (const InstanceChange &C : Plan.Changes)
    for (PoolInstance &I : S.Instances)
      if (I.Row.Id == C.After.Id)
        I.Row = C.After;
}

RollOut rollOut(const Site &Where, std::uint32_t Number, Rng &Random) {
  PoolSnapshot S = poolOf(Where, Number);
  Wave W;
  W.Id.Value = 1;
  W.StartedUnixMs = S.NowUnixMs;
  S.Waves.push_back(W);
  std::exponential_distribution<double> Tasks(1.0 / 20000);
  std::uniform_int_distribution<std::int64_t> Reboot(120000, 240000);
  std::map<WorkerId, MaintenanceTimes> TimesByWorker;
  std::map<std::string, double> DomainMs;
  RollOut R;
  for (const PoolInstance &I : S.Instances) {
    MaintenanceTimes &T = TimesByWorker[I.Row.Id];
    T.TasksEndMs = static_cast<std::int64_t>(Tasks(Random));
    T.BackMs = Reboot(Random);
    double All =
        static_cast<double>(T.TasksEndMs + T.BackMs + S.Times.WarmUpMs);
    R.SerialMs += All;
    DomainMs[I.Row.DataCentre] += All;
    DomainMs[I.Row.Rack] += All;
  }
  R.MinMs = R.SerialMs / Where.AbsentLimit;
  for (const auto &[Name, Sum] : DomainMs)
    R.MinMs = std::max(R.MinMs, Sum / Where.AbsentPerDomain);
  while (true) {
    for (PoolInstance &I : S.Instances) {
      std::int64_t InState = S.NowUnixMs - I.Row.SinceUnixMs;
      const MaintenanceTimes &T = TimesByWorker[I.Row.Id];
      bool IsDraining = I.Row.State == InstanceState::Draining;
      I.Seen.Running = IsDraining && InState < T.TasksEndMs ? 1 : 0;
      if (I.Row.State == InstanceState::Rebooting && InState >= T.BackMs)
        I.Seen.BootId = "b1";
    }
    PoolPlan Plan = planPool(S);
    if (Plan.Waves.front().Hold == WaveHold::Complete)
      break;
    applyPlan(S, Plan);
    S.NowUnixMs += TickMs;
  }
  R.DurationMs = S.NowUnixMs - W.StartedUnixMs;
  return R;
}

json measureWave(const Site &S, std::uint64_t Seed) {
  Rng Random(Seed);
  double Longest = 0;
  double LowerBound = 0;
  double Serial = 0;
  for (std::uint32_t P = 0; P < S.Pools; ++P) {
    RollOut R = rollOut(S, P, Random);
    Longest = std::max(Longest, static_cast<double>(R.DurationMs));
    LowerBound = std::max(LowerBound, R.MinMs);
    Serial += R.SerialMs;
  }
  return {{"site", S.Name},
          {"instances", S.Pools * S.PoolSize},
          {"minutes", Longest / 60000},
          {"against_least", Longest / LowerBound},
          {"against_one_at_a_time", Longest / Serial}};
}

/// Simulates moves between pools. Each queue in turn bursts to five times its
/// mean demand and asks for a twentieth of it otherwise; the mean drifts over
/// hours.
json measureMoves(const Site &S, std::uint64_t Seed, bool Smoothed) {
  constexpr std::uint32_t BurstSeconds = 6;
  constexpr std::uint32_t Hours = 48;
  constexpr double MeanShare = 0.5;
  Rng Random(Seed);
  std::vector<DemandForecast> Forecasts(S.Pools);
  std::vector<PoolNeed> Needs(S.Pools);
  double Mean = MeanShare * S.PoolSize * SlotsEach;
  std::vector<double> Means(S.Pools, Mean);
  std::uint32_t Spare = S.PoolSize;
  std::uint64_t Moves = 0;
  double Idle = 0;
  double ShortTime = 0;
  double FixedShortTime = 0;
  const double FixedSize = std::floor(1.2 * Mean / SlotsEach);
  std::uint64_t Samples = 0;
  std::uniform_real_distribution<double> Drift(0.95, 1.05);
  for (std::uint32_t P = 0; P < S.Pools; ++P) {
    Needs[P].Pool.Value = P;
    Needs[P].Size = S.PoolSize - 2;
    Needs[P].AbsentLimit = S.AbsentLimit;
  }
  TimePoint Now{};
  for (std::uint32_t T = 0; T < Hours * 3600;
       ++T, Now += std::chrono::seconds(1)) {
    for (std::uint32_t P = 0; P < S.Pools; ++P) {
      if (T % 600 == 0)
        Means[P] = std::clamp(Means[P] * Drift(Random), Mean * 0.6, Mean * 1.4);
      bool Burst = T / BurstSeconds % S.Pools == P;
      double Slots = Means[P] * (Burst ? 5.0 : 0.05);
      observe(Forecasts[P], Slots, Now);
      Needs[P].DemandSlots = Smoothed ? Forecasts[P].Slots : Slots;
      std::uint32_t Wanted = neededSize(Needs[P]);
      if (Needs[P].Size >= Wanted)
        Needs[P].ShortSince = Now;
      if (Needs[P].Size < Wanted + ReleaseMargin)
        Needs[P].SurplusSince = Now;
    }
    if (T % 60 != 0)
      continue;
    // Without smoothing, every momentary shortage or surplus moves an instance.
    std::vector<PoolNeed> AdjustedNeeds = Needs;
    if (!Smoothed)
      for (PoolNeed &Need : AdjustedNeeds)
        Need.ShortSince = Need.SurplusSince = Now - MoveDelay;
    for (const PoolMove &M :
         planMoves(AdjustedNeeds, PoolId{S.Pools}, Spare, Now)) {
      bool IsOut = M.To.Value == S.Pools;
      Needs[IsOut ? M.From.Value : M.To.Value].Size += IsOut ? -1 : 1;
      Spare += IsOut ? 1 : -1;
      ++Moves;
    }
    double Total = 0;
    for (std::uint32_t P = 0; P < S.Pools; ++P) {
      double Used = Forecasts[P].Slots / SlotsEach;
      Total += Used;
      // A pool is short if it is too small for the smoothed demand plus the
      // allowed absences.
      double Wanted = std::ceil(Used) + S.AbsentLimit;
      ShortTime += Needs[P].Size < Wanted ? 1.0 / S.Pools : 0;
      FixedShortTime += FixedSize < Wanted ? 1.0 / S.Pools : 0;
    }
    // Idle instances: those held for absences and the spare pool, as the policy
    // sizes it.
    double IdleInstances = spareSize(Needs, RackSize);
    for (std::uint32_t P = 0; P < S.Pools; ++P)
      IdleInstances += Needs[P].Size - Forecasts[P].Slots / SlotsEach;
    Idle += IdleInstances / Total;
    ++Samples;
  }
  return {{"site", S.Name},
          {"smoothed", Smoothed},
          {"moves_an_hour", static_cast<double>(Moves) / Hours},
          {"idle_against_need", Idle / static_cast<double>(Samples)},
          {"time_short", ShortTime / static_cast<double>(Samples)},
          {"time_short_with_fixed_fifth",
           FixedShortTime / static_cast<double>(Samples)}};
}

/// A way in which a data centre goes out of service.
struct Outage {
  const char *Name;
  bool IsSudden;
  /// Time for which pools whose owner is there grant no slots.
  double StallSeconds;
};

json measureDataCentre(const Site &S, const Outage &Scenario,
                       std::uint64_t Seed) {
  constexpr double OutAt = 120;
  constexpr double InAt = 420;
  constexpr double EndAt = 600;
  constexpr double Tick = 0.1;
  constexpr std::int64_t WarmUpMs = DrainTimes().WarmUpMs;
  Rng Random(Seed);
  std::exponential_distribution<double> Length(1.0 / 5);
  struct Slot {
    double Until = -1;
    double Started = 0;
  };
  std::uint32_t All = S.Pools * S.PoolSize * SlotsEach;
  std::vector<Slot> Slots(All);
  double Done = 0;
  double MaxWork = 0;
  std::uint64_t Interrupted = 0;
  for (double T = 0; T < EndAt; T += Tick) {
    bool IsOut = T >= OutAt && T < InAt;
    auto Warm = static_cast<double>(warmSlots(
        SlotsEach, static_cast<std::int64_t>((T - InAt) * 1000), WarmUpMs));
    for (std::uint32_t N = 0; N < All; ++N) {
      Slot &Here = Slots[N];
      std::uint32_t Worker = N / SlotsEach;
      bool IsAffected = Worker % S.DataCentres == 0;
      bool IsStalled = Worker / S.PoolSize % S.DataCentres == 0 && T >= OutAt &&
                       T < OutAt + Scenario.StallSeconds;
      bool IsDown = IsAffected && IsOut && Scenario.IsSudden;
      MaxWork += IsAffected && IsOut ? 0 : Tick;
      bool IsBusy = Here.Until >= 0;
      if (IsBusy && IsDown) {
        ++Interrupted;
        Here.Until = -1;
        continue;
      }
      if (IsBusy && Here.Until <= T) {
        // Work that ends in a data centre that is out doesn't count, as the
        // maximum excludes its capacity.
        Done += IsAffected && IsOut ? 0 : Here.Until - Here.Started;
        Here.Until = -1;
      }
      bool IsWarmingUp = IsAffected && T >= InAt && N % SlotsEach >= Warm;
      bool IsClosed = (IsAffected && IsOut) || IsWarmingUp || IsStalled;
      if (Here.Until < 0 && !IsClosed)
        Here = {T + Length(Random), T};
    }
  }
  for (const Slot &Here : Slots)
    Done += Here.Until >= 0 ? EndAt - Here.Started : 0;
  return {{"site", S.Name},
          {"leaving", Scenario.Name},
          {"work_against_most", Done / MaxWork},
          {"cut", Interrupted}};
}

double threadSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * 1e-9;
}

/// Measures the processor time of a planning step for pools of 150 instances
/// in a running wave, at several numbers of pools.
json measureSlope() {
  std::vector<Point> Points;
  json Sizes = json::array();
  for (std::uint32_t Pools : {4U, 12U, 36U, 108U, 187U}) {
    Site S{"slope", 3, Pools, 150, 8, 4};
    std::vector<PoolSnapshot> Snapshots;
    for (std::uint32_t P = 0; P < Pools; ++P) {
      Snapshots.push_back(poolOf(S, P));
      Wave W;
      W.Id.Value = 1;
      Snapshots.back().Waves.push_back(W);
    }
    constexpr int Rounds = 20;
    std::size_t Changes = 0;
    double Start = threadSeconds();
    for (int N = 0; N < Rounds; ++N)
      for (const PoolSnapshot &Snapshot : Snapshots)
        Changes += planPool(Snapshot).Changes.size();
    double Ms = (threadSeconds() - Start) * 1000 / Rounds;
    Points.push_back({static_cast<double>(Pools) * 150, Ms});
    Sizes.push_back({{"instances", Pools * 150},
                     {"step_ms", Ms},
                     {"changes", Changes / Rounds}});
  }
  return Sizes;
}

void print(const char *Title, const json &Rows) {
  std::cout << Title << "\n";
  for (const json &Row : Rows)
    std::cout << "  " << Row.dump() << "\n";
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Simulates the maintenance policy on a virtual clock");
  std::uint64_t Seed = 1;
  bool AsJson = false;
  App.add_option("--seed", Seed, "Seed of the random choices");
  App.add_flag("--json", AsJson, "One JSON object instead of lines");
  CLI11_PARSE(App, Argc, Argv);
  const Site Sites[] = {{"three data centres", 3, 5, 10, 2, 1},
                        {"four data centres", 4, 5, 10, 2, 1},
                        {"target, 20 of its 187 pools", 3, 20, 150, 8, 4}};
  const Outage Outages[] = {{"planned, ownership handed over", false, 0.05},
                            {"planned, no hand-over", false, 4},
                            {"sudden loss", true, 4}};
  json Result;
  for (const Site &S : Sites)
    Result["waves"].push_back(measureWave(S, Seed));
  for (const Site &S : std::span(Sites).first(2)) {
    for (bool Smoothed : {true, false})
      Result["moves"].push_back(measureMoves(S, Seed, Smoothed));
    for (const Outage &Scenario : Outages)
      Result["data_centres"].push_back(measureDataCentre(S, Scenario, Seed));
  }
  Result["slope"] = measureSlope();
  if (AsJson) {
    std::cout << Result.dump(2) << "\n";
    return 0;
  }
  for (const auto &[Name, Rows] : Result.items())
    print(Name.c_str(), Rows);
  return 0;
}
