#include "codec/KeyHash.h"
#include "operators/CommandGroups_p.h"
#include "operators/CommandOptions_p.h"

#include <nlohmann/json.hpp>

#include <array>
#include <map>

namespace comfreydeck::operators::detail {

namespace {

using nlohmann::json;

constexpr std::array<const char *, 3> RoleNames = {"read", "operate",
                                                   "administer"};

const char *nameOf(core::Role Allowed) {
  return RoleNames.at(static_cast<std::size_t>(Allowed));
}

/// Grants a key with a new secret and prints the secret, which can't be shown
/// again. Only its hash is sent to the entry.
template <typename T>
void grant(CommandContext &Context, T Edit, EditMode Mode) {
  std::string Secret = codec::makeSecret();
  Edit.Hash = codec::hashSecret(Secret);
  core::ConfigVersion ExpectedVersion = readConfiguration(Context).Version;
  checkEdits(Context, ExpectedVersion, {Edit});
  // Printed before the change is sent, so that a lost answer doesn't lose the
  // secret of a key that was granted.
  if (!Mode.DryRun && Context.Format == OutputFormat::Json)
    Context.Out << json({{"secret", Secret}}).dump() << "\n";
  else if (!Mode.DryRun)
    Context.Out << "secret " << Secret << "\nit is not shown again\n";
  sendEdits(Context, ExpectedVersion, {Edit}, Mode);
}

void listKeys(CommandContext &Context, const std::string &Team) {
  core::Configuration C = readConfiguration(Context);
  if (!Team.empty())
    require(core::findTeam(C, Team), "team", Team);
  TextTable Table{{"key", "team", "label"}, {}};
  json List = json::array();
  for (const core::Key &K : C.Keys) {
    const core::Team *Owner = core::findTeam(C, K.Owner);
    std::string Name = Owner ? Owner->Name : std::string();
    if (!Team.empty() && Name != Team)
      continue;
    Table.Rows.push_back({std::to_string(K.Id.Value), Name, K.Label});
    List.push_back({{"id", K.Id.Value}, {"team", Name}, {"label", K.Label}});
  }
  print(Context, Table, List);
}

void listOperators(CommandContext &Context) {
  core::Configuration C = readConfiguration(Context);
  TextTable Table{{"key", "operator", "role"}, {}};
  json List = json::array();
  for (const core::OperatorKey &K : C.OperatorKeys) {
    Table.Rows.push_back(
        {std::to_string(K.Id.Value), K.Name, nameOf(K.Allowed)});
    List.push_back({{"id", K.Id.Value},
                    {"operator", K.Name},
                    {"role", nameOf(K.Allowed)}});
  }
  print(Context, Table, List);
}

template <typename T>
void addWithdraw(CLI::App *Group, CommandContext &Context) {
  CLI::App *Withdraw = Group->add_subcommand("withdraw", "Make a key invalid");
  auto Edit = std::make_shared<T>();
  Withdraw->add_option("key", Edit->Id.Value, "Its number, as list shows it")
      ->required();
  auto Mode = addDryRun(Withdraw);
  Withdraw->callback([&Context, Edit, Mode] {
    core::ConfigVersion ExpectedVersion = readConfiguration(Context).Version;
    sendEdits(Context, ExpectedVersion, {*Edit}, *Mode);
  });
}

} // namespace

void addKeyCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Group = addGroup(App, "key", "Callers' keys");
  CLI::App *Grant = Group->add_subcommand("grant", "Create a key for a team");
  auto Edit = std::make_shared<core::GrantKey>();
  Grant->add_option("team", Edit->Team, "The team")->required();
  Grant->add_option("--label", Edit->Label, "A label to recognise the key by");
  auto Mode = addDryRun(Grant);
  Grant->callback([&Context, Edit, Mode] { grant(Context, *Edit, *Mode); });
  addWithdraw<core::WithdrawKey>(Group, Context);
  CLI::App *List = Group->add_subcommand("list", "Keys, without secrets");
  auto Team = std::make_shared<std::string>();
  List->add_option("--team", *Team, "Only this team's");
  List->callback([&Context, Team] { listKeys(Context, *Team); });
}

void addOperatorCommands(CLI::App &App, CommandContext &Context) {
  const std::map<std::string, core::Role> Roles = {
      {"read", core::Role::Read},
      {"operate", core::Role::Operate},
      {"administer", core::Role::Administer}};
  CLI::App *Group = addGroup(App, "operator", "Operators and their roles");
  CLI::App *Grant = Group->add_subcommand("grant", "Create an operator's key");
  auto Edit = std::make_shared<core::GrantOperatorKey>();
  Grant->add_option("name", Edit->Name, "The operator")->required();
  Grant->add_option("--role", Edit->Allowed, "What the operator may do")
      ->required()
      ->transform(CLI::CheckedTransformer(Roles).description(""))
      ->type_name("read|operate|administer");
  auto Mode = addDryRun(Grant);
  Grant->callback([&Context, Edit, Mode] { grant(Context, *Edit, *Mode); });
  addWithdraw<core::WithdrawOperatorKey>(Group, Context);
  Group->add_subcommand("list", "Operators' keys, without secrets")
      ->callback([&Context] { listOperators(Context); });
}

} // namespace comfreydeck::operators::detail
