#ifndef COMFREYDECK_TESTS_STANDINS_MEMORYTABLESERVICE_H
#define COMFREYDECK_TESTS_STANDINS_MEMORYTABLESERVICE_H

#include "standins/MemoryTables.h"

namespace comfreydeck::standins {

/// Faults injected into the in-memory tables.
struct TableFaults {
  bool ReadsDown = false;
  bool WritesDown = false;
  /// Commits are applied, but the caller gets the outcome Unknown.
  bool LosesAnswers = false;
};

/// A table service in memory that calls back before it returns, on the caller's
/// thread. Not thread-safe.
class MemoryTableService final : public store::TableService {
public:
  void setFaults(TableFaults Faults) { Faults_ = Faults; }

  void read(store::RowKey Key,
            std::function<void(store::ReadResult)> Done) override {
    store::ReadResult Result;
    if (!Faults_.ReadsDown)
      Result = {store::ReadOutcome::Ok, Tables_.read(Key)};
    Done(std::move(Result));
  }

  void scan(std::string Table, std::string Prefix, std::string After,
            std::uint32_t Limit,
            std::function<void(store::ScanResult)> Done) override {
    if (Faults_.ReadsDown)
      return Done({});
    Done(Tables_.scan(Table, Prefix, After, Limit));
  }

  void commit(store::Transaction T,
              std::function<void(store::CommitResult)> Done) override {
    if (Faults_.WritesDown)
      return Done({});
    store::CommitResult Result = Tables_.commit(T);
    if (Faults_.LosesAnswers)
      Result = {store::CommitOutcome::Unknown, {}};
    Done(std::move(Result));
  }

private:
  MemoryTables Tables_;
  TableFaults Faults_;
};

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_MEMORYTABLESERVICE_H
