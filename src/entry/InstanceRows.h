#ifndef COMFREYDECK_ENTRY_INSTANCEROWS_H
#define COMFREYDECK_ENTRY_INSTANCEROWS_H

#include "core/Budget.h"
#include "entry/Context.h"

#include <map>

namespace comfreydeck::entry {

constexpr const char *InstanceTable = "instances";
constexpr const char *BudgetTable = "budgets";

/// The key of a pool's row in the budget and owner tables. Thread-safe.
std::string poolKey(core::PoolId Pool);

/// A pool's ledger as last read.
struct KnownLedger {
  core::BudgetLedger Ledger;
  /// Zero if the row has never been written.
  std::uint64_t Version = 0;
};

/// A cache of the instances' rows and the pools' ledgers. Each change of an
/// instance also writes its pool's ledger, so the instances are read again only
/// when a ledger has changed. Control thread only.
class InstanceRows {
public:
  explicit InstanceRows(const Context &C);

  /// Starts a read unless one is in flight. \p Done is called after a complete
  /// read, and not after a failed one.
  void poll(std::function<void()> Done);

  /// The number of the last read started, and of the last one completed.
  std::uint64_t lastStarted() const { return LastStarted_; }
  std::uint64_t lastCompleted() const { return LastCompleted_; }

  const std::map<core::WorkerId, core::Instance> &all() const { return Rows_; }
  /// Zero if there is no such row.
  std::uint64_t versionOf(core::WorkerId Id) const;
  std::span<const core::WorkerId> workersIn(core::PoolId Pool) const;
  KnownLedger ledgerOf(core::PoolId Pool) const;

  /// Applies a change that this entry has just committed. A read in flight is
  /// discarded, since it may be older.
  void apply(const core::Instance &I, std::uint64_t Version);
  void apply(const core::BudgetLedger &Ledger, std::uint64_t Version);

private:
  void scanLedgers(std::string After);
  void onLedgers(const store::ScanResult &Result);
  void scanInstances(std::string After);
  void onInstances(const store::ScanResult &Result);
  void finish(bool IsComplete);
  void indexPools();

  Context Context_;
  std::function<void()> Done_;
  std::uint64_t LastStarted_ = 0;
  std::uint64_t LastCompleted_ = 0;
  /// Changes with each commit of this entry.
  std::uint64_t Generation_ = 0;
  std::uint64_t ReadGeneration_ = 0;
  std::map<core::WorkerId, core::Instance> Rows_;
  std::map<core::WorkerId, std::uint64_t> Versions_;
  std::map<core::PoolId, KnownLedger> Ledgers_;
  std::map<core::PoolId, std::vector<core::WorkerId>> ByPool_;
  std::map<core::WorkerId, core::Instance> NewRows_;
  std::map<core::WorkerId, std::uint64_t> NewVersions_;
  std::map<core::PoolId, KnownLedger> NewLedgers_;
  bool Polling_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_INSTANCEROWS_H
