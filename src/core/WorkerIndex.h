#ifndef COMFREYDECK_CORE_WORKERINDEX_H
#define COMFREYDECK_CORE_WORKERINDEX_H

#include "core/Types.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

/// Finds a worker with room, spread over data centres and racks.
namespace comfreydeck::core {

/// A worker as its pool's owner sees it.
struct PoolWorker {
  WorkerId Id;
  DataCentreId Zone;
  RackId Rack;
  std::uint32_t Slots = 0;
  Resources Total;
  /// Whether new starts may go here: serving, not leaving, its data centre in,
  /// not in quarantine.
  bool Open = true;
};

/// A worker's place in the order of its data centre: the emptiest first, and
/// among equals one of each rack before a second of any.
struct WorkerRank {
  /// Used slots in thousandths of all.
  std::uint32_t Load = 0;
  std::uint32_t PlaceInRack = 0;
  WorkerId Id;
  auto operator<=>(const WorkerRank &) const = default;
};

/// A worker and what it has in use.
struct IndexedWorker {
  PoolWorker Worker;
  WorkerRank Rank;
  std::uint32_t UsedSlots = 0;
  Resources Used;
  bool Listed = false;
};

/// The open workers of one data centre that have a free slot.
struct ZoneWorkers {
  std::set<WorkerRank> Free;
  std::uint32_t Slots = 0;
  std::uint32_t UsedSlots = 0;
};

/// The workers of one pool.
struct WorkerIndex {
  std::map<WorkerId, IndexedWorker> Workers;
  std::map<DataCentreId, ZoneWorkers> Zones;
  /// Distinct sizes of workers, open or not.
  std::vector<Resources> Totals;
  std::uint32_t OpenSlots = 0;
  /// Free slots of open workers.
  std::uint32_t FreeSlots = 0;
};

/// Puts the pool's present workers in place of the earlier ones; what is in
/// use stays in use.
void setWorkers(WorkerIndex &Index, std::span<const PoolWorker> Workers);

/// Takes or gives back one slot and \p Size on a worker, known or not.
void occupy(WorkerIndex &Index, WorkerId Id, const Resources &Size);
void vacate(WorkerIndex &Index, WorkerId Id, const Resources &Size);

/// Whether a task of \p Size has room on that worker now.
bool hasRoom(const IndexedWorker &W, const Resources &Size);

/// Whether some worker of the pool could hold \p Size when it is empty.
bool couldHold(const WorkerIndex &Index, const Resources &Size);

/// A wish for a worker.
struct PlaceRequest {
  Resources Size;
  /// Taken only where nothing else has room.
  WorkerId Avoid;
  /// Not taken.
  std::span<const WorkerId> Reserved;
};

/// The worker to use; nothing where none has room.
std::optional<WorkerId> findPlace(const WorkerIndex &Index,
                                  const PlaceRequest &Request);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_WORKERINDEX_H
