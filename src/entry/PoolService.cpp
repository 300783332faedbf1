#include "entry/PoolService.h"

#include "core/Names.h"
#include "entry/PoolWire_p.h"

#include <glog/logging.h>

#include <algorithm>

namespace comfreydeck::entry {

namespace {

using namespace cluster;

constexpr core::Duration PollEvery = std::chrono::milliseconds(500);
constexpr core::Duration PumpEvery = std::chrono::milliseconds(20);
constexpr core::Duration TeamsEvery = std::chrono::milliseconds(200);
constexpr core::Duration ProbeEvery = std::chrono::seconds(1);
constexpr core::Duration ReleaseEvery = std::chrono::milliseconds(50);
constexpr core::Duration ReleaseTimeout = std::chrono::seconds(2);
constexpr core::Duration MinRetryDelay = std::chrono::milliseconds(20);
constexpr core::Duration MaxRetryDelay = std::chrono::milliseconds(500);
constexpr std::uint32_t RetryDoublings = 5;
constexpr int MaxReleasesInCall = 1000;
/// Beyond this, releases are dropped; workers' reports then free the slots.
constexpr std::size_t MaxPendingReleases = 50000;

/// For demands without a deadline.
constexpr core::Duration MaxWait = std::chrono::minutes(1);

core::TimePoint deadlineOf(const core::Demand &D) {
  return D.Deadline.value_or(D.Arrived + MaxWait);
}

core::Duration retryDelay(std::uint32_t Attempt) {
  std::uint32_t Doublings = std::min(Attempt, RetryDoublings);
  return std::min(MinRetryDelay * (1 << Doublings), MaxRetryDelay);
}

AcquireResult refusal(core::Reason Why) {
  AcquireResult Result;
  Result.Refused = Why;
  return Result;
}

} // namespace

PoolService::PoolService(const Context &C, Membership &Members,
                         ConfigStore &Config, Fleet &Workers)
    : Context_(C), Members_(Members), Config_(Config), Workers_(Workers),
      Allotments_(C) {}

void PoolService::start() {
  Allotments_.start([this] { pumpAll(); });
  poll();
  Context_.Control.every(PollEvery, [this] { poll(); });
  Context_.Control.every(PumpEvery, [this] {
    for (auto &[Id, Held] : Owned_)
      pump(Held);
  });
  Context_.Control.every(TeamsEvery, [this] { pumpAll(); });
  Context_.Control.every(ProbeEvery, [this] { Workers_.probe(owned()); });
  Context_.Control.every(ReleaseEvery, [this] { flushReleases(); });
  startProbing();
}

std::vector<core::PoolId> PoolService::owned() const {
  std::vector<core::PoolId> Pools;
  for (const auto &[Id, Held] : Owned_)
    Pools.push_back(Id);
  return Pools;
}

const Member *PoolService::ownerOf(core::PoolId Pool) const {
  auto Known = Owners_.find(Pool);
  return Known == Owners_.end() ? nullptr : Members_.find(Known->second.Id);
}

std::uint32_t PoolService::runningOn(core::WorkerId Worker) const {
  std::uint32_t Count = 0;
  for (const auto &[Pool, Held] : Owned_) {
    const auto &Indexed = Held.Pool->state().Workers.Workers;
    auto It = Indexed.find(Worker);
    Count += It == Indexed.end() ? 0 : It->second.UsedSlots;
  }
  return Count;
}

void PoolService::refresh() {
  countPools();
  updateAllOwnership();
  auto IsGone = [this](core::Incarnation Id) { return !Members_.find(Id); };
  for (auto &[Pool, Held] : Owned_) {
    update(Held);
    Held.Pool->dropDemandsOf(IsGone);
  }
}

void PoolService::countPools() {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  if (PoolCountsOf_ == C->Version && !PoolCounts_.empty())
    return;
  PoolCountsOf_ = C->Version;
  PoolCounts_.clear();
  for (const core::Team &T : C->Teams) {
    std::set<core::PoolId> Pools;
    for (const core::Queue &Q : C->Queues)
      if (core::mayUse(Q, T.Id) || (Q.Open && Q.OpenTeam == T.Id))
        Pools.insert(Q.ServedBy);
    PoolCounts_[T.Id] = static_cast<std::uint32_t>(Pools.size());
  }
}

void PoolService::update(LocalPool &Held) {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  core::PoolOwner &State = Held.Pool->state();
  core::setWorkers(State, Workers_.workersOf(State.Pool, *C));
  updateTeams(Held);
}

void PoolService::updateTeams(LocalPool &Held) {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  for (const core::Team &T : C->Teams)
    updateTeam(Held, T);
}

void PoolService::updateTeam(LocalPool &Held, const core::Team &T) {
  core::PoolOwner &State = Held.Pool->state();
  core::PoolUse Use;
  auto It = State.Teams.find(T.Id);
  if (It != State.Teams.end()) {
    Use.Running = It->second.Running + State.UnknownSlots;
    Use.Waiting = It->second.Waiting;
  }
  Use.Slots = State.Workers.OpenSlots;
  Use.PoolCount = PoolCounts_[T.Id];
  bool MayWrite = !Held.Leaving && !Held.Pool->isRebuilding() &&
                  Members_.isCurrent(net::now());
  if (MayWrite)
    Allotments_.update({State.Pool, Held.RowVersion}, T, Use);
  core::setTeam(State, T.Id, T.Share, Allotments_.usable(State.Pool, T),
                net::now());
}

void PoolService::pump(LocalPool &Held) {
  if (!Held.Leaving)
    Held.Pool->decide(Members_.currentUntil());
}

void PoolService::pumpAll() {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  for (auto &[Id, Held] : Owned_) {
    if (Held.Pool->isRebuilding())
      update(Held);
    Held.Pool->reconcile(*C);
    updateTeams(Held);
    pump(Held);
  }
}

void PoolService::acquire(core::PoolId Pool, core::Demand D,
                          AcquireCallback Done) {
  core::DemandId Id = D.Id;
  Pending_[Id] = {Pool, D, std::move(Done), 0};
  ask(Id);
}

void PoolService::ask(core::DemandId Id) {
  auto It = Pending_.find(Id);
  if (It == Pending_.end())
    return;
  Pending &P = It->second;
  ++P.Attempt;
  if (net::now() >= deadlineOf(P.Asked))
    return answer(Id, refusal(core::Reason::DeadlinePassed));
  auto Here = Owned_.find(P.Pool);
  if (Here != Owned_.end() && !Here->second.Leaving)
    return askLocalOwner(Here->second, Id, P);
  const Member *Owner = ownerOf(P.Pool);
  if (Owner && Owner->Id != Context_.Self)
    return askRemoteOwner(*Owner, Id, P);
  poll();
  scheduleRetry(Id, P.Attempt);
}

void PoolService::askLocalOwner(LocalPool &Held, core::DemandId Id,
                                const Pending &P) {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  core::TeamId Team = P.Asked.Team;
  Held.Pool->acquire(P.Asked, [this, Id, Attempt = P.Attempt](auto Result) {
    Context_.Control.post(
        [this, Id, Attempt, Result] { onAnswer(Id, Attempt, Result); });
  });
  if (const core::Team *T = core::findTeam(*C, Team))
    updateTeam(Held, *T);
  pump(Held);
}

void PoolService::askRemoteOwner(const Member &Owner, core::DemandId Id,
                                 const Pending &P) {
  wire::AcquireRequest Request;
  Request.set_pool(P.Pool.Value);
  Request.set_epoch(Owners_[P.Pool].Term.Value);
  detail::fill(*Request.mutable_demand(), P.Asked, net::now());
  core::Duration Limit = deadlineOf(P.Asked) - net::now();
  Context_.Peers.acquire(Owner.PeerAddress, std::move(Request), Limit,
                         [this, Id, Attempt = P.Attempt](auto Reply) {
                           AcquireResult Result =
                               refusal(core::Reason::NoOwner);
                           if (Reply)
                             Result = detail::resultFrom(*Reply, net::now());
                           Context_.Control.post([this, Id, Attempt, Result] {
                             onAnswer(Id, Attempt, Result);
                           });
                         });
}

void PoolService::retryDemandsOf(core::PoolId Pool) {
  std::vector<core::DemandId> Ids;
  for (const auto &[Id, P] : Pending_)
    if (P.Pool == Pool)
      Ids.push_back(Id);
  for (core::DemandId Id : Ids)
    ask(Id);
}

void PoolService::scheduleRetry(core::DemandId Id, std::uint32_t Attempt) {
  Context_.Control.after(retryDelay(Attempt), [this, Id, Attempt] {
    auto It = Pending_.find(Id);
    if (It != Pending_.end() && It->second.Attempt == Attempt)
      ask(Id);
  });
}

void PoolService::onAnswer(core::DemandId Id, std::uint32_t Attempt,
                           const AcquireResult &Result) {
  auto It = Pending_.find(Id);
  // A grant to an earlier attempt is ignored: the owner repeats it to the
  // current attempt, or frees it when the worker never lists the task.
  if (It == Pending_.end() || It->second.Attempt != Attempt)
    return;
  if (Result.Refused != core::Reason::NoOwner)
    return answer(Id, Result);
  Context_.Counters.countRetry(core::Reason::NoOwner);
  poll();
  scheduleRetry(Id, Attempt);
}

void PoolService::answer(core::DemandId Id, const AcquireResult &Result) {
  auto It = Pending_.find(Id);
  AcquireCallback Done = std::move(It->second.Done);
  core::PoolId Pool = It->second.Pool;
  Pending_.erase(It);
  // The owner may still queue the demand, or its grant may have been lost.
  if (Result.Refused == core::Reason::DeadlinePassed)
    release(Pool, Id, {});
  Done(Result);
}

void PoolService::release(core::PoolId Pool, core::DemandId Id,
                          const DemandEnd &End) {
  auto It = Pending_.find(Id);
  if (It != Pending_.end()) {
    AcquireCallback Done = std::move(It->second.Done);
    Pending_.erase(It);
    Context_.Control.post([Done] { Done(refusal(core::Reason::Cancelled)); });
  }
  // After an unknown end the owner relies on the worker's report.
  if (End.Outcome == DemandOutcome::Unknown)
    return;
  Releases &Waiting = Releases_[Pool];
  if (Waiting.size() >= MaxPendingReleases)
    Waiting.erase(Waiting.begin());
  Waiting[Id] = End;
  flushReleases(Pool);
}

void PoolService::flushReleases() {
  std::vector<core::PoolId> Pools;
  for (const auto &[Pool, Waiting] : Releases_)
    if (!Waiting.empty())
      Pools.push_back(Pool);
  for (core::PoolId Pool : Pools)
    flushReleases(Pool);
}

void PoolService::flushReleases(core::PoolId Pool) {
  auto Here = Owned_.find(Pool);
  if (Here != Owned_.end() && !Here->second.Leaving) {
    Releases Waiting = std::move(Releases_[Pool]);
    Releases_.erase(Pool);
    for (const auto &[Id, End] : Waiting)
      Here->second.Pool->release(Id, End);
    return pump(Here->second);
  }
  const Member *Owner = ownerOf(Pool);
  if (Owner && Owner->Id != Context_.Self && !Releasing_.contains(Pool))
    sendReleases(Pool, *Owner);
}

void PoolService::sendReleases(core::PoolId Pool, const Member &Owner) {
  wire::ReleaseRequest Request;
  Request.set_pool(Pool.Value);
  Request.set_epoch(Owners_[Pool].Term.Value);
  std::vector<core::DemandId> Sent;
  for (const auto &[Id, End] : Releases_[Pool]) {
    if (Request.demands_size() == MaxReleasesInCall)
      break;
    detail::fill(*Request.add_demands(), Id, End);
    Sent.push_back(Id);
  }
  Releasing_.insert(Pool);
  Context_.Peers.release(Owner.PeerAddress, std::move(Request), ReleaseTimeout,
                         [this, Pool, Sent = std::move(Sent)](auto Reply) {
                           bool Accepted = Reply && Reply->accepted();
                           Context_.Control.post([this, Pool, Sent, Accepted] {
                             Releasing_.erase(Pool);
                             if (!Accepted)
                               return;
                             for (core::DemandId Id : Sent)
                               Releases_[Pool].erase(Id);
                             if (!Releases_[Pool].empty())
                               flushReleases(Pool);
                           });
                         });
}

void PoolService::serveAcquire(
    const wire::AcquireRequest &Request,
    std::function<void(wire::AcquireReply)> Respond) {
  auto Here = Owned_.find(core::PoolId{Request.pool()});
  if (Here == Owned_.end() || Here->second.Leaving)
    return Respond(detail::replyOf(refusal(core::Reason::NoOwner), net::now()));
  core::Demand D = detail::demandFrom(Request.demand(), net::now());
  Here->second.Pool->acquire(
      D, [Respond = std::move(Respond)](const AcquireResult &Result) {
        Respond(detail::replyOf(Result, net::now()));
      });
  std::shared_ptr<const core::Configuration> C = Config_.current();
  if (const core::Team *T = core::findTeam(*C, D.Team))
    updateTeam(Here->second, *T);
  pump(Here->second);
}

wire::ReleaseReply
PoolService::serveRelease(const wire::ReleaseRequest &Request) {
  wire::ReleaseReply Reply;
  auto Here = Owned_.find(core::PoolId{Request.pool()});
  if (Here == Owned_.end() || Here->second.Leaving)
    return Reply;
  for (const wire::ReleasedDemand &Demand : Request.demands())
    Here->second.Pool->release({{Demand.from_incarnation()}, Demand.number()},
                               detail::endFrom(Demand));
  pump(Here->second);
  Reply.set_accepted(true);
  return Reply;
}

} // namespace comfreydeck::entry
