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

/// Whether the part holds the use and one unit more.
bool isWithin(const core::Resources &Held, const core::Resources &Limit,
              const core::Resources &Use, const core::Resources &Unit) {
  return std::all_of(std::begin(Kinds), std::end(Kinds), [&](Part Kind) {
    return Limit.*Kind == 0 ||
           std::uint64_t{Use.*Kind} + Unit.*Kind <= Held.*Kind;
  });
}

/// The largest share that the amounts have of the limit's.
double shareOf(const core::Resources &Amount, const core::Resources &Limit) {
  double Share = 0;
  for (Part Kind : Kinds)
    if (Limit.*Kind > 0)
      Share = std::max(Share, static_cast<double>(Amount.*Kind) /
                                  static_cast<double>(Limit.*Kind));
  return Share;
}

/// The need whose turn it is; the end if it is nobody's.
PoolNeeds::const_iterator findTurn(const PoolNeeds &Needs,
                                   const TurnWatch &Watch) {
  if (Watch.Turn == 0)
    return Needs.end();
  return std::find_if(Needs.begin(), Needs.end(), [&](const auto &Item) {
    return Item.second.Turn == Watch.Turn;
  });
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

std::optional<core::Resources>
neededPart(const core::Resources &Part, const core::Resources &Limit,
           const core::Resources &Use, std::span<const core::Resources> Units) {
  std::optional<core::Resources> Least;
  double LeastShare = 0;
  for (const core::Resources &Unit : Units) {
    if (!isWithin(Limit, Limit, Use, Unit))
      continue;
    if (isWithin(Part, Limit, Use, Unit))
      return std::nullopt;
    double Share = shareOf(Unit, Limit);
    if (Least && Share >= LeastShare)
      continue;
    LeastShare = Share;
    Least = core::Resources();
    for (auto Kind : Kinds)
      if (Limit.*Kind > 0)
        (*Least).*Kind = Use.*Kind + Unit.*Kind;
  }
  return Least;
}

void watchTurn(TurnWatch &Watch, const PoolNeeds &Needs, core::TimePoint Now) {
  std::uint64_t Last = 0;
  for (const auto &[Pool, Need] : Needs)
    Last = std::max(Last, Need.Turn);
  // Turns begin anew with a row that has no needs.
  if (Last < Watch.Passed)
    Watch.Passed = 0;
  if (Watch.Turn != 0 && Now - Watch.Since >= TurnLength)
    Watch.Passed = std::max(Watch.Passed, Watch.Turn);
  std::uint64_t Next = 0;
  for (const auto &[Pool, Need] : Needs)
    if (Need.Turn > Watch.Passed && (Next == 0 || Need.Turn < Next))
      Next = Need.Turn;
  if (Next != Watch.Turn)
    Watch.Since = Now;
  Watch.Turn = Next;
}

PartNeed needToStore(const std::string &Pool, const PoolNeeds &Needs,
                     const TurnWatch &Watch, const core::Resources &Part) {
  auto Mine = Needs.find(Pool);
  if (Mine != Needs.end() && Mine->second.Turn > Watch.Passed)
    return {Part, Mine->second.Turn};
  std::uint64_t Last = Watch.Passed;
  for (const auto &[Name, Need] : Needs)
    Last = std::max(Last, Need.Turn);
  return {Part, Last + 1};
}

bool isOthersTurn(const std::string &Pool, const PoolNeeds &Needs,
                  const TurnWatch &Watch) {
  auto First = findTurn(Needs, Watch);
  return First != Needs.end() && First->first != Pool;
}

core::Resources
leaveUnusable(const std::string &Pool, const core::Resources &Wanted,
              const PoolParts &Parts, const PoolNeeds &Needs,
              const TurnWatch &Watch, const core::Resources &Limit,
              const core::Resources &Use, const core::Resources &Startable) {
  if (!isOthersTurn(Pool, Needs, Watch) || Needs.contains(Pool))
    return Wanted;
  auto First = findTurn(Needs, Watch);
  core::Resources Theirs = held(First->first, Parts);
  bool Lacks = std::any_of(std::begin(Kinds), std::end(Kinds), [&](Part Kind) {
    return Limit.*Kind > 0 && First->second.Part.*Kind > Theirs.*Kind;
  });
  if (!Lacks)
    return Wanted;
  core::Resources Usable;
  for (Part Kind : Kinds)
    Usable.*Kind = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        std::uint64_t{Use.*Kind} + Startable.*Kind, Unbounded));
  return smallerOf(Wanted, Usable);
}

core::Resources leaveToTurn(const std::string &Pool,
                            const core::Resources &Wanted,
                            const PoolParts &Parts, const PoolNeeds &Needs,
                            const TurnWatch &Watch,
                            const core::Resources &Limit,
                            const core::Resources &Use) {
  if (!isOthersTurn(Pool, Needs, Watch) || !Needs.contains(Pool))
    return Wanted;
  auto First = findTurn(Needs, Watch);
  core::Resources Mine = held(Pool, Parts);
  core::Resources Theirs = held(First->first, Parts);
  core::Resources Left = Wanted;
  for (Part Kind : Kinds) {
    std::uint64_t Bound = Limit.*Kind;
    if (Bound == 0)
      continue;
    std::uint64_t Sum = sumOf(Parts, Kind);
    std::uint64_t Most = Mine.*Kind + (Bound > Sum ? Bound - Sum : 0);
    std::uint64_t Need = First->second.Part.*Kind;
    std::uint64_t Lacking = Need > Theirs.*Kind ? Need - Theirs.*Kind : 0;
    Most =
        std::max<std::uint64_t>(Most > Lacking ? Most - Lacking : 0, Use.*Kind);
    Left.*Kind =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(Wanted.*Kind, Most));
  }
  return Left;
}

core::Resources largerOf(const core::Resources &A, const core::Resources &B) {
  core::Resources Larger;
  for (Part Kind : Kinds)
    Larger.*Kind = std::max(A.*Kind, B.*Kind);
  return Larger;
}

core::Resources smallerOf(const core::Resources &A, const core::Resources &B) {
  core::Resources Smaller;
  for (Part Kind : Kinds)
    Smaller.*Kind = std::min(A.*Kind, B.*Kind);
  return Smaller;
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
