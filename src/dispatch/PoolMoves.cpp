#include "dispatch/PoolMoves.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

#include <algorithm>

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;

namespace {

/// A load report older than this is not used for moving machines.
constexpr milliseconds LoadStale(1200);
/// Owners answer from memory within this time.
constexpr milliseconds AnswerTime(40);
/// A move counts as failed if the machine has not appeared in its new pool by
/// then.
constexpr milliseconds GoingLimit(6000);

} // namespace

PoolMoves::PoolMoves(Context &Ctx, FleetView &View, Peers &Calls,
                     MachineBook &Book)
    : Ctx_(Ctx), View_(View), Calls_(Calls), Book_(Book) {}

void PoolMoves::reset() {
  Token_ = 0;
  Loads_.clear();
  SurplusSince_.clear();
  Going_.clear();
}

void PoolMoves::turn(std::uint64_t Token) {
  Token_ = Token;
  if (!Book_.isListed() || !View_.config())
    return;
  askLoads();
  Ctx_.Loop.after(AnswerTime, [this, Token] {
    if (Token != Token_ || !Book_.isListed() || !View_.config())
      return;
    forgetArrived();
    plan();
  });
}

void PoolMoves::askLoads() {
  for (const jobs::Pool &Pool : View_.config()->Pools)
    if (!Pool.Standby)
      Calls_.askLoad(Pool.Name, [this, Name = Pool.Name](const OwnerLoad &L) {
        Loads_[Name] = L;
        Loads_[Name].At = bootNow();
      });
}

/// Forgets moves whose machines are listed in their new pools or have not
/// arrived in time.
void PoolMoves::forgetArrived() {
  core::TimePoint Now = bootNow();
  std::erase_if(Going_, [&](const auto &Item) {
    const Machine *M = Book_.find(Item.first);
    bool Arrived = M && M->Pool == Item.second.To &&
                   M->State == MachineState::Up &&
                   Book_.listedAt() > Item.second.OrderedAt;
    return Arrived || Now - Item.second.OrderedAt > GoingLimit;
  });
}

std::vector<jobs::PoolLoad> PoolMoves::describe() {
  core::TimePoint Now = bootNow();
  std::map<std::string, jobs::PoolLoad> Pools;
  for (const jobs::Pool &Pool : View_.config()->Pools) {
    auto Load = Loads_.find(Pool.Name);
    bool Fresh = Load != Loads_.end() && Now - Load->second.At < LoadStale;
    if (!Fresh && !Pool.Standby)
      continue;
    jobs::PoolLoad &Described = Pools[Pool.Name];
    if (Fresh)
      Described = Load->second.Load;
    Described.Pool = Pool.Name;
    Described.Standby = Pool.Standby;
    Described.Idle.clear();
  }
  for (const auto &[Id, M] : Book_.machines()) {
    auto Moving = Going_.find(Id);
    std::string In = Moving == Going_.end() ? M.Pool : Moving->second.To;
    auto At = Pools.find(In);
    bool Works = M.State == MachineState::Up || M.State == MachineState::Moving;
    if (At == Pools.end() || !Works ||
        View_.closedDataCentres().count(M.DataCentre) != 0)
      continue;
    ++At->second.Machines;
    if (Moving != Going_.end() || M.State != MachineState::Up || Taken_(Id))
      continue;
    const std::vector<std::string> &Idle = Loads_[In].Load.Idle;
    bool IsIdle = At->second.Standby ||
                  std::find(Idle.begin(), Idle.end(), M.Worker) != Idle.end();
    if (IsIdle)
      At->second.Idle.push_back(Id);
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

void PoolMoves::plan() {
  for (const jobs::MachineMove &Move : jobs::planMoves(describe()))
    begin(Move);
}

/// Has the owner close the worker before the machine moves, so that no task
/// starts there any more.
void PoolMoves::begin(const jobs::MachineMove &Move) {
  const Machine *M = Book_.find(Move.Machine);
  const jobs::Pool *From = jobs::findPool(*View_.config(), Move.From);
  if (!M || !From)
    return;
  Going_[Move.Machine] = {Move.To, bootNow()};
  if (From->Standby) {
    order(Move);
    return;
  }
  CloseRequest Request;
  Request.Patient = {M->Worker};
  Calls_.askClose(Move.From, Request, [this, Move](const CloseAnswer &Closed) {
    const jobs::PoolView *Owner = View_.pool(Move.From);
    bool SameOwner = Owner && Owner->Version == Closed.Token;
    if (Closed.Clear.empty() || !SameOwner)
      Going_.erase(Move.Machine);
    else
      order(Move);
  });
}

void PoolMoves::order(const jobs::MachineMove &Move) {
  if (Token_ == 0)
    return;
  logEvent("move", {{"machine", Move.Machine},
                    {"from", Move.From},
                    {"to", Move.To},
                    {"token", Token_}});
  const Machine *M = Book_.find(Move.Machine);
  std::string Worker = M ? M->Worker : "";
  Ctx_.Machines->move(
      Move.Machine, Move.To, Token_,
      [this, Move, Worker, Token = Token_](DutyOutcome Outcome) {
        Ctx_.Loop.post([this, Move, Worker, Token, Outcome] {
          if (Token == Token_)
            ended(Move, Worker, Outcome);
        });
      });
}

void PoolMoves::ended(const jobs::MachineMove &Move, const std::string &Worker,
                      DutyOutcome Outcome) {
  if (Outcome == DutyOutcome::Done && !Worker.empty()) {
    CloseRequest Request;
    Request.Ended = {Worker};
    Calls_.askClose(Move.From, Request, [](const CloseAnswer &) {});
  }
  if (Outcome == DutyOutcome::Done || Outcome == DutyOutcome::Unknown)
    return;
  logEvent("move_refused",
           {{"machine", Move.Machine}, {"outcome", nameOf(Outcome)}});
  Going_.erase(Move.Machine);
}

} // namespace comfreydeck::dispatch
