#ifndef COMFREYDECK_CORE_CONFIGURATION_H
#define COMFREYDECK_CORE_CONFIGURATION_H

#include "core/Template.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The operators' configuration as plain data.
namespace comfreydeck::core {

/// Bytes of a stored key hash.
constexpr std::size_t KeyHashBytes = 32;
using KeyHash = std::array<std::uint8_t, KeyHashBytes>;

/// A data centre; while it is out, nothing new starts there.
struct DataCentre {
  DataCentreId Id;
  std::string Name;
  bool Out = false;
};

/// Instances that serve the same queues.
struct Pool {
  PoolId Id;
  std::string Name;
  /// Instances of the pool that may be absent at once, planned or not.
  std::uint32_t AbsentLimit = 1;
  /// Instances of one failure domain that may be absent at once.
  std::uint32_t AbsentLimitPerDomain = 1;
  /// Whether instances here wait to be moved to other pools.
  bool Spare = false;
};

/// A customer's team, which submits tasks under keys.
struct Team {
  TeamId Id;
  std::string Name;
  /// Weight when all is full; owed in proportion to the other teams' weights.
  std::uint32_t Share = 1;
  /// Tasks that may run at once across the fleet.
  std::uint32_t UpperLimit = 0;
  /// Whether callers may be granted keys of the team.
  bool TakesKeys = true;
  /// The customer that the team was made for; invalid where made by hand.
  CustomerId MadeBy;
};

/// A named queue that is served by one pool.
struct Queue {
  QueueId Id;
  std::string Name;
  PoolId ServedBy;
  /// Whether callers need no key; their work counts for \ref OpenTeam.
  bool Open = false;
  TeamId OpenTeam;
  /// Whether a request is idempotent unless it says otherwise.
  bool IdempotentByDefault = false;
  /// Teams whose keys are good for the queue; empty means every team.
  std::vector<TeamId> AllowedTeams;
  /// The customer that the queue was made for; invalid where made by hand.
  CustomerId MadeBy;
};

/// A granted key of a team; only its hash is kept.
struct Key {
  KeyId Id;
  TeamId Owner;
  KeyHash Hash{};
  /// What operators know the key by, as in `kiosk-3`; may be empty.
  std::string Label;
};

/// What an operator may do.
enum class Role : std::uint8_t { Read, Operate, Administer };

/// A granted key of an operator; only its hash is kept.
struct OperatorKey {
  KeyId Id;
  std::string Name;
  Role Allowed = Role::Read;
  KeyHash Hash{};
};

/// The whole configuration at one version.
struct Configuration {
  ConfigVersion Version;
  /// Next number for a handle of any kind.
  std::uint32_t NextId = 1;
  std::vector<DataCentre> DataCentres;
  std::vector<Pool> Pools;
  std::vector<Team> Teams;
  std::vector<Queue> Queues;
  std::vector<Key> Keys;
  std::vector<OperatorKey> OperatorKeys;
  std::vector<Template> Templates;
  std::vector<Customer> Customers;
};

/// Finds by name; nothing where there is none. Thread-safe.
const DataCentre *findDataCentre(const Configuration &C, std::string_view Name);
const Pool *findPool(const Configuration &C, std::string_view Name);
const Team *findTeam(const Configuration &C, std::string_view Name);
const Queue *findQueue(const Configuration &C, std::string_view Name);
const Template *findTemplate(const Configuration &C, std::string_view Name);
const Customer *findCustomer(const Configuration &C, std::string_view Name);

/// Finds by handle; nothing where there is none. Thread-safe.
const DataCentre *findDataCentre(const Configuration &C, DataCentreId Id);
const Pool *findPool(const Configuration &C, PoolId Id);
const Team *findTeam(const Configuration &C, TeamId Id);
const Queue *findQueue(const Configuration &C, QueueId Id);
const Template *findTemplate(const Configuration &C, TemplateId Id);
const Customer *findCustomer(const Configuration &C, CustomerId Id);

/// Whether a key of \p Id may submit to \p Q. Thread-safe.
bool mayUse(const Queue &Q, TeamId Id);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CONFIGURATION_H
