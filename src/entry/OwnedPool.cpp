#include "entry/OwnedPool.h"

#include "core/Names.h"

#include <glog/logging.h>

#include <set>

namespace comfreydeck::entry {

namespace {

/// Maximum validity of a grant, even if the lease lasts longer.
constexpr core::Duration MaxGrantValidity = std::chrono::seconds(2);
/// Past a grant's end by this much, no start of it can be in flight, even if
/// the worker's clock was reset.
constexpr core::Duration ClockResetMargin = std::chrono::seconds(10);
constexpr core::Duration EndedRetention = std::chrono::seconds(10);
/// How long a rebuild waits for workers that don't answer.
constexpr core::Duration RebuildTimeout = std::chrono::seconds(1);
/// How long a demand of an entry that is not a known member is kept.
constexpr core::Duration UnknownEntryGrace = std::chrono::seconds(5);

} // namespace

OwnedPool::OwnedPool(core::PoolId Pool, core::Epoch Term, const Fleet &Workers)
    : Workers_(Workers) {
  Owner_.Pool = Pool;
  Owner_.Term = Term;
}

OwnedPool::~OwnedPool() {
  AcquireResult Result;
  Result.Refused = core::Reason::NoOwner;
  for (auto &[Id, Done] : Waiting_)
    Done(Result);
}

void OwnedPool::acquire(const core::Demand &D, AcquireCallback Done) {
  AcquireResult Refused;
  if (EndedAt_.contains(D.Id)) {
    Refused.Refused = core::Reason::Cancelled;
    return Done(Refused);
  }
  if (Owner_.Running.contains(D.Id))
    return Done(renewGrant(D.Id, LeaseEnd_));
  Refused.Refused = core::enqueue(Owner_, D, net::now());
  if (Refused.Refused != core::Reason::None)
    return Done(Refused);
  AcquireCallback Earlier = std::move(Waiting_[D.Id]);
  Waiting_[D.Id] = std::move(Done);
  Refused.Refused = core::Reason::NoOwner;
  if (Earlier)
    Earlier(Refused);
}

AcquireResult OwnedPool::renewGrant(core::DemandId Id,
                                    core::TimePoint LeaseEnd) {
  core::RunningTask &Task = Owner_.Running.at(Id);
  auto It = Granted_.find(Id);
  AcquireResult Result;
  Result.Refused = core::Reason::NoOwner;
  // If the worker has the task, the caller has already sent the start.
  bool Startable = It == Granted_.end() || !It->second.Listed;
  if (!Startable || net::now() >= LeaseEnd)
    return Result;
  Task.NotAfter = std::min(LeaseEnd, net::now() + MaxGrantValidity);
  Result = resultOf({Id, Task.Team, Task.Worker, Task.NotAfter});
  if (Result.Refused == core::Reason::None)
    Granted_[Id] = {Result, false};
  return Result;
}

void OwnedPool::answer(core::DemandId Id, const AcquireResult &Result) {
  auto It = Waiting_.find(Id);
  // A handed-over demand has no caller until its entry asks again.
  if (It == Waiting_.end())
    return;
  AcquireCallback Done = std::move(It->second);
  Waiting_.erase(It);
  Done(Result);
}

void OwnedPool::end(core::DemandId Id, core::Duration Ran) {
  core::finish(Owner_, Id, Ran, net::now());
  Granted_.erase(Id);
  EndedAt_[Id] = net::now();
}

void OwnedPool::release(core::DemandId Id, const DemandEnd &End) {
  // The worker's report frees the slot.
  if (End.Outcome == DemandOutcome::Unknown)
    return;
  core::cancel(Owner_, Id);
  AcquireResult Cancelled;
  Cancelled.Refused = core::Reason::Cancelled;
  answer(Id, Cancelled);
  end(Id, End.Ran);
}

AcquireResult OwnedPool::resultOf(const core::Grant &G) const {
  AcquireResult Result;
  const core::Instance *I = Workers_.find(G.Worker);
  std::optional<std::uint64_t> NotAfter =
      Workers_.workerClockMs(G.Worker, G.NotAfter);
  if (!I || !NotAfter) {
    Result.Refused = core::Reason::NoWorker;
    return Result;
  }
  Result.Worker = G.Worker;
  Result.WorkerAddress = I->Address;
  Result.SendBy = G.NotAfter;
  Result.NotAfterWorkerMs = *NotAfter;
  return Result;
}

void OwnedPool::decide(core::TimePoint LeaseEnd) {
  core::TimePoint Now = net::now();
  LeaseEnd_ = LeaseEnd;
  if (Rebuilding_ || Now >= LeaseEnd)
    return;
  core::TimePoint NotAfter = std::min(LeaseEnd, Now + MaxGrantValidity);
  core::PoolDecisions Decided = core::decide(Owner_, Now, NotAfter);
  for (const core::Grant &G : Decided.Grants) {
    AcquireResult Result = resultOf(G);
    if (Result.Refused == core::Reason::None)
      Granted_[G.Id] = {Result, false};
    else
      core::finish(Owner_, G.Id, core::Duration(0), Now);
    answer(G.Id, Result);
  }
  for (const core::Refusal &R : Decided.Refusals) {
    AcquireResult Result;
    Result.Refused = R.Why;
    answer(R.Id, Result);
  }
}

void OwnedPool::rebuild() {
  Rebuilding_ = true;
  CountSilentAsFull_ = true;
  RebuildSince_ = net::now();
}

void OwnedPool::adoptHandOver(std::span<const core::Demand> Waiting,
                              std::span<const core::RunningTask> Running) {
  Rebuilding_ = false;
  CountSilentAsFull_ = false;
  core::setUnknownSlots(Owner_, 0, net::now());
  for (const core::RunningTask &Task : Running)
    if (!EndedAt_.contains(Task.Id))
      core::adopt(Owner_, Task, net::now());
  for (const core::Demand &D : Waiting)
    if (!Owner_.Running.contains(D.Id) && !EndedAt_.contains(D.Id))
      core::enqueue(Owner_, D, net::now());
}

void OwnedPool::reconcile(const core::Configuration &C) {
  for (const auto &[Id, W] : Owner_.Workers.Workers) {
    const WorkerReport *Status = Workers_.reportOf(Id);
    if (!Status || ReconciledAt_[Id] == Status->Received)
      continue;
    ReconciledAt_[Id] = Status->Received;
    adoptListed(Id, *Status, C);
    endUnlisted(Id, *Status);
  }
  updateUnknownSlots();
  pruneEnded();
}

void OwnedPool::adoptListed(core::WorkerId Worker, const WorkerReport &Status,
                            const core::Configuration &C) {
  for (const ListedTask &Listed : Status.Running) {
    std::optional<core::DemandId> Id = core::parseDemandId(Listed.Task);
    if (!Id || EndedAt_.contains(*Id))
      continue;
    auto Known = Granted_.find(*Id);
    if (Known != Granted_.end())
      Known->second.Listed = true;
    if (Owner_.Running.contains(*Id))
      continue;
    core::RunningTask Task;
    Task.Id = *Id;
    if (const core::Team *T = core::findTeam(C, Listed.Team))
      Task.Team = T->Id;
    Task.Worker = Worker;
    Task.Started = Status.Received;
    Task.NotAfter = Status.Asked;
    core::adopt(Owner_, Task, net::now());
  }
}

bool OwnedPool::hasEnded(const core::RunningTask &Task,
                         const WorkerReport &Status) const {
  auto It = Granted_.find(Task.Id);
  bool PastNotAfter = It != Granted_.end() &&
                      Status.WorkerMs > It->second.Result.NotAfterWorkerMs;
  bool Adopted = It == Granted_.end() && Status.Asked > Task.NotAfter;
  return PastNotAfter || Adopted ||
         Status.Asked > Task.NotAfter + ClockResetMargin;
}

void OwnedPool::endUnlisted(core::WorkerId Worker, const WorkerReport &Status) {
  std::set<core::DemandId> Listed;
  for (const ListedTask &Task : Status.Running)
    if (std::optional<core::DemandId> Id = core::parseDemandId(Task.Task))
      Listed.insert(*Id);
  std::vector<core::RunningTask> Over;
  for (const auto &[Id, Task] : Owner_.Running)
    if (Task.Worker == Worker && !Listed.contains(Id) && hasEnded(Task, Status))
      Over.push_back(Task);
  for (const core::RunningTask &Task : Over) {
    auto It = Granted_.find(Task.Id);
    bool Started = It == Granted_.end() || It->second.Listed;
    core::Duration Ran =
        Started ? net::now() - Task.Started : core::Duration(0);
    end(Task.Id, Ran);
  }
}

void OwnedPool::updateUnknownSlots() {
  if (!CountSilentAsFull_ && !Rebuilding_)
    return;
  std::uint32_t Slots = 0;
  for (const auto &[Id, W] : Owner_.Workers.Workers) {
    const WorkerReport *Status = Workers_.reportOf(Id);
    bool Heard = Status && Status->Asked >= RebuildSince_;
    Slots += Heard ? 0 : W.Worker.Slots;
  }
  core::setUnknownSlots(Owner_, Slots, net::now());
  CountSilentAsFull_ = Slots > 0;
  bool HasWorkers = !Owner_.Workers.Workers.empty();
  bool WaitedEnough = net::now() - RebuildSince_ > RebuildTimeout;
  if (Rebuilding_ && ((HasWorkers && Slots == 0) || WaitedEnough)) {
    Rebuilding_ = false;
    LOG(INFO) << "pools: pool " << Owner_.Pool.Value << " rebuilt, "
              << Owner_.Running.size() << " running, " << Slots
              << " slots unknown";
  }
}

void OwnedPool::pruneEnded() {
  core::TimePoint Before = net::now() - EndedRetention;
  std::erase_if(EndedAt_,
                [&](const auto &Item) { return Item.second < Before; });
}

void OwnedPool::dropDemandsOf(
    const std::function<bool(core::Incarnation)> &IsGone) {
  std::vector<core::DemandId> Gone;
  for (const auto &[Id, W] : Owner_.Waiting)
    if (net::now() - W.Asked.Arrived > UnknownEntryGrace && IsGone(Id.From))
      Gone.push_back(Id);
  for (core::DemandId Id : Gone)
    release(Id, {});
}

} // namespace comfreydeck::entry
