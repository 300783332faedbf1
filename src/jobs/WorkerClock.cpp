#include "jobs/WorkerClock.h"

#include "jobs/PoolTimes_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

using std::chrono::milliseconds;

void recordAnswer(WorkerClock &Clock, std::int64_t ClockMs,
                  core::TimePoint Now) {
  // Answers may arrive out of order; keep the highest value.
  if (ClockMs <= 0 || ClockMs < Clock.ShownMs)
    return;
  Clock.ShownMs = ClockMs;
  Clock.ShownAt = Now;
}

void recordReport(WorkerClock &Clock, std::int64_t ClockMs,
                  core::TimePoint SentAt, core::TimePoint Now) {
  recordAnswer(Clock, ClockMs, Now);
  if (!Clock.ZeroAt)
    Clock.FirstReportMs = ClockMs;
  Clock.LastReportMs = ClockMs;
  core::TimePoint ZeroAt = SentAt - milliseconds(ClockMs);
  Clock.ZeroAt = std::max(Clock.ZeroAt.value_or(ZeroAt), ZeroAt);
}

std::optional<core::TimePoint> earliestTimeOf(const WorkerClock &Clock,
                                              std::int64_t ClockMs) {
  if (!Clock.ZeroAt)
    return std::nullopt;
  return *Clock.ZeroAt + milliseconds(ClockMs);
}

core::Duration leadOf(const WorkerClock &Clock, std::int64_t ClockMs,
                      core::TimePoint Now) {
  return earliestTimeOf(Clock, ClockMs).value_or(Now) - Now;
}

std::int64_t leastClockMs(const WorkerClock &Clock, core::TimePoint Now,
                          double Drift) {
  double Passed = static_cast<double>(toMs(Now - Clock.ShownAt)) * (1 - Drift);
  return Clock.ShownMs + static_cast<std::int64_t>(Passed);
}

} // namespace comfreydeck::jobs
