#ifndef COMFREYDECK_ENTRY_POOLWRITER_H
#define COMFREYDECK_ENTRY_POOLWRITER_H

#include "entry/Fleet.h"

#include <set>

namespace comfreydeck::entry {

/// What came of writing a plan.
enum class WriteOutcome : std::uint8_t {
  Written,
  /// A row had changed; nothing was written.
  Conflict,
  /// This entry does not own the pool.
  NotOwner,
  /// The store is away; nothing was written.
  StoreAway,
  /// The answer was lost, and later changes hide whether it was written.
  Unknown,
};

/// Writes the changes of a pool's instances, one transaction at a time for each
/// pool. A transaction conditions on each instance's row, on the ledger of each
/// pool it touches, and on the row that names the pool's owner. On the control
/// thread only.
class PoolWriter {
public:
  using Callback = std::function<void(WriteOutcome)>;

  PoolWriter(const Context &C, Fleet &Workers);

  /// Whether a write of that pool is under way or of unknown outcome.
  bool isBusy(core::PoolId Pool) const { return Busy_.contains(Pool); }

  /// Precondition: the pool is not busy and the plan has changes. What changes
  /// gets nothing new from now on. Where the answer is lost, \p Done comes once
  /// the outcome is settled.
  void write(core::PoolId Pool, const core::PoolPlan &Plan, Callback Done);

private:
  struct Attempt {
    core::PoolId Pool;
    core::PoolPlan Plan;
    std::string Change;
    std::uint64_t LedgerVersion = 0;
    store::Transaction Transaction;
    /// The rows of the transaction's writes that are instances.
    std::vector<core::Instance> Rows;
    std::vector<core::BudgetLedger> Ledgers;
    Callback Done;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  AttemptPtr prepare(core::PoolId Pool, const core::PoolPlan &Plan);
  void addLedger(Attempt &A, core::BudgetLedger Ledger);
  void onOwnerRow(const AttemptPtr &A, const store::ReadResult &Result);
  void onCommit(const AttemptPtr &A, const store::CommitResult &Result);
  void applyHere(const Attempt &A, std::span<const std::uint64_t> Versions);
  void settle(const AttemptPtr &A);
  void onSettled(const AttemptPtr &A, store::CommitOutcome Outcome);
  void readBack(const AttemptPtr &A);
  void end(const AttemptPtr &A, WriteOutcome Outcome);

  Context Context_;
  Fleet &Workers_;
  std::set<core::PoolId> Busy_;
  std::uint64_t NextChange_ = 1;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_POOLWRITER_H
