#ifndef COMFREYDECK_DISPATCH_POOLMONITOR_H
#define COMFREYDECK_DISPATCH_POOLMONITOR_H

#include "dispatch/EventLog.h"
#include "dispatch/JobMetrics.h"

#include <optional>
#include <vector>

namespace comfreydeck::dispatch {

/// Interval of the summary lines of a pool or an entry.
inline constexpr core::Duration SummaryPeriod = std::chrono::seconds(5);

/// The log fields of a pool's summary.
std::vector<LogField> summaryOf(const PoolStats &Stats);

/// Collects statistics of one owned pool and reports them as a log line and as
/// metrics. Runs on the loop's thread.
class PoolMonitor {
public:
  PoolMonitor(JobMetrics &Metrics, std::string Pool, std::uint64_t Token);

  /// Records how long a planning pass waited for the thread.
  void recordPlanWait(core::Duration Waited) {
    core::addSample(Stats_.Waits, Waited);
  }
  /// Records how long a planning pass took.
  void recordPlanTime(core::Duration Took) {
    core::addSample(Stats_.Plans, Took);
  }

  /// Records the bound of unanswered starts, and their number.
  void recordStarts(std::size_t Window, std::size_t Unanswered) {
    Stats_.StartWindow = Window;
    Stats_.UnansweredStarts = Unanswered;
  }

  /// Records that a batch is being stored since then.
  void recordStoring(core::TimePoint Since) { StoringSince_ = Since; }
  /// Records that the batch is stored. \p Found says that this was learnt by
  /// repeating it.
  void recordStored(core::TimePoint Now, bool Repeated, bool Found);

  /// Records the jobs that are known and not applied now.
  void recordUnapplied(UnappliedStats Jobs) {
    Stats_.Unapplied = std::move(Jobs);
  }

  /// Reports the statistics if a period has passed since the last report.
  void publishIfDue(jobs::PoolState &State, core::TimePoint Now,
                    std::int64_t WallMs);
  /// Reports the remaining statistics and removes the pool's gauges; call when
  /// the pool is no longer owned here.
  void end(jobs::PoolState &State, core::TimePoint Now, std::int64_t WallMs);

private:
  void logUnapplied() const;
  void publish(jobs::PoolState &State, core::TimePoint Now,
               std::int64_t WallMs);

  JobMetrics &Metrics_;
  PoolStats Stats_;
  std::optional<core::TimePoint> PublishedAt_;
  std::optional<core::TimePoint> StoringSince_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_POOLMONITOR_H
