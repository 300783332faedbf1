#ifndef COMFREYDECK_DISPATCH_UNAPPLIEDREADER_H
#define COMFREYDECK_DISPATCH_UNAPPLIEDREADER_H

#include "dispatch/Context.h"
#include "dispatch/JobRestorer.h"
#include "dispatch/PoolHost.h"

namespace comfreydeck::dispatch {

/// Reads the rows again of jobs of one owned pool that could not be applied, a
/// few at a time. Runs on the loop's thread.
class UnappliedReader {
public:
  /// \p Host is the pool's owner, of which this is a part.
  UnappliedReader(Context &Ctx, const jobs::PoolState &State,
                  const PoolEventLog &Log, UnappliedJobs &Unapplied,
                  JobRestorer &Restorer, PoolHost &Host);

  /// Call in each tick. Begins to read the rows of jobs that are due. A job
  /// whose rows can't be read is tried again after a pause.
  void readDue(core::TimePoint Now);

private:
  void readJobRow(const std::string &JobId);
  void onJobRowRead(const std::string &JobId, const store::PartAnswer &Answer);
  void readProgress(const jobs::JobSpec &Spec);
  void onProgressRead(const jobs::JobSpec &Spec,
                      const store::PartAnswer &Answer);

  Context &Ctx_;
  const jobs::PoolState &State_;
  const PoolEventLog &Log_;
  UnappliedJobs &Unapplied_;
  JobRestorer &Restorer_;
  PoolHost &Host_;
  core::TimePoint NextReadAt_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_UNAPPLIEDREADER_H
