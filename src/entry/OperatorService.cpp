#include "entry/OperatorService.h"

#include "codec/ConfigJson.h"
#include "codec/KeyHash.h"
#include "codec/ReportJson.h"
#include "entry/ConfigRoutes.h"
#include "entry/StatusSections.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

constexpr std::string_view PathPrefix = "/v1/operator/";
constexpr std::size_t MaxBodyBytes = 1 << 20;

/// The path segments that match a `*` in \p Pattern, or nullopt if the path
/// does not match.
std::optional<std::vector<std::string>> matchPath(std::string_view Pattern,
                                                  std::string_view Path) {
  std::vector<std::string_view> PatternSegments = net::splitPath(Pattern);
  std::vector<std::string_view> PathSegments = net::splitPath(Path);
  if (PatternSegments.size() != PathSegments.size())
    return std::nullopt;
  std::vector<std::string> Wildcards;
  for (std::size_t I = 0; I < PatternSegments.size(); ++I) {
    if (PatternSegments[I] == "*")
      Wildcards.emplace_back(PathSegments[I]);
    else if (PatternSegments[I] != PathSegments[I])
      return std::nullopt;
  }
  return Wildcards;
}

/// Serializes JSON that may contain bytes sent by an operator; invalid UTF-8 is
/// replaced.
std::string dumpSafely(const json &J) {
  return J.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <typename E> net::HttpResponse faultsResponse(const E &Error) {
  json Body = {{"error", Error.what()},
               {"outcome", "invalid"},
               {"faults", json::parse(codec::toJson(Error.faults()))}};
  return net::jsonResponse(400, dumpSafely(Body));
}

/// Runs a handler and responds with status 400 if it throws.
template <typename F>
void withErrorResponses(const net::HttpResponder &Respond, F Handle) {
  try {
    Handle();
  } catch (const json::exception &E) {
    Respond(operatorError(400, E.what()));
  } catch (const codec::CodecError &E) {
    Respond(faultsResponse(E));
  } catch (const core::ConfigError &E) {
    Respond(faultsResponse(E));
  }
}

} // namespace

net::HttpResponse operatorError(int Status, std::string_view Message) {
  return net::jsonResponse(Status, dumpSafely({{"error", Message}}));
}

OperatorService::OperatorService(const Context &C, Membership &Members,
                                 ConfigStore &Config, Fleet &Workers,
                                 PoolService &Pools)
    : Context_(C), Members_(Members), Config_(Config), Workers_(Workers) {
  addStatusSections(Board_, {Members, Config, Workers, Pools});
  add(configRoutes(Config, Workers));
  add(customerRoutes(Config, Workers));
  add({{"GET", "status", core::Role::Read,
        [this](const OperatorCall &, const net::HttpResponder &Respond) {
          Respond(status());
        }}});
}

void OperatorService::add(std::vector<OperatorRoute> Routes) {
  for (OperatorRoute &Route : Routes)
    Routes_.push_back(std::move(Route));
}

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
  const std::string &BootstrapHash = Context_.Settings.BootstrapOperatorKeyHash;
  bool IsBootstrapKey =
      C->OperatorKeys.empty() && !BootstrapHash.empty() &&
      codec::sameHash(codec::hashFromHex(BootstrapHash), Hash);
  if (!IsBootstrapKey)
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
    return Respond(operatorError(401, "the operator's key is not known"));
  if (Request.Body.size() > MaxBodyBytes)
    return Respond(operatorError(413, "the body is larger than 1 MiB"));
  bool IsKnownPath = false;
  for (const OperatorRoute &Route : Routes_) {
    auto Wildcards = matchPath(
        Route.Path, std::string_view(Request.Path).substr(PathPrefix.size()));
    if (!Wildcards)
      continue;
    IsKnownPath = true;
    if (Route.Method != Request.Method)
      continue;
    if (Who->Allowed < Route.RequiredRole)
      return Respond(
          operatorError(403, "the operator's role does not allow this"));
    return dispatch(Route, {*Who, std::move(Request), std::move(*Wildcards)},
                    std::move(Respond));
  }
  if (IsKnownPath)
    return Respond(operatorError(405, "the path does not support this method"));
  Respond(operatorError(404, "there is no such path"));
}

void OperatorService::dispatch(const OperatorRoute &Route, OperatorCall Call,
                               net::HttpResponder Respond) {
  Context_.Control.post(
      [&Route, Call = std::move(Call), Respond = std::move(Respond)] {
        withErrorResponses(Respond, [&] { Route.Handle(Call, Respond); });
      });
}

net::HttpResponse OperatorService::status() const {
  json Body = {{"config_version", Config_.current()->Version.Value},
               {"current", Members_.isCurrent(net::now())},
               {"sections", json::parse(Board_.toJson())}};
  return net::jsonResponse(200, Body.dump());
}

} // namespace comfreydeck::entry
