#include "jobs/PoolSizes.h"

#include <algorithm>
#include <cmath>

namespace comfreydeck::jobs {

namespace {

/// Allowance for fragmentation: tasks rarely fill a machine exactly.
constexpr double Headroom = 1.15;
/// Share of the waiting tasks to provide capacity for; the rest runs
/// afterwards, still within its objective.
constexpr double WaitingShare = 0.7;
/// Spare machines a pool keeps for the next task.
constexpr std::uint32_t SpareMachines = 1;
/// Minimum duration of a surplus before machines move to the standby pool.
constexpr std::chrono::milliseconds SurplusTime(2500);
/// Share of the mean pool size that a pool keeps in reserve for bursts, since
/// bringing up a machine takes longer than most jobs can wait.
constexpr double ReserveShare = 0.7;
/// Maximum moves per planning round.
constexpr std::size_t MaxMoves = 20;

/// Demand of tasks that are not lasting: the present ones or those expected
/// from the arrival rate, whichever is higher.
double transientDemand(std::uint64_t Used, std::uint64_t Waiting,
                       std::uint64_t Arriving) {
  double Present =
      static_cast<double>(Used) + static_cast<double>(Waiting) * WaitingShare;
  return std::max(Present, static_cast<double>(Arriving)) * Headroom;
}

double machinesFor(double Need, std::uint32_t PerMachine) {
  return PerMachine == 0 ? 0 : std::ceil(Need / PerMachine);
}

std::uint32_t machinesForLasting(const PoolLoad &Load) {
  double Cpu =
      machinesFor(static_cast<double>(Load.LastingCpu + Load.WaitingLastingCpu),
                  Load.PerMachine.MilliCpus);
  double Memory = machinesFor(
      static_cast<double>(Load.LastingMemory + Load.WaitingLastingMemory),
      Load.PerMachine.MemoryMb);
  return std::max({static_cast<std::uint32_t>(std::max(Cpu, Memory)),
                   Load.MinWorkers, std::uint32_t{1}});
}

/// One pool's machine count while moves are planned.
struct Balance {
  const PoolLoad *Load = nullptr;
  std::uint32_t Needed = 0;
  std::uint32_t Has = 0;
  std::uint32_t Reserve = 0;
  std::size_t NextIdle = 0;

  bool hasIdle() const { return NextIdle < Load->Idle.size(); }

  bool canGive() const {
    return hasIdle() &&
           (Load->Standby || Has > std::max(Needed + SpareMachines, Reserve));
  }

  /// Whether it has more than an even share of the machines and than its own
  /// lasting tasks need.
  bool canGiveForLasting(std::uint32_t Share) const {
    return canGive() || (hasIdle() && Load->MissingMachines == 0 &&
                         Has > std::max(Share, machinesForLasting(*Load)));
  }

  std::uint32_t lackForLasting() const {
    std::uint32_t Wanted = Load->OpenWorkers + Load->MissingMachines;
    return Load->MissingMachines > 0 && Wanted > Has ? Wanted - Has : 0;
  }
};

std::uint32_t evenShareOf(std::span<const PoolLoad> Loads) {
  std::uint32_t Machines = 0;
  std::uint32_t Pools = 0;
  for (const PoolLoad &Load : Loads) {
    Machines += Load.Machines;
    Pools += Load.Standby ? 0 : 1;
  }
  return Machines / std::max<std::uint32_t>(Pools, 1);
}

std::uint32_t reserveOf(std::span<const PoolLoad> Loads) {
  double Machines = 0;
  for (const PoolLoad &Load : Loads)
    Machines += Load.Machines;
  double Mean =
      Machines / static_cast<double>(std::max<std::size_t>(Loads.size(), 1));
  return static_cast<std::uint32_t>(std::ceil(Mean * ReserveShare));
}

bool contains(const std::vector<std::string> &Ids, const std::string &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

MachineMove moveOne(Balance &From, Balance &To) {
  MachineMove Move{From.Load->Idle[From.NextIdle++], From.Load->Pool,
                   To.Load->Pool};
  --From.Has;
  ++To.Has;
  return Move;
}

/// Gives machines to pools whose lasting tasks have no place, those that lack
/// most first.
void moveForLasting(std::vector<Balance> &Pools, std::uint32_t Share,
                    std::vector<MachineMove> &Moves) {
  std::vector<Balance *> Takers;
  for (Balance &To : Pools)
    if (!To.Load->Standby && To.lackForLasting() > 0)
      Takers.push_back(&To);
  std::stable_sort(Takers.begin(), Takers.end(),
                   [](const Balance *A, const Balance *B) {
                     return A->lackForLasting() > B->lackForLasting();
                   });
  for (Balance *To : Takers)
    for (Balance &From : Pools)
      while (&From != To && To->lackForLasting() > 0 &&
             From.canGiveForLasting(Share) && Moves.size() < MaxMoves)
        Moves.push_back(moveOne(From, *To));
}

} // namespace

void countMachine(const PoolMachine &Machine, const PoolLoad &Reported,
                  PoolLoad &Pool) {
  if (Machine.InMaintenance || contains(Reported.Closed, Machine.Worker))
    return;
  ++Pool.Machines;
  if (Machine.Movable &&
      (Pool.Standby || contains(Reported.Idle, Machine.Worker)))
    Pool.Idle.push_back(Machine.Id);
}

std::uint32_t machinesNeeded(const PoolLoad &Load) {
  if (Load.Standby)
    return 0;
  // A lasting task can't run later instead, so it counts in full.
  auto Short = [](std::uint64_t All, std::uint64_t Lasting) {
    return All - std::min(All, Lasting);
  };
  double Cpu = machinesFor(
      static_cast<double>(Load.LastingCpu + Load.WaitingLastingCpu) +
          transientDemand(Load.UsedCpu,
                          Short(Load.WaitingCpu, Load.WaitingLastingCpu),
                          Load.ArrivingCpu),
      Load.PerMachine.MilliCpus);
  double Memory = machinesFor(
      static_cast<double>(Load.LastingMemory + Load.WaitingLastingMemory) +
          transientDemand(Load.UsedMemory,
                          Short(Load.WaitingMemory, Load.WaitingLastingMemory),
                          0),
      Load.PerMachine.MemoryMb);
  auto Needed = static_cast<std::uint32_t>(std::max(Cpu, Memory));
  if (Load.MissingMachines > 0)
    Needed = std::max(Needed, Load.OpenWorkers + Load.MissingMachines);
  return std::max({Needed, Load.MinWorkers, std::uint32_t{1}});
}

std::vector<MachineMove> planMoves(std::span<const PoolLoad> Loads) {
  std::vector<Balance> Pools;
  for (const PoolLoad &Load : Loads)
    Pools.push_back(
        {&Load, machinesNeeded(Load), Load.Machines, reserveOf(Loads), 0});
  std::vector<MachineMove> Moves;
  // Take from the standby pool first, since its machines are unused.
  std::stable_sort(Pools.begin(), Pools.end(),
                   [](const Balance &A, const Balance &B) {
                     return A.Load->Standby && !B.Load->Standby;
                   });
  moveForLasting(Pools, evenShareOf(Loads), Moves);
  for (Balance &To : Pools) {
    for (Balance &From : Pools) {
      while (!To.Load->Standby && To.Has < To.Needed && &From != &To &&
             From.canGive() && Moves.size() < MaxMoves)
        Moves.push_back(moveOne(From, To));
    }
  }
  if (Pools.empty() || !Pools.front().Load->Standby)
    return Moves;
  Balance &Standby = Pools.front();
  for (Balance &From : Pools)
    while (!From.Load->Standby && From.Load->SurplusFor >= SurplusTime &&
           From.canGive() && Moves.size() < MaxMoves)
      Moves.push_back(moveOne(From, Standby));
  return Moves;
}

} // namespace comfreydeck::jobs
