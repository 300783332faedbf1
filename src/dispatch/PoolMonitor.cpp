#include "dispatch/PoolMonitor.h"

#include <cmath>

namespace comfreydeck::dispatch {

namespace {

using WaitCounts = std::array<std::uint64_t, jobs::WaitReasonCount>;
using WaitHistograms =
    std::array<core::DurationHistogram, jobs::WaitReasonCount>;

/// Waits above this count as long in the summary.
constexpr std::chrono::seconds LongWait(5);

/// Formats the non-zero counts as "name=count name=count".
template <typename Enum, std::size_t Values>
std::string textOf(const std::array<std::uint64_t, Values> &Counts) {
  std::string Text;
  for (std::size_t V = 0; V < Values; ++V) {
    if (Counts[V] == 0)
      continue;
    Text += Text.empty() ? "" : " ";
    Text += nameOf(static_cast<Enum>(V));
    Text += '=' + std::to_string(Counts[V]);
  }
  return Text;
}

/// The longest waits in milliseconds by reason.
WaitCounts longestOf(const WaitHistograms &Waits) {
  WaitCounts Longest{};
  for (std::size_t V = 0; V < Waits.size(); ++V)
    Longest[V] =
        static_cast<std::uint64_t>(std::llround(core::inMs(Waits[V].Max)));
  return Longest;
}

/// The numbers of long waits by reason.
WaitCounts countLong(const WaitHistograms &Waits) {
  WaitCounts Long{};
  for (std::size_t V = 0; V < Waits.size(); ++V)
    Long[V] = core::countAbove(Waits[V], LongWait);
  return Long;
}

/// Formats the means in milliseconds as "name=mean name=mean".
std::string meansOf(
    const std::array<core::DurationHistogram, jobs::WorkerStatusCount> &Times) {
  std::array<std::uint64_t, jobs::WorkerStatusCount> Means{};
  for (std::size_t V = 0; V < Means.size(); ++V)
    Means[V] = static_cast<std::uint64_t>(std::llround(core::meanMs(Times[V])));
  return textOf<jobs::WorkerStatus>(Means);
}

/// Formats a wait as "JOB.OCCURRENCE.STEP.INDEX reason milliseconds"; empty if
/// there is none.
std::string textOf(const std::optional<jobs::TaskWait> &Wait) {
  if (!Wait)
    return "";
  const jobs::TaskRef &Task = Wait->Task;
  return Task.JobId + '.' + std::to_string(Task.Occurrence) + '.' +
         std::to_string(Task.Step) + '.' + std::to_string(Task.Index) + ' ' +
         nameOf(Wait->Reason) + ' ' +
         std::to_string(std::llround(core::inMs(Wait->Age)));
}

} // namespace

std::vector<LogField> summaryOf(const PoolStats &F) {
  const jobs::PoolGauges &Gauges = F.Gauges;
  const jobs::PoolCounters &PeriodCounts = F.PeriodCounts;
  return {
      {"pool", F.Pool},
      {"token", F.Token},
      {"period_ms", core::inMs(F.Period)},
      {"jobs_open", Gauges.OpenJobs},
      {"runs", Gauges.Runs},
      {"runs_unsure", Gauges.UnconfirmedRuns},
      {"waiting", textOf<jobs::WaitReason>(Gauges.Waiting)},
      {"longest_waits_ms", textOf<jobs::WaitReason>(longestOf(Gauges.Waits))},
      {"waiting_over_5s", textOf<jobs::WaitReason>(countLong(Gauges.Waits))},
      {"longest_lasting_wait", textOf(Gauges.LongestLastingWait)},
      {"longest_other_wait", textOf(Gauges.LongestOtherWait)},
      {"workers", textOf<jobs::WorkerStatus>(Gauges.Workers)},
      {"out_of_use_mean_ms", meansOf(PeriodCounts.OutOfUse)},
      {"unsure_mean_ms", core::meanMs(PeriodCounts.Unconfirmed)},
      {"unsure_most_ms", core::inMs(PeriodCounts.Unconfirmed.Max)},
      {"free_millicpus", Gauges.FreeMilliCpus},
      {"starts", PeriodCounts.Starts},
      {"start_answers", textOf<jobs::OrderOutcome>(PeriodCounts.StartAnswers)},
      {"stop_answers", textOf<jobs::OrderOutcome>(PeriodCounts.StopAnswers)},
      {"reports", textOf<jobs::OrderOutcome>(PeriodCounts.ReportAnswers)},
      {"ends", textOf<jobs::RunEnd>(PeriodCounts.Ends)},
      {"done", PeriodCounts.Done},
      {"lapsed", PeriodCounts.Lapsed},
      {"unexpected", PeriodCounts.UnexpectedRuns},
      {"stragglers", PeriodCounts.Stragglers},
      {"answers_ahead", PeriodCounts.AnswersAhead},
      {"crashes", PeriodCounts.Crashes},
      {"given_up", PeriodCounts.GivenUp},
      {"report_age_mean_ms", core::meanMs(PeriodCounts.ReportAge)},
      {"report_age_most_ms", core::inMs(PeriodCounts.ReportAge.Max)},
      {"most_by_one_report", PeriodCounts.MaxStartsPerReport},
      {"start_window", F.StartWindow},
      {"starts_unanswered", F.UnansweredStarts},
      {"stores", F.Stores.Total},
      {"store_mean_ms", core::meanMs(F.Stores)},
      {"store_most_ms", core::inMs(F.Stores.Max)},
      {"stores_repeated", F.RepeatedBatches},
      {"stores_found", F.FoundBatches},
      {"unstored_ms", core::inMs(F.UnstoredFor)},
      {"jobs_unapplied", textOf<UnappliedReason>(F.Unapplied.Jobs)},
      {"plans", F.Plans.Total},
      {"plan_mean_ms", core::meanMs(F.Plans)},
      {"plan_most_ms", core::inMs(F.Plans.Max)},
      {"plan_wait_mean_ms", core::meanMs(F.Waits)},
      {"plan_wait_most_ms", core::inMs(F.Waits.Max)}};
}

PoolMonitor::PoolMonitor(JobMetrics &Metrics, std::string Pool,
                         std::uint64_t Token)
    : Metrics_(Metrics) {
  Stats_.Pool = std::move(Pool);
  Stats_.Token = Token;
}

void PoolMonitor::recordStored(core::TimePoint Now, bool Repeated, bool Found) {
  if (StoringSince_)
    core::addSample(Stats_.Stores, Now - *StoringSince_);
  StoringSince_.reset();
  Stats_.RepeatedBatches += Repeated ? 1 : 0;
  Stats_.FoundBatches += Repeated && Found ? 1 : 0;
}

void PoolMonitor::publishIfDue(jobs::PoolState &State, core::TimePoint Now,
                               std::int64_t WallMs) {
  if (!PublishedAt_)
    PublishedAt_ = Now;
  if (Now - *PublishedAt_ >= SummaryPeriod)
    publish(State, Now, WallMs);
}

/// Logs the job that could not be applied for the longest time. No planning
/// shows such jobs.
void PoolMonitor::logUnapplied() const {
  if (Stats_.Unapplied.isEmpty())
    return;
  const UnappliedStats::Longest &Oldest = *Stats_.Unapplied.Oldest;
  logEvent("jobs_unapplied", {{"pool", Stats_.Pool},
                              {"token", Stats_.Token},
                              {"jobs", Stats_.Unapplied.count()},
                              {"job", Oldest.JobId},
                              {"reason", nameOf(Oldest.Reason)},
                              {"age_ms", core::inMs(Oldest.Age)},
                              {"tries", Oldest.Tries},
                              {"error", Oldest.Error}});
}

void PoolMonitor::end(jobs::PoolState &State, core::TimePoint Now,
                      std::int64_t WallMs) {
  if (PublishedAt_)
    publish(State, Now, WallMs);
  Metrics_.removePool(Stats_.Pool);
}

void PoolMonitor::publish(jobs::PoolState &State, core::TimePoint Now,
                          std::int64_t WallMs) {
  Stats_.Period = Now - PublishedAt_.value_or(Now);
  Stats_.Gauges = State.gauges(Now, WallMs);
  Stats_.PeriodCounts = State.takeCounters();
  Stats_.UnstoredFor =
      StoringSince_ ? Now - *StoringSince_ : core::Duration::zero();
  logEvent("pool_summary", summaryOf(Stats_));
  logUnapplied();
  Metrics_.pool(Stats_);
  Stats_.Plans = Stats_.Waits = Stats_.Stores = {};
  Stats_.RepeatedBatches = Stats_.FoundBatches = 0;
  PublishedAt_ = Now;
}

} // namespace comfreydeck::dispatch
