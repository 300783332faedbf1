#ifndef COMFREYDECK_JOBS_PROGRESSBATCH_H
#define COMFREYDECK_JOBS_PROGRESSBATCH_H

#include "jobs/Worker.h"

namespace comfreydeck::jobs {

/// One job's progress to be stored.
struct ProgressWrite {
  std::string JobId;
  JobProgress Progress;
};

/// Changes to store, and the mark to pass to \ref PoolState::onStored
/// afterwards.
struct ProgressBatch {
  std::uint64_t Mark = 0;
  std::vector<ProgressWrite> Writes;
  /// Workers to add to the pool's stored roster.
  std::vector<WorkerEntry> Enrolled;
  /// Workers to remove from the roster: they cannot run tasks of this pool any
  /// more.
  std::vector<std::string> Unenrolled;
  /// Orders of earlier owners can no longer take effect.
  bool Settled = false;

  bool isEmpty() const { return rowCount() == 0; }
  /// Number of rows, without further rows of large jobs.
  std::size_t rowCount() const {
    return Writes.size() + Enrolled.size() + Unenrolled.size() +
           (Settled ? 1 : 0);
  }
};

/// A row that the store refuses, to be tried again later.
struct SetAsideRow {
  enum class Kind : std::uint8_t { Progress, Enrolled, Unenrolled, Settled };
  Kind What = Kind::Progress;
  /// The job or worker; empty for Kind::Settled.
  std::string Id;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_PROGRESSBATCH_H
