#include "entry/UnresolvedRoutes.h"

#include <nlohmann/json.hpp>

#include <array>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

struct ResolveAnswer {
  int Status;
  const char *Message;
};

constexpr std::array<ResolveAnswer, 4> ResolveAnswers = {{
    {200, "resolved"},
    {404, "there is no such unresolved request"},
    {409, "the request has already been resolved"},
    {503, "the table service is unavailable; nothing was resolved"},
}};

void list(UnresolvedStore &Store, const net::HttpResponder &Respond) {
  Store.list([Respond](const auto &Rows) {
    if (!Rows)
      return Respond(operatorError(503, "the table service is unavailable"));
    json Listed = json::array();
    for (const codec::UnresolvedRow &Row : *Rows)
      Listed.push_back(json::parse(codec::toJson(Row)));
    Respond(net::jsonResponse(200, json({{"unresolved", Listed}}).dump()));
  });
}

void resolve(UnresolvedStore &Store, const OperatorCall &Call,
             const net::HttpResponder &Respond) {
  std::optional<core::RequestId> Id = core::requestFrom(Call.Wildcards.front());
  if (!Id)
    return Respond(operatorError(404, "there is no such request"));
  json J = json::parse(Call.Request.Body, nullptr, false);
  std::string Outcome = J.is_object() ? J.value("outcome", "") : "";
  if (Outcome != "ran" && Outcome != "not-run")
    return Respond(operatorError(400, "outcome must be ran or not-run"));
  Store.resolve(*Id, Outcome == "ran", Call.Who.Name,
                [Respond](ResolveOutcome Resolved) {
                  const ResolveAnswer &Answer =
                      ResolveAnswers.at(static_cast<std::size_t>(Resolved));
                  bool Ok = Resolved == ResolveOutcome::Resolved;
                  Respond(Ok ? net::jsonResponse(200, "{}")
                             : operatorError(Answer.Status, Answer.Message));
                });
}

} // namespace

std::vector<OperatorRoute> unresolvedRoutes(UnresolvedStore &Store) {
  return {
      {"GET", "unresolved", core::Role::Read,
       [&Store](const OperatorCall &, const net::HttpResponder &Respond) {
         list(Store, Respond);
       }},
      {"POST", "unresolved/*", core::Role::Operate,
       [&Store](const OperatorCall &Call, const net::HttpResponder &Respond) {
         resolve(Store, Call, Respond);
       }}};
}

} // namespace comfreydeck::entry
