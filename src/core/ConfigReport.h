#ifndef COMFREYDECK_CORE_CONFIGREPORT_H
#define COMFREYDECK_CORE_CONFIGREPORT_H

#include "core/ConfigEffect.h"

/// What operators read before a change and of one customer.
namespace comfreydeck::core {

/// Slots of a pool's instances, however they are at present.
struct PoolSize {
  PoolId Pool;
  std::uint32_t Slots = 0;
};

/// A team's part of a pool when all is full.
struct TeamOwed {
  std::string Team;
  std::uint32_t Share = 0;
  std::uint32_t UpperLimit = 0;
  /// Slots of the pool, with limits taken into account.
  double Slots = 0;
};

/// One pool when all is full.
struct PoolOwed {
  std::string Pool;
  std::uint32_t Slots = 0;
  std::uint32_t AbsentLimit = 0;
  std::uint32_t AbsentLimitPerDomain = 0;
  std::vector<TeamOwed> Teams;
};

/// The pool when all is full. Precondition: the pool is there. Thread-safe.
PoolOwed owedIn(const Configuration &C, PoolId Pool,
                std::span<const PoolSize> Sizes);

/// A pool before and after a change; empty names where it isn't there.
struct PoolEffect {
  PoolOwed Before;
  PoolOwed After;
};

/// All that a change comes to.
struct ChangeReport {
  std::vector<ItemEffect> Items;
  /// Customers of whose arrangement something changes.
  std::vector<std::string> Customers;
  /// Pools where what is owed or the budgets change.
  std::vector<PoolEffect> Pools;
};

/// Thread-safe.
ChangeReport reportChange(const Configuration &Before,
                          const Configuration &After,
                          std::span<const PoolSize> Sizes);

/// One parameter as a customer has it.
struct ArgumentLine {
  std::string Parameter;
  std::string Value;
  /// Empty where the parameter has none.
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

/// One customer's whole arrangement.
struct CustomerReport {
  std::string Name;
  std::string Template;
  std::string TemplateHelp;
  std::vector<ArgumentLine> Arguments;
  std::vector<TeamLine> Teams;
  std::vector<QueueLine> Queues;
  /// The pools of its queues, each with the customer's own teams only.
  std::vector<PoolOwed> Pools;
};

/// Thread-safe.
CustomerReport reportCustomer(const Configuration &C, const Customer &Of,
                              std::span<const PoolSize> Sizes);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CONFIGREPORT_H
