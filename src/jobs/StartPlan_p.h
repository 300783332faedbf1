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

  Candidate assess(JobRecord &Job);
  static bool before(const Candidate &A, const Candidate &B);
  /// Whether something of the job may find room. Room only shrinks while this
  /// plans, so what doesn't fit once needs no other look.
  bool mayFindRoom(JobRecord &Job) const;
  void planJob(JobRecord &Job);
  void planGang(JobRecord &Job, std::uint32_t First, const StepSpec &Step);
  bool mayStart(const JobRecord &Job, std::uint32_t Task) const;
  static bool hasTeamRoom(const JobRecord &Job, const StepSpec &Step,
                          std::uint32_t Count);
  bool isBeyondKnownLimit(const StepSpec &Step) const;
  WorkerState *chooseWorker(JobRecord &Job, std::uint32_t Task,
                            const std::string &OnlyRack) const;
  bool canTake(const WorkerState &W) const;
  static bool suits(const WorkerState &W, JobRecord &Job, std::uint32_t Task,
                    const StepSpec &Step);
  double score(const WorkerState &W, const JobRecord &Job, std::uint32_t Task,
               const StepSpec &Step) const;
  static std::uint32_t mates(const WorkerState &W, JobRecord &Job,
                             std::uint32_t Task);
  void start(JobRecord &Job, std::uint32_t Task, WorkerState &W, RunId Run);
  RunId nextRun();

  PoolState &Owner_;
  const PlanInput &In_;
  bool AllHeard_;
  std::vector<WorkerState *> Usable_;
  /// Most of each kind that is free on any of these.
  core::Resources MostFree_;
  /// Needs for which no worker had room.
  std::vector<core::Resources> Unplaced_;
  std::vector<StartOrder> Starts_;
  /// Times of one job's chains of steps, whole and what is left of them.
  std::vector<double> Whole_;
  std::vector<double> Left_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_STARTPLAN_P_H
