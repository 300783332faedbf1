#include "jobs/PoolState.h"
#include "jobs/StartPlan_p.h"
#include "jobs/StragglerPlan_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

/// Runs on workers that are out of reach end with their leases.
void PoolState::expireSilent(const PlanInput &In) {
  // An owner that came since the last reading may have given the worker a
  // longer lease: only until that reading no lease but ours can have counted.
  core::TimePoint SureAt =
      std::min(In.Now, In.AuthorityEnd - Limits_.Authority);
  for (auto It = Workers_.begin(); It != Workers_.end();) {
    WorkerState &W = *It->second;
    if (!W.Tasks.empty() && leaseLapsed(W, SureAt))
      loseRuns(W);
    // Runs and ends of jobs that come later may be known from it alone.
    bool HoldsNothing = W.Heard && W.UnknownRuns.empty() && W.Parked.empty();
    bool Forget = W.Gone && W.Tasks.empty() && !W.HoldInFlight &&
                  (HoldsNothing || leaseLapsed(W, In.Now));
    if (Forget)
      strike(It->first);
    It = Forget ? Workers_.erase(It) : std::next(It);
  }
}

void PoolState::planStops(const PlanInput &In, Orders &Out) {
  for (auto &[Id, W] : Workers_)
    for (const auto &[Job, Task] : W->Tasks)
      for (LiveRun &Run : Job->Tasks[Task].Runs) {
        bool Due = Run.Stopping && !Run.StopInFlight && Run.Worker == Id &&
                   Run.StopAt <= In.Now;
        if (!Due)
          continue;
        Run.StopInFlight = true;
        Out.Stops.push_back({Id, refOf(*Job, Task), Run.Run});
      }
}

void PoolState::planHolds(const PlanInput &In, Orders &Out) {
  for (auto &[Id, W] : Workers_) {
    if (W->Ended)
      continue;
    bool Wanted = !W->Tasks.empty() || W->Noted > W->NotedTold ||
                  !W->UnknownRuns.empty() || !W->LifeSure;
    if (!Wanted || W->HoldInFlight || In.Now < W->NextHold)
      continue;
    HoldOrder Hold;
    Hold.Worker = Id;
    // A worker that is silent gets no longer lease: its runs end with the one
    // that it has, and can then be started elsewhere.
    bool Extend =
        !W->Tasks.empty() && In.Now - W->ReportedAt < Limits_.ReportStale;
    Hold.DeadlineMs = Extend ? leaseFor(*W, In) : 0;
    // A new life counts its ends anew: it must not forget by the old count.
    Hold.NotedUpTo = W->LifeSure ? W->Noted : 0;
    bool MayWait = W->LifeSure && !W->Tasks.empty();
    Hold.Wait = MayWait ? Limits_.ReportWait : core::Duration::zero();
    W->DeadlineMs = std::max(W->DeadlineMs, Hold.DeadlineMs);
    W->HoldInFlight = true;
    if (W->AskedAt == core::TimePoint())
      W->AskedAt = In.Now;
    Out.Holds.push_back(std::move(Hold));
  }
}

Orders PoolState::plan(const PlanInput &In) {
  Orders Out;
  if (Fenced_ || NextRun_ >> RunCounterBits != 0) {
    Fenced_ = true;
    return Out;
  }
  if (!Settled_ && allHeard(In.Now))
    Settled_ = ToStoreSettled_ = true;
  settleParked(In);
  expireSilent(In);
  clearClosed(In);
  if (In.MayStart)
    StragglerPlan(*this, In).run();
  if (In.MayStart && Config_) {
    StartPlan Plan(*this, In);
    Out.Starts = Plan.run();
    noteStarts(Out.Starts, In.Now);
  }
  planStops(In, Out);
  planHolds(In, Out);
  return Out;
}

} // namespace comfreydeck::jobs
