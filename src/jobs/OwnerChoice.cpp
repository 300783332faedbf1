#include "jobs/OwnerChoice.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace comfreydeck::jobs {

namespace {

const EntryView *findLiving(std::span<const EntryView> Living,
                            const std::string &Name) {
  for (const EntryView &Entry : Living)
    if (Entry.Name == Name)
      return &Entry;
  return nullptr;
}

} // namespace

bool isAlive(const EntryView &Entry, core::TimePoint Now,
             core::Duration DeadAfter) {
  return !Entry.Leaving && Now - Entry.ChangedAt < DeadAfter;
}

std::vector<std::string>
poolsToTake(const EntryView &Me, std::span<const EntryView> Entries,
            std::span<const PoolView> Pools, core::TimePoint SeenAt,
            core::TimePoint Now, core::Duration DeadAfter) {
  // An entry that was cut off itself must not take the others for lost.
  if (Now - SeenAt > DeadAfter / 2)
    return {};
  std::vector<EntryView> Living;
  for (const EntryView &Entry : Entries)
    if (Entry.Name != Me.Name && isAlive(Entry, Now, DeadAfter))
      Living.push_back(Entry);
  Living.push_back(Me);
  std::map<std::string, std::uint32_t> Owned;
  std::vector<const PoolView *> Orphans;
  for (const PoolView &Pool : Pools) {
    const EntryView *Owner = findLiving(Living, Pool.OwnerName);
    if (Owner && Owner->Life == Pool.OwnerLife)
      ++Owned[Owner->Name];
    else
      Orphans.push_back(&Pool);
  }
  std::sort(
      Orphans.begin(), Orphans.end(),
      [](const PoolView *A, const PoolView *B) { return A->Pool < B->Pool; });
  std::vector<std::string> Mine;
  for (const PoolView *Pool : Orphans) {
    const EntryView *Taker = findLiving(Living, Pool->OwnerName);
    if (!Taker) {
      auto Rank = [&](const EntryView &Entry) {
        std::size_t Spread = std::hash<std::string>()(Pool->Pool + Entry.Name);
        return std::make_tuple(Owned[Entry.Name], Spread, Entry.Name);
      };
      auto Best = std::min_element(Living.begin(), Living.end(),
                                   [&](const EntryView &A, const EntryView &B) {
                                     return Rank(A) < Rank(B);
                                   });
      Taker = &*Best;
    }
    ++Owned[Taker->Name];
    if (Taker->Name == Me.Name)
      Mine.push_back(Pool->Pool);
  }
  return Mine;
}

std::vector<std::string>
poolsInNameOnly(const EntryView &Me, std::span<const PoolView> Pools,
                const std::set<std::string> &WorkedOn) {
  std::vector<std::string> Names;
  for (const PoolView &Pool : Pools) {
    bool MineByRow = Pool.OwnerName == Me.Name && Pool.OwnerLife == Me.Life;
    if (MineByRow && WorkedOn.count(Pool.Pool) == 0)
      Names.push_back(Pool.Pool);
  }
  return Names;
}

} // namespace comfreydeck::jobs
