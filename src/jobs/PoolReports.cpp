#include "jobs/PoolState.h"

#include "jobs/PoolTimes_p.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace comfreydeck::jobs {

namespace {

using std::chrono::milliseconds;

/// Maximum number of ends in one report.
constexpr std::size_t MaxEndsListed = 500;
/// Report requests without an answer after which a worker may have crashed.
constexpr std::uint32_t ReportsUntilSilent = 2;
/// Retry interval for a stop without a successful answer.
constexpr milliseconds StopRetry(300);
/// Lead of an answer's date that the drift of sound clocks may build up.
constexpr std::chrono::seconds MaxClockLead(1);

/// Whether the run was certainly started on the worker's present incarnation:
/// answers about others may have another clock.
bool isOfIncarnation(const LiveRun &Run, const WorkerState &W) {
  return W.FencedAt && Run.OrderedAt > *W.FencedAt;
}

/// Number up to which the worker has forgotten its ends. It lists those whose
/// acknowledgement was left out.
std::uint64_t acknowledgedBy(const HoldOrder &Order,
                             const WorkerReport &Report) {
  std::uint64_t UpTo = Order.AcknowledgeUpTo;
  for (const EndReport &End : Report.Ended)
    if (End.Number <= UpTo)
      UpTo = End.Number - 1;
  return UpTo;
}

/// Returns whether the answer may have been made by its arrival.
bool checkDate(WorkerState &W, std::int64_t ClockMs, core::TimePoint Now,
               PoolCounters &Counters, PoolEvents &Events) {
  core::Duration Lead = leadOf(W.Clock, ClockMs, Now);
  if (Lead <= MaxClockLead)
    return true;
  ++Counters.AnswersAhead;
  if (!std::exchange(W.ClockAheadLogged, true))
    Events.ClocksAhead.push_back({W.Entry.Id, Lead});
  return false;
}

/// Whether the answer to an order for the run is of another incarnation than
/// the known one, whose clock showed more before the order was planned.
bool isOfOtherIncarnation(const WorkerState &W, const LiveRun &Run,
                          std::int64_t ClockMs) {
  bool SinceReport = W.ReportedAt && Run.OrderedAt >= *W.ReportedAt;
  return ClockMs > 0 &&
         ClockMs < (SinceReport ? W.Clock.LastReportMs : W.Clock.FirstReportMs);
}

/// The ends in the order of their numbers; a list may have another one.
std::vector<const EndReport *> byNumber(std::span<const EndReport> Ends) {
  std::vector<const EndReport *> Sorted;
  Sorted.reserve(Ends.size());
  for (const EndReport &End : Ends)
    Sorted.push_back(&End);
  std::sort(Sorted.begin(), Sorted.end(),
            [](const EndReport *A, const EndReport *B) {
              return A->Number < B->Number;
            });
  return Sorted;
}

/// Whether one of the rows, of runs or of ends, is of the run.
template <typename Row>
bool isListed(const std::vector<Row> &Rows, const RunReport &Run) {
  return std::any_of(Rows.begin(), Rows.end(), [&Run](const Row &Other) {
    return Other.Run == Run.Run && Other.Task == Run.Task;
  });
}

/// Whether an order that was sent at that time went to the address of the
/// present incarnation. A row may change the worker's address meanwhile, and a
/// late one may show that of an earlier incarnation.
bool wasSentToIncarnation(const WorkerState &W, core::TimePoint SentAt) {
  return SentAt >= W.AddressKnownAt && W.Entry.Address == W.BornAddress;
}

} // namespace

/// Applies the clock in the answer to an order for the run, which was planned
/// for the known incarnation but names none.
void PoolState::applyAnswerClock(WorkerState &W, const LiveRun &Run,
                                 std::int64_t ClockMs, core::TimePoint Now) {
  if (isOfOtherIncarnation(W, Run, ClockMs))
    doubtIncarnation(W, 0, true, Now);
  else if (checkDate(W, ClockMs, Now, Counters_, Events_))
    recordAnswer(W.Clock, ClockMs, Now);
}

void PoolState::onSending(const StartOrder &Order,
                          std::optional<core::TimePoint> At) {
  auto Known = Workers_.find(Order.Worker);
  JobRecord *Job = jobOf(Order.Task.JobId);
  if (Known == Workers_.end() || !Job)
    return;
  LiveRun *Run = findRun(*Job, indexOf(*Job, Order.Task), Order.Run);
  if (!Run || Run->Confirmed)
    return;
  Run->SentAt = At.value_or(core::TimePoint::max());
  if (!At)
    return;
  WorkerState &W = *Known->second;
  W.NextOverdueAt =
      std::min(W.NextOverdueAt, Run->sentAt() + Limits_.StartOverdue);
}

void PoolState::onSending(const HoldOrder &Order,
                          std::optional<core::TimePoint> At) {
  auto Known = Workers_.find(Order.Worker);
  if (Known == Workers_.end())
    return;
  for (ReportRequest &R : Known->second->Requests)
    if (R.Number == Order.Number)
      R.OverdueAt = At ? *At + Order.Wait + Limits_.ReportOverdue
                       : core::TimePoint::max();
}

void PoolState::onStart(const StartOrder &Order, const OrderResult &Result,
                        core::TimePoint Now) {
  Now_ = Now;
  ++Counters_.StartAnswers[jobs::indexOf(Result.Outcome)];
  auto At = Workers_.find(Order.Worker);
  if (At == Workers_.end())
    return;
  WorkerState &W = *At->second;
  JobRecord *Job = jobOf(Order.Task.JobId);
  if (!Job)
    return;
  std::uint32_t Task = indexOf(*Job, Order.Task);
  if (!Lost_.isEmpty())
    settleAnswered(W, {Job->Spec.Id, Task, Order.Run}, Result.Outcome, Now);
  LiveRun *Run = findRun(*Job, Task, Order.Run);
  if (!Run || !Run->Confirmed)
    dropRefusedAnnouncement(*Job, Task, Order.Run, Result.Outcome);
  if (Run && isOfIncarnation(*Run, W))
    applyAnswerClock(W, *Run, Result.ClockMs, Now);
  switch (Result.Outcome) {
  case OrderOutcome::Accepted:
    W.UnansweredStarts = 0;
    markBegun(*Job, Task, Order.Run);
    if (Run)
      confirmRun(*Run, Now);
    return;
  case OrderOutcome::Fenced:
    if (Order.Fence >= fenceOf(W))
      Fenced_ = true;
    else if (Run && !Run->Confirmed)
      presumeEnded(*Job, Task, Order.Run, PresumedCause::StartRefused);
    return;
  case OrderOutcome::Unknown:
    if (++W.UnansweredStarts >= Limits_.MaxUnanswered)
      W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.RefusalPause);
    // Otherwise a report has told what became of it.
    if (Run)
      Run->Unclear = true;
    if (Run && !Run->Confirmed)
      onUnansweredStart(W, *Run, Now);
    return;
  case OrderOutcome::OtherIncarnation:
    W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.RefusalPause);
    presumeEnded(*Job, Task, Order.Run, PresumedCause::StartRefused);
    return;
  case OrderOutcome::OldRun:
    // The start may have been carried out before, its answer lost, and the run
    // may have ended since: the next report tells.
    if (Run)
      confirmRun(*Run, Now);
    return;
  case OrderOutcome::Late:
  case OrderOutcome::NoRoom:
  case OrderOutcome::NoTicket:
  case OrderOutcome::Refused:
  case OrderOutcome::NotSent:
    if (Result.Outcome == OrderOutcome::NotSent)
      W.IncarnationConfirmed = false;
    W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.RefusalPause);
    // A report may already have confirmed the run; keep it then.
    if (Run && !Run->Confirmed)
      presumeEnded(*Job, Task, Order.Run, PresumedCause::StartRefused);
    return;
  case OrderOutcome::Withheld:
    if (Run && !Run->Confirmed)
      presumeEnded(*Job, Task, Order.Run, PresumedCause::StartRefused);
    return;
  }
}

/// The run may exist or start later: a report that lists it, or one to a higher
/// fence, tells.
void PoolState::onUnansweredStart(WorkerState &W, const LiveRun &Run,
                                  core::TimePoint Now) {
  if (Run.Fence == fenceOf(W))
    raiseFence(W);
  // A call that ended early was cut, perhaps by the worker's crash.
  bool WasCut = Now - Run.sentAt() < Limits_.StartOverdue;
  if (!WasCut && W.ReportRequestedAt > Run.sentAt())
    return;
  W.IncarnationConfirmed = false;
  W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.RefusalPause);
}

void PoolState::onStop(const StopOrder &Order, const OrderResult &Result,
                       core::TimePoint Now) {
  Now_ = Now;
  ++Counters_.StopAnswers[jobs::indexOf(Result.Outcome)];
  auto At = Workers_.find(Order.Worker);
  if (At == Workers_.end())
    return;
  WorkerState &W = *At->second;
  if (Result.Outcome == OrderOutcome::Fenced && Order.Fence >= fenceOf(W))
    Fenced_ = true;
  JobRecord *Job = jobOf(Order.Task.JobId);
  if (!Job)
    return;
  std::uint32_t Task = indexOf(*Job, Order.Task);
  LiveRun *Run = findRun(*Job, Task, Order.Run);
  if (!Run)
    return;
  if (isOfIncarnation(*Run, W))
    applyAnswerClock(W, *Run, Result.ClockMs, Now);
  core::TimePoint SentAt = Run->StopInFlight ? Run->StopSentAt : Now;
  bool IsOlderThanReport = SentAt < W.ReportRequestedAt;
  Run->StopInFlight = false;
  bool Outdated = std::exchange(Run->StopOutdated, false);
  StopsChanged_ = true;
  if (Result.Outcome == OrderOutcome::OtherIncarnation && !IsOlderThanReport &&
      wasSentToIncarnation(W, SentAt)) {
    // The incarnation that had the run has ended.
    dropReplaced(W, Now);
    return;
  }
  if (Result.Outcome != OrderOutcome::Accepted) {
    Run->StopAt = Now + StopRetry;
    return;
  }
  if (Outdated) {
    Run->StopAt = Now;
    return;
  }
  // From now on, a report that does not list the run proves that it is gone.
  confirmRun(*Run, Now);
  Run->StopAt = Now + std::chrono::seconds(1);
  W.NextHold = std::min(W.NextHold, Now);
}

void PoolState::onReport(const HoldOrder &Order, const ReportResult &Result,
                         core::TimePoint SentAt, core::TimePoint Now) {
  Now_ = Now;
  ++Counters_.ReportAnswers[jobs::indexOf(Result.Outcome)];
  auto At = Workers_.find(Order.Worker);
  if (At == Workers_.end())
    return;
  WorkerState &W = *At->second;
  std::erase_if(W.Requests, [&](const ReportRequest &R) {
    return Order.Number == 0 || R.Number == Order.Number;
  });
  if (Result.Outcome == OrderOutcome::Withheld) {
    W.NextHold = Now + Limits_.WithheldRetry;
    return;
  }
  if (Result.Outcome == OrderOutcome::Fenced)
    Fenced_ = Fenced_ || Order.Fence >= fenceOf(W);
  // A report that was requested later has shown more: the worker may have had
  // another address before.
  if (Result.Outcome != OrderOutcome::Accepted && SentAt < W.ReportRequestedAt)
    return;
  if (Result.Outcome == OrderOutcome::Accepted &&
      isOvertaken(W, Result.Report, SentAt))
    return;
  if (Result.Outcome == OrderOutcome::Accepted &&
      isUnordered(W, Result.Report, SentAt)) {
    doubtIncarnation(W, Result.Report.Born, true, Now);
    return;
  }
  W.NextHold = Now + Limits_.ReportRetry;
  W.IncarnationConfirmed = false;
  if (Result.Outcome == OrderOutcome::Fenced) {
    W.NextHold = Now;
    return;
  }
  if (Result.Outcome == OrderOutcome::OtherIncarnation &&
      wasSentToIncarnation(W, SentAt)) {
    // The incarnation that had these runs has ended.
    dropReplaced(W, Now);
    W.Heard = true;
    W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.RefusalPause);
    return;
  }
  if (Result.Outcome != OrderOutcome::Accepted) {
    // Without an answer, the next report tells whether it is sound.
    if (Result.Outcome != OrderOutcome::Unknown)
      W.AvoidUntil = std::max(W.AvoidUntil, Now + Limits_.RefusalPause);
    bool WasCut = Result.Outcome == OrderOutcome::Unknown &&
                  Now - SentAt < Order.Wait + Limits_.ReportOverdue;
    // A kept connection may have broken, of a sound worker too.
    if (WasCut && W.FailedReports == 0)
      W.NextHold = Now;
    if (++W.FailedReports >= ReportsUntilSilent ||
        Result.Outcome == OrderOutcome::NotSent)
      announceSuspects(W);
    return;
  }
  W.FailedReports = 0;
  const WorkerReport &Report = Result.Report;
  if (Report.Born != 0 && Report.Born != W.Born)
    startIncarnation(W, Report.Born, &Report, Now);
  if (SentAt >= W.AddressKnownAt)
    W.BornAddress = W.Entry.Address;
  if (!Lost_.isEmpty()) {
    clearRunElsewhere(W, Report, std::nullopt, Now);
    settleLost(W, Lost_.takeOthers(W.Entry.Id, W.Born, W.Born), {}, W.Born,
               Now);
    clearLost(W.Entry.Id);
  }
  bool IsDated = checkDate(W, Report.ClockMs, Now, Counters_, Events_);
  recordReport(W.Clock, Report.ClockMs, SentAt, Now);
  W.ReportMadeAt = SentAt;
  if (IsDated)
    W.ReportMadeAt =
        std::min(earliestTimeOf(W.Clock, Report.ClockMs).value_or(SentAt), Now);
  // A full list may leave out later ends.
  bool ListsAllEnds = Report.Ended.size() < MaxEndsListed;
  W.Heard = W.Heard || ListsAllEnds;
  W.IncarnationConfirmed = !W.DoubtedSince || SentAt >= *W.DoubtedSince;
  if (W.IncarnationConfirmed)
    W.DoubtedSince.reset();
  W.ReportedAt = Now;
  W.ReportRequestedAt = std::max(W.ReportRequestedAt, SentAt);
  W.AnsweredRequest = std::max(W.AnsweredRequest, Order.Number);
  settleByFence(W, Order.Fence, Now);
  if (!W.FencedAt)
    W.FencedAt = Now;
  W.StartsSinceReport = 0;
  // An order sent before this incarnation was known has an earlier one's
  // number.
  if (SentAt > W.BornKnownAt)
    W.AcknowledgedUpTo =
        std::max(W.AcknowledgedUpTo, acknowledgedBy(Order, Report));
  W.NextHold = Report.Ended.empty() ? Now : Now + Limits_.ReportPause;
  for (const EndReport *End : byNumber(Report.Ended))
    if (End->Number > W.ProcessedUpTo)
      handleEnd(W, *End, Now);
  std::vector<RunReport> Unknown = std::exchange(W.UnknownRuns, {});
  // A worker may list its runs before its ends, so that one is in both lists.
  for (const RunReport &Run : Report.Running)
    if (!isListed(Report.Ended, Run))
      handleRunning(W, Run, SentAt, Now);
  if (ListsAllEnds)
    dropMissing(W, Report, Order.Fence, SentAt, Now);
  keepMissing(W, Report, Unknown, SentAt, Now);
  if (!Lost_.isEmpty())
    settleEnded(W, Now);
}

/// Whether the report was made before one that has been applied.
bool PoolState::isOvertaken(const WorkerState &W, const WorkerReport &Report,
                            core::TimePoint SentAt) {
  if (Report.Born == 0)
    return false;
  if (Report.Born != W.Born)
    return isEarlierIncarnation(W, Report.Born) && SentAt < W.BornKnownAt;
  return Report.ClockMs < W.Clock.LastReportMs ||
         (Report.ClockMs == W.Clock.LastReportMs &&
          SentAt < W.ReportRequestedAt);
}

/// Whether the report is of another incarnation than the known one, which may
/// be an earlier or a later one. The time of day at their starts does not tell:
/// it may have been set back. What answers a request that was sent once an
/// incarnation was known is that one or a later one.
bool PoolState::isUnordered(const WorkerState &W, const WorkerReport &Report,
                            core::TimePoint SentAt) {
  return Report.Born != 0 && Report.Born != W.Born && SentAt < W.BornKnownAt;
}

void PoolState::handleEnd(WorkerState &W, const EndReport &End,
                          core::TimePoint Now) {
  W.ProcessedUpTo = End.Number;
  ++Counters_.Ends[jobs::indexOf(End.How)];
  JobRecord *Job = jobOf(End.Task.JobId);
  if (!Job || Job->ProgressUnread) {
    // A previous owner may have started a job that this owner learns of later;
    // the worker must not discard its end until then.
    std::uint32_t Task = Job ? indexOf(*Job, End.Task) : 0;
    if (Job && Task < Job->Tasks.size())
      removeRun(*Job, Task, End.Run);
    W.Parked.push_back({End, Now});
    Outbox_.addEnd(W, End);
    return;
  }
  applyEnd(*Job, W, End, Now);
  Outbox_.addEnd(W, End);
}

void PoolState::applyEnd(JobRecord &Job, WorkerState &W, const EndReport &End,
                         core::TimePoint Now) {
  std::uint32_t Task = indexOf(Job, End.Task);
  if (Task >= Job.Tasks.size())
    return;
  markBegun(Job, Task, End.Run);
  TaskState &State = Job.Tasks[Task];
  if (!End.Checkpoint.empty() && !State.Kept.Done &&
      State.Kept.Checkpoint != End.Checkpoint) {
    State.Kept.Checkpoint = End.Checkpoint;
    Outbox_.markChanged(Job);
  }
  LiveRun *Run = findRun(Job, Task, End.Run);
  if (!Run)
    noteSurvivor(End.Task, End.Run, End.How);
  if (Run && End.How == RunEnd::Done) {
    Estimates_.recordRunTime(Job, stepOf(Job, Task),
                             Workers_.at(Run->Worker)->Entry,
                             Now - Run->OrderedAt);
    if (!State.HadStraggler)
      W.SlowJobs = 0;
  }
  removeRun(Job, Task, End.Run);
  if (End.How == RunEnd::Done) {
    W.FailuresInRow = 0;
    taskDone(Job, Task);
  }
  std::vector<RunId> &Failed = State.Kept.FailedRuns;
  bool Counted =
      std::find(Failed.begin(), Failed.end(), End.Run) != Failed.end();
  if (End.How == RunEnd::Failed && !Counted) {
    if (!stepOf(Job, Task).Lasting)
      Failed.push_back(End.Run);
    taskFailed(Job, Task, W, Now);
  }
}

/// Discards ends of jobs that are missing from a full read of the jobs made
/// after the end was reported, and are not awaited.
void PoolState::settleParked(const PlanInput &In) {
  auto IsUnneeded = [&](const ParkedEnd &Waiting) {
    return Waiting.SeenAt < In.JobsReadAt && !isAwaited(Waiting.End.Task.JobId);
  };
  for (auto &[Id, W] : Workers_) {
    if (W->Parked.empty())
      continue;
    for (const ParkedEnd &Waiting : W->Parked)
      if (IsUnneeded(Waiting))
        Outbox_.dropEnd(*W, Waiting.End.Number);
    std::erase_if(W->Parked, IsUnneeded);
    Outbox_.advanceStoredEnds(*W);
  }
}

void PoolState::handleRunning(WorkerState &W, const RunReport &Report,
                              core::TimePoint SentAt, core::TimePoint Now) {
  JobRecord *Job = jobOf(Report.Task.JobId);
  std::uint32_t Task = Job ? indexOf(*Job, Report.Task) : 0;
  if (!Job || Task >= Job->Tasks.size()) {
    W.UnknownRuns.push_back(Report);
    StopsChanged_ = StopsChanged_ || isCancelledAwaited(Report.Task.JobId);
    return;
  }
  LiveRun *Run = findRun(*Job, Task, Report.Run);
  if (!Run) {
    ++Counters_.UnexpectedRuns;
    noteSurvivor(Report.Task, Report.Run, std::nullopt);
    LiveRun Found;
    Found.Run = Report.Run;
    Found.Worker = W.Entry.Id;
    Found.OrderedAt = Found.ConfirmedAt = SentAt;
    Found.Confirmed = true;
    Found.StopAt = Now;
    const TaskState &State = Job->Tasks[Task];
    Found.Stopping = isFinal(Job->Now) || State.Kept.Done ||
                     Job->CancelWanted || !State.Runs.empty();
    bool Unneeded = Found.Stopping;
    StopsChanged_ = StopsChanged_ || Unneeded;
    addRun(*Job, Task, std::move(Found));
    Run = findRun(*Job, Task, Report.Run);
    if (Unneeded)
      recordStop(*Job, Task, *Run,
                 isFinal(Job->Now) || Job->CancelWanted ? StopReason::JobEnded
                                                        : StopReason::Duplicate,
                 Now);
  }
  markBegun(*Job, Task, Report.Run);
  confirmRun(*Run, Now);
  Run->Listed = true;
  if (Report.Percent != Run->Percent)
    Run->ProgressedAt = Now;
  Run->Percent = Report.Percent;
  recordProgress(Run->Pace, Report.Percent, Now);
  if (Report.Percent >= ReadyPercent)
    Run->ReadyAt = Now;
  Run->Load = Report.Load;
  clearSuspicion(
      *Job, Task, *Run,
      earliestTimeOf(W.Clock, W.Clock.LastReportMs).value_or(SentAt));
  TaskState &State = Job->Tasks[Task];
  if (!Report.Checkpoint.empty() && !State.Kept.Done)
    State.Kept.Checkpoint = Report.Checkpoint;
}

/// Removes runs that the report lists neither as running nor as ended: those
/// whose starts have no answer and are refused by now, and those that have
/// begun if a report before has left them out too. A worker may make its two
/// lists at different moments, so that a run that ends in between is in
/// neither.
void PoolState::dropMissing(WorkerState &W, const WorkerReport &Report,
                            std::uint64_t Fence, core::TimePoint SentAt,
                            core::TimePoint Now) {
  std::vector<RunId> Listed;
  Listed.reserve(Report.Running.size());
  for (const RunReport &Run : Report.Running)
    Listed.push_back(Run.Run);
  std::sort(Listed.begin(), Listed.end());
  std::vector<std::tuple<JobRecord *, std::uint32_t, RunId>> Missing;
  W.RunsMissing = false;
  for (const auto &[Job, Task] : W.Tasks)
    for (LiveRun &Run : Job->Tasks[Task].Runs) {
      if (Run.Worker != W.Entry.Id)
        continue;
      if (std::binary_search(Listed.begin(), Listed.end(), Run.Run)) {
        Run.MissingSince.reset();
        continue;
      }
      bool NeverBegun =
          !Run.Confirmed && Run.SendAfter == 0 && Run.Fence < Fence;
      bool StillMissing = Run.MissingSince && SentAt >= *Run.MissingSince;
      if (NeverBegun || StillMissing) {
        Missing.emplace_back(Job, Task, Run.Run);
      } else if (Run.Confirmed && Run.ConfirmedAt < SentAt) {
        Run.MissingSince = Run.MissingSince.value_or(Now);
        W.RunsMissing = true;
      }
    }
  if (W.RunsMissing)
    W.NextHold = Now;
  for (const auto &[Job, Task, Run] : Missing)
    presumeEnded(*Job, Task, Run, PresumedCause::NotReported);
}

/// Keeps runs of unknown jobs, as listed before, until a second report leaves
/// them out.
void PoolState::keepMissing(WorkerState &W, const WorkerReport &Report,
                            const std::vector<RunReport> &Unknown,
                            core::TimePoint SentAt, core::TimePoint Now) {
  std::map<std::pair<TaskRef, RunId>, core::TimePoint> Missing;
  for (const RunReport &Run : Unknown) {
    if (isListed(Report.Running, Run) || isListed(Report.Ended, Run))
      continue;
    auto Known = W.UnknownMissing.find({Run.Task, Run.Run});
    bool IsSecond = Known != W.UnknownMissing.end() && SentAt >= Known->second;
    if (IsSecond)
      continue;
    Missing[{Run.Task, Run.Run}] =
        Known == W.UnknownMissing.end() ? Now : Known->second;
    W.UnknownRuns.push_back(Run);
  }
  W.UnknownMissing = std::move(Missing);
  if (W.UnknownMissing.empty())
    return;
  W.RunsMissing = true;
  W.NextHold = Now;
}

} // namespace comfreydeck::jobs
