#ifndef COMFREYDECK_ENTRY_WRITEBATCHER_H
#define COMFREYDECK_ENTRY_WRITEBATCHER_H

#include "entry/Context.h"

#include <deque>

namespace comfreydeck::entry {

struct RowWriteResult {
  store::CommitOutcome Outcome = store::CommitOutcome::NotApplied;
  /// The version written; only when committed.
  std::uint64_t Version = 0;
};

/// A conditional write of one row.
struct RowWrite {
  store::RowKey Row;
  /// Zero: the row must be absent.
  std::uint64_t Expected = 0;
  std::string Value;
  std::function<void(RowWriteResult)> Done;
};

struct WriteBatcherOptions {
  /// How long the first write of a batch waits for others.
  core::Duration Gather = std::chrono::milliseconds(3);
  /// Rows of one transaction; 1 sends each write alone.
  std::size_t MostRows = 64;
  /// Transactions in flight at once.
  std::size_t MostFlying = 8;
  /// Writes that wait; more are not applied.
  std::size_t MostWaiting = 10000;
};

/// Puts independent writes of some milliseconds into one transaction. Only on
/// the control thread.
class WriteBatcher {
public:
  explicit WriteBatcher(const Context &C, WriteBatcherOptions Options = {});

  /// Writes one row; \p Write.Done comes on the control thread. One row's
  /// conflict does not fail the others of its batch.
  void submit(RowWrite Write);

  /// Writes one row, again and again until it is known to be written or its
  /// condition does not hold any more.
  void submitUntilDone(RowWrite Write);

  /// Writes whose outcome is open.
  std::size_t open() const { return Open_; }

private:
  using Batch = std::vector<RowWrite>;

  void arm();
  void flush();
  Batch takeBatch();
  void send(Batch Writes);
  void onCommitted(Batch Writes, const store::CommitResult &Result);
  void split(Batch Writes);
  void finish(const RowWrite &Write, RowWriteResult Result);

  Context Context_;
  WriteBatcherOptions Options_;
  std::deque<RowWrite> Waiting_;
  std::size_t Flying_ = 0;
  std::size_t Open_ = 0;
  std::uint64_t NextId_ = 1;
  bool Armed_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_WRITEBATCHER_H
