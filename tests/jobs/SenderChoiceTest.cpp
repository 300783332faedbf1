#include "jobs/SenderChoice.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

namespace {

constexpr std::uint32_t Strong = 500;
constexpr std::uint32_t Weak = 120;
constexpr unsigned DataCentres = 5;
const core::TimePoint Now{};
constexpr std::chrono::milliseconds DeadAfter(1600);

std::string centreOf(unsigned Number) {
  return "dc" + std::to_string(Number % DataCentres);
}

EntryView entry(unsigned Number, std::uint32_t Capacity) {
  EntryView Entry;
  Entry.Name = "e" + std::to_string(Number);
  Entry.DataCentre = centreOf(Number);
  Entry.Capacity = Capacity;
  Entry.ChangedAt = Now;
  return Entry;
}

/// A pool's workers and the entries that may send for its owner.
struct Fleet {
  std::vector<WorkerEntry> Listed;
  std::vector<const WorkerEntry *> Workers;
  SenderInput In;

  Fleet(unsigned Count, unsigned Helpers,
        std::uint32_t OwnerCapacity = Strong) {
    In.Pool = "pool";
    In.Owner = entry(1000, OwnerCapacity);
    for (unsigned N = 0; N < Helpers; ++N)
      In.Helpers.push_back(entry(N, Weak));
    for (unsigned N = 0; N < Count; ++N) {
      WorkerEntry Worker;
      Worker.Id = "w" + std::to_string(N);
      Worker.DataCentre = centreOf(N);
      Listed.push_back(Worker);
    }
    for (const WorkerEntry &Worker : Listed)
      Workers.push_back(&Worker);
    In.Workers = Workers;
  }
};

} // namespace

TEST_CASE("an owner that can make the calls to its workers makes them itself") {
  CHECK(chooseSenders(Fleet(12, 100).In).empty());
  CHECK(chooseSenders(Fleet(70, 100).In).empty());
  CHECK_FALSE(chooseSenders(Fleet(240, 100).In).empty());
  CHECK_FALSE(chooseSenders(Fleet(70, 100, Weak).In).empty());
  CHECK(chooseSenders(Fleet(240, 0).In).empty());
}

TEST_CASE("an owner takes its workers back only once it can carry clearly "
          "more than their calls") {
  Fleet F(70, 100);
  F.In.Relaying = true;
  CHECK_FALSE(chooseSenders(F.In).empty());
  Fleet Small(40, 100);
  Small.In.Relaying = true;
  CHECK(chooseSenders(Small.In).empty());
}

TEST_CASE("each worker has one sender, in its data centre, and no sender has "
          "far more than its part") {
  Fleet F(240, 100);
  Senders Chosen = chooseSenders(F.In);
  CHECK(Chosen.size() == F.Listed.size());
  std::map<std::string, unsigned> Counts;
  std::map<std::string, std::string> Centre;
  for (const EntryView &Entry : F.In.Helpers)
    Centre[Entry.Name] = Entry.DataCentre;
  for (const WorkerEntry &Worker : F.Listed) {
    CHECK(Centre.at(Chosen.at(Worker.Id)) == Worker.DataCentre);
    ++Counts[Chosen.at(Worker.Id)];
  }
  // 240 workers need 720 thousandths of a core, of which each helper gives 60.
  CHECK(Counts.size() >= 12);
  for (const auto &[Name, Count] : Counts)
    CHECK(Count <= 40);
}

TEST_CASE("workers of a data centre without helpers stay with the owner") {
  Fleet F(240, 100);
  std::erase_if(F.In.Helpers, [](const EntryView &Entry) {
    return Entry.DataCentre == centreOf(0);
  });
  Senders Chosen = chooseSenders(F.In);
  for (const WorkerEntry &Worker : F.Listed)
    CHECK((Chosen.count(Worker.Id) == 0) == (Worker.DataCentre == centreOf(0)));
}

TEST_CASE("the loss of a helper moves few workers of others") {
  Fleet F(240, 100);
  Senders Before = chooseSenders(F.In);
  std::string Lost = Before.at("w0");
  std::erase_if(F.In.Helpers,
                [&](const EntryView &Entry) { return Entry.Name == Lost; });
  Senders After = chooseSenders(F.In);
  unsigned Moved = 0;
  for (const auto &[Worker, Entry] : Before) {
    CHECK(After.at(Worker) != Lost);
    Moved += Entry != Lost && After.at(Worker) != Entry ? 1 : 0;
  }
  // The helper that takes the lost one's place gets its part of all workers of
  // the data centre.
  CHECK(Moved <= 48);
}

TEST_CASE("owners, dead and leaving entries do not send for others") {
  std::vector<EntryView> Entries;
  for (unsigned N = 0; N < 4; ++N)
    Entries.push_back(entry(N, Weak));
  Entries[1].ChangedAt = Now - 2 * DeadAfter;
  Entries[2].Leaving = true;
  PoolView Owned;
  Owned.OwnerName = Entries[3].Name;
  std::vector<EntryView> Helpers =
      findHelpers(Entries, std::vector<PoolView>{Owned}, Now, DeadAfter);
  REQUIRE(Helpers.size() == 1);
  CHECK(Helpers[0].Name == Entries[0].Name);
}
