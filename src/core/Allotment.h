#ifndef COMFREYDECK_CORE_ALLOTMENT_H
#define COMFREYDECK_CORE_ALLOTMENT_H

#include "core/Types.h"

#include <map>
#include <optional>

/// How a team's upper limit is split over the pools that it uses.
///
/// The row of a team gives each pool its part. A pool's owner may start a task
/// of the team while fewer than its part run there and the parts sum up to no
/// more than the limit, in a row that was written under that limit. A part is
/// lowered only by the pool's own owner, who stops using what it gives away
/// before it writes; it is raised by whoever writes the row, and used by its
/// owner only once the owner has read it. So whoever has the newest view sees
/// every part that is in use.
namespace comfreydeck::core {

/// A team's upper limit and the configuration version that last changed it.
struct TeamLimit {
  std::uint32_t Tasks = 0;
  ConfigVersion Since;
  auto operator<=>(const TeamLimit &) const = default;
};

/// The row of one team.
struct AllotmentRow {
  TeamId Team;
  /// The newest limit that any owner wrote under; none goes back behind it.
  TeamLimit Under;
  /// Tasks that may run at once, by pool.
  std::map<PoolId, std::uint32_t> Given;
  /// Tasks that a pool could run if it were given more; for the others to see.
  std::map<PoolId, std::uint32_t> Wanted;
  bool operator==(const AllotmentRow &) const = default;
};

/// What a pool's owner knows of a team's row.
struct AllotmentView {
  bool Known = false;
  AllotmentRow Row;
  /// Zero where there is no row yet.
  std::uint64_t Version = 0;
  /// Bound on the own part while some of it is being given away.
  std::optional<std::uint32_t> Ceiling;
  /// Whether a transaction on this version may have been applied, or may be
  /// yet.
  bool Uncertain = false;
};

/// What a team does in one pool at present.
struct PoolUse {
  /// Tasks that count as running.
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// Most that ran and waited at once of late.
  std::uint32_t Peak = 0;
  /// Slots of the pool; no larger part is of use.
  std::uint32_t Slots = 0;
  /// Pools that the team may use.
  std::uint32_t PoolCount = 1;
};

/// Sum of all parts.
std::uint64_t givenSum(const AllotmentRow &Row);

/// The part of one pool; zero where it has none.
std::uint32_t givenTo(const AllotmentRow &Row, PoolId Pool);

/// How many tasks of the team may run in the pool under \p Limit. Zero until
/// the row was written under that limit or a newer one, and while the parts
/// exceed the limit: what runs then runs on, and nothing new starts.
std::uint32_t usableAllotment(const AllotmentView &View, PoolId Pool,
                              TeamLimit Limit);

/// The row that the pool's owner should write next; nothing where it is well as
/// it is. What it gives away is out of use in \p View from this call on. The
/// transaction must be conditional on the view's version and on the pool's
/// ownership row. \pre the view is known.
std::optional<AllotmentRow> nextRow(AllotmentView &View, PoolId Pool,
                                    const PoolUse &Use, TeamLimit Limit);

/// Takes in the row as read, or as committed by the owner itself. Older
/// versions are passed over.
void takeIn(AllotmentView &View, const AllotmentRow &Row,
            std::uint64_t Version);

/// The transaction is known not to have been applied, nor will it be.
void onNotApplied(AllotmentView &View);

/// The transaction's outcome is not known. What it gives away stays out of use
/// until a later version is read.
void onUnknown(AllotmentView &View);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_ALLOTMENT_H
