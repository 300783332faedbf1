#include "core/WorkerIndex.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

constexpr std::uint32_t FullLoad = 1000;

std::uint32_t freeSlots(const IndexedWorker &W) {
  return W.Worker.Slots > W.UsedSlots ? W.Worker.Slots - W.UsedSlots : 0;
}

std::uint32_t loadOf(const IndexedWorker &W) {
  return W.Worker.Slots == 0 ? FullLoad
                             : FullLoad * W.UsedSlots / W.Worker.Slots;
}

/// A worker of unknown size is limited by its slots alone.
bool hasKnownSize(const Resources &Total) { return Total != Resources(); }

Resources freeOf(const IndexedWorker &W) {
  const Resources &Total = W.Worker.Total;
  auto Minus = [](std::uint32_t A, std::uint32_t B) {
    return A > B ? A - B : 0;
  };
  return {Minus(Total.MilliCpus, W.Used.MilliCpus),
          Minus(Total.MemoryMb, W.Used.MemoryMb),
          Minus(Total.Accelerators, W.Used.Accelerators)};
}

void removeFromZone(WorkerIndex &Index, IndexedWorker &W) {
  if (!W.Worker.Open)
    return;
  ZoneWorkers &Zone = Index.Zones[W.Worker.Zone];
  std::uint32_t Free = freeSlots(W);
  Zone.Free.erase(W.Rank);
  Zone.Slots -= W.Worker.Slots;
  Zone.UsedSlots -= W.Worker.Slots - Free;
  Index.OpenSlots -= W.Worker.Slots;
  Index.FreeSlots -= Free;
}

void addToZone(WorkerIndex &Index, IndexedWorker &W) {
  if (!W.Worker.Open)
    return;
  ZoneWorkers &Zone = Index.Zones[W.Worker.Zone];
  std::uint32_t Free = freeSlots(W);
  W.Rank.Load = loadOf(W);
  W.Rank.Id = W.Worker.Id;
  if (Free > 0)
    Zone.Free.insert(W.Rank);
  Zone.Slots += W.Worker.Slots;
  Zone.UsedSlots += W.Worker.Slots - Free;
  Index.OpenSlots += W.Worker.Slots;
  Index.FreeSlots += Free;
}

void change(WorkerIndex &Index, WorkerId Id, int Slots, const Resources &Size) {
  IndexedWorker &W = Index.Workers[Id];
  if (!W.Worker.Id.isValid()) {
    // A task runs on a worker that isn't part of the pool, or not yet.
    W.Worker.Id = Id;
    W.Worker.Open = false;
  }
  auto Unsigned = static_cast<std::uint32_t>(Slots);
  removeFromZone(Index, W);
  W.UsedSlots += Unsigned;
  W.Used.MilliCpus += Unsigned * Size.MilliCpus;
  W.Used.MemoryMb += Unsigned * Size.MemoryMb;
  W.Used.Accelerators += Unsigned * Size.Accelerators;
  addToZone(Index, W);
}

/// Data centres with free slots, the least loaded first.
std::vector<const ZoneWorkers *> zonesByLoad(const WorkerIndex &Index) {
  std::vector<const ZoneWorkers *> Zones;
  for (const auto &[Id, Zone] : Index.Zones)
    if (!Zone.Free.empty())
      Zones.push_back(&Zone);
  auto LessLoaded = [](const ZoneWorkers *A, const ZoneWorkers *B) {
    return std::uint64_t{A->UsedSlots} * B->Slots <
           std::uint64_t{B->UsedSlots} * A->Slots;
  };
  std::stable_sort(Zones.begin(), Zones.end(), LessLoaded);
  return Zones;
}

bool isReserved(const PlaceRequest &Request, WorkerId Id) {
  auto End = Request.Reserved.end();
  return std::find(Request.Reserved.begin(), End, Id) != End;
}

} // namespace

void setWorkers(WorkerIndex &Index, std::span<const PoolWorker> Workers) {
  std::map<WorkerId, IndexedWorker> Earlier = std::move(Index.Workers);
  Index = {};
  std::map<std::pair<DataCentreId, RackId>, std::uint32_t> RackPlaces;
  for (const PoolWorker &Worker : Workers) {
    IndexedWorker &W = Index.Workers[Worker.Id];
    auto It = Earlier.find(Worker.Id);
    if (It != Earlier.end()) {
      W.UsedSlots = It->second.UsedSlots;
      W.Used = It->second.Used;
      Earlier.erase(It);
    }
    W.Worker = Worker;
    W.Rank.IndexInRack = RackPlaces[{Worker.Zone, Worker.Rack}]++;
    addToZone(Index, W);
    auto End = Index.Totals.end();
    if (std::find(Index.Totals.begin(), End, Worker.Total) == End)
      Index.Totals.push_back(Worker.Total);
  }
  // A worker that left stays in the index until its last task has ended.
  for (auto &[Id, W] : Earlier) {
    if (W.UsedSlots == 0)
      continue;
    W.Worker.Open = false;
    Index.Workers[Id] = W;
  }
}

void occupy(WorkerIndex &Index, WorkerId Id, const Resources &Size) {
  change(Index, Id, 1, Size);
}

void vacate(WorkerIndex &Index, WorkerId Id, const Resources &Size) {
  change(Index, Id, -1, Size);
}

bool hasRoom(const IndexedWorker &W, const Resources &Size) {
  if (!W.Worker.Open || freeSlots(W) == 0)
    return false;
  return !hasKnownSize(W.Worker.Total) || fits(Size, freeOf(W));
}

bool couldHold(const WorkerIndex &Index, const Resources &Size) {
  return std::any_of(Index.Totals.begin(), Index.Totals.end(),
                     [&](const Resources &Total) {
                       return !hasKnownSize(Total) || fits(Size, Total);
                     });
}

std::optional<WorkerId> findPlace(const WorkerIndex &Index,
                                  const PlaceRequest &Request) {
  std::optional<WorkerId> LastChoice;
  for (const ZoneWorkers *Zone : zonesByLoad(Index)) {
    for (const WorkerRank &Rank : Zone->Free) {
      const IndexedWorker &W = Index.Workers.at(Rank.Id);
      if (!hasRoom(W, Request.Size) || isReserved(Request, Rank.Id))
        continue;
      if (Rank.Id != Request.Avoid)
        return Rank.Id;
      LastChoice = Rank.Id;
    }
  }
  return LastChoice;
}

} // namespace comfreydeck::core
