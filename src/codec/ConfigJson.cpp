#include "codec/ConfigJson.h"

#include "codec/KeyHash.h"

#include <nlohmann/json.hpp>

#include <array>

namespace comfreydeck::codec {

namespace {

using namespace core;
using nlohmann::json;

constexpr std::array<const char *, 3> RoleNames = {"read", "operate",
                                                   "administer"};
constexpr std::array<const char *, 4> KindNames = {"datacentre", "pool", "team",
                                                   "queue"};

template <typename Enum, std::size_t N>
Enum enumFrom(const json &J, const std::array<const char *, N> &Names,
              const char *What) {
  std::string Text = J.get<std::string>();
  for (std::size_t I = 0; I < N; ++I)
    if (Text == Names[I])
      return static_cast<Enum>(I);
  throw CodecError("'" + Text + "' is not a " + What);
}

json write(const DataCentre &D) {
  return {{"id", D.Id.Value}, {"name", D.Name}, {"out", D.Out}};
}

json write(const Pool &P) {
  return {{"id", P.Id.Value},
          {"name", P.Name},
          {"absent_limit", P.AbsentLimit},
          {"absent_limit_per_domain", P.AbsentLimitPerDomain},
          {"spare", P.Spare}};
}

json write(const Team &T) {
  return {{"id", T.Id.Value},
          {"name", T.Name},
          {"share", T.Share},
          {"upper_limit", T.UpperLimit},
          {"limit_since", T.LimitSince.Value}};
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
          {"teams", std::move(Teams)}};
}

json write(const Key &K) {
  return {{"id", K.Id.Value}, {"team", K.Owner.Value}, {"hash", toHex(K.Hash)}};
}

json write(const OperatorKey &K) {
  return {{"id", K.Id.Value},
          {"name", K.Name},
          {"role", RoleNames.at(static_cast<std::size_t>(K.Allowed))},
          {"hash", toHex(K.Hash)}};
}

template <typename Id> Id idFrom(const json &J, const char *Field) {
  return Id{J.value(Field, Id::InvalidValue)};
}

void read(const json &J, DataCentre &D) {
  D.Id = idFrom<DataCentreId>(J, "id");
  D.Name = J.at("name").get<std::string>();
  D.Out = J.value("out", false);
}

void read(const json &J, Pool &P) {
  P.Id = idFrom<PoolId>(J, "id");
  P.Name = J.at("name").get<std::string>();
  P.AbsentLimit = J.value("absent_limit", P.AbsentLimit);
  P.AbsentLimitPerDomain =
      J.value("absent_limit_per_domain", P.AbsentLimitPerDomain);
  P.Spare = J.value("spare", false);
}

void read(const json &J, Team &T) {
  T.Id = idFrom<TeamId>(J, "id");
  T.Name = J.at("name").get<std::string>();
  T.Share = J.value("share", T.Share);
  T.UpperLimit = J.value("upper_limit", T.UpperLimit);
  T.LimitSince.Value = J.value("limit_since", std::uint64_t{0});
}

void read(const json &J, Queue &Q) {
  Q.Id = idFrom<QueueId>(J, "id");
  Q.Name = J.at("name").get<std::string>();
  Q.ServedBy = idFrom<PoolId>(J, "pool");
  Q.Open = J.value("open", false);
  Q.OpenTeam = idFrom<TeamId>(J, "open_team");
  Q.IdempotentByDefault = J.value("idempotent", false);
  for (const json &Id : J.value("teams", json::array()))
    Q.AllowedTeams.push_back(TeamId{Id.get<std::uint32_t>()});
}

void read(const json &J, Key &K) {
  K.Id = idFrom<KeyId>(J, "id");
  K.Owner = idFrom<TeamId>(J, "team");
  K.Hash = hashFromHex(J.at("hash").get<std::string>());
}

void read(const json &J, OperatorKey &K) {
  K.Id = idFrom<KeyId>(J, "id");
  K.Name = J.at("name").get<std::string>();
  K.Allowed = enumFrom<Role>(J.at("role"), RoleNames, "role");
  K.Hash = hashFromHex(J.at("hash").get<std::string>());
}

template <typename T> json writeAll(const std::vector<T> &Items) {
  json List = json::array();
  for (const T &Item : Items)
    List.push_back(write(Item));
  return List;
}

template <typename T> void readAll(const json &List, std::vector<T> &Items) {
  for (const json &J : List) {
    T Item;
    read(J, Item);
    Items.push_back(std::move(Item));
  }
}

json tagged(const char *Kind, json Body) {
  Body["edit"] = Kind;
  return Body;
}

json write(const PutDataCentre &E) {
  return tagged("put-datacentre", write(E.Item));
}

json write(const PutPool &E) { return tagged("put-pool", write(E.Item)); }

json write(const PutTeam &E) { return tagged("put-team", write(E.Item)); }

json write(const PutQueue &E) {
  return tagged("put-queue", {{"name", E.Name},
                              {"pool", E.Pool},
                              {"open", E.Open},
                              {"open_team", E.OpenTeam},
                              {"idempotent", E.IdempotentByDefault},
                              {"teams", E.AllowedTeams}});
}

json write(const GrantKey &E) {
  return tagged("grant-key", {{"team", E.Team}, {"hash", toHex(E.Hash)}});
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

template <typename T> ConfigEdit readPut(const json &J) {
  T Edit;
  read(J, Edit.Item);
  return Edit;
}

ConfigEdit readPutQueue(const json &J) {
  PutQueue E;
  E.Name = J.at("name").get<std::string>();
  E.Pool = J.at("pool").get<std::string>();
  E.Open = J.value("open", false);
  E.OpenTeam = J.value("open_team", std::string());
  E.IdempotentByDefault = J.value("idempotent", false);
  E.AllowedTeams = J.value("teams", std::vector<std::string>());
  return E;
}

ConfigEdit readGrantKey(const json &J) {
  return GrantKey{J.at("team").get<std::string>(),
                  hashFromHex(J.at("hash").get<std::string>())};
}

ConfigEdit readWithdrawKey(const json &J) {
  return WithdrawKey{KeyId{J.at("id").get<std::uint32_t>()}};
}

ConfigEdit readGrantOperatorKey(const json &J) {
  return GrantOperatorKey{J.at("name").get<std::string>(),
                          enumFrom<Role>(J.at("role"), RoleNames, "role"),
                          hashFromHex(J.at("hash").get<std::string>())};
}

ConfigEdit readWithdrawOperatorKey(const json &J) {
  return WithdrawOperatorKey{KeyId{J.at("id").get<std::uint32_t>()}};
}

ConfigEdit readRemove(const json &J) {
  return RemoveItem{enumFrom<ItemKind>(J.at("kind"), KindNames, "kind"),
                    J.at("name").get<std::string>()};
}

struct EditReader {
  const char *Kind;
  ConfigEdit (*Read)(const json &);
};

constexpr std::array EditReaders = {
    EditReader{"put-datacentre", readPut<PutDataCentre>},
    EditReader{"put-pool", readPut<PutPool>},
    EditReader{"put-team", readPut<PutTeam>},
    EditReader{"put-queue", readPutQueue},
    EditReader{"grant-key", readGrantKey},
    EditReader{"withdraw-key", readWithdrawKey},
    EditReader{"grant-operator-key", readGrantOperatorKey},
    EditReader{"withdraw-operator-key", readWithdrawOperatorKey},
    EditReader{"remove", readRemove},
};

ConfigEdit readEdit(const json &J) {
  std::string Kind = J.at("edit").get<std::string>();
  for (const EditReader &Reader : EditReaders)
    if (Kind == Reader.Kind)
      return Reader.Read(J);
  throw CodecError("'" + Kind + "' is not a kind of edit");
}

std::vector<ConfigEdit> readEdits(const json &List) {
  if (!List.is_array())
    throw CodecError("edits must be a list");
  std::vector<ConfigEdit> Edits;
  for (const json &J : List)
    Edits.push_back(readEdit(J));
  return Edits;
}

/// Runs \p Read and turns the library's errors into this part's own.
template <typename F> auto guarded(F Read) {
  try {
    return Read();
  } catch (const json::exception &E) {
    throw CodecError(E.what());
  }
}

} // namespace

std::string toJson(const ConfigChange &Change) {
  json Edits = json::array();
  for (const ConfigEdit &Edit : Change.Edits)
    Edits.push_back(std::visit([](const auto &E) { return write(E); }, Edit));
  json J = {{"version", Change.Version.Value},
            {"id", Change.Id},
            {"by", Change.By},
            {"at_unix_ms", Change.AtUnixMs},
            {"edits", std::move(Edits)}};
  return J.dump();
}

ConfigChange parseConfigChange(std::string_view Text) {
  return guarded([&] {
    json J = json::parse(Text);
    ConfigChange Change;
    Change.Version.Value = J.at("version").get<std::uint64_t>();
    Change.Id = J.at("id").get<std::string>();
    Change.By = J.at("by").get<std::string>();
    Change.AtUnixMs = J.at("at_unix_ms").get<std::int64_t>();
    Change.Edits = readEdits(J.at("edits"));
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
            {"operator_keys", writeAll(C.OperatorKeys)}};
  return J.dump();
}

Configuration parseConfiguration(std::string_view Text) {
  return guarded([&] {
    json J = json::parse(Text);
    Configuration C;
    C.Version.Value = J.at("version").get<std::uint64_t>();
    C.NextId = J.at("next_id").get<std::uint32_t>();
    readAll(J.at("datacentres"), C.DataCentres);
    readAll(J.at("pools"), C.Pools);
    readAll(J.at("teams"), C.Teams);
    readAll(J.at("queues"), C.Queues);
    readAll(J.at("keys"), C.Keys);
    readAll(J.at("operator_keys"), C.OperatorKeys);
    return C;
  });
}

std::vector<ConfigEdit> parseEdits(std::string_view Text) {
  return guarded([&] { return readEdits(json::parse(Text)); });
}

} // namespace comfreydeck::codec
