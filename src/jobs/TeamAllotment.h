#ifndef COMFREYDECK_JOBS_TEAMALLOTMENT_H
#define COMFREYDECK_JOBS_TEAMALLOTMENT_H

#include "core/Types.h"

#include <map>
#include <optional>
#include <span>
#include <string>

/// Divides a team's upper limit among pools. Only a pool's owner changes the
/// pool's part; the sum of all parts never exceeds the limit.
namespace comfreydeck::jobs {

using PoolParts = std::map<std::string, core::Resources>;

/// What a pool needs of the team's limit to start anything more.
struct PartNeed {
  /// The part with which the pool could.
  core::Resources Part;
  /// Needs are met in this order, the lowest first.
  std::uint64_t Turn = 0;

  bool operator==(const PartNeed &) const = default;
};

/// By pool; only of those that can start nothing.
using PoolNeeds = std::map<std::string, PartNeed>;

/// A need that isn't met in this time is passed over, so that one that can't be
/// met keeps no other from its turn.
constexpr core::Duration TurnLength = std::chrono::seconds(3);

/// Whose turn it is, as seen by one entry.
struct TurnWatch {
  /// Zero if it is nobody's.
  std::uint64_t Turn = 0;
  core::TimePoint Since;
  /// Turns up to this one have passed.
  std::uint64_t Passed = 0;
};

/// Resources the team may use in the pool: the pool's part, reduced
/// proportionally if the limit was lowered below the sum of the parts. A limit
/// of zero means unlimited. Thread-safe.
core::Resources roomOf(const std::string &Pool, const PoolParts &Parts,
                       const core::Resources &Limit);

/// The part that the pool should hold: grows to cover \p Use and \p Demand as
/// far as the limit has free resources, and shrinks when it has an excess.
/// Thread-safe.
core::Resources wantedPart(const std::string &Pool, const PoolParts &Parts,
                           const core::Resources &Limit,
                           const core::Resources &Use,
                           const core::Resources &Demand);

/// The least part with which one of the units, each of which starts as a whole,
/// could start beside \p Use; nothing if \p Part is enough for one, or if none
/// is within the limit. Thread-safe.
std::optional<core::Resources>
neededPart(const core::Resources &Part, const core::Resources &Limit,
           const core::Resources &Use, std::span<const core::Resources> Units);

/// Updates the watch by the needs as stored. Thread-safe for distinct watches.
void watchTurn(TurnWatch &Watch, const PoolNeeds &Needs, core::TimePoint Now);

/// The need of the pool as it is to be stored: keeps a turn that has not
/// passed, else goes behind all others. Thread-safe.
PartNeed needToStore(const std::string &Pool, const PoolNeeds &Needs,
                     const TurnWatch &Watch, const core::Resources &Part);

/// Limits the part that the pool wants: one that can start nothing leaves what
/// it doesn't use to the pool whose turn it is, as far as that one lacks it.
/// Never less than \p Use. Thread-safe.
core::Resources leaveToTurn(const std::string &Pool,
                            const core::Resources &Wanted,
                            const PoolParts &Parts, const PoolNeeds &Needs,
                            const TurnWatch &Watch,
                            const core::Resources &Limit,
                            const core::Resources &Use);

/// Limits the part that a pool wants which holds enough to start something, if
/// it had room: it leaves what it can't use to the pool whose turn it is, as
/// long as that one lacks any. \p Startable is what the pool could start with
/// now, beside \p Use. Thread-safe.
core::Resources
leaveUnusable(const std::string &Pool, const core::Resources &Wanted,
              const PoolParts &Parts, const PoolNeeds &Needs,
              const TurnWatch &Watch, const core::Resources &Limit,
              const core::Resources &Use, const core::Resources &Startable);

/// Whether it is another pool's turn. Thread-safe.
bool isOthersTurn(const std::string &Pool, const PoolNeeds &Needs,
                  const TurnWatch &Watch);

/// The larger amount of each resource. Thread-safe.
core::Resources largerOf(const core::Resources &A, const core::Resources &B);

/// The smaller amount of each resource. Thread-safe.
core::Resources smallerOf(const core::Resources &A, const core::Resources &B);

/// Whether \p Part covers \p Use and \p Demand as far as the limit allows.
/// Thread-safe.
bool covers(const core::Resources &Part, const core::Resources &Limit,
            const core::Resources &Use, const core::Resources &Demand);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_TEAMALLOTMENT_H
