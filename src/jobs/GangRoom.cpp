#include "jobs/StartPlan_p.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace comfreydeck::jobs {

namespace {

/// At most one in this many usable workers is kept for a gang that ends by
/// itself.
constexpr std::size_t WorkersPerKept = 2;
/// Room that will not be there within this time is not waited for: workers that
/// are kept beside it would be idle for as long.
constexpr std::chrono::milliseconds LongestDrain(5000);

} // namespace

/// Starts gangs that have waited for long, or keeps room for the first of them
/// that can be kept any: it comes free in pieces that each suit a shorter task.
/// Work that goes before the gang's job for another reason than its length
/// still takes the room.
void StartPlan::keepRoomForGang(std::span<const Candidate> Waiting) {
  std::set<const WorkerState *> KeptBefore;
  for (auto &[Id, W] : Owner_.Workers_)
    if (std::exchange(W->KeptForGang, false))
      KeptBefore.insert(W.get());
  std::vector<const StepSpec *> Tried;
  for (const GangWait &Gang : findWaitingGangs(Waiting)) {
    const StepSpec &Step = PoolState::stepOf(*Gang.Job, Gang.First);
    if (isBounded())
      return;
    if (!mayStartGang(*Gang.Job, Gang.First) ||
        isLikeOneWithoutRoom(Step, Tried))
      continue;
    planGang(*Gang.Job, Gang.First);
    if (!Gang.Job->Tasks[Gang.First].Runs.empty() ||
        isWithheld(*Gang.Job, Gang.First))
      continue;
    std::optional<GangRoom> Room =
        findGangRoom(*Gang.Job, Gang.First, KeptBefore);
    bool IsTooWide = Room && !Step.Lasting &&
                     Room->Workers.size() * WorkersPerKept > Usable_.size();
    if (!Room || IsTooWide) {
      Tried.push_back(&Step);
      continue;
    }
    for (WorkerState *W : Room->Workers)
      W->KeptForGang = true;
    std::erase_if(Usable_, [](const WorkerState *W) { return W->KeptForGang; });
    return;
  }
}

/// Whether a gang that needs no more than this one has found no room.
bool StartPlan::isLikeOneWithoutRoom(const StepSpec &Step,
                                     std::span<const StepSpec *const> Tried) {
  return std::any_of(Tried.begin(), Tried.end(), [&](const StepSpec *Other) {
    const StepSpec &Less = *Other;
    bool IsWider =
        Less.MaxPerWorker == 0 ||
        (Step.MaxPerWorker > 0 && Step.MaxPerWorker <= Less.MaxPerWorker);
    bool IsLabelled = Less.Label.empty() || Less.Label == Step.Label;
    return Less.Tasks <= Step.Tasks && IsWider && IsLabelled &&
           core::fits(reservedBy(Less), reservedBy(Step)) &&
           Less.SameRack == Step.SameRack && Less.Lasting == Step.Lasting;
  });
}

/// The gangs that have waited for long for room alone, the longest wait first.
std::vector<StartPlan::GangWait>
StartPlan::findWaitingGangs(std::span<const Candidate> Waiting) {
  std::vector<GangWait> Gangs;
  for (JobRecord *Job : Owner_.Open_) {
    if (isHeldBack(*Job))
      continue;
    PoolState::refreshWaiting(*Job);
    auto IsGang = [](const StepSpec *Step) { return Step->Gang; };
    if (std::none_of(Job->WaitingSteps.begin(), Job->WaitingSteps.end(),
                     IsGang))
      continue;
    std::optional<bool> Behind;
    std::uint32_t Next = 0;
    for (std::uint32_t Task : Job->Waiting) {
      if (Task < Next)
        continue;
      const StepSpec &Step = PoolState::stepOf(*Job, Task);
      auto [First, Last] = PoolState::unitOf(*Job, Task);
      Next = Last;
      if (!Step.Gang || First != Task)
        continue;
      core::Duration Age = gangAge(*Job, Task);
      if (Age < (Step.Lasting ? KeepRoomAfter : KeepGangRoomAfter) ||
          !mayStartGang(*Job, Task) || isIsolated(*Job, Task))
        continue;
      if (!Behind)
        Behind = goesBehind(*Job, Waiting);
      if (!*Behind)
        Gangs.push_back({Job, Task, Age});
    }
  }
  std::sort(Gangs.begin(), Gangs.end(),
            [](const GangWait &A, const GangWait &B) {
              return std::tie(B.Age, A.Job->Spec.Id, A.First) <
                     std::tie(A.Age, B.Job->Spec.Id, B.First);
            });
  return Gangs;
}

/// How long the gang has waited as a whole.
core::Duration StartPlan::gangAge(const JobRecord &Job,
                                  std::uint32_t First) const {
  auto [Begin, End] = PoolState::unitOf(Job, First);
  core::Duration Age = core::Duration::max();
  for (std::uint32_t T = Begin; T < End; ++T)
    Age = std::min(Age, ageOf(Job, T));
  return Age;
}

/// Whether a waiting job goes before this one by its priority, or since it can
/// still be in time.
bool StartPlan::goesBehind(JobRecord &Job, std::span<const Candidate> Waiting) {
  Candidate Own = assess(Job);
  return !Own.Lasting &&
         std::any_of(Waiting.begin(), Waiting.end(), [&](const Candidate &C) {
           return !C.Lasting && std::tie(C.Priority, C.Late) <
                                    std::tie(Own.Priority, Own.Late);
         });
}

/// The workers that will hold the gang soon without the end of a lasting task,
/// in one rack if it wants one and a rack will. Those of the last round come
/// first: others would not hold it sooner.
std::optional<StartPlan::GangRoom>
StartPlan::findGangRoom(const JobRecord &Job, std::uint32_t First,
                        const std::set<const WorkerState *> &KeptBefore) const {
  const StepSpec &Step = PoolState::stepOf(Job, First);
  std::map<std::string_view, std::vector<WorkerState *>> Racks;
  if (Step.SameRack)
    for (WorkerState *W : Usable_)
      Racks[W->Entry.Rack].push_back(W);
  std::optional<GangRoom> Best;
  for (const auto &[Rack, Workers] : Racks) {
    std::optional<GangRoom> Room = findGangRoomAmong(Workers, Step, KeptBefore);
    if (Room && (!Best || std::tie(Best->KeptBefore, Room->Ms) <
                              std::tie(Room->KeptBefore, Best->Ms)))
      Best = std::move(Room);
  }
  return Best ? Best : findGangRoomAmong(Usable_, Step, KeptBefore);
}

std::optional<StartPlan::GangRoom> StartPlan::findGangRoomAmong(
    std::span<WorkerState *const> Workers, const StepSpec &Step,
    const std::set<const WorkerState *> &KeptBefore) const {
  struct Host {
    bool New = false;
    double Ms = 0;
    std::uint32_t Places = 0;
    WorkerState *Worker = nullptr;
  };
  std::vector<Host> Hosts;
  for (WorkerState *W : Workers) {
    if (!hasLabel(W->Entry, Step) || !mayHost(*W, Step))
      continue;
    core::Resources Free = freeOn(*W);
    Host H{!KeptBefore.contains(W), 0, placesIn(Free, Step), W};
    for (const ExpectedEnd &End : endsOn(*W)) {
      if (End.InMs > core::inMs(LongestDrain))
        break;
      addTo(Free, End.Freed);
      std::uint32_t Places = placesIn(Free, Step);
      if (Places > H.Places) {
        H.Places = Places;
        H.Ms = End.InMs;
      }
    }
    if (H.Places > 0)
      Hosts.push_back(H);
  }
  std::sort(Hosts.begin(), Hosts.end(), [](const Host &A, const Host &B) {
    return std::tie(A.New, A.Ms, B.Places, A.Worker->Entry.Id) <
           std::tie(B.New, B.Ms, A.Places, B.Worker->Entry.Id);
  });
  GangRoom Room;
  std::uint64_t Places = 0;
  for (const Host &H : Hosts) {
    if (Places >= Step.Tasks)
      break;
    Room.Workers.push_back(H.Worker);
    Room.Ms = std::max(Room.Ms, H.Ms);
    Room.KeptBefore += H.New ? 0 : 1;
    Places += H.Places;
  }
  if (Places < Step.Tasks)
    return std::nullopt;
  return Room;
}

} // namespace comfreydeck::jobs
