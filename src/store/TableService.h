#ifndef COMFREYDECK_STORE_TABLESERVICE_H
#define COMFREYDECK_STORE_TABLESERVICE_H

#include "core/Types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Interfaces to the platform's storage services.
namespace comfreydeck::store {

/// Key of a row.
struct RowKey {
  std::string Table;
  std::string Key;
  auto operator<=>(const RowKey &) const = default;
};

/// A row as read.
struct Row {
  std::string Key;
  std::string Value;
  /// Increases with each write of the row; never zero.
  std::uint64_t Version = 0;
};

/// A transaction is applied only if the row has this version.
struct Condition {
  RowKey Row;
  /// Zero: the row must be absent.
  std::uint64_t Version = 0;
};

/// Sets a row's value, or deletes the row if \ref Value is empty.
struct Write {
  RowKey Row;
  std::optional<std::string> Value;
};

/// Writes that are applied atomically.
struct Transaction {
  /// Id of the transaction, for the logs.
  std::string Id;
  std::vector<Condition> Conditions;
  std::vector<Write> Writes;
};

enum class ReadOutcome : std::uint8_t { Ok, Unavailable };

struct ReadResult {
  ReadOutcome Outcome = ReadOutcome::Unavailable;
  /// Empty if there is no such row.
  std::optional<Row> Found;
};

struct ScanResult {
  ReadOutcome Outcome = ReadOutcome::Unavailable;
  std::vector<Row> Rows;
  /// Whether rows were omitted because of the limit.
  bool More = false;
};

enum class CommitOutcome : std::uint8_t {
  Committed,
  /// A condition was not met; nothing was written.
  Conflict,
  /// Nothing was written, and nothing will be.
  NotApplied,
  /// The answer was lost: the writes may have been applied or may be applied
  /// later.
  Unknown,
};

struct CommitResult {
  CommitOutcome Outcome = CommitOutcome::NotApplied;
  /// The versions written, in the order of the writes; only if committed.
  std::vector<std::uint64_t> Versions;
};

/// A transactional table service. Every method is thread-safe and returns
/// immediately. Each callback is called once, on any thread, and must not
/// block.
class TableService {
public:
  virtual ~TableService() = default;

  virtual void read(RowKey Key, std::function<void(ReadResult)> Done) = 0;

  /// Returns up to \p Limit (1 to 1000) rows in key order, whose keys begin
  /// with \p Prefix and are greater than \p After.
  virtual void scan(std::string Table, std::string Prefix, std::string After,
                    std::uint32_t Limit,
                    std::function<void(ScanResult)> Done) = 0;

  virtual void commit(Transaction T,
                      std::function<void(CommitResult)> Done) = 0;
};

} // namespace comfreydeck::store

#endif // COMFREYDECK_STORE_TABLESERVICE_H
