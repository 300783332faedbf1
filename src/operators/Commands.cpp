#include "operators/Commands.h"

#include "operators/FleetCommands.h"
#include "operators/UnresolvedCommands.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace comfreydeck::operators {

namespace {

using nlohmann::json;

std::string readFile(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    throw OperatorError("can't read " + File);
  std::stringstream Content;
  Content << Stream.rdbuf();
  return Content.str();
}

void print(const std::string &Json) {
  std::cout << json::parse(Json).dump(2) << "\n";
}

void addConfigCommands(CLI::App &App, OperatorAccess &Access) {
  CLI::App *Config = App.add_subcommand("config", "The whole configuration");
  Config->require_subcommand(1);
  Config->add_subcommand("show", "Print it")->callback([&Access] {
    print(OperatorClient(Access).call("GET", "/v1/operator/config", ""));
  });
  CLI::App *Apply = Config->add_subcommand("apply", "Apply a list of edits");
  auto File = std::make_shared<std::string>();
  Apply->add_option("file", *File, "JSON with the edits")->required();
  Apply->callback([&Access, File] {
    print(OperatorClient(Access).call("POST", "/v1/operator/config/changes",
                                      readFile(*File)));
  });
}

} // namespace

void addCommands(CLI::App &App, OperatorAccess &Access) {
  App.add_option("--entry", Access.Entry, "Any entry, as http://IP:PORT");
  App.add_option("--key", Access.KeySecret, "The operator's key")
      ->envname("COMFREYDECK_OPERATOR_KEY");
  App.add_option("--output", Access.Output, "table or json")
      ->check(CLI::IsMember({"table", "json"}));
  App.add_subcommand("status", "The fleet at a glance")->callback([&Access] {
    print(OperatorClient(Access).call("GET", "/v1/operator/status", ""));
  });
  addConfigCommands(App, Access);
  addFleetCommands(App, Access);
  addUnresolvedCommands(App, Access);
}

} // namespace comfreydeck::operators
