#include "jobs/PoolState.h"
#include "jobs/StartPlan_p.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::jobs {

const char *nameOf(WorkerStatus Status) {
  switch (Status) {
  case WorkerStatus::Gone:
    return "gone";
  case WorkerStatus::Ended:
    return "ended";
  case WorkerStatus::Unheard:
    return "unheard";
  case WorkerStatus::Silent:
    return "silent";
  case WorkerStatus::Avoided:
    return "avoided";
  case WorkerStatus::Closed:
    return "closed";
  case WorkerStatus::Occupied:
    return "occupied";
  case WorkerStatus::Unenrolled:
    return "unenrolled";
  case WorkerStatus::Usable:
    return "usable";
  }
  return "";
}

const char *nameOf(WaitReason Reason) {
  switch (Reason) {
  case WaitReason::SilentWorker:
    return "silent-worker";
  case WaitReason::NotDue:
    return "not-due";
  case WaitReason::Advised:
    return "advised";
  case WaitReason::Authority:
    return "authority";
  case WaitReason::ProgressUnread:
    return "progress-unread";
  case WaitReason::Takeover:
    return "takeover";
  case WaitReason::Payload:
    return "payload";
  case WaitReason::RowRefused:
    return "row-refused";
  case WaitReason::GangPause:
    return "gang-pause";
  case WaitReason::CrashOpen:
    return "crash-open";
  case WaitReason::TeamLimit:
    return "team-limit";
  case WaitReason::Label:
    return "label";
  case WaitReason::Unplaceable:
    return "unplaceable";
  case WaitReason::Isolated:
    return "isolated";
  case WaitReason::Gang:
    return "gang";
  case WaitReason::Rack:
    return "rack";
  case WaitReason::Spread:
    return "spread";
  case WaitReason::Report:
    return "report";
  case WaitReason::Room:
    return "room";
  }
  return "";
}

WorkerStatus PoolState::statusOf(const WorkerState &W,
                                 core::TimePoint Now) const {
  if (W.Gone)
    return WorkerStatus::Gone;
  if (W.Ended)
    return WorkerStatus::Ended;
  if (!W.Heard)
    return WorkerStatus::Unheard;
  // Workers without runs are not polled, so their reports may be old.
  bool Stale =
      !W.Tasks.empty() && !hasReportedWithin(W, Limits_.ReportStale, Now);
  if (!W.IncarnationConfirmed || Stale)
    return WorkerStatus::Silent;
  if (isAvoided(W, Now))
    return WorkerStatus::Avoided;
  if (W.Closed || W.Entry.Draining ||
      ClosedDataCentres_.count(W.Entry.DataCentre) != 0)
    return WorkerStatus::Closed;
  if (!W.UnknownRuns.empty() || !W.LostStarts.empty())
    return WorkerStatus::Occupied;
  return W.Enrolled ? WorkerStatus::Usable : WorkerStatus::Unenrolled;
}

/// When the task was last known to run or, without a run, when it began to
/// wait.
core::TimePoint PoolState::missedSince(const JobRecord &Job,
                                       std::uint32_t Task) const {
  const TaskState &State = Job.Tasks[Task];
  if (State.Runs.empty())
    return State.WaitingSince;
  core::TimePoint Last;
  for (const LiveRun &Run : State.Runs)
    Last =
        std::max({Last, Run.OrderedAt,
                  Workers_.at(Run.Worker)->ReportedAt.value_or(Run.OrderedAt)});
  return Last;
}

PoolGauges PoolState::gauges(core::TimePoint Now, std::int64_t WallMs) {
  PoolGauges Census;
  Census.OpenJobs = Open_.size();
  for (const auto &[Id, W] : Workers_) {
    WorkerStatus Status = statusOf(*W, Now);
    ++Census.Workers[jobs::indexOf(Status)];
    if (Status == WorkerStatus::Usable &&
        W->Entry.Capacity.MilliCpus > W->Used.MilliCpus)
      Census.FreeMilliCpus += W->Entry.Capacity.MilliCpus - W->Used.MilliCpus;
    for (const auto &[Job, Task] : W->Tasks)
      for (const LiveRun &Run : Job->Tasks[Task].Runs) {
        if (Run.Worker != Id)
          continue;
        ++Census.Runs;
        Census.UnconfirmedRuns += Run.Confirmed ? 0 : 1;
      }
  }
  PlanInput In = LastInput_;
  In.Now = Now;
  In.WallMs = WallMs;
  StartPlan(*this, In).countWaits(Census);
  return Census;
}

/// Records how long workers were out of use.
void PoolState::recordStatuses(core::TimePoint Now) {
  for (auto &[Id, W] : Workers_) {
    WorkerStatus Status = statusOf(*W, Now);
    if (Status == W->Status)
      continue;
    if (W->Status != WorkerStatus::Usable && W->StatusSince)
      core::addSample(Counters_.OutOfUse[jobs::indexOf(W->Status)],
                      Now - *W->StatusSince);
    W->Status = Status;
    W->StatusSince = Now;
  }
}

/// Records the age of the worker reports on which the starts were based.
void PoolState::recordStarts(const std::vector<StartOrder> &Starts,
                             core::TimePoint Now) {
  Counters_.Starts += Starts.size();
  for (const StartOrder &Order : Starts) {
    WorkerState &W = *Workers_.at(Order.Worker);
    core::addSample(Counters_.ReportAge, Now - W.ReportedAt.value_or(Now));
    W.NextOverdueAt = std::min(W.NextOverdueAt, Now + Limits_.StartOverdue);
    Counters_.MaxStartsPerReport =
        std::max(Counters_.MaxStartsPerReport, ++W.StartsSinceReport);
  }
}

} // namespace comfreydeck::jobs
