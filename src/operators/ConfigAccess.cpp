#include "operators/ConfigAccess_p.h"

#include "codec/ConfigJson.h"
#include "operators/EffectText_p.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <fstream>
#include <sstream>

namespace comfreydeck::operators::detail {

using nlohmann::json;

namespace {

constexpr const char *ChangesPath = "/v1/operator/config/changes";
constexpr int AcceptedStatus = 202;
constexpr int ConflictStatus = 409;

std::string timeText(std::int64_t UnixMs) {
  constexpr std::int64_t MsPerSecond = 1000;
  std::time_t Seconds = UnixMs / MsPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  std::strftime(Text, sizeof(Text), "%Y-%m-%d %H:%M:%SZ", &Parts);
  return Text;
}

/// Summarises one edit, for example as `put-team beach`.
std::string summary(const json &Edit) {
  std::string Text = Edit.value("edit", "");
  for (const char *Field : {"kind", "name", "team", "id"})
    if (Edit.contains(Field))
      Text += " " + (Edit[Field].is_string() ? Edit[Field].get<std::string>()
                                             : Edit[Field].dump());
  return Text;
}

std::string summaryOfAll(const json &Edits) {
  constexpr std::size_t MaxShown = 3;
  std::string Text;
  for (std::size_t I = 0; I < Edits.size() && I < MaxShown; ++I)
    Text += (Text.empty() ? "" : ", ") + summary(Edits[I]);
  if (Edits.size() > MaxShown)
    Text += " and " + std::to_string(Edits.size() - MaxShown) + " more";
  return Text;
}

/// Reports a version conflict and lists the changes made since the version that
/// the operator's edits are based on.
[[noreturn]] void throwConflict(const json &Answer) {
  std::string Text = "refused: another change came first; read the "
                     "configuration again. It is at version " +
                     std::to_string(Answer.value("version", std::uint64_t{0}));
  json Newer = Answer.value("newer", json::array());
  if (!Newer.empty())
    Text += "\n" + format(tableOf(Newer));
  throw OperatorError(Text, ExitCode::Conflict);
}

void printOutcome(CommandContext &Context, const json &Answer, bool IsPending) {
  if (IsPending)
    Context.Exit = ExitCode::Pending;
  if (Context.Format == OutputFormat::Json) {
    Context.Out << Answer.dump(2) << "\n";
    return;
  }
  Context.Out << "version " << Answer.value("version", std::uint64_t{0})
              << (IsPending ? " is committed, but not yet in force at every "
                              "entry\n"
                            : " is in force at every entry\n");
}

/// Posts a change and returns the answer. Throws OperatorError if the change is
/// refused.
net::HttpResponse post(const CommandContext &Context, const json &Body) {
  net::HttpResponse Response =
      OperatorClient(Context.Access).send("POST", ChangesPath, Body.dump());
  if (Response.Status == ConflictStatus)
    throwConflict(json::parse(Response.Body));
  throwIfRefused(Response);
  return Response;
}

json dryRun(const CommandContext &Context, json Body) {
  Body["dry_run"] = true;
  return json::parse(post(Context, Body).Body);
}

json bodyOf(core::ConfigVersion ExpectedVersion,
            const std::vector<core::ConfigEdit> &Edits) {
  return {{"edits", json::parse(codec::toJson(Edits))},
          {"expected_version", ExpectedVersion.Value}};
}

bool askConfirmation(CommandContext &Context) {
  Context.Out << "make this change? [y/N] " << std::flush;
  std::string Line;
  std::getline(Context.In, Line);
  return Line == "y" || Line == "yes";
}

} // namespace

std::string readFile(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    throw OperatorError("can't read " + File, ExitCode::Usage);
  std::stringstream Content;
  Content << Stream.rdbuf();
  return Content.str();
}

core::Configuration readConfiguration(const CommandContext &Context) {
  return codec::parseConfiguration(
      OperatorClient(Context.Access).call("GET", "/v1/operator/config", ""));
}

TextTable tableOf(const json &Changes) {
  TextTable Table{{"version", "when", "by", "edits"}, {}};
  for (const json &Change : Changes)
    Table.Rows.push_back({Change.at("version").dump(),
                          timeText(Change.at("at_unix_ms").get<std::int64_t>()),
                          Change.at("by").get<std::string>(),
                          summaryOfAll(Change.at("edits"))});
  return Table;
}

void print(const CommandContext &Context, const TextTable &Table,
           const json &Json) {
  if (Context.Format == OutputFormat::Json)
    Context.Out << Json.dump(2) << "\n";
  else
    Context.Out << format(Table);
}

void sendChange(CommandContext &Context, json Body, EditMode Mode) {
  if (Mode.DryRun) {
    json Answer = dryRun(Context, std::move(Body));
    if (Context.Format == OutputFormat::Json)
      Context.Out << Answer.dump(2) << "\n";
    else
      Context.Out << effectText(Answer.at("effect")) << "nothing was changed\n";
    return;
  }
  if (Mode.Confirm) {
    json Answer = dryRun(Context, Body);
    Context.Out << effectText(Answer.at("effect"));
    if (!askConfirmation(Context))
      throw OperatorError("nothing was changed");
  }
  net::HttpResponse Response = post(Context, Body);
  printOutcome(Context, json::parse(Response.Body),
               Response.Status == AcceptedStatus);
}

void checkEdits(const CommandContext &Context,
                core::ConfigVersion ExpectedVersion,
                const std::vector<core::ConfigEdit> &Edits) {
  dryRun(Context, bodyOf(ExpectedVersion, Edits));
}

void sendEdits(CommandContext &Context, core::ConfigVersion ExpectedVersion,
               const std::vector<core::ConfigEdit> &Edits, EditMode Mode) {
  sendChange(Context, bodyOf(ExpectedVersion, Edits), Mode);
}

} // namespace comfreydeck::operators::detail
