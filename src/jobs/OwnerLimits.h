#ifndef COMFREYDECK_JOBS_OWNERLIMITS_H
#define COMFREYDECK_JOBS_OWNERLIMITS_H

#include "core/Types.h"

#include <cstdint>
#include <limits>

namespace comfreydeck::jobs {

/// Low bits of a run id, which count the starts of one owner. The fencing token
/// in the bits above makes ids increase from owner to owner. Ids may exceed the
/// 53 bits that a double represents exactly.
inline constexpr std::uint32_t RunCounterBits = 22;

/// Low bits of a fence, which count how often an owner has raised it at a
/// worker. The bits above are the owner's fencing token.
inline constexpr std::uint32_t FenceStepBits = 16;

/// Start time that is later than that of each incarnation.
inline constexpr std::int64_t AnyIncarnation =
    std::numeric_limits<std::int64_t>::max();

/// Timing limits for one owner's orders.
struct OwnerLimits {
  /// Lease that each order grants to all runs on a worker: long enough to
  /// survive a change of owner (two seconds), short enough to restart the runs
  /// of a partitioned worker within their jobs' objectives.
  core::Duration Lease = std::chrono::milliseconds(3000);
  /// Longest lease that a worker grants, whatever end an order names.
  core::Duration MaxLease = std::chrono::milliseconds(10000);
  /// Longest time after which a worker may still carry out an order that it has
  /// not answered.
  core::Duration LateOrder = std::chrono::milliseconds(13000);
  /// A lasting task starts on no worker whose loss would be known later than
  /// this.
  core::Duration LastingLoss = std::chrono::milliseconds(8000);
  /// Maximum relative drift by which a worker's clock runs slow, as guaranteed
  /// by the platform.
  double ClockDrift = 0.02;
  /// How long an owner may issue orders after the last read that confirmed its
  /// ownership.
  core::Duration Authority = std::chrono::milliseconds(8000);
  /// Maximum time after the takeover for which orders of earlier owners may
  /// keep a run alive.
  core::Duration EarlierOrders = Authority;
  /// For this long after a worker made a report, or after a read that confirmed
  /// the ownership, the worker can't have restarted with the fence of a later
  /// owner forgotten.
  core::Duration UnseenRestart = std::chrono::milliseconds(1000);
  /// How long a worker may delay a report while no run ends (long polling).
  core::Duration ReportWait = std::chrono::milliseconds(800);
  /// The same for a worker with a run that may crash it, so that it is soon
  /// known whether the run has lasted.
  core::Duration SuspectReportWait = std::chrono::milliseconds(100);
  /// A run that may crash its worker is sent if the worker's last report was
  /// requested this long ago at most, or since the run was stored.
  core::Duration SuspectReportAge = std::chrono::milliseconds(200);
  /// A report request without an answer for so long beyond its wait is overdue:
  /// another one is sent beside it.
  core::Duration ReportOverdue = std::chrono::milliseconds(250);
  /// A start without an answer for so long is overdue: the worker is asked what
  /// became of it.
  core::Duration StartOverdue = std::chrono::milliseconds(300);
  /// Consecutive starts without an answer after which a worker is avoided for a
  /// while.
  std::uint32_t MaxUnanswered = 4;
  /// Maximum number of report requests in flight to one worker.
  std::size_t MaxReportRequests = 3;
  /// Age of a worker's last report above which its ends are acknowledged only
  /// after another one: an incarnation that started since would forget ends of
  /// its own by their numbers.
  core::Duration AcknowledgeAge = std::chrono::milliseconds(100);
  /// Maximum time from planning an acknowledgement to sending it, for the same
  /// reason.
  core::Duration AcknowledgeDelay = std::chrono::milliseconds(100);
  /// Delay after a report with ends, so that the next one batches several.
  core::Duration ReportPause = std::chrono::milliseconds(25);
  /// Age of the last report after which a worker counts as silent; its runs may
  /// be lost.
  core::Duration ReportStale = std::chrono::milliseconds(1800);
  /// A reachable worker answers within this time unless asked to delay the
  /// report.
  core::Duration ReportAnswer = std::chrono::milliseconds(1000);
  /// Maximum time, on the worker's clock, that a worker takes to carry out a
  /// stop it has accepted.
  core::Duration StopTime = std::chrono::milliseconds(400);
  /// How long a worker lets a member of a gang wait for the others before it
  /// ends it.
  core::Duration GangTimeout = std::chrono::milliseconds(3000);
  /// Delay after a report request that was not sent.
  core::Duration WithheldRetry = std::chrono::milliseconds(50);
  /// Delay after a failed report request.
  core::Duration ReportRetry = std::chrono::milliseconds(250);
  /// How long a worker gets no start after it refused an order.
  core::Duration RefusalPause = std::chrono::milliseconds(700);
  /// How long a worker is avoided whose runs fail or are slow.
  core::Duration Quarantine = std::chrono::milliseconds(6000);
  /// Consecutive failures, of different jobs, that quarantine a worker.
  std::uint32_t QuarantineFailures = 2;
  /// Jobs accepted at least this long after a takeover are unknown to earlier
  /// owners.
  core::Duration NewJobAge = Authority;
  /// A run that has lasted this long does not count as the cause of a crash of
  /// its worker.
  core::Duration SuspicionAge = std::chrono::milliseconds(500);
  /// Crashes under one task after which its runs get a worker to themselves.
  std::uint32_t IsolationCrashes = 2;
  /// How long such a run waits for a worker where no other run would have to
  /// start over if it crashed. It waits on only for one whose other runs are
  /// too old to be the cause: a lasting task has to run again within nine
  /// seconds, of which the lease of its lost run takes three.
  core::Duration IsolationWait = std::chrono::milliseconds(2000);
  /// Crashes under one task after which its job fails.
  std::uint32_t MaxCrashes = 3;
  /// Runs, alone, that it has more if it shared its worker at one of them:
  /// another task may have been the cause.
  std::uint32_t RunsAfterShared = 1;
  /// Most starts of a task after so many crashes. They are used while crashes
  /// are only possible.
  std::uint32_t MaxLateStarts = 2;
  /// How long the outcome of a run is waited for that may be the last crash
  /// allowed: long enough for a machine that crashed to have another worker.
  core::Duration OutcomeWait = std::chrono::milliseconds(4000);
  /// How long a suspect task waits for a worker without another suspect.
  core::Duration SuspectWait = std::chrono::milliseconds(1000);
  /// How many times as long a task takes on another rack than that of its data,
  /// and a gang that wants one rack on several.
  double RemoteFactor = 1;
  /// The longest that a gang waits for one rack while several have room: a task
  /// may be without a run for some seconds only while there is room for it.
  core::Duration MaxRackWait = std::chrono::milliseconds(3000);
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_OWNERLIMITS_H
