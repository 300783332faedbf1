#include "jobs/Estimates.h"

#include "jobs/Placement_p.h"
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

void Estimates::recordArrival(const JobRecord &Job, core::TimePoint Now) {
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
std::uint64_t Estimates::arrivingCpu(core::TimePoint Now) const {
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

void Estimates::recordRunTime(const JobRecord &Job, const StepSpec &Step,
                              const WorkerEntry &Entry, core::Duration Time) {
  // A plain mean for the first samples, then an exponential moving average with
  // weight 1/Window.
  constexpr std::uint32_t Window = 50;
  RunTimes &Times = timesOf(Job.Spec.Queue);
  Times.Samples = std::min(Times.Samples + 1, Window);
  double Ms =
      static_cast<double>(toMs(Time)) / slowdownOn(Entry, Step, RemoteFactor_);
  Times.MeanMs += (Ms - Times.MeanMs) / Times.Samples;
}

double runTimeMs(const JobRecord &Job, const StepSpec &Step) {
  constexpr std::uint32_t MinSamples = 10;
  return Job.Times->Samples < MinSamples ? Step.EstimateMs : Job.Times->MeanMs;
}

double Estimates::runTimeOnMs(const JobRecord &Job, const StepSpec &Step,
                              const WorkerEntry &Entry) const {
  return runTimeMs(Job, Step) * slowdownOn(Entry, Step, RemoteFactor_);
}

} // namespace comfreydeck::jobs
