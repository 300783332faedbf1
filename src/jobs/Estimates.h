#ifndef COMFREYDECK_JOBS_ESTIMATES_H
#define COMFREYDECK_JOBS_ESTIMATES_H

#include "jobs/JobRecord.h"

#include <deque>
#include <map>
#include <string>

namespace comfreydeck::jobs {

/// Expected run time of a task of the step near its data, in milliseconds: the
/// measured mean of its queue, or the caller's estimate while there are too few
/// samples.
double runTimeMs(const JobRecord &Job, const StepSpec &Step);

/// What an owner expects from the jobs and runs that it has seen: their rate of
/// arrival and the run times of their tasks. Not thread-safe.
class Estimates {
public:
  /// \p RemoteFactor: how many times as long a task takes away from its data.
  explicit Estimates(double RemoteFactor) : RemoteFactor_(RemoteFactor) {}

  /// Run times of the queue's tasks; valid as long as this object.
  RunTimes &timesOf(const std::string &Queue) { return RunTimes_[Queue]; }
  /// Records that the job has arrived.
  void recordArrival(const JobRecord &Job, core::TimePoint Now);
  /// CPU that jobs arriving at the present rate keep busy, in thousandths of a
  /// core.
  std::uint64_t arrivingCpu(core::TimePoint Now) const;
  /// Records that a task of the step was done in \p Time on the worker.
  void recordRunTime(const JobRecord &Job, const StepSpec &Step,
                     const WorkerEntry &Entry, core::Duration Time);
  /// Expected time of a run of the step on the worker, in milliseconds.
  double runTimeOnMs(const JobRecord &Job, const StepSpec &Step,
                     const WorkerEntry &Entry) const;

private:
  double RemoteFactor_;
  /// By queue.
  std::map<std::string, RunTimes> RunTimes_;
  /// Arrival times of recent jobs and the CPU time of their tasks that are
  /// neither lasting nor filling, in thousandths of a core times milliseconds.
  std::deque<std::pair<core::TimePoint, double>> Arrivals_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_ESTIMATES_H
