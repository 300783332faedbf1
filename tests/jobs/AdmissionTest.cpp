#include "jobs/Admission.h"

#include "jobs/JobSamples.h"
#include "jobs/PoolSizes.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr double RoomCpu = 10000;
constexpr double SecondMs = 1000;
/// Work that a pool of \ref RoomCpu does in a second.
constexpr double SecondWork = RoomCpu * SecondMs;
/// Three objectives of 2 s, less a chain of 1 s: starts from 5 s on are too
/// late.
constexpr AdmissionRequest Request = {1, 100, 1000, 2000};

/// Jobs of a second's work each and of an earlier priority than \ref Request.
std::vector<BacklogJob> earlierJobs(std::size_t Seconds) {
  BacklogJob Job;
  Job.Size = 10;
  Job.WorkLeft = SecondWork;
  Job.SlackMs = 60 * SecondMs;
  Job.WorthMs = 120 * SecondMs;
  return std::vector<BacklogJob>(Seconds, Job);
}

AdmissionDecision decide(const std::vector<BacklogJob> &Backlog,
                         const AdmissionRoom &Room = {RoomCpu, 0, 0}) {
  return decideAdmission(Room, Backlog, Request);
}

} // namespace

TEST_CASE("a job is refused only if what is ahead of it takes too long") {
  CHECK_FALSE(decide({}).Refused);
  CHECK_FALSE(decide(earlierJobs(5)).Refused);
  CHECK(decide(earlierJobs(7)).Refused);
}

TEST_CASE("a job is not refused for work behind it in the plan's order") {
  std::vector<BacklogJob> Backlog = earlierJobs(30);
  SUBCASE("larger jobs that become late before it does") {
    for (BacklogJob &Job : Backlog) {
      Job.Priority = Request.Priority;
      Job.Size = 2 * Request.Size;
      Job.SlackMs = 0;
    }
  }
  SUBCASE("smaller jobs that can wait, once it is urgent") {
    for (BacklogJob &Job : Backlog)
      Job.Priority = Request.Priority;
  }
  SUBCASE("jobs of a later priority") {
    for (BacklogJob &Job : Backlog)
      Job.Priority = Request.Priority + 1;
  }
  SUBCASE("late jobs, while it is in time") {
    for (BacklogJob &Job : Backlog) {
      Job.Priority = Request.Priority;
      Job.SlackMs = -1;
    }
  }
  SUBCASE("jobs that are worth nothing soon") {
    for (BacklogJob &Job : Backlog)
      Job.WorthMs = 4 * SecondMs;
  }
  CHECK_FALSE(decide(Backlog).Refused);
}

TEST_CASE("a job is refused for larger jobs of an earlier priority, and for "
          "smaller ones that are as urgent as it is") {
  std::vector<BacklogJob> Backlog = earlierJobs(7);
  SUBCASE("earlier priority") {
    for (BacklogJob &Job : Backlog)
      Job.Size = 2 * Request.Size;
  }
  SUBCASE("smaller and as urgent") {
    for (BacklogJob &Job : Backlog) {
      Job.Priority = Request.Priority;
      Job.SlackMs = Request.ObjectiveMs - Request.ChainMs;
    }
  }
  CHECK(decide(Backlog).Refused);
}

TEST_CASE("machines that may come count as room") {
  CHECK_FALSE(decide(earlierJobs(7), {RoomCpu, RoomCpu, 0}).Refused);
  CHECK_FALSE(decide(earlierJobs(7), {0, 2 * RoomCpu, 0}).Refused);
}

TEST_CASE("a pool that finishes less than its room holds refuses more, but not "
          "for a rate that only a disturbance explains") {
  CHECK_FALSE(decide(earlierJobs(4)).Refused);
  CHECK(decide(earlierJobs(4), {RoomCpu, 0, 0.5 * RoomCpu}).Refused);
  CHECK_FALSE(decide(earlierJobs(2), {RoomCpu, 0, 1}).Refused);
}

TEST_CASE("a pool without known room refuses nothing") {
  CHECK_FALSE(decide(earlierJobs(7), {0, 0, 0}).Refused);
}

TEST_CASE("a refused job that is handed in again after Retry-After is "
          "accepted if nothing else came") {
  for (std::size_t Seconds : {7, 12, 30}) {
    std::vector<BacklogJob> Backlog = earlierJobs(Seconds);
    AdmissionDecision Decision = decide(Backlog);
    CAPTURE(Seconds);
    REQUIRE(Decision.Refused);
    CHECK(Decision.RetryAfter >= std::chrono::seconds(1));
    auto Passed = static_cast<std::size_t>(Decision.RetryAfter.count());
    CHECK_FALSE(decide(earlierJobs(Seconds - Passed)).Refused);
  }
}

TEST_CASE("machines of standby pools and idle ones of other pools may come") {
  PoolLoad Own;
  Own.Pool = "own";
  Own.PerMachine.MilliCpus = 4000;
  Own.Idle = {"m1"};
  PoolLoad Other;
  Other.Pool = "other";
  Other.Idle = {"m2", "m3"};
  PoolLoad Standby;
  Standby.Pool = "standby";
  Standby.Standby = true;
  Standby.Machines = 3;
  std::vector<PoolLoad> Loads = {Own, Other, Standby};
  CHECK(comingCpu(Loads, "own") == 5 * 4000);
}

namespace {

/// An owner of one worker of four cores, with \p Jobs jobs of one task of a
/// core and a second waiting.
struct FullPool : OwnerFixture {
  explicit FullPool(unsigned Jobs) {
    listWorkers({"w1"});
    plan();
    report("w1");
    advance(milliseconds(9000));
    report("w1");
    for (unsigned N = 1; N <= Jobs; ++N) {
      JobSpec Spec = sampleJob(N);
      Spec.AcceptedMs = 1000000;
      Owner.addJob(Spec, Now);
    }
    Owner.setComingCpu(0, Now);
    plan();
  }
  /// A job that is larger than the waiting ones.
  static JobSpec larger() {
    JobSpec Spec = sampleJob(900000, 2);
    Spec.AcceptedMs = 1000000;
    return Spec;
  }
  bool refuses(const JobSpec &Spec) {
    AdmissionAnswer Answer = Owner.admit(Spec, Now);
    return Answer.Decided && Answer.Decision.Refused;
  }
};

} // namespace

TEST_CASE("a pool that is full for long refuses a job at once and says when to "
          "come back") {
  FullPool B(200);
  CHECK(B.Owner.isPressed(B.Now));
  AdmissionAnswer Answer = B.Owner.admit(FullPool::larger(), B.Now);
  CHECK(Answer.Decision.Refused);
  CHECK(Answer.Decision.RetryAfter >= std::chrono::seconds(1));
  JobSpec Smaller = FullPool::larger();
  Smaller.Steps[0].Need.MilliCpus = 100;
  CHECK_FALSE(B.refuses(Smaller));
}

TEST_CASE("lasting and timed jobs, and those that are known, are never refused "
          "for load") {
  FullPool B(200);
  JobSpec Spec = FullPool::larger();
  Spec.Priority = 1;
  REQUIRE(B.refuses(Spec));
  JobSpec Lasting = Spec;
  Lasting.Steps[0].Lasting = true;
  CHECK_FALSE(B.refuses(Lasting));
  JobSpec Timed = Spec;
  Timed.Repetitions = 2;
  CHECK_FALSE(B.refuses(Timed));
  JobSpec Known = Spec;
  Known.Id = jobId(1);
  CHECK_FALSE(B.refuses(Known));
}

TEST_CASE("an owner that does not know its pool well refuses nothing") {
  JobSpec Spec = FullPool::larger();
  Spec.Priority = 1;
  FullPool B(200);
  REQUIRE(B.refuses(Spec));
  SUBCASE("its last planning round is long ago") {
    B.advance(milliseconds(600));
    CHECK_FALSE(B.refuses(Spec));
  }
  SUBCASE("it was not told lately which machines may come") {
    B.advance(milliseconds(3100));
    B.plan();
    CHECK_FALSE(B.refuses(Spec));
  }
  SUBCASE("it has just taken the pool over") {
    OwnerFixture New;
    New.listWorkers({"w1"});
    for (unsigned N = 1; N <= 200; ++N)
      New.Owner.addJob(sampleJob(N), New.Now);
    New.Owner.setComingCpu(0, New.Now);
    New.plan();
    New.report("w1");
    New.plan();
    CHECK_FALSE(New.Owner.admit(Spec, New.Now).Decided);
    CHECK_FALSE(New.Owner.isPressed(New.Now));
  }
}
