#include "jobs/TeamAllotment.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace comfreydeck::jobs {

namespace {

/// The limit divided by this is held in addition to the demand, which avoids a
/// store write for each start.
constexpr std::uint64_t SpareDivisor = 16;
/// Excess is returned only if it exceeds the limit divided by this.
constexpr std::uint64_t ReturnDivisor = 8;
/// The same while less than one spare of the limit is unassigned: what a pool
/// holds for later may keep another one from starting anything.
constexpr std::uint64_t ScarceReturnDivisor = 64;
constexpr std::uint32_t Unbounded = std::numeric_limits<std::uint32_t>::max();

using Part = std::uint32_t core::Resources::*;
constexpr Part Kinds[] = {&core::Resources::MilliCpus,
                          &core::Resources::MemoryMb,
                          &core::Resources::Accelerators};

std::uint64_t sumOf(const PoolParts &Parts, Part Kind) {
  std::uint64_t Sum = 0;
  for (const auto &[Pool, Held] : Parts)
    Sum += Held.*Kind;
  return Sum;
}

core::Resources held(const std::string &Pool, const PoolParts &Parts) {
  auto It = Parts.find(Pool);
  return It == Parts.end() ? core::Resources{} : It->second;
}

} // namespace

core::Resources roomOf(const std::string &Pool, const PoolParts &Parts,
                       const core::Resources &Limit) {
  core::Resources Mine = held(Pool, Parts);
  core::Resources Room;
  for (Part Kind : Kinds) {
    std::uint64_t Sum = sumOf(Parts, Kind);
    std::uint64_t Bound = Limit.*Kind;
    std::uint64_t Part = Mine.*Kind;
    if (Sum > Bound && Sum > 0)
      Part = Part * Bound / Sum;
    Room.*Kind = Bound == 0 ? Unbounded : static_cast<std::uint32_t>(Part);
  }
  return Room;
}

core::Resources wantedPart(const std::string &Pool, const PoolParts &Parts,
                           const core::Resources &Limit,
                           const core::Resources &Use,
                           const core::Resources &Demand) {
  core::Resources Mine = held(Pool, Parts);
  core::Resources Wanted;
  for (Part Kind : Kinds) {
    std::uint64_t Bound = Limit.*Kind;
    if (Bound == 0)
      continue;
    std::uint64_t Sum = sumOf(Parts, Kind);
    std::uint64_t Free = Bound > Sum ? Bound - Sum : 0;
    std::uint64_t Mine64 = Mine.*Kind;
    std::uint64_t Asked = std::uint64_t{Use.*Kind} + Demand.*Kind;
    std::uint64_t Spare = Bound / SpareDivisor;
    bool Scarce = Free < Spare;
    std::uint64_t Goal = std::min(Asked + (Scarce ? 0 : Spare), Bound);
    std::uint64_t Part = Mine64;
    // A pool without tasks of the team keeps no more than its spare.
    std::uint64_t Slack =
        Asked == 0 ? 0 : Bound / (Scarce ? ScarceReturnDivisor : ReturnDivisor);
    if (Asked > Mine64)
      Part = std::min(Goal, Mine64 + Free);
    else if (Mine64 > Goal + Slack)
      Part = Goal;
    Wanted.*Kind = static_cast<std::uint32_t>(Part);
  }
  return Wanted;
}

core::Resources largerOf(const core::Resources &A, const core::Resources &B) {
  core::Resources Larger;
  for (Part Kind : Kinds)
    Larger.*Kind = std::max(A.*Kind, B.*Kind);
  return Larger;
}

bool covers(const core::Resources &Part, const core::Resources &Limit,
            const core::Resources &Use, const core::Resources &Demand) {
  return std::all_of(std::begin(Kinds), std::end(Kinds), [&](auto Kind) {
    std::uint64_t Asked = std::uint64_t{Use.*Kind} + Demand.*Kind;
    std::uint64_t Bound = Limit.*Kind;
    return Bound == 0 || std::min(Asked, Bound) <= Part.*Kind;
  });
}

} // namespace comfreydeck::jobs
