#ifndef COMFREYDECK_CORE_FORECAST_H
#define COMFREYDECK_CORE_FORECAST_H

#include "core/Types.h"

#include <span>
#include <vector>

/// Smoothed demand of pools, and the moves of instances that follow from it.
namespace comfreydeck::core {

/// A pool's demand in slots, smoothed over much longer than a move takes, so
/// that bursts of a few seconds cause no moves.
struct DemandForecast {
  double Slots = 0;
  TimePoint Last;
  bool HasSample = false;
};

/// Time in which the weight of a sample halves.
constexpr Duration ForecastHalfLife = std::chrono::minutes(10);

/// Adds a sample: the slots that the pool has in use or waited for at \p Now.
void observe(DemandForecast &F, double Slots, TimePoint Now);

/// The size and demand of a pool, from which its moves are planned.
struct PoolNeed {
  PoolId Pool;
  /// Instances that serve or are about to serve.
  std::uint32_t Size = 0;
  std::uint32_t SlotsPerInstance = 8;
  double DemandSlots = 0;
  /// Instances that may be absent.
  std::uint32_t AbsentLimit = 1;
  /// Since when it has needed more instances, or could release some; the
  /// current time if neither.
  TimePoint ShortSince;
  TimePoint SurplusSince;
};

/// Instances that the pool needs for its demand, including those that may be
/// absent. Thread-safe.
std::uint32_t neededSize(const PoolNeed &Need);

/// How long a pool must be short of an instance, or have ReleaseMargin
/// instances too many, before one is moved.
constexpr Duration MoveDelay = std::chrono::minutes(5);
constexpr std::uint32_t ReleaseMargin = 2;

/// The move of one instance between pools.
struct PoolMove {
  PoolId From;
  PoolId To;
};

/// Plans at most one move into or out of each pool. Instances come from and go
/// to the pool \p Spare, which has \p SpareSize of them now. Thread-safe.
std::vector<PoolMove> planMoves(std::span<const PoolNeed> Needs, PoolId Spare,
                                std::uint32_t SpareSize, TimePoint Now);

/// Instances to keep in the spare pool: what all pools are short of with their
/// allowed number of instances absent, but at least the size of the largest
/// rack, to cover its loss. Thread-safe.
std::uint32_t spareSize(std::span<const PoolNeed> Needs,
                        std::uint32_t LargestRack);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_FORECAST_H
