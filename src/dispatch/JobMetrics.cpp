#include "dispatch/JobMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <tuple>

namespace comfreydeck::dispatch {

namespace {

using CounterFamily = prometheus::Family<prometheus::Counter>;
using GaugeFamily = prometheus::Family<prometheus::Gauge>;
using HistogramFamily = prometheus::Family<prometheus::Histogram>;

constexpr double MsInSecond = 1000;

double inSeconds(core::Duration Time) { return core::inMs(Time) / MsInSecond; }

CounterFamily &counters(prometheus::Registry &In, const char *Name,
                        const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(In);
}

GaugeFamily &gauges(prometheus::Registry &In, const char *Name,
                    const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(In);
}

HistogramFamily &histograms(prometheus::Registry &In, const char *Name,
                            const char *Help) {
  return prometheus::BuildHistogram().Name(Name).Help(Help).Register(In);
}

void observe(HistogramFamily &Family, const prometheus::Labels &Labels,
             const core::DurationHistogram &Bins) {
  prometheus::Histogram::BucketBoundaries Bounds;
  for (core::Duration Bound : core::DurationHistogram::Bounds)
    Bounds.push_back(inSeconds(Bound));
  std::vector<double> Counts(Bins.Counts.begin(), Bins.Counts.end());
  Family.Add(Labels, Bounds).ObserveMultiple(Counts, inSeconds(Bins.Sum));
}

/// Adds the counts of each enum value; values that never occurred are not
/// exported.
template <typename Enum, std::size_t Values>
void add(CounterFamily &Family, const std::string &Pool, const char *Label,
         const std::array<std::uint64_t, Values> &Counts) {
  for (std::size_t V = 0; V < Values; ++V)
    if (Counts[V] > 0)
      Family.Add({{"pool", Pool}, {Label, nameOf(static_cast<Enum>(V))}})
          .Increment(static_cast<double>(Counts[V]));
}

} // namespace

struct JobMetrics::Impl {
  prometheus::Registry Registry;
  CounterFamily &Answers =
      counters(Registry, "comfreydeck_job_answers_total",
               "Answers to callers by call, status and reason");
  CounterFamily &Retries = counters(Registry, "comfreydeck_job_retries_total",
                                    "Second tries by reason");
  CounterFamily &RefusedRows =
      counters(Registry, "comfreydeck_job_refused_rows_total",
               "Rows of pools that the store refused and that were set aside "
               "by kind");
  HistogramFamily &Times = histograms(Registry, "comfreydeck_job_call_seconds",
                                      "Time from a call to its answer");

  HistogramFamily &LoopWaits =
      histograms(Registry, "comfreydeck_job_loop_wait_seconds",
                 "How long work waited for the control thread, sampled");
  GaugeFamily &LoopWaitMost =
      gauges(Registry, "comfreydeck_job_loop_wait_most_seconds",
             "Longest sampled wait of the last period");
  GaugeFamily &OwnTimeError =
      gauges(Registry, "comfreydeck_job_own_time_error_seconds",
             "The machine's own time of day less the agreed one");
  GaugeFamily &LoopBusy = gauges(
      Registry, "comfreydeck_job_loop_busy_share",
      "Estimated share of the last period in which the control thread worked");
  CounterFamily &Relayed =
      counters(Registry, "comfreydeck_job_relayed_total",
               "Orders and batches of orders that entries send for one another "
               "by what became of them");
  CounterFamily &LoopFailures =
      counters(Registry, "comfreydeck_job_loop_failures_total",
               "Functions of the control thread that ended with an exception");
  CounterFamily &Calls =
      counters(Registry, "comfreydeck_job_http_total",
               "Calls that ended and what became of them by kind of host");

  HistogramFamily &Plans = histograms(Registry, "comfreydeck_job_plan_seconds",
                                      "How long a planning took by pool");
  HistogramFamily &PlanWaits =
      histograms(Registry, "comfreydeck_job_plan_wait_seconds",
                 "How long a planning waited for the control thread by pool");
  HistogramFamily &OutOfUse =
      histograms(Registry, "comfreydeck_job_worker_out_of_use_seconds",
                 "How long workers were out of use by pool and standing");
  HistogramFamily &Unconfirmed = histograms(
      Registry, "comfreydeck_job_run_unsure_seconds",
      "Time from a start until it was known what became of it by pool");
  HistogramFamily &ReportAges =
      histograms(Registry, "comfreydeck_job_report_age_seconds",
                 "Age of the worker's report behind a start by pool");
  HistogramFamily &Stores =
      histograms(Registry, "comfreydeck_job_store_seconds",
                 "Time until a batch of progress was stored by pool");
  CounterFamily &RepeatedBatches =
      counters(Registry, "comfreydeck_job_repeated_batches_total",
               "Batches of progress that were sent more than once by pool and "
               "by how they were settled");
  GaugeFamily &UnstoredFor =
      gauges(Registry, "comfreydeck_job_pool_unstored_seconds",
             "How long the batch that is not stored yet has been under way by "
             "pool");
  CounterFamily &Starts = counters(Registry, "comfreydeck_job_starts_total",
                                   "Starts ordered by pool");
  CounterFamily &StartAnswers =
      counters(Registry, "comfreydeck_job_start_answers_total",
               "Answers of workers to starts by pool and outcome");
  CounterFamily &Reports =
      counters(Registry, "comfreydeck_job_worker_reports_total",
               "Answers of workers that were asked for a report by pool and "
               "outcome");
  CounterFamily &Ends = counters(Registry, "comfreydeck_job_ends_total",
                                 "Runs that workers listed as ended by pool "
                                 "and kind");
  CounterFamily &Lapsed =
      counters(Registry, "comfreydeck_job_lapsed_total",
               "Runs given up with their worker's lease by pool");
  CounterFamily &AnswersAhead =
      counters(Registry, "comfreydeck_job_answers_ahead_total",
               "Answers of workers dated after their arrival by pool");
  CounterFamily &Crashes =
      counters(Registry, "comfreydeck_job_worker_crashes_total",
               "Workers that crashed with runs by pool");
  CounterFamily &GivenUp =
      counters(Registry, "comfreydeck_job_given_up_total",
               "Jobs that failed as workers crashed under a task by pool");
  GaugeFamily &OpenJobs =
      gauges(Registry, "comfreydeck_job_pool_jobs", "Open jobs by pool");
  GaugeFamily &Runs =
      gauges(Registry, "comfreydeck_job_pool_runs", "Live runs by pool");
  GaugeFamily &Waiting =
      gauges(Registry, "comfreydeck_job_pool_waiting",
             "Tasks that could run and don't by pool and reason");
  GaugeFamily &LongestWait =
      gauges(Registry, "comfreydeck_job_pool_longest_wait_seconds",
             "Longest wait of a task that could run and doesn't by pool, kind "
             "of task and reason");
  GaugeFamily &LongestByReason =
      gauges(Registry, "comfreydeck_job_pool_longest_wait_by_reason_seconds",
             "Longest wait of a task that could run and doesn't by pool and "
             "reason");
  HistogramFamily &TaskWaits =
      histograms(Registry, "comfreydeck_job_pool_wait_seconds",
                 "How long waiting tasks have waited, sampled each period, by "
                 "pool and reason");
  GaugeFamily &Workers = gauges(Registry, "comfreydeck_job_pool_workers",
                                "Workers by pool and standing");
  GaugeFamily &Unapplied =
      gauges(Registry, "comfreydeck_job_pool_unapplied_jobs",
             "Jobs that are known and could not be applied by pool and reason");
  GaugeFamily &LongestUnapplied =
      gauges(Registry, "comfreydeck_job_pool_longest_unapplied_seconds",
             "Time since a job that is known could not be applied, of the one "
             "for which it is longest, by pool and reason");
  GaugeFamily &MaxStartsPerReport =
      gauges(Registry, "comfreydeck_job_pool_most_starts_by_one_report",
             "Most starts decided by one report in the last period by pool");

  /// Caches metrics that every request updates, since a lookup by labels costs
  /// more than the increment. Keyed by the addresses of the names.
  std::mutex Mutex;
  std::map<std::tuple<const char *, int, const char *>, prometheus::Counter *>
      KnownAnswers;
  std::map<const char *, prometheus::Counter *> KnownRetries;
  std::map<const char *, prometheus::Histogram *> KnownTimes;
  /// Exported gauges of each pool that this entry owns.
  std::map<std::string,
           std::vector<std::pair<GaugeFamily *, prometheus::Gauge *>>>
      Shown;

  void show(GaugeFamily &Family, const std::string &Pool,
            prometheus::Labels Labels, double Value) {
    Labels["pool"] = Pool;
    prometheus::Gauge &Gauge = Family.Add(Labels);
    Gauge.Set(Value);
    Shown[Pool].emplace_back(&Family, &Gauge);
  }
};

JobMetrics::JobMetrics() : Impl_(std::make_unique<Impl>()) {}
JobMetrics::~JobMetrics() = default;

void JobMetrics::recordAnswer(const char *Call, int Status,
                              const char *Reason) {
  std::lock_guard<std::mutex> Lock(Impl_->Mutex);
  prometheus::Counter *&Known = Impl_->KnownAnswers[{Call, Status, Reason}];
  if (!Known)
    Known = &Impl_->Answers.Add({{"call", Call},
                                 {"status", std::to_string(Status)},
                                 {"reason", Reason}});
  Known->Increment();
}

void JobMetrics::recordRetry(const char *Reason) {
  std::lock_guard<std::mutex> Lock(Impl_->Mutex);
  prometheus::Counter *&Known = Impl_->KnownRetries[Reason];
  if (!Known)
    Known = &Impl_->Retries.Add({{"reason", Reason}});
  Known->Increment();
}

void JobMetrics::recordRefusedRow(const char *Kind) {
  Impl_->RefusedRows.Add({{"kind", Kind}}).Increment();
}

void JobMetrics::recordLatency(const char *Call, double Seconds) {
  static const prometheus::Histogram::BucketBoundaries Bounds = {
      0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5};
  std::lock_guard<std::mutex> Lock(Impl_->Mutex);
  prometheus::Histogram *&Known = Impl_->KnownTimes[Call];
  if (!Known)
    Known = &Impl_->Times.Add({{"call", Call}}, Bounds);
  Known->Observe(Seconds);
}

void JobMetrics::pool(const PoolStats &F) {
  Impl &I = *Impl_;
  std::lock_guard<std::mutex> Lock(I.Mutex);
  prometheus::Labels Labels = {{"pool", F.Pool}};
  observe(I.Plans, Labels, F.Plans);
  observe(I.PlanWaits, Labels, F.Waits);
  observe(I.Stores, Labels, F.Stores);
  I.RepeatedBatches.Add({{"pool", F.Pool}, {"settled", "found"}})
      .Increment(static_cast<double>(F.FoundBatches));
  I.RepeatedBatches.Add({{"pool", F.Pool}, {"settled", "written"}})
      .Increment(static_cast<double>(F.RepeatedBatches - F.FoundBatches));
  observe(I.ReportAges, Labels, F.PeriodCounts.ReportAge);
  observe(I.Unconfirmed, Labels, F.PeriodCounts.Unconfirmed);
  for (std::size_t V = 0; V < jobs::WorkerStatusCount; ++V)
    if (F.PeriodCounts.OutOfUse[V].Total > 0)
      observe(I.OutOfUse,
              {{"pool", F.Pool},
               {"standing", nameOf(static_cast<jobs::WorkerStatus>(V))}},
              F.PeriodCounts.OutOfUse[V]);
  for (std::size_t V = 0; V < jobs::WaitReasonCount; ++V)
    if (F.Gauges.Waits[V].Total > 0)
      observe(I.TaskWaits,
              {{"pool", F.Pool},
               {"reason", nameOf(static_cast<jobs::WaitReason>(V))}},
              F.Gauges.Waits[V]);
  I.Starts.Add(Labels).Increment(static_cast<double>(F.PeriodCounts.Starts));
  I.Lapsed.Add(Labels).Increment(static_cast<double>(F.PeriodCounts.Lapsed));
  I.Crashes.Add(Labels).Increment(static_cast<double>(F.PeriodCounts.Crashes));
  I.AnswersAhead.Add(Labels).Increment(
      static_cast<double>(F.PeriodCounts.AnswersAhead));
  I.GivenUp.Add(Labels).Increment(static_cast<double>(F.PeriodCounts.GivenUp));
  add<jobs::OrderOutcome>(I.StartAnswers, F.Pool, "outcome",
                          F.PeriodCounts.StartAnswers);
  add<jobs::OrderOutcome>(I.Reports, F.Pool, "outcome",
                          F.PeriodCounts.ReportAnswers);
  add<jobs::RunEnd>(I.Ends, F.Pool, "kind", F.PeriodCounts.Ends);
  I.Shown.erase(F.Pool);
  I.show(I.OpenJobs, F.Pool, {}, static_cast<double>(F.Gauges.OpenJobs));
  I.show(I.Runs, F.Pool, {}, static_cast<double>(F.Gauges.Runs));
  I.show(I.UnstoredFor, F.Pool, {}, inSeconds(F.UnstoredFor));
  I.show(I.MaxStartsPerReport, F.Pool, {}, F.PeriodCounts.MaxStartsPerReport);
  for (std::size_t V = 0; V < jobs::WaitReasonCount; ++V)
    I.show(I.Waiting, F.Pool,
           {{"reason", nameOf(static_cast<jobs::WaitReason>(V))}},
           static_cast<double>(F.Gauges.Waiting[V]));
  for (std::size_t V = 0; V < jobs::WaitReasonCount; ++V)
    if (F.Gauges.Waits[V].Total > 0)
      I.show(I.LongestByReason, F.Pool,
             {{"reason", nameOf(static_cast<jobs::WaitReason>(V))}},
             inSeconds(F.Gauges.Waits[V].Max));
  const std::pair<const char *, const std::optional<jobs::TaskWait> &>
      Longest[] = {{"lasting", F.Gauges.LongestLastingWait},
                   {"other", F.Gauges.LongestOtherWait}};
  for (const auto &[Kind, Wait] : Longest)
    if (Wait)
      I.show(I.LongestWait, F.Pool,
             {{"kind", Kind}, {"reason", nameOf(Wait->Reason)}},
             inSeconds(Wait->Age));
  for (std::size_t V = 0; V < UnappliedReasonCount; ++V)
    I.show(I.Unapplied, F.Pool,
           {{"reason", nameOf(static_cast<UnappliedReason>(V))}},
           static_cast<double>(F.Unapplied.Jobs[V]));
  if (const auto &Oldest = F.Unapplied.Oldest)
    I.show(I.LongestUnapplied, F.Pool, {{"reason", nameOf(Oldest->Reason)}},
           inSeconds(Oldest->Age));
  for (std::size_t V = 0; V < jobs::WorkerStatusCount; ++V)
    I.show(I.Workers, F.Pool,
           {{"standing", nameOf(static_cast<jobs::WorkerStatus>(V))}},
           static_cast<double>(F.Gauges.Workers[V]));
}

void JobMetrics::removePool(const std::string &Pool) {
  std::lock_guard<std::mutex> Lock(Impl_->Mutex);
  for (const auto &[Family, Gauge] : Impl_->Shown[Pool])
    Family->Remove(Gauge);
  Impl_->Shown.erase(Pool);
}

void JobMetrics::entry(const EntryStats &F) {
  Impl &I = *Impl_;
  observe(I.LoopWaits, {}, F.Loop.Waits);
  I.LoopWaitMost.Add({}).Set(inSeconds(F.Loop.Waits.Max));
  double Period = std::max(inSeconds(F.Period), 1 / MsInSecond);
  I.LoopBusy.Add({}).Set(inSeconds(F.Loop.Busy) / Period);
  I.OwnTimeError.Add({}).Set(inSeconds(F.OwnTimeError));
  I.LoopFailures.Add({}).Increment(static_cast<double>(F.Loop.Failures));
  const std::pair<const char *, std::uint64_t> Relayed[] = {
      {"given", F.Relay.Orders},
      {"expired", F.Relay.Expired},
      {"forwarded", F.Relay.Forwarded},
      {"batch", F.Relay.Batches},
      {"batch-failed", F.Relay.FailedBatches},
      {"refused", F.Relay.Refused}};
  for (const auto &[What, Count] : Relayed)
    if (Count > 0)
      I.Relayed.Add({{"what", What}}).Increment(static_cast<double>(Count));
  for (std::size_t T = 0; T < net::HttpTargetCount; ++T) {
    const net::HttpCounts &C = F.Calls[T];
    const std::pair<const char *, std::uint64_t> Named[] = {
        {"call", C.Calls},
        {"connect", C.Connects},
        {"not-sent", C.NotSent},
        {"not-sent-in-time", C.NotSentInTime},
        {"timed-out", C.TimedOut},
        {"cut", C.Cut},
        {"handler-failed", C.HandlerFailed}};
    const char *Target = net::nameOf(static_cast<net::HttpTarget>(T));
    for (const auto &[What, Count] : Named)
      if (Count > 0)
        I.Calls.Add({{"target", Target}, {"what", What}})
            .Increment(static_cast<double>(Count));
  }
}

std::string JobMetrics::text() const {
  return prometheus::TextSerializer().Serialize(Impl_->Registry.Collect());
}

} // namespace comfreydeck::dispatch
