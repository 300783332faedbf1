#include "core/TimeOfDay.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace comfreydeck::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Period(700);
constexpr milliseconds Early(250);
constexpr Duration TrueUnix = std::chrono::hours(500000);

/// Entries that report to each other by way of a store.
struct Fleet {
  struct Member {
    /// Zero of its boot clock, on the store's clock.
    Duration BootedAt{0};
    /// How far its own time of day is off.
    Duration Error{0};
    bool Running = true;
    TimeOfDay Time = {};
    TimeReport Stored = {};
    Duration Stepped{0};
  };
  std::vector<Member> Members;
  Duration StoreNow = seconds(500);
  /// Added to what the store's clock shows.
  Duration StoreShift{0};
  bool StoreAnswers = true;
  bool StoreShowsClock = true;

  explicit Fleet(const std::vector<Duration> &Errors) {
    for (std::size_t N = 0; N < Errors.size(); ++N) {
      Members.push_back({seconds(N * 90), Errors[N]});
      start(Members.back());
    }
  }

  TimePoint now(const Member &M) const {
    return TimePoint(StoreNow - M.BootedAt);
  }
  Duration wall(const Member &M) const { return TrueUnix + StoreNow + M.Error; }
  void start(Member &M) const {
    M.Time = startTimeOfDay(now(M), wall(M));
    M.Running = true;
  }
  void restartAll() {
    for (Member &M : Members)
      start(M);
  }
  void run(Duration For) {
    for (Duration End = StoreNow + For; StoreNow < End; StoreNow += Period)
      for (Member &M : Members)
        if (M.Running)
          beat(M);
  }
  void beat(Member &M) {
    M.Stepped += observeOwnTime(M.Time, now(M), wall(M)).value_or(Duration(0));
    std::vector<TimeReport> Reports;
    for (const Member &Other : Members) {
      Reports.push_back(Other.Stored);
      Reports.back().Alive = Other.Running && &Other != &M;
    }
    if (StoreAnswers && StoreShowsClock)
      observeStoreClock(M.Time,
                        {now(M) - milliseconds(8), now(M) + milliseconds(4),
                         StoreNow + StoreShift});
    reviewTime(M.Time, Reports, now(M));
    if (!StoreAnswers)
      return;
    M.Stored.Own = ownTimeReport(M.Time);
    if (std::optional<AgreedTime> Agreed = agreedTime(M.Time, now(M)))
      M.Stored.Agreed = Agreed;
  }
  /// The error of the time by which a running entry decides.
  Duration errorOf(const Member &M) const {
    return unixTime(M.Time, now(M)) - TrueUnix - StoreNow;
  }
  Duration largestError() const {
    Duration Largest{0};
    for (const Member &M : Members)
      if (M.Running)
        Largest = std::max<Duration>(Largest, std::chrono::abs(errorOf(M)));
    return Largest;
  }
  void step(std::size_t Count, Duration By) {
    for (std::size_t N = 0; N < Count; ++N)
      Members[N].Error += By;
  }
};

} // namespace

TEST_CASE("entries don't follow a step of their times of day") {
  Fleet F({milliseconds(20), milliseconds(-30), milliseconds(0),
           milliseconds(10), milliseconds(5)});
  F.run(seconds(10));
  REQUIRE(F.largestError() < Early);
  Duration By = seconds(90);
  SUBCASE("ahead") {}
  SUBCASE("back") { By = seconds(-40); }
  for (std::size_t Count : {1, 3, 5}) {
    CAPTURE(Count);
    Fleet Stepped = F;
    Stepped.step(Count, By);
    Stepped.run(seconds(60));
    CHECK(Stepped.largestError() < Early);
    CHECK(Stepped.Members[0].Stepped == By);
    // Nor do those that start after it.
    Stepped.Members.push_back({seconds(400), By});
    Stepped.start(Stepped.Members.back());
    Stepped.run(seconds(20));
    CHECK(Stepped.largestError() < Early);
    Stepped.restartAll();
    Stepped.run(seconds(20));
    CHECK(Stepped.largestError() < Early);
  }
}

TEST_CASE("an entry whose time of day is wrong at the first start of all is "
          "outvoted") {
  Fleet F({seconds(-40), milliseconds(0), milliseconds(10)});
  SUBCASE("all start at once") {}
  SUBCASE("it has agreed with itself before the others start") {
    for (std::size_t N : {1, 2})
      F.Members[N].Running = false;
    F.run(seconds(20));
    F.Members.push_back({seconds(7), milliseconds(3)});
    for (std::size_t N : {1, 2, 3})
      F.start(F.Members[N]);
  }
  F.run(seconds(10));
  CHECK(F.largestError() < Early);
}

TEST_CASE("an entry that agreed with itself alone binds the two that start "
          "after it") {
  Duration Error = seconds(40);
  SUBCASE("ahead") {}
  SUBCASE("behind") { Error = seconds(-40); }
  Fleet F({Error, milliseconds(0), milliseconds(10)});
  for (std::size_t N : {1, 2})
    F.Members[N].Running = false;
  F.run(seconds(20));
  F.start(F.Members[1]);
  F.run(seconds(20));
  F.start(F.Members[2]);
  F.run(seconds(20));
  CHECK(F.largestError() < Early);
}

TEST_CASE("a wrong time of day that most stored rows have takes over the "
          "support of the right one") {
  // Of earlier entries: two confirmed the wrong time, four the right one.
  std::size_t RightRows = 1;
  std::size_t Starting = 5;
  SUBCASE("one row is right, and five entries start") {}
  SUBCASE("two rows are right, and one entry starts") {
    RightRows = 2;
    Starting = 1;
  }
  Fleet F(std::vector<Duration>(3 + RightRows + Starting));
  for (std::size_t N = 0; N < 3 + RightRows; ++N) {
    Fleet::Member &Gone = F.Members[N];
    Gone.Running = false;
    Gone.Stored.Agreed = N < 3
                             ? AgreedTime{TrueUnix + seconds(40), F.StoreNow, 2}
                             : AgreedTime{TrueUnix, F.StoreNow, 4};
  }
  F.run(seconds(10));
  CHECK(F.largestError() < Early);
}

TEST_CASE("entries that are all wrong at the first start decide by one time "
          "that no later step moves") {
  Fleet F({seconds(40), seconds(40), seconds(-40)});
  F.run(seconds(10));
  std::vector<Duration> Before;
  for (const Fleet::Member &M : F.Members)
    Before.push_back(F.errorOf(M));
  CHECK(Before[0] == Before[2]);
  F.step(3, seconds(90));
  F.restartAll();
  F.run(seconds(100));
  for (std::size_t N = 0; N < 3; ++N)
    CHECK(std::chrono::abs(F.errorOf(F.Members[N]) - Before[N]) <
          milliseconds(60));
}

TEST_CASE("entries that agreed apart from each other on different times of day "
          "agree on the one with more sources") {
  Fleet F({milliseconds(0), milliseconds(0), milliseconds(0), seconds(30)});
  Fleet Apart = F;
  Apart.Members[0].Running = Apart.Members[1].Running =
      Apart.Members[2].Running = false;
  Apart.run(seconds(10));
  F.Members[3].Running = false;
  F.run(seconds(10));
  F.Members[3] = Apart.Members[3];
  F.run(seconds(5));
  CHECK(F.largestError() < Early);
}

TEST_CASE("the boot clock carries the time of day on while the store gives no "
          "answer") {
  Fleet F({milliseconds(0), milliseconds(0), milliseconds(0)});
  F.run(seconds(10));
  F.StoreAnswers = false;
  F.step(3, seconds(-40));
  F.run(seconds(60));
  CHECK(F.largestError() < Early);
}

TEST_CASE("a step of an entry's own time of day is not followed while the "
          "store's clock can't be read") {
  Fleet F({milliseconds(0)});
  F.StoreShowsClock = false;
  F.run(seconds(10));
  F.step(1, seconds(90));
  F.run(seconds(60));
  CHECK(F.largestError() < Early);
}

TEST_CASE("a store whose clock begins anew does not move the time of day") {
  Fleet F({milliseconds(0), milliseconds(0), milliseconds(0)});
  F.run(seconds(10));
  SUBCASE("earlier") { F.StoreShift = seconds(-500); }
  SUBCASE("later") { F.StoreShift = seconds(5000); }
  F.run(seconds(30));
  CHECK(F.largestError() < Early);
  F.step(3, seconds(-40));
  F.restartAll();
  F.run(seconds(20));
  CHECK(F.largestError() < Early);
}

TEST_CASE("the agreed time follows the entries' own at a bounded rate") {
  Fleet F({seconds(2), seconds(2), seconds(2)});
  F.run(seconds(10));
  F.step(3, seconds(-2));
  F.run(seconds(100));
  Duration After = F.largestError();
  CHECK(After < seconds(2) - milliseconds(40));
  CHECK(After > seconds(2) - milliseconds(60));
  F.run(seconds(4000));
  CHECK(F.largestError() < milliseconds(10));
}

TEST_CASE("a suspended entry keeps the time of day") {
  Fleet F({milliseconds(0), milliseconds(0), milliseconds(0)});
  F.run(seconds(10));
  F.Members[0].Running = false;
  F.run(seconds(30));
  F.Members[0].Running = true;
  CHECK(F.largestError() < Early);
  F.run(seconds(5));
  CHECK(F.largestError() < Early);
}
