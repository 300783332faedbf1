#ifndef COMFREYDECK_JOBS_STOPDECISION_H
#define COMFREYDECK_JOBS_STOPDECISION_H

#include "jobs/Worker.h"

namespace comfreydeck::jobs {

/// Why an owner stops a run.
enum class StopReason : std::uint8_t {
  /// Its task has another run.
  Duplicate,
  /// Its worker is closed for maintenance, and another one has room.
  WorkerClosed,
  /// The same, without room elsewhere: it waits for the worker's maintenance.
  WorkerEmptied,
  Straggler,
  /// Another member of its gang has ended, so that it can't go on.
  GangBroken,
  /// Found after its job had ended or was cancelled.
  JobEnded,
};

const char *nameOf(StopReason Reason);

/// A decision to stop one run of a lasting task, with the state it was based
/// on.
struct StopDecision {
  TaskRef Task;
  RunId Run = 0;
  std::string Worker;
  StopReason Reason = StopReason::WorkerClosed;
  /// The run's last reported progress.
  std::uint32_t Percent = 0;
  /// Age of the worker's last report.
  core::Duration ReportAge{0};
  /// Other tasks of the step that are not known to be at work.
  std::uint32_t Unavailable = 0;
  /// How many tasks of the step may be unavailable at once.
  std::uint32_t Allowed = 0;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_STOPDECISION_H
