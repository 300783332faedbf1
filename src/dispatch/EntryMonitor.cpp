#include "dispatch/EntryMonitor.h"

#include "dispatch/Clock.h"
#include "dispatch/PoolMonitor.h"

#include <algorithm>

namespace comfreydeck::dispatch {

namespace {

net::HttpCounts operator-(const net::HttpCounts &A, const net::HttpCounts &B) {
  return {A.Calls - B.Calls,       A.Connects - B.Connects,
          A.NotSent - B.NotSent,   A.NotSentInTime - B.NotSentInTime,
          A.TimedOut - B.TimedOut, A.Cut - B.Cut,
          A.BytesIn - B.BytesIn,   A.HandlerFailed - B.HandlerFailed};
}

/// Formats the non-zero counts as "name=count name=count".
std::string textOf(const net::HttpCounts &Counts) {
  const std::pair<const char *, std::uint64_t> Named[] = {
      {"calls", Counts.Calls},
      {"connects", Counts.Connects},
      {"not-sent", Counts.NotSent},
      {"not-sent-in-time", Counts.NotSentInTime},
      {"timed-out", Counts.TimedOut},
      {"cut", Counts.Cut},
      {"bytes-in", Counts.BytesIn},
      {"handler-failed", Counts.HandlerFailed}};
  std::string Text;
  for (const auto &[Name, Count] : Named)
    if (Count > 0)
      Text += (Text.empty() ? "" : " ") + std::string(Name) + '=' +
              std::to_string(Count);
  return Text;
}

} // namespace

std::vector<LogField> summaryOf(const EntryStats &F) {
  std::vector<LogField> Fields = {
      {"period_ms", core::inMs(F.Period)},
      {"loop_posts", F.Loop.Posts},
      {"loop_wait_mean_ms", core::meanMs(F.Loop.Waits)},
      {"loop_wait_most_ms", core::inMs(F.Loop.Waits.Max)},
      {"loop_run_most_ms", core::inMs(F.Loop.Runs.Max)},
      {"loop_busy",
       core::inMs(F.Loop.Busy) / std::max(core::inMs(F.Period), 1.0)},
      {"loop_failures", F.Loop.Failures},
      {"own_time_error_ms", core::inMs(F.OwnTimeError)}};
  for (std::size_t T = 0; T < net::HttpTargetCount; ++T)
    if (F.Calls[T].Calls > 0)
      Fields.emplace_back(net::nameOf(static_cast<net::HttpTarget>(T)),
                          textOf(F.Calls[T]));
  const RelayCounters &Relay = F.Relay;
  const std::pair<const char *, std::uint64_t> Relayed[] = {
      {"relayed", Relay.Orders},        {"relay_batches", Relay.Batches},
      {"relay_expired", Relay.Expired}, {"relay_failed", Relay.FailedBatches},
      {"forwarded", Relay.Forwarded},   {"relay_refused", Relay.Refused}};
  for (const auto &[Name, Count] : Relayed)
    if (Count > 0)
      Fields.emplace_back(Name, Count);
  return Fields;
}

void EntryMonitor::start() {
  PublishedAt_ = bootNow();
  Ctx_.Loop.every(SummaryPeriod, [this] { publish(); });
}

void EntryMonitor::publish() {
  core::TimePoint Now = bootNow();
  auto Calls = Ctx_.Client.counts();
  EntryStats Stats;
  Stats.Period = Now - PublishedAt_;
  Stats.Loop = Ctx_.Loop.takeUsage();
  Stats.OwnTimeError = Ctx_.Clock.ownError();
  Stats.Relay = Relay_.takeCounters();
  RelayCounters ForOthers = Forwarder_.takeCounters();
  Stats.Relay.Forwarded = ForOthers.Forwarded;
  Stats.Relay.Refused += ForOthers.Refused;
  for (std::size_t T = 0; T < net::HttpTargetCount; ++T)
    Stats.Calls[T] = Calls[T] - LastCalls_[T];
  logEvent("entry_summary", summaryOf(Stats));
  Ctx_.Count.entry(Stats);
  LastCalls_ = Calls;
  PublishedAt_ = Now;
}

} // namespace comfreydeck::dispatch
