#ifndef COMFREYDECK_CORE_POOLOWNER_H
#define COMFREYDECK_CORE_POOLOWNER_H

#include "core/Estimates.h"
#include "core/FairClock.h"
#include "core/Types.h"
#include "core/Verdict.h"
#include "core/WorkerIndex.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

/// The decisions of a pool's owner: which demand starts next, on which worker.
namespace comfreydeck::core {

/// Names a demand: the entry that holds the request and its running number.
struct DemandId {
  Incarnation From;
  std::uint64_t Number = 0;
  auto operator<=>(const DemandId &) const = default;
};

/// One request that waits for a slot.
struct Demand {
  DemandId Id;
  TeamId Team;
  QueueId Queue;
  Resources Size;
  /// Declared run time; zero where the caller said nothing.
  Duration Run{0};
  TimePoint Arrived;
  std::optional<TimePoint> Deadline;
  bool Urgent = false;
  /// A worker that failed an earlier attempt; taken only where nothing else has
  /// room.
  WorkerId Avoid;
};

/// Leave to start one task on one worker.
struct Grant {
  DemandId Id;
  TeamId Team;
  WorkerId Worker;
  /// The start must reach the worker before this.
  TimePoint NotAfter;
};

/// A demand that was given up.
struct Refusal {
  DemandId Id;
  Reason Why = Reason::None;
};

/// A task that holds a slot. It counts until its end is confirmed.
struct RunningTask {
  DemandId Id;
  TeamId Team;
  WorkerId Worker;
  Resources Size;
  TimePoint Started;
  QueueId Queue;
  /// Declared run time.
  Duration Run{0};
  /// No start of it is accepted after this.
  TimePoint NotAfter;
  bool Urgent = false;
  /// Service that its team was charged ahead, in slot seconds.
  double Charged = 0;
};

/// A demand's place within its team: by the latest time to start, which for no
/// demand is more than a bound after its arrival.
struct WaitRank {
  TimePoint Before;
  DemandId Id;
  auto operator<=>(const WaitRank &) const = default;
};

/// A demand as it waits; its place and planned size stay as they were on
/// arrival.
struct WaitingDemand {
  Demand Asked;
  Resources Planned;
  WaitRank Rank;
};

/// A strict order of sizes, for keys only.
struct ResourcesLess {
  bool operator()(const Resources &A, const Resources &B) const;
};

/// Demands of one team by their size, so that a size that has no room now
/// holds up no other.
using SizedQueues = std::map<Resources, std::set<WaitRank>, ResourcesLess>;

/// What the owner keeps of a team.
struct OwnedTeam {
  std::uint32_t Share = 1;
  /// How many tasks of the team may run in this pool at once.
  std::uint32_t Allotment = 0;
  std::uint32_t Running = 0;
  /// Service received over share; the least goes first.
  double VirtualTime = 0;
  std::uint32_t Waiting = 0;
  SizedQueues Ordinary;
  SizedQueues Urgent;
  /// Whether it stands in the owner's orders of ready teams.
  bool Ready = false;
};

/// A team's place in the fair order.
struct TeamRank {
  double VirtualTime = 0;
  TeamId Id;
  auto operator<=>(const TeamRank &) const = default;
};

/// A worker that is kept free for a demand that was passed over for long.
struct Reservation {
  WorkerId Worker;
  Resources Size;
  DemandId For;
};

/// Bounds of a pool owner's decisions.
struct PoolOwnerOptions {
  std::uint32_t WaitingLimit = 20000;
  /// Part of the slots that urgent work may take ahead of the fair order.
  double UrgentPart = 0.5;
  /// Within a team no demand is overtaken by ones that came later than this.
  Duration OvertakeLimit = std::chrono::seconds(30);
  /// A demand that had no room for longer gets a worker kept free.
  Duration PassedOverLimit = std::chrono::seconds(2);
  /// Part of the workers that may be kept free in this way; at least one.
  double ReservedPart = 0.125;
};

/// All that the owner of one pool keeps. Changed only by the functions below.
struct PoolOwner {
  PoolId Pool;
  Epoch Term;
  PoolOwnerOptions Options;
  WorkerIndex Workers;
  Estimates Learned;
  FairClock Clock;
  std::map<TeamId, OwnedTeam> Teams;
  std::map<DemandId, WaitingDemand> Waiting;
  std::map<DemandId, RunningTask> Running;
  /// Waiting demands by deadline.
  std::set<WaitRank> Deadlines;
  /// Teams with waiting demands and room in their allotments.
  std::set<TeamRank> ReadyTeams;
  std::set<TeamRank> ReadyUrgent;
  /// Sizes that had no room at the last try, and when all were last tried.
  std::set<Resources, ResourcesLess> NoRoom;
  TimePoint RoomTried;
  std::vector<Reservation> Reserved;
  std::uint32_t UrgentRunning = 0;
  /// Slots on workers whose tasks are not known; they count against every team.
  std::uint32_t UnknownSlots = 0;
};

/// What one step decided.
struct PoolDecisions {
  std::vector<Grant> Grants;
  std::vector<Refusal> Refusals;
};

/// Puts \p D in the queue, or says why not. A demand that waits already keeps
/// its place.
Reason enqueue(PoolOwner &Owner, Demand D, TimePoint Now);

/// Takes a waiting demand out of the queue; false where it does not wait.
bool cancel(PoolOwner &Owner, DemandId Id);

/// Confirms the end of a running task that took \p Ran; false where it is
/// unknown. A task that never started has a \p Ran of zero.
bool finish(PoolOwner &Owner, DemandId Id, Duration Ran, TimePoint Now);

/// Takes in a task that runs already, as a new owner learns of it. Nothing
/// happens where it is known.
void adopt(PoolOwner &Owner, const RunningTask &Task, TimePoint Now);

/// Sets what a team may have running in this pool.
void setTeam(PoolOwner &Owner, TeamId Id, std::uint32_t Share,
             std::uint32_t Allotment, TimePoint Now);

/// Puts the pool's present workers in place of the earlier ones.
void setWorkers(PoolOwner &Owner, std::span<const PoolWorker> Workers);

/// Sets how many slots hold tasks that nobody can name.
void setUnknownSlots(PoolOwner &Owner, std::uint32_t Slots, TimePoint Now);

/// Gives out every slot that may be given at \p Now. Each grant's not-after is
/// \p NotAfter, which is never later than the end of the owner's lease.
PoolDecisions decide(PoolOwner &Owner, TimePoint Now, TimePoint NotAfter);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_POOLOWNER_H
