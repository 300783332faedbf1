#ifndef COMFREYDECK_JOBS_STARTPLAN_P_H
#define COMFREYDECK_JOBS_STARTPLAN_P_H

#include "jobs/PoolState.h"

namespace comfreydeck::jobs {

/// Decides which tasks start now and where. Used for one planning round.
class StartPlan {
public:
  StartPlan(PoolState &Owner, const PlanInput &In);

  /// Returns the starts and reserves their resources.
  std::vector<StartOrder> run();
  /// The longest wait of a lasting task if it is long. Call after \ref run.
  std::optional<LongWait> findLongWait() const;

private:
  struct Candidate {
    JobRecord *Job = nullptr;
    bool Lasting = false;
    bool Late = false;
    std::uint32_t Priority = 0;
    double DeadlineMs = 0;
    /// CPU time of the unfinished tasks, in thousandths of a core times
    /// milliseconds.
    double RemainingWork = 0;
  };

  Candidate assess(JobRecord &Job);
  static bool before(const Candidate &A, const Candidate &B);
  /// Whether some waiting task of the job may fit. Free resources only decrease
  /// during planning, so a job that does not fit is not considered again.
  bool mayFit(JobRecord &Job) const;
  void planJob(JobRecord &Job);
  void planGang(JobRecord &Job, std::uint32_t First, const StepSpec &Step);
  bool mayStart(const JobRecord &Job, std::uint32_t Task) const;
  static bool hasTeamRoom(const JobRecord &Job, const StepSpec &Step,
                          std::uint32_t Count);
  bool isKnownUnplaceable(const StepSpec &Step) const;
  WorkerState *chooseWorker(JobRecord &Job, std::uint32_t Task,
                            const std::string &OnlyRack) const;
  bool canTake(const WorkerState &W) const;
  static bool meetsConstraints(const WorkerState &W, JobRecord &Job,
                               std::uint32_t Task, const StepSpec &Step);
  static bool hasLabel(const WorkerState &W, const StepSpec &Step);
  static bool hasSpread(const WorkerState &W, JobRecord &Job,
                        std::uint32_t Task, const StepSpec &Step);
  PlacementCounts countPlacements(JobRecord &Job, std::uint32_t Task) const;
  double score(const WorkerState &W, const JobRecord &Job, std::uint32_t Task,
               const StepSpec &Step) const;
  static std::uint32_t countStepRuns(const WorkerState &W, JobRecord &Job,
                                     std::uint32_t Task);
  void start(JobRecord &Job, std::uint32_t Task, WorkerState &W, RunId Run);
  RunId nextRun();

  PoolState &Owner_;
  const PlanInput &In_;
  bool AllHeard_;
  std::vector<WorkerState *> Usable_;
  /// Maximum of each free resource over the usable workers.
  core::Resources MostFree_;
  /// Resource needs for which no worker had room.
  std::vector<core::Resources> Unplaced_;
  std::vector<StartOrder> Starts_;
  /// Run time of the longest chain up to each step of one job, in milliseconds:
  /// in total, and for the unfinished steps.
  std::vector<double> ChainMs_;
  std::vector<double> ChainLeftMs_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_STARTPLAN_P_H
