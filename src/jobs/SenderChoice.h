#ifndef COMFREYDECK_JOBS_SENDERCHOICE_H
#define COMFREYDECK_JOBS_SENDERCHOICE_H

#include "jobs/OwnerChoice.h"
#include "jobs/Worker.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/// Chooses the entries that send an owner's orders to its workers. Answers a
/// pool that needs more calls to workers than its owner's entry can make.
namespace comfreydeck::jobs {

/// Entry that sends the orders to each worker. Workers that are missing get
/// their orders from the owner's entry itself.
using Senders = std::unordered_map<std::string, std::string>;

struct SenderInput {
  std::string Pool;
  /// The owner's entry.
  EntryView Owner;
  /// Living entries that may send for it.
  std::vector<EntryView> Helpers;
  std::span<const WorkerEntry *const> Workers;
  /// Other entries send for the pool already.
  bool Relaying = false;
};

/// Assigns the workers to helpers in their data centres, as many as can make
/// the calls that busy workers need. Empty if the owner's entry can make them
/// itself. An assignment changes only where a helper or a worker comes or
/// leaves. Thread-safe.
Senders chooseSenders(const SenderInput &In);

/// Returns the entries that may send for other owners: alive, and without a
/// pool of their own. Thread-safe.
std::vector<EntryView> findHelpers(std::span<const EntryView> Entries,
                                   std::span<const PoolView> Pools,
                                   core::TimePoint Now,
                                   core::Duration DeadAfter);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_SENDERCHOICE_H
