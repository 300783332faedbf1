#include "operators/CommandGroups_p.h"
#include "operators/CommandOptions_p.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::operators::detail {

namespace {

using nlohmann::json;

/// Arguments of `pool create` and `pool set`.
struct PoolOptions {
  std::string Name;
  std::optional<std::uint32_t> AbsentLimit;
  std::optional<std::uint32_t> AbsentLimitPerDomain;
  std::optional<bool> Spare;
};

void listPools(CommandContext &Context) {
  core::Configuration C = readConfiguration(Context);
  TextTable Table{{"pool", "absent limit", "absent limit per domain", "spare"},
                  {}};
  json List = json::array();
  for (const core::Pool &P : C.Pools) {
    Table.Rows.push_back({P.Name, std::to_string(P.AbsentLimit),
                          std::to_string(P.AbsentLimitPerDomain),
                          yesNo(P.Spare)});
    List.push_back({{"name", P.Name},
                    {"absent_limit", P.AbsentLimit},
                    {"absent_limit_per_domain", P.AbsentLimitPerDomain},
                    {"spare", P.Spare}});
  }
  print(Context, Table, List);
}

void putPool(CommandContext &Context, const PoolOptions &Options, bool IsNew,
             EditMode Mode) {
  core::Configuration C = readConfiguration(Context);
  const core::Pool *Existing = core::findPool(C, Options.Name);
  if (IsNew && Existing)
    throw OperatorError("there is a pool '" + Options.Name + "' already");
  core::PutPool Edit;
  Edit.Item.Name = Options.Name;
  if (!IsNew)
    Edit.Item = require(Existing, "pool", Options.Name);
  core::Pool &P = Edit.Item;
  P.AbsentLimit = Options.AbsentLimit.value_or(P.AbsentLimit);
  P.AbsentLimitPerDomain =
      Options.AbsentLimitPerDomain.value_or(P.AbsentLimitPerDomain);
  P.Spare = Options.Spare.value_or(P.Spare);
  sendEdits(Context, C.Version, {Edit}, Mode);
}

void addPut(CLI::App *Group, CommandContext &Context, bool IsNew) {
  CLI::App *Put = IsNew ? Group->add_subcommand("create", "Create a pool")
                        : Group->add_subcommand("set", "Change a pool");
  auto Options = std::make_shared<PoolOptions>();
  Put->add_option("name", Options->Name, "The pool")->required();
  Put->add_option("--absent-limit", Options->AbsentLimit,
                  "Instances that may be absent at once");
  Put->add_option("--absent-limit-per-domain", Options->AbsentLimitPerDomain,
                  "Instances of one failure domain that may be absent at once");
  Put->add_option("--spare", Options->Spare,
                  "Whether it holds spare instances for other pools");
  auto Mode = addDryRun(Put);
  Put->callback([&Context, Options, IsNew, Mode] {
    putPool(Context, *Options, IsNew, *Mode);
  });
}

} // namespace

void addPoolCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Group = addGroup(App, "pool", "Pools and their budgets");
  Group->add_subcommand("list", "All pools")->callback([&Context] {
    listPools(Context);
  });
  addPut(Group, Context, true);
  addPut(Group, Context, false);
  addRemove(Group, Context, core::ItemKind::Pool, "Remove a pool");
}

} // namespace comfreydeck::operators::detail
