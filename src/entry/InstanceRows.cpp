#include "entry/InstanceRows.h"

#include "codec/ConfigJson.h"
#include "codec/InstanceJson.h"
#include "codec/MaintenanceJson.h"

#include <glog/logging.h>

#include <algorithm>

namespace comfreydeck::entry {

namespace {

constexpr std::uint32_t PageRows = 1000;

bool sameVersions(const std::map<core::PoolId, KnownLedger> &A,
                  const std::map<core::PoolId, KnownLedger> &B) {
  return std::equal(
      A.begin(), A.end(), B.begin(), B.end(), [](const auto &X, const auto &Y) {
        return X.first == Y.first && X.second.Version == Y.second.Version;
      });
}

} // namespace

std::string poolKey(core::PoolId Pool) { return std::to_string(Pool.Value); }

InstanceRows::InstanceRows(const Context &C) : Context_(C) {}

void InstanceRows::poll(std::function<void()> Done) {
  if (Polling_)
    return;
  Polling_ = true;
  Done_ = std::move(Done);
  ++LastStarted_;
  ReadGeneration_ = Generation_;
  NewRows_.clear();
  NewVersions_.clear();
  NewLedgers_.clear();
  scanLedgers("");
}

void InstanceRows::scanLedgers(std::string After) {
  Context_.Tables.scan(BudgetTable, "", std::move(After), PageRows,
                       [this](store::ScanResult Result) {
                         Context_.Control.post(
                             [this, Result] { onLedgers(Result); });
                       });
}

void InstanceRows::onLedgers(const store::ScanResult &Result) {
  if (Result.Outcome != store::ReadOutcome::Ok)
    return finish(false);
  try {
    for (const store::Row &Row : Result.Rows) {
      codec::LedgerRow Parsed = codec::parseLedgerRow(Row.Value);
      NewLedgers_[Parsed.Ledger.Pool] = {Parsed.Ledger, Row.Version};
    }
  } catch (const codec::CodecError &E) {
    LOG(ERROR) << "fleet: a ledger can't be read: " << E.what();
    return finish(false);
  }
  if (Result.More)
    return scanLedgers(Result.Rows.back().Key);
  bool IsFirst = LastCompleted_ == 0;
  if (!IsFirst && sameVersions(NewLedgers_, Ledgers_)) {
    NewRows_ = Rows_;
    NewVersions_ = Versions_;
    return finish(true);
  }
  scanInstances("");
}

void InstanceRows::scanInstances(std::string After) {
  Context_.Tables.scan(InstanceTable, "", std::move(After), PageRows,
                       [this](store::ScanResult Result) {
                         Context_.Control.post(
                             [this, Result] { onInstances(Result); });
                       });
}

void InstanceRows::onInstances(const store::ScanResult &Result) {
  if (Result.Outcome != store::ReadOutcome::Ok)
    return finish(false);
  for (const store::Row &Row : Result.Rows) {
    try {
      core::Instance I = codec::parseInstance(Row.Value);
      NewVersions_[I.Id] = Row.Version;
      NewRows_[I.Id] = std::move(I);
    } catch (const codec::CodecError &E) {
      LOG(ERROR) << "fleet: row " << Row.Key << " can't be read: " << E.what();
    }
  }
  if (Result.More)
    return scanInstances(Result.Rows.back().Key);
  finish(true);
}

void InstanceRows::finish(bool IsComplete) {
  Polling_ = false;
  // Rows read before this entry's own commit must not overwrite it.
  if (!IsComplete || ReadGeneration_ != Generation_)
    return;
  Rows_.swap(NewRows_);
  Versions_.swap(NewVersions_);
  Ledgers_.swap(NewLedgers_);
  indexPools();
  LastCompleted_ = LastStarted_;
  Done_();
}

void InstanceRows::indexPools() {
  ByPool_.clear();
  for (const auto &[Id, I] : Rows_)
    ByPool_[I.Pool].push_back(Id);
}

std::uint64_t InstanceRows::versionOf(core::WorkerId Id) const {
  auto It = Versions_.find(Id);
  return It == Versions_.end() ? 0 : It->second;
}

std::span<const core::WorkerId>
InstanceRows::workersIn(core::PoolId Pool) const {
  auto It = ByPool_.find(Pool);
  if (It == ByPool_.end())
    return {};
  return It->second;
}

KnownLedger InstanceRows::ledgerOf(core::PoolId Pool) const {
  auto It = Ledgers_.find(Pool);
  if (It != Ledgers_.end())
    return It->second;
  KnownLedger None;
  None.Ledger.Pool = Pool;
  return None;
}

void InstanceRows::apply(const core::Instance &I, std::uint64_t Version) {
  ++Generation_;
  bool Moved = !Rows_.contains(I.Id) || Rows_[I.Id].Pool != I.Pool;
  Rows_[I.Id] = I;
  Versions_[I.Id] = Version;
  if (Moved)
    indexPools();
}

void InstanceRows::apply(const core::BudgetLedger &Ledger,
                         std::uint64_t Version) {
  ++Generation_;
  Ledgers_[Ledger.Pool] = {Ledger, Version};
}

} // namespace comfreydeck::entry
