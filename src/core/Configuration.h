#ifndef COMFREYDECK_CORE_CONFIGURATION_H
#define COMFREYDECK_CORE_CONFIGURATION_H

#include "core/Template.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The configuration that operators maintain, as plain data.
namespace comfreydeck::core {

/// Bytes of a stored key hash.
constexpr std::size_t KeyHashBytes = 32;
using KeyHash = std::array<std::uint8_t, KeyHashBytes>;

/// A data centre. No new tasks start there while it is out of service.
struct DataCentre {
  DataCentreId Id;
  std::string Name;
  bool Out = false;
};

/// A group of instances that serve the same queues.
struct Pool {
  PoolId Id;
  std::string Name;
  /// Instances of the pool that may be absent at once, planned or not.
  std::uint32_t AbsentLimit = 1;
  /// Instances of one failure domain that may be absent at once.
  std::uint32_t AbsentLimitPerDomain = 1;
  /// Whether its instances are spares, to be moved to other pools.
  bool Spare = false;
};

/// A team that submits tasks, authenticated by keys.
struct Team {
  TeamId Id;
  std::string Name;
  /// Weight under full load: slots are distributed in proportion to the
  /// weights.
  std::uint32_t Share = 1;
  /// Maximum number of tasks that run at once across the fleet.
  std::uint32_t UpperLimit = 0;
  /// Whether keys may be granted for the team.
  bool TakesKeys = true;
  /// The customer that the team belongs to; invalid if it was created manually.
  CustomerId CreatedFor;
  /// The version in which the upper limit last changed.
  ConfigVersion LimitSince{};
};

/// A named queue, served by one pool.
struct Queue {
  QueueId Id;
  std::string Name;
  PoolId ServedBy;
  /// Whether callers need no key; their tasks are accounted to \ref OpenTeam.
  bool Open = false;
  TeamId OpenTeam;
  /// Whether a request is idempotent unless it specifies otherwise.
  bool IdempotentByDefault = false;
  /// Teams whose keys may submit to the queue; empty means every team.
  std::vector<TeamId> AllowedTeams;
  /// The customer that the queue belongs to; invalid if it was created
  /// manually.
  CustomerId CreatedFor;
};

/// A key granted to a team; only its hash is stored.
struct Key {
  KeyId Id;
  TeamId Owner;
  KeyHash Hash{};
  /// Label by which operators recognise the key, as in `kiosk-3`; may be empty.
  std::string Label;
};

/// What an operator may do.
enum class Role : std::uint8_t { Read, Operate, Administer };

/// A key granted to an operator; only its hash is stored.
struct OperatorKey {
  KeyId Id;
  std::string Name;
  Role Allowed = Role::Read;
  KeyHash Hash{};
};

/// The complete configuration at one version.
struct Configuration {
  ConfigVersion Version;
  /// Next handle value; all kinds of handles share the sequence.
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

/// Finds an item by name; null if there is none. Thread-safe.
const DataCentre *findDataCentre(const Configuration &C, std::string_view Name);
const Pool *findPool(const Configuration &C, std::string_view Name);
const Team *findTeam(const Configuration &C, std::string_view Name);
const Queue *findQueue(const Configuration &C, std::string_view Name);
const Template *findTemplate(const Configuration &C, std::string_view Name);
const Customer *findCustomer(const Configuration &C, std::string_view Name);

/// Finds an item by handle; null if there is none. Thread-safe.
const DataCentre *findDataCentre(const Configuration &C, DataCentreId Id);
const Pool *findPool(const Configuration &C, PoolId Id);
const Team *findTeam(const Configuration &C, TeamId Id);
const Queue *findQueue(const Configuration &C, QueueId Id);
const Template *findTemplate(const Configuration &C, TemplateId Id);
const Customer *findCustomer(const Configuration &C, CustomerId Id);

/// Whether keys of team \p Id may submit to \p Q. Thread-safe.
bool mayUse(const Queue &Q, TeamId Id);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CONFIGURATION_H
