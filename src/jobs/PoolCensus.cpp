#include "jobs/PoolState.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::jobs {

const char *nameOf(WorkerStanding Standing) {
  switch (Standing) {
  case WorkerStanding::Gone:
    return "gone";
  case WorkerStanding::Ended:
    return "ended";
  case WorkerStanding::Unheard:
    return "unheard";
  case WorkerStanding::Silent:
    return "silent";
  case WorkerStanding::Avoided:
    return "avoided";
  case WorkerStanding::Closed:
    return "closed";
  case WorkerStanding::Occupied:
    return "occupied";
  case WorkerStanding::Usable:
    return "usable";
  }
  return "";
}

const char *nameOf(WaitReason Reason) {
  switch (Reason) {
  case WaitReason::Advised:
    return "advised";
  case WaitReason::Takeover:
    return "takeover";
  case WaitReason::Pause:
    return "pause";
  case WaitReason::TeamLimit:
    return "team-limit";
  case WaitReason::Room:
    return "room";
  }
  return "";
}

WorkerStanding PoolState::standingOf(const WorkerState &W,
                                     core::TimePoint Now) const {
  if (W.Gone)
    return WorkerStanding::Gone;
  if (W.Ended)
    return WorkerStanding::Ended;
  if (!W.Heard)
    return WorkerStanding::Unheard;
  // A worker without runs is not asked for reports.
  bool Stale = !W.Tasks.empty() && Now - W.ReportedAt >= Limits_.ReportStale;
  if (!W.LifeSure || Stale)
    return WorkerStanding::Silent;
  if (W.AvoidUntil > Now)
    return WorkerStanding::Avoided;
  if (W.Closed || W.Entry.Draining ||
      ClosedDataCentres_.count(W.Entry.DataCentre) != 0)
    return WorkerStanding::Closed;
  return W.UnknownRuns.empty() ? WorkerStanding::Usable
                               : WorkerStanding::Occupied;
}

WaitReason PoolState::waitReason(const JobRecord &Job, std::uint32_t Task,
                                 bool AllHeard, core::TimePoint Now) const {
  if (Job.Advised)
    return WaitReason::Advised;
  if (Job.Inherited && !AllHeard)
    return WaitReason::Takeover;
  if (Job.Tasks[Task].NotBefore > Now)
    return WaitReason::Pause;
  const std::optional<core::Resources> &Room = Job.Team->Room;
  if (!Room)
    return WaitReason::Room;
  const core::Resources &Use = Job.Team->Use;
  const core::Resources &Need = stepOf(Job, Task).Need;
  auto Over = [](std::uint64_t Used, std::uint64_t More, std::uint64_t Bound) {
    return Used + More > Bound;
  };
  bool Limited = Over(Use.MilliCpus, Need.MilliCpus, Room->MilliCpus) ||
                 Over(Use.MemoryMb, Need.MemoryMb, Room->MemoryMb) ||
                 Over(Use.Accelerators, Need.Accelerators, Room->Accelerators);
  return Limited ? WaitReason::TeamLimit : WaitReason::Room;
}

PoolCensus PoolState::census(core::TimePoint Now, std::int64_t WallMs) const {
  PoolCensus Census;
  Census.OpenJobs = Open_.size();
  for (const auto &[Id, W] : Workers_) {
    WorkerStanding Standing = standingOf(*W, Now);
    ++Census.Workers[jobs::indexOf(Standing)];
    if (Standing == WorkerStanding::Usable &&
        W->Entry.Capacity.MilliCpus > W->Used.MilliCpus)
      Census.FreeMilliCpus += W->Entry.Capacity.MilliCpus - W->Used.MilliCpus;
    for (const auto &[Job, Task] : W->Tasks)
      for (const LiveRun &Run : Job->Tasks[Task].Runs) {
        if (Run.Worker != Id)
          continue;
        ++Census.Runs;
        Census.UnsureRuns += Run.Confirmed ? 0 : 1;
      }
  }
  bool AllHeard = allHeard(Now);
  for (const JobRecord *Job : Open_)
    for (std::uint32_t T = 0; T < Job->Tasks.size(); ++T) {
      const TaskState &Task = Job->Tasks[T];
      if (Task.Kept.Done || !Task.Runs.empty() ||
          !stepReady(*Job, placeOf(*Job, T)))
        continue;
      if (Job->Spec.Repetitions > 0) {
        std::int64_t K = refOf(*Job, T).Occurrence;
        if (WallMs < Job->Spec.FirstDueMs + K * Job->Spec.IntervalMs)
          continue;
      }
      ++Census.Waiting[jobs::indexOf(waitReason(*Job, T, AllHeard, Now))];
    }
  return Census;
}

PoolCounters PoolState::takeCounters() { return std::exchange(Counters_, {}); }

/// Notes how old the reports were by which the starts were decided.
void PoolState::noteStarts(const std::vector<StartOrder> &Starts,
                           core::TimePoint Now) {
  Counters_.Starts += Starts.size();
  for (const StartOrder &Order : Starts) {
    WorkerState &W = *Workers_.at(Order.Worker);
    core::addSample(Counters_.ReportAge, Now - W.ReportedAt);
    Counters_.MostByOneReport =
        std::max(Counters_.MostByOneReport, ++W.StartsSinceReport);
  }
}

} // namespace comfreydeck::jobs
