#ifndef COMFREYDECK_JOBS_WORKERCLOCK_H
#define COMFREYDECK_JOBS_WORKERCLOCK_H

#include "core/Types.h"

#include <cstdint>
#include <optional>

namespace comfreydeck::jobs {

/// What an owner knows of the steady clock of one incarnation of a worker. The
/// clock shows milliseconds, is never fast, and may be slow. It may have begun
/// before the owner's own machine was started.
struct WorkerClock {
  /// Highest value that an answer has shown; zero before the first one.
  std::int64_t ShownMs = 0;
  /// When that answer arrived; not valid before the first one.
  core::TimePoint ShownAt;
  /// Values in the first and the last report to this owner; zero before the
  /// first one.
  std::int64_t FirstReportMs = 0;
  std::int64_t LastReportMs = 0;
  /// It showed zero at this time or later; nothing before the first report.
  std::optional<core::TimePoint> ZeroAt;
};

/// Records the value in an answer; zero stands for none. Thread-safe for
/// different clocks, as are the functions below.
void recordAnswer(WorkerClock &Clock, std::int64_t ClockMs,
                  core::TimePoint Now);

/// Records the value in a report that was requested at \p SentAt.
void recordReport(WorkerClock &Clock, std::int64_t ClockMs,
                  core::TimePoint SentAt, core::TimePoint Now);

/// Earliest time at which the worker can have made an answer that shows this
/// value; nothing before the first report. Its arrival tells less: it may have
/// been long under way.
std::optional<core::TimePoint> earliestTimeOf(const WorkerClock &Clock,
                                              std::int64_t ClockMs);

/// By how far after \p Now an answer with this value is dated: more than drift
/// explains only if the clock is fast or was set. Not positive for a sound one.
core::Duration leadOf(const WorkerClock &Clock, std::int64_t ClockMs,
                      core::TimePoint Now);

/// The least that the clock may show if it runs slow by up to \p Drift. An
/// answer must have shown a value.
std::int64_t leastClockMs(const WorkerClock &Clock, core::TimePoint Now,
                          double Drift);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_WORKERCLOCK_H
