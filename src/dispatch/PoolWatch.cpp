#include "dispatch/PoolWatch.h"

namespace comfreydeck::dispatch {

namespace {

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

} // namespace

std::vector<LogField> summaryOf(const PoolFigures &F) {
  const jobs::PoolCensus &There = F.There;
  const jobs::PoolCounters &Since = F.Since;
  return {{"pool", F.Pool},
          {"token", F.Token},
          {"period_ms", core::inMs(F.Period)},
          {"jobs_open", There.OpenJobs},
          {"runs", There.Runs},
          {"runs_unsure", There.UnsureRuns},
          {"waiting", textOf<jobs::WaitReason>(There.Waiting)},
          {"workers", textOf<jobs::WorkerStanding>(There.Workers)},
          {"free_millicpus", There.FreeMilliCpus},
          {"starts", Since.Starts},
          {"start_answers", textOf<jobs::OrderOutcome>(Since.StartAnswers)},
          {"stop_answers", textOf<jobs::OrderOutcome>(Since.StopAnswers)},
          {"reports", textOf<jobs::OrderOutcome>(Since.ReportAnswers)},
          {"ends", textOf<jobs::RunEnd>(Since.Ends)},
          {"done", Since.Done},
          {"lapsed", Since.Lapsed},
          {"unexpected", Since.UnexpectedRuns},
          {"stragglers", Since.Stragglers},
          {"report_age_mean_ms", core::meanMs(Since.ReportAge)},
          {"report_age_most_ms", core::inMs(Since.ReportAge.Most)},
          {"most_by_one_report", Since.MostByOneReport},
          {"plans", F.Plans.Total},
          {"plan_mean_ms", core::meanMs(F.Plans)},
          {"plan_most_ms", core::inMs(F.Plans.Most)},
          {"plan_wait_mean_ms", core::meanMs(F.Waits)},
          {"plan_wait_most_ms", core::inMs(F.Waits.Most)}};
}

PoolWatch::PoolWatch(Counters &Count, std::string Pool, std::uint64_t Token)
    : Count_(Count) {
  Figures_.Pool = std::move(Pool);
  Figures_.Token = Token;
}

void PoolWatch::look(jobs::PoolState &State, core::TimePoint Now,
                     std::int64_t WallMs) {
  if (ToldAt_ == core::TimePoint())
    ToldAt_ = Now;
  if (Now - ToldAt_ >= SummaryPeriod)
    tell(State, Now, WallMs);
}

void PoolWatch::end(jobs::PoolState &State, core::TimePoint Now,
                    std::int64_t WallMs) {
  if (ToldAt_ != core::TimePoint())
    tell(State, Now, WallMs);
  Count_.forgetPool(Figures_.Pool);
}

void PoolWatch::tell(jobs::PoolState &State, core::TimePoint Now,
                     std::int64_t WallMs) {
  Figures_.Period = Now - ToldAt_;
  Figures_.There = State.census(Now, WallMs);
  Figures_.Since = State.takeCounters();
  logEvent("pool_summary", summaryOf(Figures_));
  Count_.pool(Figures_);
  Figures_.Plans = Figures_.Waits = {};
  ToldAt_ = Now;
}

} // namespace comfreydeck::dispatch
