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
    {409, "it has been resolved already"},
    {503, "the table service is away; nothing was resolved"},
}};

net::HttpResponse error(int Status, std::string_view Message) {
  return net::jsonResponse(Status, json({{"error", Message}}).dump());
}

} // namespace

void UnresolvedRoutes::handle(const std::string &Operator,
                              const net::HttpRequest &Request,
                              const net::HttpResponder &Respond) {
  std::vector<std::string_view> Parts = net::splitPath(Request.Path);
  if (Parts.size() == 3 && Request.Method == "GET")
    return list(Respond);
  std::optional<core::RequestId> Id =
      Parts.size() == 4 ? core::requestFrom(Parts[3]) : std::nullopt;
  if (Id && Request.Method == "POST")
    return resolve(Operator, Request, *Id, Respond);
  Respond(error(404, "there is no such path"));
}

void UnresolvedRoutes::list(const net::HttpResponder &Respond) {
  Store_.list([Respond](const auto &Rows) {
    if (!Rows)
      return Respond(error(503, "the table service is away"));
    json Listed = json::array();
    for (const codec::UnresolvedRow &Row : *Rows)
      Listed.push_back(json::parse(codec::toJson(Row)));
    Respond(net::jsonResponse(200, json({{"unresolved", Listed}}).dump()));
  });
}

void UnresolvedRoutes::resolve(const std::string &Operator,
                               const net::HttpRequest &Request,
                               const core::RequestId &Id,
                               const net::HttpResponder &Respond) {
  json J = json::parse(Request.Body, nullptr, false);
  std::string Outcome = J.is_object() ? J.value("outcome", "") : "";
  if (Outcome != "ran" && Outcome != "not-run")
    return Respond(error(400, "outcome must be ran or not-run"));
  Store_.resolve(Id, Outcome == "ran", Operator,
                 [Respond](ResolveOutcome Resolved) {
                   const ResolveAnswer &Answer =
                       ResolveAnswers.at(static_cast<std::size_t>(Resolved));
                   bool Ok = Resolved == ResolveOutcome::Resolved;
                   Respond(Ok ? net::jsonResponse(200, "{}")
                              : error(Answer.Status, Answer.Message));
                 });
}

} // namespace comfreydeck::entry
