#ifndef COMFREYDECK_CORE_MAINTENANCE_H
#define COMFREYDECK_CORE_MAINTENANCE_H

#include "core/Drain.h"
#include "core/FailureInference.h"
#include "core/Wave.h"

/// One step of a pool's maintenance, planned by the pool's owner.
namespace comfreydeck::core {

/// An instance of the pool and the owner's view of it.
struct PoolInstance {
  Instance Row;
  InstanceObservation Seen;
  InferredHealth Inferred = InferredHealth::Healthy;
  /// Whether its data centre is in service.
  bool DataCentreIn = true;

  bool isUsable() const {
    return Inferred == InferredHealth::Healthy && DataCentreIn;
  }
};

/// All inputs of a step.
struct PoolSnapshot {
  Pool Limits;
  std::vector<PoolInstance> Instances;
  BudgetLedger Ledger;
  std::vector<Wave> Waves;
  DrainTimes Times;
  std::int64_t IntervalMs = MaintenanceIntervalMs;
  std::int64_t NowUnixMs = 0;
};

/// A change of one row and the event that causes it.
struct InstanceChange {
  Instance After;
  InstanceEvent Event = InstanceEvent::DrainPermitted;
};

/// The state of one wave within the pool.
struct WavePart {
  WaveId Wave;
  WaveProgress Progress;
  /// The wave must be paused if this is WaveHold::Failures.
  WaveHold Hold = WaveHold::None;
  /// The refused permit if Hold is WaveHold::Budget.
  Permit Refusal;
};

/// Result of a step; the rows and the ledger are written in one transaction.
struct PoolPlan {
  std::vector<InstanceChange> Changes;
  BudgetLedger Ledger;
  std::vector<WavePart> Waves;
};

/// Plans the next state changes from the owner's view of the instances, the
/// waves and the regular maintenance schedule. Thread-safe.
PoolPlan planPool(const PoolSnapshot &Snapshot);

/// An operator's request to drain one instance.
struct DrainRequest {
  WorkerId Id;
  /// The pool to move to; invalid if it stays.
  PoolId MoveTo;
  bool Reboot = false;
};

struct DrainDecision {
  Permit Answer;
  /// Empty if the permit is refused.
  PoolPlan Plan;
};

/// Permits the drain or refuses it with a reason. Precondition: the instance is
/// in the snapshot. Thread-safe.
DrainDecision decideDrain(const PoolSnapshot &Snapshot,
                          const DrainRequest &Request);

/// Returns an instance to service. The plan is empty if the instance is neither
/// draining nor empty. Thread-safe.
PoolPlan planReturn(const PoolSnapshot &Snapshot, WorkerId Id);

/// Classifies each instance for the budgets, in the order of the snapshot,
/// which must outlive the result. Thread-safe.
std::vector<BudgetMember> membersOf(const PoolSnapshot &Snapshot);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_MAINTENANCE_H
