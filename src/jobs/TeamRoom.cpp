#include "jobs/Placement_p.h"
#include "jobs/PoolState.h"

#include <algorithm>
#include <limits>

/// What a team's waiting tasks could start with if its limit allowed it.
namespace comfreydeck::jobs {

namespace {

core::Resources difference(const core::Resources &A, const core::Resources &B) {
  auto Left = [](std::uint32_t Has, std::uint32_t Taken) {
    return Has > Taken ? Has - Taken : 0;
  };
  return {Left(A.MilliCpus, B.MilliCpus), Left(A.MemoryMb, B.MemoryMb),
          Left(A.Accelerators, B.Accelerators)};
}

std::uint32_t clamped(std::uint64_t Amount) {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(
      Amount, std::numeric_limits<std::uint32_t>::max()));
}

/// Adds \p Count times \p One.
void add(core::Resources &Sum, const core::Resources &One,
         std::uint64_t Count = 1) {
  Sum.MilliCpus = clamped(Sum.MilliCpus + One.MilliCpus * Count);
  Sum.MemoryMb = clamped(Sum.MemoryMb + One.MemoryMb * Count);
  Sum.Accelerators = clamped(Sum.Accelerators + One.Accelerators * Count);
}

/// How many tasks of this need fit into the room, \p Most at the most.
std::uint32_t placesIn(const core::Resources &Room, const core::Resources &Need,
                       std::uint32_t Most) {
  auto Bound = [&Most](std::uint32_t Has, std::uint32_t One) {
    if (One > 0)
      Most = std::min(Most, Has / One);
  };
  Bound(Room.MilliCpus, Need.MilliCpus);
  Bound(Room.MemoryMb, Need.MemoryMb);
  Bound(Room.Accelerators, Need.Accelerators);
  return Most;
}

/// Room is kept for lasting tasks and gangs until enough of it has come
/// together; others start in what is free.
bool isRoomKeptFor(const StepSpec &Step) { return Step.Lasting || Step.Gang; }

} // namespace

/// What the worker's lasting tasks hold.
core::Resources PoolState::heldByLasting(const WorkerState &W) {
  core::Resources Held;
  for (const auto &[Job, Task] : W.Tasks) {
    const StepSpec &Step = stepOf(*Job, Task);
    if (Step.Lasting)
      add(Held, reservedBy(Step));
  }
  return Held;
}

/// The room of the workers that take starts.
std::vector<PoolState::HostRoom> PoolState::hostRooms() const {
  std::vector<HostRoom> Rooms;
  for (const auto &[Id, W] : Workers_) {
    bool MayTake = W->IncarnationConfirmed && !W->Gone && !W->Ended &&
                   !W->Closed && !W->Entry.Draining &&
                   !ClosedDataCentres_.contains(W->Entry.DataCentre);
    if (!MayTake)
      continue;
    HostRoom Room{W.get(), {}, {}};
    if (!W->Isolated && !isAvoided(*W, Now_))
      Room.Now = difference(W->Entry.Capacity, W->Used);
    Room.Later = difference(W->Entry.Capacity, heldByLasting(*W));
    Rooms.push_back(Room);
  }
  return Rooms;
}

/// How many more tasks of the step its spread allows on the worker.
std::uint32_t PoolState::spreadLeft(const WorkerState &W,
                                    const StepSpec &Step) {
  if (Step.MaxPerWorker == 0)
    return std::numeric_limits<std::uint32_t>::max();
  auto Runs =
      std::count_if(W.Tasks.begin(), W.Tasks.end(), [&Step](const auto &Item) {
        return &stepOf(*Item.first, Item.second) == &Step;
      });
  return Step.MaxPerWorker -
         std::min<std::uint32_t>(Step.MaxPerWorker,
                                 static_cast<std::uint32_t>(Runs));
}

/// Takes the room of up to \p Count of the step's tasks; returns how many there
/// is room for.
std::uint32_t PoolState::takeRoom(std::span<HostRoom> Rooms,
                                  const StepSpec &Step, std::uint32_t Count) {
  core::Resources Need = reservedBy(Step);
  std::uint32_t Placed = 0;
  for (HostRoom &Room : Rooms) {
    if (Placed == Count)
      break;
    if (!hasLabel(Room.Worker->Entry, Step))
      continue;
    std::uint32_t Here =
        placesIn(isRoomKeptFor(Step) ? Room.Later : Room.Now, Need,
                 std::min(Count - Placed, spreadLeft(*Room.Worker, Step)));
    core::Resources Taken;
    add(Taken, Need, Here);
    Room.Now = difference(Room.Now, Taken);
    Room.Later = difference(Room.Later, Taken);
    Placed += Here;
  }
  return Placed;
}

core::Resources PoolState::teamStartable(const std::string &Team,
                                         std::int64_t WallMs) const {
  core::Resources Startable;
  auto Wanted = Teams_.find(Team);
  if (Wanted == Teams_.end())
    return Startable;
  std::vector<HostRoom> Rooms = hostRooms();
  for (const WaitingUnit &Unit : waitingUnits(Wanted->second, WallMs)) {
    std::uint32_t Placed = takeRoom(Rooms, *Unit.Step, Unit.Tasks * Unit.Count);
    add(Startable, Unit.Step->Need, Placed - Placed % Unit.Tasks);
  }
  return Startable;
}

std::vector<core::Resources> PoolState::teamUnits(const std::string &Team,
                                                  std::int64_t WallMs) const {
  auto Wanted = Teams_.find(Team);
  if (Wanted == Teams_.end())
    return {};
  core::Resources Left = capacityBeside(Wanted->second);
  const std::vector<HostRoom> Rooms = hostRooms();
  std::vector<core::Resources> Units;
  for (const WaitingUnit &Unit : waitingUnits(Wanted->second, WallMs)) {
    core::Resources Need = needOf(Unit, false);
    if ((!Units.empty() && Units.back() == Need) ||
        !core::fits(needOf(Unit, true), Left))
      continue;
    std::vector<HostRoom> Free = Rooms;
    if (takeRoom(Free, *Unit.Step, Unit.Tasks) == Unit.Tasks)
      Units.push_back(Need);
  }
  return Units;
}

} // namespace comfreydeck::jobs
