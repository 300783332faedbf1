#include "jobs/PoolSimulation_p.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

constexpr int WorkerCount = 4;
/// The workers' cores, if they are not all alike.
constexpr std::uint32_t UnequalCores[WorkerCount] = {3, 5, 6, 8};
constexpr int StormWorkerCount = 8;
constexpr std::uint32_t LastingTaskCount = 6;
constexpr std::uint32_t AbsenceAllowance = 2;
/// What an owner takes for the team's limit at first.
constexpr core::Resources FirstTeamRoom{1000, 100000, 0};
constexpr double SilencingShare = 0.1;
/// Share of the jobs that are told as those of another queue: one in so many.
constexpr unsigned long OtherQueueEvery = 50;

} // namespace

void PoolSimulation::addWorkers() {
  int Count = Options_.Racks         ? RackWorkerCount
              : Options_.CrashStorms ? StormWorkerCount
                                     : WorkerCount;
  for (int N = 0; N < Count; ++N) {
    Worker W;
    W.Id = W.Place = "w" + std::to_string(N);
    W.Capacity = sampleWorker(W.Id).Capacity;
    if (Options_.UnequalSizes)
      W.Capacity.MilliCpus = UnequalCores[N % WorkerCount] * 1000;
    if (Options_.PlacementLimits && N % 2 == 0)
      W.Labels = {JobLabel};
    if (Options_.Racks)
      W.Rack = rackOf(static_cast<std::size_t>(N));
    Workers_.push_back(std::move(W));
  }
}

/// With unequal sizes, a third of its tasks each need one, two and three cores.
JobSpec PoolSimulation::lastingJob() const {
  JobSpec Job = sampleJob(0, LastingTaskCount);
  Job.Steps[0].Lasting = true;
  Job.Steps[0].AbsenceAllowance = AbsenceAllowance;
  if (!Options_.UnequalSizes)
    return Job;
  Job.Steps[0].Tasks = LastingTaskCount / 3;
  Job.Steps[0].AbsenceAllowance = 1;
  Job.Steps.resize(3, Job.Steps[0]);
  for (std::uint32_t S = 0; S < Job.Steps.size(); ++S)
    Job.Steps[S].Need.MilliCpus *= S + 1;
  return Job;
}

/// Draws what makes up the job in the kinds of history that are asked for.
void PoolSimulation::shapeJob(JobSpec &Spec) {
  if (Options_.Racks) {
    shapeRackJob(Spec);
    return;
  }
  if (Options_.CrashStorms)
    shapeStormJob(Spec);
  StepSpec &Step = Spec.Steps[0];
  if (Options_.UnequalSizes)
    Step.Need.MilliCpus = static_cast<std::uint32_t>(draw(1, 4)) * 500;
  if (Options_.PlacementLimits && chance(FeatureShare))
    Step.Label = JobLabel;
  if (Options_.PlacementLimits && chance(FeatureShare))
    Step.MaxPerWorker = 1;
  if (Options_.TeamLimits && chance(FeatureShare))
    Spec.Team = TeamName;
  // A limited gang might fit on no set of workers.
  bool Limited = !Step.Label.empty() || Step.MaxPerWorker != 0;
  if (Options_.Gangs && !Limited && chance(FeatureShare))
    Step.Gang = true;
  if (Options_.SilentAfterStart && chance(SilencingShare))
    SilencingJobs_.insert(Spec.Id);
}

/// The limit as allotted to earlier owners, and some time later as it is.
void PoolSimulation::setTeamRoom(const OwnerPtr &O) {
  if (!Options_.TeamLimits)
    return;
  O->State->setTeamRoom({{TeamName, FirstTeamRoom}});
  if (Options_.ViolatedRule != RuleViolation::NoTeamRoom)
    schedule(0, 3000, [O] { O->State->setTeamRoom({{TeamName, TeamRoom}}); });
}

/// The job as an owner first learns of it.
JobSpec PoolSimulation::specFor(const JobSpec &Spec) const {
  JobSpec Known = Spec;
  if (Options_.LatePayloads) {
    Known.Payload.clear();
    Known.PayloadMissing = true;
  }
  for (StepSpec &Step : Known.Steps) {
    Step.SameRack &= Options_.ViolatedRule != RuleViolation::NoSameRack;
    if (Options_.ViolatedRule == RuleViolation::NoNearRack)
      Step.NearRack.clear();
    if (Options_.ViolatedRule == RuleViolation::NoLabels)
      Step.Label.clear();
    if (Options_.ViolatedRule == RuleViolation::NoSpread)
      Step.MaxPerWorker = 0;
  }
  if (Options_.ViolatedRule == RuleViolation::OtherQueue &&
      std::stoul(Spec.Id) % OtherQueueEvery == 0)
    Known.Queue = "other";
  return Known;
}

void PoolSimulation::loadPayloads(const OwnerPtr &O) {
  if (!Options_.LatePayloads)
    return;
  for (const std::string &Id : O->State->jobsWithoutPayload()) {
    if (!O->Loading.insert(Id).second)
      continue;
    if (Options_.ViolatedRule == RuleViolation::ForgottenPayload &&
        chance(0.02))
      continue;
    bool Failed = mayFault() && chance(0.2);
    schedule(20, 2000, [this, O, Id, Failed] {
      if (!Failed)
        O->State->setPayload(Id, specOf(Id).Payload);
      O->Loading.erase(Id);
    });
  }
}

void PoolSimulation::closeWorkers(const OwnerPtr &O) {
  std::set<std::string> Closed;
  for (const Worker &W : Workers_)
    if (W.Closed)
      Closed.insert(W.Id);
  if (Options_.ViolatedRule == RuleViolation::NoReopening) {
    O->EverClosed.insert(Closed.begin(), Closed.end());
    Closed = O->EverClosed;
  }
  if (Options_.ViolatedRule == RuleViolation::OneOpenRack)
    for (const Worker &W : Workers_)
      if (W.Rack != Workers_.back().Rack)
        Closed.insert(W.Id);
  O->State->setClosedWorkers(Closed);
}

/// The members of a gang are started together.
void PoolSimulation::checkGangs(const Orders &Out) {
  std::map<std::pair<std::string, RunId>, std::vector<TaskRef>> Gangs;
  for (const StartOrder &Order : Out.Starts)
    if (stepOf(Order.Task).Gang)
      Gangs[{Order.Task.JobId, Order.Run}].push_back(Order.Task);
  for (const auto &[Id, Members] : Gangs)
    if (Members.size() != stepOf(Members[0]).Tasks)
      fail("a gang was started in part");
}

/// Gangs begin to work once all their members run, and end with the first one
/// that does.
void PoolSimulation::gangSteps() {
  std::map<std::pair<std::string, RunId>, std::vector<Run *>> Gangs;
  for (Worker &W : Workers_)
    for (Run &R : W.Running)
      if (R.InGang)
        Gangs[{R.Task.JobId, R.Id}].push_back(&R);
  std::vector<Run> Broken;
  for (auto &[Id, Members] : Gangs) {
    bool Whole = Members.size() == stepOf(Members[0]->Task).Tasks;
    bool Began = std::any_of(Members.begin(), Members.end(),
                             [](const Run *R) { return R->AtWork; });
    core::TimePoint EndsAt =
        Now_ + milliseconds(Whole && !Began ? draw(100, 1500) : 0);
    if (Options_.Racks && Whole && !Began)
      EndsAt = Now_ + std::chrono::duration_cast<core::Duration>(
                          (EndsAt - Now_) * slownessOf(Members[0]->Task));
    for (Run *R : Members) {
      if (Whole && !Began) {
        R->AtWork = true;
        if (!R->Crashes)
          R->EndsAt = EndsAt;
      } else if (!Whole && Began) {
        Broken.push_back(*R);
      }
    }
  }
  for (const Run &R : Broken)
    for (Worker &W : Workers_) {
      auto Same = [&](const Run &Other) {
        return Other.Task == R.Task && Other.Id == R.Id;
      };
      if (std::erase_if(W.Running, Same) > 0)
        end(W, R, RunEnd::Broken);
    }
}

} // namespace comfreydeck::jobs
