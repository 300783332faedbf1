#include "core/TemplateExpansion.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

/// The source of values for a pattern's fields.
struct Scope {
  const Template &From;
  const Customer &For;
  /// The current name of the list that is iterated over.
  std::string Each;
};

std::string joined(const std::string &Name, const std::string &Suffix) {
  return Suffix.empty() ? Name : Name + "-" + Suffix;
}

template <typename T> T resolve(const Scope &S, const PatternField<T> &Field) {
  if (Field.Parameter.empty())
    return Field.Value;
  return std::get<T>(*valueOf(S.From, S.For, Field.Parameter));
}

template <>
std::string resolve(const Scope &S, const PatternField<std::string> &Field) {
  if (Field.Parameter == CustomerParameter)
    return S.For.Name;
  if (Field.Parameter == EachParameter)
    return S.Each;
  if (Field.Parameter.empty())
    return Field.Value;
  return std::get<std::string>(*valueOf(S.From, S.For, Field.Parameter));
}

ExpandedTeam expandTeam(const Scope &S, const TeamPattern &P) {
  ExpandedTeam Team;
  Team.Name = joined(S.For.Name, P.Suffix);
  Team.Share = resolve(S, P.Share);
  Team.UpperLimit = resolve(S, P.UpperLimit);
  Team.TakesKeys = resolve(S, P.TakesKeys);
  return Team;
}

std::vector<std::string> teamsOf(const Scope &S, const QueuePattern &P) {
  std::vector<std::string> Names;
  for (const TeamPattern &Team : S.From.Teams) {
    bool Wanted = P.Teams.empty() || std::find(P.Teams.begin(), P.Teams.end(),
                                               Team.Suffix) != P.Teams.end();
    if (Wanted)
      Names.push_back(joined(S.For.Name, Team.Suffix));
  }
  return Names;
}

ExpandedQueue expandQueue(const Scope &S, const QueuePattern &P) {
  ExpandedQueue Queue;
  Queue.Name = joined(joined(S.For.Name, P.Suffix), S.Each);
  Queue.Pool = resolve(S, P.Pool);
  Queue.Open = resolve(S, P.Open);
  if (Queue.Open)
    Queue.OpenTeam = joined(S.For.Name, P.OpenTeam);
  Queue.Idempotent = resolve(S, P.Idempotent);
  Queue.Teams = teamsOf(S, P);
  return Queue;
}

} // namespace

Expansion expand(const Template &T, const Customer &C) {
  Expansion Result;
  Scope S{T, C, {}};
  for (const TeamPattern &P : T.Teams)
    Result.Teams.push_back(expandTeam(S, P));
  for (const QueuePattern &P : T.Queues) {
    if (P.ForEach.empty()) {
      S.Each.clear();
      Result.Queues.push_back(expandQueue(S, P));
      continue;
    }
    const ParameterValue &List = *valueOf(T, C, P.ForEach);
    for (const std::string &Name : std::get<std::vector<std::string>>(List)) {
      S.Each = Name;
      Result.Queues.push_back(expandQueue(S, P));
    }
  }
  return Result;
}

} // namespace comfreydeck::core
