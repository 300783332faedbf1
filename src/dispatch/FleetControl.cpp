#include "dispatch/FleetControl.h"

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
constexpr milliseconds TickPeriod(150);
/// How long an owner's answer that a worker is empty stays valid: unless the
/// closing is renewed, the owner opens the worker again.
constexpr milliseconds ClearValidity(1200);
/// A new fleet owner gives no orders for the platform's lease time, since the
/// previous one may still be about to.
constexpr milliseconds TakeoverPause(3000);
/// How long a machine counts as down after an order, until the machine list
/// shows it.
constexpr milliseconds OrderVisibleAfter(3000);
/// How long a machine's tasks may run to their end before they are stopped.
constexpr milliseconds DrainTimeout(4000);
/// An entry that could not read the store for longer than this may have lost
/// ownership of the fleet.
constexpr milliseconds FleetAuthority(2000);
constexpr milliseconds StoreTimeout(1500);
constexpr const char *WaveKeyPrefix = "wave/";

} // namespace

FleetControl::FleetControl(Context &Ctx, FleetView &View, Ownership &Owners,
                           Peers &PeerCalls)
    : Ctx_(Ctx), View_(View), Owners_(Owners), Peers_(PeerCalls), Cache_(Ctx),
      Ends_(View, PeerCalls, Cache_),
      Rebalancer_(
          Ctx, View, PeerCalls, Cache_, Ends_,
          {[this](const std::string &Id) { return isInMaintenance(Id); },
           [this] { return mayOrder(); }}) {}

void FleetControl::start() {
  if (Ctx_.Machines)
    tick();
}

void FleetControl::reset(std::uint64_t Token) {
  Token_ = Token;
  Waves_.clear();
  Cache_.invalidate();
  Ends_.reset();
  Rebalancer_.reset();
  // If an earlier process of this entry owned the fleet last, no other entry
  // has given orders since.
  OrdersFrom_ = bootNow();
  if (!Owners_.isFleetReclaimed())
    OrdersFrom_ += TakeoverPause;
}

void FleetControl::tick() {
  Ctx_.Loop.after(TickPeriod, [this] { tick(); });
  if (Owners_.fleetToken() != Token_)
    reset(Owners_.fleetToken());
  if (Token_ == 0)
    return;
  Ends_.report();
  for (const auto &[Name, Wave] : View_.waves()) {
    WaveProgress &Status = Waves_[Name];
    reopen(Status);
    if (Status.Completed)
      continue;
    if (Status.Loaded)
      advance(Wave, Status);
    else
      loadProgress(Name);
  }
  if (mayOrder())
    Rebalancer_.tick(Token_);
  Cache_.refresh(bootNow());
}

/// Whether no other fleet owner can be giving orders: false shortly after a
/// takeover, and once other entries may take ownership.
bool FleetControl::mayOrder() const {
  core::TimePoint Now = bootNow();
  return Now >= OrdersFrom_ && Now - View_.controlCurrentAt() < FleetAuthority;
}

/// Whether a maintenance wave is draining the machine or has ordered it down.
bool FleetControl::isInMaintenance(const std::string &Machine) const {
  return std::any_of(Waves_.begin(), Waves_.end(), [&](const auto &Item) {
    auto It = Item.second.Machines.find(Machine);
    return It != Item.second.Machines.end() && !It->second.Done &&
           (It->second.Closing || It->second.OrderedAt);
  });
}

/// Loads the progress that earlier fleet owners stored for the wave.
void FleetControl::loadProgress(const std::string &Wave) {
  WaveProgress &Status = Waves_[Wave];
  if (Status.Loading)
    return;
  Status.Loading = true;
  std::string Key = WaveKeyPrefix + Wave;
  store::PartRange Range = {rows::Control, rows::poolPart(rows::FleetControl),
                            Key, Key + "!"};
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
        Json Stored = Json::parse(Row.Value, nullptr, false);
        if (!Stored.is_object())
          continue;
        Read.Completed = Stored.value("completed", false);
        for (const Json &Id : Stored.value("done", Json::array()))
          if (Id.is_string())
            Read.Machines[Id.get<std::string>()].Done = true;
      }
    });
  });
}

std::vector<jobs::WaveMachine>
FleetControl::describe(const WaveRequest &Wave,
                       const WaveProgress &Status) const {
  core::TimePoint Now = bootNow();
  std::vector<jobs::WaveMachine> Described;
  for (const std::string &Id : Wave.Machines) {
    jobs::WaveMachine M;
    M.Id = Id;
    const Machine *Known = Cache_.find(Id);
    if (Known) {
      M.Pool = Known->Pool;
      M.Worker = Known->Worker;
      M.Up = Known->State == MachineState::Up && !Rebalancer_.isMoving(Id);
      M.Down = Known->State == MachineState::Maintenance;
      auto Config = View_.config();
      const jobs::Pool *Pool = jobs::findPool(*Config, Known->Pool);
      if (Pool && Pool->Standby)
        M.Worker.clear();
    }
    auto It = Status.Machines.find(Id);
    if (It != Status.Machines.end()) {
      const MachineProgress &P = It->second;
      M.Done = P.Done;
      M.Closing = P.Closing && !P.Done;
      const jobs::PoolView *Owner = View_.pool(M.Pool);
      M.Clear = P.ClearWorker == M.Worker && Now - P.ClearAt < ClearValidity &&
                Owner && Owner->Version == P.ClearToken;
      M.Down = M.Down || P.InFlight ||
               (P.OrderedAt && Now - *P.OrderedAt < OrderVisibleAfter);
    }
    // A machine that no longer exists needs no maintenance.
    M.Done = M.Done || !Known;
    Described.push_back(std::move(M));
  }
  return Described;
}

void FleetControl::advance(const WaveRequest &Wave, WaveProgress &Status) {
  if (!Cache_.hasList())
    return;
  if (!Status.Published) {
    Status.Published = true;
    storeProgress(Wave.Name);
  }
  noteBegun(Wave, Status);
  std::vector<jobs::WaveMachine> Machines = describe(Wave, Status);
  bool AllDone = std::all_of(Machines.begin(), Machines.end(),
                             [](const auto &M) { return M.Done; });
  if (AllDone) {
    Status.Completed = true;
    logEvent("wave_completed", {{"wave", Wave.Name}});
    storeProgress(Wave.Name);
    return;
  }
  jobs::WaveBounds Bounds;
  Bounds.MaxAtOnce = Wave.MaxAtOnce;
  Bounds.Left = Status.SeenAt + Wave.Within - bootNow();
  for (const auto &[Id, M] : Cache_.machines())
    ++Bounds.PoolWorkers[M.Pool];
  jobs::WaveStep Step = jobs::planWave(Machines, Bounds);
  for (const std::string &Worker : Step.Close)
    for (jobs::WaveMachine &M : Machines)
      if (M.Worker == Worker) {
        MachineProgress &P = Status.Machines[M.Id];
        P.Closing = M.Closing = true;
        P.ClosingSince = bootNow();
      }
  close(Machines, Status);
  if (!mayOrder())
    return;
  for (const std::string &Id : Step.Maintain)
    maintain(Wave.Name, Id);
}

/// Whether another wave may have ordered the machine's maintenance.
bool FleetControl::isInOtherWave(const std::string &Wave,
                                 const std::string &Machine) const {
  auto Names = [&Machine](const std::vector<std::string> &Machines) {
    return std::find(Machines.begin(), Machines.end(), Machine) !=
           Machines.end();
  };
  return std::any_of(View_.waves().begin(), View_.waves().end(),
                     [&](const auto &Item) {
                       return Item.first != Wave && Names(Item.second.Machines);
                     }) ||
         std::any_of(Waves_.begin(), Waves_.end(), [&](const auto &Item) {
           return Item.first != Wave && Item.second.Machines.contains(Machine);
         });
}

/// Takes note of maintenance that was ordered and that a later list of machines
/// shows: the answer may be late or lost.
void FleetControl::noteBegun(const WaveRequest &Wave, WaveProgress &Status) {
  bool Noted = false;
  for (auto &[Id, P] : Status.Machines) {
    const Machine *M = Cache_.find(Id);
    if (P.Done || !P.OrderedAt || !M || M->State != MachineState::Maintenance ||
        *Cache_.listedAt() <= *P.OrderedAt || isInOtherWave(Wave.Name, Id))
      continue;
    P.Done = Noted = true;
    P.DoneAt = bootNow();
    logEvent("maintain_listed", {{"wave", Wave.Name}, {"machine", Id}});
  }
  if (Noted)
    storeProgress(Wave.Name);
}

/// Has workers opened that were closed for maintenance which had been done
/// before: a list that was requested since shows them up.
void FleetControl::reopen(WaveProgress &Status) {
  std::map<std::string, CloseRequest> ByPool;
  for (auto &[Id, P] : Status.Machines) {
    const Machine *M = Cache_.find(Id);
    if (!P.Done || !P.Closing || !M || M->State != MachineState::Up ||
        *Cache_.listedAt() <= P.DoneAt)
      continue;
    P.Closing = false;
    if (M->Worker == P.ClearWorker)
      ByPool[M->Pool].TakeBack.push_back(M->Worker);
  }
  for (auto &[Pool, Request] : ByPool) {
    Request.By.FleetToken = Token_;
    Peers_.askClose(Pool, Request, [](const CloseAnswer &) {});
  }
}

/// Repeats the close requests, since an owner reopens a worker whose closing is
/// not renewed.
void FleetControl::close(const std::vector<jobs::WaveMachine> &Machines,
                         WaveProgress &Status) {
  std::map<std::string, CloseRequest> ByPool;
  for (const jobs::WaveMachine &M : Machines) {
    const MachineProgress &P = Status.Machines[M.Id];
    // A worker that was taken down stays closed until the list shows that; the
    // one that follows it is open.
    bool Closed =
        P.Closing && (!P.Done || (M.Down && M.Worker == P.ClearWorker));
    if (!Closed || M.Worker.empty())
      continue;
    bool Drain = bootNow() - P.ClosingSince < DrainTimeout;
    (Drain ? ByPool[M.Pool].Drain : ByPool[M.Pool].Evict).push_back(M.Worker);
  }
  for (auto &[Pool, Request] : ByPool) {
    Request.By.FleetToken = Token_;
    Peers_.askClose(Pool, Request, [this](const CloseAnswer &Closed) {
      const std::vector<std::string> &Ids = Closed.Closed.Clear;
      for (auto &[Name, Wave] : Waves_)
        for (auto &[Id, Progress] : Wave.Machines) {
          const Machine *M = Cache_.find(Id);
          if (!M || std::find(Ids.begin(), Ids.end(), M->Worker) == Ids.end())
            continue;
          Progress.ClearWorker = M->Worker;
          Progress.ClearAt = bootNow();
          Progress.ClearToken = Closed.Token;
        }
    });
  }
}

void FleetControl::maintain(const std::string &Wave, const std::string &Id) {
  MachineProgress &P = Waves_[Wave].Machines[Id];
  P.InFlight = true;
  P.OrderedAt = bootNow();
  Ends_.expect(Id, *P.OrderedAt);
  logEvent("maintain", {{"wave", Wave}, {"machine", Id}, {"token", Token_}});
  Ctx_.Machines->maintain(
      Id, Wave, Token_,
      [this, Wave, Id, Token = Token_](MachineOrderOutcome Outcome) {
        Ctx_.Loop.post([this, Wave, Id, Token, Outcome] {
          if (Token == Token_)
            onMaintainEnded(Wave, Id, Outcome);
        });
      });
}

void FleetControl::onMaintainEnded(const std::string &Wave,
                                   const std::string &Id,
                                   MachineOrderOutcome Outcome) {
  MachineProgress &P = Waves_[Wave].Machines[Id];
  P.InFlight = false;
  if (Outcome != MachineOrderOutcome::Done)
    logEvent("maintain_refused",
             {{"wave", Wave}, {"machine", Id}, {"outcome", nameOf(Outcome)}});
  switch (Outcome) {
  case MachineOrderOutcome::Done:
    if (P.Done)
      return;
    P.Done = true;
    P.DoneAt = bootNow();
    storeProgress(Wave);
    return;
  case MachineOrderOutcome::Fenced:
    // Another fleet owner has given a newer order; its row arrives soon.
    OrdersFrom_ = bootNow() + TakeoverPause;
    return;
  case MachineOrderOutcome::Unknown:
    // Repeating the order is harmless.
    return;
  case MachineOrderOutcome::Busy:
  case MachineOrderOutcome::Wrong:
  case MachineOrderOutcome::NotDone:
    P.OrderedAt.reset();
    return;
  }
}

/// Stores the wave's progress for later fleet owners, then publishes it to
/// operators.
void FleetControl::storeProgress(const std::string &Wave) {
  const WaveProgress &Status = Waves_[Wave];
  Json Done = Json::array();
  for (const auto &[Id, Progress] : Status.Machines)
    if (Progress.Done)
      Done.push_back(Id);
  std::string Part = rows::poolPart(rows::FleetControl);
  store::PartTransaction T;
  T.Conditions.push_back({{rows::Control, Part, rows::OwnerKey}, Token_});
  T.Puts.push_back(
      {{rows::Control, Part, WaveKeyPrefix + Wave},
       Json({{"completed", Status.Completed}, {"done", Done}}).dump()});
  Ctx_.Store.commit(
      std::move(T), StoreTimeout,
      [this, Wave, Token = Token_, Completed = Status.Completed](PartAnswer A) {
        Ctx_.Loop.post([this, Wave, Token, Completed, Outcome = A.Outcome] {
          if (Token != Token_ || Outcome == PartOutcome::Conflict)
            return;
          if (Outcome != PartOutcome::Ok) {
            Ctx_.Loop.after(TickPeriod, [this, Wave, Token] {
              if (Token == Token_)
                storeProgress(Wave);
            });
            return;
          }
          publishStatus(Wave, Completed);
        });
      });
}

/// Writes the wave's status row for operators.
void FleetControl::publishStatus(const std::string &Wave, bool Completed) {
  store::PartTransaction T;
  T.Puts.push_back(
      {{Ctx_.Rows.StatusTable, "", Ctx_.Rows.WaveStatusKeyPrefix + Wave},
       Ctx_.Rows.WaveStatus(Completed)});
  Ctx_.Store.commit(
      std::move(T), StoreTimeout,
      [this, Wave, Completed, Token = Token_](PartAnswer A) {
        Ctx_.Loop.post([this, Wave, Completed, Token, Outcome = A.Outcome] {
          if (Outcome == PartOutcome::Ok || Token != Token_)
            return;
          Ctx_.Loop.after(TickPeriod, [this, Wave, Completed] {
            publishStatus(Wave, Completed);
          });
        });
      });
}

} // namespace comfreydeck::dispatch
