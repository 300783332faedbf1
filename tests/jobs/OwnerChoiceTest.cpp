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
