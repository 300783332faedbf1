#ifndef COMFREYDECK_JOBS_JOBEND_H
#define COMFREYDECK_JOBS_JOBEND_H

#include "jobs/Job.h"

#include <cstddef>
#include <optional>

namespace comfreydeck::jobs {

/// Why an owner takes a job for ended.
enum class JobEndCause : std::uint8_t {
  TasksDone,
  /// A task, or a gang, has failed as often as its job allows.
  FailedRuns,
  /// Workers have crashed under one of its tasks again and again.
  Crashes,
  Cancelled,
  /// Its stored progress says so.
  Stored,
};

const char *nameOf(JobEndCause Cause);

/// The state of a job that has ended for the cause; nothing if its stored
/// progress tells.
std::optional<JobState> stateAfter(JobEndCause Cause);

/// The end of a job with lasting tasks, which stops all of its runs whatever
/// their steps allow, for logs.
struct LastingJobEnd {
  std::string JobId;
  JobState State = JobState::Cancelled;
  JobEndCause Cause = JobEndCause::Cancelled;
  /// Runs of lasting tasks that it stops, and how many of them a report has
  /// shown at work.
  std::size_t Runs = 0;
  std::size_t AtWork = 0;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_JOBEND_H
