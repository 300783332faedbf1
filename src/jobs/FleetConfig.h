#ifndef COMFREYDECK_JOBS_FLEETCONFIG_H
#define COMFREYDECK_JOBS_FLEETCONFIG_H

#include "core/Types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// The operators' configuration as the job path uses it.
namespace comfreydeck::jobs {

/// One queue and the requests that it takes.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Pool;
  std::uint32_t Priority = 0;
  std::uint32_t MaxAttempts = 1;
  double SlackFactor = 1.0;
  std::uint32_t TargetMs = 0;
  /// Taken without a key.
  bool OpenToAll = false;
  /// Only workers that the advisor approves may run its steps.
  bool Advised = false;
};

/// One pool of instances.
struct Pool {
  std::string Name;
  /// Its instances are off and cost nothing.
  bool Standby = false;
  /// Its workers themselves refuse what does not fit.
  bool WorkersRefuseOverload = false;
};

/// One team: its share and its upper limit.
struct Team {
  std::string Name;
  std::uint32_t Weight = 1;
  /// Most that it may have running at once; zero: no bound.
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

/// The queue of the longest prefix that fits; null: none. Valid as long as
/// \p Config. Thread-safe.
const Queue *findQueue(const FleetConfig &Config, std::string_view Host,
                       std::string_view Path);

/// Thread-safe.
const Queue *findQueueByName(const FleetConfig &Config, std::string_view Name);

/// Thread-safe.
const Pool *findPool(const FleetConfig &Config, std::string_view Name);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_FLEETCONFIG_H
