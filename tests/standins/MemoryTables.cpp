#include "standins/MemoryTables.h"

namespace comfreydeck::standins {

using namespace store;

std::optional<Row> MemoryTables::read(const RowKey &Key) const {
  auto It = Rows_.find(Key);
  if (It == Rows_.end())
    return std::nullopt;
  return It->second;
}

ScanResult MemoryTables::scan(const std::string &Table,
                              const std::string &Prefix,
                              const std::string &After,
                              std::uint32_t Limit) const {
  ScanResult Result;
  Result.Outcome = ReadOutcome::Ok;
  const std::string &From = std::max(Prefix, After);
  for (auto It = Rows_.lower_bound({Table, From}); It != Rows_.end(); ++It) {
    bool Matches =
        It->first.Table == Table && It->first.Key.starts_with(Prefix);
    if (!Matches)
      break;
    if (!After.empty() && It->first.Key <= After)
      continue;
    if (Result.Rows.size() == Limit) {
      Result.More = true;
      break;
    }
    Result.Rows.push_back(It->second);
  }
  return Result;
}

std::uint64_t MemoryTables::versionOf(const RowKey &Key) const {
  auto It = Rows_.find(Key);
  return It == Rows_.end() ? 0 : It->second.Version;
}

CommitResult MemoryTables::commit(const Transaction &T) {
  CommitResult Result;
  for (const Condition &C : T.Conditions) {
    if (versionOf(C.Row) != C.Version) {
      Result.Outcome = CommitOutcome::Conflict;
      return Result;
    }
  }
  for (const Write &W : T.Writes) {
    std::uint64_t Version = NextVersion_++;
    if (W.Value)
      Rows_[W.Row] = {W.Row.Key, *W.Value, Version};
    else
      Rows_.erase(W.Row);
    Result.Versions.push_back(Version);
  }
  Result.Outcome = CommitOutcome::Committed;
  return Result;
}

} // namespace comfreydeck::standins
