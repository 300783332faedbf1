#include "entry/PoolWriter.h"

#include "codec/ConfigJson.h"
#include "codec/InstanceJson.h"
#include "codec/MaintenanceJson.h"
#include "core/Names.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace comfreydeck::entry {

namespace {

constexpr const char *OwnerTable = "pools";
constexpr core::Duration SettleEvery = std::chrono::milliseconds(500);

/// Whether the row names \p Self as the pool's owner.
bool namesOwner(const std::optional<store::Row> &Row, core::Incarnation Self) {
  if (!Row)
    return false;
  auto J = nlohmann::json::parse(Row->Value, nullptr, false);
  return J.is_object() && J.value("owner", "") == core::nameOf(Self);
}

} // namespace

PoolWriter::PoolWriter(const Context &C, Fleet &Workers)
    : Context_(C), Workers_(Workers) {}

void PoolWriter::write(core::PoolId Pool, const core::PoolPlan &Plan,
                       Callback Done) {
  Busy_.insert(Pool);
  AttemptPtr A = prepare(Pool, Plan);
  A->Done = std::move(Done);
  for (const core::Instance &I : A->Rows)
    if (!core::takesWork(I.State))
      Workers_.hold(I.Id);
  Context_.Tables.read(
      {OwnerTable, poolKey(Pool)}, [this, A](store::ReadResult Result) {
        Context_.Control.post([this, A, Result] { onOwnerRow(A, Result); });
      });
}

PoolWriter::AttemptPtr PoolWriter::prepare(core::PoolId Pool,
                                           const core::PoolPlan &Plan) {
  auto A = std::make_shared<Attempt>();
  A->Pool = Pool;
  A->Plan = Plan;
  A->Change = core::nameOf(Context_.Self) + "-" + std::to_string(NextChange_++);
  A->LedgerVersion = Workers_.rows().ledgerOf(Pool).Version;
  A->Transaction.Id = A->Change;
  std::set<core::PoolId> Joined;
  for (const core::InstanceChange &C : Plan.Changes) {
    store::RowKey Key{InstanceTable, C.After.Name};
    A->Transaction.Conditions.push_back(
        {Key, Workers_.rows().versionOf(C.After.Id)});
    A->Transaction.Writes.push_back({Key, codec::toJson(C.After)});
    A->Rows.push_back(C.After);
    if (C.After.Pool != Pool)
      Joined.insert(C.After.Pool);
  }
  core::BudgetLedger Ledger = Plan.Ledger;
  Ledger.Pool = Pool;
  addLedger(*A, Ledger);
  // The new ledger version makes the joined pool's owner read its instances.
  for (core::PoolId Other : Joined)
    addLedger(*A, Workers_.rows().ledgerOf(Other).Ledger);
  return A;
}

void PoolWriter::addLedger(Attempt &A, core::BudgetLedger Ledger) {
  store::RowKey Key{BudgetTable, poolKey(Ledger.Pool)};
  A.Transaction.Conditions.push_back(
      {Key, Workers_.rows().ledgerOf(Ledger.Pool).Version});
  A.Transaction.Writes.push_back({Key, codec::toJson({Ledger, A.Change})});
  A.Ledgers.push_back(std::move(Ledger));
}

void PoolWriter::onOwnerRow(const AttemptPtr &A,
                            const store::ReadResult &Result) {
  if (Result.Outcome != store::ReadOutcome::Ok)
    return end(A, WriteOutcome::StoreUnavailable);
  if (!namesOwner(Result.Found, Context_.Self))
    return end(A, WriteOutcome::NotOwner);
  A->Transaction.Conditions.push_back(
      {{OwnerTable, poolKey(A->Pool)}, Result.Found->Version});
  Context_.Tables.commit(
      A->Transaction, [this, A](store::CommitResult Committed) {
        Context_.Control.post([this, A, Committed] { onCommit(A, Committed); });
      });
}

void PoolWriter::onCommit(const AttemptPtr &A,
                          const store::CommitResult &Result) {
  switch (Result.Outcome) {
  case store::CommitOutcome::Committed:
    applyLocally(*A, Result.Versions);
    return end(A, WriteOutcome::Written);
  case store::CommitOutcome::Conflict:
    return end(A, WriteOutcome::Conflict);
  case store::CommitOutcome::NotApplied:
    return end(A, WriteOutcome::StoreUnavailable);
  case store::CommitOutcome::Unknown:
    break;
  }
  LOG(WARNING) << "fleet: the store's answer was lost for a write of pool "
               << A->Pool.Value;
  settle(A);
}

void PoolWriter::applyLocally(const Attempt &A,
                              std::span<const std::uint64_t> Versions) {
  if (Versions.size() != A.Rows.size() + A.Ledgers.size())
    return Workers_.pollNow();
  std::size_t N = 0;
  for (const core::Instance &I : A.Rows) {
    Workers_.rows().apply(I, Versions[N++]);
    Workers_.release(I.Id);
  }
  for (const core::BudgetLedger &Ledger : A.Ledgers)
    Workers_.rows().apply(Ledger, Versions[N++]);
}

/// Rewrites the unchanged ledger under the version that the lost write is
/// conditional on. Once this write is answered, the lost write has been applied
/// or never will be.
void PoolWriter::settle(const AttemptPtr &A) {
  store::RowKey Key{BudgetTable, poolKey(A->Pool)};
  KnownLedger Before = Workers_.rows().ledgerOf(A->Pool);
  store::Transaction T;
  T.Id = "settle-" + A->Change;
  T.Conditions.push_back({Key, A->LedgerVersion});
  T.Writes.push_back({Key, codec::toJson({Before.Ledger, T.Id})});
  Context_.Tables.commit(std::move(T), [this, A](store::CommitResult Result) {
    Context_.Control.post([this, A, Result] { onSettled(A, Result.Outcome); });
  });
}

void PoolWriter::onSettled(const AttemptPtr &A, store::CommitOutcome Outcome) {
  if (Outcome == store::CommitOutcome::Committed)
    return end(A, WriteOutcome::StoreUnavailable);
  if (Outcome == store::CommitOutcome::Conflict)
    return readBack(A);
  Context_.Control.after(SettleEvery, [this, A] { settle(A); });
}

void PoolWriter::readBack(const AttemptPtr &A) {
  store::RowKey Key{BudgetTable, poolKey(A->Pool)};
  Context_.Tables.read(Key, [this, A](store::ReadResult Result) {
    Context_.Control.post([this, A, Result] {
      if (Result.Outcome != store::ReadOutcome::Ok) {
        Context_.Control.after(SettleEvery, [this, A] { readBack(A); });
        return;
      }
      std::string Change;
      if (Result.Found)
        Change = codec::parseLedgerRow(Result.Found->Value).Change;
      if (Change == A->Change) {
        Workers_.releaseAfterNextRead(A->Rows);
        return end(A, WriteOutcome::Written);
      }
      // The answer to an earlier settling write may itself have been lost.
      bool IsSettled = Change == "settle-" + A->Change;
      end(A,
          IsSettled ? WriteOutcome::StoreUnavailable : WriteOutcome::Unknown);
    });
  });
}

void PoolWriter::end(const AttemptPtr &A, WriteOutcome Outcome) {
  Busy_.erase(A->Pool);
  if (Outcome != WriteOutcome::Written)
    Workers_.releaseAfterNextRead(A->Rows);
  Workers_.pollNow();
  A->Done(Outcome);
}

} // namespace comfreydeck::entry
