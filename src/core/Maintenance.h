#ifndef COMFREYDECK_CORE_MAINTENANCE_H
#define COMFREYDECK_CORE_MAINTENANCE_H

#include "core/Drain.h"
#include "core/FailureInference.h"
#include "core/Wave.h"

/// One step of a pool's maintenance, as its owner takes it.
namespace comfreydeck::core {

/// An instance of the pool and what its owner sees of it.
struct PoolInstance {
  Instance Row;
  InstanceObservation Seen;
  Inference Inferred = Inference::Healthy;
  /// Whether its data centre is in.
  bool DataCentreIn = true;

  bool isUsable() const {
    return Inferred == Inference::Healthy && DataCentreIn;
  }
};

/// All that a step decides from.
struct PoolSnapshot {
  Pool Limits;
  std::vector<PoolInstance> Instances;
  BudgetLedger Ledger;
  std::vector<Wave> Waves;
  DrainTimes Times;
  std::int64_t IntervalMs = MaintenanceIntervalMs;
  std::int64_t NowUnixMs = 0;
};

/// A change of one row and why it is made.
struct InstanceChange {
  Instance After;
  InstanceEvent Event = InstanceEvent::DrainPermitted;
};

/// The pool's part of one wave.
struct WavePart {
  WaveId Wave;
  WaveProgress Progress;
  /// Failures: the wave has to be paused.
  WaveHold Hold = WaveHold::None;
  /// The refusal that holds it back, where it is the budget.
  Permit Refusal;
};

/// What a step decided; its rows and the ledger are written in one transaction.
struct PoolPlan {
  std::vector<InstanceChange> Changes;
  BudgetLedger Ledger;
  std::vector<WavePart> Waves;
};

/// What follows from what the instances do, from the waves and from the
/// standing schedule. Thread-safe.
PoolPlan planPool(const PoolSnapshot &Snapshot);

/// An operator's wish to drain one instance.
struct DrainWish {
  WorkerId Id;
  /// Where it shall move; invalid where it stays.
  PoolId MoveTo;
  bool Reboot = false;
};

struct DrainDecision {
  Permit Answer;
  /// Empty where the permit is refused.
  PoolPlan Plan;
};

/// Permits the drain or says why not. Precondition: the instance is in the
/// snapshot. Thread-safe.
DrainDecision decideDrain(const PoolSnapshot &Snapshot, const DrainWish &Wish);

/// Puts an instance back into service; an empty plan where it is not out by a
/// permit. Thread-safe.
PoolPlan planReturn(const PoolSnapshot &Snapshot, WorkerId Id);

/// How each instance counts, in the order of the snapshot, which must outlive
/// the result. Thread-safe.
std::vector<BudgetMember> membersOf(const PoolSnapshot &Snapshot);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_MAINTENANCE_H
