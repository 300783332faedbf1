#ifndef COMFREYDECK_JOBS_POOLSTATE_H
#define COMFREYDECK_JOBS_POOLSTATE_H

#include "jobs/FleetConfig.h"
#include "jobs/PoolFigures.h"
#include "jobs/PoolSizes.h"
#include "jobs/RunPace.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

namespace comfreydeck::jobs {

/// Bits of a run's number that count the starts of one owner; the token above
/// them makes numbers rise from owner to owner, within 53 bits for JSON.
inline constexpr std::uint32_t RunCounterBits = 22;

/// Bounds of one owner's orders.
struct OwnerLimits {
  /// Lease that each order gives everything on a worker: long enough to
  /// survive a change of owner (two seconds), short enough to restart work of a
  /// worker that was cut off within its job's objective.
  core::Duration Lease = std::chrono::milliseconds(3000);
  /// How much slower a worker's clock may run (bound of the platform).
  double ClockDrift = 0.02;
  /// How long an owner gives orders after the last reading that showed it as
  /// owner.
  core::Duration Authority = std::chrono::milliseconds(8000);
  /// Longest time from the taking on that earlier owners' orders may keep a run
  /// alive.
  core::Duration EarlierOrders = Authority;
  /// How long a worker holds a report back while nothing ends.
  core::Duration ReportWait = std::chrono::milliseconds(800);
  /// Pause after a report with ends, so that the next one brings several.
  core::Duration ReportPause = std::chrono::milliseconds(25);
  /// A worker that was silent for longer may have lost what it ran.
  core::Duration ReportStale = std::chrono::milliseconds(1800);
  /// A worker that is up answers within this where it has nothing to wait for.
  core::Duration ReportAnswer = std::chrono::milliseconds(1000);
  /// Pause after a report that failed.
  core::Duration ReportRetry = std::chrono::milliseconds(250);
  /// How long a worker that refused an order gets no other.
  core::Duration RefusalPause = std::chrono::milliseconds(700);
  /// How long a worker is avoided whose runs fail.
  core::Duration Quarantine = std::chrono::milliseconds(6000);
  /// Failed runs in a row, of more than one job, that quarantine a worker.
  std::uint32_t QuarantineFailures = 2;
  /// Jobs accepted that much after a takeover are unknown to earlier owners.
  core::Duration NewJobAge = Authority;
};

/// Starts one run.
struct StartOrder {
  std::string Worker;
  TaskRef Task;
  RunId Run = 0;
  std::string Payload;
  std::string Checkpoint;
  std::string Ticket;
  std::int64_t DeadlineMs = 0;
};

/// Ends one run; also forbids one that has not arrived yet.
struct StopOrder {
  std::string Worker;
  TaskRef Task;
  RunId Run = 0;
};

/// Extends the lease of all runs of a worker and asks for its report.
struct HoldOrder {
  std::string Worker;
  /// Zero: extends nothing.
  std::int64_t DeadlineMs = 0;
  /// Ends up to this number are noted and may be forgotten.
  std::uint64_t NotedUpTo = 0;
  core::Duration Wait{0};
};

struct Orders {
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<HoldOrder> Holds;
};

/// What one planning decides from.
struct PlanInput {
  core::TimePoint Now;
  /// Time of day, in Unix milliseconds.
  std::int64_t WallMs = 0;
  /// Nothing may be ordered for longer than this.
  core::TimePoint AuthorityEnd;
  /// Whether runs may be started; reports go on anyway.
  bool MayStart = true;
  /// Every job that was accepted before this is known here.
  core::TimePoint JobsReadAt;
};

/// One job's progress to be stored.
struct ProgressWrite {
  std::string JobId;
  JobProgress Progress;
};

/// What is to be stored next, and the mark to hand back once it is.
struct ProgressBatch {
  std::uint64_t Mark = 0;
  std::vector<ProgressWrite> Writes;
  /// Workers that join the pool's roster.
  std::vector<WorkerEntry> Enrolled;
  /// Workers that can run nothing of this pool any more.
  std::vector<std::string> Struck;
  /// From now on no order of earlier owners can be carried out.
  bool Settled = false;

  bool isEmpty() const {
    return Writes.empty() && Enrolled.empty() && Struck.empty() && !Settled;
  }
};

/// One live run of a task.
struct LiveRun {
  RunId Run = 0;
  std::string Worker;
  /// The start was answered or reported.
  bool Confirmed = false;
  /// A stop was ordered.
  bool Stopping = false;
  bool StopInFlight = false;
  core::TimePoint OrderedAt;
  core::TimePoint ConfirmedAt;
  core::TimePoint StopAt;
  /// When a report last showed a lasting task at work.
  core::TimePoint AtWorkAt;
  RunPace Pace;
  std::uint32_t Percent = 0;
  double Load = 0;
};

struct TaskState {
  TaskProgress Kept;
  std::vector<LiveRun> Runs;
  /// Not before this time again.
  core::TimePoint NotBefore;
  /// Worker on which the last run failed or fell behind.
  std::string FailedOn;
  /// A run of it was given up as far behind.
  bool Moved = false;
  /// Another run is to start beside the one there is.
  bool WantsCopy = false;
};

/// Run times of one queue's tasks.
struct RunTimes {
  std::uint32_t Samples = 0;
  /// Moving mean, in milliseconds.
  double MeanMs = 0;
};

/// One team's part of this pool.
struct TeamState {
  /// What its runs reserve.
  core::Resources Use;
  /// What it may have running; empty: no bound.
  std::optional<core::Resources> Room;
};

/// Where a task stands in its job.
struct TaskPlace {
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
};

struct JobRecord {
  JobSpec Spec;
  std::vector<TaskState> Tasks;
  /// First task of each step within an occurrence.
  std::vector<std::uint32_t> StepBegin;
  /// Tasks not yet done, by occurrence and step.
  std::vector<std::uint32_t> Undone;
  JobState Now = JobState::Queued;
  /// The state that is stored; final states are shown only then.
  JobState Stored = JobState::Queued;
  bool Started = false;
  core::TimePoint KnownSince;
  /// An earlier owner may have started it.
  bool Inherited = false;
  /// Place in the queue of changes; zero: not in it.
  std::uint64_t FirstTouch = 0;
  /// Place among the open jobs.
  std::size_t OpenAt = 0;
  /// Of its queue; its own where the queue is not configured.
  std::uint32_t Priority = 0;
  bool Advised = false;
  RunTimes *Times = nullptr;
  TeamState *Team = nullptr;
  std::uint32_t PerOccurrence = 1;
  /// Whether the next two hold; cleared by each change of a run or an end.
  bool WaitingKnown = false;
  /// Tasks that want a run and whose step is ready, in order.
  std::vector<std::uint32_t> Waiting;
  /// Steps of these tasks, each once.
  std::vector<const StepSpec *> WaitingSteps;
};

/// An end of a job that is not known here, or not yet.
struct ParkedEnd {
  EndReport End;
  core::TimePoint SeenAt;
};

/// What an owner knows of one worker.
struct WorkerState {
  WorkerEntry Entry;
  /// Its entry is gone from the list.
  bool Gone = false;
  core::TimePoint GoneAt;
  /// In the stored roster: the next owner will ask for it even if its entry is
  /// gone. Gets no start before.
  bool Enrolled = false;
  /// Heard since this owner took the pool.
  bool Heard = false;
  /// When this owner first asked for its report.
  core::TimePoint AskedAt;
  std::int64_t Born = 0;
  std::int64_t ClockMs = 0;
  core::TimePoint ClockAt;
  /// Latest lease end that was ordered, on the worker's clock.
  std::int64_t DeadlineMs = 0;
  /// Ends handled so far in this life.
  std::uint64_t Handled = 0;
  /// Ends handled and the mark with which each is stored, in order.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> Unstored;
  /// Ends among \ref Unstored that wait for their jobs to become known.
  std::vector<ParkedEnd> Parked;
  /// Ends that are stored.
  std::uint64_t Noted = 0;
  /// What the worker was told of \ref Noted.
  std::uint64_t NotedTold = 0;
  /// The last report came: the worker is still in the life that is known here.
  bool LifeSure = false;
  /// Runs there of jobs that this owner doesn't know, or not yet.
  std::vector<RunReport> UnknownRuns;
  core::Resources Used;
  std::uint32_t Serving = 0;
  std::uint32_t Lasting = 0;
  std::uint32_t Filling = 0;
  /// Tasks with a run there.
  std::set<std::pair<JobRecord *, std::uint32_t>> Tasks;
  bool HoldInFlight = false;
  core::TimePoint NextHold;
  core::TimePoint AvoidUntil;
  std::uint32_t FailuresInRow = 0;
  std::string LastFailedJob;
  /// Jobs with runs far behind, since one ended in time.
  std::uint32_t SlowJobs = 0;
  std::string LastSlowJob;
  /// This life has ended, though the worker is still listed.
  bool Ended = false;
  /// Taken out for maintenance: gets nothing new.
  bool Closed = false;
  /// Its tasks are stopped besides.
  bool Pressed = false;
  /// When its last report came.
  core::TimePoint ReportedAt;
  /// Starts that were decided by that report.
  std::uint32_t StartsSinceReport = 0;
};

/// All that the owner of one pool knows and decides. Does no I/O: events go in,
/// orders come out. Not thread-safe.
class PoolState {
public:
  /// \p Token fences earlier owners; \p TakenAt is when the pool was taken.
  PoolState(std::string Pool, std::uint64_t Token, core::TimePoint TakenAt,
            OwnerLimits Limits);

  /// Takes a job up that is new; does nothing if it is known.
  void addJob(const JobSpec &Spec, core::TimePoint Now);
  /// Takes up a job that earlier owners knew; null: nothing of it is done.
  void inheritJob(const JobSpec &Spec, const JobProgress *Kept,
                  core::TimePoint Now);
  void cancelJob(const std::string &Id);
  /// Forgets finished jobs that were accepted before \p AcceptedBeforeMs.
  void dropFinished(std::int64_t AcceptedBeforeMs);

  /// The workers listed for this pool now.
  void setWorkers(std::span<const WorkerEntry> Entries, core::TimePoint Now);
  /// A worker of the stored roster: it may run what an earlier owner started,
  /// whether it is listed or not. To be called before \ref setWorkers.
  void addEnrolled(const WorkerEntry &Entry, core::TimePoint Now);
  /// The owner before orders no more, and had settled: only leases that it had
  /// given still run.
  void trustLastOwner();
  /// The life of a worker that is listed no more has ended, and its runs with
  /// it.
  void confirmOver(const std::string &Id);
  void setConfig(std::shared_ptr<const FleetConfig> Config);
  /// Data centres that get nothing new.
  void setClosedDataCentres(std::set<std::string> Names);
  /// A listed worker's machine was taken away: its entry goes later, and it
  /// gets nothing before its next life shows.
  void endLife(const std::string &Id);
  /// Workers that are about to be taken out.
  void setClosedWorkers(const std::set<std::string> &Ids);
  /// Workers whose tasks are to be stopped, each as its step allows.
  void setPressedWorkers(const std::set<std::string> &Ids);
  /// Whether nothing runs on the worker, and nothing that ended there would be
  /// lost with it.
  bool isClear(const std::string &Id) const;
  /// What each team may have running in this pool; teams without an entry have
  /// no bound.
  void setTeamRoom(std::map<std::string, core::Resources> Room);

  void onStart(const StartOrder &Order, const OrderResult &Result,
               core::TimePoint Now);
  void onStop(const StopOrder &Order, const OrderResult &Result,
              core::TimePoint Now);
  /// \p SentAt is when the order went out.
  void onReport(const HoldOrder &Order, const ReportResult &Result,
                core::TimePoint SentAt, core::TimePoint Now);

  /// What has changed since the last call and is not stored yet, \p Most rows
  /// at a time.
  ProgressBatch takeChanges(std::size_t Most);
  /// The batches up to that mark are stored.
  void onStored(std::uint64_t Mark);

  /// Decides what to order now.
  Orders plan(const PlanInput &In);

  const JobRecord *findJob(const std::string &Id) const;
  /// The state to show.
  static JobState shownState(const JobRecord &Job);
  /// Accepted jobs of the queue without a started task.
  std::uint32_t pending(const std::string &Queue) const;
  /// What the team's runs reserve in this pool.
  core::Resources teamUse(const std::string &Team) const;
  /// What the team's waiting tasks would use besides.
  core::Resources teamDemand(const std::string &Team) const;

  /// What the pool's machines are asked for; without their number.
  PoolLoad load(core::TimePoint Now, std::int64_t WallMs) const;

  std::uint64_t token() const { return Token_; }
  const std::string &pool() const { return Pool_; }
  /// What happened since the last call.
  PoolCounters takeCounters();
  PoolCensus census(core::TimePoint Now, std::int64_t WallMs) const;
  /// An order was refused since a higher token was used.
  bool isFenced() const { return Fenced_; }
  const std::unordered_map<std::string, std::unique_ptr<WorkerState>> &
  workers() const {
    return Workers_;
  }
  const std::unordered_map<std::string, std::unique_ptr<JobRecord>> &
  jobs() const {
    return Jobs_;
  }
  /// Whether every worker that may run something was heard.
  bool allHeard(core::TimePoint Now) const;
  /// Whether a planning has found \ref allHeard once: inherited tasks may
  /// start.
  bool isSettled() const { return Settled_; }
  /// How long a task of the step is expected to run: as its queue's tasks did,
  /// or as the caller guessed.
  static double runTimeMs(const JobRecord &Job, const StepSpec &Step);

private:
  friend class StartPlan;
  friend class StragglerPlan;

  JobRecord *jobOf(const std::string &Id);
  JobRecord &makeJob(const JobSpec &Spec, core::TimePoint Now);
  void adoptReported(const JobRecord &Job, core::TimePoint Now);
  void openJob(JobRecord &Job);
  void closeJob(JobRecord &Job);
  void noteQueue(JobRecord &Job) const;
  static TaskPlace placeOf(const JobRecord &Job, std::uint32_t Task);
  static const StepSpec &stepOf(const JobRecord &Job, std::uint32_t Task);
  std::uint32_t indexOf(const JobRecord &Job, const TaskRef &Ref) const;
  static TaskRef refOf(const JobRecord &Job, std::uint32_t Task);
  static bool stepReady(const JobRecord &Job, const TaskPlace &Place);
  /// Finds the tasks that wait, if something has changed.
  static void refreshWaiting(JobRecord &Job);
  LiveRun *findRun(JobRecord &Job, std::uint32_t Task, RunId Run);

  void addRun(JobRecord &Job, std::uint32_t Task, LiveRun Run);
  void removeRun(JobRecord &Job, std::uint32_t Task, RunId Run);
  void reserve(WorkerState &W, const JobRecord &Job, const StepSpec &Step);
  void release(WorkerState &W, const JobRecord &Job, const StepSpec &Step);
  void touch(JobRecord &Job);
  void enrol(const std::string &Id);
  void strike(const std::string &Id);
  void advanceStored(std::uint64_t Mark);

  void handleEnd(WorkerState &W, const EndReport &End, core::TimePoint Now);
  void applyEnd(JobRecord &Job, WorkerState &W, const EndReport &End,
                core::TimePoint Now);
  void settleParked(const PlanInput &In);
  void advanceNoted(WorkerState &W);
  void taskDone(JobRecord &Job, std::uint32_t Task);
  void taskFailed(JobRecord &Job, std::uint32_t Task, WorkerState &W,
                  core::TimePoint Now);
  void handleRunning(WorkerState &W, const RunReport &Run,
                     core::TimePoint SentAt, core::TimePoint Now);
  void dropMissing(WorkerState &W, const WorkerReport &Report,
                   core::TimePoint SentAt);
  void newLife(WorkerState &W, std::int64_t Born, core::TimePoint Now);
  void loseRuns(WorkerState &W);
  void endJob(JobRecord &Job, JobState State);
  void noteClock(WorkerState &W, std::int64_t ClockMs, core::TimePoint Now);
  std::int64_t leaseFor(const WorkerState &W, const PlanInput &In) const;
  bool leaseLapsed(const WorkerState &W, core::TimePoint Now) const;

  WorkerStanding standingOf(const WorkerState &W, core::TimePoint Now) const;
  WaitReason waitReason(const JobRecord &Job, std::uint32_t Task, bool AllHeard,
                        core::TimePoint Now) const;
  void noteStarts(const std::vector<StartOrder> &Starts, core::TimePoint Now);

  std::uint64_t arrivingCpu(core::TimePoint Now) const;
  void noteArrival(const JobRecord &Job, core::TimePoint Now);
  static void noteRunTime(const JobRecord &Job, const LiveRun &Run,
                          core::TimePoint Now);
  static bool isEmpty(const WorkerState &W);
  bool isAtWork(const LiveRun &Run, core::TimePoint Now) const;
  std::uint32_t absent(const JobRecord &Job, std::uint32_t Task,
                       core::TimePoint Now) const;
  void clearClosed(const PlanInput &In);
  void planStops(const PlanInput &In, Orders &Out);
  void planHolds(const PlanInput &In, Orders &Out);
  void expireSilent(const PlanInput &In);

  std::string Pool_;
  std::uint64_t Token_;
  core::TimePoint TakenAt_;
  OwnerLimits Limits_;
  std::shared_ptr<const FleetConfig> Config_;
  std::set<std::string> ClosedDataCentres_;
  std::map<std::string, TeamState> Teams_;
  std::unordered_map<std::string, std::unique_ptr<JobRecord>> Jobs_;
  std::unordered_map<std::string, std::unique_ptr<WorkerState>> Workers_;
  /// Jobs with something left to start, in no order.
  std::vector<JobRecord *> Open_;
  /// Jobs that have ended, by the time of their acceptance.
  std::set<std::pair<std::int64_t, JobRecord *>> Finished_;
  std::deque<JobRecord *> Changed_;
  std::uint64_t Touches_ = 0;
  /// All changes up to this one are stored.
  std::uint64_t StoredMark_ = 0;
  /// States in the batch that is being stored.
  std::vector<std::pair<std::string, JobState>> Storing_;
  /// Changes of the roster that are not on their way yet.
  std::set<std::string> ToEnrol_;
  std::set<std::string> ToStrike_;
  /// Workers in the batch that is being stored.
  std::vector<WorkerEntry> Enrolling_;
  std::uint64_t NextRun_ = 1;
  /// Run times of each queue's tasks, as measured.
  std::map<std::string, RunTimes> RunTimes_;
  /// When jobs came that end, and the processor time that each asks for, in
  /// thousandths of a core times milliseconds.
  std::deque<std::pair<core::TimePoint, double>> Arrivals_;
  bool Settled_ = false;
  bool ToStoreSettled_ = false;
  bool Fenced_ = false;
  PoolCounters Counters_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_POOLSTATE_H
