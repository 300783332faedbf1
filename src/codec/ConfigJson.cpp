#include "codec/ConfigJson.h"

#include "codec/ConfigItemsJson_p.h"
#include "codec/KeyHash.h"
#include "core/ConfigLimits.h"

namespace comfreydeck::codec {

using namespace core;
using namespace detail;
using nlohmann::json;

namespace {

template <typename T> json write(const T &Item) {
  json J = fieldsOf(Item);
  J["id"] = Item.Id.Value;
  return J;
}

json write(const Team &T) {
  json J = fieldsOf(T);
  J["id"] = T.Id.Value;
  J["made_by"] = T.CreatedFor.Value;
  J["limit_since"] = T.LimitSince.Value;
  return J;
}

json write(const Queue &Q) {
  json Teams = json::array();
  for (TeamId Id : Q.AllowedTeams)
    Teams.push_back(Id.Value);
  return {{"id", Q.Id.Value},
          {"name", Q.Name},
          {"pool", Q.ServedBy.Value},
          {"open", Q.Open},
          {"open_team", Q.OpenTeam.Value},
          {"idempotent", Q.IdempotentByDefault},
          {"teams", std::move(Teams)},
          {"made_by", Q.CreatedFor.Value}};
}

json write(const Key &K) {
  return {{"id", K.Id.Value},
          {"team", K.Owner.Value},
          {"hash", toHex(K.Hash)},
          {"label", K.Label}};
}

json write(const OperatorKey &K) {
  return {{"id", K.Id.Value},
          {"name", K.Name},
          {"role", RoleNames.at(static_cast<std::size_t>(K.Allowed))},
          {"hash", toHex(K.Hash)}};
}

json write(const Customer &C) {
  return {{"id", C.Id.Value},
          {"name", C.Name},
          {"template", C.MadeFrom.Value},
          {"arguments", argumentsOf(C.Arguments)}};
}

template <typename T> void read(FieldReader &R, T &Item) {
  R.id("id", Item.Id);
  readFields(R, Item);
}

void read(FieldReader &R, Team &T) {
  R.id("id", T.Id);
  R.id("made_by", T.CreatedFor);
  R.number64("limit_since", T.LimitSince.Value);
  readFields(R, T);
}

void read(FieldReader &R, Queue &Q) {
  R.id("id", Q.Id);
  R.text("name", Q.Name, Need::Required);
  R.id("pool", Q.ServedBy);
  R.flag("open", Q.Open);
  R.id("open_team", Q.OpenTeam);
  R.flag("idempotent", Q.IdempotentByDefault);
  R.ids("teams", Q.AllowedTeams);
  R.id("made_by", Q.CreatedFor);
}

void read(FieldReader &R, Key &K) {
  R.id("id", K.Id);
  R.id("team", K.Owner);
  R.hash("hash", K.Hash);
  R.text("label", K.Label, Need::Optional);
}

void read(FieldReader &R, OperatorKey &K) {
  R.id("id", K.Id);
  R.text("name", K.Name, Need::Required);
  R.oneOf("role", K.Allowed, RoleNames);
  R.hash("hash", K.Hash);
}

void read(FieldReader &R, Customer &C) {
  R.id("id", C.Id);
  R.text("name", C.Name, Need::Required);
  R.id("template", C.MadeFrom);
  readArguments(R, C.Arguments);
}

template <typename T> json writeAll(const std::vector<T> &Items) {
  json List = json::array();
  for (const T &Item : Items)
    List.push_back(write(Item));
  return List;
}

template <typename T>
void readAll(FieldReader &R, const char *Field, std::vector<T> &Items,
             Need Needed = Need::Required) {
  R.list(Field, Items, Needed,
         [](FieldReader &Inner, T &Item) { read(Inner, Item); });
}

std::vector<ConfigEdit> readEdits(const json &List) {
  if (!List.is_array())
    throw CodecError("edits must be a list");
  if (List.size() > MaxEditsInChange)
    throw CodecError("a change may have at most " +
                     std::to_string(MaxEditsInChange) + " edits");
  std::vector<ConfigEdit> Edits;
  std::vector<ConfigFault> Faults;
  for (std::size_t I = 0; I < List.size(); ++I) {
    std::vector<FieldFault> Found;
    Edits.push_back(readEdit(List[I], Found));
    for (FieldFault &F : Found)
      Faults.push_back({I, std::move(F.Field), std::move(F.Message)});
  }
  if (!Faults.empty())
    throw CodecError(std::move(Faults));
  return Edits;
}

/// Throws the first fault, if any, of a document other than a list of edits.
void throwIfAny(const std::vector<FieldFault> &Faults) {
  if (!Faults.empty())
    throw CodecError(Faults.front().Field + ": " + Faults.front().Message);
}

/// Runs \p Read and rethrows the JSON library's errors as CodecError.
template <typename F> auto withCodecErrors(F Read) {
  try {
    return Read();
  } catch (const json::exception &E) {
    throw CodecError(E.what());
  }
}

} // namespace

CodecError::CodecError(std::vector<ConfigFault> Faults)
    : std::runtime_error(textOf(Faults)), Faults_(std::move(Faults)) {}

std::string toJson(const ConfigChange &Change) {
  json J = {{"version", Change.Version.Value},
            {"id", Change.Id},
            {"by", Change.By},
            {"at_unix_ms", Change.AtUnixMs},
            {"edits", json::parse(toJson(Change.Edits))}};
  return J.dump();
}

std::string toJson(std::span<const ConfigEdit> Edits) {
  json List = json::array();
  for (const ConfigEdit &Edit : Edits)
    List.push_back(writeEdit(Edit));
  return List.dump();
}

ConfigChange parseConfigChange(std::string_view Text) {
  return withCodecErrors([&] {
    json J = json::parse(Text);
    std::vector<FieldFault> Faults;
    FieldReader R(J, "", Faults);
    ConfigChange Change;
    R.number64("version", Change.Version.Value);
    R.text("id", Change.Id, Need::Required);
    R.text("by", Change.By, Need::Required);
    R.signed64("at_unix_ms", Change.AtUnixMs);
    const json *Edits = R.take("edits", Need::Required);
    throwIfAny(Faults);
    Change.Edits = readEdits(*Edits);
    return Change;
  });
}

std::string toJson(const Configuration &C) {
  json J = {{"version", C.Version.Value},
            {"next_id", C.NextId},
            {"datacentres", writeAll(C.DataCentres)},
            {"pools", writeAll(C.Pools)},
            {"teams", writeAll(C.Teams)},
            {"queues", writeAll(C.Queues)},
            {"keys", writeAll(C.Keys)},
            {"operator_keys", writeAll(C.OperatorKeys)},
            {"templates", writeAll(C.Templates)},
            {"customers", writeAll(C.Customers)}};
  return J.dump();
}

Configuration parseConfiguration(std::string_view Text) {
  return withCodecErrors([&] {
    json J = json::parse(Text);
    std::vector<FieldFault> Faults;
    FieldReader R(J, "", Faults);
    Configuration C;
    R.number64("version", C.Version.Value);
    R.number("next_id", C.NextId, Need::Required);
    readAll(R, "datacentres", C.DataCentres);
    readAll(R, "pools", C.Pools);
    readAll(R, "teams", C.Teams);
    readAll(R, "queues", C.Queues);
    readAll(R, "keys", C.Keys);
    readAll(R, "operator_keys", C.OperatorKeys);
    readAll(R, "templates", C.Templates, Need::Optional);
    readAll(R, "customers", C.Customers, Need::Optional);
    R.rejectUnknown();
    throwIfAny(Faults);
    return C;
  });
}

std::vector<ConfigEdit> parseEdits(std::string_view Text) {
  return withCodecErrors([&] { return readEdits(json::parse(Text)); });
}

} // namespace comfreydeck::codec
