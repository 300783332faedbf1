#ifndef COMFREYDECK_ENTRY_WRITEBATCHER_H
#define COMFREYDECK_ENTRY_WRITEBATCHER_H

#include "entry/Context.h"

#include <deque>

namespace comfreydeck::entry {

struct RowWriteResult {
  store::CommitOutcome Outcome = store::CommitOutcome::NotApplied;
  /// The row's new version; zero unless committed.
  std::uint64_t Version = 0;
};

/// A conditional write of one row.
struct RowWrite {
  store::RowKey Row;
  /// Version that the row must have; zero if it must not exist.
  std::uint64_t Expected = 0;
  std::string Value;
  std::function<void(RowWriteResult)> Done;
};

struct WriteBatcherOptions {
  /// How long the first write of a batch waits for further writes.
  core::Duration BatchDelay = std::chrono::milliseconds(3);
  /// Maximum number of rows per transaction; 1 disables batching.
  std::size_t MaxRows = 64;
  /// Maximum number of transactions in flight.
  std::size_t MaxInFlight = 8;
  /// Maximum number of queued writes; further writes end as NotApplied.
  std::size_t MaxQueued = 10000;
};

/// Combines independent writes that arrive within a few milliseconds into one
/// transaction. Must be used on the control thread.
class WriteBatcher {
public:
  explicit WriteBatcher(const Context &C, WriteBatcherOptions Options = {});

  /// Writes one row; \p Write.Done is called on the control thread. A conflict
  /// on one row does not fail the other rows of its batch.
  void submit(RowWrite Write);

  /// Writes one row, and retries until it is known to be written or its
  /// condition no longer holds.
  void submitUntilDone(RowWrite Write);

  /// Number of writes that are not completed yet.
  std::size_t pending() const { return Pending_; }

private:
  using Batch = std::vector<RowWrite>;

  void scheduleFlush();
  void flush();
  Batch takeBatch();
  void send(Batch Writes);
  void onCommitted(Batch Writes, const store::CommitResult &Result);
  void split(Batch Writes);
  void finish(const RowWrite &Write, RowWriteResult Result);

  Context Context_;
  WriteBatcherOptions Options_;
  std::deque<RowWrite> Queue_;
  std::size_t InFlight_ = 0;
  std::size_t Pending_ = 0;
  std::uint64_t NextId_ = 1;
  bool IsFlushScheduled_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_WRITEBATCHER_H
