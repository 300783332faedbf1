#include "dispatch/PoolMonitor.h"

#include "dispatch/EntryMonitor.h"

#include <doctest/doctest.h>

#include <set>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using std::chrono::milliseconds;

namespace {

const LogValue &field(const std::vector<LogField> &Fields,
                      const std::string &Name) {
  auto At = std::find_if(Fields.begin(), Fields.end(),
                         [&](const LogField &F) { return Name == F.Name; });
  REQUIRE(At != Fields.end());
  return At->Value;
}

bool has(const std::string &Text, const std::string &Part) {
  bool Found = Text.find(Part) != std::string::npos;
  if (!Found)
    MESSAGE(Text);
  return Found;
}

PoolStats sampleStats() {
  PoolStats F;
  F.Pool = "p1";
  F.Token = 5;
  F.Period = std::chrono::seconds(5);
  F.Gauges.OpenJobs = 4;
  F.Gauges.Workers[jobs::indexOf(jobs::WorkerStatus::Silent)] = 3;
  F.Gauges.Workers[jobs::indexOf(jobs::WorkerStatus::Usable)] = 60;
  F.Gauges.Waiting[jobs::indexOf(jobs::WaitReason::Room)] = 7;
  auto &Room = F.Gauges.Waits[jobs::indexOf(jobs::WaitReason::Room)];
  core::addSample(Room, milliseconds(300));
  core::addSample(Room, milliseconds(5000));
  auto &Gang = F.Gauges.Waits[jobs::indexOf(jobs::WaitReason::Gang)];
  core::addSample(Gang, milliseconds(5001));
  core::addSample(Gang, milliseconds(16000));
  F.PeriodCounts.Starts = 20;
  F.PeriodCounts
      .StartAnswers[jobs::indexOf(jobs::OrderOutcome::OtherIncarnation)] = 2;
  F.PeriodCounts.ReportAnswers[jobs::indexOf(jobs::OrderOutcome::Unknown)] = 9;
  F.PeriodCounts.Ends[jobs::indexOf(jobs::RunEnd::Lapsed)] = 1;
  core::addSample(F.PeriodCounts.ReportAge, milliseconds(400));
  core::addSample(F.PeriodCounts.Unconfirmed, milliseconds(900));
  core::addSample(
      F.PeriodCounts.OutOfUse[jobs::indexOf(jobs::WorkerStatus::Silent)],
      milliseconds(1500));
  core::addSample(F.Plans, milliseconds(20));
  core::addSample(F.Waits, milliseconds(300));
  core::addSample(F.Stores, milliseconds(700));
  core::addSample(F.Stores, milliseconds(100));
  F.RepeatedBatches = 5;
  F.FoundBatches = 2;
  F.UnstoredFor = milliseconds(1250);
  UnappliedJobs Unapplied;
  core::TimePoint Since{};
  Unapplied.add("1", UnappliedReason::ProgressRow, "later version", Since);
  Unapplied.add("2", UnappliedReason::JobRow, "no steps",
                Since + milliseconds(500));
  Unapplied.add("1", UnappliedReason::ProgressRow, "later version",
                Since + milliseconds(1000));
  F.Unapplied = Unapplied.stats(Since + milliseconds(1500));
  return F;
}

} // namespace

TEST_CASE("outcomes of machine orders have distinct names") {
  std::set<std::string> Names;
  for (std::size_t V = 0; V < MachineOrderOutcomes; ++V)
    CHECK(Names.insert(nameOf(static_cast<MachineOrderOutcome>(V))).second);
  for (std::size_t V = 0; V < store::PartOutcomeCount; ++V)
    CHECK(!std::string(store::nameOf(static_cast<store::PartOutcome>(V)))
               .empty());
  CHECK(Names.count("") == 0);
}

TEST_CASE(
    "a pool's summary names outcomes and omits those that did not occur") {
  std::vector<LogField> Fields = summaryOf(sampleStats());
  CHECK(std::get<std::string>(field(Fields, "workers")) ==
        "silent=3 usable=60");
  CHECK(std::get<std::string>(field(Fields, "waiting")) == "room=7");
  CHECK(std::get<std::string>(field(Fields, "start_answers")) ==
        "other-incarnation=2");
  CHECK(std::get<std::string>(field(Fields, "reports")) == "unknown=9");
  CHECK(std::get<std::string>(field(Fields, "ends")) == "lapsed=1");
  CHECK(std::get<double>(field(Fields, "report_age_mean_ms")) == 400);
  CHECK(std::get<std::string>(field(Fields, "out_of_use_mean_ms")) ==
        "silent=1500");
  CHECK(std::get<double>(field(Fields, "unsure_mean_ms")) == 900);
  CHECK(std::get<double>(field(Fields, "plan_most_ms")) == 20);
  CHECK(std::get<double>(field(Fields, "plan_wait_most_ms")) == 300);
  CHECK(std::get<double>(field(Fields, "store_mean_ms")) == 400);
  CHECK(std::get<double>(field(Fields, "store_most_ms")) == 700);
  CHECK(std::get<double>(field(Fields, "unstored_ms")) == 1250);
  CHECK(std::get<std::string>(field(Fields, "jobs_unapplied")) ==
        "job-row=1 progress-row=1");
}

TEST_CASE("jobs that are known and not applied are in no figure of their "
          "pool") {
  PoolStats F = sampleStats();
  REQUIRE_FALSE(F.Unapplied.isEmpty());
  CHECK(F.Unapplied.count() == 2);
  CHECK(F.Unapplied.Oldest->JobId == "1");
  CHECK(F.Unapplied.Oldest->Tries == 2);
  CHECK(F.Unapplied.Oldest->Age == milliseconds(1500));
  JobMetrics Count;
  Count.pool(F);
  CHECK(has(Count.text(), "comfreydeck_job_pool_unapplied_jobs{pool=\"p1\","
                          "reason=\"progress-row\"} 1"));
  CHECK(has(Count.text(),
            "comfreydeck_job_pool_longest_unapplied_seconds{pool=\"p1\","
            "reason=\"progress-row\"} 1.5"));
}

TEST_CASE("a pool's counts are exported by outcome, kind and standing") {
  JobMetrics Count;
  Count.pool(sampleStats());
  Count.pool(sampleStats());
  std::string Text = Count.text();
  CHECK(has(Text, "comfreydeck_job_pool_workers{pool=\"p1\",standing="
                  "\"silent\"} 3"));
  CHECK(has(Text, "comfreydeck_job_pool_waiting{pool=\"p1\",reason=\"room\"} "
                  "7"));
  CHECK(has(Text, "comfreydeck_job_start_answers_total{outcome="
                  "\"other-incarnation\",pool=\"p1\"} 4"));
  CHECK(has(Text, "comfreydeck_job_worker_reports_total{outcome=\"unknown\","
                  "pool=\"p1\"} 18"));
  CHECK(has(Text, "comfreydeck_job_ends_total{kind=\"lapsed\",pool=\"p1\"} 2"));
  CHECK(has(Text, "comfreydeck_job_starts_total{pool=\"p1\"} 40"));
  CHECK(has(Text, "comfreydeck_job_plan_seconds_count{pool=\"p1\"} 2"));
  CHECK(has(Text, "comfreydeck_job_worker_out_of_use_seconds_count{pool=\"p1\","
                  "standing=\"silent\"} 2"));
  CHECK(has(Text, "comfreydeck_job_run_unsure_seconds_count{pool=\"p1\"} 2"));
  CHECK(has(Text, "comfreydeck_job_plan_seconds_bucket{pool=\"p1\",le="
                  "\"0.025\"} 2"));
  CHECK(has(Text, "comfreydeck_job_report_age_seconds_count{pool=\"p1\"} 2"));
  CHECK(has(Text, "comfreydeck_job_store_seconds_count{pool=\"p1\"} 4"));
  CHECK(has(Text, "comfreydeck_job_repeated_batches_total{pool=\"p1\",settled="
                  "\"found\"} 4"));
  CHECK(has(Text, "comfreydeck_job_repeated_batches_total{pool=\"p1\",settled="
                  "\"written\"} 6"));
  CHECK(has(Text, "comfreydeck_job_pool_unstored_seconds{pool=\"p1\"} 1.25"));
}

TEST_CASE("a pool's longest waits and how many are long are told by reason") {
  std::vector<LogField> Fields = summaryOf(sampleStats());
  CHECK(std::get<std::string>(field(Fields, "longest_waits_ms")) ==
        "gang=16000 room=5000");
  CHECK(std::get<std::string>(field(Fields, "waiting_over_5s")) == "gang=2");
  JobMetrics Count;
  Count.pool(sampleStats());
  Count.pool(sampleStats());
  std::string Text = Count.text();
  CHECK(has(Text, "comfreydeck_job_pool_longest_wait_by_reason_seconds{pool="
                  "\"p1\",reason=\"gang\"} 16"));
  CHECK(has(Text, "comfreydeck_job_pool_wait_seconds_count{pool=\"p1\",reason="
                  "\"gang\"} 4"));
  CHECK(has(Text, "comfreydeck_job_pool_wait_seconds_bucket{pool=\"p1\",reason="
                  "\"gang\",le=\"10\"} 2"));
  Count.removePool("p1");
  CHECK(Count.text().find("longest_wait_by_reason_seconds{") ==
        std::string::npos);
}

TEST_CASE("a pool that is no longer owned here exports no gauges") {
  JobMetrics Count;
  Count.pool(sampleStats());
  Count.removePool("p1");
  Count.removePool("p2");
  std::string Text = Count.text();
  CHECK(Text.find("comfreydeck_job_pool_workers{") == std::string::npos);
  CHECK(has(Text, "comfreydeck_job_starts_total{pool=\"p1\"} 20"));
  Count.pool(sampleStats());
  CHECK(has(Count.text(), "comfreydeck_job_pool_jobs{pool=\"p1\"} 4"));
}

TEST_CASE("a pool is reported once per period and when it is lost") {
  JobMetrics Count;
  core::TimePoint Now{};
  jobs::PoolState State("p1", 5, Now, jobs::OwnerLimits());
  PoolMonitor Monitor(Count, "p1", 5);
  auto Plans = [&] {
    std::string Text = Count.text();
    std::string Name = "comfreydeck_job_plan_seconds_count{pool=\"p1\"} ";
    std::size_t At = Text.find(Name);
    return At == std::string::npos ? 0
                                   : std::stoi(Text.substr(At + Name.size()));
  };
  Monitor.publishIfDue(State, Now, 0);
  Monitor.recordPlanTime(milliseconds(1));
  Monitor.publishIfDue(State, Now + SummaryPeriod - milliseconds(1), 0);
  CHECK(Plans() == 0);
  Monitor.publishIfDue(State, Now + SummaryPeriod, 0);
  CHECK(Plans() == 1);
  Monitor.recordPlanTime(milliseconds(1));
  Monitor.publishIfDue(State, Now + SummaryPeriod + milliseconds(1), 0);
  CHECK(Plans() == 1);
  Monitor.end(State, Now + SummaryPeriod + milliseconds(2), 0);
  CHECK(Plans() == 2);
}

TEST_CASE("a pool's report counts batches that were repeated and found stored, "
          "and tells how long one has been under way") {
  JobMetrics Count;
  core::TimePoint Now{};
  jobs::PoolState State("p1", 5, Now, jobs::OwnerLimits());
  PoolMonitor Monitor(Count, "p1", 5);
  Monitor.publishIfDue(State, Now, 0);
  Monitor.recordStoring(Now);
  Monitor.recordStored(Now + milliseconds(5), false, false);
  Monitor.recordStoring(Now + milliseconds(10));
  Monitor.recordStored(Now + milliseconds(70), true, true);
  Monitor.recordStoring(Now + milliseconds(80));
  Monitor.recordStored(Now + milliseconds(140), true, false);
  Monitor.recordStoring(Now + SummaryPeriod - milliseconds(250));
  Monitor.publishIfDue(State, Now + SummaryPeriod, 0);
  std::string Text = Count.text();
  CHECK(has(Text, "comfreydeck_job_store_seconds_count{pool=\"p1\"} 3"));
  CHECK(has(Text, "comfreydeck_job_repeated_batches_total{pool=\"p1\",settled="
                  "\"found\"} 1"));
  CHECK(has(Text, "comfreydeck_job_repeated_batches_total{pool=\"p1\",settled="
                  "\"written\"} 1"));
  CHECK(has(Text, "comfreydeck_job_pool_unstored_seconds{pool=\"p1\"} 0.25"));
}

TEST_CASE("an entry's summary breaks calls down by target and result") {
  EntryStats F;
  F.Period = std::chrono::seconds(5);
  F.Loop.Busy = std::chrono::milliseconds(4000);
  F.Loop.Posts = 100;
  core::addSample(F.Loop.Waits, milliseconds(250));
  auto &Worker = F.Calls[static_cast<std::size_t>(net::HttpTarget::Worker)];
  Worker.Calls = 30;
  Worker.Connects = 20;
  Worker.NotSentInTime = 2;
  Worker.TimedOut = 4;
  std::vector<LogField> Fields = summaryOf(F);
  CHECK(std::get<std::string>(field(Fields, "worker")) ==
        "calls=30 connects=20 not-sent-in-time=2 timed-out=4");
  CHECK(std::get<double>(field(Fields, "loop_busy")) == doctest::Approx(0.8));
  CHECK(std::get<double>(field(Fields, "loop_wait_most_ms")) == 250);
  JobMetrics Count;
  Count.entry(F);
  std::string Text = Count.text();
  CHECK(has(Text, "comfreydeck_job_http_total{target=\"worker\",what="
                  "\"connect\"} 20"));
  CHECK(has(Text, "comfreydeck_job_http_total{target=\"worker\",what="
                  "\"timed-out\"} 4"));
  CHECK(has(Text, "comfreydeck_job_loop_wait_seconds_count 1"));
  CHECK(has(Text, "comfreydeck_job_loop_wait_most_seconds 0.25"));
  CHECK(has(Text, "comfreydeck_job_loop_busy_share 0.8"));
}

TEST_CASE("calls, retries and latencies keep their metric names") {
  JobMetrics Count;
  for (int I = 0; I < 3; ++I) {
    Count.recordAnswer("submit", 503, "no-owner");
    Count.recordLatency("submit", 0.02);
  }
  Count.recordRetry("load-jobs");
  std::string Text = Count.text();
  CHECK(has(Text, "comfreydeck_job_answers_total{call=\"submit\",reason="
                  "\"no-owner\",status=\"503\"} 3"));
  CHECK(has(Text, "comfreydeck_job_retries_total{reason=\"load-jobs\"} 1"));
  CHECK(has(Text, "comfreydeck_job_call_seconds_count{call=\"submit\"} 3"));
}
