#include "operators/CommandGroups_p.h"
#include "operators/CommandOptions_p.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::operators::detail {

namespace {

using nlohmann::json;

/// Arguments of `queue set`.
struct QueueOptions {
  std::string Name;
  std::optional<std::string> Pool;
  std::optional<std::string> OpenFor;
  std::optional<bool> Idempotent;
  std::optional<std::vector<std::string>> Teams;
};

/// Returns the edit that recreates the queue unchanged.
core::PutQueue editOf(const core::Configuration &C, const core::Queue &Q) {
  core::PutQueue Edit;
  Edit.Name = Q.Name;
  if (const core::Pool *P = core::findPool(C, Q.ServedBy))
    Edit.Pool = P->Name;
  Edit.Open = Q.Open;
  if (const core::Team *T = core::findTeam(C, Q.OpenTeam))
    Edit.OpenTeam = T->Name;
  Edit.IdempotentByDefault = Q.IdempotentByDefault;
  for (core::TeamId Id : Q.AllowedTeams)
    if (const core::Team *T = core::findTeam(C, Id))
      Edit.AllowedTeams.push_back(T->Name);
  return Edit;
}

/// Prints the queues for which \p Filter returns true.
template <typename F> void printQueues(CommandContext &Context, F Filter) {
  core::Configuration C = readConfiguration(Context);
  TextTable Table{
      {"queue", "pool", "open for", "idempotent", "teams", "customer"}, {}};
  json List = json::array();
  for (const core::Queue &Q : C.Queues) {
    if (!Filter(Q))
      continue;
    core::PutQueue E = editOf(C, Q);
    const core::Customer *Owner = core::findCustomer(C, Q.CreatedFor);
    std::string Customer = Owner ? Owner->Name : std::string();
    Table.Rows.push_back(
        {E.Name, E.Pool, E.OpenTeam, yesNo(E.IdempotentByDefault),
         E.AllowedTeams.empty()
             ? "every team"
             : core::textOf(core::ParameterValue(E.AllowedTeams)),
         Customer});
    List.push_back({{"name", E.Name},
                    {"pool", E.Pool},
                    {"open", E.Open},
                    {"open_team", E.OpenTeam},
                    {"idempotent", E.IdempotentByDefault},
                    {"teams", E.AllowedTeams},
                    {"customer", Owner ? json(Customer) : json()}});
  }
  print(Context, Table, List);
}

void setQueue(CommandContext &Context, const QueueOptions &Options,
              EditMode Mode) {
  core::Configuration C = readConfiguration(Context);
  core::PutQueue Edit;
  Edit.Name = Options.Name;
  if (const core::Queue *Existing = core::findQueue(C, Options.Name))
    Edit = editOf(C, *Existing);
  Edit.Pool = Options.Pool.value_or(Edit.Pool);
  Edit.OpenTeam = Options.OpenFor.value_or(Edit.OpenTeam);
  Edit.Open = !Edit.OpenTeam.empty();
  Edit.IdempotentByDefault =
      Options.Idempotent.value_or(Edit.IdempotentByDefault);
  Edit.AllowedTeams = Options.Teams.value_or(Edit.AllowedTeams);
  sendEdits(Context, C.Version, {Edit}, Mode);
}

} // namespace

void addQueueCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Group = addGroup(App, "queue", "Queues and who may use them");
  Group->add_subcommand("list", "All queues")->callback([&Context] {
    printQueues(Context, [](const core::Queue &) { return true; });
  });
  CLI::App *Show = Group->add_subcommand("show", "One queue");
  auto Name = addName(Show, "The queue");
  Show->callback([&Context, Name] {
    require(core::findQueue(readConfiguration(Context), *Name), "queue", *Name);
    printQueues(Context, [&](const core::Queue &Q) { return Q.Name == *Name; });
  });
  CLI::App *Set = Group->add_subcommand("set", "Create or change a queue");
  auto Options = std::make_shared<QueueOptions>();
  Set->add_option("name", Options->Name, "The queue")->required();
  Set->add_option("--pool", Options->Pool, "The pool that serves it");
  Set->add_option("--open-for", Options->OpenFor,
                  "Team to which requests without a key count; '' "
                  "requires a key");
  Set->add_option("--idempotent", Options->Idempotent,
                  "Whether requests are idempotent unless they say otherwise");
  Set->add_option("--teams", Options->Teams, "Teams that may use it")
      ->delimiter(',')
      ->allow_extra_args(false);
  auto Mode = addDryRun(Set);
  Set->callback(
      [&Context, Options, Mode] { setQueue(Context, *Options, *Mode); });
  addRemove(Group, Context, core::ItemKind::Queue, "Remove a queue");
}

} // namespace comfreydeck::operators::detail
