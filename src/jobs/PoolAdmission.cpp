#include "jobs/PoolState.h"

#include <algorithm>
#include <tuple>

namespace comfreydeck::jobs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds BacklogPeriod(100);
/// A backlog or a word on machines that is older decides nothing.
constexpr milliseconds MaxBacklogAge(500);
constexpr milliseconds MaxComingAge(3000);
/// An owner's knowledge of run times and workers is young until then.
constexpr milliseconds YoungOwner(5000);
constexpr milliseconds RateWindow(3000);
/// Tasks that were started before the pool was full have ended by then.
constexpr milliseconds FullBeforeWindow(1500);
/// Least time that the backlog of a pool under pressure takes.
constexpr double PressedMs = 1000;

double cpuOf(const StepSpec &Step) {
  return Step.Filling ? 0 : Step.Need.MilliCpus;
}

} // namespace

void PoolState::lookAhead(const JobRecord &Job, JobOutlook &Outlook) {
  Outlook.UpToMs.clear();
  Outlook.LeftUpToMs.clear();
  Outlook.ChainMs = Outlook.RemainingMs = Outlook.RemainingWork = 0;
  for (std::size_t S = 0; S < Job.Spec.Steps.size(); ++S) {
    const StepSpec &Step = Job.Spec.Steps[S];
    double Ms = runTimeMs(Job, Step);
    double Before = 0;
    double LeftBefore = 0;
    for (std::uint32_t Earlier : Step.After) {
      Before = std::max(Before, Outlook.UpToMs[Earlier]);
      LeftBefore = std::max(LeftBefore, Outlook.LeftUpToMs[Earlier]);
    }
    std::uint32_t Unfinished = Job.UnfinishedTasks[S];
    Outlook.UpToMs.push_back(Before + Ms);
    Outlook.LeftUpToMs.push_back(LeftBefore + (Unfinished > 0 ? Ms : 0));
    Outlook.RemainingWork += Unfinished * Ms * Step.Need.MilliCpus;
    Outlook.ChainMs = std::max(Outlook.ChainMs, Outlook.UpToMs.back());
    Outlook.RemainingMs =
        std::max(Outlook.RemainingMs, Outlook.LeftUpToMs.back());
  }
  Outlook.ObjectiveMs =
      Job.Spec.SlackFactor * Outlook.ChainMs + Job.Spec.TargetMs;
}

void PoolState::setComingCpu(std::uint64_t MilliCpus, core::TimePoint Now) {
  Room_.ComingMilliCpus = static_cast<double>(MilliCpus);
  ComingAt_ = Now;
}

void PoolState::recordFinished(const JobRecord &Job, const StepSpec &Step,
                               core::TimePoint Now) {
  if (Step.Lasting)
    return;
  FinishedWork_.emplace_back(Now, runTimeMs(Job, Step) * cpuOf(Step));
  while (Now - FinishedWork_.front().first > RateWindow)
    FinishedWork_.pop_front();
}

/// Zero unless tasks have waited for room for the whole window and before.
double PoolState::finishedCpu(core::TimePoint Now) const {
  if (!FullSince_ || Now - *FullSince_ < RateWindow + FullBeforeWindow)
    return 0;
  double Work = 0;
  for (const auto &[At, Done] : FinishedWork_)
    Work += Now - At <= RateWindow ? Done : 0;
  return Work / static_cast<double>(RateWindow.count());
}

/// Counts workers that get no starts at the moment, as they may at any time.
double PoolState::roomBesideLasting() const {
  double Room = 0;
  for (const auto &[Id, W] : Workers_) {
    if (W->Gone || W->Ended)
      continue;
    double Lasting = 0;
    for (const auto &[Job, Task] : W->Tasks)
      Lasting += stepOf(*Job, Task).Lasting ? cpuOf(stepOf(*Job, Task)) : 0;
    Room += std::max(0.0, W->Entry.Capacity.MilliCpus - Lasting);
  }
  return Room;
}

/// Adds the job unless others may overtake it anyway; returns whether one of
/// its tasks waits for room.
bool PoolState::addToBacklog(JobRecord &Job, const PlanInput &In,
                             JobOutlook &Outlook) {
  const std::optional<core::Resources> &Limit = Job.Team->Room;
  bool AtLimit = Limit && Job.Team->Use.MilliCpus >= Limit->MilliCpus;
  bool HeldBack = Job.Spec.Steps.front().Lasting || Job.Spec.Repetitions > 0 ||
                  Job.Advised || Job.Spec.PayloadMissing || AtLimit;
  if (HeldBack)
    return false;
  lookAhead(Job, Outlook);
  BacklogJob B;
  B.Priority = Job.Priority;
  B.Size = Outlook.RemainingWork;
  double AgeMs = static_cast<double>(In.WallMs - Job.Spec.AcceptedMs);
  B.SlackMs = Outlook.ObjectiveMs - AgeMs - Outlook.RemainingMs;
  B.WorthMs = WorthlessAfterObjectives * Outlook.ObjectiveMs - AgeMs -
              Outlook.RemainingMs;
  bool Waits = false;
  for (std::uint32_t T = 0; T < Job.Tasks.size(); ++T) {
    const TaskState &Task = Job.Tasks[T];
    if (Task.Kept.Done)
      continue;
    const StepSpec &Step = stepOf(Job, T);
    double Ms = runTimeMs(Job, Step);
    if (!Task.Runs.empty())
      Ms -= std::min(Ms, std::chrono::duration<double, std::milli>(
                             In.Now - Task.Runs.front().OrderedAt)
                             .count());
    B.WorkLeft += Ms * cpuOf(Step);
  }
  refreshWaiting(Job);
  for (std::uint32_t T : Job.Waiting)
    Waits = Waits ||
            (Job.Tasks[T].Runs.empty() && Job.Tasks[T].NotBefore <= In.Now);
  Backlog_.push_back(B);
  return Waits;
}

void PoolState::refreshBacklog(const PlanInput &In) {
  if (!In.MayStart || In.Now - BacklogAt_ < BacklogPeriod)
    return;
  BacklogAt_ = In.Now;
  Backlog_.clear();
  BacklogWork_ = 0;
  bool Full = false;
  JobOutlook Outlook;
  for (JobRecord *Job : Open_)
    Full = addToBacklog(*Job, In, Outlook) || Full;
  for (const BacklogJob &B : Backlog_)
    BacklogWork_ += B.WorthMs > 0 ? B.WorkLeft : 0;
  std::sort(Backlog_.begin(), Backlog_.end(),
            [](const BacklogJob &A, const BacklogJob &B) {
              return std::tie(A.Priority, A.Size) <
                     std::tie(B.Priority, B.Size);
            });
  if (!Full)
    FullSince_.reset();
  else if (!FullSince_)
    FullSince_ = In.Now;
  Room_.MilliCpus = roomBesideLasting();
  Room_.FinishedMilliCpus = finishedCpu(In.Now);
}

bool PoolState::mayRefuse(core::TimePoint Now) const {
  return Settled_ && MayStart_ && !Fenced_ && Now - TakenAt_ >= YoungOwner &&
         Now - BacklogAt_ <= MaxBacklogAge && ComingAt_ &&
         Now - *ComingAt_ <= MaxComingAge;
}

bool PoolState::isPressed(core::TimePoint Now) const {
  return mayRefuse(Now) && BacklogWork_ > PressedMs * usableMilliCpus(Room_);
}

AdmissionAnswer PoolState::admit(const JobSpec &Spec,
                                 core::TimePoint Now) const {
  AdmissionAnswer Answer;
  bool Timed = Spec.Repetitions > 0 ||
               std::any_of(Spec.Steps.begin(), Spec.Steps.end(),
                           [](const StepSpec &Step) { return Step.Lasting; });
  auto Times = RunTimes_.find(Spec.Queue);
  if (Timed || !mayRefuse(Now) || Jobs_.count(Spec.Id) != 0 ||
      Times == RunTimes_.end())
    return Answer;
  JobRecord Job;
  Job.Spec = Spec;
  RunTimes Known = Times->second;
  Job.Times = &Known;
  for (const StepSpec &Step : Spec.Steps)
    Job.UnfinishedTasks.push_back(Step.Tasks);
  applyQueueSettings(Job);
  JobOutlook Outlook;
  lookAhead(Job, Outlook);
  Answer.Decided = true;
  Answer.Decision = decideAdmission(Room_, Backlog_,
                                    {Job.Priority, Outlook.RemainingWork,
                                     Outlook.ChainMs, Outlook.ObjectiveMs});
  Answer.BacklogAge = Now - BacklogAt_;
  Answer.ComingAge = Now - *ComingAt_;
  return Answer;
}

} // namespace comfreydeck::jobs
