#include "jobs/OwnerChoice.h"

#include <doctest/doctest.h>

#include <set>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr std::chrono::seconds DeadAfter(3);
const core::TimePoint Now{std::chrono::hours(1)};

EntryView entry(const std::string &Name, const std::string &Life) {
  EntryView Entry;
  Entry.Name = Name;
  Entry.Life = Life;
  Entry.ChangedAt = Now;
  return Entry;
}

EntryView entryOf(const std::string &Name, std::uint32_t Capacity) {
  EntryView Entry = entry(Name, "1");
  Entry.Capacity = Capacity;
  return Entry;
}

/// Who takes which pool, as all entries find it from the same views.
std::map<std::string, std::string>
takersOf(const std::vector<EntryView> &Entries,
         const std::vector<PoolView> &Pools) {
  std::map<std::string, std::string> Takers;
  for (const EntryView &Entry : Entries)
    for (const std::string &Pool :
         poolsToTake(Entry, Entries, Pools, Now, Now, DeadAfter)) {
      CAPTURE(Pool);
      CHECK(Takers.emplace(Pool, Entry.Name).second);
    }
  CHECK(Takers.size() <= Pools.size());
  return Takers;
}

PoolView light(const std::string &Name) {
  PoolView Pool = {Name, "", "", 0};
  Pool.Light = true;
  return Pool;
}

} // namespace

TEST_CASE("pools without an owner are spread, each to one entry") {
  std::vector<EntryView> Entries = {entry("a", "1"), entry("b", "1"),
                                    entry("c", "1")};
  std::vector<PoolView> Pools = {
      {"p", "", "", 0}, {"q", "", "", 0}, {"r", "", "", 0}};
  std::multiset<std::string> Taken;
  for (const EntryView &Entry : Entries) {
    auto Mine = poolsToTake(Entry, Entries, Pools, Now, Now, DeadAfter);
    CHECK(Mine.size() == 1);
    Taken.insert(Mine.begin(), Mine.end());
  }
  CHECK(Taken == std::multiset<std::string>{"p", "q", "r"});
}

TEST_CASE("a living owner keeps its pool, a dead or leaving one loses it") {
  std::vector<EntryView> Entries = {entry("a", "1"), entry("b", "1")};
  std::vector<PoolView> Pools = {{"p", "a", "1", 5}};
  SUBCASE("alive") {
    CHECK(poolsToTake(entry("b", "1"), Entries, Pools, Now, Now, DeadAfter)
              .empty());
    CHECK(poolsToTake(entry("a", "1"), Entries, Pools, Now, Now, DeadAfter)
              .empty());
  }
  SUBCASE("dead") {
    Entries[0].ChangedAt = Now - DeadAfter;
    CHECK(poolsToTake(entry("b", "1"), Entries, Pools, Now, Now, DeadAfter)
              .size() == 1);
  }
  SUBCASE("dead, but by a reading that is old itself") {
    Entries[0].ChangedAt = Now - DeadAfter;
    CHECK(poolsToTake(entry("b", "1"), Entries, Pools, Now - DeadAfter, Now,
                      DeadAfter)
              .empty());
  }
  SUBCASE("leaving") {
    Entries[0].Leaving = true;
    CHECK(poolsToTake(entry("b", "1"), Entries, Pools, Now, Now, DeadAfter)
              .size() == 1);
  }
  SUBCASE("started anew: it takes the pool back itself") {
    Entries[0] = entry("a", "2");
    CHECK(poolsToTake(entry("a", "2"), Entries, Pools, Now, Now, DeadAfter)
              .size() == 1);
    CHECK(poolsToTake(entry("b", "1"), Entries, Pools, Now, Now, DeadAfter)
              .empty());
  }
}

// Found by a hunt: entries that were started anew took their own pools again
// and again, as the view still showed their processes before.
TEST_CASE("an entry keeps its pool though others see its process before") {
  std::vector<EntryView> Entries = {entry("a", "1"), entry("b", "1")};
  std::vector<PoolView> Pools = {{"p", "a", "2", 5}};
  CHECK(poolsToTake(entry("a", "2"), Entries, Pools, Now, Now, DeadAfter)
            .empty());
}

// Found by a hunt: a transaction that took a pool applied seconds after it was
// given up; its row named a living owner that did not work on the pool.
TEST_CASE(
    "a pool whose row names a process that does not work on it is found") {
  EntryView Me = entry("a", "2");
  std::vector<PoolView> Pools = {{"late", "a", "2", 9},
                                 {"worked", "a", "2", 8},
                                 {"earlier life", "a", "1", 7},
                                 {"another's", "b", "2", 6},
                                 {"nobody's", "", "", 0}};
  CHECK(poolsInNameOnly(Me, Pools, {"worked"}) ==
        std::vector<std::string>{"late"});
}

// Seen on a fleet of some strong and many weak entries: nearly all pools went
// to weak ones, whose processors were too small for them.
TEST_CASE("pools without an owner go to strong entries, not to weak ones") {
  std::vector<EntryView> Entries;
  Entries.reserve(34);
  for (int N = 0; N < 30; ++N)
    Entries.push_back(entryOf("weak" + std::to_string(N), 120));
  for (int N = 0; N < 4; ++N)
    Entries.push_back(entryOf("strong" + std::to_string(N), 500));
  std::vector<PoolView> Pools = {
      {"p", "", "", 0}, {"q", "", "", 0}, {"r", "", "", 0}, {"s", "", "", 0}};
  std::set<std::string> Owners;
  for (const auto &Item : takersOf(Entries, Pools)) {
    CAPTURE(Item.second);
    CHECK(Item.second.starts_with("strong"));
    Owners.insert(Item.second);
  }
  CHECK(Owners.size() == 4);
}

TEST_CASE("capacity is shared by the pools that an entry owns already") {
  std::vector<EntryView> Entries = {entryOf("a", 500), entryOf("b", 200)};
  SUBCASE("a second pool leaves the strong one more than the weak one has") {
    std::vector<PoolView> Pools = {{"p", "a", "1", 5}, {"q", "", "", 0}};
    CHECK(takersOf(Entries, Pools).at("q") == "a");
  }
  SUBCASE("a third one doesn't") {
    std::vector<PoolView> Pools = {
        {"p", "a", "1", 5}, {"q", "a", "1", 6}, {"r", "", "", 0}};
    CHECK(takersOf(Entries, Pools).at("r") == "b");
  }
}

TEST_CASE("a stronger entry that comes takes no pool off a living owner") {
  std::vector<EntryView> Entries = {entryOf("a", 120), entryOf("b", 500)};
  std::vector<PoolView> Pools = {{"p", "a", "1", 5}};
  CHECK(takersOf(Entries, Pools).empty());
}

TEST_CASE("an entry that was started anew takes its pool back though stronger "
          "ones are free") {
  std::vector<EntryView> Entries = {entryOf("a", 120), entryOf("b", 500)};
  std::vector<PoolView> Pools = {{"p", "a", "earlier", 5}};
  CHECK(takersOf(Entries, Pools).at("p") == "a");
}

TEST_CASE("a pool that starts no jobs stays off the entries that work") {
  std::vector<EntryView> Entries = {entryOf("a", 500), entryOf("b", 400),
                                    entryOf("c", 120)};
  std::vector<PoolView> Pools = {
      light("@fleet"), {"p", "", "", 0}, {"q", "", "", 0}};
  auto Takers = takersOf(Entries, Pools);
  CHECK(Takers.at("p") == "a");
  CHECK(Takers.at("q") == "b");
  CHECK(Takers.at("@fleet") == "c");
}

TEST_CASE("a light pool's owner is not passed over for one that works") {
  std::vector<EntryView> Entries = {entryOf("a", 500), entryOf("b", 120)};
  std::vector<PoolView> Pools = {light("@fleet"), {"p", "", "", 0}};
  Pools[0].OwnerName = "a";
  Pools[0].OwnerLife = "1";
  CHECK(takersOf(Entries, Pools).at("p") == "a");
}

TEST_CASE("a small link bounds what an entry can do") {
  CHECK(capacityOf(0.5, 200) == 500);
  CHECK(capacityOf(0.5, 10) == 100);
  CHECK(capacityOf(0.12, 1000) == 120);
  CHECK(capacityOf(0.12, 0) > 0);
}

TEST_CASE("the first choice waits while entries of the fleet still show up") {
  using std::chrono::milliseconds;
  core::TimePoint Started = Now;
  // Alone for now: the others may only be slower to start.
  CHECK_FALSE(hasGathered(Started, Started, Started + milliseconds(900)));
  CHECK_FALSE(hasGathered(Started, Started + milliseconds(1500),
                          Started + milliseconds(2000)));
  CHECK(hasGathered(Started, Started + milliseconds(1500),
                    Started + milliseconds(2600)));
  // Entries that come one after the other don't put it off for good.
  CHECK(hasGathered(Started, Started + milliseconds(4900),
                    Started + milliseconds(5100)));
}
