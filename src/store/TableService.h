#ifndef COMFREYDECK_STORE_TABLESERVICE_H
#define COMFREYDECK_STORE_TABLESERVICE_H

#include "core/Types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// The platform's services behind narrow interfaces.
namespace comfreydeck::store {

/// Names one row.
struct RowKey {
  std::string Table;
  std::string Key;
  auto operator<=>(const RowKey &) const = default;
};

/// A row as read.
struct Row {
  std::string Key;
  std::string Value;
  /// Grows with each write of the row; never zero.
  std::uint64_t Version = 0;
};

/// A transaction applies only if the row has this version.
struct Condition {
  RowKey Row;
  /// Zero: the row must be absent.
  std::uint64_t Version = 0;
};

/// A new value, or nothing to delete the row.
struct Write {
  RowKey Row;
  std::optional<std::string> Value;
};

/// Writes that apply together or not at all.
struct Transaction {
  /// The change's own id, kept for the logs.
  std::string Id;
  std::vector<Condition> Conditions;
  std::vector<Write> Writes;
};

enum class ReadOutcome : std::uint8_t { Ok, Unavailable };

struct ReadResult {
  ReadOutcome Outcome = ReadOutcome::Unavailable;
  /// Empty where there is no such row.
  std::optional<Row> Found;
};

struct ScanResult {
  ReadOutcome Outcome = ReadOutcome::Unavailable;
  std::vector<Row> Rows;
  /// Whether rows were left out because of the limit.
  bool More = false;
};

enum class CommitOutcome : std::uint8_t {
  Committed,
  /// A condition did not hold; nothing was written.
  Conflict,
  /// Nothing can have been written.
  NotApplied,
  /// The answer was lost: the writes may have applied or may apply still.
  Unknown,
};

struct CommitResult {
  CommitOutcome Outcome = CommitOutcome::NotApplied;
  /// The versions written, in the order of the writes; only when committed.
  std::vector<std::uint64_t> Versions;
};

/// A transactional table service. Every method is thread-safe and returns at
/// once; each callback comes once, on any thread, and must not block.
class TableService {
public:
  virtual ~TableService() = default;

  virtual void read(RowKey Key, std::function<void(ReadResult)> Done) = 0;

  /// Rows whose keys begin with \p Prefix and come after \p After, by key.
  /// \p Limit is from 1 to 1000.
  virtual void scan(std::string Table, std::string Prefix, std::string After,
                    std::uint32_t Limit,
                    std::function<void(ScanResult)> Done) = 0;

  virtual void commit(Transaction T,
                      std::function<void(CommitResult)> Done) = 0;
};

} // namespace comfreydeck::store

#endif // COMFREYDECK_STORE_TABLESERVICE_H
