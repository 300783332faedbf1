#ifndef COMFREYDECK_CORE_FORECAST_H
#define COMFREYDECK_CORE_FORECAST_H

#include "core/Types.h"

#include <span>
#include <vector>

/// Smoothed demand of pools, and the moves of instances that follow it.
namespace comfreydeck::core {

/// A pool's demand in slots, smoothed over much longer than a move takes, so
/// that bursts of seconds move nothing.
struct DemandForecast {
  double Slots = 0;
  TimePoint Last;
  bool HasSample = false;
};

/// Half of the weight of a sample is gone after this.
constexpr Duration ForecastHalfLife = std::chrono::minutes(10);

/// Takes in the slots that the pool has in use or waited for at \p Now.
void observe(DemandForecast &F, double Slots, TimePoint Now);

/// What decides on a pool's moves.
struct PoolNeed {
  PoolId Pool;
  /// Instances that serve or are about to.
  std::uint32_t Size = 0;
  std::uint32_t SlotsPerInstance = 8;
  double DemandSlots = 0;
  /// Instances that may be absent.
  std::uint32_t AbsentLimit = 1;
  /// Since when it has needed more, or could spare some; Now where neither.
  TimePoint ShortSince;
  TimePoint LongSince;
};

/// Instances that the pool needs for its demand, the allowed absence included.
/// Thread-safe.
std::uint32_t neededSize(const PoolNeed &Need);

/// An instance has to be missing, or two to be over, for as long as this.
constexpr Duration MoveHold = std::chrono::minutes(5);
constexpr std::uint32_t ReleaseMargin = 2;

struct PoolMove {
  PoolId From;
  PoolId To;
};

/// At most one move into or out of each pool. \p Spare gives and takes;
/// \p SpareSize instances are there now. Thread-safe.
std::vector<PoolMove> planMoves(std::span<const PoolNeed> Needs, PoolId Spare,
                                std::uint32_t SpareSize, TimePoint Now);

/// Instances to keep in the spare pool: enough for every pool that is at its
/// allowed absence and has less than its demand needs then, and for the loss of
/// the largest rack. Thread-safe.
std::uint32_t spareSize(std::span<const PoolNeed> Needs,
                        std::uint32_t LargestRack);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_FORECAST_H
