#ifndef COMFREYDECK_DISPATCH_JOBRESTORER_H
#define COMFREYDECK_DISPATCH_JOBRESTORER_H

#include "dispatch/PoolEventLog.h"
#include "dispatch/ProgressRows.h"
#include "dispatch/UnappliedJobs.h"

#include <optional>

namespace comfreydeck::dispatch {

/// Adds jobs of one owned pool that an earlier owner may have known to its
/// state, with their stored progress, and records those whose rows can't be
/// applied. Does no I/O. Runs on the loop's thread; no call throws for a row
/// that can't be applied.
class JobRestorer {
public:
  JobRestorer(jobs::PoolState &State, const PoolEventLog &Log,
              UnappliedJobs &Unapplied);

  /// Decodes a row of the job table. If it can't be, the job is recorded as not
  /// applied.
  std::optional<jobs::JobSpec> decodeJobRow(const store::PartRow &Row);
  /// Adds a job that an earlier owner may have known, with its progress among
  /// \p Stored. If that can't be read, which of its tasks have run is not
  /// known: none of them starts until it can. Returns whether the job has its
  /// progress.
  bool restore(const jobs::JobSpec &Spec, const RowsByKey &Stored);
  /// Records that adding the job failed.
  void recordFailure(const std::string &JobId, const std::exception &Error);
  /// Records that the job is of another pool.
  void forget(const std::string &JobId);

private:
  void setUnapplied(const std::string &JobId, UnappliedReason Reason,
                    const std::exception &Error);

  jobs::PoolState &State_;
  const PoolEventLog &Log_;
  UnappliedJobs &Unapplied_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_JOBRESTORER_H
