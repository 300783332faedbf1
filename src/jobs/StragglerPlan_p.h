#ifndef COMFREYDECK_JOBS_STRAGGLERPLAN_P_H
#define COMFREYDECK_JOBS_STRAGGLERPLAN_P_H

#include "jobs/PoolState.h"

namespace comfreydeck::jobs {

/// Detects stragglers: runs so slow that a new run on another worker would
/// finish earlier. Used for one planning round.
class StragglerPlan {
public:
  StragglerPlan(PoolState &Owner, const PlanInput &In)
      : Owner_(Owner), In_(In) {}

  /// Stops stragglers, or requests a parallel copy if the step allows copies.
  void run();

private:
  void consider(WorkerState &W, JobRecord &Job, std::uint32_t Task,
                LiveRun &Run);
  bool isBehind(const WorkerState &W, const JobRecord &Job,
                const StepSpec &Step, const LiveRun &Run) const;
  bool mayBeUnavailable(const JobRecord &Job, std::uint32_t Task,
                        const StepSpec &Step, const LiveRun &Run) const;
  bool hasRoomElsewhere(const WorkerState &W, const StepSpec &Step) const;
  void recordSlowJob(WorkerState &W, const JobRecord &Job);

  PoolState &Owner_;
  const PlanInput &In_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_STRAGGLERPLAN_P_H
