#ifndef COMFREYDECK_CORE_CONFIGREPORT_H
#define COMFREYDECK_CORE_CONFIGREPORT_H

#include "core/ConfigEffect.h"

/// Reports for operators: the preview of a change, and one customer.
namespace comfreydeck::core {

/// Total slots of a pool's instances, whatever their state.
struct PoolSize {
  PoolId Pool;
  std::uint32_t Slots = 0;
};

/// The slots of a pool that a team is entitled to under full load.
struct TeamEntitlement {
  std::string Team;
  std::uint32_t Share = 0;
  std::uint32_t UpperLimit = 0;
  /// Slots of the pool, after upper limits.
  double Slots = 0;
};

/// The distribution of a pool's slots under full load, and its budgets.
struct PoolEntitlement {
  std::string Pool;
  std::uint32_t Slots = 0;
  std::uint32_t AbsentLimit = 0;
  std::uint32_t AbsentLimitPerDomain = 0;
  std::vector<TeamEntitlement> Teams;
};

/// The distribution for \p Pool. Precondition: the pool exists. Thread-safe.
PoolEntitlement entitlementIn(const Configuration &C, PoolId Pool,
                              std::span<const PoolSize> Sizes);

/// A pool before and after a change; the name is empty where the pool does not
/// exist.
struct PoolEffect {
  PoolEntitlement Before;
  PoolEntitlement After;
};

/// The full effect of a change.
struct ChangeReport {
  std::vector<ItemEffect> Items;
  /// Customers of which at least one item changes.
  std::vector<std::string> Customers;
  /// Pools whose slot distribution or budgets change.
  std::vector<PoolEffect> Pools;
};

/// Compares two versions of the configuration. Thread-safe.
ChangeReport reportChange(const Configuration &Before,
                          const Configuration &After,
                          std::span<const PoolSize> Sizes);

/// A template parameter and its value for one customer.
struct ArgumentLine {
  std::string Parameter;
  std::string Value;
  /// Empty if the parameter has none.
  std::string Default;
  bool IsDefault = false;
  std::string Help;
};

struct TeamLine {
  std::string Name;
  std::uint32_t Share = 0;
  std::uint32_t UpperLimit = 0;
  bool TakesKeys = true;
  std::uint32_t Keys = 0;
};

struct QueueLine {
  std::string Name;
  std::string Pool;
  bool Open = false;
  bool Idempotent = false;
  std::vector<std::string> Teams;
};

/// A customer with its arguments, teams, queues and pools.
struct CustomerReport {
  std::string Name;
  std::string Template;
  std::string TemplateHelp;
  std::vector<ArgumentLine> Arguments;
  std::vector<TeamLine> Teams;
  std::vector<QueueLine> Queues;
  /// The pools that serve its queues, each listing only the customer's teams.
  std::vector<PoolEntitlement> Pools;
};

/// Thread-safe.
CustomerReport reportCustomer(const Configuration &C, const Customer &Of,
                              std::span<const PoolSize> Sizes);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CONFIGREPORT_H
