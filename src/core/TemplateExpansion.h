#ifndef COMFREYDECK_CORE_TEMPLATEEXPANSION_H
#define COMFREYDECK_CORE_TEMPLATEEXPANSION_H

#include "core/Template.h"

/// From a template and a customer's arguments to teams and queues.
namespace comfreydeck::core {

/// What is wrong with one field.
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

/// Names stand for handles, which the configuration gives out.
struct ExpandedQueue {
  std::string Name;
  std::string Pool;
  bool Open = false;
  std::string OpenTeam;
  bool Idempotent = false;
  std::vector<std::string> Teams;

  bool operator==(const ExpandedQueue &) const = default;
};

/// All that a customer comes to, in the order of the template.
struct Expansion {
  std::vector<ExpandedTeam> Teams;
  std::vector<ExpandedQueue> Queues;

  bool operator==(const Expansion &) const = default;
};

/// Every fault of the template itself; none where it is good. Thread-safe.
std::vector<FieldFault> checkTemplate(const Template &T);

/// Every fault of the customer's arguments. Precondition: \p T is good.
/// Thread-safe.
std::vector<FieldFault> checkArguments(const Template &T, const Customer &C);

/// Precondition: the template and the arguments are good. Thread-safe.
Expansion expand(const Template &T, const Customer &C);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_TEMPLATEEXPANSION_H
