#include "jobs/StartPlan_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace comfreydeck::jobs {

namespace {

/// Once a member has ended, its workers end the others within this time.
constexpr std::chrono::milliseconds BreakTime(1000);
/// Time for the stops of a gang to reach its workers, also when one has to be
/// repeated.
constexpr std::chrono::milliseconds StopDelivery(600);

} // namespace

bool StartPlan::hasGang(const JobRecord &Job) {
  return std::any_of(Job.Spec.Steps.begin(), Job.Spec.Steps.end(),
                     [](const StepSpec &Step) { return Step.Gang; });
}

/// Whether a member has no run, or only ones that are being stopped, while
/// another one still has one.
bool StartPlan::isBreaking(const JobRecord &Job, std::uint32_t First) {
  bool HasRun = false;
  bool HasEnded = false;
  for (std::uint32_t T = First; T < First + PoolState::stepOf(Job, First).Tasks;
       ++T) {
    HasRun = HasRun || !Job.Tasks[T].Runs.empty();
    HasEnded = HasEnded || Job.Tasks[T].Runs.empty() || isBeingStopped(Job, T);
  }
  return HasRun && HasEnded;
}

/// Whether the gang was stopped since a member got no start, and pauses.
bool StartPlan::isPaused(const JobRecord &Job, std::uint32_t First) const {
  return In_.Now < Job.Tasks[First].NotBefore;
}

/// When the first start of a member was sent; the maximum if none was.
core::TimePoint StartPlan::gangStartedAt(const JobRecord &Job,
                                         std::uint32_t First) {
  core::TimePoint At = core::TimePoint::max();
  for (std::uint32_t T = First; T < First + PoolState::stepOf(Job, First).Tasks;
       ++T)
    for (const LiveRun &Run : Job.Tasks[T].Runs)
      if (Run.SendAfter == 0 && !Run.isWaiting())
        At = std::min(At, Run.sentAt());
  return At;
}

/// Whether a worker has told that it has the member, with no sign since that it
/// may have lost it.
bool StartPlan::isPresent(const JobRecord &Job, std::uint32_t Task) const {
  const std::vector<LiveRun> &Runs = Job.Tasks[Task].Runs;
  return std::any_of(Runs.begin(), Runs.end(), [&](const LiveRun &Run) {
    return Run.Listed || (Run.Confirmed &&
                          Owner_.Workers_.at(Run.Worker)->IncarnationConfirmed);
  });
}

/// Whether members wait for another one that will not be there before their
/// workers end them for it.
bool StartPlan::waitsInVain(const JobRecord &Job, std::uint32_t First) const {
  const StepSpec &Step = PoolState::stepOf(Job, First);
  std::uint32_t Last = First + Step.Tasks;
  core::TimePoint StartedAt = gangStartedAt(Job, First);
  core::Duration Timeout = Owner_.Limits_.GangTimeout;
  if (Step.Tasks == 1 || StartedAt == core::TimePoint::max() ||
      In_.Now - StartedAt >= Timeout)
    return false;
  core::Duration StopsTake = Owner_.Limits_.StopTime + StopDelivery;
  bool MustStop =
      In_.Now - StartedAt >= std::max(Timeout - StopsTake, Timeout / 2);
  bool IsMissing = false;
  for (std::uint32_t T = First; T < Last; ++T) {
    const std::vector<LiveRun> &Runs = Job.Tasks[T].Runs;
    if (std::any_of(Runs.begin(), Runs.end(),
                    [](const LiveRun &Run) { return Run.Percent > 0; }))
      return false;
    // An unanswered start may still be carried out in time.
    bool HasNoStart = Runs.empty() && !Step.Lasting;
    IsMissing = IsMissing || HasNoStart || (MustStop && !isPresent(Job, T));
  }
  return IsMissing;
}

/// Whether members go on though another one has long had no run, or wait for it
/// in vain.
bool StartPlan::isIncomplete(const JobRecord &Job, std::uint32_t First) const {
  std::uint32_t Last = First + PoolState::stepOf(Job, First).Tasks;
  bool HasRun = false;
  bool HasLongEnded = false;
  for (std::uint32_t T = First; T < Last; ++T) {
    const TaskState &State = Job.Tasks[T];
    HasRun = HasRun || !State.Runs.empty();
    HasLongEnded = HasLongEnded || (State.Runs.empty() &&
                                    In_.Now - State.WaitingSince >= BreakTime);
  }
  return HasRun && (HasLongEnded || waitsInVain(Job, First));
}

/// Lets gangs of which a member has ended or has not started start again as a
/// whole: stops the members that go on without it, and keeps room for all
/// members of a lasting gang until it may start again.
void StartPlan::planBreakingGangs() {
  std::vector<std::pair<JobRecord *, std::uint32_t>> Breaking;
  for (JobRecord *Job : Owner_.Open_) {
    if (!hasGang(*Job) || isHeldBack(*Job))
      continue;
    for (std::uint32_t First = 0; First < Job->Tasks.size();) {
      const StepSpec &Step = PoolState::stepOf(*Job, First);
      if (Step.Gang && !Job->Tasks[First].Kept.Done) {
        if (isIncomplete(*Job, First))
          stopRest(*Job, First);
        if (Step.Lasting && (isBreaking(*Job, First) || isPaused(*Job, First)))
          Breaking.emplace_back(Job, First);
      }
      First += Step.Gang ? Step.Tasks : 1;
    }
  }
  std::sort(Breaking.begin(), Breaking.end(), [](const auto &A, const auto &B) {
    return std::tie(A.first->Spec.Id, A.second) <
           std::tie(B.first->Spec.Id, B.second);
  });
  for (const auto &[Job, First] : Breaking)
    holdGang(*Job, First);
}

/// Stops the members that are left, which can't be at work.
void StartPlan::stopRest(JobRecord &Job, std::uint32_t First) {
  if (!Owner_.mayRestart(Job))
    return;
  std::uint32_t Last = First + PoolState::stepOf(Job, First).Tasks;
  for (std::uint32_t T = First; T < Last; ++T)
    for (LiveRun &Run : Job.Tasks[T].Runs)
      if (!Run.Stopping)
        Owner_.stopRun(Job, T, Run, StopReason::GangBroken, In_.Now);
}

/// Takes the runs of the gang's members off, and their room off the workers,
/// for as long as it exists.
class StartPlan::GangTakenOff {
public:
  GangTakenOff(const PoolState &Owner, JobRecord &Job, std::uint32_t First)
      : Owner_(Owner), Job_(Job), First_(First),
        Runs_(PoolState::stepOf(Job, First).Tasks) {
    for (std::uint32_t Index = 0; Index < Runs_.size(); ++Index) {
      Runs_[Index] = std::exchange(Job.Tasks[First + Index].Runs, {});
      for (const LiveRun &Run : Runs_[Index])
        PoolState::vacate(*Owner.Workers_.at(Run.Worker), step());
    }
  }
  ~GangTakenOff() {
    for (std::uint32_t Index = 0; Index < Runs_.size(); ++Index) {
      for (const LiveRun &Run : Runs_[Index])
        PoolState::occupy(*Owner_.Workers_.at(Run.Worker), step());
      Job_.Tasks[First_ + Index].Runs = std::move(Runs_[Index]);
    }
  }
  GangTakenOff(const GangTakenOff &) = delete;
  GangTakenOff &operator=(const GangTakenOff &) = delete;

private:
  const StepSpec &step() const { return PoolState::stepOf(Job_, First_); }

  const PoolState &Owner_;
  JobRecord &Job_;
  std::uint32_t First_;
  std::vector<std::vector<LiveRun>> Runs_;
};

/// Keeps room for all members of a gang for this round, beside or instead of
/// the runs that it has. False if there is none; the workers that will have it
/// soonest are kept then, for one gang in a round.
bool StartPlan::holdGang(JobRecord &Job, std::uint32_t First) {
  const StepSpec &Step = PoolState::stepOf(Job, First);
  std::set<const WorkerState *> KeptBefore;
  for (const WorkerState *W : Usable_)
    if (W->KeptForGang)
      KeptBefore.insert(W);
  std::vector<WorkerState *> Places;
  std::optional<GangRoom> Room;
  {
    GangTakenOff Without(Owner_, Job, First);
    Places = placeGang(Job, First);
    if (Places.empty() && KeptWorkers_ == 0)
      Room = findGangRoom(Job, First, KeptBefore);
  }
  for (std::uint32_t Index = 0; Index < Places.size(); ++Index)
    if (core::fits(reservedBy(Step), freeOn(*Places[Index])))
      holdPlaceOn(*Places[Index], Job, First + Index);
  if (Room) {
    KeptWorkers_ += Room->Workers.size();
    for (WorkerState *W : Room->Workers)
      std::erase(Usable_, W);
  }
  return !Places.empty();
}

/// Stops the member on the closed worker if the whole gang has a place
/// elsewhere. The others end with it.
void StartPlan::moveGang(WorkerState &W, JobRecord &Job, std::uint32_t Task) {
  std::uint32_t First = Task - PoolState::placeOf(Job, Task).Index;
  if (isBreaking(Job, First) || !mayLeave(Job, Task))
    return;
  // A worker that leaves takes its tasks along.
  if (W.Entry.Draining || holdGang(Job, First))
    stopOn(W, Job, Task, StopReason::WorkerClosed);
}

} // namespace comfreydeck::jobs
