#include "dispatch/EarlierOwners.h"

#include "dispatch/Clock.h"
#include "dispatch/LoopCalls.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;
using std::chrono::milliseconds;

namespace {

/// A question to an entry, and the callback for its answer.
struct Question {
  std::string Entry;
  std::function<void(std::optional<core::Duration>)> Done;
};

struct EarlierOwnersFixture {
  net::Loop Loop;
  std::vector<Question> Questions;
  std::shared_ptr<EarlierOwners> Earlier = std::make_shared<EarlierOwners>(
      Loop, "p", 9,
      [this](const std::string &Entry, const std::string &, std::uint64_t,
             std::function<void(std::optional<core::Duration>)> Done) {
        Questions.push_back({Entry, std::move(Done)});
      });
  core::TimePoint TakenAt = bootNow();
  std::optional<core::TimePoint> StoppedAt;

  EarlierOwnersFixture() { Loop.start(); }
  ~EarlierOwnersFixture() {
    on([this] { Earlier->cancel(); });
    Loop.stop();
  }
  void on(const std::function<void()> &Do) { runOn(Loop, Do); }
  void stop(std::vector<jobs::EarlierOwner> Owners) {
    on([&] {
      Earlier->stop(Owners, TakenAt,
                    [this](core::TimePoint At) { StoppedAt = At; });
    });
  }
  void answer(std::size_t Number, std::optional<core::Duration> For) {
    on([&] { Questions.at(Number).Done(For); });
  }
  bool isStopped() {
    bool Stopped = false;
    on([&] { Stopped = StoppedAt.has_value(); });
    return Stopped;
  }
};

} // namespace

TEST_CASE("earlier owners count as stopped once the last one has answered") {
  EarlierOwnersFixture B;
  B.stop({{"e1", 3}, {"", 4}, {"e2", 5}, {"e1", 6}});
  REQUIRE(B.Questions.size() >= 2);
  CHECK(B.Questions[0].Entry == "e1");
  CHECK(B.Questions[1].Entry == "e2");
  B.answer(0, milliseconds(0));
  CHECK_FALSE(B.isStopped());
  SUBCASE("each stopped before the pool was taken") {
    B.answer(1, std::chrono::hours(1));
    REQUIRE(B.isStopped());
    CHECK(*B.StoppedAt >= B.TakenAt);
  }
  SUBCASE("one goes on") {
    B.answer(1, std::nullopt);
    CHECK_FALSE(B.isStopped());
  }
}

TEST_CASE("an earlier owner that does not answer is asked again") {
  EarlierOwnersFixture B;
  B.stop({{"e1", 3}});
  waitUntil(B.Loop, [&] { return B.Questions.size() >= 2; });
  CHECK_FALSE(B.isStopped());
  B.answer(1, milliseconds(0));
  CHECK(B.isStopped());
}

TEST_CASE("a pool that never had an owner has none to wait for") {
  EarlierOwnersFixture B;
  B.stop({});
  CHECK(B.isStopped());
  CHECK(B.Questions.empty());
}
