#include "jobs/PoolSimulation_p.h"

#include "jobs/PoolTimes_p.h"

namespace comfreydeck::jobs {

namespace {

/// Longest time between the moments of a report's two lists.
constexpr milliseconds MaxTear(100);

} // namespace

RunReport PoolSimulation::listingOf(const Run &R) const {
  return {R.Task, R.Id, "", percentOf(R), 0};
}

/// Makes one of the report's lists that of an earlier moment since the worker's
/// last report: a run that has ended since is in neither list or in both.
/// Starts are always listed, as both lists are made once the request has come.
void PoolSimulation::tearReport(Worker &W, WorkerReport &Report) {
  core::TimePoint Earliest = std::max(W.ReportedAt, Now_ - MaxTear);
  std::int64_t Span = toMs(Now_ - Earliest);
  core::TimePoint Moment =
      Now_ - milliseconds(static_cast<std::int64_t>(
                 ReportRandom_() % (static_cast<std::uint64_t>(Span) + 1)));
  bool OfEnds = ReportRandom_() % 2 == 0;
  for (const RecentEnd &End : W.RecentEnds) {
    if (End.At <= Moment)
      continue;
    if (OfEnds)
      std::erase_if(Report.Ended, [&](const EndReport &Listed) {
        return Listed.Number == End.Number;
      });
    else
      Report.Running.push_back(listingOf(End.Ended));
  }
  W.ReportedAt = Now_;
  std::erase_if(W.RecentEnds,
                [&](const RecentEnd &End) { return End.At <= Now_ - MaxTear; });
}

} // namespace comfreydeck::jobs
