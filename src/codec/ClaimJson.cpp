#include "codec/ClaimJson.h"

#include "codec/ConfigJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace comfreydeck::codec {

namespace {

using nlohmann::json;

constexpr std::size_t MaxRowBodyBytes = 2048;
constexpr std::array<const char *, 4> StateNames = {"claimed", "ended",
                                                    "not-run", "unresolved"};

core::RequestId requestId(const json &J, const char *Field) {
  auto Id = core::requestFrom(J.at(Field).get<std::string>());
  if (!Id)
    throw CodecError("the row has no valid request id");
  return *Id;
}

core::ClaimState stateFrom(const std::string &Name) {
  auto It = std::find(StateNames.begin(), StateNames.end(), Name);
  if (It == StateNames.end())
    throw CodecError("unknown state of a claim");
  return static_cast<core::ClaimState>(It - StateNames.begin());
}

template <typename Row, typename Read>
Row parseRow(std::string_view Text, Read From) {
  try {
    return From(json::parse(Text));
  } catch (const json::exception &E) {
    throw CodecError(E.what());
  }
}

} // namespace

bool fitsInRow(const std::string &Body) {
  return Body.size() <= MaxRowBodyBytes &&
         std::all_of(Body.begin(), Body.end(), [](char C) {
           return static_cast<unsigned char>(C) < 0x80;
         });
}

std::string toJson(const ClaimRow &Row) {
  json J = {
      {"request", core::nameOf(Row.Record.Request)},
      {"state", StateNames.at(static_cast<std::size_t>(Row.Record.State))},
      {"fingerprint", Row.Record.Fingerprint}};
  if (Row.Record.State == core::ClaimState::Ended) {
    J["status"] = Row.Outcome.Status;
    J["content_type"] = Row.Outcome.ContentType;
    J["body"] = Row.Outcome.Body;
    J["body_dropped"] = Row.Outcome.BodyDropped;
    J["body_object"] = Row.BodyObject;
  }
  return J.dump();
}

ClaimRow parseClaimRow(std::string_view Text) {
  return parseRow<ClaimRow>(Text, [](const json &J) {
    ClaimRow Row;
    Row.Record.Request = requestId(J, "request");
    Row.Record.State = stateFrom(J.at("state").get<std::string>());
    Row.Record.Fingerprint = J.at("fingerprint").get<std::uint64_t>();
    Row.Outcome.Status = J.value("status", 0);
    Row.Outcome.ContentType = J.value("content_type", "");
    Row.Outcome.Body = J.value("body", "");
    Row.Outcome.BodyDropped = J.value("body_dropped", false);
    Row.BodyObject = J.value("body_object", "");
    return Row;
  });
}

std::string toJson(const UnresolvedRow &Row) {
  json J = {{"request", core::nameOf(Row.Request)},
            {"team", Row.Team},
            {"queue", Row.Queue},
            {"reason", Row.Reason},
            {"worker", Row.Worker},
            {"at_unix_ms", Row.AtUnixMs},
            {"claim_key", Row.ClaimKey},
            {"state", Row.State},
            {"by", Row.By}};
  return J.dump();
}

UnresolvedRow parseUnresolvedRow(std::string_view Text) {
  return parseRow<UnresolvedRow>(Text, [](const json &J) {
    UnresolvedRow Row;
    Row.Request = requestId(J, "request");
    Row.Team = J.at("team").get<std::string>();
    Row.Queue = J.at("queue").get<std::string>();
    Row.Reason = J.at("reason").get<std::string>();
    Row.Worker = J.at("worker").get<std::string>();
    Row.AtUnixMs = J.at("at_unix_ms").get<std::int64_t>();
    Row.ClaimKey = J.at("claim_key").get<std::string>();
    Row.State = J.at("state").get<std::string>();
    Row.By = J.at("by").get<std::string>();
    return Row;
  });
}

} // namespace comfreydeck::codec
