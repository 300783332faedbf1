#include "jobs/OwnerPace.h"

#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr milliseconds Soon(10);
constexpr milliseconds Late(800);
const core::TimePoint Begin{};

} // namespace

TEST_CASE("the window of starts grows while answers come soon") {
  StartWindow Window;
  double Before = Window.Size;
  for (int N = 0; N < 100; ++N)
    recordAnswer(Window, Soon, Begin);
  CHECK(Window.Size > Before);
  for (int N = 0; N < 100000; ++N)
    recordAnswer(Window, Soon, Begin);
  CHECK(Window.Size == StartWindow::MaxSize);
}

TEST_CASE("late answers shrink the window of starts, once for each batch") {
  StartWindow Window;
  double Before = Window.Size;
  recordAnswer(Window, Late, Begin);
  double Once = Window.Size;
  CHECK(Once < Before);
  recordAnswer(Window, Late, Begin + Soon);
  CHECK(Window.Size == Once);
  recordAnswer(Window, Late, Begin + Late);
  CHECK(Window.Size < Once);
  for (int N = 2; N < 100; ++N)
    recordAnswer(Window, Late, Begin + N * Late);
  CHECK(Window.Size == StartWindow::MinSize);
}

TEST_CASE("no more starts are sent than the window holds") {
  StartWindow Window;
  Window.Size = 40.5;
  CHECK(roomIn(Window, 0) == 40);
  CHECK(roomIn(Window, 39) == 1);
  CHECK(roomIn(Window, 40) == 0);
  CHECK(roomIn(Window, 400) == 0);
}

TEST_CASE("planning passes leave most of the time to other work") {
  CHECK(pauseAfterPlan(core::Duration::zero()) == core::Duration::zero());
  CHECK(pauseAfterPlan(milliseconds(2)) >= 2 * milliseconds(2));
  // Runs that ended must be replaced soon, however long a pass takes.
  CHECK(pauseAfterPlan(std::chrono::seconds(1)) <= milliseconds(100));
}

TEST_CASE("an owner that is given ten times the starts it can send sends the "
          "most valuable ones first and keeps the rest as a plan") {
  constexpr unsigned Workers = 50;
  constexpr unsigned Jobs = 200;
  constexpr std::size_t Bound = 20;
  OwnerFixture B;
  std::vector<std::string> Ids;
  for (unsigned N = 0; N < Workers; ++N)
    Ids.push_back("w" + std::to_string(N));
  B.listWorkers(Ids);
  B.plan();
  for (const std::string &Id : Ids)
    B.report(Id);
  B.advance(std::chrono::duration_cast<milliseconds>(OwnerLimits().NewJobAge));
  for (const std::string &Id : Ids)
    B.report(Id);
  for (unsigned N = 1; N <= Jobs; ++N) {
    JobSpec Spec = sampleJob(N);
    Spec.Priority = N <= Jobs - Bound ? 1 : 0;
    B.Owner.addJob(Spec, B.Now);
  }
  PlanInput In;
  In.Now = B.Now;
  In.WallMs = 1000000;
  In.AuthorityEnd = B.Now + std::chrono::seconds(8);
  In.MaxStarts = Bound;
  Orders First = B.Owner.plan(In);
  CHECK(First.StartsBounded);
  REQUIRE(First.Starts.size() == Bound);
  for (const StartOrder &Order : First.Starts)
    CHECK(B.Owner.findJob(Order.Task.JobId)->Priority == 0);
  CHECK(B.Owner.pending("queue") == Jobs);
  for (const StartOrder &Order : First.Starts)
    B.answer(Order, OrderOutcome::Accepted);
  CHECK(B.Owner.pending("queue") == Jobs - Bound);
  In.MaxStarts = 0;
  CHECK(B.Owner.plan(In).Starts.empty());
  In.MaxStarts = Jobs;
  CHECK(B.Owner.plan(In).Starts.size() == Jobs - Bound);
}

TEST_CASE("an order that was not sent says nothing of its worker") {
  OwnerFixture B;
  B.listWorkers({"w1"});
  B.plan();
  B.report("w1");
  B.advance(std::chrono::duration_cast<milliseconds>(OwnerLimits().NewJobAge));
  B.report("w1");
  B.Owner.addJob(sampleJob(1), B.Now);
  Orders First = B.plan();
  REQUIRE(First.Starts.size() == 1);
  SUBCASE("a start: the task starts again at once, on the same worker") {
    B.answer(First.Starts[0], OrderOutcome::Withheld);
    Orders Next = B.plan();
    REQUIRE(Next.Starts.size() == 1);
    CHECK(Next.Starts[0].Worker == "w1");
    CHECK(Next.Starts[0].Run > First.Starts[0].Run);
  }
  SUBCASE("a request for a report: the next one extends the lease") {
    B.answer(First.Starts[0], OrderOutcome::Accepted);
    REQUIRE(First.Holds.size() == 1);
    ReportResult Result;
    Result.Outcome = OrderOutcome::Withheld;
    B.Owner.onReport(First.Holds[0], Result, B.Now, B.Now);
    B.advance(milliseconds(100));
    Orders Next = B.plan();
    REQUIRE(Next.Holds.size() == 1);
    CHECK(Next.Holds[0].DeadlineMs > B.clockMs());
    CHECK(B.Owner.workers().at("w1")->IncarnationConfirmed);
  }
}
