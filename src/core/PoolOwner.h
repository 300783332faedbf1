#ifndef COMFREYDECK_CORE_POOLOWNER_H
#define COMFREYDECK_CORE_POOLOWNER_H

#include "core/Types.h"
#include "core/Verdict.h"

#include <deque>
#include <map>
#include <optional>
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
};

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
};

/// What the owner keeps of a team.
struct OwnedTeam {
  std::uint32_t Share = 1;
  /// How many tasks of the team may run in this pool at once.
  std::uint32_t Allotment = 0;
  std::uint32_t Running = 0;
  /// Service received over share; the least goes first.
  double VirtualTime = 0;
  std::deque<Demand> Waiting;
};

/// All that the owner of one pool keeps.
struct PoolOwner {
  PoolId Pool;
  Epoch Term;
  std::map<TeamId, OwnedTeam> Teams;
  std::map<WorkerId, PoolWorker> Workers;
  std::map<DemandId, RunningTask> Running;
  std::uint32_t WaitingLimit = 20000;
};

/// What one step decided.
struct PoolDecisions {
  std::vector<Grant> Grants;
  std::vector<Refusal> Refusals;
};

/// Puts \p D in the queue, or says why not. Not thread-safe.
Reason enqueue(PoolOwner &Owner, Demand D);

/// Takes a waiting demand out of the queue; false where it does not wait.
bool cancel(PoolOwner &Owner, DemandId Id);

/// Confirms the end of a running task; false where it is unknown.
bool finish(PoolOwner &Owner, DemandId Id, TimePoint Now);

/// Sets what a team may have running in this pool.
void setTeam(PoolOwner &Owner, TeamId Id, std::uint32_t Share,
             std::uint32_t Allotment);

/// Puts the pool's present workers in place of the earlier ones.
void setWorkers(PoolOwner &Owner, std::span<const PoolWorker> Workers);

/// Gives out every slot that may be given at \p Now. Each grant's not-after is
/// \p NotAfter, which is never later than the end of the owner's lease.
PoolDecisions decide(PoolOwner &Owner, TimePoint Now, TimePoint NotAfter);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_POOLOWNER_H
