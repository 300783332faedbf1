#ifndef COMFREYDECK_CORE_TEMPLATE_H
#define COMFREYDECK_CORE_TEMPLATE_H

#include "core/Types.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Templates with typed parameters, and the customers created from them.
namespace comfreydeck::core {

enum class ParameterKind : std::uint8_t { Text, Number, Share, Names, Boolean };

/// A parameter's value: text, a number or share, names, or a boolean.
using ParameterValue =
    std::variant<std::string, std::uint32_t, std::vector<std::string>, bool>;

/// One typed parameter of a template.
struct Parameter {
  std::string Name;
  ParameterKind Kind = ParameterKind::Text;
  /// One-line description for the operator.
  std::string Help;
  /// Every customer must give a value for a parameter without a default.
  std::optional<ParameterValue> Default;
  /// Inclusive bounds of a number or share, of the length of a text in bytes,
  /// or of the number of names.
  std::uint32_t Least = 0;
  std::uint32_t Most = std::numeric_limits<std::uint32_t>::max();
};

/// Reserved parameter: the name of the customer.
constexpr std::string_view CustomerParameter = "customer";
/// Reserved parameter: the current name of the list that a queue pattern
/// iterates over.
constexpr std::string_view EachParameter = "each";

/// A field of a pattern: a fixed value, or a reference to a parameter.
template <typename T> struct PatternField {
  T Value{};
  /// Name of the parameter; empty if \ref Value applies.
  std::string Parameter;

  bool operator==(const PatternField &) const = default;
};

/// A team created for each customer. Its name is the customer's name, followed
/// by a dash and the suffix if there is one.
struct TeamPattern {
  std::string Suffix;
  PatternField<std::uint32_t> Share{1, {}};
  PatternField<std::uint32_t> UpperLimit;
  PatternField<bool> TakesKeys{true, {}};

  bool operator==(const TeamPattern &) const = default;
};

/// A queue created for each customer, named by the same rule as teams.
struct QueuePattern {
  std::string Suffix;
  /// A parameter of kind names: one queue is created per name, with a dash and
  /// the name appended. If empty, a single queue is created.
  std::string ForEach;
  PatternField<std::string> Pool;
  PatternField<bool> Open;
  /// Suffix of the team that tasks submitted without a key are accounted to.
  std::string OpenTeam;
  PatternField<bool> Idempotent;
  /// Suffixes of the customer's teams that may use the queue; an empty list
  /// means all of the customer's teams.
  std::vector<std::string> Teams;

  bool operator==(const QueuePattern &) const = default;
};

/// Describes the teams and queues created for each customer.
struct Template {
  TemplateId Id;
  std::string Name;
  std::string Help;
  std::vector<Parameter> Parameters;
  std::vector<TeamPattern> Teams;
  std::vector<QueuePattern> Queues;
};

/// A parameter's value for one customer.
struct Argument {
  std::string Name;
  ParameterValue Value;

  bool operator==(const Argument &) const = default;
};

/// A customer: an instantiation of a template with arguments.
struct Customer {
  CustomerId Id;
  std::string Name;
  TemplateId MadeFrom;
  /// Sorted by name; omitted parameters have their defaults.
  std::vector<Argument> Arguments;
};

/// Null if there is none. Thread-safe.
const Parameter *findParameter(const Template &T, std::string_view Name);
const Argument *findArgument(const Customer &C, std::string_view Name);

/// The customer's value or else the default; null if there is neither.
/// Thread-safe.
const ParameterValue *valueOf(const Template &T, const Customer &C,
                              std::string_view Name);

/// `text`, `number`, `share`, `names` or `boolean`. Thread-safe.
std::string_view nameOf(ParameterKind Kind);

/// The value as display text; names are joined by commas. Thread-safe.
std::string textOf(const ParameterValue &Value);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_TEMPLATE_H
