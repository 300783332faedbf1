#ifndef COMFREYDECK_JOBS_TEAMALLOTMENT_H
#define COMFREYDECK_JOBS_TEAMALLOTMENT_H

#include "core/Types.h"

#include <map>
#include <string>

/// Parts of a team's upper limit that the owners of pools hold. Each pool's
/// part is changed by its owner alone; the parts together never pass the limit.
namespace comfreydeck::jobs {

using PoolParts = std::map<std::string, core::Resources>;

/// What the pool may have running: its part, cut in proportion where a lower
/// limit came into force. A limit of zero is no bound. Thread-safe.
core::Resources roomOf(const std::string &Pool, const PoolParts &Parts,
                       const core::Resources &Limit);

/// The part that the pool should hold. Takes what \p Use and \p Demand ask for
/// from what is free, and gives back what it needs no more. Thread-safe.
core::Resources wantedPart(const std::string &Pool, const PoolParts &Parts,
                           const core::Resources &Limit,
                           const core::Resources &Use,
                           const core::Resources &Demand);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_TEAMALLOTMENT_H
