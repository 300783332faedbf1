#include "jobs/SenderChoice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>

namespace comfreydeck::jobs {

namespace {

/// Processor time, in thousandths of a core, that the calls to one busy worker
/// take.
constexpr double MilliCpusPerWorker = 3;
/// Share of an entry's capacity that it spends on calls to workers.
constexpr double SendingShare = 0.5;
/// An owner takes its workers back once it could make their calls with this
/// share of what it spends on them, so that small changes don't switch back and
/// forth.
constexpr double TakeBackShare = 0.6;

double sendingCapacity(const EntryView &Entry) {
  return Entry.Capacity * SendingShare;
}

/// Weighted rendezvous hashing: the entry with the highest score gets the key,
/// in proportion to its capacity.
double scoreOf(const std::string &Key, const EntryView &Entry) {
  std::size_t Hash = std::hash<std::string>()(Key + '/' + Entry.Name);
  constexpr double Range = 9007199254740992.0;
  constexpr unsigned DroppedBits = 11;
  double Uniform =
      (static_cast<double>(static_cast<std::uint64_t>(Hash) >> DroppedBits) +
       1) /
      (Range + 1);
  return -static_cast<double>(Entry.Capacity) / std::log(Uniform);
}

/// Returns the helpers that the pool uses in one data centre: in the order of
/// their scores, until they can make the calls to \p Workers workers.
std::vector<const EntryView *> selectHelpers(const std::string &Pool,
                                             std::span<const EntryView> Helpers,
                                             const std::string &DataCentre,
                                             std::size_t Workers) {
  std::vector<std::pair<double, const EntryView *>> Ranked;
  for (const EntryView &Entry : Helpers)
    if (Entry.DataCentre == DataCentre)
      Ranked.emplace_back(scoreOf(Pool, Entry), &Entry);
  std::sort(Ranked.begin(), Ranked.end(), std::greater<>());
  std::vector<const EntryView *> Selected;
  double Needed = static_cast<double>(Workers) * MilliCpusPerWorker;
  for (const auto &[Score, Entry] : Ranked) {
    if (Needed <= 0)
      break;
    Selected.push_back(Entry);
    Needed -= sendingCapacity(*Entry);
  }
  return Selected;
}

} // namespace

Senders chooseSenders(const SenderInput &In) {
  double Needed = static_cast<double>(In.Workers.size()) * MilliCpusPerWorker;
  double Own = sendingCapacity(In.Owner) * (In.Relaying ? TakeBackShare : 1);
  if (Needed <= Own)
    return {};
  std::map<std::string, std::vector<const WorkerEntry *>> ByDataCentre;
  for (const WorkerEntry *Worker : In.Workers)
    ByDataCentre[Worker->DataCentre].push_back(Worker);
  Senders Chosen;
  for (const auto &[DataCentre, Workers] : ByDataCentre) {
    std::vector<const EntryView *> Selected =
        selectHelpers(In.Pool, In.Helpers, DataCentre, Workers.size());
    if (Selected.empty())
      continue;
    for (const WorkerEntry *Worker : Workers)
      Chosen[Worker->Id] =
          (*std::max_element(Selected.begin(), Selected.end(),
                             [&](const EntryView *A, const EntryView *B) {
                               return scoreOf(Worker->Id, *A) <
                                      scoreOf(Worker->Id, *B);
                             }))
              ->Name;
  }
  return Chosen;
}

std::vector<EntryView> findHelpers(std::span<const EntryView> Entries,
                                   std::span<const PoolView> Pools,
                                   core::TimePoint Now,
                                   core::Duration DeadAfter) {
  std::set<std::string> Owners;
  for (const PoolView &Pool : Pools)
    Owners.insert(Pool.OwnerName);
  std::vector<EntryView> Helpers;
  for (const EntryView &Entry : Entries)
    if (isAlive(Entry, Now, DeadAfter) && Owners.count(Entry.Name) == 0)
      Helpers.push_back(Entry);
  return Helpers;
}

} // namespace comfreydeck::jobs
