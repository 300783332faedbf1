#ifndef COMFREYDECK_DISPATCH_POOLLOADER_H
#define COMFREYDECK_DISPATCH_POOLLOADER_H

#include "dispatch/Context.h"
#include "dispatch/JobRestorer.h"
#include "dispatch/JobTableReader.h"
#include "dispatch/PoolEventLog.h"
#include "dispatch/PoolHost.h"

#include <optional>

namespace comfreydeck::dispatch {

/// What the rows of a pool say beside its jobs and workers.
struct LoadedRows {
  /// Version of the chain row; zero if there is none.
  std::uint64_t ChainVersion = 0;
  /// Token of the last owner that earlier owners can't interfere with; empty if
  /// that is not known.
  std::optional<std::uint64_t> SettledToken;
  /// Rows of the job table, also of other pools. Valid during the call only.
  std::span<const store::PartRow> Jobs;
};

/// Restores the state of a pool that was taken over from the stored rows: its
/// jobs, their progress and the workers that may have orders. Runs on the
/// loop's thread.
class PoolLoader {
public:
  /// \p Host is the pool's owner, of which this is a part. \p Table reads the
  /// job table.
  PoolLoader(Context &Ctx, jobs::PoolState &State, const PoolEventLog &Log,
             JobRestorer &Restorer, PoolHost &Host, JobTableReader &Table);

  /// Reads the rows and restores the state. Call once. A failed read is logged
  /// and repeated until the pool is given up; a row that can't be decoded is
  /// logged, and its job recorded as not applied. \p TableRead is called once
  /// the job table is read, with the store version from which its changes must
  /// be followed; \p Loaded once the state is restored.
  void load(std::function<void(std::uint64_t)> TableRead,
            std::function<void(const LoadedRows &)> Loaded);

private:
  void readJobs();
  void readProgress(std::shared_ptr<const store::PartAnswer> JobTable);
  void onProgressRead(const std::shared_ptr<const store::PartAnswer> &JobTable,
                      const store::PartAnswer &Answer);
  void restore(std::span<const store::PartRow> JobRows,
               std::span<const store::PartRow> ProgressRows);
  std::optional<std::uint64_t> readSettled(const store::PartRow &Row) const;
  void addEnrolled(const store::PartRow &Row, core::TimePoint Now);

  Context &Ctx_;
  jobs::PoolState &State_;
  const PoolEventLog &Log_;
  JobRestorer &Restorer_;
  PoolHost &Host_;
  JobTableReader &Table_;
  std::function<void(std::uint64_t)> TableRead_;
  std::function<void(const LoadedRows &)> Loaded_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_POOLLOADER_H
