#include "entry/ConfigRoutes.h"

#include "codec/ConfigJson.h"
#include "codec/ReportJson.h"
#include "net/Query.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

constexpr std::array<const char *, 6> OutcomeNames = {
    "in-force", "pending", "conflict", "invalid", "unavailable", "unknown"};
constexpr std::array<int, 6> OutcomeStatuses = {200, 202, 409, 400, 503, 504};
constexpr std::uint32_t MaxHistoryLimit = 200;
constexpr std::uint32_t DefaultHistoryLimit = 50;
/// Limit on the newer changes listed in the response to a conflicting edit.
constexpr std::uint32_t MaxNewerChanges = 20;

struct ChangeRequest {
  ConfigProposal Proposal;
  bool DryRun = false;
};

void rejectUnknownFields(const json &J) {
  constexpr std::array<std::string_view, 3> Known = {
      "edits", "expected_version", "dry_run"};
  for (const auto &[Field, Value] : J.items())
    if (std::find(Known.begin(), Known.end(), Field) == Known.end())
      throw codec::CodecError(Field + ": is not known");
}

ChangeRequest parseChangeRequest(const OperatorCall &Call) {
  json J = json::parse(Call.Request.Body);
  if (!J.is_object())
    throw codec::CodecError("the body must be an object");
  rejectUnknownFields(J);
  ChangeRequest Request;
  Request.Proposal.By = Call.Who.Name;
  Request.Proposal.Edits = codec::parseEdits(J.at("edits").dump());
  if (J.contains("expected_version")) {
    if (!J["expected_version"].is_number_unsigned())
      throw codec::CodecError("expected_version: must be a whole number");
    Request.Proposal.Expected =
        core::ConfigVersion{J["expected_version"].get<std::uint64_t>()};
  }
  if (J.contains("dry_run")) {
    if (!J["dry_run"].is_boolean())
      throw codec::CodecError("dry_run: must be true or false");
    Request.DryRun = J["dry_run"].get<bool>();
  }
  return Request;
}

json changesToJson(std::span<const core::ConfigChange> Changes) {
  json List = json::array();
  for (const core::ConfigChange &Change : Changes)
    List.push_back(json::parse(codec::toJson(Change)));
  return List;
}

json resultToJson(const ProposalResult &Result) {
  return {
      {"outcome", OutcomeNames.at(static_cast<std::size_t>(Result.Outcome))},
      {"version", Result.Version.Value},
      {"message", Result.Message}};
}

net::HttpResponse responseOf(const ProposalResult &Result, const json &Body) {
  auto Index = static_cast<std::size_t>(Result.Outcome);
  return net::jsonResponse(OutcomeStatuses.at(Index), Body.dump());
}

/// Responds to a conflicting edit with the changes committed after \p
/// BaseVersion.
void respondConflict(ConfigStore &Config, core::ConfigVersion BaseVersion,
                     const ProposalResult &Result,
                     const net::HttpResponder &Respond) {
  Config.readLog(BaseVersion, MaxNewerChanges,
                 [Result, Respond](const LogPage &Page) {
                   json Body = resultToJson(Result);
                   Body["newer"] = changesToJson(Page.Changes);
                   if (!Page.Changes.empty())
                     Body["version"] = Page.Changes.back().Version.Value;
                   Respond(responseOf(Result, Body));
                 });
}

/// Returns the configuration with the proposed edits applied. Throws
/// core::ConfigError.
core::Configuration applyProposal(const core::Configuration &Now,
                                  const ConfigProposal &Proposal) {
  core::ConfigChange Change;
  Change.Version.Value = Now.Version.Value + 1;
  Change.Edits = Proposal.Edits;
  return core::apply(Now, Change);
}

void postChange(ConfigStore &Config, const Fleet &Workers,
                const OperatorCall &Call, const net::HttpResponder &Respond) {
  ChangeRequest Request = parseChangeRequest(Call);
  std::shared_ptr<const core::Configuration> Now = Config.current();
  core::ConfigVersion BaseVersion =
      Request.Proposal.Expected.value_or(Now->Version);
  if (BaseVersion > Now->Version)
    return Respond(operatorError(503, "this entry has not read version " +
                                          std::to_string(BaseVersion.Value) +
                                          " yet"));
  if (BaseVersion != Now->Version)
    return respondConflict(Config, BaseVersion,
                           {ProposalOutcome::Conflict, Now->Version,
                            "the configuration is at version " +
                                std::to_string(Now->Version.Value)},
                           Respond);
  core::Configuration After = applyProposal(*Now, Request.Proposal);
  if (Request.DryRun) {
    core::ChangeReport Report =
        core::reportChange(*Now, After, poolSizes(Workers));
    json Body = {{"outcome", "dry-run"},
                 {"version", Now->Version.Value},
                 {"effect", json::parse(codec::toJson(Report))}};
    return Respond(net::jsonResponse(200, Body.dump()));
  }
  Config.propose(std::move(Request.Proposal),
                 [&Config, BaseVersion, Respond](const ProposalResult &Result) {
                   if (Result.Outcome == ProposalOutcome::Conflict)
                     return respondConflict(Config, BaseVersion, Result,
                                            Respond);
                   Respond(responseOf(Result, resultToJson(Result)));
                 });
}

void getProgress(ConfigStore &Config, const OperatorCall &Call,
                 const net::HttpResponder &Respond) {
  const std::string &Text = Call.Wildcards.front();
  core::ConfigVersion Version;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Version.Value);
  if (Error != std::errc() || Rest != End)
    return Respond(operatorError(400, "the version must be a whole number"));
  ProposalResult Result = Config.progressOf(Version);
  if (Result.Outcome == ProposalOutcome::Invalid)
    return Respond(operatorError(404, Result.Message));
  Respond(responseOf(Result, resultToJson(Result)));
}

void getHistory(ConfigStore &Config, const OperatorCall &Call,
                const net::HttpResponder &Respond) {
  constexpr std::uint64_t Any = std::numeric_limits<std::int64_t>::max();
  auto After = net::queryNumber(Call.Request.Query, "after", 0, 0, Any);
  auto Limit = net::queryNumber(Call.Request.Query, "limit",
                                DefaultHistoryLimit, 1, MaxHistoryLimit);
  if (!After || !Limit)
    return Respond(
        operatorError(400, "after must be a version, and limit from 1 to " +
                               std::to_string(MaxHistoryLimit)));
  Config.readLog(core::ConfigVersion{*After},
                 static_cast<std::uint32_t>(*Limit),
                 [Respond](const LogPage &Page) {
                   if (!Page.Available)
                     return Respond(operatorError(503, "the store is away"));
                   json Body = {{"changes", changesToJson(Page.Changes)},
                                {"more", Page.More}};
                   Respond(net::jsonResponse(200, Body.dump()));
                 });
}

} // namespace

std::vector<core::PoolSize> poolSizes(const Fleet &Workers) {
  std::vector<core::PoolSize> Sizes;
  for (const auto &[Id, I] : Workers.instances()) {
    auto It = std::find_if(
        Sizes.begin(), Sizes.end(),
        [&, Pool = I.Pool](const core::PoolSize &S) { return S.Pool == Pool; });
    if (It == Sizes.end())
      Sizes.push_back({I.Pool, I.Slots});
    else
      It->Slots += I.Slots;
  }
  return Sizes;
}

std::vector<OperatorRoute> configRoutes(ConfigStore &Config,
                                        const Fleet &Workers) {
  return {
      {"GET", "config", core::Role::Read,
       [&Config](const OperatorCall &, const net::HttpResponder &Respond) {
         Respond(net::jsonResponse(200, codec::toJson(*Config.current())));
       }},
      {"POST", "config/changes", core::Role::Administer,
       [&Config, &Workers](const OperatorCall &Call,
                           const net::HttpResponder &Respond) {
         postChange(Config, Workers, Call, Respond);
       }},
      {"GET", "config/changes/*", core::Role::Read,
       [&Config](const OperatorCall &Call, const net::HttpResponder &Respond) {
         getProgress(Config, Call, Respond);
       }},
      {"GET", "history", core::Role::Read,
       [&Config](const OperatorCall &Call, const net::HttpResponder &Respond) {
         getHistory(Config, Call, Respond);
       }},
  };
}

std::vector<OperatorRoute> customerRoutes(ConfigStore &Config,
                                          const Fleet &Workers) {
  return {
      {"GET", "customers/*", core::Role::Read,
       [&Config, &Workers](const OperatorCall &Call,
                           const net::HttpResponder &Respond) {
         std::shared_ptr<const core::Configuration> C = Config.current();
         const core::Customer *Found =
             core::findCustomer(*C, Call.Wildcards.front());
         if (!Found)
           return Respond(operatorError(404, "there is no customer '" +
                                                 Call.Wildcards.front() + "'"));
         Respond(net::jsonResponse(200, codec::toJson(core::reportCustomer(
                                            *C, *Found, poolSizes(Workers)))));
       }}};
}

} // namespace comfreydeck::entry
