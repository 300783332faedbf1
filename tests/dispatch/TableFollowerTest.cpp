#include "dispatch/TableFollower.h"

#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"

#include <doctest/doctest.h>

#include <future>
#include <map>
#include <set>
#include <stdexcept>
#include <utility>

using namespace comfreydeck;

namespace {

/// Bytes of one job row on the wire.
constexpr std::size_t RowBytes = 3400;
/// Bytes that a link of 10 Mbit/s carries within the time limit of one read.
constexpr std::size_t LinkBytes = 1'800'000;

/// A store behind a slow link: if the answers in flight exceed what the link
/// carries within the time limit of one read, all of them are lost.
class SlowLinkStore : public store::PartitionedStore {
public:
  void fill(const std::vector<std::string> &Parts, std::size_t RowsOfEach) {
    for (const std::string &Part : Parts)
      for (std::size_t Row = 0; Row < RowsOfEach; ++Row)
        Rows_[Part].push_back(
            {{"t", Part, std::to_string(100000 + Row)}, "", Version_++, false});
  }

  void commit(store::PartTransaction, core::Duration,
              store::PartCallback Done) override {
    Done({});
  }
  void read(store::PartRange Range, store::PartCallback Done) override {
    Asked_.emplace_back(std::move(Range), std::move(Done));
  }
  void changes(std::string, std::uint64_t, core::Duration,
               store::PartCallback Done) override {
    Done({});
  }

  /// Answers reads until none is pending.
  void serve() {
    while (!Asked_.empty()) {
      auto Asked = std::exchange(Asked_, {});
      std::vector<store::PartAnswer> Answers;
      std::size_t Bytes = 0;
      for (const auto &[Range, Done] : Asked) {
        Answers.push_back(page(Range));
        Bytes += Answers.back().Rows.size() * RowBytes;
      }
      for (std::size_t I = 0; I < Asked.size(); ++I) {
        store::PartAnswer Lost;
        Lost.Outcome = store::PartOutcome::Unknown;
        Asked[I].second(Bytes > LinkBytes ? Lost : Answers[I]);
      }
    }
  }

  /// Loses the answers to all pending reads; returns their number.
  std::size_t loseAnswers() {
    auto Asked = std::exchange(Asked_, {});
    store::PartAnswer Lost;
    Lost.Outcome = store::PartOutcome::Unknown;
    for (const auto &[Range, Done] : Asked)
      Done(Lost);
    return Asked.size();
  }

private:
  store::PartAnswer page(const store::PartRange &Range) const {
    constexpr std::size_t MaxPageRows = 500;
    std::size_t MaxRows =
        Range.MaxRows == 0 ? MaxPageRows
                           : std::min<std::size_t>(Range.MaxRows, MaxPageRows);
    store::PartAnswer Answer;
    Answer.Outcome = store::PartOutcome::Ok;
    Answer.Version = Version_;
    auto Part = Rows_.find(Range.Part);
    if (Part == Rows_.end())
      return Answer;
    for (const store::PartRow &Row : Part->second) {
      if (Row.Where.Key < Range.From)
        continue;
      Answer.More = Answer.Rows.size() == MaxRows;
      if (Answer.More)
        break;
      Answer.Rows.push_back(Row);
    }
    return Answer;
  }

  std::map<std::string, std::vector<store::PartRow>> Rows_;
  std::vector<std::pair<store::PartRange, store::PartCallback>> Asked_;
  std::uint64_t Version_ = 1;
};

/// Partitions and keys of all rows read; empty if the read failed.
std::multiset<std::string> readAll(SlowLinkStore &Store,
                                   const std::vector<std::string> &Parts) {
  std::multiset<std::string> Keys;
  std::size_t Calls = 0;
  dispatch::readParts(Store, "t", Parts, [&](store::PartAnswer Answer) {
    ++Calls;
    if (Answer.Outcome == store::PartOutcome::Ok)
      for (const store::PartRow &Row : Answer.Rows)
        Keys.insert(Row.Where.Part + "/" + Row.Where.Key);
  });
  Store.serve();
  CHECK(Calls == 1);
  return Keys;
}

} // namespace

TEST_CASE("a new owner behind a slow link reads all jobs, however many") {
  std::vector<std::string> Parts;
  for (char Digit : std::string("0123456789abcdef"))
    Parts.emplace_back(1, Digit);
  for (std::size_t RowsOfEach : {0U, 1U, 100U, 101U, 700U}) {
    CAPTURE(RowsOfEach);
    SlowLinkStore Store;
    Store.fill(Parts, RowsOfEach);
    std::multiset<std::string> Keys = readAll(Store, Parts);
    CHECK(Keys.size() == RowsOfEach * Parts.size());
    CHECK(std::set<std::string>(Keys.begin(), Keys.end()).size() ==
          Keys.size());
  }
}

TEST_CASE("a failed read is reported once and sends no further requests") {
  SlowLinkStore Store;
  Store.fill({"a", "b", "c", "d"}, 1);
  std::size_t Calls = 0;
  dispatch::readParts(Store, "t", {"a", "b", "c", "d"},
                      [&](const store::PartAnswer &Answer) {
                        ++Calls;
                        CHECK(Answer.Outcome == store::PartOutcome::Unknown);
                      });
  CHECK(Store.loseAnswers() == 2);
  CHECK(Store.loseAnswers() == 0);
  CHECK(Calls == 1);
}

TEST_CASE("a read of a single partition with several pages completes") {
  SlowLinkStore Store;
  Store.fill({"p"}, 150);
  CHECK(readAll(Store, {"p"}).size() == 150);
}

namespace {

/// A store that answers at once, but for every third read, which gets no
/// answer. It has discarded the changes before version 1000.
struct LossyStore : store::PartitionedStore {
  static constexpr std::size_t RowCount = 2000;
  static constexpr std::uint64_t Version = 1000;
  static constexpr std::size_t MostReads = 100;
  std::size_t Reads = 0;
  /// Fulfilled with false once more reads have been sent than a read of all
  /// rows needs.
  std::promise<bool> Ended;
  bool HasEnded = false;

  void end(bool Synced) {
    if (!std::exchange(HasEnded, true))
      Ended.set_value(Synced);
  }
  void commit(store::PartTransaction, core::Duration,
              store::PartCallback Done) override {
    Done({});
  }
  void changes(std::string, std::uint64_t After, core::Duration,
               store::PartCallback Done) override {
    store::PartAnswer Answer;
    Answer.Version = Version;
    Answer.Outcome = After < Version ? store::PartOutcome::HistoryGone
                                     : store::PartOutcome::Ok;
    Done(Answer);
  }
  void read(store::PartRange Range, store::PartCallback Done) override {
    store::PartAnswer Answer;
    if (++Reads > MostReads)
      end(false);
    if (Reads % 3 == 0) {
      Answer.Outcome = store::PartOutcome::Unknown;
      Done(Answer);
      return;
    }
    Answer.Outcome = store::PartOutcome::Ok;
    Answer.Version = Version;
    for (std::size_t Row = 0; Row < RowCount; ++Row) {
      std::string Key = std::to_string(100000 + Row);
      if (Key < Range.From || (!Range.To.empty() && Key >= Range.To))
        continue;
      Answer.More = Answer.Rows.size() == Range.MaxRows;
      if (Answer.More)
        break;
      Answer.Rows.push_back({{Range.Table, Range.Part, Key}, "", 1, false});
    }
    Done(Answer);
  }
};

} // namespace

TEST_CASE("a follower that has lost its history reads a table of many pages "
          "though every third read fails") {
  LossyStore Store;
  net::Loop Loop;
  std::size_t RowsPassed = 0;
  dispatch::TableFollower Follower(
      Loop, Store, {"t", {}, std::chrono::seconds(1), {}},
      {nullptr, [&](const store::PartRow &) { ++RowsPassed; },
       [&](bool All) { Store.end(All); }});
  Loop.start();
  Loop.post([&] { Follower.startFrom(1); });
  bool Synced = Store.Ended.get_future().get();
  Loop.stop();
  CHECK(Synced);
  CHECK(RowsPassed == LossyStore::RowCount);
}

TEST_CASE("a range of many pages is read though every third read fails") {
  LossyStore Store;
  net::Loop Loop;
  Loop.start();
  std::promise<store::PartAnswer> Done;
  Loop.post([&] {
    dispatch::readRange(
        Loop, Store, {"t", "p", "100500", "102000", 0},
        [&](store::PartAnswer Answer) { Done.set_value(std::move(Answer)); });
  });
  store::PartAnswer Answer = Done.get_future().get();
  Loop.stop();
  CHECK(Answer.Outcome == store::PartOutcome::Ok);
  CHECK(Answer.Rows.size() == 1500);
}

namespace {

/// Follows table "t" and can't handle the rows that are named in \ref Failing.
struct FollowerFixture {
  net::Loop Loop;
  tests::InMemoryStore Store;
  /// Accessed on the loop's thread only, as is what follows.
  std::set<std::string> Failing;
  bool FailEnd = false;
  /// Values that were applied, in order.
  std::map<std::string, std::vector<std::string>> Applied;
  std::uint32_t Ends = 0;
  std::uint32_t Attempts = 0;
  std::map<std::string, std::uint32_t> AttemptsByKey;
  dispatch::TableFollower Follower{
      Loop,
      Store,
      {"t", {}, std::chrono::milliseconds(10), {}},
      {nullptr, [this](const store::PartRow &Row) { apply(Row); },
       [this](bool) { end(); }}};

  FollowerFixture() { Loop.start(); }
  ~FollowerFixture() { Loop.stop(); }

  void put(const std::string &Key, const std::string &Value) {
    Store.put({"t", "", Key}, Value);
  }
  void start() {
    tests::runOn(Loop, [this] { Follower.start(); });
  }
  void apply(const store::PartRow &Row) {
    ++Attempts;
    ++AttemptsByKey[Row.Where.Key];
    if (Failing.count(Row.Where.Key) != 0)
      throw std::runtime_error("can't be handled now");
    Applied[Row.Where.Key].push_back(Row.Value);
  }
  void end() {
    if (FailEnd)
      throw std::runtime_error("can't be handled now");
    ++Ends;
  }
  void waitFor(const std::function<bool()> &Condition) {
    tests::waitUntil(Loop, Condition);
  }
};

using Values = std::vector<std::string>;

} // namespace

TEST_CASE("a row that can't be handled costs no row behind it, and is handled "
          "once it can be") {
  FollowerFixture B;
  B.Failing = {"b", "e"};
  for (const char *Key : {"a", "b", "c"})
    B.put(Key, "1");
  B.start();
  B.waitFor([&] { return B.Ends > 0; });
  tests::runOn(B.Loop, [&] {
    CHECK(B.Applied["a"] == Values{"1"});
    CHECK(B.Applied["b"].empty());
    CHECK(B.Applied["c"] == Values{"1"});
  });
  for (const char *Key : {"d", "e", "f"})
    B.put(Key, "1");
  B.waitFor([&] { return !B.Applied["f"].empty(); });
  tests::runOn(B.Loop, [&] {
    CHECK(B.Applied["d"] == Values{"1"});
    CHECK(B.Applied["e"].empty());
    B.Failing.clear();
  });
  B.waitFor([&] { return !B.Applied["b"].empty() && !B.Applied["e"].empty(); });
  tests::runOn(B.Loop, [&] {
    for (const char *Key : {"a", "b", "c", "d", "e", "f"})
      CHECK(B.Applied[Key] == Values{"1"});
  });
}

TEST_CASE(
    "a row that could not be handled is not applied after a newer version "
    "of it") {
  FollowerFixture B;
  B.Failing = {"a", "b"};
  B.put("a", "old");
  B.put("b", "1");
  B.start();
  B.waitFor([&] { return B.Ends > 0; });
  tests::runOn(B.Loop, [&] { B.Failing = {"b"}; });
  B.put("a", "new");
  B.waitFor([&] { return !B.Applied["a"].empty(); });
  tests::runOn(B.Loop, [&] { B.Failing.clear(); });
  B.waitFor([&] { return !B.Applied["b"].empty(); });
  tests::runOn(B.Loop, [&] { CHECK(B.Applied["a"] == Values{"new"}); });
}

TEST_CASE("a row that can never be handled holds up no other one of its table "
          "that could not be handled once") {
  FollowerFixture B;
  B.Failing = {"a", "b"};
  B.put("a", "1");
  B.start();
  // Four seconds pass until its next try.
  B.waitFor([&] { return B.AttemptsByKey["a"] == 3; });
  B.put("b", "1");
  B.waitFor([&] { return B.AttemptsByKey["b"] == 1; });
  tests::runOn(B.Loop, [&] { B.Failing = {"a"}; });
  std::uint32_t TriesOfOther = 0;
  B.waitFor([&] {
    TriesOfOther = B.AttemptsByKey["a"];
    return !B.Applied["b"].empty();
  });
  CHECK(TriesOfOther == 3);
}

TEST_CASE("rows that can never be handled are passed again ever more rarely") {
  constexpr std::uint32_t Rows = 1500;
  FollowerFixture B;
  for (std::uint32_t Row = 0; Row < Rows; ++Row) {
    B.put(std::to_string(Row), "1");
    B.Failing.insert(std::to_string(Row));
  }
  B.start();
  std::this_thread::sleep_for(std::chrono::milliseconds(3500));
  // Once as read, after one second with a full read, and after three.
  tests::runOn(B.Loop, [&] { CHECK(B.Attempts <= 5 * Rows); });
}

TEST_CASE(
    "what follows a change of rows is done again if it failed, and reading "
    "goes on meanwhile") {
  FollowerFixture B;
  B.FailEnd = true;
  B.put("a", "1");
  B.start();
  B.waitFor([&] { return !B.Applied["a"].empty(); });
  bool Current = false;
  tests::runOn(B.Loop, [&] {
    B.Follower.whenCurrent([] { throw std::runtime_error("fails"); });
    B.Follower.whenCurrent([&] { Current = true; });
  });
  B.waitFor([&] { return Current; });
  tests::runOn(B.Loop, [&] { B.FailEnd = false; });
  B.waitFor([&] { return B.Ends == 1; });
  B.put("b", "1");
  B.waitFor([&] { return !B.Applied["b"].empty(); });
}
