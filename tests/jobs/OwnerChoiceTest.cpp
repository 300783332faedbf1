#include "jobs/OwnerChoice.h"

#include <doctest/doctest.h>

#include <set>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr std::chrono::seconds DeadAfter(3);
const core::TimePoint Now{};

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

/// Computes the assignment of every entry from the same views; returns the
/// entry that takes each pool.
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

TEST_CASE("each pool without an owner is taken by exactly one entry") {
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

TEST_CASE("a pool is taken over only from a dead or leaving owner") {
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
  SUBCASE("dead according to a stale view") {
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
  SUBCASE("restarted: it takes the pool back itself") {
    Entries[0] = entry("a", "2");
    CHECK(poolsToTake(entry("a", "2"), Entries, Pools, Now, Now, DeadAfter)
              .size() == 1);
    CHECK(poolsToTake(entry("b", "1"), Entries, Pools, Now, Now, DeadAfter)
              .empty());
  }
}

// Restarted entries took over their own pools repeatedly, because the view
// still showed their previous processes.
TEST_CASE("a restarted entry keeps its pool while the view shows its previous "
          "process") {
  std::vector<EntryView> Entries = {entry("a", "1"), entry("b", "1")};
  std::vector<PoolView> Pools = {{"p", "a", "2", 5}};
  CHECK(poolsToTake(entry("a", "2"), Entries, Pools, Now, Now, DeadAfter)
            .empty());
}

// A takeover transaction was applied seconds after it had timed out. The row
// then named a living owner that did not serve the pool.
TEST_CASE("pools whose row names this process although it does not serve them "
          "are detected") {
  EntryView Me = entry("a", "2");
  std::vector<PoolView> Pools = {{"late", "a", "2", 9},
                                 {"worked", "a", "2", 8},
                                 {"earlier life", "a", "1", 7},
                                 {"another's", "b", "2", 6},
                                 {"nobody's", "", "", 0}};
  CHECK(unservedPools(Me, Pools, {"worked"}) ==
        std::vector<std::string>{"late"});
}

// In a fleet of a few strong and many weak entries, nearly all pools went to
// weak ones, whose CPUs were too small for them.
TEST_CASE("pools without an owner go to the entries with the most capacity") {
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

TEST_CASE("an entry's capacity is divided by the number of pools it owns") {
  std::vector<EntryView> Entries = {entryOf("a", 500), entryOf("b", 200)};
  SUBCASE("half of the strong entry is more than the weak entry") {
    std::vector<PoolView> Pools = {{"p", "a", "1", 5}, {"q", "", "", 0}};
    CHECK(takersOf(Entries, Pools).at("q") == "a");
  }
  SUBCASE("a third of the strong entry is less than the weak entry") {
    std::vector<PoolView> Pools = {
        {"p", "a", "1", 5}, {"q", "a", "1", 6}, {"r", "", "", 0}};
    CHECK(takersOf(Entries, Pools).at("r") == "b");
  }
}

TEST_CASE(
    "a stronger entry that joins does not take pools from living owners") {
  std::vector<EntryView> Entries = {entryOf("a", 120), entryOf("b", 500)};
  std::vector<PoolView> Pools = {{"p", "a", "1", 5}};
  CHECK(takersOf(Entries, Pools).empty());
}

TEST_CASE("a restarted entry takes its pool back although stronger entries are "
          "free") {
  std::vector<EntryView> Entries = {entryOf("a", 120), entryOf("b", 500)};
  std::vector<PoolView> Pools = {{"p", "a", "earlier", 5}};
  CHECK(takersOf(Entries, Pools).at("p") == "a");
}

TEST_CASE("a light pool goes to an entry that owns no pool with jobs") {
  std::vector<EntryView> Entries = {entryOf("a", 500), entryOf("b", 400),
                                    entryOf("c", 120)};
  std::vector<PoolView> Pools = {
      light("@fleet"), {"p", "", "", 0}, {"q", "", "", 0}};
  auto Takers = takersOf(Entries, Pools);
  CHECK(Takers.at("p") == "a");
  CHECK(Takers.at("q") == "b");
  CHECK(Takers.at("@fleet") == "c");
}

TEST_CASE("owning a light pool does not keep an entry from getting another") {
  std::vector<EntryView> Entries = {entryOf("a", 500), entryOf("b", 120)};
  std::vector<PoolView> Pools = {light("@fleet"), {"p", "", "", 0}};
  Pools[0].OwnerName = "a";
  Pools[0].OwnerLife = "1";
  CHECK(takersOf(Entries, Pools).at("p") == "a");
}

TEST_CASE("a slow network link limits an entry's capacity") {
  CHECK(capacityOf(0.5, 200) == 500);
  CHECK(capacityOf(0.5, 10) == 100);
  CHECK(capacityOf(0.12, 1000) == 120);
  CHECK(capacityOf(0.12, 0) > 0);
}

TEST_CASE("discovery of entries waits while new ones appear, but not forever") {
  using std::chrono::milliseconds;
  core::TimePoint Started = Now;
  // No other entry yet: the others may just be slower to start.
  CHECK_FALSE(
      isDiscoveryComplete(Started, Started, Started + milliseconds(900)));
  CHECK_FALSE(isDiscoveryComplete(Started, Started + milliseconds(1500),
                                  Started + milliseconds(2000)));
  CHECK(isDiscoveryComplete(Started, Started + milliseconds(1500),
                            Started + milliseconds(2600)));
  // A steady trickle of new entries does not delay it indefinitely.
  CHECK(isDiscoveryComplete(Started, Started + milliseconds(4900),
                            Started + milliseconds(5100)));
}

TEST_CASE("a pool's history has every owner since the settled one") {
  PoolView Pool{"p", "", "", 0};
  OwnerHistory First = historyAfter(Pool);
  CHECK(First.Complete);
  CHECK(First.Owners.empty());
  Pool = {"p", "e1", "life", 5};
  Pool.Earlier = First;
  OwnerHistory Second = historyAfter(Pool);
  CHECK(Second.Complete);
  CHECK(Second.Owners == std::vector<EarlierOwner>{{"e1", 5}});
  SUBCASE("a released pool names no entry to ask") {
    PoolView Released{"p", "", "", 7, 6};
    Released.Earlier = Second;
    CHECK(historyAfter(Released).Owners ==
          std::vector<EarlierOwner>{{"e1", 5}, {"", 6}});
  }
  SUBCASE("owners before the settled one are not asked") {
    Second.Owners.push_back({"e2", 6});
    dropBeforeSettled(Second, 6);
    CHECK(Second.Owners == std::vector<EarlierOwner>{{"e2", 6}});
  }
  SUBCASE("an unknown settled owner changes nothing") {
    dropBeforeSettled(Second, 4);
    CHECK(Second.Owners.size() == 1);
  }
}

TEST_CASE("a history that lost its oldest owners is complete only from a "
          "settled one on") {
  PoolView Pool{"p", "e0", "life", 100};
  Pool.Earlier.Complete = true;
  for (std::uint64_t N = 1; N < 40; ++N) {
    OwnerHistory Next = historyAfter(Pool);
    Pool = {"p", "e" + std::to_string(N), "life", 100 + N};
    Pool.Earlier = Next;
  }
  OwnerHistory History = historyAfter(Pool);
  CHECK_FALSE(History.Complete);
  CHECK(History.Owners.size() < 40);
  CHECK(History.Owners.back() == EarlierOwner{"e39", 139});
  dropBeforeSettled(History, 138);
  CHECK(History.Complete);
  CHECK(History.Owners.size() == 2);
}

TEST_CASE("a pool counts as released beside others only if it has no owner and "
          "another entry is alive") {
  EntryView Me = entry("a", "1");
  std::vector<EntryView> Entries = {Me, entry("b", "1")};
  PoolView Pool = {"p", "", "", 5};
  auto IsReleased = [&] {
    return isReleasedBesideOthers(Me, Pool, Entries, Now, DeadAfter);
  };
  CHECK(IsReleased());
  SUBCASE("never owned") { Pool.Version = 0; }
  SUBCASE("owned") { Pool.OwnerName = "b"; }
  SUBCASE("the other entry is leaving") { Entries[1].Leaving = true; }
  SUBCASE("the other entry is dead") { Entries[1].ChangedAt = Now - DeadAfter; }
  SUBCASE("there is no other entry") { Entries.pop_back(); }
  CHECK_FALSE(IsReleased());
}
