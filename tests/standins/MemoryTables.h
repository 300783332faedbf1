#ifndef COMFREYDECK_TESTS_STANDINS_MEMORYTABLES_H
#define COMFREYDECK_TESTS_STANDINS_MEMORYTABLES_H

#include "platform/TableService.h"

#include <map>

namespace comfreydeck::standins {

/// Tables in memory with conditional transactions. Not thread-safe.
class MemoryTables {
public:
  std::optional<platform::Row> read(const platform::RowKey &Key) const;

  platform::ScanResult scan(const std::string &Table, const std::string &Prefix,
                            const std::string &After,
                            std::uint32_t Limit) const;

  /// Committed or Conflict.
  platform::CommitResult commit(const platform::Transaction &T);

private:
  std::uint64_t versionOf(const platform::RowKey &Key) const;

  std::map<platform::RowKey, platform::Row> Rows_;
  std::uint64_t NextVersion_ = 1;
};

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_MEMORYTABLES_H
