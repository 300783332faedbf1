#include "codec/OwnershipJson.h"
#include "core/Names.h"
#include "core/OwnerWatch.h"
#include "core/Ownership.h"
#include "entry/PoolService.h"
#include "entry/PoolWire_p.h"

#include <glog/logging.h>

namespace comfreydeck::entry {

namespace {

using namespace cluster;

constexpr const char *PoolTable = "pools";
constexpr std::uint32_t MaxPools = 1000;
constexpr core::Duration MemberProbeEvery = std::chrono::milliseconds(300);
/// Timeout of a liveness probe.
constexpr core::Duration MemberProbeTimeout = std::chrono::seconds(1);
/// Consecutive failed probes after which an owner is suspect and may be fenced.
constexpr std::uint32_t SuspectAfter = 3;
/// Minimum time between two hand-overs to a preferred owner.
constexpr core::Duration MinHandOverInterval = std::chrono::seconds(1);
/// Minimum time that a pool stays with its owner.
constexpr core::Duration MinOwnedTime = std::chrono::seconds(5);
constexpr core::Duration HandOverTimeout = std::chrono::milliseconds(500);
/// Time for the next owner to probe the workers before the hand-over.
constexpr core::Duration HandOverWarmUp = std::chrono::milliseconds(100);
constexpr core::Duration CommitRetryDelay = std::chrono::milliseconds(100);
constexpr core::Duration LeaveTimeout = std::chrono::seconds(2);

store::RowKey ownershipRowKey(core::PoolId Pool) {
  return {PoolTable, std::to_string(Pool.Value)};
}

} // namespace

void PoolService::startProbing() {
  Context_.Control.every(MemberProbeEvery, [this] { probeMembers(); });
}

void PoolService::poll() {
  if (Polling_) {
    PollAgain_ = true;
    return;
  }
  Polling_ = true;
  Context_.Tables.scan(PoolTable, "", "", MaxPools,
                       [this](store::ScanResult Result) {
                         Context_.Control.post([this, Result] {
                           Polling_ = false;
                           onScan(Result);
                           if (std::exchange(PollAgain_, false))
                             return poll();
                           for (auto &Next : std::exchange(AfterPoll_, {}))
                             Next();
                         });
                       });
}

void PoolService::onScan(const store::ScanResult &Result) {
  if (Result.Outcome != store::ReadOutcome::Ok)
    return;
  std::vector<core::PoolId> Changed;
  for (const store::Row &Row : Result.Rows) {
    try {
      codec::OwnershipRow Read = codec::parseOwnership(Row.Value);
      KnownOwner &Known = Owners_[Read.Pool];
      // A scan may return a row older than one already known.
      if (Row.Version <= Known.RowVersion)
        continue;
      if (Known.Id != Read.Owner)
        Changed.push_back(Read.Pool);
      Known = {Read.Owner, Read.Term, Row.Version};
    } catch (const std::runtime_error &) {
      LOG(ERROR) << "pools: ownership row " << Row.Key << " can't be read";
    }
  }
  updateAllOwnership();
  for (core::PoolId Pool : Changed) {
    retryDemandsOf(Pool);
    flushReleases(Pool);
  }
}

void PoolService::updateAllOwnership() {
  trackOwners();
  std::shared_ptr<const core::Configuration> C = Config_.current();
  for (const core::Pool &P : C->Pools)
    updateOwnership(P);
}

void PoolService::updateOwnership(const core::Pool &P) {
  KnownOwner Known = Owners_[P.Id];
  auto Here = Owned_.find(P.Id);
  bool IsMine = Known.Id == Context_.Self;
  if (Here != Owned_.end() &&
      (!IsMine || Known.Term != Here->second.Pool->state().Term)) {
    // During a hand-over the row may already name the next owner.
    if (!Here->second.Leaving)
      stopOwning(P.Id);
    return;
  }
  if (Leaving_ || !Members_.isCurrent(net::now()) || Writing_.contains(P.Id))
    return;
  if (IsMine && Here == Owned_.end())
    return startOwning(P.Id, Known);
  core::Incarnation Preferred = preferredFor(P.Id);
  if (IsMine)
    return handOverIfDue(P.Id, Here->second, Preferred);
  bool Ownerless = !Known.Id.isValid();
  if (Preferred != Context_.Self || !(Ownerless || isSuspect(Known.Id)))
    return;
  if (Ownerless || Fenced_.contains(Known.Id))
    return claimOwnership(P.Id, Known);
  fence(Known.Id);
}

void PoolService::handOverIfDue(core::PoolId Pool, LocalPool &Held,
                                core::Incarnation Preferred) {
  core::TimePoint Now = net::now();
  const Member *To = Members_.find(Preferred);
  bool Due = Now - LastHandOver_ > MinHandOverInterval &&
             Now - Held.Since > MinOwnedTime;
  if (!To || Preferred == Context_.Self || Held.Leaving || !Due)
    return;
  LastHandOver_ = Now;
  handOver(Pool, *To, [] {});
}

bool PoolService::isSuspect(core::Incarnation Id) const {
  core::OwnerObservation Observed;
  auto It = Health_.find(Id);
  Observed.Failures = It == Health_.end() ? 0 : It->second.Failures;
  Observed.IsMember = Members_.find(Id) != nullptr;
  Observed.WasMember = SeenMembers_.contains(Id);
  auto Unknown = UnknownSince_.find(Id);
  if (Unknown != UnknownSince_.end())
    Observed.UnknownSince = Unknown->second;
  core::OwnerWatchBounds Bounds;
  Bounds.SuspectAfter = SuspectAfter;
  Bounds.UnknownGrace = Context_.Settings.Lease.Freshness;
  return core::isLost(Observed, Bounds, net::now());
}

/// Records which owners have been members, and since when others are not.
void PoolService::trackOwners() {
  std::set<core::Incarnation> Named;
  for (const auto &[Pool, Known] : Owners_)
    if (Known.Id.isValid())
      Named.insert(Known.Id);
  std::erase_if(SeenMembers_, [&](core::Incarnation Id) {
    return !Named.contains(Id) && !Members_.find(Id);
  });
  std::erase_if(UnknownSince_, [&](const auto &Item) {
    return !Named.contains(Item.first) || Members_.find(Item.first);
  });
  for (const Member &M : Members_.members())
    SeenMembers_.insert(M.Id);
  for (core::Incarnation Id : Named)
    if (!Members_.find(Id))
      UnknownSince_.emplace(Id, net::now());
}

core::Incarnation PoolService::preferredFor(core::PoolId Pool) const {
  std::vector<core::Incarnation> Candidates;
  for (const Member &M : Members_.members())
    if (!isSuspect(M.Id) && !(Leaving_ && M.Id == Context_.Self))
      Candidates.push_back(M.Id);
  return core::preferredOwner(Pool, Candidates);
}

void PoolService::fence(core::Incarnation Id) {
  if (!Fencing_.insert(Id).second)
    return;
  LOG(WARNING) << "pools: fencing " << core::nameOf(Id);
  Members_.fence(Id, [this, Id](FenceOutcome Outcome) {
    Fencing_.erase(Id);
    if (Outcome == FenceOutcome::Fenced)
      Fenced_.insert(Id);
    updateAllOwnership();
  });
}

void PoolService::claimOwnership(core::PoolId Pool, const KnownOwner &Known) {
  writeRow(Pool, Known, Context_.Self,
           [this](store::CommitOutcome) { poll(); });
}

void PoolService::writeRow(core::PoolId Pool, const KnownOwner &Known,
                           core::Incarnation Owner,
                           std::function<void(store::CommitOutcome)> Done) {
  codec::OwnershipRow Row{Pool, Owner, {Known.Term.Value + 1}};
  store::RowKey Key = ownershipRowKey(Pool);
  store::Transaction T{
      "own-" + Key.Key, {{Key, Known.RowVersion}}, {{Key, codec::toJson(Row)}}};
  Writing_.insert(Pool);
  Context_.Tables.commit(std::move(T), [this, Pool, Done = std::move(Done)](
                                           store::CommitResult Result) {
    Context_.Control.post([this, Pool, Done, Outcome = Result.Outcome] {
      Writing_.erase(Pool);
      Done(Outcome);
    });
  });
}

void PoolService::startOwning(core::PoolId Pool, const KnownOwner &Known) {
  LOG(INFO) << "pools: owner of pool " << Pool.Value << " in epoch "
            << Known.Term.Value;
  LocalPool &Held = Owned_[Pool];
  Held.Pool = std::make_unique<OwnedPool>(Pool, Known.Term, Workers_);
  Held.RowVersion = Known.RowVersion;
  Held.Since = net::now();
  Allotments_.begin(Pool);
  update(Held);
  Held.Pool->rebuild();
  adoptHandedOver(Pool, Held);
  Workers_.probe(owned());
  retryDemandsOf(Pool);
}

void PoolService::stopOwning(core::PoolId Pool) {
  LOG(INFO) << "pools: no longer owner of pool " << Pool.Value;
  Allotments_.end(Pool);
  Owned_.erase(Pool);
}

void PoolService::adoptHandedOver(core::PoolId Pool, LocalPool &Held) {
  auto It = ReceivedHandOvers_.find(Pool);
  if (It == ReceivedHandOvers_.end())
    return;
  core::TimePoint Now = net::now();
  const wire::HandOverRequest &Request = It->second;
  if (Request.epoch() == Held.Pool->state().Term.Value &&
      Held.Pool->isRebuilding()) {
    std::vector<core::Demand> Waiting;
    for (const wire::DemandMessage &Item : Request.waiting())
      Waiting.push_back(detail::demandFrom(Item, Now));
    std::vector<core::RunningTask> Running;
    for (const wire::RunningMessage &Item : Request.running())
      Running.push_back(detail::runningFrom(Item, Now));
    Held.Pool->adoptHandOver(Waiting, Running);
  }
  ReceivedHandOvers_.erase(It);
}

void PoolService::probeMembers() {
  for (const Member &M : Members_.members())
    if (M.Id != Context_.Self)
      probeMember(M);
  std::erase_if(Health_, [this](const auto &Item) {
    return !Item.second.Asking && !Members_.find(Item.first);
  });
}

void PoolService::probeMember(const Member &M) {
  Health &H = Health_[M.Id];
  if (H.Asking)
    return;
  H.Asking = true;
  Context_.Peers.listRunning(
      M.PeerAddress, {}, MemberProbeTimeout, [this, Id = M.Id](auto Reply) {
        Context_.Control.post([this, Id, Alive = Reply.has_value()] {
          Health &Known = Health_[Id];
          Known.Asking = false;
          Known.Failures = Alive ? 0 : Known.Failures + 1;
          if (Known.Failures == SuspectAfter)
            updateAllOwnership();
        });
      });
}

void PoolService::handOver(core::PoolId Pool, const Member &To,
                           std::function<void()> Done) {
  // Connects to the next owner and lets it probe the workers before this entry
  // stops granting.
  wire::ListRunningRequest Request;
  Request.set_pool(Pool.Value);
  Context_.Peers.listRunning(
      To.PeerAddress, std::move(Request), HandOverTimeout,
      [this, Pool, To, Done = std::move(Done)](auto Reply) {
        if (!Reply || !Reply->complete())
          return Context_.Control.post(Done);
        Context_.Control.after(HandOverWarmUp, [this, Pool, To, Done] {
          commitHandOver(Pool, To, Done);
        });
      });
}

void PoolService::commitHandOver(core::PoolId Pool, const Member &To,
                                 std::function<void()> Done) {
  auto Here = Owned_.find(Pool);
  if (Here == Owned_.end() || Writing_.contains(Pool))
    return Done();
  LocalPool &Held = Here->second;
  Held.Leaving = true;
  KnownOwner Known{Context_.Self, Held.Pool->state().Term, Held.RowVersion};
  writeRow(Pool, Known, To.Id,
           [this, Pool, To, Done](store::CommitOutcome Outcome) {
             onHandOverCommitted(Pool, To, Outcome, Done);
           });
}

void PoolService::onHandOverCommitted(core::PoolId Pool, const Member &To,
                                      store::CommitOutcome Outcome,
                                      const std::function<void()> &Done) {
  switch (Outcome) {
  case store::CommitOutcome::Committed:
    return sendHandOver(Pool, To, Done);
  case store::CommitOutcome::NotApplied:
    Owned_[Pool].Leaving = false;
    return Done();
  case store::CommitOutcome::Conflict:
    // An earlier write of unknown outcome, or another entry's, was applied.
    stopOwning(Pool);
    poll();
    return Done();
  case store::CommitOutcome::Unknown:
    // Retries under the same condition: at most one of the writes applies.
    Context_.Control.after(CommitRetryDelay, [this, Pool, To, Done] {
      commitHandOver(Pool, To, Done);
    });
    return;
  }
}

void PoolService::sendHandOver(core::PoolId Pool, const Member &To,
                               std::function<void()> Done) {
  const core::PoolOwner &State = Owned_[Pool].Pool->state();
  wire::HandOverRequest Request;
  Request.set_pool(Pool.Value);
  Request.set_epoch(State.Term.Value + 1);
  core::TimePoint Now = net::now();
  for (const auto &[Id, W] : State.Waiting)
    detail::fill(*Request.add_waiting(), W.Asked, Now);
  for (const auto &[Id, Task] : State.Running)
    detail::fill(*Request.add_running(), Task, Now);
  LOG(INFO) << "pools: handing pool " << Pool.Value << " over with "
            << State.Waiting.size() << " waiting and " << State.Running.size()
            << " running";
  Context_.Peers.handOver(To.PeerAddress, std::move(Request), HandOverTimeout,
                          [this, Pool, Done = std::move(Done)](auto) {
                            Context_.Control.post([this, Pool, Done] {
                              // Waiting callers are refused and ask the new
                              // owner.
                              stopOwning(Pool);
                              poll();
                              Done();
                            });
                          });
}

void PoolService::serveHandOver(
    const wire::HandOverRequest &Request,
    std::function<void(wire::HandOverReply)> Respond) {
  wire::HandOverReply Reply;
  if (Leaving_)
    return Respond(Reply);
  core::PoolId Pool{Request.pool()};
  ReceivedHandOvers_[Pool] = Request;
  Reply.set_accepted(true);
  auto Here = Owned_.find(Pool);
  if (Here != Owned_.end()) {
    adoptHandedOver(Pool, Here->second);
    return Respond(Reply);
  }
  AfterPoll_.push_back([Respond, Reply] { Respond(Reply); });
  poll();
}

wire::ListRunningReply
PoolService::serveListRunning(const wire::ListRunningRequest &Request) {
  wire::ListRunningReply Reply;
  Reply.set_complete(!Leaving_ && Members_.isCurrent(net::now()));
  core::PoolId Pool{Request.pool()};
  if (Pool.Value != 0)
    Workers_.probePool(Pool);
  return Reply;
}

void PoolService::leave(std::function<void()> Done) {
  Leaving_ = true;
  auto Left = std::make_shared<std::size_t>(Owned_.size());
  auto Once = std::make_shared<std::function<void()>>(std::move(Done));
  auto Finish = [Once] {
    if (std::function<void()> Call = std::exchange(*Once, nullptr))
      Call();
  };
  if (*Left == 0)
    return Finish();
  Context_.Control.after(LeaveTimeout, Finish);
  for (core::PoolId Pool : owned()) {
    const Member *To = Members_.find(preferredFor(Pool));
    auto OneDone = [Left, Finish] {
      if (--*Left == 0)
        Finish();
    };
    if (To)
      handOver(Pool, *To, OneDone);
    else
      OneDone();
  }
}

} // namespace comfreydeck::entry
