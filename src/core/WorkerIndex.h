#ifndef COMFREYDECK_CORE_WORKERINDEX_H
#define COMFREYDECK_CORE_WORKERINDEX_H

#include "core/Types.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

/// Selection of workers with room, spread over data centres and racks.
namespace comfreydeck::core {

/// A worker as its pool's owner sees it.
struct PoolWorker {
  WorkerId Id;
  DataCentreId Zone;
  RackId Rack;
  std::uint32_t Slots = 0;
  Resources Total;
  /// Whether new tasks may start here: the worker serves, isn't leaving and
  /// isn't quarantined, and its data centre is in use.
  bool Open = true;
};

/// A worker's position in the order of its data centre: the least loaded first,
/// and among equals one of each rack before a second of any rack.
struct WorkerRank {
  /// Used slots in thousandths of all slots.
  std::uint32_t Load = 0;
  /// Index among the workers of its rack.
  std::uint32_t IndexInRack = 0;
  WorkerId Id;
  auto operator<=>(const WorkerRank &) const = default;
};

/// A worker and its slots and resources in use.
struct IndexedWorker {
  PoolWorker Worker;
  WorkerRank Rank;
  std::uint32_t UsedSlots = 0;
  Resources Used;
  bool Listed = false;
};

/// The open workers of one data centre.
struct ZoneWorkers {
  /// Those with a free slot.
  std::set<WorkerRank> Free;
  std::uint32_t Slots = 0;
  std::uint32_t UsedSlots = 0;
};

/// The workers of one pool.
struct WorkerIndex {
  std::map<WorkerId, IndexedWorker> Workers;
  std::map<DataCentreId, ZoneWorkers> Zones;
  /// Distinct sizes of the pool's workers, open or not.
  std::vector<Resources> Totals;
  std::uint32_t OpenSlots = 0;
  /// Free slots of open workers.
  std::uint32_t FreeSlots = 0;
};

/// Replaces the pool's workers. Slots and resources in use stay in use.
void setWorkers(WorkerIndex &Index, std::span<const PoolWorker> Workers);

/// Allocate or release one slot and \p Size on a worker, which need not be
/// known.
void occupy(WorkerIndex &Index, WorkerId Id, const Resources &Size);
void vacate(WorkerIndex &Index, WorkerId Id, const Resources &Size);

/// Whether the worker has room for a task of \p Size now.
bool hasRoom(const IndexedWorker &W, const Resources &Size);

/// Whether some worker of the pool could hold \p Size when empty.
bool couldHold(const WorkerIndex &Index, const Resources &Size);

/// Requirements for a worker.
struct PlaceRequest {
  Resources Size;
  /// Used only if no other worker has room.
  WorkerId Avoid;
  /// Workers that must not be used.
  std::span<const WorkerId> Reserved;
};

/// The worker to use; std::nullopt if none has room.
std::optional<WorkerId> findPlace(const WorkerIndex &Index,
                                  const PlaceRequest &Request);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_WORKERINDEX_H
