#ifndef COMFREYDECK_ENTRY_POOLWRITER_H
#define COMFREYDECK_ENTRY_POOLWRITER_H

#include "entry/Fleet.h"

#include <set>

namespace comfreydeck::entry {

/// The outcome of writing a plan.
enum class WriteOutcome : std::uint8_t {
  Written,
  /// A row had changed; nothing was written.
  Conflict,
  /// This entry does not own the pool.
  NotOwner,
  /// The store is unavailable; nothing was written.
  StoreUnavailable,
  /// The answer was lost, and later changes hide whether the plan was written.
  Unknown,
};

/// Writes changes to a pool's instances, one transaction at a time per pool. A
/// transaction is conditional on each instance's row, on the ledger of each
/// pool it touches, and on the row that names the pool's owner. Control thread
/// only.
class PoolWriter {
public:
  using Callback = std::function<void(WriteOutcome)>;

  PoolWriter(const Context &C, Fleet &Workers);

  /// Whether a write of the pool is in flight or of unknown outcome.
  bool isBusy(core::PoolId Pool) const { return Busy_.contains(Pool); }

  /// Precondition: the pool is not busy and the plan has changes. The affected
  /// instances get no new tasks from this call on. If the answer is lost,
  /// \p Done is called once the outcome has been determined.
  void write(core::PoolId Pool, const core::PoolPlan &Plan, Callback Done);

private:
  struct Attempt {
    core::PoolId Pool;
    core::PoolPlan Plan;
    std::string Change;
    std::uint64_t LedgerVersion = 0;
    store::Transaction Transaction;
    /// The instance rows that the transaction writes.
    std::vector<core::Instance> Rows;
    std::vector<core::BudgetLedger> Ledgers;
    Callback Done;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  AttemptPtr prepare(core::PoolId Pool, const core::PoolPlan &Plan);
  void addLedger(Attempt &A, core::BudgetLedger Ledger);
  void onOwnerRow(const AttemptPtr &A, const store::ReadResult &Result);
  void onCommit(const AttemptPtr &A, const store::CommitResult &Result);
  void applyLocally(const Attempt &A, std::span<const std::uint64_t> Versions);
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
