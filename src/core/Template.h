#ifndef COMFREYDECK_CORE_TEMPLATE_H
#define COMFREYDECK_CORE_TEMPLATE_H

#include "core/Types.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Templates with typed parameters, and the customers made from them.
namespace comfreydeck::core {

enum class ParameterKind : std::uint8_t { Text, Number, Share, Names, Boolean };

/// A value of a parameter: a text, a number or share, names, or a boolean.
using ParameterValue =
    std::variant<std::string, std::uint32_t, std::vector<std::string>, bool>;

/// One typed parameter of a template.
struct Parameter {
  std::string Name;
  ParameterKind Kind = ParameterKind::Text;
  /// One line for the operator.
  std::string Help;
  /// A parameter without a default must be given by every customer.
  std::optional<ParameterValue> Default;
  /// Bounds of a number or share, of the bytes of a text, or of how many names
  /// there are.
  std::uint32_t Least = 0;
  std::uint32_t Most = std::numeric_limits<std::uint32_t>::max();
};

/// Stands for the customer's own name in a field.
constexpr std::string_view CustomerParameter = "customer";
/// Stands for the present name of the list that a queue pattern goes over.
constexpr std::string_view EachParameter = "each";

/// A field of a pattern: a fixed value, or a parameter's value.
template <typename T> struct PatternField {
  T Value{};
  /// Empty where \ref Value itself is meant.
  std::string Parameter;

  bool operator==(const PatternField &) const = default;
};

/// A team that each customer gets. Its name is the customer's, followed by a
/// dash and the suffix where there is one.
struct TeamPattern {
  std::string Suffix;
  PatternField<std::uint32_t> Share{1, {}};
  PatternField<std::uint32_t> UpperLimit;
  PatternField<bool> TakesKeys{true, {}};

  bool operator==(const TeamPattern &) const = default;
};

/// A queue that each customer gets, named as teams are.
struct QueuePattern {
  std::string Suffix;
  /// A parameter of names; there is one queue for each, and the name is put
  /// after the suffix. Empty for one queue.
  std::string ForEach;
  PatternField<std::string> Pool;
  PatternField<bool> Open;
  /// Suffix of the team that open work counts for.
  std::string OpenTeam;
  PatternField<bool> Idempotent;
  /// Suffixes of the customer's teams that may use the queue; none means all of
  /// the customer's teams.
  std::vector<std::string> Teams;

  bool operator==(const QueuePattern &) const = default;
};

/// What customers are made from.
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

/// A template with its arguments.
struct Customer {
  CustomerId Id;
  std::string Name;
  TemplateId MadeFrom;
  /// By name; parameters left out have their defaults.
  std::vector<Argument> Arguments;
};

/// Nothing where there is none. Thread-safe.
const Parameter *findParameter(const Template &T, std::string_view Name);
const Argument *findArgument(const Customer &C, std::string_view Name);

/// The customer's value or the default; nothing where there is neither.
/// Thread-safe.
const ParameterValue *valueOf(const Template &T, const Customer &C,
                              std::string_view Name);

/// `text`, `number`, `share`, `names` or `boolean`. Thread-safe.
std::string_view nameOf(ParameterKind Kind);

/// For people: names are joined by commas. Thread-safe.
std::string textOf(const ParameterValue &Value);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_TEMPLATE_H
