#include "operators/FleetCommands.h"

#include "operators/CommandOptions_p.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>

namespace comfreydeck::operators {

namespace {

using nlohmann::json;

constexpr std::int64_t MsPerSecond = 1000;
constexpr std::int64_t SecondsPerMinute = 60;

using Row = std::vector<std::string>;

/// Prints rows with aligned columns; the first row is the heading.
void printTable(const std::vector<Row> &Rows) {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const Row &R : Rows)
    for (std::size_t N = 0; N < R.size(); ++N)
      Widths[N] = std::max(Widths[N], R[N].size());
  for (const Row &R : Rows) {
    for (std::size_t N = 0; N + 1 < R.size(); ++N)
      std::cout << std::left << std::setw(static_cast<int>(Widths[N] + 2))
                << R[N];
    std::cout << R.back() << "\n";
  }
}

std::string text(const json &J, const char *Name) {
  if (!J.contains(Name))
    return "-";
  return J[Name].is_string() ? J[Name].get<std::string>() : J[Name].dump();
}

/// Makes one call and prints the answer as JSON, or passes it to \p PrintTable
/// if the output format is a table.
void call(const CommandContext &Context, const std::string &Method,
          const std::string &Path, const json &Body,
          const std::function<void(const json &)> &PrintTable) {
  std::string Sent = Body.is_null() ? "" : Body.dump();
  json Answer = json::parse(OperatorClient(Context.Access)
                                .call(Method, "/v1/operator/" + Path, Sent));
  if (Context.Format == OutputFormat::Json)
    std::cout << Answer.dump(2) << "\n";
  else
    PrintTable(Answer);
}

void printOutcome(const json &J) {
  std::cout << text(J, "outcome") << ": " << text(J, "message") << "\n";
}

void printInstances(const json &Items) {
  std::vector<Row> Rows = {
      {"NAME", "POOL", "STATE", "DATA CENTRE", "RACK", "NEXT"}};
  for (const json &I : Items) {
    std::string Next = I.contains("move_to") ? "to " + text(I, "move_to")
                       : I.value("reboot_when_empty", false) ? "reboot"
                                                             : "-";
    Rows.push_back({text(I, "name"), text(I, "pool"), text(I, "state"),
                    text(I, "datacentre"), text(I, "rack"), Next});
  }
  printTable(Rows);
}

Row budgetRow(const std::string &Name, const json &J) {
  return {Name, text(J, "size"), text(J, "planned"), text(J, "unplanned"),
          text(J, "limit")};
}

void printBudget(const json &J) {
  std::vector<Row> Rows = {
      {"DOMAIN", "INSTANCES", "PLANNED", "UNPLANNED", "MAY BE ABSENT"}};
  Rows.push_back(budgetRow("pool " + text(J, "pool"), J.at("budget")));
  for (const auto &[Name, Count] : J.at("datacentres").items())
    Rows.push_back(budgetRow(Name, Count));
  for (const auto &[Name, Count] : J.at("racks").items())
    Rows.push_back(budgetRow(Name, Count));
  printTable(Rows);
}

void printPool(const json &J) {
  std::vector<Row> Rows = {{"POOL", text(J, "pool")},
                           {"RUNNING", text(J, "running")}};
  for (const auto &[State, Count] : J.at("states").items())
    Rows.push_back({State, Count.dump()});
  printTable(Rows);
}

std::string scopeOf(const json &W) {
  std::string Name = text(W, "name");
  return text(W, "scope") + (Name.empty() ? "" : " " + Name);
}

void printWaves(const json &Items) {
  std::vector<Row> Rows = {{"WAVE", "OVER", "STATE", "BY", "WHY"}};
  for (const json &W : Items)
    Rows.push_back({text(W, "wave"), scopeOf(W), text(W, "state"),
                    text(W, "by"), text(W, "why")});
  printTable(Rows);
}

std::string minutesOf(std::int64_t Ms) {
  std::int64_t Seconds = Ms / MsPerSecond;
  return std::to_string(Seconds / SecondsPerMinute) + " min " +
         std::to_string(Seconds % SecondsPerMinute) + " s";
}

void printWave(const json &W) {
  printWaves(json::array({W}));
  std::cout << "done " << text(W, "done") << " of " << text(W, "total")
            << ", in work " << text(W, "active") << ", failed "
            << text(W, "failed");
  if (W.contains("remaining_ms"))
    std::cout << ", about " << minutesOf(W["remaining_ms"].get<std::int64_t>())
              << " left";
  std::cout << "\n";
  std::vector<Row> Rows = {
      {"POOL", "DONE", "OF", "IN WORK", "FAILED", "HELD BY", "WHY"}};
  for (const json &P : W.at("pools"))
    Rows.push_back({text(P, "pool"), text(P, "done"), text(P, "total"),
                    text(P, "active"), text(P, "failed"), text(P, "hold"),
                    text(P, "why")});
  printTable(Rows);
}

void printDataCentre(const json &J) {
  std::cout << text(J, "datacentre") << " is "
            << (J.value("out", false) ? "out" : "in") << "; "
            << J.at("running").size() << " tasks run there\n";
  std::vector<Row> Rows = {{"INSTANCE", "TEAM", "TASK"}};
  for (const json &Task : J.at("running"))
    Rows.push_back(
        {text(Task, "instance"), text(Task, "team"), text(Task, "task")});
  for (const json &Name : J.at("silent"))
    Rows.push_back({Name.get<std::string>(), "-", "does not answer"});
  if (Rows.size() > 1)
    printTable(Rows);
}

/// Arguments of one command.
struct Arguments {
  std::string Name;
  std::string Pool;
  std::string Rack;
  std::string DataCentre;
  bool Flag = false;
};

using ArgumentsPtr = std::shared_ptr<Arguments>;

CLI::App *addNamedCommand(CLI::App *Parent, const char *Command,
                          const char *Help, const char *What,
                          const ArgumentsPtr &A) {
  CLI::App *Sub = Parent->add_subcommand(Command, Help);
  Sub->add_option("name", A->Name, What)->required();
  return Sub;
}

void addInstanceChanges(CLI::App *Instance, CommandContext &Context) {
  auto D = std::make_shared<Arguments>();
  CLI::App *Drain = addNamedCommand(Instance, "drain",
                                    "Let its tasks end, then keep "
                                    "it empty",
                                    "The instance", D);
  Drain->add_flag("--reboot", D->Flag, "Reboot it and bring it back");
  Drain->callback([&Context, D] {
    call(Context, "POST", "instances/" + D->Name + "/drain",
         {{"reboot", D->Flag}}, printOutcome);
  });
  auto R = std::make_shared<Arguments>();
  addNamedCommand(Instance, "return", "Put it back into service",
                  "The instance", R)
      ->callback([&Context, R] {
        call(Context, "POST", "instances/" + R->Name + "/return", {},
             printOutcome);
      });
  auto M = std::make_shared<Arguments>();
  CLI::App *Move = addNamedCommand(
      Instance, "move", "Drain it and put it into a pool", "The instance", M);
  Move->add_option("--pool", M->Pool, "The pool")->required();
  Move->callback([&Context, M] {
    call(Context, "PUT", "instances/" + M->Name, {{"pool", M->Pool}},
         printOutcome);
  });
}

void addInstanceCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Instance = detail::addGroup(App, "instance", "Workers and pools");
  auto L = std::make_shared<Arguments>();
  CLI::App *List =
      Instance->add_subcommand("list", "All instances, or those of a pool");
  List->add_option("--pool", L->Pool, "The pool");
  List->callback([&Context, L] {
    std::string Query = L->Pool.empty() ? "" : "?pool=" + L->Pool;
    call(Context, "GET", "instances" + Query, {},
         [](const json &J) { printInstances(J.at("instances")); });
  });
  auto S = std::make_shared<Arguments>();
  addNamedCommand(Instance, "show", "Show one instance", "The instance", S)
      ->callback([&Context, S] {
        call(Context, "GET", "instances/" + S->Name, {},
             [](const json &J) { printInstances(json::array({J})); });
      });
  addInstanceChanges(Instance, Context);
}

void addPoolCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Pool = detail::addGroup(App, "pool", "Pools and their budgets");
  auto S = std::make_shared<Arguments>();
  addNamedCommand(Pool, "show", "Its instances by state", "The pool", S)
      ->callback([&Context, S] {
        call(Context, "GET", "pools/" + S->Name, {}, printPool);
      });
  auto B = std::make_shared<Arguments>();
  addNamedCommand(Pool, "budget", "Absent instances and their limits",
                  "The pool", B)
      ->callback([&Context, B] {
        call(Context, "GET", "pools/" + B->Name, {}, printBudget);
      });
}

json waveBody(const Arguments &A) {
  if (!A.Pool.empty())
    return {{"scope", "pool"}, {"name", A.Pool}};
  if (!A.Rack.empty())
    return {{"scope", "rack"}, {"name", A.Rack}};
  if (!A.DataCentre.empty())
    return {{"scope", "datacentre"}, {"name", A.DataCentre}};
  return {{"scope", "all"}};
}

void addWaveStart(CLI::App *Wave, CommandContext &Context) {
  auto A = std::make_shared<Arguments>();
  CLI::App *Start = Wave->add_subcommand("start", "Reboot every instance of a "
                                                  "pool, rack or data centre");
  auto *Pool = Start->add_option("--pool", A->Pool, "The pool");
  auto *Rack = Start->add_option("--rack", A->Rack, "The rack");
  auto *Zone = Start->add_option("--datacentre", A->DataCentre,
                                 "The data "
                                 "centre");
  auto *All = Start->add_flag("--all", A->Flag, "The whole fleet");
  Pool->excludes(Rack)->excludes(Zone)->excludes(All);
  Rack->excludes(Zone)->excludes(All);
  Zone->excludes(All);
  Start->callback([&Context, A] {
    if (A->Pool.empty() && A->Rack.empty() && A->DataCentre.empty() && !A->Flag)
      throw OperatorError(
          "one of --pool, --rack, --datacentre or --all is required");
    call(Context, "POST", "waves", waveBody(*A),
         [](const json &J) { printWaves(json::array({J})); });
  });
}

void addWaveCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Wave =
      detail::addGroup(App, "wave", "Planned maintenance of many instances");
  addWaveStart(Wave, Context);
  Wave->add_subcommand("list", "All waves")->callback([&Context] {
    call(Context, "GET", "waves", {},
         [](const json &J) { printWaves(J.at("waves")); });
  });
  auto S = std::make_shared<Arguments>();
  addNamedCommand(Wave, "status", "Progress of a wave", "The wave", S)
      ->callback([&Context, S] {
        call(Context, "GET", "waves/" + S->Name, {}, printWave);
      });
  for (const char *Command : {"pause", "resume", "cancel"}) {
    auto A = std::make_shared<Arguments>();
    addNamedCommand(Wave, Command, "Change the state of a wave", "The wave", A)
        ->callback([&Context, A, Command] {
          call(Context, "POST", "waves/" + A->Name + "/" + Command, {},
               [](const json &J) { printWaves(json::array({J})); });
        });
  }
}

void addDataCentreCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Zone =
      detail::addGroup(App, "datacentre", "Take out or bring back");
  auto O = std::make_shared<Arguments>();
  CLI::App *Out = addNamedCommand(Zone, "out", "Stop starting tasks there",
                                  "The data centre", O);
  Out->add_flag("--force", O->Flag, "Even if a pool has no instances left");
  Out->callback([&Context, O] {
    call(Context, "POST", "datacentres/" + O->Name + "/out",
         {{"force", O->Flag}}, printOutcome);
  });
  auto I = std::make_shared<Arguments>();
  addNamedCommand(Zone, "in", "Bring it back", "The data centre", I)
      ->callback([&Context, I] {
        call(Context, "POST", "datacentres/" + I->Name + "/in", {},
             printOutcome);
      });
  auto S = std::make_shared<Arguments>();
  addNamedCommand(Zone, "show", "What runs there", "The data centre", S)
      ->callback([&Context, S] {
        call(Context, "GET", "datacentres/" + S->Name, {}, printDataCentre);
      });
}

} // namespace

void addFleetCommands(CLI::App &App, CommandContext &Context) {
  addInstanceCommands(App, Context);
  addPoolCommands(App, Context);
  addWaveCommands(App, Context);
  addDataCentreCommands(App, Context);
}

} // namespace comfreydeck::operators
