#ifndef COMFREYDECK_DISPATCH_POOLCONTROLLER_H
#define COMFREYDECK_DISPATCH_POOLCONTROLLER_H

#include "dispatch/EarlierOwners.h"
#include "dispatch/FleetView.h"
#include "dispatch/JobIntake.h"
#include "dispatch/OrderSender.h"
#include "dispatch/PayloadLoader.h"
#include "dispatch/PoolLoader.h"
#include "dispatch/PoolMonitor.h"
#include "dispatch/ProgressWriter.h"
#include "dispatch/UnappliedReader.h"
#include "dispatch/UnlistedWorkers.h"
#include "jobs/OwnerPace.h"

#include <memory>

namespace comfreydeck::dispatch {

/// How this entry took over a pool.
struct PoolTakeover {
  std::string Pool;
  /// Version of the owner row.
  std::uint64_t Token = 0;
  /// Send time of the transaction.
  core::TimePoint At;
  /// Owners before this one.
  jobs::OwnerHistory Earlier = {};
  /// The row named an earlier process of this entry as the owner.
  bool Reclaimed = false;
};

/// Workers that must not get new tasks.
struct CloseRequest {
  /// Workers whose tasks may run to their end.
  std::vector<std::string> Drain;
  /// Workers whose tasks are stopped.
  std::vector<std::string> Evict;
  /// Workers whose machines were taken away. Names their incarnations: the
  /// request may arrive once the next ones are up under their ids.
  std::vector<jobs::WorkerIncarnation> Ended;
  /// Workers that are closed only if they are empty.
  std::vector<std::string> Release;
  /// Closed or released workers whose machines are not taken away.
  std::vector<std::string> TakeBack;
  /// Of the fleet's owner, which asks.
  jobs::ReleaseRequest By;
};

/// What became of a \ref CloseRequest.
struct ClosedWorkers {
  /// Workers that can be taken out of service.
  std::vector<std::string> Clear;
  /// Workers that can be once the store knows.
  std::vector<std::string> Releasing;
};

/// One pool that this entry owns: loads its jobs, sends the planned orders to
/// workers and stores progress. Runs on the loop's thread.
class PoolController : public std::enable_shared_from_this<PoolController>,
                       private PoolHost {
public:
  /// \p Jobs follows the job table, \p Table reads it. \p Query asks earlier
  /// owners to stop. \p Lost is called once when ownership of the pool is lost.
  PoolController(Context &Ctx, FleetView &View, const TableFollower &Jobs,
                 JobTableReader &Table, const PoolTakeover &Takeover,
                 StopQuery Query,
                 std::function<void(const std::string &)> Lost);

  /// Reads the pool's jobs and progress, then starts planning. \p TableRead is
  /// called once the jobs are read, with the store version from which their
  /// changes must be followed.
  void load(std::function<void(std::uint64_t)> TableRead);

  /// Call when the configuration, the workers or the closed data centres
  /// changed.
  void refresh();
  /// Applies a changed row of the job table.
  void applyJobRow(const store::PartRow &Row);
  void addJob(const jobs::JobSpec &Spec);
  void cancelJob(const std::string &Id);
  void setTeamRoom(std::map<std::string, core::Resources> Room);
  /// Closes the workers for a limited time, and releases those that are empty,
  /// so that they can be taken out of service.
  ClosedWorkers closeWorkers(const CloseRequest &Request);

  /// Stops starting tasks, stores the remaining progress, then calls \p Done.
  void shutDown(std::function<void()> Done);
  /// Stops giving orders.
  void drop();

  const jobs::PoolState &state() const { return State_; }
  /// Jobs that are known and not in the state, or without their progress.
  const UnappliedJobs &unapplied() const { return Unapplied_; }
  std::uint64_t token() const { return State_.token(); }
  bool isLoaded() const { return Loaded_; }
  /// Schedules a planning pass, soon if the last passes were short.
  void schedulePlan() override;

private:
  std::shared_ptr<const void> keep() override { return shared_from_this(); }
  bool isDropped() const override { return Dropped_; }
  void onLoaded(const LoadedRows &Rows);
  void stopEarlierOwners();
  void tick();
  void plan();
  void noteSettled(core::TimePoint Now);
  void applyClosed();
  void loseOwnership(const char *Why);
  core::TimePoint authorityEnd() const;

  Context &Ctx_;
  FleetView &View_;
  const TableFollower &Jobs_;
  jobs::PoolState State_;
  PoolEventLog Log_;
  UnappliedJobs Unapplied_;
  JobRestorer Restorer_;
  PoolLoader Loader_;
  JobIntake Intake_;
  UnappliedReader Rereader_;
  PayloadLoader Payloads_;
  UnlistedWorkers Unlisted_;
  OrderSender Sender_;
  PoolMonitor Monitor_;
  ProgressWriter Writer_;
  core::TimePoint TakenAt_;
  jobs::OwnerHistory Earlier_;
  StopQuery StopQuery_;
  std::shared_ptr<EarlierOwners> EarlierOwners_;
  std::function<void(const std::string &)> Lost_;
  /// A worker that must not get new tasks.
  struct CloseState {
    /// When the closing was last requested.
    core::TimePoint At;
    bool Evict = false;
    jobs::ReleaseRequest By;
  };
  std::map<std::string, CloseState> ClosedWorkers_;
  bool Loaded_ = false;
  bool SettledLogged_ = false;
  bool Leaving_ = false;
  bool Dropped_ = false;
  bool PlanQueued_ = false;
  core::TimePoint NextPlanAt_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_POOLCONTROLLER_H
