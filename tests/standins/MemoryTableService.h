#ifndef COMFREYDECK_TESTS_STANDINS_MEMORYTABLESERVICE_H
#define COMFREYDECK_TESTS_STANDINS_MEMORYTABLESERVICE_H

#include "standins/MemoryTables.h"

namespace comfreydeck::standins {

/// What the tables in memory do wrong at present.
struct TableFaults {
  bool ReadsDown = false;
  bool WritesDown = false;
  /// Commits apply, and their outcome is unknown to the caller.
  bool LosesAnswers = false;
};

/// A table service in memory that answers at once, on the caller's thread. Not
/// thread-safe.
class MemoryTableService final : public platform::TableService {
public:
  void setFaults(TableFaults Faults) { Faults_ = Faults; }

  void read(platform::RowKey Key,
            std::function<void(platform::ReadResult)> Done) override {
    platform::ReadResult Result;
    if (!Faults_.ReadsDown)
      Result = {platform::ReadOutcome::Ok, Tables_.read(Key)};
    Done(std::move(Result));
  }

  void scan(std::string Table, std::string Prefix, std::string After,
            std::uint32_t Limit,
            std::function<void(platform::ScanResult)> Done) override {
    if (Faults_.ReadsDown)
      return Done({});
    Done(Tables_.scan(Table, Prefix, After, Limit));
  }

  void commit(platform::Transaction T,
              std::function<void(platform::CommitResult)> Done) override {
    if (Faults_.WritesDown)
      return Done({});
    platform::CommitResult Result = Tables_.commit(T);
    if (Faults_.LosesAnswers)
      Result = {platform::CommitOutcome::Unknown, {}};
    Done(std::move(Result));
  }

private:
  MemoryTables Tables_;
  TableFaults Faults_;
};

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_MEMORYTABLESERVICE_H
