#include "jobs/GangRetry.h"
#include "jobs/StartPlan_p.h"

#include <algorithm>
#include <string_view>

namespace comfreydeck::jobs {

namespace {

constexpr double NoStartPenalty = 2.0;

} // namespace

/// Starts all members of the gang or none.
void StartPlan::planGang(JobRecord &Job, std::uint32_t First) {
  const StepSpec &Step = PoolState::stepOf(Job, First);
  if (!mayStartGang(Job, First))
    return;
  std::vector<WorkerState *> Places = placeGang(Job, First);
  if (Places.empty())
    return;
  if (mustWithholdAny(Job, First, Places)) {
    for (std::uint32_t Index = 0; Index < Step.Tasks; ++Index)
      withhold(Job, First + Index, *Places[Index]);
    return;
  }
  RunId Run = nextRun();
  for (std::uint32_t Index = 0; Index < Step.Tasks; ++Index) {
    start(Job, First + Index, *Places[Index], Run);
    announce(Job, First + Index);
  }
}

/// Whether all members may start, apart from room on workers.
bool StartPlan::mayStartGang(const JobRecord &Job, std::uint32_t First) const {
  const StepSpec &Step = PoolState::stepOf(Job, First);
  for (std::uint32_t T = First; T < First + Step.Tasks; ++T)
    if (!mayStart(Job, T))
      return false;
  return hasTeamRoom(Job, Step, Step.Tasks);
}

/// Whether a member has to wait for a report of its worker.
bool StartPlan::mustWithholdAny(const JobRecord &Job, std::uint32_t First,
                                std::span<WorkerState *const> Places) const {
  for (std::uint32_t Index = 0; Index < Places.size(); ++Index)
    if (mustWithhold(Job, First + Index, *Places[Index]))
      return true;
  return false;
}

/// How many tasks of the step the free resources of a worker hold, up to all of
/// them and to its maximum on one worker.
std::uint32_t StartPlan::placesIn(const core::Resources &Free,
                                  const StepSpec &Step) {
  core::Resources Need = reservedBy(Step);
  std::uint32_t Places = Step.Tasks;
  if (Step.MaxPerWorker > 0)
    Places = std::min(Places, Step.MaxPerWorker);
  auto Bound = [&](std::uint32_t Has, std::uint32_t One) {
    if (One > 0)
      Places = std::min(Places, Has / One);
  };
  Bound(Free.MilliCpus, Need.MilliCpus);
  Bound(Free.MemoryMb, Need.MemoryMb);
  Bound(Free.Accelerators, Need.Accelerators);
  return Places;
}

/// How many more tasks of the step the worker may take, up to all of them.
std::uint32_t StartPlan::countPlaces(const WorkerState &W, JobRecord &Job,
                                     std::uint32_t Task,
                                     const StepSpec &Step) const {
  std::uint32_t Places = placesIn(freeOn(W), Step);
  if (Step.MaxPerWorker == 0)
    return Places;
  std::uint32_t Runs = countStepRuns(W, Job, Task);
  return std::min(Places,
                  Step.MaxPerWorker - std::min(Runs, Step.MaxPerWorker));
}

/// The usable workers with room for a member.
std::vector<StartPlan::GangHost>
StartPlan::findGangHosts(JobRecord &Job, std::uint32_t First) const {
  const StepSpec &Step = PoolState::stepOf(Job, First);
  std::span<const TaskState> Members =
      std::span(Job.Tasks).subspan(First, Step.Tasks);
  bool Apart =
      std::any_of(Members.begin(), Members.end(), [&](const TaskState &Task) {
        return In_.Now < Task.SpreadUntil;
      });
  std::vector<GangHost> Hosts;
  for (WorkerState *W : Usable_)
    if (meetsConstraints(*W, Job, First, Step) &&
        !(Apart && Suspects_.count(W) != 0))
      Hosts.push_back({W, countPlaces(*W, Job, First, Step), 0, loadOf(*W),
                       gotNoStartOn(Members, W->Entry.Id)});
  return Hosts;
}

/// \pre The load leaves room for a task of the step.
void StartPlan::addTo(WorkerLoad &Load, const StepSpec &Step) {
  core::Resources Need = reservedBy(Step);
  Load.Free.MilliCpus -= Need.MilliCpus;
  Load.Free.MemoryMb -= Need.MemoryMb;
  Load.Free.Accelerators -= Need.Accelerators;
  Load.Lasting += Step.Lasting ? 1 : 0;
  Load.Serving += Step.TailTargetMs > 0 ? 1 : 0;
  Load.Filling += Step.Filling ? 1 : 0;
}

/// The score of a worker for one more member.
double StartPlan::memberScore(const GangHost &Host, const JobRecord &Job,
                              std::uint32_t Task) const {
  const StepSpec &Step = PoolState::stepOf(Job, Task);
  double Score = score(*Host.Worker, Host.Load, Job, Task, Step);
  if (Host.GaveNoStart)
    Score -= NoStartPenalty;
  if (Host.Placed > 0 && isSuspect(Job, Task))
    Score -= besideSuspects(Host.Placed);
  return Score;
}

/// Places the members one after the other, each on the worker with the best
/// score. Without a worker for each if the hosts have too few places.
StartPlan::GangPlacement StartPlan::placeMembers(std::vector<GangHost> Hosts,
                                                 JobRecord &Job,
                                                 std::uint32_t First) const {
  const StepSpec &Step = PoolState::stepOf(Job, First);
  GangPlacement Placement;
  for (std::uint32_t T = First; T < First + Step.Tasks; ++T) {
    GangHost *Best = nullptr;
    double BestScore = 0;
    for (GangHost &Host : Hosts) {
      if (Host.Places == 0)
        continue;
      double Score = memberScore(Host, Job, T);
      if (!Best || Score > BestScore) {
        Best = &Host;
        BestScore = Score;
      }
    }
    if (!Best)
      return {};
    Placement.Workers.push_back(Best->Worker);
    Placement.Score += BestScore;
    --Best->Places;
    ++Best->Placed;
    addTo(Best->Load, Step);
  }
  return Placement;
}

std::uint64_t StartPlan::countPlaces(std::span<const GangHost> Hosts) {
  std::uint64_t Places = 0;
  for (const GangHost &Host : Hosts)
    Places += Host.Places;
  return Places;
}

/// Places the gang in the rack with the best sum of scores among those that
/// hold all members.
StartPlan::GangPlacement
StartPlan::placeInOneRack(std::span<const GangHost> Hosts, JobRecord &Job,
                          std::uint32_t First) const {
  std::map<std::string_view, std::vector<GangHost>> Racks;
  for (const GangHost &Host : Hosts)
    Racks[Host.Worker->Entry.Rack].push_back(Host);
  GangPlacement Best;
  for (auto &[Rack, InRack] : Racks) {
    if (countPlaces(InRack) < PoolState::stepOf(Job, First).Tasks)
      continue;
    GangPlacement Placement = placeMembers(std::move(InRack), Job, First);
    if (Best.Workers.empty() || Placement.Score > Best.Score)
      Best = std::move(Placement);
  }
  return Best;
}

/// A worker for each member of the gang; none if there is no room for all.
/// Changes nothing.
std::vector<WorkerState *> StartPlan::placeGang(JobRecord &Job,
                                                std::uint32_t First) const {
  const StepSpec &Step = PoolState::stepOf(Job, First);
  std::vector<GangHost> Hosts = findGangHosts(Job, First);
  if (countPlaces(Hosts) < Step.Tasks)
    return {};
  if (Step.SameRack) {
    GangPlacement InOne = placeInOneRack(Hosts, Job, First);
    if (!InOne.Workers.empty() || mayWaitForRack(Job, First))
      return InOne.Workers;
  }
  return placeMembers(std::move(Hosts), Job, First).Workers;
}

/// Whether the gang waits for a rack of its own: for no longer than its run
/// would take longer on several racks, and only if a rack will have room.
bool StartPlan::mayWaitForRack(const JobRecord &Job,
                               std::uint32_t First) const {
  const StepSpec &Step = PoolState::stepOf(Job, First);
  double ExtraMs =
      (Owner_.Limits_.RemoteFactor - 1) * PoolState::runTimeMs(Job, Step);
  double MostMs = std::min(ExtraMs, core::inMs(Owner_.Limits_.MaxRackWait));
  return !Step.Lasting && core::inMs(gangAge(Job, First)) < MostMs &&
         mayRackHold(Step);
}

/// Whether a rack holds the gang once all that ends by itself has ended there.
bool StartPlan::mayRackHold(const StepSpec &Step) const {
  std::map<std::string_view, std::uint64_t> Places;
  for (const WorkerState *W : Usable_)
    if (hasLabel(W->Entry, Step) && mayHost(*W, Step))
      Places[W->Entry.Rack] += placesIn(roomBesideLasting(*W), Step);
  return std::any_of(Places.begin(), Places.end(), [&](const auto &Rack) {
    return Rack.second >= Step.Tasks;
  });
}

WaitReason StartPlan::gangReason(JobRecord &Job, std::uint32_t First) const {
  std::vector<WorkerState *> Places = placeGang(Job, First);
  if (Places.empty()) {
    bool HasRoom = countPlaces(findGangHosts(Job, First)) >=
                   PoolState::stepOf(Job, First).Tasks;
    return HasRoom ? WaitReason::Rack : WaitReason::Gang;
  }
  return mustWithholdAny(Job, First, Places) ? WaitReason::Report
                                             : WaitReason::Room;
}

} // namespace comfreydeck::jobs
