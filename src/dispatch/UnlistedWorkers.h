#ifndef COMFREYDECK_DISPATCH_UNLISTEDWORKERS_H
#define COMFREYDECK_DISPATCH_UNLISTEDWORKERS_H

#include "dispatch/Context.h"
#include "dispatch/PoolEventLog.h"
#include "dispatch/PoolHost.h"

namespace comfreydeck::dispatch {

/// Finds out from the list of machines which workers of one owned pool have
/// ended: those that are no longer listed and have not reported to this owner,
/// most of which were moved to another pool, and those that may have crashed.
/// Without it, inherited tasks wait for them until any lease has lapsed. Runs
/// on the loop's thread.
class UnlistedWorkers {
public:
  /// \p Host is the pool's owner, of which this is a part.
  UnlistedWorkers(Context &Ctx, jobs::PoolState &State, const PoolEventLog &Log,
                  PoolHost &Host);

  /// Call when workers were added or left the list. Begins to read the list of
  /// machines again and again until no such worker is left, unless that has
  /// begun or there is no such list. A failed read is counted and repeated.
  void check();

private:
  bool mayHaveEnded(const jobs::WorkerIncarnation &Which) const;
  void readMachines(const std::vector<jobs::WorkerIncarnation> &Open,
                    bool Again);
  void onMachinesRead(const std::vector<jobs::WorkerIncarnation> &Open,
                      const MachineList &List, bool Again);

  Context &Ctx_;
  jobs::PoolState &State_;
  const PoolEventLog &Log_;
  PoolHost &Host_;
  /// A check is running or scheduled.
  bool Checking_ = false;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_UNLISTEDWORKERS_H
