#include "entry/PoolService.h"
#include "core/Names.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace comfreydeck::entry {

namespace {

using namespace cluster;
using nlohmann::json;

constexpr const char *PoolTable = "pools";
constexpr std::uint32_t MaxPools = 1000;
constexpr core::Duration PollEvery = std::chrono::milliseconds(500);
constexpr core::Duration PumpEvery = std::chrono::milliseconds(20);
constexpr core::Duration ProbeEvery = std::chrono::seconds(1);
constexpr core::Duration ReleaseLimit = std::chrono::seconds(5);

/// Spreads pools evenly and moves few of them when a member comes or goes.
std::uint64_t rendezvousWeight(core::PoolId Pool, core::Incarnation Member) {
  std::uint64_t Mixed = Member.Value ^ (Pool.Value * 0x9E3779B97F4A7C15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
}

core::Incarnation preferredOwner(core::PoolId Pool,
                                 std::span<const Member> Members) {
  auto It = std::max_element(
      Members.begin(), Members.end(), [&](const Member &A, const Member &B) {
        return rendezvousWeight(Pool, A.Id) < rendezvousWeight(Pool, B.Id);
      });
  return It == Members.end() ? core::Incarnation{} : It->Id;
}

core::TimePoint deadlineOf(const core::Demand &D) {
  return D.Deadline.value_or(net::now() + std::chrono::minutes(1));
}

void fill(wire::DemandMessage &Out, const core::Demand &D) {
  Out.set_from_incarnation(D.Id.From.Value);
  Out.set_number(D.Id.Number);
  Out.set_team(D.Team.Value);
  Out.set_queue(D.Queue.Value);
  Out.mutable_size()->set_milli_cpus(D.Size.MilliCpus);
  Out.mutable_size()->set_memory_mb(D.Size.MemoryMb);
  Out.mutable_size()->set_accelerators(D.Size.Accelerators);
  Out.set_run_us(static_cast<std::uint64_t>(D.Run.count()));
  Out.set_urgent(D.Urgent);
  auto Left = std::max(deadlineOf(D) - net::now(), core::Duration(1));
  Out.set_deadline_in_us(static_cast<std::uint64_t>(Left.count()));
}

core::Demand demandFrom(const wire::DemandMessage &In) {
  core::Demand D;
  D.Id.From.Value = In.from_incarnation();
  D.Id.Number = In.number();
  D.Team.Value = In.team();
  D.Queue.Value = In.queue();
  D.Size = {In.size().milli_cpus(), In.size().memory_mb(),
            In.size().accelerators()};
  D.Run = core::Duration(static_cast<std::int64_t>(In.run_us()));
  D.Urgent = In.urgent();
  D.Arrived = net::now();
  if (In.deadline_in_us() > 0)
    D.Deadline = net::now() +
                 core::Duration(static_cast<std::int64_t>(In.deadline_in_us()));
  return D;
}

wire::AcquireReply replyOf(const AcquireResult &Result) {
  wire::AcquireReply Reply;
  Reply.set_granted(Result.Refused == core::Reason::None);
  Reply.set_refusal_reason(static_cast<std::uint32_t>(Result.Refused));
  Reply.set_worker(Result.Worker.Value);
  Reply.set_worker_address(Result.WorkerAddress);
  auto Valid = std::max(Result.SendBy - net::now(), core::Duration(0));
  Reply.set_valid_for_us(static_cast<std::uint64_t>(Valid.count()));
  Reply.set_not_after_worker_ms(Result.NotAfterWorkerMs);
  return Reply;
}

AcquireResult resultFrom(const std::optional<wire::AcquireReply> &Reply) {
  AcquireResult Result;
  if (!Reply) {
    Result.Refused = core::Reason::NoOwner;
    return Result;
  }
  bool IsKnown =
      Reply->refusal_reason() < static_cast<std::uint32_t>(core::Reason::Count);
  Result.Refused = IsKnown ? static_cast<core::Reason>(Reply->refusal_reason())
                           : core::Reason::NoOwner;
  Result.Worker.Value = Reply->worker();
  Result.WorkerAddress = Reply->worker_address();
  // The answer took some time, which only the worker's clock counts.
  Result.SendBy =
      net::now() +
      core::Duration(static_cast<std::int64_t>(Reply->valid_for_us()));
  Result.NotAfterWorkerMs = Reply->not_after_worker_ms();
  return Result;
}

} // namespace

PoolService::PoolService(const Context &C, Membership &Members,
                         ConfigStore &Config, Fleet &Workers)
    : Context_(C), Members_(Members), Config_(Config), Workers_(Workers) {}

void PoolService::start() {
  poll();
  Context_.Control.every(PollEvery, [this] { poll(); });
  Context_.Control.every(PumpEvery, [this] {
    for (auto &[Id, Pool] : Owned_)
      pump(Pool);
  });
  Context_.Control.every(ProbeEvery, [this] { Workers_.probe(owned()); });
}

std::vector<core::PoolId> PoolService::owned() const {
  std::vector<core::PoolId> Pools;
  for (const auto &[Id, Pool] : Owned_)
    Pools.push_back(Id);
  return Pools;
}

void PoolService::poll() {
  if (Polling_)
    return;
  Polling_ = true;
  Context_.Tables.scan(PoolTable, "", "", MaxPools,
                       [this](platform::ScanResult Result) {
                         Context_.Control.post([this, Result] {
                           Polling_ = false;
                           onScan(Result);
                         });
                       });
}

void PoolService::onScan(const platform::ScanResult &Result) {
  if (Result.Outcome != platform::ReadOutcome::Ok)
    return;
  Owners_.clear();
  for (const platform::Row &Row : Result.Rows) {
    json J = json::parse(Row.Value);
    core::PoolId Pool{J.at("pool").get<std::uint32_t>()};
    KnownOwner &Known = Owners_[Pool];
    Known.Id = core::incarnationFrom(J.at("owner").get<std::string>())
                   .value_or(core::Incarnation{});
    Known.Term.Value = J.at("epoch").get<std::uint64_t>();
    Known.RowVersion = Row.Version;
  }
  refresh();
}

void PoolService::refresh() {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  for (const core::Pool &P : C->Pools)
    consider(P);
  for (auto &[Id, Pool] : Owned_)
    update(Pool);
}

void PoolService::consider(const core::Pool &P) {
  auto It = Owners_.find(P.Id);
  bool HasOwner = It != Owners_.end() && Members_.find(It->second.Id);
  if (HasOwner && It->second.Id == Context_.Self && !Owned_.contains(P.Id))
    own(P.Id, It->second.Term);
  if (HasOwner || !Members_.isCurrent(net::now()))
    return;
  if (preferredOwner(P.Id, Members_.members()) != Context_.Self)
    return;
  KnownOwner Known = It == Owners_.end() ? KnownOwner{} : It->second;
  take(P.Id, {Known.Term.Value + 1}, Known.RowVersion);
}

void PoolService::take(core::PoolId Pool, core::Epoch Term,
                       std::uint64_t RowVersion) {
  json J = {{"pool", Pool.Value},
            {"owner", core::nameOf(Context_.Self)},
            {"epoch", Term.Value}};
  platform::RowKey Key{PoolTable, std::to_string(Pool.Value)};
  platform::Transaction T{
      "own-" + Key.Key, {{Key, RowVersion}}, {{Key, J.dump()}}};
  Context_.Tables.commit(std::move(T), [this](platform::CommitResult) {
    Context_.Control.post([this] { poll(); });
  });
}

void PoolService::own(core::PoolId Pool, core::Epoch Term) {
  LOG(INFO) << "pools: owner of pool " << Pool.Value << " in epoch "
            << Term.Value;
  OwnedPool &Owned = Owned_[Pool];
  Owned.Owner.Pool = Pool;
  Owned.Owner.Term = Term;
  update(Owned);
  Workers_.probe(owned());
}

void PoolService::update(OwnedPool &Owned) {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  core::setWorkers(Owned.Owner, Workers_.workersOf(Owned.Owner.Pool, *C));
  for (const core::Team &T : C->Teams)
    core::setTeam(Owned.Owner, T.Id, T.Share, T.UpperLimit, net::now());
}

AcquireResult PoolService::resultOf(const core::Grant &G) const {
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

void PoolService::pump(OwnedPool &Owned) {
  core::TimePoint Now = net::now();
  core::TimePoint Until = Members_.currentUntil();
  if (Now >= Until)
    return;
  core::PoolDecisions Decided = core::decide(Owned.Owner, Now, Until);
  for (const core::Grant &G : Decided.Grants) {
    auto It = Owned.Waiting.find(G.Id);
    auto Done = std::move(It->second);
    Owned.Waiting.erase(It);
    AcquireResult Result = resultOf(G);
    if (Result.Refused != core::Reason::None)
      core::finish(Owned.Owner, G.Id, core::Duration(0), Now);
    Done(Result);
  }
  for (const core::Refusal &R : Decided.Refusals) {
    auto It = Owned.Waiting.find(R.Id);
    auto Done = std::move(It->second);
    Owned.Waiting.erase(It);
    AcquireResult Result;
    Result.Refused = R.Why;
    Done(Result);
  }
}

void PoolService::acquire(core::PoolId Pool, core::Demand D,
                          std::function<void(AcquireResult)> Done) {
  auto Here = Owned_.find(Pool);
  if (Here != Owned_.end())
    return acquireHere(Here->second, D, std::move(Done));
  const Member *Owner = ownerOf(Pool);
  if (!Owner) {
    AcquireResult Result;
    Result.Refused = core::Reason::NoOwner;
    return Done(Result);
  }
  acquireThere(*Owner, Pool, D, std::move(Done));
}

void PoolService::acquireHere(OwnedPool &Owned, core::Demand D,
                              std::function<void(AcquireResult)> Done) {
  core::DemandId Id = D.Id;
  core::Reason Refused = core::enqueue(Owned.Owner, D, net::now());
  if (Refused != core::Reason::None) {
    AcquireResult Result;
    Result.Refused = Refused;
    return Done(Result);
  }
  Owned.Waiting[Id] = std::move(Done);
  pump(Owned);
}

void PoolService::acquireThere(const Member &Owner, core::PoolId Pool,
                               const core::Demand &D,
                               std::function<void(AcquireResult)> Done) {
  wire::AcquireRequest Request;
  Request.set_pool(Pool.Value);
  Request.set_epoch(Owners_[Pool].Term.Value);
  fill(*Request.mutable_demand(), D);
  core::Duration Limit = deadlineOf(D) - net::now();
  Context_.Peers.acquire(Owner.PeerAddress, std::move(Request), Limit,
                         [this, Done = std::move(Done)](auto Reply) {
                           AcquireResult Result = resultFrom(Reply);
                           Context_.Control.post(
                               [Done, Result] { Done(Result); });
                         });
}

const Member *PoolService::ownerOf(core::PoolId Pool) const {
  auto Known = Owners_.find(Pool);
  return Known == Owners_.end() ? nullptr : Members_.find(Known->second.Id);
}

std::uint32_t PoolService::runningOn(core::WorkerId Worker) const {
  std::uint32_t Count = 0;
  for (const auto &[Pool, Owned] : Owned_)
    for (const auto &[Id, Running] : Owned.Owner.Running)
      Count += Running.Worker == Worker ? 1 : 0;
  return Count;
}

void PoolService::refuseWaiting(OwnedPool &Owned, core::DemandId Id,
                                core::Reason Why) {
  auto It = Owned.Waiting.find(Id);
  if (It == Owned.Waiting.end())
    return;
  auto Done = std::move(It->second);
  Owned.Waiting.erase(It);
  AcquireResult Result;
  Result.Refused = Why;
  Done(Result);
}

void PoolService::release(core::PoolId Pool, core::DemandId Id,
                          const DemandEnd &End) {
  auto Here = Owned_.find(Pool);
  if (Here != Owned_.end()) {
    core::cancel(Here->second.Owner, Id);
    refuseWaiting(Here->second, Id, core::Reason::Cancelled);
    core::finish(Here->second.Owner, Id, End.Ran, net::now());
    pump(Here->second);
    return;
  }
  const Member *Owner = ownerOf(Pool);
  if (!Owner)
    return;
  wire::ReleaseRequest Request;
  Request.set_pool(Pool.Value);
  wire::ReleasedDemand &Demand = *Request.add_demands();
  Demand.set_from_incarnation(Id.From.Value);
  Demand.set_number(Id.Number);
  Demand.set_ending(static_cast<std::uint32_t>(End.How));
  Demand.set_ran_us(static_cast<std::uint64_t>(End.Ran.count()));
  Demand.set_target_failed(End.TargetFailed);
  Context_.Peers.release(Owner->PeerAddress, std::move(Request), ReleaseLimit,
                         [](auto) {});
}

void PoolService::serveAcquire(
    const wire::AcquireRequest &Request,
    std::function<void(wire::AcquireReply)> Respond) {
  auto Here = Owned_.find(core::PoolId{Request.pool()});
  if (Here == Owned_.end()) {
    AcquireResult Result;
    Result.Refused = core::Reason::NoOwner;
    return Respond(replyOf(Result));
  }
  acquireHere(Here->second, demandFrom(Request.demand()),
              [Respond = std::move(Respond)](const AcquireResult &Result) {
                Respond(replyOf(Result));
              });
}

wire::ReleaseReply
PoolService::serveRelease(const wire::ReleaseRequest &Request) {
  wire::ReleaseReply Reply;
  auto Here = Owned_.find(core::PoolId{Request.pool()});
  if (Here == Owned_.end())
    return Reply;
  for (const wire::ReleasedDemand &Demand : Request.demands())
    release(Here->first, {{Demand.from_incarnation()}, Demand.number()},
            {static_cast<Ending>(Demand.ending()),
             core::Duration(static_cast<std::int64_t>(Demand.ran_us())),
             Demand.target_failed()});
  Reply.set_accepted(true);
  return Reply;
}

} // namespace comfreydeck::entry
