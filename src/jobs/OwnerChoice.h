#ifndef COMFREYDECK_JOBS_OWNERCHOICE_H
#define COMFREYDECK_JOBS_OWNERCHOICE_H

#include "core/Types.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

/// Which entry takes which pool that has no owner.
namespace comfreydeck::jobs {

/// Capacity of an entry that doesn't tell it.
inline constexpr std::uint32_t UnknownCapacity = 100;

/// An entry's capacity, in thousandths of a core: a link that is too small for
/// its processor's share bounds it. Thread-safe.
std::uint32_t capacityOf(double Cores, double LinkMbps);

/// One entry, as the others see it.
struct EntryView {
  std::string Name;
  /// Tells its processes apart.
  std::string Life;
  /// IP number and port for the other entries.
  std::string PeerAddress;
  std::string DataCentre;
  /// Gives its pools away.
  bool Leaving = false;
  /// What it can do for the pools that it owns, in thousandths of a core.
  std::uint32_t Capacity = UnknownCapacity;
  /// Version of its row; rises with each sign of life.
  std::uint64_t Version = 0;
  /// When its sign of life was last seen to change.
  core::TimePoint ChangedAt;
};

/// One pool's owner as it is stored.
struct PoolView {
  std::string Pool;
  /// Empty: none.
  std::string OwnerName;
  std::string OwnerLife;
  /// Version of the owner's row; zero: there is no row.
  std::uint64_t Version = 0;
  /// Token of the owner that gave the pool away; zero: not known.
  std::uint64_t GivenBy = 0;
  /// No jobs are started for it.
  bool Light = false;
};

/// Whether the entries that start together can be taken to have shown
/// themselves: no new one came for a while, or too long was waited.
/// Thread-safe.
bool hasGathered(core::TimePoint StartedAt, core::TimePoint NewestSeenAt,
                 core::TimePoint Now);

/// Whether the entry counts as alive. Thread-safe.
bool isAlive(const EntryView &Entry, core::TimePoint Now,
             core::Duration DeadAfter);

/// The pools without a living owner that \p Me should take: each goes to the
/// entry that owned it before its process was started anew, else to the one
/// with the most capacity for each of its pools; light ones go to entries that
/// own no other, where there are any. A living owner keeps its pools. Every
/// entry finds the same from the same views, but for itself: what others see of
/// it may still be its process before this one. \p SeenAt is when the reading
/// was sent that the views are from; nobody is judged by an old one.
/// Thread-safe.
std::vector<std::string>
poolsToTake(const EntryView &Me, std::span<const EntryView> Entries,
            std::span<const PoolView> Pools, core::TimePoint SeenAt,
            core::TimePoint Now, core::Duration DeadAfter);

/// The pools whose rows name this process as the owner though it doesn't work
/// on them: a transaction that was given up has applied late, or the pool was
/// given up here. Nobody else takes them. Thread-safe.
std::vector<std::string> poolsInNameOnly(const EntryView &Me,
                                         std::span<const PoolView> Pools,
                                         const std::set<std::string> &WorkedOn);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_OWNERCHOICE_H
