#include "jobs/PoolState.h"

#include "jobs/LastingDemand_p.h"
#include "jobs/PoolTimes_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

using std::chrono::milliseconds;

/// Window over which the arrival rate of jobs is estimated.
constexpr core::Duration ArrivalWindow = milliseconds(1000);
constexpr core::Duration BurstWindow = milliseconds(350);
/// Minimum jobs in the burst window for an estimate.
constexpr std::size_t BurstJobs = 3;

} // namespace

core::Resources PoolState::teamUse(const std::string &Team) const {
  auto It = Teams_.find(Team);
  return It == Teams_.end() ? core::Resources{} : It->second.Use;
}

core::Resources PoolState::teamDemand(const std::string &Team) const {
  core::Resources Demand;
  auto Wanted = Teams_.find(Team);
  if (Wanted == Teams_.end())
    return Demand;
  for (JobRecord *Job : Open_) {
    if (Job->Team != &Wanted->second)
      continue;
    refreshWaiting(*Job);
    for (std::uint32_t T : Job->Waiting) {
      if (!Job->Tasks[T].Runs.empty())
        continue;
      const core::Resources &Need = stepOf(*Job, T).Need;
      Demand.MilliCpus += Need.MilliCpus;
      Demand.MemoryMb += Need.MemoryMb;
      Demand.Accelerators += Need.Accelerators;
    }
  }
  return Demand;
}

void PoolState::recordArrival(const JobRecord &Job, core::TimePoint Now) {
  double Work = 0;
  for (const StepSpec &Step : Job.Spec.Steps)
    if (!Step.Lasting && !Step.Filling)
      Work += runTimeMs(Job, Step) * Step.Tasks * Step.Need.MilliCpus;
  Arrivals_.emplace_back(Now, Work);
  while (Now - Arrivals_.front().first > ArrivalWindow)
    Arrivals_.pop_front();
}

/// Uses the higher rate of both windows: the shorter one detects a burst
/// earlier, but only with BurstJobs jobs, so that one large job is no burst.
std::uint64_t PoolState::arrivingCpu(core::TimePoint Now) const {
  double Rate = 0;
  for (core::Duration Window : {BurstWindow, ArrivalWindow}) {
    double Work = 0;
    std::size_t Jobs = 0;
    for (const auto &[At, Asked] : Arrivals_) {
      bool Inside = Now - At <= Window;
      Work += Inside ? Asked : 0;
      Jobs += Inside ? 1 : 0;
    }
    auto Ms = std::chrono::duration_cast<milliseconds>(Window).count();
    if (Window == ArrivalWindow || Jobs >= BurstJobs)
      Rate = std::max(Rate, Work / static_cast<double>(Ms));
  }
  return static_cast<std::uint64_t>(Rate);
}

PoolLoad PoolState::load(core::TimePoint Now, std::int64_t WallMs) const {
  // Jobs older than this are already late; additional machines would arrive
  // too late for them, except for lasting tasks.
  constexpr std::int64_t MaxUsefulAgeMs = 6000;
  PoolLoad Load;
  Load.Pool = Pool_;
  Load.ArrivingCpu = arrivingCpu(Now);
  for (const auto &[Id, W] : Workers_) {
    Load.PerMachine.MilliCpus =
        std::max(Load.PerMachine.MilliCpus, W->Entry.Capacity.MilliCpus);
    Load.PerMachine.MemoryMb =
        std::max(Load.PerMachine.MemoryMb, W->Entry.Capacity.MemoryMb);
    Load.PerMachine.Accelerators =
        std::max(Load.PerMachine.Accelerators, W->Entry.Capacity.Accelerators);
    for (const auto &[Job, Task] : W->Tasks) {
      const StepSpec &Step = stepOf(*Job, Task);
      std::uint64_t Cpu = Step.Filling ? 0 : Step.Need.MilliCpus;
      (Step.Lasting ? Load.LastingCpu : Load.UsedCpu) += Cpu;
      (Step.Lasting ? Load.LastingMemory : Load.UsedMemory) +=
          Step.Need.MemoryMb;
    }
    if (W->Closed || W->Entry.Draining)
      Load.Closed.push_back(Id);
    bool Idle = isEmpty(*W) && !W->Ended && !W->Gone && !W->Closed &&
                !W->Entry.Draining;
    if (Idle)
      Load.Idle.push_back(Id);
  }
  for (JobRecord *Job : Open_) {
    for (const StepSpec &Step : Job->Spec.Steps)
      if (Step.Lasting && Step.MaxPerWorker > 0)
        Load.MinWorkers =
            std::max(Load.MinWorkers,
                     (Step.Tasks + Step.MaxPerWorker - 1) / Step.MaxPerWorker);
    bool TooLate = WallMs - Job->Spec.AcceptedMs > MaxUsefulAgeMs;
    refreshWaiting(*Job);
    for (std::uint32_t T : Job->Waiting) {
      const StepSpec &Step = stepOf(*Job, T);
      if (!Job->Tasks[T].Runs.empty() || (TooLate && !Step.Lasting))
        continue;
      std::uint64_t Cpu = Step.Filling ? 0 : Step.Need.MilliCpus;
      Load.WaitingCpu += Cpu;
      Load.WaitingMemory += Step.Need.MemoryMb;
      Load.WaitingLastingCpu += Step.Lasting ? Cpu : 0;
      Load.WaitingLastingMemory += Step.Lasting ? Step.Need.MemoryMb : 0;
    }
  }
  LastingDemand(*this, Now).describe(Load);
  return Load;
}

void PoolState::recordRunTime(const JobRecord &Job, const LiveRun &Run,
                              core::TimePoint Now) {
  // A plain mean for the first samples, then an exponential moving average with
  // weight 1/Window.
  constexpr std::uint32_t Window = 50;
  RunTimes &Times = *Job.Times;
  Times.Samples = std::min(Times.Samples + 1, Window);
  double Ms = static_cast<double>(toMs(Now - Run.OrderedAt));
  Times.MeanMs += (Ms - Times.MeanMs) / Times.Samples;
}

double PoolState::runTimeMs(const JobRecord &Job, const StepSpec &Step) {
  constexpr std::uint32_t MinSamples = 10;
  return Job.Times->Samples < MinSamples ? Step.EstimateMs : Job.Times->MeanMs;
}

} // namespace comfreydeck::jobs
