#ifndef COMFREYDECK_DISPATCH_TABLEFOLLOWER_H
#define COMFREYDECK_DISPATCH_TABLEFOLLOWER_H

#include "net/Loop.h"
#include "store/PartitionedStore.h"

#include <map>
#include <memory>
#include <optional>

namespace comfreydeck::dispatch {

/// Reads all rows of the range, page by page; its own limit of rows is ignored.
/// Otherwise as \ref readPartsPatiently.
void readRange(net::Loop &Loop, store::PartitionedStore &Store,
               const store::PartRange &Range, store::PartCallback Done);

/// Reads all rows of the given partitions of a table, page by page. \p Done
/// gets all rows and the oldest store version of the pages, or the first
/// failure. May be called from any thread.
void readParts(store::PartitionedStore &Store, std::string Table,
               std::vector<std::string> Parts, store::PartCallback Done);

/// As \ref readParts, but goes on from a page that failed: requests it again
/// after a pause and keeps those read before. Fails once a page failed 8 times
/// in a row, which takes some 13 s if the store doesn't answer, or at once if
/// the store refuses it for good. \p Loop must outlive the read, and be running
/// until \p Done is called.
void readPartsPatiently(net::Loop &Loop, store::PartitionedStore &Store,
                        std::string Table, std::vector<std::string> Parts,
                        store::PartCallback Done);

struct TableFollowerOptions {
  std::string Table;
  /// How long the store may delay an answer while nothing changes (long poll).
  core::Duration Wait{0};
  /// Pause between two reads.
  core::Duration Pause{0};
  /// Partitions to read in full, at the start and when the change history is
  /// gone; if not set, the empty partition.
  std::function<std::vector<std::string>()> Parts;
};

/// Receives the rows of a table. Called on the loop's thread.
struct RowHandlers {
  /// Called before the rows of an answer; \p All is set for a full read, whose
  /// rows replace all earlier ones. May be null.
  std::function<void(bool All)> Begin;
  /// Applies one row. A row for which this throws is passed again later, until
  /// it is applied or a newer version of it is read; so this must not throw for
  /// a row that can't be decoded.
  std::function<void(const store::PartRow &)> Apply;
  /// Called after the rows of an answer, and after rows that were passed again;
  /// called again later if it throws. May be null.
  std::function<void(bool All)> End;
};

/// Follows a table: reads all rows once, then only changes. Runs on the loop's
/// thread.
class TableFollower {
public:
  /// The referenced objects must outlive this and the loop's work.
  TableFollower(net::Loop &Loop, store::PartitionedStore &Store,
                TableFollowerOptions Options, RowHandlers Handlers);

  /// Starts with a full read. Call once.
  void start();
  /// Starts with the changes after \p Version, without a full read. Call once.
  void startFrom(std::uint64_t Version);
  /// Sets the pause between reads; cuts the current pause short if the new one
  /// is shorter.
  void setPause(core::Duration Pause);
  /// Calls \p Done once a read sent after this call is answered. Reads follow
  /// without a pause until then.
  void whenCurrent(std::function<void()> Done);
  /// Makes the next read a full one.
  void resync() { Synced_ = false; }

  bool isStarted() const { return Started_; }
  /// Send time of the last answered read; only valid after the first one.
  core::TimePoint currentAt() const { return CurrentAt_; }
  bool isSynced() const { return Synced_; }
  /// Failed reads since the last successful one.
  std::uint32_t failures() const { return Failures_; }

private:
  void sendRead();
  void readAll(core::TimePoint SentAt);
  void readChanges(core::TimePoint SentAt);
  void handleAnswer(const store::PartAnswer &Answer, bool All,
                    core::TimePoint SentAt);
  void passRows(const std::vector<store::PartRow> &Rows, bool All);
  void passRow(const store::PartRow &Row);
  bool applyRow(const store::PartRow &Row);
  void keepUnapplied(const store::PartRow &Row);
  void endRows(bool All);
  void scheduleRowRetry();
  std::optional<core::TimePoint> nextRowRetry() const;
  void retryRows();
  std::size_t retryUnapplied(core::TimePoint Now);
  void scheduleRead(core::Duration Pause);
  void endPause();
  void notifyWaiters();

  net::Loop &Loop_;
  store::PartitionedStore &Store_;
  TableFollowerOptions Options_;
  RowHandlers Handlers_;
  bool Started_ = false;
  bool Synced_ = false;
  std::uint64_t Version_ = 0;
  std::uint32_t Failures_ = 0;
  core::TimePoint CurrentAt_;
  /// A callback that waits for a read sent at or after \p Since.
  struct Waiter {
    core::TimePoint Since;
    std::function<void()> Done;
  };
  std::vector<Waiter> Waiters_;
  /// Identifies the current pause, so that the timer of one that was cut short
  /// is ignored.
  std::uint64_t PauseNumber_ = 0;
  bool Pausing_ = false;
  /// When something that failed is tried again.
  struct Retry {
    core::TimePoint At;
    /// Time from the last try to \ref At; zero before the first failure.
    core::Duration Pause{0};
  };
  static void recordFailure(Retry &Next, core::Duration MaxPause);
  struct UnappliedRow {
    store::PartRow Row;
    Retry Next;
    /// Found in the full read whose rows are being passed.
    bool Found = false;
  };
  /// Rows whose handling failed, in their latest version.
  std::map<store::PartKey, UnappliedRow> Unapplied_;
  /// More rows failed than are kept, so that only a full read has them all.
  bool UnappliedDropped_ = false;
  Retry NextFullRead_;
  /// Whether RowHandlers::End is to be called again, and for a full read.
  bool EndFailed_ = false;
  bool EndFailedForAll_ = false;
  Retry NextEnd_;
  /// When \ref retryRows is called next, if it is.
  std::optional<core::TimePoint> RowRetryAt_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_TABLEFOLLOWER_H
