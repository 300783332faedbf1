#ifndef COMFREYDECK_STORE_PARTITIONEDSTORE_H
#define COMFREYDECK_STORE_PARTITIONEDSTORE_H

#include "core/Types.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// A transactional store whose rows carry versions from one rising counter.
namespace comfreydeck::store {

/// Names one row of a partitioned table.
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
  /// From the store's single counter; never zero.
  std::uint64_t Version = 0;
  /// Only in changes: the row was removed.
  bool Removed = false;
};

/// A transaction applies only if the row has this version.
struct PartCondition {
  PartKey Where;
  /// Zero: the row must be absent.
  std::uint64_t Version = 0;
};

struct PartWrite {
  PartKey Where;
  std::string Value;
};

/// Writes that apply together or not at all; one part for all of them, unless
/// the store takes several.
struct PartTransaction {
  std::vector<PartCondition> Conditions;
  std::vector<PartWrite> Puts;
  std::vector<PartKey> Removals;
};

enum class PartOutcome : std::uint8_t {
  Ok,
  /// A condition did not hold; nothing was written.
  Conflict,
  /// Nothing can have been done.
  NotDone,
  /// The answer was lost: a write may have applied or may apply later.
  Unknown,
  /// Changes only: the history from there on is gone.
  HistoryGone,
};

inline constexpr std::size_t PartOutcomes = 5;

const char *nameOf(PartOutcome Outcome);

struct PartAnswer {
  PartOutcome Outcome = PartOutcome::NotDone;
  /// The rows read or changed; after a conflict the rows of the conditions.
  std::vector<PartRow> Rows;
  /// Reads: whether rows were left out because of a limit.
  bool More = false;
  /// The store's newest version at the answer; a transaction's own version.
  std::uint64_t Version = 0;
  /// Names the refusal or the fault; for logs.
  std::string Error;
};

using PartCallback = std::function<void(PartAnswer)>;

/// Rows of one part, by ascending key.
struct PartRange {
  std::string Table;
  std::string Part;
  /// First key; empty: from the beginning.
  std::string From;
  /// First key left out; empty: to the end.
  std::string To;
  /// Most rows of one answer; zero: as many as the store gives.
  std::uint32_t Most = 0;
};

/// The store's client. Every method is thread-safe and returns at once; each
/// callback comes once, on any thread, and must not block.
class PartitionedStore {
public:
  virtual ~PartitionedStore() = default;

  virtual void commit(PartTransaction T, core::Duration Limit,
                      PartCallback Done) = 0;
  virtual void read(PartRange Range, PartCallback Done) = 0;
  /// Rows of the table that changed after that version; waits for one.
  virtual void changes(std::string Table, std::uint64_t After,
                       core::Duration Wait, PartCallback Done) = 0;
};

} // namespace comfreydeck::store

#endif // COMFREYDECK_STORE_PARTITIONEDSTORE_H
