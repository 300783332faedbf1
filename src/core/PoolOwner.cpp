#include "core/PoolOwner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace comfreydeck::core {

namespace {

constexpr Duration RetrySizesEvery = std::chrono::milliseconds(250);

double secondsOf(Duration D) {
  return std::chrono::duration<double>(D).count();
}

/// How many slots of a worker a task is charged for: one, or more if it uses
/// more than one slot's part of some resource.
double slotEquivalent(const PoolOwner &Owner, WorkerId Id,
                      const Resources &Size) {
  auto It = Owner.Workers.Workers.find(Id);
  if (It == Owner.Workers.Workers.end())
    return 1;
  const PoolWorker &W = It->second.Worker;
  auto Part = [&](std::uint32_t Need, std::uint32_t Total) {
    return Total == 0 ? 0.0 : static_cast<double>(Need) * W.Slots / Total;
  };
  return std::max({1.0, Part(Size.MilliCpus, W.Total.MilliCpus),
                   Part(Size.MemoryMb, W.Total.MemoryMb),
                   Part(Size.Accelerators, W.Total.Accelerators)});
}

/// The learned size, or the declared size if no worker could hold the learned
/// one.
Resources plannedSize(const PoolOwner &Owner, const Demand &D) {
  Resources Size = expectedSize(Owner.Learned, {D.Team, D.Queue}, D.Size);
  return couldHold(Owner.Workers, Size) ? Size : D.Size;
}

WaitRank rankOf(const PoolOwner &Owner, const Demand &D) {
  TimePoint Before = D.Arrived + Owner.Options.OvertakeLimit;
  if (D.Deadline) {
    Duration Run = expectedRun(Owner.Learned, {D.Team, D.Queue}, D.Run);
    Before = std::min(Before, *D.Deadline - Run);
  }
  return {Before, D.Id};
}

void removeFromReady(PoolOwner &Owner, TeamId Id, OwnedTeam &Team) {
  if (!Team.Ready)
    return;
  Owner.ReadyTeams.erase({Team.VirtualTime, Id});
  Owner.ReadyUrgent.erase({Team.VirtualTime, Id});
  Team.Ready = false;
}

bool hasRoom(const PoolOwner &Owner, const OwnedTeam &Team) {
  return Team.Running + Owner.UnknownSlots < Team.Allotment;
}

void addToReady(PoolOwner &Owner, TeamId Id, OwnedTeam &Team) {
  if (Team.Waiting == 0 || !hasRoom(Owner, Team))
    return;
  Team.Ready = true;
  Owner.ReadyTeams.insert({Team.VirtualTime, Id});
  if (!Team.Urgent.empty())
    Owner.ReadyUrgent.insert({Team.VirtualTime, Id});
}

/// Updates the team's position in the fair order after any change; a team that
/// was not ready returns with a bounded credit.
void updateReady(PoolOwner &Owner, TeamId Id, OwnedTeam &Team, TimePoint Now) {
  bool WasReady = Team.Ready;
  removeFromReady(Owner, Id, Team);
  if (!WasReady && Team.Waiting > 0)
    Team.VirtualTime =
        std::max(Team.VirtualTime, minReturnTime(Owner.Clock, Now));
  addToReady(Owner, Id, Team);
}

void charge(PoolOwner &Owner, TeamId Id, OwnedTeam &Team, double SlotSeconds) {
  bool WasReady = Team.Ready;
  removeFromReady(Owner, Id, Team);
  Team.VirtualTime += SlotSeconds / std::max<std::uint32_t>(Team.Share, 1);
  if (WasReady)
    addToReady(Owner, Id, Team);
}

void dropReservation(PoolOwner &Owner, DemandId Id) {
  auto IsFor = [&](const Reservation &R) { return R.For == Id; };
  // Others may use the worker again.
  if (std::erase_if(Owner.Reserved, IsFor) > 0)
    Owner.SizesWithoutRoom.clear();
}

/// Removes a demand from all queues and orders that contain it.
WaitingDemand take(PoolOwner &Owner, DemandId Id) {
  auto It = Owner.Waiting.find(Id);
  WaitingDemand W = It->second;
  OwnedTeam &Team = Owner.Teams[W.Asked.Team];
  bool WasReady = Team.Ready;
  removeFromReady(Owner, W.Asked.Team, Team);
  SizedQueues &Queues = W.Asked.Urgent ? Team.Urgent : Team.Ordinary;
  auto Sized = Queues.find(W.Planned);
  Sized->second.erase(W.Rank);
  if (Sized->second.empty())
    Queues.erase(Sized);
  --Team.Waiting;
  if (W.Asked.Deadline)
    Owner.Deadlines.erase({*W.Asked.Deadline, Id});
  Owner.Waiting.erase(It);
  dropReservation(Owner, Id);
  if (WasReady)
    addToReady(Owner, W.Asked.Team, Team);
  return W;
}

/// Sets \p Best to the earliest rank of it and \p Queues, ignoring sizes that
/// had no room.
void considerQueues(const PoolOwner &Owner, const SizedQueues &Queues,
                    const WaitRank *&Best) {
  for (const auto &[Size, Ranks] : Queues) {
    if (Owner.SizesWithoutRoom.contains(Size))
      continue;
    if (!Best || *Ranks.begin() < *Best)
      Best = &*Ranks.begin();
  }
}

const WaitingDemand *nextOf(const PoolOwner &Owner, const OwnedTeam &Team,
                            bool OnlyUrgent) {
  const WaitRank *Best = nullptr;
  considerQueues(Owner, Team.Urgent, Best);
  if (!OnlyUrgent)
    considerQueues(Owner, Team.Ordinary, Best);
  return Best ? &Owner.Waiting.at(Best->Id) : nullptr;
}

std::vector<WorkerId> reservedForOthers(const PoolOwner &Owner,
                                        const Resources &Size) {
  std::vector<WorkerId> Workers;
  for (const Reservation &R : Owner.Reserved)
    if (R.Size != Size)
      Workers.push_back(R.Worker);
  return Workers;
}

std::uint32_t reservationLimit(const PoolOwner &Owner) {
  double Part = Owner.Options.ReservedPart *
                static_cast<double>(Owner.Workers.Workers.size());
  return std::max(1U, static_cast<std::uint32_t>(Part));
}

/// The least loaded open worker without a reservation that could hold \p Size
/// when empty.
std::optional<WorkerId> leastLoadedFor(const PoolOwner &Owner,
                                       const Resources &Size) {
  std::optional<WorkerId> Best;
  std::uint32_t BestLoad = std::numeric_limits<std::uint32_t>::max();
  for (const auto &[Key, W] : Owner.Workers.Workers) {
    WorkerId Id = Key;
    bool Usable = W.Worker.Open && fits(Size, W.Worker.Total);
    auto IsSame = [Id](const Reservation &R) { return R.Worker == Id; };
    if (!Usable || W.Rank.Load >= BestLoad ||
        std::any_of(Owner.Reserved.begin(), Owner.Reserved.end(), IsSame))
      continue;
    Best = Id;
    BestLoad = W.Rank.Load;
  }
  return Best;
}

/// Reserves a worker for a demand that smaller ones have overtaken for long.
void reserveFor(PoolOwner &Owner, const WaitingDemand &W, TimePoint Now) {
  if (Now - W.Asked.Arrived < Owner.Options.ReserveAfter ||
      Owner.Reserved.size() >= reservationLimit(Owner))
    return;
  auto IsSame = [&](const Reservation &R) { return R.Size == W.Planned; };
  if (std::any_of(Owner.Reserved.begin(), Owner.Reserved.end(), IsSame))
    return;
  std::optional<WorkerId> Worker = leastLoadedFor(Owner, W.Planned);
  if (Worker)
    Owner.Reserved.push_back({*Worker, W.Planned, W.Asked.Id});
}

/// Drops reservations on closed workers, and those of teams that may start
/// nothing.
void dropIdleReservations(PoolOwner &Owner) {
  auto IsIdle = [&](const Reservation &R) {
    const WaitingDemand &W = Owner.Waiting.at(R.For);
    auto It = Owner.Workers.Workers.find(R.Worker);
    bool Open = It != Owner.Workers.Workers.end() && It->second.Worker.Open;
    return !Open || !Owner.Teams.at(W.Asked.Team).Ready;
  };
  if (std::erase_if(Owner.Reserved, IsIdle) > 0)
    Owner.SizesWithoutRoom.clear();
}

/// Makes all sizes eligible again periodically, so that a size without room for
/// long gets a worker reserved.
void retryAllSizes(PoolOwner &Owner, TimePoint Now) {
  if (Now - Owner.SizesRetriedAt < RetrySizesEvery)
    return;
  Owner.SizesRetriedAt = Now;
  Owner.SizesWithoutRoom.clear();
}

Grant grantTo(PoolOwner &Owner, DemandId Id, WorkerId Worker, TimePoint Now,
              TimePoint NotAfter) {
  WaitingDemand W = take(Owner, Id);
  const Demand &D = W.Asked;
  OwnedTeam &Team = Owner.Teams[D.Team];
  Duration Run = expectedRun(Owner.Learned, {D.Team, D.Queue}, D.Run);
  double Equivalent = slotEquivalent(Owner, Worker, W.Planned);
  RunningTask Task{
      Id,      D.Team, Worker,   W.Planned, Now,
      D.Queue, D.Run,  NotAfter, D.Urgent,  Equivalent * secondsOf(Run)};
  Owner.Running[Id] = Task;
  Owner.UrgentRunning += D.Urgent ? 1 : 0;
  occupy(Owner.Workers, Worker, W.Planned);
  ++Team.Running;
  charge(Owner, D.Team, Team, Task.Charged);
  updateReady(Owner, D.Team, Team, Now);
  return {Id, D.Team, Worker, NotAfter};
}

/// The next grant from one order of teams; std::nullopt if none of its demands
/// has room.
std::optional<Grant> grantNext(PoolOwner &Owner, bool OnlyUrgent, TimePoint Now,
                               TimePoint NotAfter) {
  const std::set<TeamRank> &Order =
      OnlyUrgent ? Owner.ReadyUrgent : Owner.ReadyTeams;
  for (const TeamRank &Rank : Order) {
    const OwnedTeam &Team = Owner.Teams.at(Rank.Id);
    while (const WaitingDemand *W = nextOf(Owner, Team, OnlyUrgent)) {
      std::vector<WorkerId> Reserved = reservedForOthers(Owner, W->Planned);
      std::optional<WorkerId> Worker =
          findPlace(Owner.Workers, {W->Planned, W->Asked.Avoid, Reserved});
      if (!Worker) {
        reserveFor(Owner, *W, Now);
        Owner.SizesWithoutRoom.insert(W->Planned);
        continue;
      }
      // Urgent work is started out of turn and doesn't advance virtual time.
      if (!OnlyUrgent)
        advance(Owner.Clock, Rank.VirtualTime, Now);
      return grantTo(Owner, W->Asked.Id, *Worker, Now, NotAfter);
    }
  }
  return std::nullopt;
}

bool mayStartUrgent(const PoolOwner &Owner) {
  double Limit = Owner.Options.UrgentPart * Owner.Workers.OpenSlots;
  return Owner.UrgentRunning < std::max(1.0, Limit);
}

void refuseExpired(PoolOwner &Owner, TimePoint Now, PoolDecisions &Decided) {
  while (!Owner.Deadlines.empty() && Owner.Deadlines.begin()->Before <= Now) {
    DemandId Id = Owner.Deadlines.begin()->Id;
    take(Owner, Id);
    Decided.Refusals.push_back({Id, Reason::DeadlinePassed});
  }
}

/// Makes the sizes eligible again that have room on a worker after a task ended
/// there.
void retrySizes(PoolOwner &Owner, WorkerId Id) {
  auto It = Owner.Workers.Workers.find(Id);
  if (It == Owner.Workers.Workers.end())
    return;
  std::erase_if(Owner.SizesWithoutRoom, [&](const Resources &Size) {
    return hasRoom(It->second, Size);
  });
}

} // namespace

bool ResourcesLess::operator()(const Resources &A, const Resources &B) const {
  return std::tie(A.MilliCpus, A.MemoryMb, A.Accelerators) <
         std::tie(B.MilliCpus, B.MemoryMb, B.Accelerators);
}

Reason enqueue(PoolOwner &Owner, Demand D, TimePoint Now) {
  if (Owner.Waiting.contains(D.Id))
    return Reason::None;
  if (D.Deadline && *D.Deadline <= Now)
    return Reason::DeadlinePassed;
  if (Owner.Waiting.size() >= Owner.Options.WaitingLimit)
    return Reason::QueueFull;
  bool HasWorkers = !Owner.Workers.Workers.empty();
  if (HasWorkers && !couldHold(Owner.Workers, D.Size))
    return Reason::NeverRunnable;
  WaitingDemand W{D, plannedSize(Owner, D), rankOf(Owner, D)};
  OwnedTeam &Team = Owner.Teams[D.Team];
  SizedQueues &Queues = D.Urgent ? Team.Urgent : Team.Ordinary;
  Queues[W.Planned].insert(W.Rank);
  ++Team.Waiting;
  if (D.Deadline)
    Owner.Deadlines.insert({*D.Deadline, D.Id});
  Owner.Waiting.emplace(D.Id, W);
  updateReady(Owner, D.Team, Team, Now);
  return Reason::None;
}

bool cancel(PoolOwner &Owner, DemandId Id) {
  if (!Owner.Waiting.contains(Id))
    return false;
  take(Owner, Id);
  return true;
}

bool finish(PoolOwner &Owner, DemandId Id, Duration Ran, TimePoint Now) {
  auto It = Owner.Running.find(Id);
  if (It == Owner.Running.end())
    return false;
  RunningTask Task = It->second;
  Owner.Running.erase(It);
  Owner.UrgentRunning -= Task.Urgent ? 1 : 0;
  vacate(Owner.Workers, Task.Worker, Task.Size);
  retrySizes(Owner, Task.Worker);
  if (Ran.count() > 0)
    observeRun(Owner.Learned, {Task.Team, Task.Queue}, Task.Run, Ran);
  OwnedTeam &Team = Owner.Teams[Task.Team];
  --Team.Running;
  double Equivalent = slotEquivalent(Owner, Task.Worker, Task.Size);
  charge(Owner, Task.Team, Team, Equivalent * secondsOf(Ran) - Task.Charged);
  updateReady(Owner, Task.Team, Team, Now);
  return true;
}

void adopt(PoolOwner &Owner, const RunningTask &Task, TimePoint Now) {
  if (!Owner.Running.emplace(Task.Id, Task).second)
    return;
  if (Owner.Waiting.contains(Task.Id))
    take(Owner, Task.Id);
  Owner.UrgentRunning += Task.Urgent ? 1 : 0;
  occupy(Owner.Workers, Task.Worker, Task.Size);
  OwnedTeam &Team = Owner.Teams[Task.Team];
  ++Team.Running;
  updateReady(Owner, Task.Team, Team, Now);
}

void setTeam(PoolOwner &Owner, TeamId Id, std::uint32_t Share,
             std::uint32_t Allotment, TimePoint Now) {
  OwnedTeam &Team = Owner.Teams[Id];
  if (Team.Share == Share && Team.Allotment == Allotment)
    return;
  Team.Share = Share;
  Team.Allotment = Allotment;
  updateReady(Owner, Id, Team, Now);
}

void setWorkers(PoolOwner &Owner, std::span<const PoolWorker> Workers) {
  setWorkers(Owner.Workers, Workers);
  Owner.SizesWithoutRoom.clear();
}

void setUnknownSlots(PoolOwner &Owner, std::uint32_t Slots, TimePoint Now) {
  if (Owner.UnknownSlots == Slots)
    return;
  Owner.UnknownSlots = Slots;
  for (auto &[Id, Team] : Owner.Teams)
    updateReady(Owner, Id, Team, Now);
}

PoolDecisions decide(PoolOwner &Owner, TimePoint Now, TimePoint NotAfter) {
  PoolDecisions Decided;
  refuseExpired(Owner, Now, Decided);
  dropIdleReservations(Owner);
  retryAllSizes(Owner, Now);
  while (Owner.Workers.FreeSlots > 0) {
    std::optional<Grant> G;
    if (!Owner.ReadyUrgent.empty() && mayStartUrgent(Owner))
      G = grantNext(Owner, true, Now, NotAfter);
    if (!G)
      G = grantNext(Owner, false, Now, NotAfter);
    if (!G)
      break;
    Decided.Grants.push_back(*G);
  }
  return Decided;
}

} // namespace comfreydeck::core
