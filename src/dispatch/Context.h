#ifndef COMFREYDECK_DISPATCH_CONTEXT_H
#define COMFREYDECK_DISPATCH_CONTEXT_H

#include "dispatch/Counters.h"
#include "dispatch/Ports.h"
#include "net/HttpClient.h"
#include "net/Loop.h"
#include "settings/DispatchSettings.h"

namespace comfreydeck::dispatch {

/// What every part of the process needs. All parts run on the loop's thread.
struct Context {
  const settings::DispatchSettings &Settings;
  net::Loop &Loop;
  net::HttpClient &Client;
  store::PartitionedStore &Store;
  WorkerOrders &Workers;
  /// Null: the platform moves no machines.
  MachineControl *Machines;
  const RowDecoder &Rows;
  const CallerWire &Wire;
  Counters &Count;
  /// Tells this process from earlier ones of the same name.
  std::string Life;
};

/// Where the product's own rows lie.
namespace rows {

/// Accepted jobs, by id, spread over parts; and their cancellations.
inline constexpr const char *Jobs = "jobs";
/// A part takes a bounded number of transactions a second.
inline constexpr std::uint32_t JobParts = 4;
inline constexpr const char *CancelSuffix = "!cancel";
/// Entries, owners of pools, and what teams may use in each pool.
inline constexpr const char *Control = "control";
inline constexpr const char *EntryPrefix = "entry/";
inline constexpr const char *LimitsPart = "limits";
inline constexpr const char *PoolPrefix = "pool/";
inline constexpr const char *OwnerKey = "owner";
/// Progress of each pool's jobs, in the pool's part.
inline constexpr const char *Progress = "progress";
/// Changes with each write of an owner: a write that comes late fails.
inline constexpr const char *ChainKey = "!chain";
/// Workers that orders of the pool may have reached, beside its progress.
inline constexpr const char *RosterPrefix = "!worker/";
/// Token of the last owner that no order of earlier owners can cross.
inline constexpr const char *SettledKey = "!settled";
/// The pool whose owner maintains and moves machines; it has no workers.
inline constexpr const char *FleetDuty = "@fleet";

std::string jobPart(const std::string &JobId);
std::vector<std::string> jobParts();
std::string poolPart(const std::string &Pool);

} // namespace rows

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_CONTEXT_H
