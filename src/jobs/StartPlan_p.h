#ifndef COMFREYDECK_JOBS_STARTPLAN_P_H
#define COMFREYDECK_JOBS_STARTPLAN_P_H

#include "jobs/PoolState.h"

namespace comfreydeck::jobs {

/// Decides which tasks start now and where. Lives for one planning.
class StartPlan {
public:
  StartPlan(PoolState &Owner, const PlanInput &In);

  /// Reserves what it starts.
  std::vector<StartOrder> run();

private:
  struct Candidate {
    JobRecord *Job = nullptr;
    bool Lasting = false;
    bool Late = false;
    std::uint32_t Priority = 0;
    double DeadlineMs = 0;
    /// Processor time that is left, in thousandths of a core times
    /// milliseconds.
    double RemainingWork = 0;
  };

  Candidate assess(JobRecord &Job) const;
  static bool before(const Candidate &A, const Candidate &B);
  void planJob(JobRecord &Job);
  void planGang(JobRecord &Job, std::uint32_t First, const StepSpec &Step);
  bool mayStart(const JobRecord &Job, std::uint32_t Task) const;
  bool hasTeamRoom(const JobRecord &Job, const StepSpec &Step,
                   std::uint32_t Count) const;
  bool isBeyondKnownLimit(const StepSpec &Step) const;
  WorkerState *chooseWorker(const JobRecord &Job, std::uint32_t Task,
                            const std::string &OnlyRack) const;
  bool canTake(const WorkerState &W) const;
  bool suits(const WorkerState &W, const JobRecord &Job, std::uint32_t Task,
             const StepSpec &Step) const;
  double score(const WorkerState &W, const JobRecord &Job, std::uint32_t Task,
               const StepSpec &Step) const;
  std::uint32_t mates(const WorkerState &W, const JobRecord &Job,
                      std::uint32_t Task) const;
  void start(JobRecord &Job, std::uint32_t Task, WorkerState &W, RunId Run);
  RunId nextRun();

  PoolState &Owner_;
  const PlanInput &In_;
  bool AllHeard_;
  std::vector<WorkerState *> Usable_;
  /// Needs for which no worker had room.
  std::vector<core::Resources> Unplaced_;
  std::vector<StartOrder> Starts_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_STARTPLAN_P_H
