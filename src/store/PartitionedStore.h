#ifndef COMFREYDECK_STORE_PARTITIONEDSTORE_H
#define COMFREYDECK_STORE_PARTITIONEDSTORE_H

#include "core/Types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// A transactional store whose row versions come from a single increasing
/// counter.
namespace comfreydeck::store {

/// Key of a row in a partitioned table.
struct PartKey {
  std::string Table;
  std::string Part;
  std::string Key;
  auto operator<=>(const PartKey &) const = default;
};

/// A row as read.
struct PartRow {
  PartKey Where;
  std::string Value;
  /// From the store's version counter; never zero.
  std::uint64_t Version = 0;
  /// Whether the row was removed. Set only by PartitionedStore::changes.
  bool Removed = false;
};

/// A transaction is applied only if the row has this version.
struct PartCondition {
  PartKey Where;
  /// Zero: the row must be absent.
  std::uint64_t Version = 0;
};

struct PartWrite {
  PartKey Where;
  std::string Value;
};

/// Writes that are applied atomically. They must all be in one partition,
/// unless the store supports several.
struct PartTransaction {
  std::vector<PartCondition> Conditions;
  std::vector<PartWrite> Puts;
  std::vector<PartKey> Removals;
};

enum class PartOutcome : std::uint8_t {
  Ok,
  /// A condition was not met; nothing was written.
  Conflict,
  /// The operation was certainly not performed.
  NotDone,
  /// The answer was lost: a write may have been applied or may be applied
  /// later.
  Unknown,
  /// Only for PartitionedStore::changes: the store no longer has the history
  /// since that version.
  HistoryGone,
};

inline constexpr std::size_t PartOutcomeCount = 5;

const char *nameOf(PartOutcome Outcome);

struct PartAnswer {
  PartOutcome Outcome = PartOutcome::NotDone;
  /// Only with PartOutcome::NotDone: the store refused the operation itself, so
  /// that it would refuse the same one again.
  bool Permanent = false;
  /// The rows read or changed; after a conflict, the rows of the conditions.
  std::vector<PartRow> Rows;
  /// Reads only: whether rows were omitted because of a limit.
  bool More = false;
  /// The store's newest version when it answered; for a committed transaction,
  /// the transaction's own version.
  std::uint64_t Version = 0;
  /// Description of the refusal or failure; for logs.
  std::string Error;
  /// What the store's steady clock showed, which is common to all its clients;
  /// nothing if the answer doesn't say.
  std::optional<std::chrono::milliseconds> Clock;
};

using PartCallback = std::function<void(PartAnswer)>;

/// Range of rows in one partition, by ascending key.
struct PartRange {
  std::string Table;
  std::string Part;
  /// First key, inclusive; empty: from the beginning.
  std::string From;
  /// End key, exclusive; empty: to the end.
  std::string To;
  /// Maximum number of rows in one answer; zero: the store's own limit.
  std::uint32_t MaxRows = 0;
};

/// Client of the store. Every method is thread-safe and returns immediately.
/// Each callback is called once, on any thread, and must not block.
class PartitionedStore {
public:
  virtual ~PartitionedStore() = default;

  virtual void commit(PartTransaction T, core::Duration Limit,
                      PartCallback Done) = 0;
  virtual void read(PartRange Range, PartCallback Done) = 0;
  /// Returns the rows of the table that changed after version \p After. If
  /// there are none yet, waits up to \p Wait for a change (long poll).
  virtual void changes(std::string Table, std::uint64_t After,
                       core::Duration Wait, PartCallback Done) = 0;
};

} // namespace comfreydeck::store

#endif // COMFREYDECK_STORE_PARTITIONEDSTORE_H
