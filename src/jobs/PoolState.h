#ifndef COMFREYDECK_JOBS_POOLSTATE_H
#define COMFREYDECK_JOBS_POOLSTATE_H

#include "jobs/Estimates.h"
#include "jobs/FleetConfig.h"
#include "jobs/Orders.h"
#include "jobs/OwnerLimits.h"
#include "jobs/PoolEvents.h"
#include "jobs/PoolSizes.h"
#include "jobs/ProgressOutbox.h"

#include <map>
#include <span>
#include <utility>

namespace comfreydeck::jobs {

/// State and decisions of one pool's owner. Performs no I/O: callers pass in
/// events and carry out the orders that \ref plan returns. Not thread-safe.
class PoolState {
public:
  /// \p Token is the fencing token, higher than those of earlier owners;
  /// \p TakenAt is the time of the takeover.
  PoolState(std::string Pool, std::uint64_t Token, core::TimePoint TakenAt,
            OwnerLimits Limits);
  PoolState(const PoolState &) = delete;
  PoolState &operator=(const PoolState &) = delete;

  /// Adds a newly accepted job; does nothing if it is known, except that a
  /// missing payload is set.
  void addJob(const JobSpec &Spec, core::TimePoint Now);
  /// Adds a job that earlier owners knew; does nothing if it is known. \p Kept
  /// is its stored progress, null if there is none.
  void inheritJob(const JobSpec &Spec, const JobProgress *Kept,
                  core::TimePoint Now);
  /// Adds a job that earlier owners knew and whose stored progress can't be
  /// read; does nothing if it is known. \p Stored is its stored state, if at
  /// least that is known; without it the job counts among those that have not
  /// started. Until \ref restoreJob, no task of it starts, its ends are not
  /// acknowledged and nothing of it is stored.
  void holdJob(const JobSpec &Spec, std::optional<JobState> Stored,
               core::TimePoint Now);
  /// Gives a job that \ref holdJob has added its stored progress.
  void restoreJob(const std::string &Id, const JobProgress &Kept,
                  core::TimePoint Now);
  /// Records that the job exists and can't be added yet: its ends are not
  /// acknowledged until it is.
  void awaitJob(const std::string &Id) {
    if (Jobs_.count(Id) == 0)
      Awaited_.try_emplace(Id, false);
  }
  /// Records that no such job will be added here.
  void forgetAwaited(const std::string &Id) { Awaited_.erase(Id); }
  /// Cancels the job. One that can't be added yet has its runs stopped; call
  /// again once it is added.
  void cancelJob(const std::string &Id);
  /// Open jobs that can't start before their payload is set.
  std::vector<std::string> jobsWithoutPayload() const;
  void setPayload(const std::string &Id, std::string Payload);
  /// Removes finished jobs that were accepted before \p AcceptedBeforeMs,
  /// unless they have runs or changes left to store.
  void dropFinished(std::int64_t AcceptedBeforeMs);
  /// Whether the job may be one that \ref dropFinished has removed. Only its
  /// stored progress tells such a job from a new one.
  bool mayHaveDropped(const JobSpec &Spec) const;

  /// Sets the workers that are listed for this pool.
  void setWorkers(std::span<const WorkerEntry> Entries, core::TimePoint Now);
  /// Adds a worker of the stored roster. It may have runs started by an earlier
  /// owner even if it is not listed. Must be called before \ref setWorkers.
  void addEnrolled(const WorkerEntry &Entry, core::TimePoint Now);
  /// Records that no earlier owner has issued an order after \p At, so that
  /// only leases granted until then are still valid.
  void setEarlierOwnersStopped(core::TimePoint At);
  /// Records that a worker has ended together with its runs. If it is still
  /// listed and has not reported, it gets nothing until a new incarnation
  /// appears; one that has reported is left as it is.
  void confirmEnded(const std::string &Id);
  void setConfig(std::shared_ptr<const FleetConfig> Config);
  /// Sets the data centres whose workers get no new runs.
  void setClosedDataCentres(std::set<std::string> Names);
  /// Records that the machine of a listed worker's incarnation was removed. Its
  /// entry disappears later; the worker gets nothing until a new incarnation
  /// appears. Returns false, and changes nothing, if the worker's present
  /// incarnation is another one.
  bool endIncarnation(const WorkerIncarnation &Which);
  /// Sets the workers that are closed for maintenance: no new runs, and lasting
  /// tasks move away as their steps allow.
  void setClosedWorkers(const std::set<std::string> &Ids);
  /// Sets the workers among the closed ones whose tasks that are not lasting
  /// are stopped too.
  void setEvictingWorkers(const std::set<std::string> &Ids);
  /// Whether runs were on the worker when it went silent that may have crashed
  /// it.
  bool mayHaveCrashed(const std::string &Id) const {
    return Lost_.hasRunsOf(Id);
  }
  /// Whether the worker has no runs and all its reported ends are stored, so
  /// that its machine can be removed.
  bool isDrained(const std::string &Id) const;
  /// Lets the worker's machine be taken away, if the worker has no runs. It
  /// gets none until \ref takeBackWorker, or until an order for its machine
  /// that was given at \p Now can no longer arrive. Call again until that is
  /// stored.
  ReleaseState releaseWorker(const std::string &Id,
                             const ReleaseRequest &Request,
                             core::TimePoint Now);
  /// Lets a released worker get runs again, as this owner of the fleet gave no
  /// order for its machine, or that was refused. Does nothing if it has asked
  /// for the release again since, or another one may have given an order.
  void takeBackWorker(const std::string &Id, const ReleaseRequest &Request);
  /// Sets the maximum resources each team may use in this pool; teams without
  /// an entry are unlimited.
  void setTeamRoom(std::map<std::string, core::Resources> Room);

  /// Records when the order was sent; nothing if it waits to be sent and can't
  /// be overdue. As long as nothing is recorded, it counts as sent when it was
  /// planned.
  void onSending(const StartOrder &Order, std::optional<core::TimePoint> At);
  void onSending(const HoldOrder &Order, std::optional<core::TimePoint> At);
  void onStart(const StartOrder &Order, const OrderResult &Result,
               core::TimePoint Now);
  void onStop(const StopOrder &Order, const OrderResult &Result,
              core::TimePoint Now);
  /// \p SentAt is when the order was sent.
  void onReport(const HoldOrder &Order, const ReportResult &Result,
                core::TimePoint SentAt, core::TimePoint Now);

  /// Returns up to \p MaxRows changed rows to store next.
  ProgressBatch
  takeChanges(std::size_t MaxRows,
              std::size_t MaxTasks = std::numeric_limits<std::size_t>::max()) {
    return Outbox_.take(MaxRows, MaxTasks);
  }
  /// Confirms that all batches up to \p Mark are stored, apart from rows that
  /// were set aside.
  void onStored(std::uint64_t Mark) { Outbox_.onStored(Mark); }
  /// Records that the store refuses these rows of the batch that was last
  /// taken. Call it before \ref onStored confirms the others. Until its row is
  /// stored, a job's ends are not acknowledged, its suspect tasks don't start
  /// and a worker counts as not enrolled.
  void setAside(const ProgressBatch &Refused) { Outbox_.setAside(Refused); }
  bool hasSetAside() const { return Outbox_.hasSetAside(); }
  /// Returns the row that was set aside longest ago, as it is now, to be stored
  /// next; an empty batch if there is none. As for \ref takeChanges, the batch
  /// before must be confirmed.
  ProgressBatch takeSetAside() { return Outbox_.takeSetAside(); }

  /// Runs one planning round and returns the orders to send.
  Orders plan(const PlanInput &In);

  const JobRecord *findJob(const std::string &Id) const;
  /// The state to show to clients.
  static JobState shownState(const JobRecord &Job);
  /// Number of open jobs of the queue without a started task.
  std::uint32_t pending(const std::string &Queue) const;
  /// Queues of open jobs without a started task that \p Config doesn't send to
  /// this pool.
  std::set<std::string> strayQueues(const FleetConfig &Config) const;
  /// Resources reserved by the team's runs in this pool.
  core::Resources teamUse(const std::string &Team) const;
  /// Additional resources that the team's waiting tasks need. A gang counts as
  /// a whole, or not at all if the workers can't hold it beside the team's
  /// runs. \p WallMs is the time of day, in Unix milliseconds.
  core::Resources teamDemand(const std::string &Team,
                             std::int64_t WallMs) const;
  /// The part of that demand for which there is room: beside all runs, or, as
  /// room is kept for lasting tasks and gangs, beside those that don't end by
  /// themselves.
  core::Resources teamStartable(const std::string &Team,
                                std::int64_t WallMs) const;
  /// What the tasks for which there is such room need of the team's limit to
  /// start: each alone, a gang as a whole. Equal ones may be left out.
  std::vector<core::Resources> teamUnits(const std::string &Team,
                                         std::int64_t WallMs) const;

  /// The pool's demand; PoolLoad::Machines is left for the caller to set.
  PoolLoad load(core::TimePoint Now, std::int64_t WallMs) const;

  std::uint64_t token() const { return Token_; }
  const std::string &pool() const { return Pool_; }
  /// Returns and resets the counters.
  PoolCounters takeCounters() { return std::exchange(Counters_, {}); }
  /// Returns and forgets what has happened since the last call.
  PoolEvents takeEvents() { return std::exchange(Events_, {}); }
  /// Number of runs of the task, or of its gang, under which a worker crashed.
  static std::size_t countCrashes(const JobRecord &Job, std::uint32_t Task);
  /// The waits are those that a planning round would leave now, with the
  /// authority of the latest one.
  PoolGauges gauges(core::TimePoint Now, std::int64_t WallMs);
  /// Whether this owner has been superseded: a worker has seen a higher fencing
  /// token, or the run ids or a worker's fences are used up.
  bool isFenced() const { return Fenced_; }
  /// Whether it is fenced since a worker's fences are used up.
  bool isFenceUsedUp() const { return FenceUsedUp_; }
  const WorkerTable &workers() const { return Workers_; }
  const JobTable &jobs() const { return Jobs_; }
  /// Whether every worker that may have runs has reported, or was asked in time
  /// and its leases have expired.
  bool allHeard(core::TimePoint Now) const;
  /// Whether the worker has not reported since the takeover, and is no longer
  /// listed or can't be reached: it may have ended.
  static bool mayHaveEnded(const WorkerState &W) {
    return !W.Heard && !W.Ended && (W.Gone || W.FailedReports > 0);
  }
  /// Whether tasks that earlier owners may have started may start. A worker
  /// that joins a settled owner's pool has no runs of earlier owners: these
  /// enrol each worker first, which fails after the takeover.
  bool mayStartInherited(core::TimePoint Now) const {
    return Settled_ || allHeard(Now);
  }
  /// Whether a planning round has found \ref allHeard to be true, so that
  /// inherited tasks may start.
  bool isSettled() const { return Settled_; }
  /// As jobs::runTimeMs.
  static double runTimeMs(const JobRecord &Job, const StepSpec &Step) {
    return jobs::runTimeMs(Job, Step);
  }

private:
  friend class LastingDemand;
  friend class StartPlan;
  friend class StragglerPlan;

  JobRecord *jobOf(const std::string &Id);
  JobRecord &makeJob(const JobSpec &Spec, core::TimePoint Now);
  void applyEarlyReports(const JobRecord &Job, core::TimePoint Now);
  void applyKept(JobRecord &Job, const JobProgress &Kept, core::TimePoint Now);
  bool isAwaited(const std::string &Id) const;
  bool isCancelledAwaited(const std::string &Id) const;
  void planUnknownStops(WorkerState &W, core::TimePoint Now, Orders &Out);
  bool hasAwaitedEnds(const WorkerState &W) const;
  void openJob(JobRecord &Job);
  void closeJob(JobRecord &Job);
  void applyQueueSettings(JobRecord &Job) const;
  static TaskPlace placeOf(const JobRecord &Job, std::uint32_t Task);
  static const StepSpec &stepOf(const JobRecord &Job, std::uint32_t Task);
  std::uint32_t indexOf(const JobRecord &Job, const TaskRef &Ref) const;
  static TaskRef refOf(const JobRecord &Job, std::uint32_t Task);
  static bool stepReady(const JobRecord &Job, const TaskPlace &Place);
  /// Recomputes the job's waiting tasks if they are out of date.
  static void refreshWaiting(JobRecord &Job);
  LiveRun *findRun(JobRecord &Job, std::uint32_t Task, RunId Run);

  void addRun(JobRecord &Job, std::uint32_t Task, LiveRun Run);
  static void markStarted(JobRecord &Job);
  void markBegun(JobRecord &Job, std::uint32_t Task, RunId Run);
  void confirmRun(LiveRun &Run, core::TimePoint Now);
  void removeRun(JobRecord &Job, std::uint32_t Task, RunId Run);
  /// Takes the worker's room for a task of the step, without its team's use.
  static void occupy(WorkerState &W, const StepSpec &Step);
  static void vacate(WorkerState &W, const StepSpec &Step);
  void reserve(WorkerState &W, const JobRecord &Job, const StepSpec &Step);
  void release(WorkerState &W, const JobRecord &Job, const StepSpec &Step);

  void handleEnd(WorkerState &W, const EndReport &End, core::TimePoint Now);
  void applyEnd(JobRecord &Job, WorkerState &W, const EndReport &End,
                core::TimePoint Now);
  void settleParked(const PlanInput &In);
  void taskDone(JobRecord &Job, std::uint32_t Task);
  void taskFailed(JobRecord &Job, std::uint32_t Task, WorkerState &W,
                  core::TimePoint Now);
  bool mayQuarantine(const WorkerState &W, core::TimePoint Now) const;
  void quarantine(WorkerState &W, core::TimePoint Now) const;
  void handleRunning(WorkerState &W, const RunReport &Run,
                     core::TimePoint SentAt, core::TimePoint Now);
  void dropMissing(WorkerState &W, const WorkerReport &Report,
                   std::uint64_t Fence, core::TimePoint SentAt,
                   core::TimePoint Now);
  void keepMissing(WorkerState &W, const WorkerReport &Report,
                   const std::vector<RunReport> &Unknown,
                   core::TimePoint SentAt, core::TimePoint Now);
  void startIncarnation(WorkerState &W, std::int64_t Born,
                        const WorkerReport *Report, core::TimePoint Now);
  void expectLateOrders(WorkerState &W) const;
  void doubtIncarnation(WorkerState &W, std::int64_t Shown, bool ByReport,
                        core::TimePoint Now);
  void applyListedBirth(WorkerState &W, std::int64_t Born, core::TimePoint Now);
  static bool isEarlierIncarnation(const WorkerState &W, std::int64_t Born);
  static bool isUnordered(const WorkerState &W, const WorkerReport &Report,
                          core::TimePoint SentAt);
  /// Removes a run that counts as ended without a report of its end.
  void presumeEnded(JobRecord &Job, std::uint32_t Task, RunId Run,
                    PresumedCause Cause);
  void notePresumedEnd(const JobRecord &Job, std::uint32_t Task,
                       const LiveRun &Run, PresumedCause Cause);
  void forgetPresumedEnd(const TaskRef &Task, RunId Run);
  void noteSurvivor(const TaskRef &Task, RunId Run, std::optional<RunEnd> End);
  void dropRuns(WorkerState &W, PresumedCause Cause);
  std::vector<SuspectRun> suspectsOn(const WorkerState &W) const;
  std::vector<SuspectRun> unlistedStarts(const WorkerState &W) const;
  void keepUnlistedStart(JobRecord &Job, std::uint32_t Task, LiveRun Run,
                         core::TimePoint Now);
  void dropCrashed(WorkerState &W, std::int64_t NextBorn,
                   const WorkerReport *Report, core::TimePoint Now);
  void clearRunElsewhere(const WorkerState &W, const WorkerReport &Report,
                         std::optional<core::TimePoint> EarlierSeen,
                         core::TimePoint Now);
  void settleAnswered(const WorkerState &W, const SuspectRun &Run,
                      OrderOutcome Outcome, core::TimePoint Now);
  void dropRefusedAnnouncement(JobRecord &Job, std::uint32_t Task, RunId Run,
                               OrderOutcome Outcome);
  void settleEnded(const WorkerState &W, core::TimePoint Now);
  void dropReplaced(WorkerState &W, core::TimePoint Now);
  void dropEnded(WorkerState &W, PresumedCause Cause,
                 const std::function<std::vector<LostRun>()> &TakeSuspects,
                 std::int64_t NextBorn, core::TimePoint Now);
  CrashRecord recordOf(const WorkerState &W) const;
  bool isSuspectOn(const WorkerState &W, const LiveRun &Run) const;
  void announceSuspects(const WorkerState &W);
  bool hasPossibleCrash(const JobRecord &Job) const;
  void noteUnheard(const WorkerState &W);
  bool mayHaveMissedCrash(core::TimePoint Now) const;
  void recordLoss(const WorkerState &W, core::TimePoint Now);
  void settleLost(const WorkerState &W, const std::vector<LostRun> &Suspects,
                  CrashRecord Record, std::int64_t NextBorn,
                  core::TimePoint Now);
  void settleReplaced(std::span<const WorkerEntry> Entries,
                      core::TimePoint Now);
  void countCrash(const CountedRun &Counted, CrashRecord &Record);
  void delayLasting(JobRecord &Job, std::uint32_t Task, core::TimePoint Now);
  void clearSuspicion(JobRecord &Job, std::uint32_t Task, LiveRun &Run,
                      core::TimePoint MadeAt);
  std::size_t countPossibleCrashes(const JobRecord &Job,
                                   std::uint32_t Task) const;
  bool mayTryAgain(const JobRecord &Job, std::uint32_t Task) const;
  std::size_t mostCrashes(const JobRecord &Job, std::uint32_t Task) const;
  static bool wasShared(const TaskProgress &Kept, RunId Run);
  void setAnnounced(JobRecord &Job, std::uint32_t Task, AnnouncedRun Run);
  void noteOpenOutcomes(core::TimePoint Now);
  void clearLost(const std::string &Worker);
  void settleUnknown(const SuspectRun &Run);
  /// Tasks that start together, or alone.
  struct WaitingUnit {
    const StepSpec *Step = nullptr;
    std::uint32_t Tasks = 1;
    /// Number of such units.
    std::uint32_t Count = 1;
  };
  /// What a worker that takes starts has left.
  struct HostRoom {
    const WorkerState *Worker = nullptr;
    core::Resources Now;
    /// Once all that ends by itself has ended.
    core::Resources Later;
  };
  std::vector<WaitingUnit> waitingUnits(const TeamState &Team,
                                        std::int64_t WallMs) const;
  core::Resources capacityBeside(const TeamState &Team) const;
  static core::Resources needOf(const WaitingUnit &Unit, bool OfWorkers);
  static core::Resources heldByLasting(const WorkerState &W);
  std::vector<HostRoom> hostRooms() const;
  static std::uint32_t spreadLeft(const WorkerState &W, const StepSpec &Step);
  static std::uint32_t takeRoom(std::span<HostRoom> Rooms, const StepSpec &Step,
                                std::uint32_t Count);
  static std::pair<std::uint32_t, std::uint32_t> unitOf(const JobRecord &Job,
                                                        std::uint32_t Task);
  void inheritSuspicion(JobRecord &Job, core::TimePoint Now);
  /// Marks the run to be stopped by the next planning round.
  void stopRun(const JobRecord &Job, std::uint32_t Task, LiveRun &Run,
               StopReason Reason, core::TimePoint Now);
  void recordStop(const JobRecord &Job, std::uint32_t Task, const LiveRun &Run,
                  StopReason Reason, core::TimePoint Now);
  void stopAllRuns(JobRecord &Job, JobEndCause Cause);
  static bool mustStoreEnd(const JobRecord &Job, std::uint32_t Task);
  void endJob(JobRecord &Job, JobEndCause Cause);
  std::int64_t leaseFor(const WorkerState &W, const PlanInput &In) const;
  static void recordLease(WorkerState &W, std::int64_t DeadlineMs,
                          core::TimePoint Now);
  core::TimePoint latestLeaseEnd(core::TimePoint From,
                                 core::Duration Length) const;
  core::TimePoint earlierLeasesEnd(const WorkerState &W) const;
  core::TimePoint inheritedOrdersEnd(const WorkerState &W) const;
  core::Duration earlierOrdersLeft(const WorkerState &W,
                                   core::TimePoint Now) const;
  void noteEarlierOrders(core::TimePoint Now);
  bool mayHaveLaterOwner(const WorkerState &W, const PlanInput &In) const;
  bool mayHaveRestartedUnseen(const WorkerState &W, const PlanInput &In) const;
  bool mayHaveEarlierOrder(const WorkerState &W, core::TimePoint Now) const;
  bool leaseLapsed(const WorkerState &W, core::TimePoint Now) const;
  bool mayReachNextIncarnation(const WorkerState &W, core::TimePoint Now) const;
  bool mayHostLasting(const WorkerState &W, core::TimePoint Now) const;
  std::uint64_t fenceOf(const WorkerState &W) const;
  void checkFenceStep(std::uint32_t Step);
  void raiseFence(WorkerState &W);
  void settleByFence(WorkerState &W, std::uint64_t Fence, core::TimePoint Now);

  WorkerStatus statusOf(const WorkerState &W, core::TimePoint Now) const;
  core::TimePoint missedSince(const JobRecord &Job, std::uint32_t Task) const;
  void restartWaits(JobRecord &Job, const TaskPlace &EndedStep);
  void recordStatuses(core::TimePoint Now);
  void recordStarts(const std::vector<StartOrder> &Starts, core::TimePoint Now);

  void takeBack(WorkerState &W, ReleaseChange::Kind Why);
  void expireReleases(core::TimePoint Now);
  static bool isEmpty(const WorkerState &W);
  bool isReady(const LiveRun &Run, core::TimePoint Now) const;
  bool mayHaveEarlierStop(const LiveRun &Run) const;
  std::uint32_t countUnavailable(const JobRecord &Job, std::uint32_t Task,
                                 core::TimePoint Now) const;
  static std::uint32_t absenceLimit(const StepSpec &Step);
  bool mayBecomeAbsent(const JobRecord &Job, std::uint32_t Task,
                       core::TimePoint Now) const;
  bool mayRestart(const JobRecord &Job) const;
  void stopEvicted(const PlanInput &In);
  void planStops(const PlanInput &In, Orders &Out);
  void planHolds(const PlanInput &In, Orders &Out);
  bool mayRequestReport(const WorkerState &W, core::TimePoint Now) const;
  void settleOverdueStarts(const PlanInput &In);
  void applyAnswerClock(WorkerState &W, const LiveRun &Run,
                        std::int64_t ClockMs, core::TimePoint Now);
  void onUnansweredStart(WorkerState &W, const LiveRun &Run,
                         core::TimePoint Now);
  static bool hasUnanswered(const WorkerState &W);
  bool hasJustReported(const WorkerState &W, core::TimePoint Now) const;
  HoldOrder nextHold(WorkerState &W, const PlanInput &In) const;
  static bool isOvertaken(const WorkerState &W, const WorkerReport &Report,
                          core::TimePoint SentAt);
  void expireSilent(const PlanInput &In);
  bool mayForget(const WorkerState &W, core::TimePoint Now) const;
  void dropLapsedRuns(WorkerState &W, core::TimePoint Now);
  void dropListedRuns(WorkerState &W, core::TimePoint Now);
  void recordLostStarts(WorkerState &W);

  std::string Pool_;
  std::uint64_t Token_;
  core::TimePoint TakenAt_;
  OwnerLimits Limits_;
  /// When earlier owners issued their last orders, if known.
  std::optional<core::TimePoint> EarlierStoppedAt_;
  std::shared_ptr<const FleetConfig> Config_;
  std::set<std::string> ClosedDataCentres_;
  std::map<std::string, TeamState> Teams_;
  JobTable Jobs_;
  WorkerTable Workers_;
  ProgressOutbox Outbox_{Jobs_, Workers_};
  /// Jobs that have not ended, in no particular order.
  std::vector<JobRecord *> Open_;
  /// Jobs that exist and can't be added yet, and whether they were cancelled.
  std::map<std::string, bool> Awaited_;
  /// Upper bound on the number of open jobs whose payload is missing.
  std::size_t MissingPayloads_ = 0;
  /// Jobs that have ended, by acceptance time and number.
  std::map<std::pair<std::int64_t, std::uint64_t>, JobRecord *> Finished_;
  std::uint64_t JobCount_ = 0;
  /// Latest acceptance time of the jobs that were dropped.
  std::int64_t DroppedUpToMs_ = std::numeric_limits<std::int64_t>::min();
  std::uint64_t NextRun_ = 1;
  /// Least fence step of workers that are listed anew: above that of orders to
  /// those that were forgotten, which may come back under their ids.
  std::uint32_t ForgottenFenceStep_ = 0;
  Estimates Estimates_;
  bool Settled_ = false;
  /// Some run may have to be stopped that was not to be stopped before.
  bool StopsChanged_ = true;
  /// When the next stop is due that is known already.
  core::TimePoint NextStopAt_;
  bool Fenced_ = false;
  bool FenceUsedUp_ = false;
  PoolCounters Counters_;
  PoolEvents Events_;
  PresumedEnds Presumed_;
  std::optional<core::TimePoint> WaitsCheckedAt_;
  /// Input of the last planning round.
  PlanInput LastInput_;
  /// Time of the latest event or planning round.
  core::TimePoint Now_;
  CrashLedger Lost_;
  /// The runs that were counted last, oldest first.
  std::deque<CountedRun> Counted_;
  /// A worker was lost, or has restarted, of whose runs this owner did not know
  /// all: it had not heard it, or not their jobs.
  bool MissedCrash_ = false;
  /// When a worker was last found to have crashed, by its address. The machine
  /// may be the cause, and a restarted worker may have another id.
  std::map<std::string, core::TimePoint> CrashedAt_;
  /// The same, of crashes without a suspect that had met two before.
  std::map<std::string, core::TimePoint> UnexplainedCrashAt_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_POOLSTATE_H
