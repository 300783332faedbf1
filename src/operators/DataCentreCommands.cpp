#include "operators/CommandGroups_p.h"
#include "operators/CommandOptions_p.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::operators::detail {

namespace {

using nlohmann::json;

void listDataCentres(CommandContext &Context) {
  core::Configuration C = readConfiguration(Context);
  TextTable Table{{"data centre", "state"}, {}};
  json List = json::array();
  for (const core::DataCentre &D : C.DataCentres) {
    Table.Rows.push_back({D.Name, D.Out ? "out" : "in"});
    List.push_back({{"name", D.Name}, {"out", D.Out}});
  }
  print(Context, Table, List);
}

void createDataCentre(CommandContext &Context, const std::string &Name,
                      EditMode Mode) {
  core::Configuration C = readConfiguration(Context);
  if (core::findDataCentre(C, Name))
    throw OperatorError("there is a data centre '" + Name + "' already");
  core::PutDataCentre Edit;
  Edit.Item.Name = Name;
  sendEdits(Context, C.Version, {Edit}, Mode);
}

} // namespace

void addDataCentreCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Group = addGroup(App, "datacentre", "Data centres");
  Group->add_subcommand("list", "All data centres")->callback([&Context] {
    listDataCentres(Context);
  });
  CLI::App *Create = Group->add_subcommand("create", "Add a data centre");
  auto Name = addName(Create, "The data centre, as instances name it");
  auto Mode = addDryRun(Create);
  Create->callback(
      [&Context, Name, Mode] { createDataCentre(Context, *Name, *Mode); });
  addRemove(Group, Context, core::ItemKind::DataCentre, "Remove a data centre");
}

} // namespace comfreydeck::operators::detail
