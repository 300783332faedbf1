#include "operators/CommandGroups_p.h"
#include "operators/CommandOptions_p.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::operators::detail {

namespace {

using nlohmann::json;

/// Arguments of `team set`.
struct TeamOptions {
  std::string Name;
  std::optional<std::uint32_t> Share;
  std::optional<std::uint32_t> UpperLimit;
};

json teamJson(const core::Configuration &C, const core::Team &T) {
  const core::Customer *Owner = core::findCustomer(C, T.CreatedFor);
  auto Keys =
      std::count_if(C.Keys.begin(), C.Keys.end(),
                    [&](const core::Key &K) { return K.Owner == T.Id; });
  return {{"name", T.Name},
          {"share", T.Share},
          {"upper_limit", T.UpperLimit},
          {"keys", Keys},
          {"customer", Owner ? json(Owner->Name) : json()}};
}

/// Prints the teams for which \p Filter returns true.
template <typename F> void printTeams(CommandContext &Context, F Filter) {
  core::Configuration C = readConfiguration(Context);
  TextTable Table{{"team", "share", "upper limit", "keys", "customer"}, {}};
  json List = json::array();
  for (const core::Team &T : C.Teams) {
    if (!Filter(T))
      continue;
    json J = teamJson(C, T);
    Table.Rows.push_back({T.Name, std::to_string(T.Share),
                          std::to_string(T.UpperLimit), J["keys"].dump(),
                          J["customer"].is_null()
                              ? std::string()
                              : J["customer"].get<std::string>()});
    List.push_back(std::move(J));
  }
  print(Context, Table, List);
}

void setTeam(CommandContext &Context, const TeamOptions &Options,
             EditMode Mode) {
  core::Configuration C = readConfiguration(Context);
  core::PutTeam Edit;
  Edit.Item.Name = Options.Name;
  if (const core::Team *Existing = core::findTeam(C, Options.Name))
    Edit.Item = *Existing;
  Edit.Item.Share = Options.Share.value_or(Edit.Item.Share);
  Edit.Item.UpperLimit = Options.UpperLimit.value_or(Edit.Item.UpperLimit);
  sendEdits(Context, C.Version, {Edit}, Mode);
}

} // namespace

void addTeamCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Group = addGroup(App, "team", "Teams, their shares and limits");
  Group->add_subcommand("list", "All teams")->callback([&Context] {
    printTeams(Context, [](const core::Team &) { return true; });
  });
  CLI::App *Show = Group->add_subcommand("show", "One team");
  auto Name = addName(Show, "The team");
  Show->callback([&Context, Name] {
    require(core::findTeam(readConfiguration(Context), *Name), "team", *Name);
    printTeams(Context, [&](const core::Team &T) { return T.Name == *Name; });
  });
  CLI::App *Set = Group->add_subcommand("set", "Create or change a team");
  auto Options = std::make_shared<TeamOptions>();
  Set->add_option("name", Options->Name, "The team")->required();
  Set->add_option("--share", Options->Share, "Weight when all is full");
  Set->add_option("--upper-limit", Options->UpperLimit,
                  "Tasks at once across the fleet");
  auto Mode = addDryRun(Set);
  Set->callback(
      [&Context, Options, Mode] { setTeam(Context, *Options, *Mode); });
  addRemove(Group, Context, core::ItemKind::Team, "Remove a team and its keys");
}

} // namespace comfreydeck::operators::detail
