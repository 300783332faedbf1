#include "entry/OperatorService.h"

#include "codec/ConfigJson.h"
#include "codec/InstanceJson.h"
#include "codec/KeyHash.h"
#include "core/Names.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <array>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

constexpr std::array<const char *, 6> OutcomeNames = {
    "in-force", "pending", "conflict", "invalid", "unavailable", "unknown"};
constexpr std::array<int, 6> OutcomeStatuses = {200, 202, 409, 400, 503, 504};

net::HttpResponse error(int Status, std::string_view Message) {
  return net::jsonResponse(Status, json({{"error", Message}}).dump());
}

/// What a request of that method needs.
core::Role neededRole(const net::HttpRequest &Request) {
  if (Request.Method == "GET")
    return core::Role::Read;
  bool IsConfig = Request.Path.starts_with("/v1/operator/config");
  return IsConfig ? core::Role::Administer : core::Role::Operate;
}

ConfigProposal proposalFrom(const std::string &Body, const std::string &By) {
  json J = json::parse(Body);
  ConfigProposal Proposal;
  Proposal.By = By;
  Proposal.Edits = codec::parseEdits(J.at("edits").dump());
  if (J.contains("expected_version"))
    Proposal.Expected =
        core::ConfigVersion{J["expected_version"].get<std::uint64_t>()};
  return Proposal;
}

net::HttpResponse responseOf(const ProposalResult &Result) {
  auto Index = static_cast<std::size_t>(Result.Outcome);
  json J = {{"outcome", OutcomeNames.at(Index)},
            {"version", Result.Version.Value},
            {"message", Result.Message}};
  return net::jsonResponse(OutcomeStatuses.at(Index), J.dump());
}

} // namespace

OperatorService::OperatorService(const Context &C, Membership &Members,
                                 ConfigStore &Config, Fleet &Workers,
                                 PoolService &Pools, FleetRoutes &Routes,
                                 UnresolvedStore &Unresolved)
    : Context_(C), Members_(Members), Config_(Config), Workers_(Workers),
      Pools_(Pools), Routes_(Routes), Unresolved_(Unresolved) {}

std::optional<core::OperatorKey>
OperatorService::identify(const net::HttpRequest &R) const {
  std::string_view Text = net::findHeader(R.Headers, "Authorization");
  constexpr std::string_view Scheme = "Bearer ";
  if (!Text.starts_with(Scheme))
    return std::nullopt;
  core::KeyHash Hash = codec::hashSecret(Text.substr(Scheme.size()));
  std::shared_ptr<const core::Configuration> C = Config_.current();
  for (const core::OperatorKey &K : C->OperatorKeys)
    if (codec::sameHash(K.Hash, Hash))
      return K;
  const std::string &First = Context_.Settings.BootstrapOperatorKeyHash;
  bool IsFirst = C->OperatorKeys.empty() && !First.empty() &&
                 codec::sameHash(codec::hashFromHex(First), Hash);
  if (!IsFirst)
    return std::nullopt;
  core::OperatorKey K;
  K.Name = "bootstrap";
  K.Allowed = core::Role::Administer;
  return K;
}

void OperatorService::handle(net::HttpRequest Request,
                             net::HttpResponder Respond) {
  std::optional<core::OperatorKey> Who = identify(Request);
  if (!Who)
    return Respond(error(401, "the operator's key is not known"));
  if (Who->Allowed < neededRole(Request))
    return Respond(error(403, "the operator's role does not allow this"));
  Context_.Control.post(
      [this, Who, Request = std::move(Request), Respond = std::move(Respond)] {
        try {
          route(*Who, Request, Respond);
        } catch (const json::exception &E) {
          Respond(error(400, E.what()));
        } catch (const codec::CodecError &E) {
          Respond(error(400, E.what()));
        }
      });
}

void OperatorService::route(const core::OperatorKey &Who,
                            const net::HttpRequest &Request,
                            const net::HttpResponder &Respond) {
  std::vector<std::string_view> Parts = net::splitPath(Request.Path);
  std::string_view Subject = Parts.size() > 2 ? Parts[2] : std::string_view();
  bool IsGet = Request.Method == "GET";
  if (Subject == "config" && Parts.size() == 3 && IsGet)
    return Respond(net::jsonResponse(200, codec::toJson(*Config_.current())));
  if (Subject == "config" && Parts.size() == 4 && Parts[3] == "changes")
    return postChange(Who, Request, Respond);
  if (Subject == "unresolved")
    return Unresolved_.handle(Who.Name, Request, Respond);
  if (Routes_.handle(Who, Request, Respond))
    return;
  if (Subject == "status" && IsGet)
    return Respond(status());
  Respond(error(404, "there is no such path"));
}

void OperatorService::postChange(const core::OperatorKey &Who,
                                 const net::HttpRequest &Request,
                                 const net::HttpResponder &Respond) {
  Config_.propose(
      proposalFrom(Request.Body, Who.Name),
      [Respond](const ProposalResult &Result) { Respond(responseOf(Result)); });
}

net::HttpResponse OperatorService::status() const {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  json Entries = json::array();
  for (const Member &M : Members_.members())
    Entries.push_back({{"name", M.Name},
                       {"datacentre", M.DataCentre},
                       {"incarnation", core::nameOf(M.Id)}});
  json Instances = json::array();
  for (const auto &[Id, I] : Workers_.instances())
    Instances.push_back(json::parse(codec::toJson(I)));
  json J = {{"config_version", C->Version.Value},
            {"current", Members_.isCurrent(net::now())},
            {"entries", Entries},
            {"instances", Instances}};
  return net::jsonResponse(200, J.dump());
}

} // namespace comfreydeck::entry
