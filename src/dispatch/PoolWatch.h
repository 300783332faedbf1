#ifndef COMFREYDECK_DISPATCH_POOLWATCH_H
#define COMFREYDECK_DISPATCH_POOLWATCH_H

#include "dispatch/Counters.h"
#include "dispatch/EventLog.h"

#include <vector>

namespace comfreydeck::dispatch {

/// Interval of the summary lines of a pool or an entry.
inline constexpr core::Duration SummaryPeriod = std::chrono::seconds(5);

/// The log fields of a pool's summary.
std::vector<LogField> summaryOf(const PoolFigures &Figures);

/// Collects statistics of one owned pool and reports them as a log line and as
/// metrics. Runs on the loop's thread.
class PoolWatch {
public:
  PoolWatch(Counters &Count, std::string Pool, std::uint64_t Token);

  /// Records how long a planning pass waited for the thread.
  void noteWait(core::Duration Waited) { core::note(Figures_.Waits, Waited); }
  /// Records how long a planning pass took.
  void notePlan(core::Duration Took) { core::note(Figures_.Plans, Took); }

  /// Reports the statistics if a period has passed since the last report.
  void look(jobs::PoolState &State, core::TimePoint Now, std::int64_t WallMs);
  /// Reports the remaining statistics and removes the pool's gauges; call when
  /// the pool is no longer owned here.
  void end(jobs::PoolState &State, core::TimePoint Now, std::int64_t WallMs);

private:
  void tell(jobs::PoolState &State, core::TimePoint Now, std::int64_t WallMs);

  Counters &Count_;
  PoolFigures Figures_;
  core::TimePoint ToldAt_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_POOLWATCH_H
