#ifndef COMFREYDECK_JOBS_TEAMALLOTMENT_H
#define COMFREYDECK_JOBS_TEAMALLOTMENT_H

#include "core/Types.h"

#include <map>
#include <string>

/// Divides a team's upper limit among pools. Only a pool's owner changes the
/// pool's part; the sum of all parts never exceeds the limit.
namespace comfreydeck::jobs {

using PoolParts = std::map<std::string, core::Resources>;

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

/// The larger amount of each resource. Thread-safe.
core::Resources largerOf(const core::Resources &A, const core::Resources &B);

/// Whether \p Part covers \p Use and \p Demand as far as the limit allows.
/// Thread-safe.
bool covers(const core::Resources &Part, const core::Resources &Limit,
            const core::Resources &Use, const core::Resources &Demand);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_TEAMALLOTMENT_H
