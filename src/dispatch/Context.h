#ifndef COMFREYDECK_DISPATCH_CONTEXT_H
#define COMFREYDECK_DISPATCH_CONTEXT_H

#include "dispatch/FleetClock.h"
#include "dispatch/JobMetrics.h"
#include "dispatch/Ports.h"
#include "net/HttpClient.h"
#include "net/Loop.h"
#include "settings/DispatchSettings.h"

namespace comfreydeck::dispatch {

/// Dependencies shared by all components of the process. All of them run on the
/// loop's thread.
struct Context {
  const settings::DispatchSettings &Settings;
  net::Loop &Loop;
  net::HttpClient &Client;
  store::PartitionedStore &Store;
  WorkerOrders &Workers;
  /// Null if the platform does not support moving machines.
  MachineControl *Machines;
  const RowDecoder &Rows;
  const CallerCodec &Codec;
  JobMetrics &Count;
  /// Distinguishes this process from earlier ones with the same name.
  std::string Life;
  FleetClock Clock = FleetClock();
};

/// Tables, partitions and keys of the rows that this product stores.
namespace rows {

/// Accepted jobs by id, spread over several partitions, and their
/// cancellations.
inline constexpr const char *Jobs = "jobs";
/// The store limits the number of transactions per second and partition.
inline constexpr std::uint32_t JobParts = 4;
inline constexpr const char *CancelSuffix = "!cancel";
/// Payloads of jobs, in the jobs' partitions and under their keys. Kept apart
/// since a new owner needs those of open jobs only.
inline constexpr const char *Payloads = "payloads";
/// Entries, pool owners and the allotments of teams in each pool.
inline constexpr const char *Control = "control";
inline constexpr const char *EntryPrefix = "entry/";
/// Partitions of the entries' rows, which are written all the time: one alone
/// takes 250 transactions a second, the heartbeats of some 170 entries.
inline constexpr std::uint32_t EntryParts = 8;
/// The agreed time of day as each entry knows it, in its row's partition.
inline constexpr const char *TimePrefix = "time/";
inline constexpr const char *LimitsPart = "limits";
inline constexpr const char *PoolPrefix = "pool/";
inline constexpr const char *OwnerKey = "owner";
/// Queues of jobs that wait in a pool to which they are not routed any more.
inline constexpr const char *StrayQueuesKey = "stray_queues";
/// Progress of each pool's jobs, in the pool's partition.
inline constexpr const char *Progress = "progress";
/// Separates a job's id from the number of a further row of its progress.
inline constexpr char FurtherRowMark = '!';
/// Rewritten with every write of an owner, so that a delayed earlier write
/// fails its condition.
inline constexpr const char *ChainKey = "!chain";
/// Workers that may have received orders of this pool, stored next to the
/// pool's progress.
inline constexpr const char *RosterPrefix = "!worker/";
/// Token of the last owner that delayed orders of earlier owners can't
/// interfere with.
inline constexpr const char *SettledKey = "!settled";
/// Pseudo-pool without workers; its owner maintains and moves machines.
inline constexpr const char *FleetControl = "@fleet";

std::string jobPart(const std::string &JobId);
std::vector<std::string> jobParts();
std::string poolPart(const std::string &Pool);
/// Key of a row of a job's progress. The first one, number zero, has the job's
/// id as its key; large jobs have further ones.
std::string progressKey(const std::string &JobId, std::size_t Row);
std::string entryPart(const std::string &Entry);
std::vector<std::string> entryParts();

} // namespace rows

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_CONTEXT_H
