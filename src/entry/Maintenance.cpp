#include "entry/Maintenance.h"

#include "codec/ConfigJson.h"
#include "codec/InstanceJson.h"
#include "entry/WallClock.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace comfreydeck::entry {

namespace {

constexpr std::uint32_t PageRows = 1000;
constexpr std::size_t WaveDigits = 10;
/// Limit on attempts of a request while another change of its pool is in
/// flight.
constexpr int MaxTries = 40;
constexpr core::Duration RetryDelay = std::chrono::milliseconds(150);
constexpr core::Duration RebootCallTimeout = std::chrono::seconds(2);
/// Maximum number of new instances added in one transaction.
constexpr std::size_t MaxAdoptedPerTransaction = 50;

/// An id computed from the instance's name alone (FNV-1a).
std::uint32_t idFromName(std::string_view Name) {
  constexpr std::uint32_t Basis = 2166136261U;
  constexpr std::uint32_t Prime = 16777619U;
  std::uint32_t Hash = Basis;
  for (unsigned char C : Name)
    Hash = (Hash ^ C) * Prime;
  return Hash == core::WorkerId::InvalidValue ? 0 : Hash;
}

OperationAnswer toAnswer(WriteOutcome Outcome) {
  switch (Outcome) {
  case WriteOutcome::Written:
    return {OperationOutcome::Accepted, "recorded"};
  case WriteOutcome::Conflict:
    return {OperationOutcome::Refused, "other changes came first; try again"};
  case WriteOutcome::NotOwner:
    return {OperationOutcome::NotOwner, "the pool is owned by another entry"};
  case WriteOutcome::StoreUnavailable:
    return {OperationOutcome::StoreUnavailable,
            "the store is away; nothing was written"};
  case WriteOutcome::Unknown:
    break;
  }
  return {OperationOutcome::Unknown,
          "the store's answer was lost; check the instance"};
}

std::string holdReason(const core::WavePart &Part) {
  switch (Part.Hold) {
  case core::WaveHold::Budget:
    return core::describe(Part.Refusal);
  case core::WaveHold::Canary:
    return "the first instance has not served again yet";
  case core::WaveHold::Failures:
    return std::to_string(Part.Progress.Failed) +
           " instances did not come back";
  case core::WaveHold::None:
  case core::WaveHold::Complete:
  case core::WaveHold::NotRunning:
    break;
  }
  return "";
}

} // namespace

std::string waveKey(core::WaveId Wave) {
  std::string Digits = std::to_string(Wave.Value);
  return std::string(WaveDigits - std::min(WaveDigits, Digits.size()), '0') +
         Digits;
}

std::string waveProgressKey(core::WaveId Wave, core::PoolId Pool) {
  return waveKey(Wave) + "/" + std::to_string(Pool.Value);
}

Maintenance::Maintenance(const Context &C, Membership &Members,
                         ConfigStore &Config, Fleet &Workers,
                         PoolService &Pools)
    : Context_(C), Members_(Members), Config_(Config), Workers_(Workers),
      Pools_(Pools), Writer_(C, Workers) {}

bool Maintenance::isReady(core::PoolId Pool) const {
  return Pools_.isOwner(Pool) && Workers_.isFresh(Pool) &&
         Members_.isCurrent(net::now());
}

std::optional<core::PoolSnapshot>
Maintenance::snapshotOf(core::PoolId Pool) const {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  const core::Pool *P = core::findPool(*C, Pool);
  if (!P || !isReady(Pool))
    return std::nullopt;
  return Workers_.snapshot(
      *P, *C, [this](core::WorkerId Id) { return Pools_.runningOn(Id); });
}

void Maintenance::step() {
  readWaves();
  std::shared_ptr<const core::Configuration> C = Config_.current();
  Workers_.recordDataCentreReturns(*C);
  for (const core::Pool &P : C->Pools)
    if (isReady(P.Id))
      stepPool(P);
  finishWaves();
}

void Maintenance::stepPool(const core::Pool &P) {
  std::optional<core::PoolSnapshot> S = snapshotOf(P.Id);
  if (!S)
    return;
  sendReboots(*S);
  if (Writer_.isBusy(P.Id))
    return;
  if (P.Spare && adoptListed(P))
    return;
  for (const auto &[Id, W] : Waves_)
    if (W.State == core::WaveState::Running)
      S->Waves.push_back(W);
  core::PoolPlan Plan = core::planPool(*S);
  recordWaveProgress(P.Id, Plan.Waves);
  if (Plan.Changes.empty())
    return;
  for (const core::InstanceChange &Change : Plan.Changes)
    LOG(INFO) << "fleet: " << Change.After.Name << " changes state to "
              << codec::nameOf(Change.After.State);
  Writer_.write(P.Id, Plan, [Pool = P.Id](WriteOutcome Outcome) {
    if (Outcome != WriteOutcome::Written)
      LOG(WARNING) << "fleet: step of pool " << Pool.Value
                   << " not written: " << toAnswer(Outcome).Message;
  });
}

void Maintenance::sendReboots(const core::PoolSnapshot &S) {
  for (const core::PoolInstance &I : S.Instances) {
    bool IsDue = I.Row.State == core::InstanceState::Rebooting &&
                 I.Seen.Heard && I.Seen.BootId == I.Row.BootId;
    if (IsDue)
      sendReboot(I);
  }
}

/// The boot id and the not-after time make a delayed call harmless.
void Maintenance::sendReboot(const core::PoolInstance &I) {
  std::optional<std::uint64_t> NotAfter =
      Workers_.workerClockMs(I.Row.Id, Members_.currentUntil());
  if (!NotAfter)
    return;
  net::HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + I.Row.Address + "/v1/reboot";
  Call.Headers = {{"Boot-Id", I.Row.BootId},
                  {"Task-Not-After-Ms", std::to_string(*NotAfter)}};
  Call.TotalLimit = RebootCallTimeout;
  Context_.Workers.send(std::move(Call), [](auto) {});
}

core::Instance Maintenance::instanceFrom(const store::ListedInstance &Item,
                                         core::PoolId Pool,
                                         core::InstanceState S) const {
  core::Instance I;
  I.Id.Value = idFromName(Item.Name);
  // Names may collide in their ids; the next free id is used.
  while (Workers_.find(I.Id) && Workers_.find(I.Id)->Name != Item.Name)
    ++I.Id.Value;
  I.Name = Item.Name;
  I.Pool = Pool;
  I.State = S;
  I.DataCentre = Item.DataCentre;
  I.Rack = Item.Rack;
  I.Address = Item.Address;
  I.MaintainedUnixMs = wallClockMs();
  I.SinceUnixMs = I.MaintainedUnixMs;
  return I;
}

/// Adds listed workers without a row to the spare pool.
bool Maintenance::adoptListed(const core::Pool &Spare) {
  core::PoolPlan Plan;
  Plan.Ledger = Workers_.rows().ledgerOf(Spare.Id).Ledger;
  for (const store::ListedInstance &Item : Workers_.listedWithoutRow()) {
    if (Plan.Changes.size() >= MaxAdoptedPerTransaction)
      break;
    core::Instance I =
        instanceFrom(Item, Spare.Id, core::InstanceState::Warming);
    I.Joining = true;
    Plan.Changes.push_back({I, core::InstanceEvent::CameBack});
  }
  if (Plan.Changes.empty())
    return false;
  LOG(INFO) << "fleet: " << Plan.Changes.size() << " new instances in the spare"
            << " pool";
  Writer_.write(Spare.Id, Plan, [](WriteOutcome) {});
  return true;
}

void Maintenance::write(core::PoolId Pool, const core::PoolPlan &Plan,
                        std::function<void()> Retry, Callback Done) {
  Writer_.write(Pool, Plan, [this, Retry, Done](WriteOutcome Outcome) {
    if (Outcome != WriteOutcome::Conflict)
      return Done(toAnswer(Outcome));
    Context_.Control.after(RetryDelay, Retry);
  });
}

void Maintenance::drain(const core::DrainRequest &Request, Callback Done) {
  tryDrain(Request, MaxTries, std::move(Done));
}

void Maintenance::tryDrain(const core::DrainRequest &Request, int TriesLeft,
                           Callback Done) {
  const core::Instance *I = Workers_.find(Request.Id);
  if (!I)
    return Done({OperationOutcome::NotFound, "there is no such instance"});
  core::PoolId Pool = I->Pool;
  std::optional<core::PoolSnapshot> S = snapshotOf(Pool);
  auto Retry = [this, Request, TriesLeft, Done] {
    tryDrain(Request, TriesLeft - 1, Done);
  };
  if (!S || Writer_.isBusy(Pool)) {
    if (TriesLeft == 0)
      return Done(toAnswer(WriteOutcome::Conflict));
    return Context_.Control.after(RetryDelay, Retry);
  }
  core::DrainDecision Decision = core::decideDrain(*S, Request);
  if (!Decision.Answer.granted())
    return Done({OperationOutcome::Refused, core::describe(Decision.Answer)});
  if (TriesLeft == 0)
    return Done(toAnswer(WriteOutcome::Conflict));
  write(Pool, Decision.Plan, Retry, Done);
}

void Maintenance::returnToService(core::WorkerId Id, Callback Done) {
  tryReturn(Id, MaxTries, std::move(Done));
}

void Maintenance::tryReturn(core::WorkerId Id, int TriesLeft, Callback Done) {
  const core::Instance *I = Workers_.find(Id);
  if (!I)
    return Done({OperationOutcome::NotFound, "there is no such instance"});
  core::PoolId Pool = I->Pool;
  std::optional<core::PoolSnapshot> S = snapshotOf(Pool);
  auto Retry = [this, Id, TriesLeft, Done] {
    tryReturn(Id, TriesLeft - 1, Done);
  };
  if (TriesLeft == 0)
    return Done(toAnswer(WriteOutcome::Conflict));
  if (!S || Writer_.isBusy(Pool))
    return Context_.Control.after(RetryDelay, Retry);
  core::PoolPlan Plan = core::planReturn(*S, Id);
  if (Plan.Changes.empty())
    return Done({OperationOutcome::Refused, std::string("it is ") +
                                                codec::nameOf(I->State) +
                                                " and can't be put back"});
  write(Pool, Plan, Retry, Done);
}

void Maintenance::place(const std::string &Name, core::PoolId Pool,
                        Callback Done) {
  Context_.Instances.list([this, Name, Pool, Done](store::ListResult Got) {
    Context_.Control.post([this, Name, Pool, Done, Got] {
      auto It = std::find_if(Got.Instances.begin(), Got.Instances.end(),
                             [&](const auto &Item) {
                               return Item.Name == Name &&
                                      Item.Kind == store::InstanceKind::Worker;
                             });
      if (It == Got.Instances.end())
        return Done({OperationOutcome::NotFound,
                     "the platform's list has no worker '" + Name + "'"});
      tryPlace(*It, Pool, MaxTries, Done);
    });
  });
}

void Maintenance::tryPlace(const store::ListedInstance &Item, core::PoolId Pool,
                           int TriesLeft, Callback Done) {
  const core::Instance *Present = Workers_.find(Item.Name);
  if (Present && Present->Pool == Pool)
    return Done(
        {OperationOutcome::Done, "the instance is already in this pool"});
  if (Present || TriesLeft == 0)
    return Done({OperationOutcome::Refused,
                 "the instance is already in a pool; try again"});
  auto Retry = [this, Item, Pool, TriesLeft, Done] {
    tryPlace(Item, Pool, TriesLeft - 1, Done);
  };
  if (!isReady(Pool) || Writer_.isBusy(Pool))
    return Context_.Control.after(RetryDelay, Retry);
  core::PoolPlan Plan;
  Plan.Ledger = Workers_.rows().ledgerOf(Pool).Ledger;
  Plan.Changes.push_back(
      {instanceFrom(Item, Pool, core::InstanceState::Serving),
       core::InstanceEvent::CameBack});
  write(Pool, Plan, Retry, [Done](OperationAnswer Answer) {
    if (Answer.Outcome == OperationOutcome::Accepted)
      Answer.Outcome = OperationOutcome::Done;
    Done(Answer);
  });
}

void Maintenance::readWaves() {
  if (ReadingWaves_)
    return;
  ReadingWaves_ = true;
  Context_.Tables.scan(WaveTable, "", "", PageRows,
                       [this](store::ScanResult Result) {
                         Context_.Control.post([this, Result] {
                           ReadingWaves_ = false;
                           onWaves(Result);
                         });
                       });
}

void Maintenance::onWaves(const store::ScanResult &Result) {
  if (Result.Outcome != store::ReadOutcome::Ok)
    return;
  Waves_.clear();
  WaveVersions_.clear();
  for (const store::Row &Row : Result.Rows) {
    try {
      core::Wave W = codec::parseWave(Row.Value);
      WaveVersions_[W.Id] = Row.Version;
      Waves_[W.Id] = std::move(W);
    } catch (const codec::CodecError &E) {
      LOG(ERROR) << "waves: row " << Row.Key << " can't be read: " << E.what();
    }
  }
  std::erase_if(WaveProgress_, [&](const auto &Item) {
    return !Waves_.contains(Item.first.first);
  });
}

void Maintenance::recordWaveProgress(core::PoolId Pool,
                                     std::span<const core::WavePart> Parts) {
  for (const core::WavePart &Part : Parts) {
    codec::WavePoolRow Row{Part.Wave, Pool, Part.Progress, Part.Hold,
                           holdReason(Part)};
    codec::WavePoolRow &Known = WaveProgress_[{Part.Wave, Pool}];
    if (Part.Hold == core::WaveHold::Failures)
      pauseWave(Part, Pool);
    if (Known == Row)
      continue;
    Known = Row;
    // Unconditional: the latest row wins, and a lost or late one is soon
    // overwritten.
    store::RowKey Key{WaveProgressTable, waveProgressKey(Part.Wave, Pool)};
    store::Transaction T{"wave-progress", {}, {{Key, codec::toJson(Row)}}};
    Context_.Tables.commit(
        std::move(T), [this, At = std::pair(Part.Wave, Pool)](auto Result) {
          if (Result.Outcome != store::CommitOutcome::Committed)
            Context_.Control.post([this, At] { WaveProgress_.erase(At); });
        });
  }
}

void Maintenance::pauseWave(const core::WavePart &Part, core::PoolId Pool) {
  core::Wave W = Waves_.at(Part.Wave);
  std::optional<core::WaveState> To =
      core::next(W.State, core::WaveCommand::Pause);
  if (!To)
    return;
  std::shared_ptr<const core::Configuration> C = Config_.current();
  const core::Pool *P = core::findPool(*C, Pool);
  W.State = *To;
  W.Why = "paused: in pool " + (P ? P->Name : poolKey(Pool)) + " " +
          holdReason(Part);
  LOG(WARNING) << "waves: wave " << W.Id.Value << " " << W.Why;
  writeWave(std::move(W));
}

void Maintenance::writeWave(core::Wave W) {
  store::RowKey Key{WaveTable, waveKey(W.Id)};
  store::Transaction T{"wave-" + Key.Key,
                       {{Key, WaveVersions_[W.Id]}},
                       {{Key, codec::toJson(W)}}};
  // If the write fails, the next step repeats it.
  Context_.Tables.commit(std::move(T), [this](auto) {
    Context_.Control.post([this] { readWaves(); });
  });
}

/// The owner of the first pool finishes waves that are complete in every pool.
void Maintenance::finishWaves() {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  if (C->Pools.empty() || !isReady(C->Pools.front().Id))
    return;
  for (const auto &[Id, W] : Waves_) {
    auto Mine = WaveProgress_.find({Id, C->Pools.front().Id});
    bool IsCandidate = W.State == core::WaveState::Running &&
                       Mine != WaveProgress_.end() &&
                       Mine->second.Hold == core::WaveHold::Complete;
    if (!IsCandidate)
      continue;
    Context_.Tables.scan(WaveProgressTable, waveKey(Id) + "/", "", PageRows,
                         [this, Wave = Id](store::ScanResult Result) {
                           Context_.Control.post([this, Wave, Result] {
                             onWaveProgress(Wave, Result);
                           });
                         });
  }
}

void Maintenance::onWaveProgress(core::WaveId Wave,
                                 const store::ScanResult &Result) {
  if (Result.Outcome != store::ReadOutcome::Ok || !Waves_.contains(Wave))
    return;
  std::set<core::PoolId> Complete;
  for (const store::Row &Row : Result.Rows) {
    codec::WavePoolRow Part = codec::parseWavePoolRow(Row.Value);
    if (Part.Hold == core::WaveHold::Complete)
      Complete.insert(Part.Pool);
  }
  std::shared_ptr<const core::Configuration> C = Config_.current();
  bool IsDone =
      std::all_of(C->Pools.begin(), C->Pools.end(),
                  [&](const auto &P) { return Complete.contains(P.Id); });
  core::Wave W = Waves_.at(Wave);
  std::optional<core::WaveState> To =
      core::next(W.State, core::WaveCommand::Finish);
  if (!IsDone || !To)
    return;
  W.State = *To;
  W.Why = "every instance is done";
  LOG(INFO) << "waves: wave " << Wave.Value << " is done";
  writeWave(std::move(W));
}

} // namespace comfreydeck::entry
