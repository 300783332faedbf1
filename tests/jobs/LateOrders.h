#ifndef COMFREYDECK_TESTS_JOBS_LATEORDERS_H
#define COMFREYDECK_TESTS_JOBS_LATEORDERS_H

#include "jobs/JobSamples.h"

#include <functional>
#include <random>

/// Plays a steady load on one pool whose workers never fail, on a virtual
/// clock, and measures what callers get while orders to the workers have no
/// answer and are carried out seconds late.
namespace comfreydeck::jobs {

/// What happens to a share of the orders during the trouble.
struct LateOrderOptions {
  std::uint64_t Seed = 1;
  double LateStarts = 0;
  double LateStops = 0;
  double LateReports = 0;
  /// Share of runs that fail, instead of late orders.
  double FailingRuns = 0;
  /// Share of orders that the workers refuse without effect.
  double RefusedOrders = 0;
  /// How long orders wait in the owner's entry before they are sent.
  milliseconds SendDelay{0};
  /// No read confirms the ownership.
  bool OwnershipUnconfirmed = false;
};

struct LateOrderResult {
  /// Empty if no invariant was violated.
  std::string Fault;
  /// Jobs that arrived during the trouble and were not cancelled, and how many
  /// of them were completed within twice their work and 600 ms.
  std::uint32_t Jobs = 0;
  std::uint32_t InTime = 0;
  /// Jobs of the whole play that were not completed.
  std::uint32_t Unfinished = 0;
  /// Times of these jobs; one that did not end counts until the end of the
  /// play.
  std::vector<double> TimesMs;
  /// Mean share of the workers by status, over the trouble.
  std::array<double, WorkerStatusCount> Workers{};
  /// How often the owner raised a worker's fence in the whole play, and how
  /// many reports it requested during the trouble.
  std::uint32_t FencesRaised = 0;
  std::uint32_t ReportsRequested = 0;
  /// Runs whose leases expired. No worker is out of reach, so that each could
  /// have been extended.
  std::uint32_t Lapsed = 0;
  /// Work of runs, other than those of lasting tasks, that lapsed or were
  /// stopped though their jobs go on.
  double WastedCoreSeconds = 0;
  /// Longest time that a lasting task was not at work after its first start.
  core::Duration LongestAbsence{0};
};

class LateOrders {
public:
  explicit LateOrders(const LateOrderOptions &Options);

  LateOrderResult play();

private:
  struct Run {
    TaskRef Task;
    RunId Id = 0;
    core::TimePoint StartedAt;
    core::TimePoint EndsAt;
    RunEnd How = RunEnd::Done;
    bool Stopping = false;
  };
  /// A report request that waits for an end.
  struct Poll {
    core::TimePoint Until;
    std::function<void()> Answer;
  };
  struct Worker {
    std::string Id;
    /// The clock's share of real time.
    double Rate = 1;
    std::uint64_t Fence = 0;
    std::int64_t LeaseEndMs = 0;
    std::uint64_t LastEnd = 0;
    std::vector<Run> Running;
    std::vector<EndReport> Ended;
    std::map<TaskRef, RunId> Highest;
    std::vector<Poll> Polls;
    std::uint32_t Calls = 0;
    std::deque<std::function<bool()>> Queue;
  };
  struct Job {
    JobSpec Spec;
    core::TimePoint At;
    milliseconds Work{0};
    bool Cancelled = false;
    bool Counted = false;
    std::optional<core::TimePoint> DoneAt;
  };
  bool inTrouble() const;
  bool chance(double Share);
  milliseconds draw(int FromMs, int ToMs);
  void at(core::TimePoint Time, std::function<void()> Do);
  void after(milliseconds Time, std::function<void()> Do);
  void arrive();
  void addLastingJob();
  void send(const Orders &Out);
  void deliver(Worker &W, double LateShare,
               const std::function<OrderOutcome()> &CarryOut,
               const std::function<void(OrderResult)> &Answer);
  void sendStart(const StartOrder &Order);
  void sendStop(const StopOrder &Order);
  void sendHold(const HoldOrder &Given);
  template <typename Order>
  void give(const Order &Given, std::function<void()> Send,
            std::function<void()> Withhold);
  void call(const std::string &Id, std::function<void()> Send,
            std::function<void()> Withhold);
  void endCall(Worker &W);
  OrderOutcome start(Worker &W, const StartOrder &Order);
  OrderOutcome stop(Worker &W, const StopOrder &Order);
  ReportResult report(Worker &W);
  bool hold(Worker &W, const HoldOrder &Order);
  void extend(Worker &W, std::int64_t DeadlineMs);
  void workerSteps();
  void endRun(Worker &W, const Run &R, RunEnd How);
  void answerPolls(Worker &W);
  void store();
  void countDone();
  void watch();
  void fail(const std::string &What);
  std::int64_t wallMs() const;
  std::int64_t clockMs(const Worker &W) const;
  bool isLasting(const TaskRef &Task) const;
  std::uint32_t percentOf(const Run &R) const;

  LateOrderOptions Options_;
  std::mt19937_64 Random_;
  OwnerFixture B_;
  core::TimePoint Begin_;
  std::multimap<core::TimePoint, std::function<void()>> Events_;
  std::map<std::string, Worker> Workers_;
  std::map<std::string, Job> Jobs_;
  std::string LastingId_;
  std::map<TaskRef, core::TimePoint> LastAtWork_;
  std::set<TaskRef> AcknowledgedTasks_;
  std::optional<std::uint64_t> StoringMark_;
  core::TimePoint StoredAt_;
  std::uint32_t Samples_ = 0;
  LateOrderResult Result_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_TESTS_JOBS_LATEORDERS_H
