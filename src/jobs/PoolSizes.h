#ifndef COMFREYDECK_JOBS_POOLSIZES_H
#define COMFREYDECK_JOBS_POOLSIZES_H

#include "core/Types.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

/// Computes how many machines each pool needs and which machines move.
namespace comfreydeck::jobs {

/// One pool's machines and demand. CPU is in thousandths of a core, memory in
/// megabytes.
struct PoolLoad {
  std::string Pool;
  /// Its machines are powered off and incur no cost.
  bool Standby = false;
  /// Machines in it or on their way to it that may get work.
  std::uint32_t Machines = 0;
  /// Workers in it that are neither closed nor draining.
  std::uint32_t OpenWorkers = 0;
  /// Machines that it needs beside these workers for lasting tasks that fit on
  /// none of them.
  std::uint32_t MissingMachines = 0;
  /// CPU, memory and accelerators of a typical machine.
  core::Resources PerMachine;
  /// Reserved by lasting tasks, and needed by those that are ready but have no
  /// run.
  std::uint64_t LastingCpu = 0;
  std::uint64_t LastingMemory = 0;
  /// Reserved by other tasks.
  std::uint64_t UsedCpu = 0;
  std::uint64_t UsedMemory = 0;
  /// Needed by other tasks that are ready but have no run.
  std::uint64_t WaitingCpu = 0;
  std::uint64_t WaitingMemory = 0;
  /// The part of these that lasting tasks need.
  std::uint64_t WaitingLastingCpu = 0;
  std::uint64_t WaitingLastingMemory = 0;
  /// CPU kept busy if jobs continue to arrive at the current rate.
  std::uint64_t ArrivingCpu = 0;
  /// Minimum number of workers, from the steps that limit tasks per worker.
  std::uint32_t MinWorkers = 0;
  /// Machines without runs that can move; their workers in an owner's report.
  std::vector<std::string> Idle;
  /// Workers that get no new runs, as they are closed or draining.
  std::vector<std::string> Closed;
  /// How long the pool has had more machines than it needs.
  core::Duration SurplusFor{0};
};

/// One machine that is in a pool or on its way to it.
struct PoolMachine {
  std::string Id;
  std::string Worker;
  /// It has arrived and can be ordered to move.
  bool Movable = false;
  /// A maintenance wave is draining it or has taken it down.
  bool InMaintenance = false;
};

/// Adds the machine to the pool's, if it may get work there. \p Reported is
/// what the pool's owner reported. Thread-safe.
void countMachine(const PoolMachine &Machine, const PoolLoad &Reported,
                  PoolLoad &Pool);

/// Moves one machine to another pool.
struct MachineMove {
  std::string Machine;
  std::string From;
  std::string To;
};

/// Number of machines the pool needs for its current demand; at least one
/// unless it is a standby pool. Thread-safe.
std::uint32_t machinesNeeded(const PoolLoad &Load);

/// Fills pools that lack machines from the standby pool and from pools with a
/// surplus, first those whose lasting tasks have no place: these also get idle
/// machines of pools that have more than an even share. Moves machines of a
/// lasting surplus to the standby pool. Thread-safe.
std::vector<MachineMove> planMoves(std::span<const PoolLoad> Loads);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_POOLSIZES_H
