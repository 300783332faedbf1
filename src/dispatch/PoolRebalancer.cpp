#include "dispatch/PoolRebalancer.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

#include <algorithm>

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;

namespace {

/// A load report older than this is not used for moving machines.
constexpr milliseconds MaxLoadAge(1200);
/// Owners answer from memory within this time.
constexpr milliseconds AnswerTime(40);
/// Bounds the time for which a machine is neither used nor moved, as its pool's
/// owner can't store that it may be.
constexpr milliseconds ReleaseLimit(1500);
/// Pause before an owner is asked again that has not stored the release yet: it
/// takes two calls to the store at most.
constexpr milliseconds ReleaseRetry(30);
/// A move counts as failed if the machine has not appeared in its new pool by
/// then.
constexpr milliseconds MoveTimeout(6000);

} // namespace

PoolRebalancer::PoolRebalancer(Context &Ctx, FleetView &View, Peers &PeerCalls,
                               MachineCache &Cache, OrderedEnds &Ends,
                               FleetChecks Checks)
    : Ctx_(Ctx), View_(View), Peers_(PeerCalls), Cache_(Cache), Ends_(Ends),
      Checks_(std::move(Checks)) {}

void PoolRebalancer::reset() {
  Token_ = 0;
  Loads_.clear();
  SurplusSince_.clear();
  PendingMoves_.clear();
}

void PoolRebalancer::tick(std::uint64_t Token) {
  Token_ = Token;
  if (!Cache_.hasList() || !View_.config())
    return;
  askLoads();
  Ctx_.Loop.after(AnswerTime, [this, Token] {
    if (Token != Token_ || !Cache_.hasList() || !View_.config())
      return;
    dropFinishedMoves();
    plan();
  });
}

void PoolRebalancer::askLoads() {
  for (const jobs::Pool &Pool : View_.config()->Pools)
    if (!Pool.Standby)
      Peers_.askLoad(Pool.Name, [this, Name = Pool.Name](const OwnerLoad &L) {
        Loads_[Name] = L;
        Loads_[Name].At = bootNow();
      });
}

/// Forgets moves whose machines are listed in their new pools or have not
/// arrived in time.
void PoolRebalancer::dropFinishedMoves() {
  core::TimePoint Now = bootNow();
  std::erase_if(PendingMoves_, [&](const auto &Item) {
    const Machine *M = Cache_.find(Item.first);
    bool Arrived = M && M->Pool == Item.second.To &&
                   M->State == MachineState::Up && Cache_.listedAt() &&
                   *Cache_.listedAt() > Item.second.OrderedAt;
    return Arrived || Now - Item.second.OrderedAt > MoveTimeout;
  });
}

std::vector<jobs::PoolLoad> PoolRebalancer::describe() {
  core::TimePoint Now = bootNow();
  std::map<std::string, jobs::PoolLoad> Pools;
  for (const jobs::Pool &Pool : View_.config()->Pools) {
    auto Load = Loads_.find(Pool.Name);
    bool Fresh = Load != Loads_.end() && Now - Load->second.At < MaxLoadAge;
    if (!Fresh && !Pool.Standby)
      continue;
    jobs::PoolLoad &Described = Pools[Pool.Name];
    if (Fresh)
      Described = Load->second.Load;
    Described.Pool = Pool.Name;
    Described.Standby = Pool.Standby;
    Described.Idle.clear();
  }
  for (const auto &[Id, M] : Cache_.machines()) {
    auto Moving = PendingMoves_.find(Id);
    std::string In = Moving == PendingMoves_.end() ? M.Pool : Moving->second.To;
    auto At = Pools.find(In);
    bool Works = M.State == MachineState::Up || M.State == MachineState::Moving;
    if (At == Pools.end() || !Works ||
        View_.closedDataCentres().count(M.DataCentre) != 0)
      continue;
    jobs::PoolMachine Counted;
    Counted.Id = Id;
    Counted.Worker = M.Worker;
    Counted.Movable =
        Moving == PendingMoves_.end() && M.State == MachineState::Up;
    Counted.InMaintenance = Checks_.InMaintenance(Id);
    jobs::countMachine(Counted, Loads_[In].Load, At->second);
  }
  std::vector<jobs::PoolLoad> Described;
  for (auto &[Name, Load] : Pools) {
    bool Surplus = Load.Machines > jobs::machinesNeeded(Load);
    auto Since = SurplusSince_.try_emplace(Name, Now).first;
    if (!Surplus)
      Since->second = Now;
    Load.SurplusFor = Now - Since->second;
    Described.push_back(Load);
  }
  return Described;
}

/// Has the owners release the workers before their machines move, so that no
/// task starts there any more.
void PoolRebalancer::plan() {
  core::TimePoint Now = bootNow();
  std::map<std::string, WantedMoves> ByPool;
  for (const jobs::MachineMove &Move : jobs::planMoves(describe())) {
    const Machine *M = Cache_.find(Move.Machine);
    const jobs::Pool *From = jobs::findPool(*View_.config(), Move.From);
    if (!M || !From)
      continue;
    PendingMoves_[Move.Machine] = {Move.To, Now};
    if (From->Standby)
      sendOrder({Move, ""});
    else
      ByPool[Move.From].Moves.push_back({Move, M->Worker});
  }
  for (auto &[Pool, Wanted] : ByPool) {
    Wanted.From = Pool;
    Wanted.Until = Now + ReleaseLimit;
    Wanted.Token = Token_;
    askReleases(Wanted);
  }
}

void PoolRebalancer::askReleases(const WantedMoves &Wanted) {
  CloseRequest Request;
  for (const WorkerMove &M : Wanted.Moves)
    Request.Release.push_back(M.Worker);
  Request.By = {Wanted.Token, ++LastRequest_};
  Peers_.askClose(Wanted.From, Request,
                  [this, Wanted](const CloseAnswer &Answer) {
                    if (Wanted.Token == Token_)
                      onReleaseAnswer(Wanted, Answer);
                  });
}

void PoolRebalancer::onReleaseAnswer(const WantedMoves &Wanted,
                                     const CloseAnswer &Answer) {
  const jobs::PoolView *Owner = View_.pool(Wanted.From);
  bool SameOwner = Owner && Owner->Version == Answer.Token;
  bool MayWait = SameOwner && bootNow() < Wanted.Until;
  auto IsIn = [](const std::vector<std::string> &Ids, const WorkerMove &M) {
    return std::find(Ids.begin(), Ids.end(), M.Worker) != Ids.end();
  };
  WantedMoves Waiting = {Wanted.From, {}, Wanted.Until, Wanted.Token};
  std::vector<WorkerMove> GivenUp;
  for (const WorkerMove &M : Wanted.Moves) {
    if (SameOwner && IsIn(Answer.Closed.Clear, M))
      sendOrder(M);
    else if (MayWait && IsIn(Answer.Closed.Releasing, M))
      Waiting.Moves.push_back(M);
    else
      GivenUp.push_back(M);
  }
  giveUp(Wanted.From, GivenUp);
  if (Waiting.Moves.empty())
    return;
  Ctx_.Loop.after(ReleaseRetry, [this, Waiting = std::move(Waiting)] {
    if (Waiting.Token == Token_)
      askReleases(Waiting);
  });
}

/// Drops moves for which nothing was ordered, or whose orders were refused.
void PoolRebalancer::giveUp(const std::string &From,
                            std::span<const WorkerMove> Moves) {
  CloseRequest Request;
  for (const WorkerMove &M : Moves) {
    PendingMoves_.erase(M.Move.Machine);
    if (!M.Worker.empty())
      Request.TakeBack.push_back(M.Worker);
  }
  Request.By = {Token_, ++LastRequest_};
  if (!Request.TakeBack.empty())
    Peers_.askClose(From, Request, [](const CloseAnswer &) {});
}

void PoolRebalancer::sendOrder(const WorkerMove &Order) {
  const jobs::MachineMove &Move = Order.Move;
  // The pool's owner may have answered after this entry lost the fleet.
  if (Token_ == 0 || !Checks_.MayOrder()) {
    giveUp(Move.From, {&Order, 1});
    return;
  }
  logEvent("move", {{"machine", Move.Machine},
                    {"worker", Order.Worker},
                    {"from", Move.From},
                    {"to", Move.To},
                    {"token", Token_}});
  if (!Order.Worker.empty())
    Ends_.expect(Move.Machine, bootNow());
  Ctx_.Machines->move(
      Move.Machine, Move.To, Token_,
      [this, Order, Token = Token_](MachineOrderOutcome Outcome) {
        Ctx_.Loop.post([this, Order, Token, Outcome] {
          if (Token == Token_)
            onMoveEnded(Order, Outcome);
        });
      });
}

void PoolRebalancer::onMoveEnded(const WorkerMove &Order,
                                 MachineOrderOutcome Outcome) {
  const jobs::MachineMove &Move = Order.Move;
  if (Outcome == MachineOrderOutcome::Done ||
      Outcome == MachineOrderOutcome::Unknown)
    return;
  logEvent("move_refused", {{"machine", Move.Machine},
                            {"worker", Order.Worker},
                            {"outcome", nameOf(Outcome)}});
  giveUp(Move.From, {&Order, 1});
}

} // namespace comfreydeck::dispatch
