#ifndef COMFREYDECK_JOBS_STARTPLAN_P_H
#define COMFREYDECK_JOBS_STARTPLAN_P_H

#include "jobs/Placement_p.h"
#include "jobs/PoolState.h"

namespace comfreydeck::jobs {

/// Decides which tasks start now and where. Used for one planning round.
class StartPlan {
public:
  StartPlan(PoolState &Owner, const PlanInput &In);

  /// Returns the starts and reserves their resources.
  std::vector<StartOrder> run();
  /// Whether PlanInput::MaxStarts is reached.
  bool isBounded() const { return Starts_.size() >= In_.MaxStarts; }
  /// The wait of a task that is longest by its bound if it is long, apart from
  /// tasks that are not lasting and only wait for their turn. Call after
  /// \ref run.
  std::optional<LongWait> findLongWait();
  /// Counts the waits of all tasks. Call it on a plan of its own, after the
  /// round whose outcome is of interest.
  void countWaits(PoolGauges &Census);

private:
  /// How long a lasting task or gang waits before other tasks leave room for
  /// it.
  static constexpr std::chrono::milliseconds KeepRoomAfter{1000};
  /// The same for a gang that ends by itself.
  static constexpr std::chrono::milliseconds KeepGangRoomAfter{5000};

  struct Candidate {
    JobRecord *Job = nullptr;
    bool Lasting = false;
    bool Late = false;
    /// Must start soon to be in time.
    bool Urgent = false;
    std::uint32_t Priority = 0;
    double DeadlineMs = 0;
    /// Of a lasting job: since when a task of it has had no run.
    core::TimePoint WaitingSince;
    /// CPU time of the unfinished tasks, in thousandths of a core times
    /// milliseconds.
    double RemainingWork = 0;
  };

  void findUsable();
  /// Why none of the job's tasks may start yet, wherever there is room.
  std::optional<WaitReason> heldBackBy(const JobRecord &Job) const;
  bool isHeldBack(const JobRecord &Job) const {
    return heldBackBy(Job).has_value();
  }
  Candidate assess(JobRecord &Job);
  static bool before(const Candidate &A, const Candidate &B);
  static bool isLater(const Candidate &A, const Candidate &B) {
    return before(B, A);
  }
  /// Whether some waiting task of the job may fit. Free resources only decrease
  /// during planning, so a job that does not fit is not considered again.
  bool mayFit(JobRecord &Job) const;
  /// Sends announced runs, starts tasks that have crashed several workers on
  /// workers of their own, and reserves workers for those that wait.
  void planSuspects();
  /// A task or gang that waits for workers of its own.
  struct IsolatedUnit {
    JobRecord *Job = nullptr;
    std::uint32_t First = 0;
  };
  std::vector<IsolatedUnit> findIsolated();
  std::size_t suspectsPerWorker(std::size_t Waiting) const;
  bool haveManyCrashed() const;
  bool mayHaveHiddenCrashes(const JobRecord &Job, std::uint32_t Task) const;
  bool mayShareWorker(const JobRecord &Job, std::uint32_t Task) const;
  bool startBeside(WorkerState &W, std::span<const IsolatedUnit> Others,
                   std::size_t Most);
  void announce(JobRecord &Job, std::uint32_t Task, bool Shared = false);
  bool mustReportFirst(const WorkerState &W, const LiveRun &Run) const;
  void sendAnnounced(JobRecord &Job, std::uint32_t First, std::uint32_t Last);
  void forgetAnnounced(JobRecord &Job, std::uint32_t Task);
  void noteSuspectRuns(JobRecord &Job, std::uint32_t Task);
  void planIsolatedTask(JobRecord &Job, std::uint32_t Task,
                        std::span<const IsolatedUnit> Others, std::size_t Most);
  void planIsolatedGang(JobRecord &Job, std::uint32_t First);
  WorkerState *chooseForIsolation(JobRecord &Job, std::uint32_t Task) const;
  void isolate(WorkerState &W);
  bool reserveRoomForGang(JobRecord &Job, std::uint32_t First);
  bool isQuiet(const WorkerState &W) const;
  bool isClear(const WorkerState &W) const;
  bool hasWaitedIsolated(const JobRecord &Job, std::uint32_t Task) const;
  bool mayIsolateOn(const WorkerState &W, bool Waited) const;
  bool hasCrashedLately(const WorkerState &W) const;
  bool isIsolated(const JobRecord &Job, std::uint32_t Task) const;
  bool isSuspect(const JobRecord &Job, std::uint32_t Task) const;
  bool mustNote(const JobRecord &Job, std::uint32_t Task) const;
  bool mustAnnounce(const JobRecord &Job, std::uint32_t Task) const;
  StartOrder orderFor(const JobRecord &Job, std::uint32_t Task, WorkerState &W,
                      RunId Run) const;
  void planJob(JobRecord &Job);
  void planGang(JobRecord &Job, std::uint32_t First);
  /// What of a worker's load its score depends on.
  struct WorkerLoad {
    core::Resources Free;
    std::uint32_t Lasting = 0;
    std::uint32_t Serving = 0;
    std::uint32_t Filling = 0;
  };
  static WorkerLoad loadOf(const WorkerState &W);
  static void addTo(WorkerLoad &Load, const StepSpec &Step);
  /// A worker that can take members of a gang.
  struct GangHost {
    WorkerState *Worker = nullptr;
    /// Members that it can take beside those that were placed.
    std::uint32_t Places = 0;
    std::uint32_t Placed = 0;
    WorkerLoad Load;
    /// A member got no start there in the last try.
    bool GaveNoStart = false;
  };
  /// The worker of each member of a gang, and the sum of their scores.
  struct GangPlacement {
    std::vector<WorkerState *> Workers;
    double Score = 0;
  };
  std::vector<GangHost> findGangHosts(JobRecord &Job,
                                      std::uint32_t First) const;
  GangPlacement placeMembers(std::vector<GangHost> Hosts, JobRecord &Job,
                             std::uint32_t First) const;
  static std::uint64_t countPlaces(std::span<const GangHost> Hosts);
  GangPlacement placeInOneRack(std::span<const GangHost> Hosts, JobRecord &Job,
                               std::uint32_t First) const;
  std::vector<WorkerState *> placeGang(JobRecord &Job,
                                       std::uint32_t First) const;
  bool mayWaitForRack(const JobRecord &Job, std::uint32_t First) const;
  bool mayRackHold(const StepSpec &Step) const;
  /// Workers that will hold a gang, and when.
  struct GangRoom {
    std::vector<WorkerState *> Workers;
    double Ms = 0;
    /// Workers that were kept in the last round.
    std::size_t KeptBefore = 0;
  };
  /// A gang that waits, and for how long.
  struct GangWait {
    JobRecord *Job = nullptr;
    std::uint32_t First = 0;
    core::Duration Age{0};
  };
  void keepRoomForGang(std::span<const Candidate> Waiting);
  std::vector<GangWait> findWaitingGangs(std::span<const Candidate> Waiting);
  core::Duration gangAge(const JobRecord &Job, std::uint32_t First) const;
  bool goesBehind(JobRecord &Job, std::span<const Candidate> Waiting);
  static bool isLikeOneWithoutRoom(const StepSpec &Step,
                                   std::span<const StepSpec *const> Tried);
  std::optional<GangRoom>
  findGangRoom(const JobRecord &Job, std::uint32_t First,
               const std::set<const WorkerState *> &KeptBefore) const;
  std::optional<GangRoom>
  findGangRoomAmong(std::span<WorkerState *const> Workers, const StepSpec &Step,
                    const std::set<const WorkerState *> &KeptBefore) const;
  bool mayStartGang(const JobRecord &Job, std::uint32_t First) const;
  bool mustWithholdAny(const JobRecord &Job, std::uint32_t First,
                       std::span<WorkerState *const> Places) const;
  void takeBack(JobRecord &Job, std::uint32_t Task, RunId Run);
  bool mayStart(const JobRecord &Job, std::uint32_t Task) const;
  /// Why the task may not start before a later time.
  std::optional<WaitReason> delayOf(const JobRecord &Job,
                                    std::uint32_t Task) const;
  static bool hasTeamRoom(const JobRecord &Job, const StepSpec &Step,
                          std::uint32_t Count);
  void findWantedRacks();
  bool isSparedFor(const WorkerState &W, const StepSpec &Step) const;
  double rackBusyMs(const std::string &Rack) const;
  double rackWaitLeftMs(const JobRecord &Job, std::uint32_t Task) const;
  bool mayWaitForRackInsteadOf(const WorkerState &Chosen, JobRecord &Job,
                               std::uint32_t Task) const;
  bool waitsForRackInsteadOf(const WorkerState &Chosen, JobRecord &Job,
                             std::uint32_t Task);
  bool isKnownUnplaceable(const StepSpec &Step) const;
  static core::Resources freeOn(const WorkerState &W);
  /// What the worker has left once everything on it that ends by itself has
  /// ended.
  static core::Resources roomBesideLasting(const WorkerState &W);
  WorkerState *chooseWorker(JobRecord &Job, std::uint32_t Task) const;
  bool canTake(const WorkerState &W) const;
  /// Whether the worker can take starts, though it may be closed.
  bool isSound(const WorkerState &W) const;
  /// Whether the worker could take starts if its runs hadn't failed or been
  /// slow.
  bool isOnlyQuarantined(const WorkerState &W) const;
  /// Whether suspects may start there, or have it reserved.
  bool mayReserve(const WorkerState &W) const {
    return canTake(W) && &W != LeftToLasting_;
  }
  /// Whether it can, though its runs may have failed or been slow as well, or
  /// it may be reserved.
  bool canAnswer(const WorkerState &W) const;
  bool meetsConstraints(const WorkerState &W, JobRecord &Job,
                        std::uint32_t Task, const StepSpec &Step) const;
  bool mayHost(const WorkerState &W, const StepSpec &Step) const;
  static bool hasRunOn(const WorkerState &W, const JobRecord &Job,
                       std::uint32_t Task);
  static bool hasSpread(const WorkerState &W, JobRecord &Job,
                        std::uint32_t Task, const StepSpec &Step);
  PlacementCounts countPlacements(JobRecord &Job, std::uint32_t Task) const;
  /// Why the task, which is ready and not done, has no run, or may have none.
  /// Call after \ref findForReasons.
  WaitReason reasonOf(JobRecord &Job, std::uint32_t Task) const;
  WaitReason placementReason(JobRecord &Job, std::uint32_t Task) const;
  void findForReasons();
  bool exceedsCapacity(const StepSpec &Step) const;
  WaitReason gangReason(JobRecord &Job, std::uint32_t First) const;
  static std::uint32_t placesIn(const core::Resources &Free,
                                const StepSpec &Step);
  std::uint32_t countPlaces(const WorkerState &W, JobRecord &Job,
                            std::uint32_t Task, const StepSpec &Step) const;
  TaskWait waitOf(JobRecord &Job, std::uint32_t Task) const;
  core::Duration ageOf(const JobRecord &Job, std::uint32_t Task) const;
  bool isQueued(JobRecord &Job, std::uint32_t Task) const;
  bool isHalfFree() const;
  /// A task that has waited for long.
  struct LongWaiting {
    /// Of the time within which it must run.
    double Share = 0;
    JobRecord *Job = nullptr;
    std::uint32_t Task = 0;
  };
  void noteLongWait(JobRecord &Job, LongWaiting &Longest) const;
  double score(const WorkerState &W, const WorkerLoad &Load,
               const JobRecord &Job, std::uint32_t Task,
               const StepSpec &Step) const;
  static double besideSuspects(std::uint32_t Members);
  double memberScore(const GangHost &Host, const JobRecord &Job,
                     std::uint32_t Task) const;
  static std::uint32_t countStepRuns(const WorkerState &W, JobRecord &Job,
                                     std::uint32_t Task);
  void start(JobRecord &Job, std::uint32_t Task, WorkerState &W, RunId Run);
  void planWaiting();
  /// Plans the jobs at the front of the heap that are lasting or not.
  void planCandidates(std::vector<Candidate> &Heap, bool Lasting);
  static bool isBeingStopped(const JobRecord &Job, std::uint32_t Task);
  static bool isBeingStoppedOn(const WorkerState &W, const JobRecord &Job,
                               std::uint32_t Task);
  /// Makes room for lasting tasks that wait, and moves those on closed workers.
  void planLastingMoves();
  bool waitsForRoom(const JobRecord &Job, std::uint32_t Task) const;
  const WorkerState *findPlaceForLasting() const;
  void planStillWaiting(std::span<WorkerState *const> Closed);
  std::vector<WorkerState *>::iterator chooseToKeep(JobRecord &Job,
                                                    std::uint32_t Task);
  bool keepWorker(JobRecord &Job, std::uint32_t Task);
  double leftMs(const WorkerState &W, const JobRecord &Job,
                std::uint32_t Task) const;
  struct ExpectedEnd {
    double InMs = 0;
    core::Resources Freed;
  };
  std::vector<ExpectedEnd> endsOn(const WorkerState &W) const;
  static void addTo(core::Resources &Free, const core::Resources &Freed);
  std::optional<double> msUntilRoom(const WorkerState &W,
                                    const StepSpec &Step) const;
  bool holdPlace(JobRecord &Job, std::uint32_t Task);
  void holdPlaceOn(WorkerState &W, JobRecord &Job, std::uint32_t Task);
  void holdPlacesAhead(WorkerState &W);
  bool mayLeave(const JobRecord &Job, std::uint32_t Task) const;
  void moveLasting(WorkerState &W);
  static bool hasGang(const JobRecord &Job);
  static bool isBreaking(const JobRecord &Job, std::uint32_t First);
  bool isPaused(const JobRecord &Job, std::uint32_t First) const;
  static core::TimePoint gangStartedAt(const JobRecord &Job,
                                       std::uint32_t First);
  bool isPresent(const JobRecord &Job, std::uint32_t Task) const;
  bool waitsInVain(const JobRecord &Job, std::uint32_t First) const;
  bool isIncomplete(const JobRecord &Job, std::uint32_t First) const;
  void planBreakingGangs();
  void stopRest(JobRecord &Job, std::uint32_t First);
  class GangTakenOff;
  bool holdGang(JobRecord &Job, std::uint32_t First);
  void moveGang(WorkerState &W, JobRecord &Job, std::uint32_t Task);
  static bool keepsLasting(const WorkerState &W);
  bool moveAmongClosed(WorkerState &W, std::span<WorkerState *const> Later);
  WorkerState *chooseClosed(JobRecord &Job, std::uint32_t Task,
                            std::span<WorkerState *const> Closed) const;
  WorkerState *chooseQuarantined(JobRecord &Job, std::uint32_t Task) const;
  void stopOn(const WorkerState &W, JobRecord &Job, std::uint32_t Task,
              StopReason Reason);
  bool mayEmptyWithoutPlaces() const;
  bool emptyWithoutPlaces(WorkerState &W);
  bool isAnnouncedOn(const JobRecord &Job, std::uint32_t Task,
                     const WorkerState &W) const;
  bool mustWithhold(const JobRecord &Job, std::uint32_t Task,
                    const WorkerState &W) const;
  /// A task that doesn't start in this round, and the worker that was chosen
  /// for it, which keeps its room until the round's end.
  struct HeldRoom {
    const JobRecord *Job = nullptr;
    std::uint32_t Task = 0;
    WorkerState *Worker = nullptr;
  };
  static void releasePlaces(std::vector<HeldRoom> &Places);
  void withhold(const JobRecord &Job, std::uint32_t Task, WorkerState &W);
  bool isWithheld(const JobRecord &Job, std::uint32_t Task) const;
  void releaseWithheld();
  RunId nextRun();

  PoolState &Owner_;
  const PlanInput &In_;
  bool MayStartInherited_;
  bool MayHaveMissedCrash_;
  std::vector<WorkerState *> Usable_;
  /// Listed workers, without those that are no larger than another one with the
  /// same labels.
  std::vector<const WorkerState *> Largest_;
  /// Number of workers reserved for tasks that may crash them, and how many may
  /// be.
  std::size_t Reserved_ = 0;
  std::size_t MaxReserved_ = 0;
  /// Workers that could take starts before any was reserved in this round.
  std::vector<WorkerState *> Takers_;
  /// Workers that only their failed or slow runs kept from that.
  std::vector<WorkerState *> Quarantined_;
  /// Is left to a lasting task that has waited for long: no suspect gets it.
  const WorkerState *LeftToLasting_ = nullptr;
  /// Workers that were reserved in the last round.
  std::set<const WorkerState *> ReservedBefore_;
  /// Number of runs of suspect tasks by worker.
  std::map<const WorkerState *, std::uint32_t> Suspects_;
  /// Maximum of each free resource over the usable workers.
  core::Resources MostFree_;
  /// Number of workers on which only lasting tasks may start in this round, so
  /// that room comes together there.
  std::size_t KeptWorkers_ = 0;
  /// Resource needs for which no worker had room.
  std::vector<core::Resources> Unplaced_;
  std::set<std::string_view> WantedRacks_;
  /// CPU time of the tasks that wait for a rack in this round, in thousandths
  /// of a core times milliseconds.
  std::map<std::string, double> RackWaits_;
  std::vector<StartOrder> Starts_;
  /// Starts that wait for a report.
  std::vector<HeldRoom> Withheld_;
  /// Places of lasting tasks that are to start elsewhere.
  std::vector<HeldRoom> HeldPlaces_;
  /// Places that the closed worker which is emptied first needs next.
  std::vector<HeldRoom> PlacesAhead_;
  /// Run time of the longest chain up to each step of one job, in milliseconds:
  /// in total, and for the unfinished steps.
  std::vector<double> ChainMs_;
  std::vector<double> ChainLeftMs_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_STARTPLAN_P_H
