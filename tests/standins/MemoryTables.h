#ifndef COMFREYDECK_TESTS_STANDINS_MEMORYTABLES_H
#define COMFREYDECK_TESTS_STANDINS_MEMORYTABLES_H

#include "store/TableService.h"

#include <map>

namespace comfreydeck::standins {

/// Tables in memory with conditional transactions. Not thread-safe.
class MemoryTables {
public:
  std::optional<store::Row> read(const store::RowKey &Key) const;

  store::ScanResult scan(const std::string &Table, const std::string &Prefix,
                         const std::string &After, std::uint32_t Limit) const;

  /// The outcome is Committed or Conflict.
  store::CommitResult commit(const store::Transaction &T);

private:
  std::uint64_t versionOf(const store::RowKey &Key) const;

  std::map<store::RowKey, store::Row> Rows_;
  std::uint64_t NextVersion_ = 1;
};

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_MEMORYTABLES_H
