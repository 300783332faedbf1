#include "dispatch/FleetDuty.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace comfreydeck::dispatch {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Bounds the delay in reacting to a burst of load, and the number of requests
/// per second to pool owners.
constexpr milliseconds TurnPeriod(150);
/// How long an owner's answer that a worker is empty stays valid: unless the
/// closing is renewed, the owner opens the worker again.
constexpr milliseconds ClearFor(1200);
/// A new fleet owner gives no orders for the platform's lease time, since the
/// previous one may still be about to.
constexpr milliseconds TakeoverPause(3000);
/// How long a machine counts as down after an order, until the machine list
/// shows it.
constexpr milliseconds OrderShownAfter(3000);
/// How long a machine's tasks may run to their end before they are stopped.
constexpr milliseconds EmptyingPatience(4000);
/// An entry that could not read the store for longer than this may have lost
/// ownership of the fleet.
constexpr milliseconds DutyAuthority(2000);
constexpr milliseconds StoreLimit(1500);
constexpr const char *KeptPrefix = "wave/";

} // namespace

FleetDuty::FleetDuty(Context &Ctx, FleetView &View, Ownership &Owners,
                     Peers &Calls)
    : Ctx_(Ctx), View_(View), Owners_(Owners), Calls_(Calls), Book_(Ctx),
      Moves_(Ctx, View, Calls, Book_) {
  Moves_.setTaken(
      [this](const std::string &Machine) { return isInHand(Machine); });
}

void FleetDuty::start() {
  if (Ctx_.Machines)
    turn();
}

void FleetDuty::reset(std::uint64_t Token) {
  Token_ = Token;
  Waves_.clear();
  Book_.forget();
  Moves_.reset();
  // If an earlier process of this entry owned the fleet last, no other entry
  // has given orders since.
  OrderFrom_ = bootNow();
  if (!Owners_.isFleetTakenBack())
    OrderFrom_ += TakeoverPause;
}

void FleetDuty::turn() {
  Ctx_.Loop.after(TurnPeriod, [this] { turn(); });
  if (Owners_.fleetToken() != Token_)
    reset(Owners_.fleetToken());
  if (Token_ == 0)
    return;
  for (const auto &[Name, Wave] : View_.waves()) {
    WaveProgress &So = Waves_[Name];
    if (So.Completed)
      continue;
    if (So.Loaded)
      advance(Wave, So);
    else
      load(Name);
  }
  if (mayOrder())
    Moves_.turn(Token_);
  Book_.refresh();
}

/// Whether no other fleet owner can be giving orders: false shortly after a
/// takeover, and once other entries may take ownership.
bool FleetDuty::mayOrder() const {
  core::TimePoint Now = bootNow();
  return Now >= OrderFrom_ && Now - View_.controlCurrentAt() < DutyAuthority;
}

/// Whether a maintenance wave is draining the machine or has taken it down.
bool FleetDuty::isInHand(const std::string &Machine) const {
  return std::any_of(Waves_.begin(), Waves_.end(), [&](const auto &Item) {
    auto It = Item.second.Machines.find(Machine);
    return It != Item.second.Machines.end() && It->second.Closing &&
           !It->second.Done;
  });
}

/// Loads the progress that earlier fleet owners stored for the wave.
void FleetDuty::load(const std::string &Wave) {
  WaveProgress &So = Waves_[Wave];
  if (So.Loading)
    return;
  So.Loading = true;
  std::string Key = KeptPrefix + Wave;
  store::PartRange Range = {rows::Control, rows::poolPart(rows::FleetDuty), Key,
                            Key + "!"};
  Ctx_.Store.read(Range, [this, Wave, Token = Token_](PartAnswer Answer) {
    Ctx_.Loop.post([this, Wave, Token, Answer = std::move(Answer)] {
      if (Token != Token_)
        return;
      WaveProgress &Read = Waves_[Wave];
      Read.Loading = false;
      if (Answer.Outcome != PartOutcome::Ok)
        return;
      Read.Loaded = true;
      Read.SeenAt = bootNow();
      for (const store::PartRow &Row : Answer.Rows) {
        Json Kept = Json::parse(Row.Value, nullptr, false);
        if (!Kept.is_object())
          continue;
        Read.Completed = Kept.value("completed", false);
        for (const Json &Id : Kept.value("done", Json::array()))
          if (Id.is_string())
            Read.Machines[Id.get<std::string>()].Done = true;
      }
    });
  });
}

std::vector<jobs::WaveMachine>
FleetDuty::describe(const WaveRequest &Wave, const WaveProgress &So) const {
  core::TimePoint Now = bootNow();
  std::vector<jobs::WaveMachine> Described;
  for (const std::string &Id : Wave.Machines) {
    jobs::WaveMachine M;
    M.Id = Id;
    const Machine *Known = Book_.find(Id);
    if (Known) {
      M.Pool = Known->Pool;
      M.Worker = Known->Worker;
      M.Up = Known->State == MachineState::Up;
      M.Down = Known->State == MachineState::Maintenance;
      auto Config = View_.config();
      const jobs::Pool *Pool = jobs::findPool(*Config, Known->Pool);
      if (Pool && Pool->Standby)
        M.Worker.clear();
    }
    auto It = So.Machines.find(Id);
    if (It != So.Machines.end()) {
      const MachineProgress &P = It->second;
      M.Done = P.Done;
      M.Closing = P.Closing && !P.Done;
      const jobs::PoolView *Owner = View_.pool(M.Pool);
      M.Clear = P.ClearWorker == M.Worker && Now - P.ClearAt < ClearFor &&
                Owner && Owner->Version == P.ClearToken;
      M.Down = M.Down || P.InFlight ||
               (P.OrderedAt != core::TimePoint() &&
                Now - P.OrderedAt < OrderShownAfter);
    }
    // A machine that no longer exists needs no maintenance.
    M.Done = M.Done || !Known;
    Described.push_back(std::move(M));
  }
  return Described;
}

void FleetDuty::advance(const WaveRequest &Wave, WaveProgress &So) {
  if (!Book_.isListed())
    return;
  if (!So.Announced) {
    So.Announced = true;
    keep(Wave.Name);
  }
  std::vector<jobs::WaveMachine> Machines = describe(Wave, So);
  bool AllDone = std::all_of(Machines.begin(), Machines.end(),
                             [](const auto &M) { return M.Done; });
  if (AllDone) {
    So.Completed = true;
    logEvent("wave_completed", {{"wave", Wave.Name}});
    keep(Wave.Name);
    return;
  }
  jobs::WaveBounds Bounds;
  Bounds.MaxAtOnce = Wave.MaxAtOnce;
  Bounds.Left = So.SeenAt + Wave.Within - bootNow();
  for (const auto &[Id, M] : Book_.machines())
    ++Bounds.PoolWorkers[M.Pool];
  jobs::WaveStep Step = jobs::planWave(Machines, Bounds);
  for (const std::string &Worker : Step.Close)
    for (jobs::WaveMachine &M : Machines)
      if (M.Worker == Worker) {
        MachineProgress &P = So.Machines[M.Id];
        P.Closing = M.Closing = true;
        P.ClosingSince = bootNow();
      }
  close(Machines, So);
  if (!mayOrder())
    return;
  for (const std::string &Id : Step.Maintain)
    maintain(Wave.Name, Id);
}

/// Repeats the close requests, since an owner reopens a worker whose closing is
/// not renewed.
void FleetDuty::close(const std::vector<jobs::WaveMachine> &Machines,
                      WaveProgress &So) {
  std::map<std::string, CloseRequest> ByPool;
  for (const jobs::WaveMachine &M : Machines) {
    const MachineProgress &P = So.Machines[M.Id];
    // A machine that was taken down stays closed until the list shows it as
    // down.
    bool Closed = P.Closing && (!P.Done || M.Down);
    if (!Closed || M.Worker.empty())
      continue;
    bool Patient = bootNow() - P.ClosingSince < EmptyingPatience;
    (Patient ? ByPool[M.Pool].Patient : ByPool[M.Pool].Pressing)
        .push_back(M.Worker);
  }
  for (auto &[Pool, Request] : ByPool)
    Calls_.askClose(Pool, Request, [this](const CloseAnswer &Closed) {
      const std::vector<std::string> &Ids = Closed.Clear;
      for (auto &[Name, Wave] : Waves_)
        for (auto &[Id, Progress] : Wave.Machines) {
          const Machine *M = Book_.find(Id);
          if (!M || std::find(Ids.begin(), Ids.end(), M->Worker) == Ids.end())
            continue;
          Progress.ClearWorker = M->Worker;
          Progress.ClearAt = bootNow();
          Progress.ClearToken = Closed.Token;
        }
    });
}

void FleetDuty::maintain(const std::string &Wave, const std::string &Id) {
  MachineProgress &P = Waves_[Wave].Machines[Id];
  P.InFlight = true;
  P.OrderedAt = bootNow();
  logEvent("maintain", {{"wave", Wave}, {"machine", Id}, {"token", Token_}});
  Ctx_.Machines->maintain(
      Id, Wave, Token_, [this, Wave, Id, Token = Token_](DutyOutcome Outcome) {
        Ctx_.Loop.post([this, Wave, Id, Token, Outcome] {
          if (Token == Token_)
            ended(Wave, Id, Outcome);
        });
      });
}

void FleetDuty::ended(const std::string &Wave, const std::string &Id,
                      DutyOutcome Outcome) {
  MachineProgress &P = Waves_[Wave].Machines[Id];
  P.InFlight = false;
  if (Outcome != DutyOutcome::Done)
    logEvent("maintain_refused",
             {{"wave", Wave}, {"machine", Id}, {"outcome", nameOf(Outcome)}});
  switch (Outcome) {
  case DutyOutcome::Done:
    P.Done = true;
    keep(Wave);
    return;
  case DutyOutcome::Fenced:
    // Another fleet owner has given a newer order; its row arrives soon.
    OrderFrom_ = bootNow() + TakeoverPause;
    return;
  case DutyOutcome::Unknown:
    // Repeating the order is harmless.
    return;
  case DutyOutcome::Busy:
  case DutyOutcome::Wrong:
  case DutyOutcome::NotDone:
    P.OrderedAt = core::TimePoint();
    return;
  }
}

/// Stores the wave's progress for later fleet owners, then publishes it to
/// operators.
void FleetDuty::keep(const std::string &Wave) {
  const WaveProgress &So = Waves_[Wave];
  Json Done = Json::array();
  for (const auto &[Id, Progress] : So.Machines)
    if (Progress.Done)
      Done.push_back(Id);
  std::string Part = rows::poolPart(rows::FleetDuty);
  store::PartTransaction T;
  T.Conditions.push_back({{rows::Control, Part, rows::OwnerKey}, Token_});
  T.Puts.push_back(
      {{rows::Control, Part, KeptPrefix + Wave},
       Json({{"completed", So.Completed}, {"done", Done}}).dump()});
  Ctx_.Store.commit(
      std::move(T), StoreLimit,
      [this, Wave, Token = Token_, Completed = So.Completed](PartAnswer A) {
        Ctx_.Loop.post([this, Wave, Token, Completed, Outcome = A.Outcome] {
          if (Token != Token_ || Outcome == PartOutcome::Conflict)
            return;
          if (Outcome != PartOutcome::Ok) {
            Ctx_.Loop.after(TurnPeriod, [this, Wave, Token] {
              if (Token == Token_)
                keep(Wave);
            });
            return;
          }
          announce(Wave, Completed);
        });
      });
}

/// Writes the wave's status row for operators.
void FleetDuty::announce(const std::string &Wave, bool Completed) {
  store::PartTransaction T;
  T.Puts.push_back(
      {{Ctx_.Rows.StatusTable, "", Ctx_.Rows.WaveStatusKeyPrefix + Wave},
       Ctx_.Rows.WaveStatus(Completed)});
  Ctx_.Store.commit(
      std::move(T), StoreLimit,
      [this, Wave, Completed, Token = Token_](PartAnswer A) {
        Ctx_.Loop.post([this, Wave, Completed, Token, Outcome = A.Outcome] {
          if (Outcome == PartOutcome::Ok || Token != Token_)
            return;
          Ctx_.Loop.after(TurnPeriod, [this, Wave, Completed] {
            announce(Wave, Completed);
          });
        });
      });
}

} // namespace comfreydeck::dispatch
