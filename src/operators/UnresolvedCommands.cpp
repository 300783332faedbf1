#include "operators/UnresolvedCommands.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <ctime>
#include <iomanip>
#include <sstream>

namespace comfreydeck::operators {

namespace {

using nlohmann::json;

constexpr const char *Path = "/v1/operator/unresolved";

std::string timeOf(std::int64_t UnixMs) {
  std::time_t Seconds = UnixMs / 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::ostringstream Text;
  Text << std::put_time(&Parts, "%Y-%m-%d %H:%M:%SZ");
  return Text.str();
}

void printTable(CommandContext &Context, const json &Rows) {
  if (Rows.empty()) {
    Context.Out << "nothing is unresolved\n";
    return;
  }
  for (const json &Row : Rows)
    Context.Out << Row.at("request").get<std::string>() << "  "
                << timeOf(Row.at("at_unix_ms").get<std::int64_t>()) << "  team "
                << Row.at("team").get<std::string>() << "  queue "
                << Row.at("queue").get<std::string>() << "  "
                << Row.at("reason").get<std::string>() << "  "
                << Row.at("worker").get<std::string>() << "\n";
}

void list(CommandContext &Context) {
  json J = json::parse(OperatorClient(Context.Access).call("GET", Path, ""));
  if (Context.Format == OutputFormat::Json)
    Context.Out << J.dump(2) << "\n";
  else
    printTable(Context, J.at("unresolved"));
}

void resolve(CommandContext &Context, const std::string &Request,
             const std::string &Outcome) {
  OperatorClient(Context.Access)
      .call("POST", std::string(Path) + "/" + Request,
            json({{"outcome", Outcome}}).dump());
  Context.Out << Request << " is resolved as " << Outcome << "\n";
}

} // namespace

void addUnresolvedCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Unresolved =
      App.add_subcommand("unresolved", "Requests that may or may not have run");
  Unresolved->require_subcommand(1);
  Unresolved->add_subcommand("list", "List the unresolved requests")
      ->callback([&Context] { list(Context); });
  CLI::App *Resolve = Unresolved->add_subcommand(
      "resolve", "Record the outcome of a request; if it did not run, its key "
                 "can be used again");
  auto Request = std::make_shared<std::string>();
  auto Outcome = std::make_shared<std::string>();
  Resolve->add_option("request", *Request, "The request's id")->required();
  Resolve->add_option("outcome", *Outcome, "ran or not-run")
      ->required()
      ->check(CLI::IsMember({"ran", "not-run"}));
  Resolve->callback(
      [&Context, Request, Outcome] { resolve(Context, *Request, *Outcome); });
}

} // namespace comfreydeck::operators
