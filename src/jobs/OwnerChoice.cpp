#include "jobs/OwnerChoice.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <tuple>

namespace comfreydeck::jobs {

namespace {

/// CPU, in thousandths of a core, needed to handle the traffic of a saturated
/// 1 Mbit/s link.
constexpr double MilliCpusPerMbps = 10;
constexpr double MilliCpusPerCore = 1000;
/// Entries that start at the same time are visible to one another within this.
constexpr std::chrono::milliseconds DiscoveryQuietTime(1000);
/// Maximum wait for further entries.
constexpr std::chrono::milliseconds DiscoveryLimit(5000);

/// Maximum owners in a stored history.
constexpr std::size_t MaxHistory = 16;

/// Number of pools one entry owns, including those being assigned to it.
struct OwnedCount {
  std::uint32_t Regular = 0;
  std::uint32_t Light = 0;
};

void addTo(OwnedCount &Held, const PoolView &Pool) {
  ++(Pool.Light ? Held.Light : Held.Regular);
}

/// Sort key; the entry with the lowest key gets the pool.
auto rankOf(const EntryView &Entry, const OwnedCount &Held,
            const PoolView &Pool) {
  // A light pool must not slow down an owner that also starts jobs.
  bool Busy = Pool.Light && Held.Regular > 0;
  std::uint32_t Shared = Held.Regular + (Pool.Light ? Held.Light : 0) + 1;
  double Capacity = static_cast<double>(Entry.Capacity) / Shared;
  std::size_t Spread = std::hash<std::string>()(Pool.Pool + Entry.Name);
  return std::make_tuple(Busy, -Capacity, Held.Regular + Held.Light, Spread,
                         std::string_view(Entry.Name));
}

const EntryView *findLiving(std::span<const EntryView> Living,
                            const std::string &Name) {
  for (const EntryView &Entry : Living)
    if (Entry.Name == Name)
      return &Entry;
  return nullptr;
}

} // namespace

std::uint32_t capacityOf(double Cores, double LinkMbps) {
  double Least =
      std::min(Cores * MilliCpusPerCore, LinkMbps * MilliCpusPerMbps);
  return static_cast<std::uint32_t>(std::max(Least, 1.0));
}

OwnerHistory historyAfter(const PoolView &Pool) {
  if (Pool.Version == 0)
    return {{}, true};
  OwnerHistory History = Pool.Earlier;
  bool Released = Pool.OwnerName.empty();
  History.Owners.push_back(
      {Pool.OwnerName, Released ? Pool.GivenBy : Pool.Version});
  if (History.Owners.size() > MaxHistory) {
    History.Owners.erase(History.Owners.begin());
    History.Complete = false;
  }
  return History;
}

void dropBeforeSettled(OwnerHistory &History, std::uint64_t SettledToken) {
  auto Settled = std::find_if(
      History.Owners.begin(), History.Owners.end(),
      [&](const EarlierOwner &Owner) { return Owner.Token == SettledToken; });
  if (Settled == History.Owners.end())
    return;
  History.Owners.erase(History.Owners.begin(), Settled);
  History.Complete = true;
}

bool isDiscoveryComplete(core::TimePoint StartedAt,
                         core::TimePoint NewestSeenAt, core::TimePoint Now) {
  return Now - std::max(StartedAt, NewestSeenAt) >= DiscoveryQuietTime ||
         Now - StartedAt >= DiscoveryLimit;
}

bool isAlive(const EntryView &Entry, core::TimePoint Now,
             core::Duration DeadAfter) {
  return !Entry.Leaving && Now - Entry.ChangedAt < DeadAfter;
}

std::vector<std::string>
poolsToTake(const EntryView &Me, std::span<const EntryView> Entries,
            std::span<const PoolView> Pools, core::TimePoint SeenAt,
            core::TimePoint Now, core::Duration DeadAfter) {
  // With a stale view every other entry looks dead: this entry may be the one
  // that is partitioned.
  if (Now - SeenAt > DeadAfter / 2)
    return {};
  std::vector<EntryView> Living;
  for (const EntryView &Entry : Entries)
    if (Entry.Name != Me.Name && isAlive(Entry, Now, DeadAfter))
      Living.push_back(Entry);
  Living.push_back(Me);
  std::map<std::string, OwnedCount> Owned;
  std::vector<const PoolView *> Orphans;
  for (const PoolView &Pool : Pools) {
    const EntryView *Owner = findLiving(Living, Pool.OwnerName);
    if (Owner && Owner->Life == Pool.OwnerLife)
      addTo(Owned[Owner->Name], Pool);
    else
      Orphans.push_back(&Pool);
  }
  std::sort(Orphans.begin(), Orphans.end(),
            [](const PoolView *A, const PoolView *B) {
              return std::tie(A->Light, A->Pool) < std::tie(B->Light, B->Pool);
            });
  std::vector<std::string> Mine;
  for (const PoolView *Pool : Orphans) {
    const EntryView *Taker = findLiving(Living, Pool->OwnerName);
    if (!Taker) {
      auto Rank = [&](const EntryView &Entry) {
        return rankOf(Entry, Owned[Entry.Name], *Pool);
      };
      auto Best = std::min_element(Living.begin(), Living.end(),
                                   [&](const EntryView &A, const EntryView &B) {
                                     return Rank(A) < Rank(B);
                                   });
      Taker = &*Best;
    }
    addTo(Owned[Taker->Name], *Pool);
    if (Taker->Name == Me.Name)
      Mine.push_back(Pool->Pool);
  }
  return Mine;
}

bool isReleasedBesideOthers(const EntryView &Me, const PoolView &Pool,
                            std::span<const EntryView> Entries,
                            core::TimePoint Now, core::Duration DeadAfter) {
  bool Released = Pool.Version != 0 && Pool.OwnerName.empty();
  return Released && std::any_of(Entries.begin(), Entries.end(),
                                 [&](const EntryView &Entry) {
                                   return Entry.Name != Me.Name &&
                                          isAlive(Entry, Now, DeadAfter);
                                 });
}

std::vector<std::string> unservedPools(const EntryView &Me,
                                       std::span<const PoolView> Pools,
                                       const std::set<std::string> &Served) {
  std::vector<std::string> Names;
  for (const PoolView &Pool : Pools) {
    bool MineByRow = Pool.OwnerName == Me.Name && Pool.OwnerLife == Me.Life;
    if (MineByRow && Served.count(Pool.Pool) == 0)
      Names.push_back(Pool.Pool);
  }
  return Names;
}

} // namespace comfreydeck::jobs
