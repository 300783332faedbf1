#ifndef COMFREYDECK_DISPATCH_FOLLOWER_H
#define COMFREYDECK_DISPATCH_FOLLOWER_H

#include "net/Loop.h"
#include "store/PartitionedStore.h"

#include <memory>

namespace comfreydeck::dispatch {

/// Reads all rows of some parts of a table, page by page. \p Done gets every
/// row and the store's version at the first page, or the first failure. May be
/// called from any thread.
void readParts(store::PartitionedStore &Store, std::string Table,
               std::vector<std::string> Parts, store::PartCallback Done);

struct FollowerOptions {
  std::string Table;
  /// How long the store holds an answer back while nothing changes.
  core::Duration Wait{0};
  /// Pause between two readings.
  core::Duration Pause{0};
  /// Parts to read when the history is gone; none: the empty part.
  std::function<std::vector<std::string>()> Parts;
};

/// Follows a table: first all rows, then what changes. Runs on the loop's
/// thread.
class Follower {
public:
  /// \p Rows gets the rows, and whether they are all there are.
  using RowsCallback =
      std::function<void(const std::vector<store::PartRow> &, bool All)>;

  /// The referents must outlive this and the loop's work.
  Follower(net::Loop &Loop, store::PartitionedStore &Store,
           FollowerOptions Options, RowsCallback Rows);

  /// Reads all rows first. Call once.
  void start();
  /// Follows from that version on; all rows are known. Call once.
  void startAt(std::uint64_t Version);
  /// A pause that has begun is cut short where the new one is shorter.
  void setPause(core::Duration Pause);
  /// Calls \p Done once a reading is answered that was sent from now on. Such
  /// readings follow without a pause while somebody waits.
  void whenCurrent(std::function<void()> Done);
  /// Reads all rows anew at the next turn.
  void resync() { Synced_ = false; }

  bool isStarted() const { return Started_; }
  /// When the last reading that was answered had been sent; only valid after
  /// the first.
  core::TimePoint currentAt() const { return CurrentAt_; }
  bool isSynced() const { return Synced_; }
  /// Readings that failed since the last good one.
  std::uint32_t failures() const { return Failures_; }

private:
  void turn();
  void readAll(core::TimePoint SentAt);
  void readChanges(core::TimePoint SentAt);
  void take(const store::PartAnswer &Answer, bool All, core::TimePoint SentAt);
  void next(core::Duration Pause);
  void hurry();
  void tellWaiting();

  net::Loop &Loop_;
  store::PartitionedStore &Store_;
  FollowerOptions Options_;
  RowsCallback Rows_;
  bool Started_ = false;
  bool Synced_ = false;
  std::uint64_t Version_ = 0;
  std::uint32_t Failures_ = 0;
  core::TimePoint CurrentAt_;
  /// Who waits for a reading that was sent from that moment on.
  struct Waiting {
    core::TimePoint Since;
    std::function<void()> Done;
  };
  std::vector<Waiting> Waiting_;
  /// Tells a pause that was cut short from the one that counts.
  std::uint64_t PauseNumber_ = 0;
  bool Pausing_ = false;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_FOLLOWER_H
