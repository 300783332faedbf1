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

/// The scheduling decisions of a pool's owner: which demand starts next, and on
/// which worker.
namespace comfreydeck::core {

/// Identifies a demand: the entry that holds the request and a sequence number.
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
  /// Declared run time; zero if the caller declared none.
  Duration Run{0};
  TimePoint Arrived;
  std::optional<TimePoint> Deadline;
  bool Urgent = false;
  /// A worker that failed an earlier attempt; used only if no other worker has
  /// room.
  WorkerId Avoid;
};

/// Permission to start one task on one worker.
struct Grant {
  DemandId Id;
  TeamId Team;
  WorkerId Worker;
  /// The start must reach the worker before this.
  TimePoint NotAfter;
};

/// A demand that was refused while it waited.
struct Refusal {
  DemandId Id;
  Reason Why = Reason::None;
};

/// A task that occupies a slot until its end is confirmed.
struct RunningTask {
  DemandId Id;
  TeamId Team;
  WorkerId Worker;
  Resources Size;
  TimePoint Started;
  QueueId Queue;
  /// Declared run time.
  Duration Run{0};
  /// Workers accept no start of it after this.
  TimePoint NotAfter;
  bool Urgent = false;
  /// Service charged to its team in advance, in slot seconds.
  double Charged = 0;
};

/// A demand's position within its team, ordered by the latest start time. That
/// time is at most \ref PoolOwnerOptions::OvertakeLimit after the arrival.
struct WaitRank {
  TimePoint Before;
  DemandId Id;
  auto operator<=>(const WaitRank &) const = default;
};

/// A waiting demand. Its rank and planned size are fixed on arrival.
struct WaitingDemand {
  Demand Asked;
  Resources Planned;
  WaitRank Rank;
};

/// A strict weak order of sizes, for use as keys only.
struct ResourcesLess {
  bool operator()(const Resources &A, const Resources &B) const;
};

/// Demands of one team by size, so that a size without room doesn't block the
/// others.
using SizedQueues = std::map<Resources, std::set<WaitRank>, ResourcesLess>;

/// The state that the owner keeps for a team.
struct OwnedTeam {
  std::uint32_t Share = 1;
  /// How many tasks of the team may run in this pool at once.
  std::uint32_t Allotment = 0;
  std::uint32_t Running = 0;
  /// Service received divided by share; the team with the least is served
  /// first.
  double VirtualTime = 0;
  std::uint32_t Waiting = 0;
  SizedQueues Ordinary;
  SizedQueues Urgent;
  /// Whether the owner's orders of ready teams contain it.
  bool Ready = false;
};

/// A team's position in the fair order.
struct TeamRank {
  double VirtualTime = 0;
  TeamId Id;
  auto operator<=>(const TeamRank &) const = default;
};

/// A worker that is kept free for a demand that was overtaken for long.
struct Reservation {
  WorkerId Worker;
  Resources Size;
  DemandId For;
};

/// Bounds of a pool owner's decisions.
struct PoolOwnerOptions {
  std::uint32_t WaitingLimit = 20000;
  /// Fraction of the slots that urgent work may use ahead of the fair order.
  double UrgentPart = 0.5;
  /// Within a team, no demand is overtaken by demands that arrive more than
  /// this after it.
  Duration OvertakeLimit = std::chrono::seconds(30);
  /// A demand without room for longer than this gets a worker reserved.
  Duration ReserveAfter = std::chrono::seconds(2);
  /// Fraction of the workers that may be reserved; at least one worker may.
  double ReservedPart = 0.125;
};

/// The state of the owner of one pool. Modified only by the functions below.
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
  /// Teams with waiting demands and room in their allotments; \ref ReadyUrgent
  /// holds those with urgent demands.
  std::set<TeamRank> ReadyTeams;
  std::set<TeamRank> ReadyUrgent;
  /// Sizes that had no room when last tried, and when all sizes were last made
  /// eligible again.
  std::set<Resources, ResourcesLess> SizesWithoutRoom;
  TimePoint SizesRetriedAt;
  std::vector<Reservation> Reserved;
  std::uint32_t UrgentRunning = 0;
  /// Slots in use by unknown tasks; they count against every team's allotment.
  std::uint32_t UnknownSlots = 0;
};

/// The decisions of one call of \ref decide.
struct PoolDecisions {
  std::vector<Grant> Grants;
  std::vector<Refusal> Refusals;
};

/// Queues \p D and returns Reason::None, or returns why it is refused. A demand
/// that is already waiting keeps its position.
Reason enqueue(PoolOwner &Owner, Demand D, TimePoint Now);

/// Removes a waiting demand from the queue; false if it is not waiting.
bool cancel(PoolOwner &Owner, DemandId Id);

/// Confirms the end of a task that ran for \p Ran; false if the task is
/// unknown. A task that never started has a \p Ran of zero.
bool finish(PoolOwner &Owner, DemandId Id, Duration Ran, TimePoint Now);

/// Adds a task that is already running, as a new owner learns of it. Does
/// nothing if the task is known.
void adopt(PoolOwner &Owner, const RunningTask &Task, TimePoint Now);

/// Sets the share of a team and how many of its tasks may run in this pool.
void setTeam(PoolOwner &Owner, TeamId Id, std::uint32_t Share,
             std::uint32_t Allotment, TimePoint Now);

/// Replaces the pool's workers.
void setWorkers(PoolOwner &Owner, std::span<const PoolWorker> Workers);

/// Sets the number of slots in use by unknown tasks.
void setUnknownSlots(PoolOwner &Owner, std::uint32_t Slots, TimePoint Now);

/// Refuses expired demands and grants every slot that may be granted at \p Now.
/// Each grant gets \p NotAfter, which must not be later than the end of the
/// owner's lease.
PoolDecisions decide(PoolOwner &Owner, TimePoint Now, TimePoint NotAfter);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_POOLOWNER_H
