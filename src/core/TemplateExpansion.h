#ifndef COMFREYDECK_CORE_TEMPLATEEXPANSION_H
#define COMFREYDECK_CORE_TEMPLATEEXPANSION_H

#include "core/Template.h"

/// Expands a template and a customer's arguments into teams and queues.
namespace comfreydeck::core {

/// A validation error in one field.
struct FieldFault {
  /// Path of the field, as in `arguments.share`.
  std::string Field;
  std::string Message;
};

struct ExpandedTeam {
  std::string Name;
  std::uint32_t Share = 1;
  std::uint32_t UpperLimit = 0;
  bool TakesKeys = true;

  bool operator==(const ExpandedTeam &) const = default;
};

/// Refers to the pool and teams by name; the configuration assigns handles
/// later.
struct ExpandedQueue {
  std::string Name;
  std::string Pool;
  bool Open = false;
  std::string OpenTeam;
  bool Idempotent = false;
  std::vector<std::string> Teams;

  bool operator==(const ExpandedQueue &) const = default;
};

/// All teams and queues of a customer, in the order of the template.
struct Expansion {
  std::vector<ExpandedTeam> Teams;
  std::vector<ExpandedQueue> Queues;

  bool operator==(const Expansion &) const = default;
};

/// All faults of the template; empty if it is valid. Thread-safe.
std::vector<FieldFault> checkTemplate(const Template &T);

/// All faults of the customer's arguments. Precondition: \p T is valid.
/// Thread-safe.
std::vector<FieldFault> checkArguments(const Template &T, const Customer &C);

/// Expands the template for one customer. Precondition: the template and the
/// arguments are valid. Thread-safe.
Expansion expand(const Template &T, const Customer &C);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_TEMPLATEEXPANSION_H
