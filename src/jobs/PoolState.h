#ifndef COMFREYDECK_JOBS_POOLSTATE_H
#define COMFREYDECK_JOBS_POOLSTATE_H

#include "jobs/CrashLedger.h"
#include "jobs/FleetConfig.h"
#include "jobs/PoolMetrics.h"
#include "jobs/PoolSizes.h"
#include "jobs/RunPace.h"
#include "jobs/StopDecision.h"

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

namespace comfreydeck::jobs {

/// Low bits of a run id, which count the starts of one owner. The fencing token
/// in the bits above makes ids increase from owner to owner. Ids may exceed the
/// 53 bits that a double represents exactly.
inline constexpr std::uint32_t RunCounterBits = 22;

/// Low bits of a fence, which count how often an owner has raised it at a
/// worker. The bits above are the owner's fencing token.
inline constexpr std::uint32_t FenceStepBits = 16;

/// Start time that is later than that of each incarnation.
inline constexpr std::int64_t AnyIncarnation =
    std::numeric_limits<std::int64_t>::max();

/// Timing limits for one owner's orders.
struct OwnerLimits {
  /// Lease that each order grants to all runs on a worker: long enough to
  /// survive a change of owner (two seconds), short enough to restart the runs
  /// of a partitioned worker within their jobs' objectives.
  core::Duration Lease = std::chrono::milliseconds(3000);
  /// Longest lease that a worker grants, whatever end an order names.
  core::Duration MaxLease = std::chrono::milliseconds(10000);
  /// Longest time after which a worker may still carry out an order that it has
  /// not answered.
  core::Duration LateOrder = std::chrono::milliseconds(13000);
  /// A lasting task starts on no worker whose loss would be known later than
  /// this.
  core::Duration LastingLoss = std::chrono::milliseconds(8000);
  /// Maximum relative drift by which a worker's clock runs slow, as guaranteed
  /// by the platform.
  double ClockDrift = 0.02;
  /// How long an owner may issue orders after the last read that confirmed its
  /// ownership.
  core::Duration Authority = std::chrono::milliseconds(8000);
  /// Maximum time after the takeover for which orders of earlier owners may
  /// keep a run alive.
  core::Duration EarlierOrders = Authority;
  /// For this long after a worker's report, or after a read that confirmed the
  /// ownership, the worker can't have restarted with the fence of a later owner
  /// forgotten.
  core::Duration UnseenRestart = std::chrono::milliseconds(1000);
  /// How long a worker may delay a report while no run ends (long polling).
  core::Duration ReportWait = std::chrono::milliseconds(800);
  /// The same for a worker with a run that may crash it, so that it is soon
  /// known whether the run has lasted.
  core::Duration SuspectReportWait = std::chrono::milliseconds(100);
  /// A report request without an answer for so long beyond its wait is overdue:
  /// another one is sent beside it.
  core::Duration ReportOverdue = std::chrono::milliseconds(250);
  /// A start without an answer for so long is overdue: the worker is asked what
  /// became of it.
  core::Duration StartOverdue = std::chrono::milliseconds(300);
  /// Consecutive starts without an answer after which a worker is avoided for a
  /// while.
  std::uint32_t MaxUnanswered = 4;
  /// Maximum number of report requests in flight to one worker.
  std::size_t MaxReportRequests = 3;
  /// Delay after a report with ends, so that the next one batches several.
  core::Duration ReportPause = std::chrono::milliseconds(25);
  /// Age of the last report after which a worker counts as silent; its runs may
  /// be lost.
  core::Duration ReportStale = std::chrono::milliseconds(1800);
  /// A reachable worker answers within this time unless asked to delay the
  /// report.
  core::Duration ReportAnswer = std::chrono::milliseconds(1000);
  /// Maximum time, on the worker's clock, that a worker takes to carry out a
  /// stop it has accepted.
  core::Duration StopTime = std::chrono::milliseconds(400);
  /// Delay after a report request that was not sent.
  core::Duration WithheldRetry = std::chrono::milliseconds(50);
  /// Delay after a failed report request.
  core::Duration ReportRetry = std::chrono::milliseconds(250);
  /// How long a worker gets no start after it refused an order.
  core::Duration RefusalPause = std::chrono::milliseconds(700);
  /// How long a worker is avoided whose runs fail or are slow.
  core::Duration Quarantine = std::chrono::milliseconds(6000);
  /// Consecutive failures, of different jobs, that quarantine a worker.
  std::uint32_t QuarantineFailures = 2;
  /// Jobs accepted at least this long after a takeover are unknown to earlier
  /// owners.
  core::Duration NewJobAge = Authority;
  /// A run that has lasted this long does not count as the cause of a crash of
  /// its worker.
  core::Duration SuspicionAge = std::chrono::milliseconds(500);
  /// Crashes under one task after which its runs get a worker to themselves.
  std::uint32_t IsolationCrashes = 2;
  /// How long such a run waits for a worker where no other run would have to
  /// start over if it crashed. It waits on only for one whose other runs are
  /// too old to be the cause: a lasting task has to run again within nine
  /// seconds, of which the lease of its lost run takes three.
  core::Duration IsolationWait = std::chrono::milliseconds(2000);
  /// Crashes under one task after which its job fails.
  std::uint32_t MaxCrashes = 3;
  /// Most starts of a task after so many crashes. They are used while crashes
  /// are only possible.
  std::uint32_t MaxLateStarts = 2;
  /// How long the outcome of a run is waited for that may be the last crash
  /// allowed: long enough for a machine that crashed to have another worker.
  core::Duration OutcomeWait = std::chrono::milliseconds(4000);
  /// How long a suspect task waits for a worker without another suspect.
  core::Duration SuspectWait = std::chrono::milliseconds(1000);
  /// How many times as long a task takes on another rack than that of its data,
  /// and a gang that wants one rack on several.
  double RemoteFactor = 1;
  /// The longest that a gang waits for one rack while several have room: a task
  /// may be without a run for some seconds only while there is room for it.
  core::Duration MaxRackWait = std::chrono::milliseconds(3000);
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
  /// The worker refuses orders with a fence below the highest that it has seen.
  std::uint64_t Fence = 0;
};

/// Stops one run; also rejects its start if that has not arrived yet.
struct StopOrder {
  std::string Worker;
  TaskRef Task;
  RunId Run = 0;
  std::uint64_t Fence = 0;
};

/// Extends the lease of all runs on a worker and requests its report.
struct HoldOrder {
  std::string Worker;
  /// New lease end on the worker's clock; zero leaves the lease as it is.
  std::int64_t DeadlineMs = 0;
  /// Acknowledges ends up to this number; the worker may discard them.
  std::uint64_t AcknowledgeUpTo = 0;
  core::Duration Wait{0};
  std::uint64_t Fence = 0;
  /// Number of the request; zero if the owner has not planned it.
  std::uint64_t Number = 0;
};

struct Orders {
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<HoldOrder> Holds;
  /// PlanInput::MaxStarts was reached.
  bool StartsBounded = false;
};

/// Input of one planning round.
struct PlanInput {
  core::TimePoint Now;
  /// Time of day, in Unix milliseconds.
  std::int64_t WallMs = 0;
  /// No lease may extend beyond this.
  core::TimePoint AuthorityEnd;
  /// Whether runs may be started; reports are requested in any case.
  bool MayStart = true;
  /// Maximum number of starts. A gang that begins within it is started whole.
  std::size_t MaxStarts = std::numeric_limits<std::size_t>::max();
  /// All jobs accepted before this time have been loaded.
  core::TimePoint JobsReadAt;
};

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

/// One live run of a task.
struct LiveRun {
  RunId Run = 0;
  std::string Worker;
  /// The start was acknowledged or a report listed the run.
  bool Confirmed = false;
  /// Value of \ref SendAfter before the run is announced.
  static constexpr std::uint64_t NotAnnounced =
      std::numeric_limits<std::uint64_t>::max();
  /// Number of the change that announces the run, which is sent once that is
  /// stored; zero if it has been sent.
  std::uint64_t SendAfter = 0;
  /// The run is to be stopped.
  bool Stopping = false;
  bool StopInFlight = false;
  /// The stop in flight was sent to an earlier incarnation of the worker.
  bool StopOutdated = false;
  /// A report of the worker's present incarnation has listed it.
  bool Listed = false;
  /// A report that listed it was made when it was too old to be the cause of a
  /// crash.
  bool HasLasted = false;
  /// Fence of its start.
  std::uint64_t Fence = 0;
  core::TimePoint OrderedAt;
  /// When its start was sent, if that is known; the maximum while the start is
  /// known to wait.
  core::TimePoint SentAt;
  core::TimePoint ConfirmedAt;
  /// When the last stop order was planned.
  core::TimePoint StopSentAt;
  /// Earliest time to send the next stop order.
  core::TimePoint StopAt;
  /// When a report last showed a lasting task as started up.
  core::TimePoint ReadyAt;
  /// When a report last showed a changed \ref Percent.
  core::TimePoint ProgressedAt;
  RunPace Pace;
  std::uint32_t Percent = 0;
  double Load = 0;

  /// Whether its start is known to wait to be sent.
  bool isWaiting() const { return SentAt == core::TimePoint::max(); }
  /// When its start was sent; when it was ordered if that is not known.
  core::TimePoint sentAt() const {
    return isWaiting() ? OrderedAt : std::max(OrderedAt, SentAt);
  }
};

/// An incarnation that took the place of the known one, or may have, for logs.
struct IncarnationChange {
  std::string Worker;
  /// Start times, in Unix milliseconds.
  std::int64_t Known = 0;
  std::int64_t Shown = 0;
  /// A report told of it, not the worker's row.
  bool ByReport = false;
  /// It is a later one; otherwise it may be an earlier one too.
  bool IsLater = false;
  /// Starts that were sent before and may be carried out by it.
  std::size_t StartsInDoubt = 0;
};

/// Runs that count as ended since their worker's lease has lapsed, for logs.
struct LapsedRuns {
  std::string Worker;
  std::size_t Runs = 0;
  /// Age of the worker's last report.
  core::Duration ReportAge{0};
  /// The worker may have restarted; starts that no report has listed are kept.
  bool Doubted = false;
};

/// A worker that has crashed, for logs.
struct CrashRecord {
  std::string Worker;
  /// Number of its runs, or of those lost when it went silent.
  std::size_t Runs = 0;
  /// Runs that may have caused the crash.
  std::vector<SuspectRun> Suspects;
  /// Tasks whose jobs have failed because of their crashes.
  std::vector<TaskRef> GivenUp;
};

struct TaskState {
  TaskProgress Kept;
  std::vector<LiveRun> Runs;
  /// Until then, a suspect task waits for a worker without another suspect.
  core::TimePoint SpreadUntil;
  /// Earliest time of the next start.
  core::TimePoint NotBefore;
  /// Worker on which the last run failed or straggled.
  std::string FailedOn;
  /// A run of it was a straggler; such a task is not restarted for that reason
  /// again. Not set for lasting steps.
  bool HadStraggler = false;
  /// A second copy is to start in parallel with the current run.
  bool WantsCopy = false;
  /// This owner has started it or found a run of it.
  bool HadRun = false;
  /// When its last run was removed, or when it became ready to start.
  core::TimePoint WaitingSince;
};

/// Run times of one queue's tasks.
struct RunTimes {
  std::uint32_t Samples = 0;
  /// Moving average, in milliseconds.
  double MeanMs = 0;
};

/// One team's use of this pool.
struct TeamState {
  /// Resources reserved by its runs.
  core::Resources Use;
  /// Maximum of \ref Use in this pool; empty means unlimited.
  std::optional<core::Resources> Room;
};

/// Position of a task within its job.
struct TaskPlace {
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
};

struct JobRecord {
  JobSpec Spec;
  /// Counts the jobs that the owner has learned of.
  std::uint64_t Number = 0;
  std::vector<TaskState> Tasks;
  /// Index of each step's first task within an occurrence.
  std::vector<std::uint32_t> StepBegin;
  /// Number of unfinished tasks, by occurrence and step.
  std::vector<std::uint32_t> UnfinishedTasks;
  /// The current state, possibly not persisted yet.
  JobState Now = JobState::Queued;
  /// The persisted state. A final state becomes visible only once persisted.
  JobState Stored = JobState::Queued;
  /// A worker has begun one of its tasks.
  bool Started = false;
  core::TimePoint KnownSince;
  /// Until then, a start that was given up without an answer may still be
  /// carried out, or its run may last.
  core::TimePoint LateStartsUntil;
  /// An earlier owner may have started it.
  bool Inherited = false;
  /// Number of its first change that is not in a batch yet; zero if there is
  /// none.
  std::uint64_t FirstChange = 0;
  /// The store refuses its progress, which is in no batch of changes.
  bool SetAside = false;
  /// It has changed since its progress was last put into a batch of rows that
  /// were set aside.
  bool ChangedAside = false;
  /// Index in the list of open jobs.
  std::size_t OpenIndex = 0;
  /// Priority of its queue, or the job's own if the queue is not configured.
  std::uint32_t Priority = 0;
  bool Advised = false;
  /// Its stored progress can't be read: which of its tasks have run is not
  /// known.
  bool ProgressUnread = false;
  /// It was cancelled meanwhile.
  bool CancelWanted = false;
  /// A worker has crashed, or may have crashed, under one of its tasks.
  bool Suspect = false;
  RunTimes *Times = nullptr;
  TeamState *Team = nullptr;
  std::uint32_t TasksPerOccurrence = 1;
  /// Whether \ref Waiting and \ref WaitingSteps are up to date; reset by each
  /// change that may affect them.
  bool WaitingKnown = false;
  /// Tasks of ready steps that need a run, in order.
  std::vector<std::uint32_t> Waiting;
  /// Distinct steps of these tasks.
  std::vector<const StepSpec *> WaitingSteps;
};

/// A task of a job, by its index within the job.
using TaskOfJob = std::pair<JobRecord *, std::uint32_t>;

/// Orders tasks in the way in which their jobs became known, which doesn't
/// depend on addresses.
struct TaskOrder {
  bool operator()(const TaskOfJob &A, const TaskOfJob &B) const {
    return A.first->Number != B.first->Number
               ? A.first->Number < B.first->Number
               : A.second < B.second;
  }
};

/// A reported end whose job is unknown, possibly because it is not loaded yet.
struct ParkedEnd {
  EndReport End;
  core::TimePoint SeenAt;
};

/// A processed end whose effects are not stored yet.
struct UnstoredEnd {
  std::uint64_t Number = 0;
  /// Mark of an end that must not be acknowledged yet, whatever is stored.
  static constexpr std::uint64_t Never =
      std::numeric_limits<std::uint64_t>::max();
  /// Its effects are stored once this mark is.
  std::uint64_t Mark = 0;
  std::string JobId;
};

/// A start without an answer whose run counts as lapsed. It may still be
/// carried out once the worker has a lease again.
struct LostStart {
  std::uint64_t Fence = 0;
  /// It can't arrive after this.
  core::TimePoint Until;
};

/// A report request that has not been answered.
struct ReportRequest {
  std::uint64_t Number = 0;
  std::uint64_t Fence = 0;
  /// From then on it is overdue.
  core::TimePoint OverdueAt;
  /// The worker may delay its report.
  bool Waits = false;
};

/// An owner's knowledge of one worker.
struct WorkerState {
  WorkerEntry Entry;
  /// No longer listed.
  bool Gone = false;
  core::TimePoint GoneAt;
  /// In the stored roster, so that the next owner polls it even if it is no
  /// longer listed. A worker gets no start before it is enrolled.
  bool Enrolled = false;
  /// Has reported, with all its ends, since this owner took over the pool, or
  /// is known to have ended.
  bool Heard = false;
  /// When this owner first requested its report.
  core::TimePoint AskedAt;
  std::int64_t Born = 0;
  std::int64_t ClockMs = 0;
  core::TimePoint ClockAt;
  /// Latest lease end granted, on the worker's clock.
  std::int64_t DeadlineMs = 0;
  /// When the last order that grants a lease was planned.
  core::TimePoint LeaseOrderedAt;
  /// Number of the last end processed in this incarnation.
  std::uint64_t ProcessedUpTo = 0;
  /// Processed ends that are not stored yet, in order.
  std::deque<UnstoredEnd> Unstored;
  /// Ends among \ref Unstored whose jobs are not loaded yet.
  std::vector<ParkedEnd> Parked;
  /// Number of the last end that is stored with all before it.
  std::uint64_t StoredUpTo = 0;
  /// Value of \ref StoredUpTo last acknowledged to the worker.
  std::uint64_t AcknowledgedUpTo = 0;
  /// The last request was answered by the incarnation known here.
  bool IncarnationConfirmed = false;
  /// When this owner learned of the present incarnation.
  core::TimePoint BornKnownAt;
  /// Start times of the latest incarnations before it, as far as known.
  std::deque<std::int64_t> EarlierBorns;
  /// Since then, a row or a late report has shown another incarnation that may
  /// be a later one. A report that was requested afterwards tells.
  std::optional<core::TimePoint> DoubtedSince;
  /// Reported runs whose jobs are unknown, possibly because they are not loaded
  /// yet.
  std::vector<RunReport> UnknownRuns;
  core::Resources Used;
  std::uint32_t Serving = 0;
  std::uint32_t Lasting = 0;
  std::uint32_t Filling = 0;
  /// The worker gets no lease until it has reported to a higher fence or they
  /// can't arrive any more.
  std::vector<LostStart> LostStarts;
  /// Tasks with a run on this worker.
  std::set<TaskOfJob, TaskOrder> Tasks;
  /// Report requests in flight, oldest first.
  std::vector<ReportRequest> Requests;
  std::uint64_t LastRequest = 0;
  /// Latest request that has been answered with a report.
  std::uint64_t AnsweredRequest = 0;
  /// When that request was sent.
  core::TimePoint ReportRequestedAt;
  /// Report requests without an answer since the last report.
  std::uint32_t FailedReports = 0;
  core::TimePoint NextHold;
  core::TimePoint AvoidUntil;
  std::uint32_t FailuresInRow = 0;
  std::string LastFailedJob;
  /// Jobs with straggling runs since the last run that ended in time.
  std::uint32_t SlowJobs = 0;
  std::string LastSlowJob;
  /// This incarnation has ended, though the worker is still listed.
  bool Ended = false;
  /// Closed for maintenance: gets no new runs.
  bool Closed = false;
  /// Reserved for the run of a task that may crash it, in this planning round.
  bool Isolated = false;
  /// It was kept for a gang in the last planning round.
  bool KeptForGang = false;
  /// Being evicted: tasks that are not lasting are stopped as well.
  bool Evicting = false;
  /// When its last report arrived.
  core::TimePoint ReportedAt;
  /// When the first report of this incarnation to this owner arrived. It fenced
  /// earlier owners off there.
  std::optional<core::TimePoint> FencedAt;
  /// The worker's clock in the first and the last report of this incarnation to
  /// this owner; zero before the first one.
  std::int64_t FirstReportClockMs = 0;
  std::int64_t LastReportClockMs = 0;
  /// Its clock showed zero at this time or later.
  core::TimePoint ClockZeroAt;
  /// Starts planned since that report.
  std::uint32_t StartsSinceReport = 0;
  /// Until then, an order for an earlier incarnation may have given this one a
  /// lease: up to \ref EarlierDeadlineMs on this one's clock, unless the worker
  /// has shortened it.
  core::TimePoint EarlierOrdersUntil;
  /// Latest lease end granted to earlier incarnations, on their clocks.
  std::int64_t EarlierDeadlineMs = 0;
  /// This owner has known an earlier incarnation.
  bool Restarted = false;
  /// Highest fence of the orders for earlier incarnations.
  std::uint64_t EarlierFence = 0;
  /// When the next start in flight may become overdue.
  core::TimePoint NextOverdueAt = core::TimePoint::max();
  /// Starts without an answer since the last one that was accepted.
  std::uint32_t UnansweredStarts = 0;
  /// How often the fence was raised.
  std::uint32_t FenceStep = 0;
  /// Raised since the worker's last report.
  bool FenceRaised = false;
  /// A task waits for a report of the worker, which may have restarted unseen.
  bool ReportWanted = false;
  /// Its status in the last planning round, and since when.
  WorkerStatus Status = WorkerStatus::Usable;
  core::TimePoint StatusSince;
};

/// State and decisions of one pool's owner. Performs no I/O: callers pass in
/// events and carry out the orders that \ref plan returns. Not thread-safe.
class PoolState {
public:
  /// \p Token is the fencing token, higher than those of earlier owners;
  /// \p TakenAt is the time of the takeover.
  PoolState(std::string Pool, std::uint64_t Token, core::TimePoint TakenAt,
            OwnerLimits Limits);

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
      Awaited_.insert(Id);
  }
  /// Records that no such job will be added here.
  void forgetAwaited(const std::string &Id) { Awaited_.erase(Id); }
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
  /// Records that a listed worker's machine was removed. Its entry disappears
  /// later; the worker gets nothing until a new incarnation appears.
  void endIncarnation(const std::string &Id);
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
              std::size_t MaxTasks = std::numeric_limits<std::size_t>::max());
  /// Confirms that all batches up to \p Mark are stored, apart from rows that
  /// were set aside.
  void onStored(std::uint64_t Mark);
  /// Records that the store refuses these rows of the batch that was last
  /// taken. Call it before \ref onStored confirms the others. Until its row is
  /// stored, a job's ends are not acknowledged, its suspect tasks don't start
  /// and a worker counts as not enrolled.
  void setAside(const ProgressBatch &Refused);
  bool hasSetAside() const { return !SetAside_.empty(); }
  /// Returns the row that was set aside longest ago, as it is now, to be stored
  /// next; an empty batch if there is none. As for \ref takeChanges, the batch
  /// before must be confirmed.
  ProgressBatch takeSetAside();

  /// Runs one planning round and returns the orders to send.
  Orders plan(const PlanInput &In);

  const JobRecord *findJob(const std::string &Id) const;
  /// The state to show to clients.
  static JobState shownState(const JobRecord &Job);
  /// Number of open jobs of the queue without a started task.
  std::uint32_t pending(const std::string &Queue) const;
  /// Resources reserved by the team's runs in this pool.
  core::Resources teamUse(const std::string &Team) const;
  /// Additional resources that the team's waiting tasks need. A gang counts as
  /// a whole, or not at all if the workers can't hold it beside the team's
  /// runs. \p WallMs is the time of day, in Unix milliseconds.
  core::Resources teamDemand(const std::string &Team,
                             std::int64_t WallMs) const;
  /// What the tasks of that demand need of the team's limit to start: each
  /// alone, a gang as a whole. Equal ones may be left out.
  std::vector<core::Resources> teamUnits(const std::string &Team,
                                         std::int64_t WallMs) const;

  /// The pool's demand; PoolLoad::Machines is left for the caller to set.
  PoolLoad load(core::TimePoint Now, std::int64_t WallMs) const;

  std::uint64_t token() const { return Token_; }
  const std::string &pool() const { return Pool_; }
  /// Returns and resets the counters.
  PoolCounters takeCounters();
  /// Returns and forgets the decisions to stop lasting tasks since the last
  /// call, oldest first.
  std::vector<StopDecision> takeStopDecisions();
  /// Returns and forgets the wait that is longest by its bound, if the last
  /// check found a long one: a lasting task's, or one of another task for which
  /// room is there. Such checks are made about once a second.
  std::optional<LongWait> takeLongWait();
  /// Returns and forgets the crashes of workers since the last call, oldest
  /// first.
  std::vector<CrashRecord> takeCrashRecords();
  /// Returns and forgets the restarts of workers, certain ones and doubts,
  /// since the last call, oldest first.
  std::vector<IncarnationChange> takeIncarnationChanges();
  /// Returns and forgets the runs that lapsed since the last call, oldest
  /// first.
  std::vector<LapsedRuns> takeLapsedRuns();
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
  const std::unordered_map<std::string, std::unique_ptr<WorkerState>> &
  workers() const {
    return Workers_;
  }
  const std::unordered_map<std::string, std::unique_ptr<JobRecord>> &
  jobs() const {
    return Jobs_;
  }
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
  /// Expected run time of a task of the step: the measured mean of its queue,
  /// or the caller's estimate while there are too few samples.
  static double runTimeMs(const JobRecord &Job, const StepSpec &Step);

private:
  friend class LastingDemand;
  friend class StartPlan;
  friend class StragglerPlan;

  JobRecord *jobOf(const std::string &Id);
  JobRecord &makeJob(const JobSpec &Spec, core::TimePoint Now);
  void applyEarlyReports(const JobRecord &Job, core::TimePoint Now);
  void applyKept(JobRecord &Job, const JobProgress &Kept, core::TimePoint Now);
  bool isAwaited(const std::string &Id) const;
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
  void confirmRun(LiveRun &Run, core::TimePoint Now);
  void removeRun(JobRecord &Job, std::uint32_t Task, RunId Run);
  /// Takes the worker's room for a task of the step, without its team's use.
  static void occupy(WorkerState &W, const StepSpec &Step);
  static void vacate(WorkerState &W, const StepSpec &Step);
  void reserve(WorkerState &W, const JobRecord &Job, const StepSpec &Step);
  void release(WorkerState &W, const JobRecord &Job, const StepSpec &Step);
  void markChanged(JobRecord &Job);
  void enrol(const std::string &Id);
  void unenrol(const std::string &Id);
  void advanceStored(std::uint64_t Mark);
  void returnFromAside(JobRecord &Job);
  std::uint64_t markOfBatch() const;
  static ProgressWrite writeOf(const JobRecord &Job);
  bool hasEndsSetAside(const WorkerState &W) const;

  void handleEnd(WorkerState &W, const EndReport &End, core::TimePoint Now);
  void applyEnd(JobRecord &Job, WorkerState &W, const EndReport &End,
                core::TimePoint Now);
  void settleParked(const PlanInput &In);
  void advanceStoredEnds(WorkerState &W);
  void taskDone(JobRecord &Job, std::uint32_t Task);
  void taskFailed(JobRecord &Job, std::uint32_t Task, WorkerState &W,
                  core::TimePoint Now);
  void handleRunning(WorkerState &W, const RunReport &Run,
                     core::TimePoint SentAt, core::TimePoint Now);
  void dropMissing(WorkerState &W, const WorkerReport &Report,
                   std::uint64_t Fence, core::TimePoint SentAt);
  void startIncarnation(WorkerState &W, std::int64_t Born, bool ByReport,
                        core::TimePoint Now);
  void expectLateOrders(WorkerState &W) const;
  void doubtIncarnation(WorkerState &W, std::int64_t Shown, bool ByReport,
                        core::TimePoint Now);
  void applyListedBirth(WorkerState &W, std::int64_t Born, core::TimePoint Now);
  static bool isEarlierIncarnation(const WorkerState &W, std::int64_t Born);
  static bool isUnordered(const WorkerState &W, const WorkerReport &Report,
                          core::TimePoint SentAt);
  void dropRuns(WorkerState &W);
  std::vector<SuspectRun> suspectsOn(const WorkerState &W) const;
  std::vector<SuspectRun> unlistedStarts(const WorkerState &W) const;
  void keepUnlistedStart(JobRecord &Job, std::uint32_t Task, LiveRun Run,
                         core::TimePoint Now);
  void dropCrashed(WorkerState &W, core::TimePoint Now);
  void dropReplaced(WorkerState &W, core::TimePoint Now);
  void dropEnded(WorkerState &W,
                 const std::function<std::vector<SuspectRun>()> &TakeSuspects,
                 core::TimePoint Now);
  void announceSuspects(const WorkerState &W);
  bool hasPossibleCrash(const JobRecord &Job) const;
  bool mayHaveMissedCrash(core::TimePoint Now) const;
  void recordLoss(const WorkerState &W, core::TimePoint Now);
  void settleLost(const WorkerState &W, std::vector<SuspectRun> Suspects,
                  std::size_t Runs, core::TimePoint Now);
  void settleReplaced(std::span<const WorkerEntry> Entries,
                      core::TimePoint Now);
  void countCrash(const SuspectRun &Run, CrashRecord &Record,
                  core::TimePoint Now);
  void clearSuspicion(JobRecord &Job, std::uint32_t Task, LiveRun &Run,
                      core::TimePoint MadeAt);
  std::size_t countPossibleCrashes(const JobRecord &Job,
                                   std::uint32_t Task) const;
  bool mayTryAgain(const JobRecord &Job, std::uint32_t Task) const;
  void setAnnounced(JobRecord &Job, std::uint32_t Task, AnnouncedRun Run);
  void noteOpenOutcomes(core::TimePoint Now);
  void clearLost(const std::string &Worker);
  void settleUnknown(const SuspectRun &Run);
  struct WaitingUnit;
  std::vector<WaitingUnit> waitingUnits(const TeamState &Team,
                                        std::int64_t WallMs) const;
  core::Resources capacityBeside(const TeamState &Team) const;
  static core::Resources needOf(const WaitingUnit &Unit, bool OfWorkers);
  static std::pair<std::uint32_t, std::uint32_t> unitOf(const JobRecord &Job,
                                                        std::uint32_t Task);
  void inheritSuspicion(JobRecord &Job, core::TimePoint Now);
  /// Marks the run to be stopped by the next planning round.
  void stopRun(const JobRecord &Job, std::uint32_t Task, LiveRun &Run,
               StopReason Reason, core::TimePoint Now);
  void recordStop(const JobRecord &Job, std::uint32_t Task, const LiveRun &Run,
                  StopReason Reason, core::TimePoint Now);
  void endJob(JobRecord &Job, JobState State);
  void recordClock(WorkerState &W, std::int64_t ClockMs, core::TimePoint Now);
  static core::TimePoint madeAt(const WorkerState &W, std::int64_t ClockMs);
  std::int64_t leaseFor(const WorkerState &W, const PlanInput &In) const;
  static void recordLease(WorkerState &W, std::int64_t DeadlineMs,
                          core::TimePoint Now);
  core::TimePoint latestLeaseEnd(core::TimePoint From,
                                 core::Duration Length) const;
  core::TimePoint earlierLeasesEnd(const WorkerState &W) const;
  bool mayHaveLaterOwner(const WorkerState &W, const PlanInput &In) const;
  bool mayHaveRestartedUnseen(const WorkerState &W, const PlanInput &In) const;
  std::int64_t leastClockMs(const WorkerState &W, core::TimePoint Now) const;
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

  std::uint64_t arrivingCpu(core::TimePoint Now) const;
  void recordArrival(const JobRecord &Job, core::TimePoint Now);
  void recordRunTime(const JobRecord &Job, const StepSpec &Step,
                     const LiveRun &Run, core::TimePoint Now);
  /// Expected time of a run of the step on the worker, in milliseconds.
  double runTimeOnMs(const JobRecord &Job, const StepSpec &Step,
                     const WorkerState &W) const;
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
  void onUnansweredStart(WorkerState &W, const LiveRun &Run,
                         core::TimePoint Now);
  static bool hasUnanswered(const WorkerState &W);
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
  std::unordered_map<std::string, std::unique_ptr<JobRecord>> Jobs_;
  std::unordered_map<std::string, std::unique_ptr<WorkerState>> Workers_;
  /// Jobs that have not ended, in no particular order.
  std::vector<JobRecord *> Open_;
  /// Jobs that exist and can't be added yet.
  std::set<std::string> Awaited_;
  /// Upper bound on the number of open jobs whose payload is missing.
  std::size_t MissingPayloads_ = 0;
  /// Jobs that have ended, by acceptance time and number.
  std::map<std::pair<std::int64_t, std::uint64_t>, JobRecord *> Finished_;
  std::uint64_t JobCount_ = 0;
  /// Latest acceptance time of the jobs that were dropped.
  std::int64_t DroppedUpToMs_ = std::numeric_limits<std::int64_t>::min();
  std::deque<JobRecord *> Changed_;
  std::uint64_t ChangeCount_ = 0;
  /// All changes up to this one are stored.
  std::uint64_t StoredMark_ = 0;
  /// Job states in the batch that is being stored.
  std::vector<std::pair<std::string, JobState>> Storing_;
  /// Roster changes that are not in a batch yet.
  std::set<std::string> ToEnrol_;
  std::set<std::string> ToUnenrol_;
  /// Roster additions in the batch that is being stored.
  std::vector<WorkerEntry> Enrolling_;
  /// Rows that the store refuses and that are not in a batch, oldest first.
  std::deque<SetAsideRow> SetAside_;
  std::uint64_t NextRun_ = 1;
  /// Least fence step of workers that are listed anew: above that of orders to
  /// those that were forgotten, which may come back under their ids.
  std::uint32_t ForgottenFenceStep_ = 0;
  /// Measured run times by queue.
  std::map<std::string, RunTimes> RunTimes_;
  /// Arrival times of recent jobs and the CPU time of their tasks that are
  /// neither lasting nor filling, in thousandths of a core times milliseconds.
  std::deque<std::pair<core::TimePoint, double>> Arrivals_;
  bool Settled_ = false;
  bool ToStoreSettled_ = false;
  /// Some run may have to be stopped that was not to be stopped before.
  bool StopsChanged_ = true;
  /// When the next stop is due that is known already.
  core::TimePoint NextStopAt_;
  bool Fenced_ = false;
  bool FenceUsedUp_ = false;
  PoolCounters Counters_;
  std::vector<StopDecision> StopDecisions_;
  std::optional<LongWait> LongWait_;
  core::TimePoint WaitsCheckedAt_;
  /// Input of the last planning round.
  PlanInput LastInput_;
  /// Time of the latest event or planning round.
  core::TimePoint Now_;
  CrashLedger Lost_;
  /// A worker has restarted that this owner had not heard before. What had run
  /// there is unknown.
  bool MissedCrash_ = false;
  /// When a worker was last found to have crashed, by its address. The machine
  /// may be the cause, and a restarted worker may have another id.
  std::map<std::string, core::TimePoint> CrashedAt_;
  std::vector<CrashRecord> CrashRecords_;
  std::vector<IncarnationChange> IncarnationChanges_;
  std::vector<LapsedRuns> LapsedRuns_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_POOLSTATE_H
