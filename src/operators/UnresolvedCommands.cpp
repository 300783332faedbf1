#include "operators/UnresolvedCommands.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <ctime>
#include <iomanip>
#include <iostream>

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

void printTable(const json &Rows) {
  if (Rows.empty()) {
    std::cout << "nothing is unresolved\n";
    return;
  }
  for (const json &Row : Rows)
    std::cout << Row.at("request").get<std::string>() << "  "
              << timeOf(Row.at("at_unix_ms").get<std::int64_t>()) << "  team "
              << Row.at("team").get<std::string>() << "  queue "
              << Row.at("queue").get<std::string>() << "  "
              << Row.at("reason").get<std::string>() << "  "
              << Row.at("worker").get<std::string>() << "\n";
}

void list(const OperatorAccess &Access, const std::string &Output) {
  json J = json::parse(OperatorClient(Access).call("GET", Path, ""));
  if (Output == "json")
    std::cout << J.dump(2) << "\n";
  else
    printTable(J.at("unresolved"));
}

void resolve(const OperatorAccess &Access, const std::string &Request,
             const std::string &Outcome) {
  OperatorClient(Access).call("POST", std::string(Path) + "/" + Request,
                              json({{"outcome", Outcome}}).dump());
  std::cout << Request << " is resolved as " << Outcome << "\n";
}

} // namespace

void addUnresolvedCommands(CLI::App &App, OperatorAccess &Access) {
  CLI::App *Unresolved = App.add_subcommand(
      "unresolved", "Requests of which nobody knows whether they ran");
  Unresolved->require_subcommand(1);
  CLI::App *List = Unresolved->add_subcommand("list", "Print the open ones");
  auto Output = std::make_shared<std::string>("table");
  List->add_option("--output", *Output, "table or json")
      ->check(CLI::IsMember({"table", "json"}));
  List->callback([&Access, Output] { list(Access, *Output); });
  CLI::App *Resolve = Unresolved->add_subcommand(
      "resolve", "Note what was found out; its key can be used again where it "
                 "did not run");
  auto Request = std::make_shared<std::string>();
  auto Outcome = std::make_shared<std::string>();
  Resolve->add_option("request", *Request, "The request's id")->required();
  Resolve->add_option("outcome", *Outcome, "ran or not-run")
      ->required()
      ->check(CLI::IsMember({"ran", "not-run"}));
  Resolve->callback(
      [&Access, Request, Outcome] { resolve(Access, *Request, *Outcome); });
}

} // namespace comfreydeck::operators
