#ifndef COMFREYDECK_DISPATCH_POOLWATCH_H
#define COMFREYDECK_DISPATCH_POOLWATCH_H

#include "dispatch/Counters.h"
#include "dispatch/EventLog.h"

#include <vector>

namespace comfreydeck::dispatch {

/// Pace of the lines that sum up a pool or an entry.
inline constexpr core::Duration SummaryPeriod = std::chrono::seconds(5);

/// The fields of a pool's summary.
std::vector<LogField> summaryOf(const PoolFigures &Figures);

/// Gathers how the work on one owned pool goes; tells it in a log line and the
/// metrics. On the loop's thread.
class PoolWatch {
public:
  PoolWatch(Counters &Count, std::string Pool, std::uint64_t Token);

  /// How long a planning waited for the thread.
  void noteWait(core::Duration Waited) {
    core::addSample(Figures_.Waits, Waited);
  }
  /// How long one took.
  void notePlan(core::Duration Took) { core::addSample(Figures_.Plans, Took); }

  /// Tells what there is, once in a period.
  void look(jobs::PoolState &State, core::TimePoint Now, std::int64_t WallMs);
  /// Tells the rest; the pool is not owned here any more.
  void end(jobs::PoolState &State, core::TimePoint Now, std::int64_t WallMs);

private:
  void tell(jobs::PoolState &State, core::TimePoint Now, std::int64_t WallMs);

  Counters &Count_;
  PoolFigures Figures_;
  core::TimePoint ToldAt_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_POOLWATCH_H
