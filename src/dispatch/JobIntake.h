#ifndef COMFREYDECK_DISPATCH_JOBINTAKE_H
#define COMFREYDECK_DISPATCH_JOBINTAKE_H

#include "dispatch/Context.h"
#include "dispatch/JobRestorer.h"
#include "dispatch/PoolHost.h"

#include <map>

namespace comfreydeck::dispatch {

/// Adds jobs to the state of one owned pool as they become known, and cancels
/// them. A job that this owner may have finished and forgotten is added with
/// its stored progress, once that is read. Runs on the loop's thread.
class JobIntake {
public:
  /// \p Host is the pool's owner, of which this is a part.
  JobIntake(Context &Ctx, jobs::PoolState &State, const PoolEventLog &Log,
            UnappliedJobs &Unapplied, JobRestorer &Restorer, PoolHost &Host);

  /// Call once, when the pool's jobs are restored from \p JobRows. Applies the
  /// cancellations among them, then the rows that were passed before.
  void begin(std::span<const store::PartRow> JobRows);
  /// Applies a changed row of the job table. A row that can't be decoded is
  /// logged.
  void applyJobRow(const store::PartRow &Row);
  /// Adds a job of this pool, unless it is known.
  void addJob(const jobs::JobSpec &Spec);
  void cancelJob(const std::string &Id);

private:
  void lookUp(const jobs::JobSpec &Spec);
  void readLookedUp();
  void onLookedUpRead(const std::vector<std::string> &Ids,
                      const store::PartAnswer &Answer);

  /// A job that may be one that this owner has forgotten.
  struct LookUp {
    jobs::JobSpec Spec;
    bool Cancelled = false;
  };

  Context &Ctx_;
  jobs::PoolState &State_;
  const PoolEventLog &Log_;
  UnappliedJobs &Unapplied_;
  JobRestorer &Restorer_;
  PoolHost &Host_;
  bool Begun_ = false;
  /// Changed job rows that arrived before the pool was loaded.
  std::vector<store::PartRow> EarlyRows_;
  /// Jobs whose stored progress is being read, by id.
  std::map<std::string, LookUp> LookUps_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_JOBINTAKE_H
