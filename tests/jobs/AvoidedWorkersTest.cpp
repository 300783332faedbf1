#include "jobs/CrashFixture.h"

#include <doctest/doctest.h>

#include <utility>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

const char *const Label = "gpu";
/// Enough for all workers.
constexpr unsigned JobsPerTurn = 16;

struct FailingFixture : CrashFixture {
  unsigned Jobs = 0;

  FailingFixture() : CrashFixture(FourWorkers) {}

  /// Gives the label to the first workers.
  void label(std::size_t Count) {
    for (std::size_t N = 0; N < Count; ++N)
      B.Entries[N].Labels = {Label};
    B.Owner.setWorkers(B.Entries, B.Now);
  }

  void addJob(bool Labelled = false) {
    JobSpec Spec = sampleJob(++Jobs);
    Spec.MaxAttempts = 1000;
    Spec.Steps[0].Label = Labelled ? Label : "";
    B.Owner.addJob(Spec, B.Now);
  }

  /// All runs end: those on the workers fail.
  void endRuns(const std::set<std::string> &Faulty) {
    for (auto &[Id, Starts] : Running) {
      if (Starts.empty())
        continue;
      RunEnd How = Faulty.count(Id) != 0 ? RunEnd::Failed : RunEnd::Done;
      HoldOrder Order;
      Order.Worker = Id;
      ReportResult Result;
      Result.Outcome = OrderOutcome::Accepted;
      Result.Report = {B.clockMs(), Born[Id], {}, {}};
      for (const StartOrder &Start : Starts)
        Result.Report.Ended.push_back(
            endReportOf(++Ends, Start.Task, Start.Run, How));
      Starts.clear();
      B.Owner.onReport(Order, Result, B.Now, B.Now);
    }
  }

  std::size_t countAvoided() {
    return B.Owner.gauges(B.Now, B.clockMs())
        .Workers[jobs::indexOf(WorkerStatus::Avoided)];
  }

  /// Most workers that are avoided at once while new jobs come all the time.
  std::size_t mostAvoided(const std::set<std::string> &Faulty, bool Labelled) {
    std::size_t Most = 0;
    for (int Turn = 0; Turn < 200; ++Turn) {
      for (unsigned N = 0; N < JobsPerTurn; ++N)
        addJob(Labelled);
      turn();
      endRuns(Faulty);
      Most = std::max(Most, countAvoided());
    }
    return Most;
  }
};

const std::set<std::string> AllFaulty = {"w1", "w2", "w3", "w4"};

} // namespace

// Three of four workers, or all with a label, were avoided again and again.
TEST_CASE("at most half of the workers that could run an open job's tasks are "
          "avoided for failed runs") {
  FailingFixture F;
  F.turn();
  SUBCASE("of all workers") { CHECK(F.mostAvoided(AllFaulty, false) == 2); }
  SUBCASE("of those with a label") {
    F.label(2);
    CHECK(F.mostAvoided(AllFaulty, true) == 1);
  }
  SUBCASE("a worker alone is not avoided") {
    F.label(1);
    CHECK(F.mostAvoided(AllFaulty, true) == 0);
  }
  SUBCASE("(control: faulty workers are avoided)") {
    CHECK(F.mostAvoided({"w1"}, false) == 1);
  }
  SUBCASE("(control: a closed worker counts as none)") {
    F.B.Owner.setClosedWorkers({"w4"});
    CHECK(F.mostAvoided(AllFaulty, false) == 1);
  }
}

TEST_CASE("a faulty worker is avoided for tasks that others could run, though "
          "an open job's task fits it alone" *
          doctest::should_fail()) {
  FailingFixture F;
  F.turn();
  F.label(1);
  F.addJob(true);
  CHECK(F.mostAvoided({"w1"}, false) == 1);
}

// Jobs that could run and didn't: a lasting task waited for all of the time for
// which the only worker with room was avoided.
TEST_CASE("a lasting task whose only room is on a worker with failed runs "
          "starts there after two seconds") {
  FailingFixture F;
  F.list({"w1", "w2"});
  F.turn();
  F.label(1);
  F.list({"w1", "w2"});
  JobSpec Filler = sampleJob(++F.Jobs, 4);
  Filler.Steps[0].Label = Label;
  Filler.Steps[0].Lasting = true;
  F.B.Owner.addJob(Filler, F.B.Now);
  F.turn();
  REQUIRE(F.Running["w1"].size() == Filler.Steps[0].Tasks);
  while (F.countAvoided() == 0) {
    REQUIRE(F.Jobs < 10);
    F.addJob();
    F.turn();
    auto Lasting = std::exchange(F.Running["w1"], {});
    F.endRuns({"w2"});
    F.Running["w1"] = Lasting;
  }
  bool Lasting = true;
  SUBCASE("a lasting task") {}
  bool Suspect = false;
  SUBCASE("a lasting task whose workers crashed twice") { Suspect = true; }
  SUBCASE("(control: another task waits longer)") { Lasting = false; }
  SUBCASE("(control: another such task waits longer)") {
    Lasting = false;
    Suspect = true;
  }
  JobSpec Spec = sampleJob(++F.Jobs);
  Spec.Steps[0].Lasting = Lasting;
  JobProgress Kept;
  Kept.State = JobState::Running;
  Kept.Tasks.resize(1);
  if (Suspect)
    Kept.Tasks[0].CrashedRuns = {10, 20};
  F.B.Owner.inheritJob(Spec, &Kept, F.B.Now);
  CHECK(F.workerOf(taskOf(F.Jobs), milliseconds(1800)).empty());
  CHECK(F.workerOf(taskOf(F.Jobs), milliseconds(500)) == (Lasting ? "w2" : ""));
}
