#include "core/ConfigEffect.h"

namespace comfreydeck::core {

namespace {

constexpr std::array<const char *, 3> RoleNames = {"read", "operate",
                                                   "administer"};

std::string yesNo(bool Value) { return Value ? "yes" : "no"; }

std::string teamName(const Configuration &C, TeamId Id) {
  const Team *T = findTeam(C, Id);
  return T ? T->Name : std::string();
}

std::string customerName(const Configuration &C, CustomerId Id) {
  const Customer *Found = findCustomer(C, Id);
  return Found ? Found->Name : std::string();
}

template <typename T> std::string fieldText(const PatternField<T> &Field) {
  if (!Field.Parameter.empty())
    return "<" + Field.Parameter + ">";
  return textOf(ParameterValue(Field.Value));
}

std::string namesText(const std::vector<std::string> &Names) {
  return textOf(ParameterValue(Names));
}

ItemText describe(const Configuration &, const DataCentre &D) {
  return {Subject::DataCentre, D.Id.Value, D.Name, {}, {{"out", yesNo(D.Out)}}};
}

ItemText describe(const Configuration &, const Pool &P) {
  return {Subject::Pool,
          P.Id.Value,
          P.Name,
          {},
          {{"absent_limit", std::to_string(P.AbsentLimit)},
           {"absent_limit_per_domain", std::to_string(P.AbsentLimitPerDomain)},
           {"spare", yesNo(P.Spare)}}};
}

ItemText describe(const Configuration &C, const Team &T) {
  return {Subject::Team,
          T.Id.Value,
          T.Name,
          customerName(C, T.CreatedFor),
          {{"share", std::to_string(T.Share)},
           {"upper_limit", std::to_string(T.UpperLimit)},
           {"takes_keys", yesNo(T.TakesKeys)}}};
}

ItemText describe(const Configuration &C, const Queue &Q) {
  std::vector<std::string> Teams;
  for (TeamId Id : Q.AllowedTeams)
    Teams.push_back(teamName(C, Id));
  const Pool *P = findPool(C, Q.ServedBy);
  return {Subject::Queue,
          Q.Id.Value,
          Q.Name,
          customerName(C, Q.CreatedFor),
          {{"pool", P ? P->Name : std::string()},
           {"open", yesNo(Q.Open)},
           {"open_team", teamName(C, Q.OpenTeam)},
           {"idempotent", yesNo(Q.IdempotentByDefault)},
           {"teams", Teams.empty() ? "every team" : namesText(Teams)}}};
}

ItemText describe(const Configuration &C, const Key &K) {
  return {Subject::Key,
          K.Id.Value,
          std::to_string(K.Id.Value),
          {},
          {{"team", teamName(C, K.Owner)}, {"label", K.Label}}};
}

ItemText describe(const Configuration &, const OperatorKey &K) {
  return {Subject::OperatorKey,
          K.Id.Value,
          std::to_string(K.Id.Value),
          {},
          {{"operator", K.Name},
           {"role", RoleNames.at(static_cast<std::size_t>(K.Allowed))}}};
}

void describe(const Parameter &P, std::vector<FieldText> &Fields) {
  std::string Field = "parameters." + P.Name;
  std::string Text(nameOf(P.Kind));
  if (P.Default)
    Text += ", default " + textOf(*P.Default);
  if (P.Kind != ParameterKind::Boolean)
    Text += ", " + std::to_string(P.Least) + " to " + std::to_string(P.Most);
  Fields.push_back({Field, Text});
  Fields.push_back({Field + ".help", P.Help});
}

void describe(const TeamPattern &P, std::vector<FieldText> &Fields) {
  std::string Field = "teams." + P.Suffix;
  Fields.push_back({Field + ".share", fieldText(P.Share)});
  Fields.push_back({Field + ".upper_limit", fieldText(P.UpperLimit)});
  Fields.push_back({Field + ".takes_keys", fieldText(P.TakesKeys)});
}

void describe(const QueuePattern &P, std::vector<FieldText> &Fields) {
  std::string Field = "queues." + P.Suffix;
  if (!P.ForEach.empty())
    Field += "<" + P.ForEach + ">";
  Fields.push_back({Field + ".pool", fieldText(P.Pool)});
  Fields.push_back({Field + ".open", fieldText(P.Open)});
  Fields.push_back({Field + ".open_team", P.OpenTeam});
  Fields.push_back({Field + ".idempotent", fieldText(P.Idempotent)});
  Fields.push_back({Field + ".teams", namesText(P.Teams)});
}

ItemText describe(const Configuration &, const Template &T) {
  ItemText Item{Subject::Template, T.Id.Value, T.Name, {}, {{"help", T.Help}}};
  for (const Parameter &P : T.Parameters)
    describe(P, Item.Fields);
  for (const TeamPattern &P : T.Teams)
    describe(P, Item.Fields);
  for (const QueuePattern &P : T.Queues)
    describe(P, Item.Fields);
  return Item;
}

ItemText describe(const Configuration &C, const Customer &Of) {
  const Template *From = findTemplate(C, Of.MadeFrom);
  ItemText Item{Subject::Customer,
                Of.Id.Value,
                Of.Name,
                Of.Name,
                {{"template", From ? From->Name : std::string()}}};
  for (const Argument &A : Of.Arguments)
    Item.Fields.push_back({"arguments." + A.Name, textOf(A.Value)});
  return Item;
}

template <typename T>
void describeAll(const Configuration &C, const std::vector<T> &Items,
                 std::vector<ItemText> &Out) {
  for (const T &Item : Items)
    Out.push_back(describe(C, Item));
}

} // namespace

std::vector<ItemText> describe(const Configuration &C) {
  std::vector<ItemText> Items;
  describeAll(C, C.DataCentres, Items);
  describeAll(C, C.Pools, Items);
  describeAll(C, C.Teams, Items);
  describeAll(C, C.Queues, Items);
  describeAll(C, C.Keys, Items);
  describeAll(C, C.OperatorKeys, Items);
  describeAll(C, C.Templates, Items);
  describeAll(C, C.Customers, Items);
  return Items;
}

} // namespace comfreydeck::core
