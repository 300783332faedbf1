#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr std::uint64_t FleetToken = 3;

/// An owner that has heard its workers and enrolled them.
struct Releases {
  OwnerFixture B;

  explicit Releases(std::vector<std::string> Workers) {
    B.listWorkers(Workers);
    for (const std::string &Worker : Workers)
      B.report(Worker);
    B.plan();
  }
  ReleaseState release(std::uint64_t Fleet = FleetToken,
                       std::uint64_t Number = 1) {
    return B.Owner.releaseWorker("w1", {Fleet, Number}, B.Now);
  }
  void takeBack(std::uint64_t Fleet = FleetToken) {
    B.Owner.takeBackWorker("w1", {Fleet, 2});
  }
  /// Stores what has changed; returns the worker's roster row.
  std::optional<WorkerEntry> store() {
    ProgressBatch Batch = B.Owner.takeChanges(100);
    B.Owner.onStored(Batch.Mark);
    for (const WorkerEntry &Entry : Batch.Enrolled)
      if (Entry.Id == "w1")
        return Entry;
    return std::nullopt;
  }
  bool isClosed() const { return B.Owner.workers().at("w1")->Closed; }
};

} // namespace

TEST_CASE(
    "a worker with tasks is closed for a move that has to wait for them") {
  Releases R({"w1"});
  R.B.Owner.addJob(sampleJob(1), R.B.Now);
  REQUIRE(R.B.plan().Starts.size() == 1);
  CHECK(R.release() == ReleaseState::Refused);
  CHECK_FALSE(R.isClosed());
}

TEST_CASE("a worker is released before the store tells later owners") {
  Releases R({"w1"});
  CHECK(R.release() == ReleaseState::Pending);
  R.B.Owner.addJob(sampleJob(1), R.B.Now);
  CHECK(R.B.plan().Starts.empty());
  std::optional<WorkerEntry> Row = R.store();
  REQUIRE(Row);
  CHECK(Row->Released);
  CHECK(R.release() == ReleaseState::Released);
}

TEST_CASE("a released worker that is taken back stays released for later "
          "owners") {
  Releases R({"w1"});
  R.release();
  bool IsTakenBack = true;
  SUBCASE("as the order was refused") {
    R.store();
    R.takeBack();
  }
  SUBCASE("while its release is being stored") {
    ProgressBatch Batch = R.B.Owner.takeChanges(100);
    R.takeBack();
    R.B.Owner.onStored(Batch.Mark);
  }
  SUBCASE("as no order can arrive any more") {
    R.store();
    R.B.Now += std::chrono::milliseconds(13000);
    R.B.plan();
    CHECK(R.isClosed());
    R.B.Now += std::chrono::milliseconds(1);
    R.B.plan();
  }
  SUBCASE("by an owner of the fleet that didn't ask for it") {
    R.store();
    R.takeBack(FleetToken + 1);
    IsTakenBack = false;
  }
  SUBCASE("by a request that is older than the latest release") {
    R.store();
    R.release(FleetToken, 3);
    R.takeBack();
    IsTakenBack = false;
  }
  SUBCASE("by one of two that asked for it") {
    R.store();
    R.release(FleetToken + 1);
    R.takeBack(FleetToken + 1);
    IsTakenBack = false;
  }
  CHECK(R.isClosed() == !IsTakenBack);
  std::optional<WorkerEntry> Row = R.store();
  CHECK(Row.has_value() == IsTakenBack);
  if (Row)
    CHECK_FALSE(Row->Released);
  if (IsTakenBack)
    CHECK(R.release() == ReleaseState::Pending);
}

TEST_CASE("the next owner starts tasks on a worker whose machine is being "
          "taken away") {
  OwnerFixture Next(8);
  WorkerEntry Entry = sampleWorker("w1");
  Entry.Released = true;
  Next.Owner.addEnrolled(Entry, Next.Now);
  std::vector<WorkerEntry> Listed = {sampleWorker("w1")};
  Next.Owner.setWorkers(Listed, Next.Now);
  Next.Owner.addJob(sampleJob(1), Next.Now);
  Next.report("w1");
  Next.Owner.setClosedWorkers({});
  CHECK(Next.plan().Starts.empty());
  SUBCASE("and lets another owner of the fleet move it") {
    CHECK(Next.Owner.releaseWorker("w1", {FleetToken, 1}, Next.Now) ==
          ReleaseState::Released);
  }
  SUBCASE("until the order can't arrive any more") {
    Next.Now += std::chrono::milliseconds(13001);
    Next.report("w1");
    CHECK(Next.plan().Starts.size() == 1);
  }
}

TEST_CASE("each owner of a pool holds a released worker for the whole time "
          "anew") {
  constexpr std::chrono::milliseconds OwnerTime(3500);
  constexpr std::chrono::milliseconds Step(100);
  constexpr std::chrono::milliseconds MostNotCounted(1000 + Step.count());
  Releases First({"w1"});
  First.release();
  std::optional<WorkerEntry> Row = First.store();
  core::Duration Held{0};
  core::Duration Longest = std::chrono::milliseconds(13000);
  for (std::uint64_t Token = 8; Row && Row->Released; ++Token) {
    OwnerFixture Next(Token);
    Next.Owner.addEnrolled(*Row, Next.Now);
    std::vector<WorkerEntry> Listed = {sampleWorker("w1")};
    Next.Owner.setWorkers(Listed, Next.Now);
    core::TimePoint Until = Next.Now + OwnerTime;
    while (Next.Now < Until && Row->Released) {
      Next.Now += Step;
      Held += Step;
      Next.report("w1");
      Next.plan();
      ProgressBatch Batch = Next.Owner.takeChanges(100);
      Next.Owner.onStored(Batch.Mark);
      if (!Batch.Enrolled.empty())
        Row = Batch.Enrolled[0];
    }
    if (Row->Released)
      Longest += MostNotCounted;
    REQUIRE(Held <= Longest);
  }
  CHECK(Held > std::chrono::milliseconds(13000));
}

TEST_CASE(
    "a worker may be taken away while the store has a later owner take it "
    "back before the order arrives") {
  constexpr std::chrono::milliseconds Noted(4000);
  Releases R({"w1"});
  R.release();
  R.store();
  R.B.Now += Noted;
  R.B.plan();
  SUBCASE("as the time that had passed is stored") { R.store(); }
  SUBCASE("as that is being stored") {
    ProgressBatch Batch = R.B.Owner.takeChanges(100);
    REQUIRE(Batch.Enrolled.size() == 1);
    CHECK(Batch.Enrolled[0].ReleasedFor == Noted);
    CHECK(R.release() == ReleaseState::Pending);
    R.B.Owner.onStored(Batch.Mark);
  }
  CHECK(R.release() == ReleaseState::Pending);
  std::optional<WorkerEntry> Row = R.store();
  REQUIRE(Row);
  CHECK(Row->ReleasedFor == core::Duration::zero());
  CHECK(R.release() == ReleaseState::Released);
}

TEST_CASE("a worker whose release the store refuses stays closed and can't be "
          "taken down once the store accepts it") {
  Releases R({"w1"});
  R.store();
  R.release();
  ProgressBatch Refused = R.B.Owner.takeChanges(100);
  R.B.Owner.setAside(Refused);
  R.B.Owner.onStored(Refused.Mark);
  CHECK(R.release() == ReleaseState::Pending);
  ProgressBatch Again = R.B.Owner.takeSetAside();
  REQUIRE(Again.Enrolled.size() == 1);
  CHECK(Again.Enrolled[0].Released);
  R.B.Owner.onStored(Again.Mark);
  CHECK(R.release() == ReleaseState::Released);
}
