#include "core/ConfigLimits.h"
#include "core/Names.h"
#include "core/TemplateExpansion.h"

#include <algorithm>
#include <set>

namespace comfreydeck::core {

namespace {

using Faults = std::vector<FieldFault>;

std::string at(const std::string &List, std::size_t Index) {
  return List + "[" + std::to_string(Index) + "]";
}

bool isNumber(ParameterKind Kind) {
  return Kind == ParameterKind::Number || Kind == ParameterKind::Share;
}

/// Whether the value has the type that \p Kind requires.
bool hasKind(const ParameterValue &Value, ParameterKind Kind) {
  switch (Kind) {
  case ParameterKind::Text:
    return std::holds_alternative<std::string>(Value);
  case ParameterKind::Number:
  case ParameterKind::Share:
    return std::holds_alternative<std::uint32_t>(Value);
  case ParameterKind::Names:
    return std::holds_alternative<std::vector<std::string>>(Value);
  case ParameterKind::Boolean:
    return std::holds_alternative<bool>(Value);
  }
  return false;
}

struct Bounds {
  std::uint32_t Least = 0;
  std::uint32_t Most = 0;
};

/// The parameter's bounds, clamped to those of its kind.
Bounds boundsOf(const Parameter &P) {
  switch (P.Kind) {
  case ParameterKind::Text:
    return {P.Least, std::min<std::uint32_t>(P.Most, MaxTextBytes)};
  case ParameterKind::Number:
    return {P.Least, std::min(P.Most, MaxUpperLimit)};
  case ParameterKind::Share:
    return {std::max(P.Least, 1U), std::min(P.Most, MaxShare)};
  case ParameterKind::Names:
    return {P.Least, std::min<std::uint32_t>(P.Most, MaxNamesInList)};
  case ParameterKind::Boolean:
    break;
  }
  return {};
}

std::string rangeText(const Bounds &B) {
  return "from " + std::to_string(B.Least) + " to " + std::to_string(B.Most);
}

bool isWithin(std::size_t Value, const Bounds &B) {
  return Value >= B.Least && Value <= B.Most;
}

void checkNames(const std::vector<std::string> &Names, const Bounds &B,
                const std::string &Field, Faults &Out) {
  if (!isWithin(Names.size(), B))
    Out.push_back({Field, "must have " + rangeText(B) + " names"});
  std::set<std::string> Seen;
  for (const std::string &Name : Names) {
    if (!isName(Name))
      Out.push_back({Field, "'" + Name + "' " + std::string(NameRule)});
    else if (!Seen.insert(Name).second)
      Out.push_back({Field, "'" + Name + "' is given twice"});
  }
}

void checkValue(const Parameter &P, const ParameterValue &Value,
                const std::string &Field, Faults &Out) {
  if (!hasKind(Value, P.Kind)) {
    Out.push_back({Field, "must be of kind " + std::string(nameOf(P.Kind))});
    return;
  }
  Bounds B = boundsOf(P);
  if (isNumber(P.Kind) && !isWithin(std::get<std::uint32_t>(Value), B))
    Out.push_back({Field, "must be " + rangeText(B)});
  if (P.Kind == ParameterKind::Text &&
      !isWithin(std::get<std::string>(Value).size(), B))
    Out.push_back({Field, "must have " + rangeText(B) + " bytes"});
  if (P.Kind == ParameterKind::Names)
    checkNames(std::get<std::vector<std::string>>(Value), B, Field, Out);
}

void checkParameter(const Parameter &P, const std::string &Field, Faults &Out) {
  if (!isName(P.Name))
    Out.push_back({Field + ".name", std::string(NameRule)});
  if (P.Name == CustomerParameter || P.Name == EachParameter)
    Out.push_back({Field + ".name", "'" + P.Name + "' is a reserved name"});
  if (P.Help.size() > MaxHelpBytes)
    Out.push_back(
        {Field + ".help",
         "must have at most " + std::to_string(MaxHelpBytes) + " bytes"});
  Bounds B = boundsOf(P);
  if (B.Least > B.Most)
    Out.push_back({Field + ".least", "exceeds the largest allowed value"});
  else if (P.Default)
    checkValue(P, *P.Default, Field + ".default", Out);
}

/// Checks that a field's parameter exists and has one of \p Kinds.
void checkReference(const Template &T, const std::string &Name,
                    std::initializer_list<ParameterKind> Kinds,
                    const std::string &Field, Faults &Out) {
  if (Name.empty())
    return;
  const Parameter *P = findParameter(T, Name);
  if (!P) {
    Out.push_back({Field, "there is no parameter '" + Name + "'"});
    return;
  }
  if (std::find(Kinds.begin(), Kinds.end(), P->Kind) == Kinds.end())
    Out.push_back({Field, "parameter '" + Name + "' is of kind " +
                              std::string(nameOf(P->Kind))});
}

void checkPoolReference(const Template &T, const QueuePattern &Q,
                        const std::string &Field, Faults &Out) {
  const std::string &Name = Q.Pool.Parameter;
  if (Name == CustomerParameter)
    return;
  if (Name == EachParameter) {
    if (Q.ForEach.empty())
      Out.push_back({Field, "'each' needs for_each"});
    return;
  }
  checkReference(T, Name, {ParameterKind::Text}, Field, Out);
}

void checkSuffix(const std::string &Suffix, const std::string &Field,
                 Faults &Out) {
  if (!Suffix.empty() && !isName(Suffix))
    Out.push_back({Field, std::string(NameRule)});
}

void checkTeamSuffix(const Template &T, const std::string &Suffix,
                     const std::string &Field, Faults &Out) {
  bool Found =
      std::any_of(T.Teams.begin(), T.Teams.end(),
                  [&](const TeamPattern &P) { return P.Suffix == Suffix; });
  if (!Found)
    Out.push_back({Field, "no team has the suffix '" + Suffix + "'"});
}

void checkTeam(const Template &T, const TeamPattern &P,
               const std::string &Field, Faults &Out) {
  checkSuffix(P.Suffix, Field + ".suffix", Out);
  checkReference(T, P.Share.Parameter, {ParameterKind::Share}, Field + ".share",
                 Out);
  if (P.Share.Parameter.empty() &&
      !isWithin(P.Share.Value, Bounds{1, MaxShare}))
    Out.push_back(
        {Field + ".share", "must be " + rangeText(Bounds{1, MaxShare})});
  checkReference(T, P.UpperLimit.Parameter, {ParameterKind::Number},
                 Field + ".upper_limit", Out);
  if (P.UpperLimit.Parameter.empty() && P.UpperLimit.Value > MaxUpperLimit)
    Out.push_back({Field + ".upper_limit",
                   "must be " + rangeText(Bounds{0, MaxUpperLimit})});
  checkReference(T, P.TakesKeys.Parameter, {ParameterKind::Boolean},
                 Field + ".takes_keys", Out);
}

void checkQueue(const Template &T, const QueuePattern &P,
                const std::string &Field, Faults &Out) {
  checkSuffix(P.Suffix, Field + ".suffix", Out);
  checkReference(T, P.ForEach, {ParameterKind::Names}, Field + ".for_each",
                 Out);
  checkPoolReference(T, P, Field + ".pool", Out);
  checkReference(T, P.Open.Parameter, {ParameterKind::Boolean}, Field + ".open",
                 Out);
  checkReference(T, P.Idempotent.Parameter, {ParameterKind::Boolean},
                 Field + ".idempotent", Out);
  bool MayBeOpen = P.Open.Value || !P.Open.Parameter.empty();
  if (MayBeOpen)
    checkTeamSuffix(T, P.OpenTeam, Field + ".open_team", Out);
  for (const std::string &Suffix : P.Teams)
    checkTeamSuffix(T, Suffix, Field + ".teams", Out);
}

template <typename T, typename F>
void checkUnique(const std::vector<T> &Items, const std::string &List, F KeyOf,
                 Faults &Out) {
  std::set<std::string> Seen;
  for (std::size_t I = 0; I < Items.size(); ++I)
    if (!Seen.insert(KeyOf(Items[I])).second)
      Out.push_back({at(List, I), "'" + KeyOf(Items[I]) + "' is given twice"});
}

void checkCount(std::size_t Count, std::size_t Least, std::size_t Most,
                const std::string &Field, Faults &Out) {
  if (Count < Least || Count > Most)
    Out.push_back({Field, "must have from " + std::to_string(Least) + " to " +
                              std::to_string(Most) + " items"});
}

} // namespace

std::vector<FieldFault> checkTemplate(const Template &T) {
  Faults Out;
  if (T.Help.size() > MaxHelpBytes)
    Out.push_back({"help", "must have at most " + std::to_string(MaxHelpBytes) +
                               " bytes"});
  checkCount(T.Parameters.size(), 0, MaxParameters, "parameters", Out);
  // A queue without teams would allow every team.
  checkCount(T.Teams.size(), 1, MaxTeamPatterns, "teams", Out);
  checkCount(T.Queues.size(), 0, MaxQueuePatterns, "queues", Out);
  for (std::size_t I = 0; I < T.Parameters.size(); ++I)
    checkParameter(T.Parameters[I], at("parameters", I), Out);
  for (std::size_t I = 0; I < T.Teams.size(); ++I)
    checkTeam(T, T.Teams[I], at("teams", I), Out);
  for (std::size_t I = 0; I < T.Queues.size(); ++I)
    checkQueue(T, T.Queues[I], at("queues", I), Out);
  checkUnique(
      T.Parameters, "parameters", [](const Parameter &P) { return P.Name; },
      Out);
  checkUnique(
      T.Teams, "teams", [](const TeamPattern &P) { return P.Suffix; }, Out);
  checkUnique(
      T.Queues, "queues",
      [](const QueuePattern &P) { return P.Suffix + " " + P.ForEach; }, Out);
  return Out;
}

std::vector<FieldFault> checkArguments(const Template &T, const Customer &C) {
  Faults Out;
  for (const Argument &A : C.Arguments) {
    std::string Field = "arguments." + A.Name;
    if (const Parameter *P = findParameter(T, A.Name))
      checkValue(*P, A.Value, Field, Out);
    else
      Out.push_back({Field, "template '" + T.Name + "' has no such parameter"});
  }
  for (const Parameter &P : T.Parameters)
    if (!valueOf(T, C, P.Name))
      Out.push_back({"arguments." + P.Name, "is needed: " + P.Help});
  return Out;
}

} // namespace comfreydeck::core
