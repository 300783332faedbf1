#include "codec/ConfigItemsJson_p.h"
#include "codec/KeyHash.h"

namespace comfreydeck::codec::detail {

using namespace core;
using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 6> KindNames = {
    "datacentre", "pool", "team", "queue", "template", "customer"};

json tagged(const char *Kind, json Body) {
  Body["edit"] = Kind;
  return Body;
}

json write(const PutDataCentre &E) {
  return tagged("put-datacentre", fieldsOf(E.Item));
}

json write(const PutPool &E) { return tagged("put-pool", fieldsOf(E.Item)); }

json write(const PutTeam &E) { return tagged("put-team", fieldsOf(E.Item)); }

json write(const PutQueue &E) {
  return tagged("put-queue", {{"name", E.Name},
                              {"pool", E.Pool},
                              {"open", E.Open},
                              {"open_team", E.OpenTeam},
                              {"idempotent", E.IdempotentByDefault},
                              {"teams", E.AllowedTeams}});
}

json write(const GrantKey &E) {
  return tagged(
      "grant-key",
      {{"team", E.Team}, {"hash", toHex(E.Hash)}, {"label", E.Label}});
}

json write(const WithdrawKey &E) {
  return tagged("withdraw-key", {{"id", E.Id.Value}});
}

json write(const GrantOperatorKey &E) {
  return tagged("grant-operator-key",
                {{"name", E.Name},
                 {"role", RoleNames.at(static_cast<std::size_t>(E.Allowed))},
                 {"hash", toHex(E.Hash)}});
}

json write(const WithdrawOperatorKey &E) {
  return tagged("withdraw-operator-key", {{"id", E.Id.Value}});
}

json write(const RemoveItem &E) {
  return tagged("remove",
                {{"kind", KindNames.at(static_cast<std::size_t>(E.Kind))},
                 {"name", E.Name}});
}

json write(const PutTemplate &E) {
  return tagged("put-template", fieldsOf(E.Item));
}

json write(const PutCustomer &E) {
  return tagged("put-customer", {{"name", E.Name},
                                 {"template", E.Template},
                                 {"arguments", argumentsOf(E.Arguments)}});
}

template <typename T> ConfigEdit readPut(FieldReader &R) {
  T Edit;
  readFields(R, Edit.Item);
  return Edit;
}

ConfigEdit readPutQueue(FieldReader &R) {
  PutQueue E;
  R.text("name", E.Name, Need::Required);
  R.text("pool", E.Pool, Need::Required);
  R.flag("open", E.Open);
  R.text("open_team", E.OpenTeam, Need::Optional);
  R.flag("idempotent", E.IdempotentByDefault);
  R.names("teams", E.AllowedTeams);
  return E;
}

ConfigEdit readGrantKey(FieldReader &R) {
  GrantKey E;
  R.text("team", E.Team, Need::Required);
  R.hash("hash", E.Hash);
  R.text("label", E.Label, Need::Optional);
  return E;
}

template <typename T> ConfigEdit readWithdrawal(FieldReader &R) {
  T E;
  R.number("id", E.Id.Value, Need::Required);
  return E;
}

ConfigEdit readGrantOperatorKey(FieldReader &R) {
  GrantOperatorKey E;
  R.text("name", E.Name, Need::Required);
  R.oneOf("role", E.Allowed, RoleNames);
  R.hash("hash", E.Hash);
  return E;
}

ConfigEdit readRemove(FieldReader &R) {
  RemoveItem E;
  R.oneOf("kind", E.Kind, KindNames);
  R.text("name", E.Name, Need::Required);
  return E;
}

ConfigEdit readPutCustomer(FieldReader &R) {
  PutCustomer E;
  R.text("name", E.Name, Need::Required);
  R.text("template", E.Template, Need::Required);
  readArguments(R, E.Arguments);
  return E;
}

struct EditReader {
  std::string_view Kind;
  ConfigEdit (*Read)(FieldReader &);
};

constexpr std::array EditReaders = {
    EditReader{"put-datacentre", readPut<PutDataCentre>},
    EditReader{"put-pool", readPut<PutPool>},
    EditReader{"put-team", readPut<PutTeam>},
    EditReader{"put-queue", readPutQueue},
    EditReader{"grant-key", readGrantKey},
    EditReader{"withdraw-key", readWithdrawal<WithdrawKey>},
    EditReader{"grant-operator-key", readGrantOperatorKey},
    EditReader{"withdraw-operator-key", readWithdrawal<WithdrawOperatorKey>},
    EditReader{"remove", readRemove},
    EditReader{"put-template", readPut<PutTemplate>},
    EditReader{"put-customer", readPutCustomer},
};

} // namespace

json writeEdit(const ConfigEdit &Edit) {
  return std::visit([](const auto &E) { return write(E); }, Edit);
}

ConfigEdit readEdit(const json &J, std::vector<FieldFault> &Faults) {
  FieldReader R(J, "", Faults);
  std::string Kind;
  R.text("edit", Kind, Need::Required);
  for (const EditReader &Reader : EditReaders) {
    if (Kind != Reader.Kind)
      continue;
    ConfigEdit Edit = Reader.Read(R);
    R.rejectUnknown();
    return Edit;
  }
  if (!Kind.empty())
    R.addFault("edit", "'" + Kind + "' is not a kind of edit");
  return {};
}

} // namespace comfreydeck::codec::detail
