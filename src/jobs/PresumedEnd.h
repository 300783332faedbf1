#ifndef COMFREYDECK_JOBS_PRESUMEDEND_H
#define COMFREYDECK_JOBS_PRESUMEDEND_H

#include "jobs/CrashLedger.h"
#include "jobs/Worker.h"

#include <deque>
#include <optional>
#include <string>

namespace comfreydeck::jobs {

/// Why a run counts as ended whose end no report has listed.
enum class PresumedCause : std::uint8_t {
  /// The worker's answer to its start rules it out.
  StartRefused,
  LeaseLapsed,
  /// A later incarnation of the worker is up.
  WorkerRestarted,
  /// Another worker answered at the address.
  WorkerReplaced,
  /// The list of machines shows that the worker's machine is gone.
  MachineListed,
  /// The worker's machine was removed by order.
  MachineOrdered,
  /// A report listed it neither as running nor as ended.
  NotReported,
};

const char *nameOf(PresumedCause Cause);

/// A run that counts as ended without a report of its end, so that its task may
/// start again.
struct PresumedEnd {
  TaskRef Task;
  RunId Run = 0;
  std::string Worker;
  PresumedCause Cause = PresumedCause::NotReported;
  /// What is known of its start.
  StartSign Sign = StartSign::Sent;
  core::TimePoint At;
  /// Time since its start was ordered.
  core::Duration Age{0};
  /// Age of the worker's last report; nothing if there is none.
  std::optional<core::Duration> ReportAge;
};

/// A report that lists a run which had been presumed to have ended.
struct SurvivingRun {
  PresumedEnd Presumed;
  /// Time since it was presumed.
  core::Duration After{0};
  /// How it ended; nothing if it is running.
  std::optional<RunEnd> End;
};

/// The latest presumed ends, as many as memory bounds allow.
class PresumedEnds {
public:
  /// Forgets the oldest one if there are too many.
  void add(PresumedEnd End);
  /// Removes and returns the presumed end of the run; nothing if there is none.
  std::optional<PresumedEnd> take(const TaskRef &Task, RunId Run);

private:
  std::deque<PresumedEnd> Latest_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_PRESUMEDEND_H
