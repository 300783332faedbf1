#ifndef COMFREYDECK_CORE_ALLOTMENT_H
#define COMFREYDECK_CORE_ALLOTMENT_H

#include "core/Types.h"

#include <map>
#include <optional>

/// How a team's upper limit is divided among the pools that it uses.
///
/// The row of a team assigns each pool its part. A pool's owner may start a
/// task of the team while fewer tasks than its part run there and the parts add
/// up to no more than the limit, in a row that was written under that limit.
/// Only the pool's own owner lowers a part, and it stops using what it gives
/// away before it writes the row. Any owner that writes the row may raise a
/// part, and the pool's owner uses the raised part only after reading the row.
/// The newest version of the row therefore covers every part that is in use.
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
  /// The newest limit under which an owner wrote the row; never replaced by an
  /// older one.
  TeamLimit WrittenUnder;
  /// Tasks that may run at once, by pool.
  std::map<PoolId, std::uint32_t> Given;
  /// Tasks that a pool could run with a larger part; read by the other owners.
  std::map<PoolId, std::uint32_t> Wanted;
  bool operator==(const AllotmentRow &) const = default;
};

/// A team's row as known to a pool's owner.
struct AllotmentView {
  bool Known = false;
  AllotmentRow Row;
  /// Zero if there is no row yet.
  std::uint64_t Version = 0;
  /// Upper bound on the pool's own part while some of it is being given away.
  std::optional<std::uint32_t> Ceiling;
  /// Whether a transaction on this version has an unknown outcome: it may have
  /// been applied, or may still be.
  bool Uncertain = false;
};

/// A team's current use of one pool.
struct PoolUse {
  /// Tasks that count as running.
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// Recent maximum of running and waiting tasks together.
  std::uint32_t Peak = 0;
  /// Slots of the pool; a larger part can't be used.
  std::uint32_t Slots = 0;
  /// Pools that the team may use.
  std::uint32_t PoolCount = 1;
};

/// The sum of all parts.
std::uint64_t totalGiven(const AllotmentRow &Row);

/// The part of one pool; zero if it has none.
std::uint32_t givenTo(const AllotmentRow &Row, PoolId Pool);

/// How many tasks of the team may run in the pool under \p Limit. Zero until
/// the row is written under that limit or a newer one, and while the parts
/// exceed the limit: running tasks then continue, and no new one starts.
std::uint32_t usableAllotment(const AllotmentView &View, PoolId Pool,
                              TeamLimit Limit);

/// Least time between two writes of one pool's part for a team.
inline constexpr std::chrono::milliseconds AllotmentWriteGap(250);

/// Whether the row may be written again; \p LastWrite is nothing if the next
/// write must not wait.
bool mayWriteRow(std::optional<TimePoint> LastWrite, TimePoint Now);

/// The row that the pool's owner should write next; std::nullopt if no change
/// is needed. From this call on, \p View no longer allows the use of what that
/// row gives away. The transaction must be conditional on the view's version
/// and on the pool's ownership row. \pre the view is known.
std::optional<AllotmentRow> nextRow(AllotmentView &View, PoolId Pool,
                                    const PoolUse &Use, TeamLimit Limit);

/// Updates the view with the row as read, or as committed by the owner itself.
/// Versions that are not newer are ignored.
void updateView(AllotmentView &View, const AllotmentRow &Row,
                std::uint64_t Version);

/// Called when the transaction was not applied and never will be.
void onNotApplied(AllotmentView &View);

/// Called when the transaction's outcome is unknown. What it gives away stays
/// unused until a later version is read.
void onOutcomeUnknown(AllotmentView &View);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_ALLOTMENT_H
