#include "entry/Sessions.h"

#include "core/Names.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

constexpr const char *HeadRow = "head";

Session parseSession(const store::Row &Row) {
  std::optional<core::Incarnation> Id = core::parseIncarnation(Row.Key);
  if (!Id)
    throw std::runtime_error("invalid key of a session row: '" + Row.Key + "'");
  json J = json::parse(Row.Value);
  Session S;
  S.Entry.Id = *Id;
  S.Entry.Name = J.at("name").get<std::string>();
  S.Entry.DataCentre = J.at("datacentre").get<std::string>();
  S.Entry.PeerAddress = J.at("peer_address").get<std::string>();
  S.Entry.HttpAddress = J.at("http_address").get<std::string>();
  S.Notice.Value = J.at("notice").get<std::uint64_t>();
  S.Fenced = J.at("fenced").get<bool>();
  S.RowVersion = Row.Version;
  return S;
}

} // namespace

const char *sessionTable() { return "sessions"; }

store::RowKey sessionKey(core::Incarnation Id) {
  return {sessionTable(), core::nameOf(Id)};
}

store::RowKey headKey() { return {sessionTable(), HeadRow}; }

SessionRows parseSessions(std::span<const store::Row> Rows) {
  SessionRows Read;
  for (const store::Row &Row : Rows) {
    if (Row.Key == HeadRow) {
      Read.Head = parseHead(Row);
      continue;
    }
    Session S = parseSession(Row);
    Read.Sessions[S.Entry.Id] = std::move(S);
  }
  return Read;
}

LogHead parseHead(const store::Row &Row) {
  json J = json::parse(Row.Value);
  LogHead Head;
  Head.Version.Value = J.at("version").get<std::uint64_t>();
  Head.Snapshot.Value = J.at("snapshot").get<std::uint64_t>();
  Head.RowVersion = Row.Version;
  return Head;
}

std::string valueOf(const Session &S) {
  json J = {{"name", S.Entry.Name},
            {"datacentre", S.Entry.DataCentre},
            {"peer_address", S.Entry.PeerAddress},
            {"http_address", S.Entry.HttpAddress},
            {"notice", S.Notice.Value},
            {"fenced", S.Fenced}};
  return J.dump();
}

std::string valueOf(const LogHead &Head) {
  json J = {{"version", Head.Version.Value}, {"snapshot", Head.Snapshot.Value}};
  return J.dump();
}

} // namespace comfreydeck::entry
