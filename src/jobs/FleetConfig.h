#ifndef COMFREYDECK_JOBS_FLEETCONFIG_H
#define COMFREYDECK_JOBS_FLEETCONFIG_H

#include "core/Types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// The operator-defined configuration of queues, pools and teams.
namespace comfreydeck::jobs {

/// One queue and the requests that are routed to it.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Pool;
  std::uint32_t Priority = 0;
  std::uint32_t MaxAttempts = 1;
  double SlackFactor = 1.0;
  std::uint32_t TargetMs = 0;
  /// Accepts requests without a key.
  bool OpenToAll = false;
  /// Its steps run only on workers that the advisor approves.
  bool Advised = false;
};

/// One pool of instances.
struct Pool {
  std::string Name;
  /// Its instances are powered off and incur no cost.
  bool Standby = false;
  /// Its workers reject tasks that exceed their capacity.
  bool WorkersRefuseOverload = false;
};

/// One team: its share and its upper limit.
struct Team {
  std::string Name;
  std::uint32_t Weight = 1;
  /// Maximum resources its runs may reserve at once; zero means unlimited.
  core::Resources UpperLimit;
};

struct FleetConfig {
  std::uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<Pool> Pools;
  std::map<std::string, Team> Teams;
  /// Team by key.
  std::map<std::string, std::string, std::less<>> Keys;
  std::size_t MaxBodyBytes = 262144;
};

/// Returns the queue for \p Host with the longest matching path prefix, or
/// null. The pointer is valid as long as \p Config. Thread-safe.
const Queue *findQueue(const FleetConfig &Config, std::string_view Host,
                       std::string_view Path);

/// Returns null if there is no such queue. Thread-safe.
const Queue *findQueueByName(const FleetConfig &Config, std::string_view Name);

/// Returns null if there is no such pool. Thread-safe.
const Pool *findPool(const FleetConfig &Config, std::string_view Name);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_FLEETCONFIG_H
