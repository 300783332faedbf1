#ifndef COMFREYDECK_JOBS_WORKERSTATE_H
#define COMFREYDECK_JOBS_WORKERSTATE_H

#include "jobs/JobRecord.h"
#include "jobs/PoolMetrics.h"
#include "jobs/WorkerClock.h"
#include "jobs/WorkerRelease.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <set>

namespace comfreydeck::jobs {

/// A reported end whose job is unknown, possibly because it is not loaded yet.
struct ParkedEnd {
  EndReport End;
  core::TimePoint SeenAt;
};

/// A processed end whose effects are not stored yet.
struct UnstoredEnd {
  std::uint64_t Number = 0;
  /// Mark of an end that must not be acknowledged yet, whatever is stored.
  static constexpr std::uint64_t Never =
      std::numeric_limits<std::uint64_t>::max();
  /// Its effects are stored once this mark is.
  std::uint64_t Mark = 0;
  std::string JobId;
};

/// A start without an answer whose run counts as lapsed. It may still be
/// carried out once the worker has a lease again.
struct LostStart {
  std::uint64_t Fence = 0;
  /// It can't arrive after this.
  core::TimePoint Until;
};

/// A report request that has not been answered.
struct ReportRequest {
  std::uint64_t Number = 0;
  std::uint64_t Fence = 0;
  /// From then on it is overdue.
  core::TimePoint OverdueAt;
  /// The worker may delay its report.
  bool Waits = false;
};

/// An owner's knowledge of one worker.
struct WorkerState {
  WorkerEntry Entry;
  /// No longer listed.
  bool Gone = false;
  core::TimePoint GoneAt;
  /// In the stored roster, so that the next owner polls it even if it is no
  /// longer listed. A worker gets no start before it is enrolled.
  bool Enrolled = false;
  /// Has reported, with all its ends, since this owner took over the pool, or
  /// is known to have ended.
  bool Heard = false;
  /// When this owner first requested its report.
  std::optional<core::TimePoint> AskedAt;
  std::int64_t Born = 0;
  /// Where that incarnation is known to be, by its row or a report of it.
  std::string BornAddress;
  /// When this owner learned the address in \ref Entry.
  core::TimePoint AddressKnownAt;
  /// Start time of the incarnation in the roster that this owner has read;
  /// nothing if the worker was not in it.
  std::optional<std::int64_t> InheritedBorn;
  /// Until then, orders of earlier owners for earlier incarnations may have
  /// given that one a lease; nothing if that isn't known.
  std::optional<core::TimePoint> InheritedOrdersUntil;
  /// For how long, as the roster tells later owners or is about to, orders for
  /// earlier incarnations may matter to the present one; nothing if it can't
  /// tell. The second one is what is stored.
  std::optional<core::Duration> NotedEarlierOrders = core::Duration::zero();
  std::optional<core::Duration> StoredEarlierOrders;
  WorkerClock Clock;
  /// Latest lease end granted, on the worker's clock.
  std::int64_t DeadlineMs = 0;
  /// When the last order that grants a lease was planned.
  std::optional<core::TimePoint> LeaseOrderedAt;
  /// Number of the last end processed in this incarnation.
  std::uint64_t ProcessedUpTo = 0;
  /// Processed ends that are not stored yet, in order.
  std::deque<UnstoredEnd> Unstored;
  /// Ends among \ref Unstored whose jobs are not loaded yet.
  std::vector<ParkedEnd> Parked;
  /// Number of the last end that is stored with all before it.
  std::uint64_t StoredUpTo = 0;
  /// Value of \ref StoredUpTo last acknowledged to the worker.
  std::uint64_t AcknowledgedUpTo = 0;
  /// The last request was answered by the incarnation known here.
  bool IncarnationConfirmed = false;
  /// When this owner learned of the present incarnation.
  core::TimePoint BornKnownAt;
  /// Start times of the latest incarnations before it, as far as known.
  std::deque<std::int64_t> EarlierBorns;
  /// Since then, a row or a late report has shown another incarnation that may
  /// be a later one. A report that was requested afterwards tells.
  std::optional<core::TimePoint> DoubtedSince;
  /// Reported runs whose jobs are unknown, possibly because they are not loaded
  /// yet.
  std::vector<RunReport> UnknownRuns;
  /// Those among them that the last report should have listed, and when the
  /// first one was read that didn't.
  std::map<std::pair<TaskRef, RunId>, core::TimePoint> UnknownMissing;
  /// Earliest time to send the next stops of those among them whose jobs were
  /// cancelled.
  core::TimePoint StopUnknownAt;
  core::Resources Used;
  std::uint32_t Serving = 0;
  std::uint32_t Lasting = 0;
  std::uint32_t Filling = 0;
  /// The worker gets no lease until it has reported to a higher fence or they
  /// can't arrive any more.
  std::vector<LostStart> LostStarts;
  /// Tasks with a run on this worker.
  std::set<TaskOfJob, TaskOrder> Tasks;
  /// Report requests in flight, oldest first.
  std::vector<ReportRequest> Requests;
  std::uint64_t LastRequest = 0;
  /// Latest request that has been answered with a report.
  std::uint64_t AnsweredRequest = 0;
  /// When that request was sent.
  core::TimePoint ReportRequestedAt;
  /// Report requests without an answer since the last report.
  std::uint32_t FailedReports = 0;
  core::TimePoint NextHold;
  core::TimePoint AvoidUntil;
  /// Until then it is avoided since its runs failed or were slow. A lasting
  /// task that waits too long starts there nevertheless.
  core::TimePoint QuarantinedUntil;
  std::uint32_t FailuresInRow = 0;
  std::string LastFailedJob;
  /// Jobs with straggling runs since the last run that ended in time.
  std::uint32_t SlowJobs = 0;
  std::string LastSlowJob;
  /// This incarnation has ended, though the worker is still listed.
  bool Ended = false;
  /// Closed for maintenance, or released: gets no new runs.
  bool Closed = false;
  WorkerRelease Release;
  /// Reserved for the run of a task that may crash it, in this planning round.
  bool Isolated = false;
  /// It was kept for a gang in the last planning round.
  bool KeptForGang = false;
  /// Being evicted: tasks that are not lasting are stopped as well.
  bool Evicting = false;
  /// An answer dated after its arrival was logged.
  bool ClockAheadLogged = false;
  /// When its last report was read here.
  std::optional<core::TimePoint> ReportedAt;
  /// Earliest time at which the worker can have made that report: it may have
  /// been long under way, or have waited here while this process was paused.
  std::optional<core::TimePoint> ReportMadeAt;
  /// When the first report of this incarnation to this owner arrived. It fenced
  /// earlier owners off there.
  std::optional<core::TimePoint> FencedAt;
  /// Starts planned since that report.
  std::uint32_t StartsSinceReport = 0;
  /// Until then, an order for an earlier incarnation may have given this one a
  /// lease: up to \ref EarlierDeadlineMs on this one's clock, unless the worker
  /// has shortened it.
  core::TimePoint EarlierOrdersUntil;
  /// Latest lease end granted to earlier incarnations, on their clocks.
  std::int64_t EarlierDeadlineMs = 0;
  /// This owner has known an earlier incarnation.
  bool Restarted = false;
  /// Highest fence of the orders for earlier incarnations.
  std::uint64_t EarlierFence = 0;
  /// When the next start in flight may become overdue.
  core::TimePoint NextOverdueAt = core::TimePoint::max();
  /// Starts without an answer since the last one that was accepted.
  std::uint32_t UnansweredStarts = 0;
  /// How often the fence was raised.
  std::uint32_t FenceStep = 0;
  /// Raised since the worker's last report.
  bool FenceRaised = false;
  /// A task waits for a report of the worker, which may have restarted unseen.
  bool ReportWanted = false;
  /// The last report leaves out runs that it should list.
  bool RunsMissing = false;
  /// Its status in the last planning round, and since when; nothing before the
  /// first one.
  WorkerStatus Status = WorkerStatus::Usable;
  std::optional<core::TimePoint> StatusSince;
};

/// Whether a report of the worker was read less than \p Age before \p Now. It
/// may have been made earlier. Thread-safe.
inline bool hasReportedWithin(const WorkerState &W, core::Duration Age,
                              core::TimePoint Now) {
  return W.ReportedAt && Now - *W.ReportedAt < Age;
}

/// Whether the worker has certainly made a report less than \p Age before
/// \p Now. Thread-safe.
inline bool hasMadeReportWithin(const WorkerState &W, core::Duration Age,
                                core::TimePoint Now) {
  return W.ReportMadeAt && Now - *W.ReportMadeAt < Age;
}

/// Whether an earlier owner may have given orders to the worker and did not
/// store that it knew the incarnation that is up. Thread-safe.
inline bool isUnknownToEarlierOwners(const WorkerState &W) {
  return W.InheritedBorn && (*W.InheritedBorn != W.Born || W.DoubtedSince);
}

/// Whether the worker is avoided for whatever reason. Thread-safe.
inline bool isAvoided(const WorkerState &W, core::TimePoint Now) {
  return std::max(W.AvoidUntil, W.QuarantinedUntil) > Now;
}

/// Workers by id.
using WorkerTable =
    std::unordered_map<std::string, std::unique_ptr<WorkerState>>;

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_WORKERSTATE_H
