#ifndef COMFREYDECK_DISPATCH_PROGRESSWRITER_H
#define COMFREYDECK_DISPATCH_PROGRESSWRITER_H

#include "dispatch/Context.h"
#include "dispatch/PoolEventLog.h"
#include "dispatch/PoolHost.h"
#include "dispatch/PoolMonitor.h"
#include "dispatch/WriteRepeats.h"

#include <deque>

namespace comfreydeck::dispatch {

/// Stores the changes of one owned pool, one batch after the other. Each write
/// has the owner row's and the chain row's versions as conditions, so that an
/// owner that was replaced stores nothing and no write applies twice. Repeats
/// writes without an answer, and sets aside rows that the store refuses. Runs
/// on the loop's thread.
class ProgressWriter {
public:
  /// \p Host is the pool's owner, of which this is a part. \p Lose is called
  /// with the reason when a write shows that the pool has another owner, and
  /// has to give the pool up.
  ProgressWriter(Context &Ctx, jobs::PoolState &State, const PoolEventLog &Log,
                 PoolMonitor &Monitor, PoolHost &Host,
                 std::function<void(const char *Why)> Lose);

  /// Call once, when the pool's rows are read. \p ChainVersion is the version
  /// of the chain row, zero if there is none. Nothing is stored before.
  void begin(std::uint64_t ChainVersion);
  /// Begins to store the changes of the state, unless a batch is being stored
  /// already: its end begins the next one.
  void flush();
  /// Stores the remaining changes without pauses, then calls \p Done once.
  /// Never calls it if the pool is given up before.
  void finish(std::function<void()> Done);

private:
  /// A batch, or a part of one, that is being stored.
  struct BatchWrite {
    jobs::ProgressBatch Batch;
    RepeatedWrite Attempts;
  };

  jobs::ProgressBatch takeBatch();
  void sendNextPart();
  store::PartTransaction transactionFor(const jobs::ProgressBatch &Batch) const;
  void sendBatch(const std::shared_ptr<BatchWrite> &Write);
  void repeatBatch(const std::shared_ptr<BatchWrite> &Write,
                   core::Duration Pause, bool BesideOpen);
  void onBatchAnswered(const std::shared_ptr<BatchWrite> &Write,
                       const store::PartAnswer &Answer, core::Duration Took);
  void onBatchSettled(const BatchWrite &Write, const store::PartAnswer &Answer);
  void onBatchRefused(const jobs::ProgressBatch &Batch,
                      const store::PartAnswer &Answer, bool Again);
  void setAside(const jobs::ProgressBatch &Row,
                const store::PartAnswer &Answer);

  Context &Ctx_;
  jobs::PoolState &State_;
  const PoolEventLog &Log_;
  PoolMonitor &Monitor_;
  PoolHost &Host_;
  std::function<void(const char *Why)> Lose_;
  std::function<void()> Finished_;
  /// Partition of the pool's rows.
  std::string Part_;
  std::uint64_t ChainVersion_ = 0;
  bool Begun_ = false;
  bool Finishing_ = false;
  bool Storing_ = false;
  /// Mark of the batch that is being stored.
  std::uint64_t BatchMark_ = 0;
  /// Parts of that batch that are still to be stored; an empty one writes only
  /// the chain row.
  std::deque<jobs::ProgressBatch> Parts_;
  AnswerPace StorePace_;
  /// The store has accepted a write of the chain row alone since it refused
  /// that batch.
  bool ChainAccepted_ = false;
  /// When a row that was set aside is to be tried again.
  core::TimePoint NextAsideTry_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_PROGRESSWRITER_H
