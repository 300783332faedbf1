#include "core/PoolOwner.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

std::size_t waitingCount(const PoolOwner &Owner) {
  std::size_t Count = 0;
  for (const auto &[Id, Team] : Owner.Teams)
    Count += Team.Waiting.size();
  return Count;
}

std::uint32_t usedSlots(const PoolOwner &Owner, WorkerId Id) {
  std::uint32_t Used = 0;
  for (const auto &[Demand, Task] : Owner.Running)
    Used += Task.Worker == Id ? 1 : 0;
  return Used;
}

const PoolWorker *freestWorker(const PoolOwner &Owner) {
  const PoolWorker *Best = nullptr;
  std::uint32_t BestFree = 0;
  for (const auto &[Id, Worker] : Owner.Workers) {
    std::uint32_t Used = usedSlots(Owner, Id);
    std::uint32_t Free = Worker.Slots > Used ? Worker.Slots - Used : 0;
    if (!Worker.Open || Free <= BestFree)
      continue;
    Best = &Worker;
    BestFree = Free;
  }
  return Best;
}

OwnedTeam *nextTeam(PoolOwner &Owner) {
  OwnedTeam *Best = nullptr;
  for (auto &[Id, Team] : Owner.Teams) {
    if (Team.Waiting.empty() || Team.Running >= Team.Allotment)
      continue;
    if (!Best || Team.VirtualTime < Best->VirtualTime)
      Best = &Team;
  }
  return Best;
}

} // namespace

Reason enqueue(PoolOwner &Owner, Demand D) {
  if (waitingCount(Owner) >= Owner.WaitingLimit)
    return Reason::QueueFull;
  Owner.Teams[D.Team].Waiting.push_back(D);
  return Reason::None;
}

bool cancel(PoolOwner &Owner, DemandId Id) {
  for (auto &[Key, Team] : Owner.Teams)
    if (std::erase_if(Team.Waiting,
                      [&](const Demand &D) { return D.Id == Id; }) > 0)
      return true;
  return false;
}

bool finish(PoolOwner &Owner, DemandId Id, TimePoint /*Now*/) {
  auto It = Owner.Running.find(Id);
  if (It == Owner.Running.end())
    return false;
  --Owner.Teams[It->second.Team].Running;
  Owner.Running.erase(It);
  return true;
}

void setTeam(PoolOwner &Owner, TeamId Id, std::uint32_t Share,
             std::uint32_t Allotment) {
  OwnedTeam &Team = Owner.Teams[Id];
  Team.Share = Share;
  Team.Allotment = Allotment;
}

void setWorkers(PoolOwner &Owner, std::span<const PoolWorker> Workers) {
  Owner.Workers.clear();
  for (const PoolWorker &Worker : Workers)
    Owner.Workers[Worker.Id] = Worker;
}

PoolDecisions decide(PoolOwner &Owner, TimePoint Now, TimePoint NotAfter) {
  PoolDecisions Decided;
  while (OwnedTeam *Team = nextTeam(Owner)) {
    const PoolWorker *Worker = freestWorker(Owner);
    if (!Worker)
      break;
    Demand D = Team->Waiting.front();
    Team->Waiting.pop_front();
    if (D.Deadline && *D.Deadline <= Now) {
      Decided.Refusals.push_back({D.Id, Reason::DeadlinePassed});
      continue;
    }
    Owner.Running[D.Id] = {D.Id, D.Team, Worker->Id, D.Size, Now};
    ++Team->Running;
    Team->VirtualTime += 1.0 / std::max<std::uint32_t>(Team->Share, 1);
    Decided.Grants.push_back({D.Id, D.Team, Worker->Id, NotAfter});
  }
  return Decided;
}

} // namespace comfreydeck::core
