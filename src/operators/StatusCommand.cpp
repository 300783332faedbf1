#include "operators/CommandGroups_p.h"
#include "operators/CommandOptions_p.h"

#include "operators/EffectText_p.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

namespace comfreydeck::operators::detail {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds WatchPeriod(2);
/// Clears the terminal and moves the cursor to its top left corner.
constexpr const char *ClearScreen = "\x1b[2J\x1b[H";

std::string cellText(const json &Cell) {
  if (Cell.is_string())
    return Cell.get<std::string>();
  if (Cell.is_boolean())
    return yesNo(Cell.get<bool>());
  if (Cell.is_number_float())
    return slotsText(Cell.get<double>());
  return Cell.dump();
}

std::string sectionText(const json &Section) {
  TextTable Table{Section.at("columns").get<std::vector<std::string>>(), {}};
  for (const json &Row : Section.at("rows")) {
    std::vector<std::string> Cells;
    for (const json &Cell : Row)
      Cells.push_back(cellText(Cell));
    Table.Rows.push_back(std::move(Cells));
  }
  std::string Heading = "\n" + Section.at("name").get<std::string>();
  return Table.Rows.empty() ? Heading + ": none\n"
                            : Heading + "\n" + format(Table);
}

std::string statusText(const json &Status) {
  std::string Text =
      "configuration version " + Status.at("config_version").dump() +
      (Status.at("current").get<bool>() ? "; this entry may serve\n"
                                        : "; this entry may NOT serve\n");
  for (const json &Section : Status.at("sections"))
    Text += sectionText(Section);
  return Text;
}

void showStatus(CommandContext &Context, const char *Before) {
  json Status = json::parse(
      OperatorClient(Context.Access).call("GET", "/v1/operator/status", ""));
  Context.Out << Before;
  if (Context.Format == OutputFormat::Json)
    Context.Out << Status.dump(2) << "\n";
  else
    Context.Out << statusText(Status);
  Context.Out << std::flush;
}

[[noreturn]] void watchStatus(CommandContext &Context) {
  bool IsTable = Context.Format == OutputFormat::Table;
  for (;;) {
    try {
      showStatus(Context, IsTable ? ClearScreen : "");
    } catch (const OperatorError &E) {
      // Keeps watching: the entry may be restarting.
      Context.Out << E.what() << "\n" << std::flush;
    }
    std::this_thread::sleep_for(WatchPeriod);
  }
}

} // namespace

void addStatusCommand(CLI::App &App, CommandContext &Context) {
  CLI::App *Status = App.add_subcommand("status", "The fleet on one screen");
  auto Watch = std::make_shared<bool>(false);
  Status->add_flag("--watch", *Watch, "Refresh every 2 s");
  Status->callback([&Context, Watch] {
    if (*Watch)
      watchStatus(Context);
    showStatus(Context, "");
  });
}

} // namespace comfreydeck::operators::detail
