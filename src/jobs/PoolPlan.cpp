#include "jobs/PoolState.h"
#include "jobs/StartPlan_p.h"
#include "jobs/StragglerPlan_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

constexpr std::chrono::milliseconds LongWaitCheckPeriod(1000);

/// Whether the worker has a run whose start was sent. One that waits to be
/// stored has no lease that could lapse.
bool hasSentRun(const WorkerState &W) {
  return std::any_of(W.Tasks.begin(), W.Tasks.end(), [&W](const auto &Item) {
    const auto &[Job, Task] = Item;
    const std::vector<LiveRun> &Runs = Job->Tasks[Task].Runs;
    return std::any_of(Runs.begin(), Runs.end(), [&W](const LiveRun &Run) {
      return Run.Worker == W.Entry.Id && Run.SendAfter == 0;
    });
  });
}

} // namespace

HoldOrder withoutAcknowledgement(HoldOrder Order) {
  if (Order.AcknowledgeUpTo > 0)
    Order.Wait = core::Duration::zero();
  Order.AcknowledgeUpTo = 0;
  return Order;
}

/// Drops the runs of unreachable workers once their leases have expired, and
/// forgets workers that are gone.
void PoolState::expireSilent(const PlanInput &In) {
  // A new owner that took over after our last read may have extended the
  // worker's lease. Only up to the time of that read are our leases known to be
  // the only ones.
  core::TimePoint SureAt =
      std::min(In.Now, In.AuthorityEnd - Limits_.Authority);
  Lost_.expire(In.Now);
  // An earlier owner has forgotten such a worker, which it does only once the
  // outcomes of its runs are known or waited for no longer.
  Lost_.dropUnknown(
      [this](const std::string &Id) { return Workers_.contains(Id); });
  noteOpenOutcomes(In.Now);
  for (auto It = Workers_.begin(); It != Workers_.end();) {
    WorkerState &W = *It->second;
    std::erase_if(W.LostStarts,
                  [&](const LostStart &S) { return S.Until <= In.Now; });
    if (!W.Tasks.empty() && leaseLapsed(W, SureAt) && hasSentRun(W))
      dropLapsedRuns(W, In.Now);
    if (!Lost_.isEmpty())
      settleEnded(W, In.Now);
    bool Forget = mayForget(W, In.Now);
    if (Forget) {
      noteUnheard(W);
      Outbox_.unenrol(It->first);
      ForgottenFenceStep_ =
          std::max(ForgottenFenceStep_, W.FenceStep + (W.Ended ? 0 : 1));
      checkFenceStep(ForgottenFenceStep_);
    }
    It = Forget ? Workers_.erase(It) : std::next(It);
  }
}

/// Whether nothing of the worker, which is no longer listed, can matter any
/// more.
bool PoolState::mayForget(const WorkerState &W, core::TimePoint Now) const {
  // The worker may be the only source of runs and ends of jobs that are not
  // loaded yet.
  bool HoldsNothing = W.Heard && W.UnknownRuns.empty() && W.Parked.empty();
  // Its machine may come back with it before it is taken away.
  bool MayLeave = W.Release.AskedAt && !W.Ended;
  return W.Gone && !MayLeave && W.Tasks.empty() && W.LostStarts.empty() &&
         W.Requests.empty() && !mayHaveCrashed(W.Entry.Id) &&
         !mayReachNextIncarnation(W, Now) && !Outbox_.hasEndsSetAside(W) &&
         !hasAwaitedEnds(W) && (HoldsNothing || leaseLapsed(W, Now));
}

void PoolState::dropLapsedRuns(WorkerState &W, core::TimePoint Now) {
  bool Doubted = W.DoubtedSince && Now < W.EarlierOrdersUntil;
  std::size_t Before = W.Tasks.size();
  if (Doubted) {
    dropListedRuns(W, Now);
  } else {
    recordLostStarts(W);
    recordLoss(W, Now);
    dropRuns(W, PresumedCause::LeaseLapsed);
  }
  std::size_t Runs = Before - W.Tasks.size();
  if (Runs == 0)
    return;
  LapsedRuns Lapsed;
  Lapsed.Worker = W.Entry.Id;
  Lapsed.Runs = Runs;
  Lapsed.ReportAge = Now - W.ReportedAt.value_or(Now);
  Lapsed.Doubted = Doubted;
  if (W.FencedAt)
    Lapsed.HeardFor = Now - *W.FencedAt;
  Lapsed.FirstClockMs = W.Clock.FirstReportMs;
  Lapsed.RestartedAtTakeover = isUnknownToEarlierOwners(W);
  Events_.Lapsed.push_back(std::move(Lapsed));
}

/// Drops the runs that the known incarnation had. Starts that no report has
/// listed may have reached a later one.
void PoolState::dropListedRuns(WorkerState &W, core::TimePoint Now) {
  std::vector<SuspectRun> Listed;
  for (const auto &[Job, Task] : W.Tasks)
    for (const LiveRun &Run : Job->Tasks[Task].Runs)
      if (Run.Worker == W.Entry.Id && Run.Listed)
        Listed.push_back({Job->Spec.Id, Task, Run.Run});
  if (Listed.empty())
    return;
  recordLoss(W, Now);
  for (const SuspectRun &Run : Listed)
    presumeEnded(*jobOf(Run.JobId), Run.Task, Run.Run,
                 PresumedCause::LeaseLapsed);
  Counters_.Lapsed += Listed.size();
}

/// A worker refuses a start only while it has no lease. The next lease would
/// let in a start that is still under way, beside the task's run elsewhere.
void PoolState::recordLostStarts(WorkerState &W) {
  bool Raise = false;
  for (const auto &[Job, Task] : W.Tasks)
    for (const LiveRun &Run : Job->Tasks[Task].Runs)
      if (Run.Worker == W.Entry.Id && Run.SendAfter == 0 && !Run.Confirmed) {
        W.LostStarts.push_back({Run.Fence, Run.OrderedAt + Limits_.LateOrder});
        Job->LateStartsUntil =
            std::max(Job->LateStartsUntil,
                     latestLeaseEnd(Run.OrderedAt + Limits_.LateOrder,
                                    Limits_.MaxLease));
        Raise = Raise || Run.Fence == fenceOf(W);
      }
  if (Raise)
    raiseFence(W);
}

void PoolState::planStops(const PlanInput &In, Orders &Out) {
  if (!StopsChanged_ && In.Now < NextStopAt_)
    return;
  StopsChanged_ = false;
  NextStopAt_ = core::TimePoint::max();
  auto IsDue = [&](core::TimePoint At) {
    if (At > In.Now)
      NextStopAt_ = std::min(NextStopAt_, At);
    return At <= In.Now;
  };
  for (auto &[Id, W] : Workers_) {
    for (const auto &[Job, Task] : W->Tasks)
      for (LiveRun &Run : Job->Tasks[Task].Runs) {
        if (!Run.Stopping || Run.StopInFlight || Run.Worker != Id)
          continue;
        if (mustStoreEnd(*Job, Task)) {
          StopsChanged_ = true;
          continue;
        }
        if (!IsDue(Run.StopAt))
          continue;
        Run.StopInFlight = true;
        Run.StopSentAt = In.Now;
        Out.Stops.push_back({Id, refOf(*Job, Task), Run.Run, fenceOf(*W)});
      }
    planUnknownStops(*W, In.Now, Out);
  }
}

/// Raises the fence at workers with overdue starts, so that their next reports
/// tell what became of them.
void PoolState::settleOverdueStarts(const PlanInput &In) {
  for (auto &[Id, W] : Workers_) {
    if (In.Now < W->NextOverdueAt)
      continue;
    W->NextOverdueAt = core::TimePoint::max();
    bool Raise = false;
    for (const auto &[Job, Task] : W->Tasks)
      for (const LiveRun &Run : Job->Tasks[Task].Runs) {
        if (Run.Worker != Id || Run.Confirmed || Run.SendAfter != 0 ||
            Run.isWaiting())
          continue;
        core::TimePoint OverdueAt = Run.sentAt() + Limits_.StartOverdue;
        if (OverdueAt > In.Now)
          W->NextOverdueAt = std::min(W->NextOverdueAt, OverdueAt);
        else
          Raise = Raise || Run.Fence == fenceOf(*W);
      }
    if (Raise)
      raiseFence(*W);
  }
}

bool PoolState::mayRequestReport(const WorkerState &W,
                                 core::TimePoint Now) const {
  bool Wanted = !W.Tasks.empty() || W.StoredUpTo > W.AcknowledgedUpTo ||
                !W.UnknownRuns.empty() || W.FenceRaised || W.ReportWanted ||
                !W.IncarnationConfirmed;
  bool Remembered = W.Gone && W.Heard && W.Tasks.empty() &&
                    W.UnknownRuns.empty() && W.StoredUpTo <= W.AcknowledgedUpTo;
  if (W.Ended || Remembered || !Wanted || Now < W.NextHold ||
      W.Requests.size() >= Limits_.MaxReportRequests)
    return false;
  // One that is not overdue will do, unless the fence was raised after it, or a
  // task waits for the report.
  return std::none_of(
      W.Requests.begin(), W.Requests.end(), [&](const ReportRequest &R) {
        return R.OverdueAt > Now && (!W.FenceRaised || R.Fence == fenceOf(W)) &&
               !((W.ReportWanted || W.RunsMissing) && R.Waits);
      });
}

/// Whether a request is in flight that was sent after the latest report.
bool PoolState::hasUnanswered(const WorkerState &W) {
  return !W.Requests.empty() && W.Requests.back().Number > W.AnsweredRequest;
}

/// Whether the worker can hardly have restarted since it made its last report.
bool PoolState::hasJustReported(const WorkerState &W,
                                core::TimePoint Now) const {
  std::optional<core::TimePoint> MadeAt =
      earliestTimeOf(W.Clock, W.Clock.LastReportMs);
  return MadeAt && Now - *MadeAt <= Limits_.AcknowledgeAge;
}

HoldOrder PoolState::nextHold(WorkerState &W, const PlanInput &In) const {
  HoldOrder Hold;
  Hold.Worker = W.Entry.Id;
  Hold.Fence = fenceOf(W);
  Hold.Number = ++W.LastRequest;
  // On the clock of a worker that has restarted, the lease would end much
  // later.
  bool MayExtend =
      W.IncarnationConfirmed && !W.Tasks.empty() && W.LostStarts.empty();
  if (hasUnanswered(W)) {
    // The worker may have lost the extension, or may be lost: it gets no longer
    // lease than the one that was sent, and no number of an earlier
    // incarnation.
    Hold.DeadlineMs = MayExtend ? W.DeadlineMs : 0;
    return Hold;
  }
  // Don't extend the lease of a silent worker, so that its runs expire and can
  // be restarted elsewhere.
  bool Extend = MayExtend && hasReportedWithin(W, Limits_.ReportStale, In.Now);
  Hold.DeadlineMs = Extend ? leaseFor(W, In) : 0;
  // A new incarnation numbers its ends from one again: acknowledging by the
  // old numbers, or repeating one after a restart that is not known of yet,
  // would make it discard unprocessed ends.
  bool HasEnds = W.IncarnationConfirmed && W.StoredUpTo > W.AcknowledgedUpTo;
  bool Acknowledge = HasEnds && hasJustReported(W, In.Now);
  Hold.AcknowledgeUpTo = Acknowledge ? W.StoredUpTo : 0;
  Hold.AcknowledgeBy = In.Now + Limits_.AcknowledgeDelay;
  bool MayWait = W.IncarnationConfirmed && !W.Tasks.empty() && !W.FenceRaised &&
                 !W.ReportWanted && !W.RunsMissing && HasEnds == Acknowledge;
  core::Duration Wait =
      W.Isolated ? Limits_.SuspectReportWait : Limits_.ReportWait;
  Hold.Wait = MayWait ? Wait : core::Duration::zero();
  return Hold;
}

void PoolState::planHolds(const PlanInput &In, Orders &Out) {
  for (auto &[Id, W] : Workers_) {
    if (!mayRequestReport(*W, In.Now))
      continue;
    HoldOrder Hold = nextHold(*W, In);
    recordLease(*W, Hold.DeadlineMs, In.Now);
    W->Requests.push_back({Hold.Number, Hold.Fence,
                           In.Now + Hold.Wait + Limits_.ReportOverdue,
                           Hold.Wait > core::Duration::zero()});
    if (!W->AskedAt)
      W->AskedAt = In.Now;
    Out.Holds.push_back(std::move(Hold));
  }
  for (auto &[Id, W] : Workers_)
    W->ReportWanted = false;
}

Orders PoolState::plan(const PlanInput &In) {
  Orders Out;
  Now_ = In.Now;
  LastInput_ = In;
  if (Fenced_ || NextRun_ >> RunCounterBits != 0) {
    Fenced_ = true;
    return Out;
  }
  if (!Settled_ && allHeard(In.Now)) {
    Settled_ = true;
    Outbox_.storeSettled();
  }
  settleParked(In);
  expireSilent(In);
  expireReleases(In.Now);
  noteEarlierOrders(In.Now);
  if (Fenced_)
    return Out;
  // An owner that can't restart tasks elsewhere must not stop them either.
  if (In.MayStart) {
    stopEvicted(In);
    StragglerPlan(*this, In).run();
  }
  if (Config_) {
    StartPlan Plan(*this, In);
    if (In.MayStart)
      Out.Starts = Plan.run();
    Out.StartsBounded = Out.Starts.size() >= In.MaxStarts;
    recordStarts(Out.Starts, In.Now);
    if (!WaitsCheckedAt_ || In.Now - *WaitsCheckedAt_ >= LongWaitCheckPeriod) {
      WaitsCheckedAt_ = In.Now;
      Events_.LongestWait = Plan.findLongWait();
    }
  }
  settleOverdueStarts(In);
  planStops(In, Out);
  planHolds(In, Out);
  recordStatuses(In.Now);
  return Out;
}

} // namespace comfreydeck::jobs
