#ifndef COMFREYDECK_JOBS_OWNERCHOICE_H
#define COMFREYDECK_JOBS_OWNERCHOICE_H

#include "core/Types.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

/// Assigns pools without an owner to entries.
namespace comfreydeck::jobs {

/// Assumed capacity of an entry that does not publish one.
inline constexpr std::uint32_t DefaultCapacity = 100;

/// An entry's capacity in thousandths of a core, limited by the CPU or by the
/// network link, whichever is smaller. Thread-safe.
std::uint32_t capacityOf(double Cores, double LinkMbps);

/// One entry as the others see it in the store.
struct EntryView {
  std::string Name;
  /// Identifies the process incarnation.
  std::string Life;
  /// IP address and port for requests from other entries.
  std::string PeerAddress;
  std::string DataCentre;
  /// Shutting down: it hands its pools over.
  bool Leaving = false;
  /// CPU available for the pools it owns, in thousandths of a core.
  std::uint32_t Capacity = DefaultCapacity;
  /// Its own time of day less the store's clock; nothing if unknown.
  std::optional<core::Duration> OwnTime = {};
  /// Version of its row; increases with each heartbeat.
  std::uint64_t Version = 0;
  /// When a new heartbeat was last observed.
  core::TimePoint ChangedAt;
};

/// An earlier owner of a pool.
struct EarlierOwner {
  /// The entry's name; empty if the owner released the pool, after its last
  /// order.
  std::string Name;
  std::uint64_t Token = 0;
  bool operator==(const EarlierOwner &) const = default;
};

/// The owners of a pool before the present one, oldest first.
struct OwnerHistory {
  std::vector<EarlierOwner> Owners;
  /// No owner is missing whose orders may still take effect.
  bool Complete = false;
};

/// One pool's ownership record as stored.
struct PoolView {
  std::string Pool;
  /// Empty if the pool has no owner.
  std::string OwnerName;
  std::string OwnerLife;
  /// Version of the ownership row; zero if there is none.
  std::uint64_t Version = 0;
  /// Fencing token of the owner that handed the pool over; zero if unknown.
  std::uint64_t GivenBy = 0;
  /// Owners before this one.
  OwnerHistory Earlier = {};
  /// The pool has no jobs to start, so owning it costs little.
  bool Light = false;
};

/// The history for the owner that takes the pool next. Long histories lose
/// their oldest owners. Thread-safe.
OwnerHistory historyAfter(const PoolView &Pool);

/// Removes the owners before the settled one, whose orders can't take effect
/// any more; the history is complete then. Thread-safe.
void dropBeforeSettled(OwnerHistory &History, std::uint64_t SettledToken);

/// Whether the initial discovery of entries is complete: no new entry appeared
/// for a while, or the maximum wait has passed. Thread-safe.
bool isDiscoveryComplete(core::TimePoint StartedAt,
                         core::TimePoint NewestSeenAt, core::TimePoint Now);

/// Whether the entry is not leaving and its last heartbeat is younger than
/// \p DeadAfter. Thread-safe.
bool isAlive(const EntryView &Entry, core::TimePoint Now,
             core::Duration DeadAfter);

/// Returns the pools without a living owner that \p Me should take. A pool goes
/// to the entry that owned it before that entry's process restarted, otherwise
/// to the entry with the most capacity per owned pool. Light pools prefer
/// entries that own no pool with jobs. A living owner keeps its pools. All
/// entries compute the same assignment from the same views, except that an
/// entry uses \p Me for itself, since others may still see its previous
/// process. \p SeenAt is when the read that produced the views was sent; if it
/// is too old, no entry is considered dead and the result is empty.
/// Thread-safe.
std::vector<std::string>
poolsToTake(const EntryView &Me, std::span<const EntryView> Entries,
            std::span<const PoolView> Pools, core::TimePoint SeenAt,
            core::TimePoint Now, core::Duration DeadAfter);

/// Whether the pool was released in order while entries other than \p Me are
/// alive. Thread-safe.
bool isReleasedBesideOthers(const EntryView &Me, const PoolView &Pool,
                            std::span<const EntryView> Entries,
                            core::TimePoint Now, core::Duration DeadAfter);

/// Returns the pools whose rows name this process as the owner although it does
/// not serve them: a transaction that had timed out was applied late, or this
/// process has released the pool. No other entry takes them over. Thread-safe.
std::vector<std::string> unservedPools(const EntryView &Me,
                                       std::span<const PoolView> Pools,
                                       const std::set<std::string> &Served);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_OWNERCHOICE_H
