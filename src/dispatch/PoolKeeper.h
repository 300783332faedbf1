#ifndef COMFREYDECK_DISPATCH_POOLKEEPER_H
#define COMFREYDECK_DISPATCH_POOLKEEPER_H

#include "dispatch/FleetView.h"
#include "dispatch/PoolWatch.h"

#include <memory>

namespace comfreydeck::dispatch {

/// How a pool came to this entry.
struct PoolTaking {
  std::string Pool;
  /// Version of the owner's row.
  std::uint64_t Token = 0;
  /// When the transaction was sent.
  core::TimePoint At;
  /// Token of the owner before if it surely orders no more; zero: it may.
  std::uint64_t EndedOwner = 0;
};

/// Workers that are to get nothing new.
struct CloseRequest {
  /// Their tasks may end by themselves.
  std::vector<std::string> Patient;
  /// Their tasks are stopped.
  std::vector<std::string> Pressing;
  /// Their machines were taken away: nothing answers there any more.
  std::vector<std::string> Ended;
};

/// One pool that this entry owns: loads its jobs, carries out its decisions and
/// stores what has ended. On the loop's thread.
class PoolKeeper : public std::enable_shared_from_this<PoolKeeper> {
public:
  /// \p Jobs follows the table of jobs. \p Lost is called once if the pool is
  /// owned no more.
  PoolKeeper(Context &Ctx, FleetView &View, const Follower &Jobs,
             const PoolTaking &Taking,
             std::function<void(const std::string &)> Lost);

  /// Reads the pool's jobs, then takes up its work. \p Loaded gets the store's
  /// version from which on changes of jobs have to be followed.
  void load(std::function<void(std::uint64_t)> Loaded);

  /// The configuration, the workers or the closed data centres changed.
  void refresh();
  /// A row of the jobs' table changed.
  void takeJobRow(const store::PartRow &Row);
  void addJob(const jobs::JobSpec &Spec);
  void cancelJob(const std::string &Id);
  void setTeamRoom(std::map<std::string, core::Resources> Room);
  /// The workers get nothing new for a while; returns those that can be taken
  /// out.
  std::vector<std::string> closeWorkers(const CloseRequest &Request);

  /// Starts no more and stores what there is; then \p Done is called.
  void leave(std::function<void()> Done);
  /// Gives no more orders.
  void drop();

  const jobs::PoolState &state() const { return State_; }
  std::uint64_t token() const { return State_.token(); }
  bool isLoaded() const { return Loaded_; }
  /// Plans soon.
  void wake();

private:
  void logLoadFailure(const char *Table, const store::PartAnswer &Answer);
  void loadProgress(std::function<void(std::uint64_t)> Loaded,
                    std::vector<store::PartRow> JobRows, std::uint64_t Version);
  void takeUp(const std::vector<store::PartRow> &JobRows,
              const std::vector<store::PartRow> &ProgressRows);
  void takeRosterRow(const store::PartRow &Row, core::TimePoint Now);
  void checkVanished();
  void tick();
  void plan();
  void noteSettled(core::TimePoint Now);
  void send(jobs::Orders Orders);
  void flush();
  void sendBatch(std::shared_ptr<jobs::ProgressBatch> Batch, bool Again);
  void stored(const std::shared_ptr<jobs::ProgressBatch> &Batch,
              const store::PartAnswer &Answer, bool Again);
  void logEnded(const jobs::ProgressBatch &Batch, std::uint64_t RowVersion);
  void applyClosed();
  void lose(const char *Why);
  core::TimePoint authorityEnd() const;
  const jobs::WorkerEntry *entryOf(const std::string &Worker) const;

  Context &Ctx_;
  FleetView &View_;
  const Follower &Jobs_;
  jobs::PoolState State_;
  PoolWatch Watch_;
  core::TimePoint TakenAt_;
  std::uint64_t EndedOwner_;
  std::function<void(const std::string &)> Lost_;
  std::function<void()> Left_;
  std::string Part_;
  std::uint64_t Chain_ = 0;
  /// Changes of jobs that came while the jobs were read.
  std::vector<store::PartRow> Early_;
  /// A worker that gets nothing new.
  struct Closing {
    /// When it was last asked for.
    core::TimePoint At;
    bool Pressing = false;
  };
  std::map<std::string, Closing> Closed_;
  bool Loaded_ = false;
  bool SettledLogged_ = false;
  bool Leaving_ = false;
  bool Dropped_ = false;
  bool Storing_ = false;
  bool PlanQueued_ = false;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_POOLKEEPER_H
