#include "core/Forecast.h"

#include <algorithm>
#include <cmath>

namespace comfreydeck::core {

namespace {

std::uint32_t instancesFor(const PoolNeed &Need) {
  double Exact = Need.DemandSlots / std::max(1U, Need.SlotsPerInstance);
  return std::max(1U, static_cast<std::uint32_t>(std::ceil(Exact)));
}

} // namespace

void observe(DemandForecast &F, double Slots, TimePoint Now) {
  if (!F.HasSample) {
    F = {Slots, Now, true};
    return;
  }
  double HalfLives = static_cast<double>((Now - F.Last).count()) /
                     static_cast<double>(ForecastHalfLife.count());
  double Kept = std::exp2(-std::max(0.0, HalfLives));
  F.Slots = F.Slots * Kept + Slots * (1 - Kept);
  F.Last = Now;
}

std::uint32_t neededSize(const PoolNeed &Need) {
  return instancesFor(Need) + Need.AbsentLimit;
}

std::vector<PoolMove> planMoves(std::span<const PoolNeed> Needs, PoolId Spare,
                                std::uint32_t SpareSize, TimePoint Now) {
  std::vector<PoolMove> Moves;
  for (const PoolNeed &Need : Needs) {
    std::uint32_t Wanted = neededSize(Need);
    bool Short = Need.Size < Wanted && Now - Need.ShortSince >= MoveDelay;
    bool Surplus = Need.Size >= Wanted + ReleaseMargin &&
                   Now - Need.SurplusSince >= MoveDelay;
    if (Short && SpareSize > 0) {
      Moves.push_back({Spare, Need.Pool});
      --SpareSize;
    } else if (Surplus) {
      Moves.push_back({Need.Pool, Spare});
    }
  }
  return Moves;
}

std::uint32_t spareSize(std::span<const PoolNeed> Needs,
                        std::uint32_t LargestRack) {
  std::uint32_t Short = 0;
  for (const PoolNeed &Need : Needs) {
    std::uint32_t Wanted = neededSize(Need);
    Short += Wanted > Need.Size ? Wanted - Need.Size : 0;
  }
  return std::max(Short, LargestRack);
}

} // namespace comfreydeck::core
