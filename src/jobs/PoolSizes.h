#ifndef COMFREYDECK_JOBS_POOLSIZES_H
#define COMFREYDECK_JOBS_POOLSIZES_H

#include "core/Types.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

/// How many machines each pool needs, and which machines move.
namespace comfreydeck::jobs {

/// What one pool has and what is asked of it.
struct PoolLoad {
  std::string Pool;
  /// Its machines are off and cost nothing.
  bool Standby = false;
  /// Machines in it or on their way to it.
  std::uint32_t Machines = 0;
  /// Processor and memory of a usual machine.
  core::Resources PerMachine;
  /// Reserved by lasting tasks.
  std::uint64_t LastingCpu = 0;
  std::uint64_t LastingMemory = 0;
  /// In use by other tasks.
  std::uint64_t UsedCpu = 0;
  std::uint64_t UsedMemory = 0;
  /// Asked for by tasks that could start now.
  std::uint64_t WaitingCpu = 0;
  std::uint64_t WaitingMemory = 0;
  /// Processor that the jobs taken in the last second would keep busy, if they
  /// went on coming at that rate.
  std::uint64_t ArrivingCpu = 0;
  /// Most workers that the tasks of one step must be spread over.
  std::uint32_t SpreadOver = 0;
  /// Machines that run nothing and can move.
  std::vector<std::string> Idle;
  /// How long the pool has had more than it needs.
  core::Duration SurplusFor{0};
};

/// One machine that goes to another pool.
struct MachineMove {
  std::string Machine;
  std::string From;
  std::string To;
};

/// Machines that the pool needs for what is asked of it now. Thread-safe.
std::uint32_t machinesNeeded(const PoolLoad &Load);

/// Fills pools that lack machines from the standby pool and from pools that
/// have too many; sends what has been too many for a while to the standby pool.
/// Thread-safe.
std::vector<MachineMove> planMoves(std::span<const PoolLoad> Loads);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_POOLSIZES_H
