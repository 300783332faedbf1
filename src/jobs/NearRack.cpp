#include "jobs/StartPlan_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// A task may be without a run for three seconds only while there is room for
/// it nowhere.
constexpr std::chrono::milliseconds MaxNearWait(2000);

} // namespace

/// Finds the racks that hold data of work left in open jobs, without lasting
/// tasks.
void StartPlan::findWantedRacks() {
  WantedRacks_.clear();
  for (const JobRecord *Job : Owner_.Open_) {
    std::size_t Steps = Job->Spec.Steps.size();
    for (std::size_t S = 0; S < Steps; ++S) {
      const StepSpec &Step = Job->Spec.Steps[S];
      if (Step.NearRack.empty() || Step.Lasting)
        continue;
      bool Left = false;
      for (std::size_t N = S; N < Job->UnfinishedTasks.size(); N += Steps)
        Left = Left || Job->UnfinishedTasks[N] > 0;
      if (Left)
        WantedRacks_.insert(Step.NearRack);
    }
  }
}

/// Whether others need the worker's rack, and the step doesn't.
bool StartPlan::isSparedFor(const WorkerState &W, const StepSpec &Step) const {
  return W.Entry.Rack != Step.NearRack && WantedRacks_.contains(W.Entry.Rack);
}

/// How long the rack's usable workers are busy with their runs and with the
/// tasks that wait for them, in milliseconds. Work without CPU counts as none.
double StartPlan::rackBusyMs(const std::string &Rack) const {
  double MilliCpus = 0;
  auto Waits = RackWaits_.find(Rack);
  double Work = Waits == RackWaits_.end() ? 0 : Waits->second;
  for (const WorkerState *W : Usable_) {
    if (W->Entry.Rack != Rack)
      continue;
    MilliCpus += roomBesideLasting(*W).MilliCpus;
    for (const auto &[Job, Task] : W->Tasks) {
      const StepSpec &Step = PoolState::stepOf(*Job, Task);
      if (!Step.Lasting && !isBeingStoppedOn(*W, *Job, Task))
        Work += reservedBy(Step).MilliCpus * leftMs(*W, *Job, Task);
    }
  }
  return Work / std::max(MilliCpus, 1.0);
}

/// How much longer the task may wait for the rack of its data: no longer than
/// its run would take longer elsewhere.
double StartPlan::rackWaitLeftMs(const JobRecord &Job,
                                 std::uint32_t Task) const {
  double RunMs = PoolState::runTimeMs(Job, PoolState::stepOf(Job, Task));
  double ExtraMs = (Owner_.Limits_.RemoteFactor - 1) * RunMs;
  return std::min(ExtraMs, core::inMs(MaxNearWait)) -
         core::inMs(ageOf(Job, Task));
}

/// Whether the task, for which a worker away from its data was chosen, may
/// still wait for a usable one near them.
bool StartPlan::mayWaitForRackInsteadOf(const WorkerState &Chosen,
                                        JobRecord &Job,
                                        std::uint32_t Task) const {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  if (Step.NearRack.empty() || Chosen.Entry.Rack == Step.NearRack ||
      Step.Lasting || isSuspect(Job, Task) || !Job.Tasks[Task].Runs.empty() ||
      rackWaitLeftMs(Job, Task) <= 0)
    return false;
  bool AnyLargeEnough = false;
  for (const WorkerState *W : Usable_) {
    if (W->Entry.Rack != Step.NearRack)
      continue;
    if (meetsConstraints(*W, Job, Task, Step))
      return false;
    AnyLargeEnough =
        AnyLargeEnough || (hasLabel(W->Entry, Step) &&
                           core::fits(reservedBy(Step), roomBesideLasting(*W)));
  }
  return AnyLargeEnough;
}

/// Whether the task waits for the rack of its data rather than start on the
/// worker that was chosen: the work ahead of it there has to end soon enough.
bool StartPlan::waitsForRackInsteadOf(const WorkerState &Chosen, JobRecord &Job,
                                      std::uint32_t Task) {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  if (!mayWaitForRackInsteadOf(Chosen, Job, Task) ||
      rackBusyMs(Step.NearRack) > rackWaitLeftMs(Job, Task))
    return false;
  RackWaits_[Step.NearRack] +=
      reservedBy(Step).MilliCpus * PoolState::runTimeMs(Job, Step);
  return true;
}

} // namespace comfreydeck::jobs
