#include "operators/CommandGroups_p.h"
#include "operators/CommandOptions_p.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::operators::detail {

namespace {

using nlohmann::json;

void applyFile(CommandContext &Context, const std::string &File,
               EditMode Mode) {
  json Body = json::parse(readFile(File), nullptr, false);
  if (Body.is_array())
    Body = {{"edits", Body}};
  if (!Body.is_object())
    throw OperatorError(File + " must contain the edits as JSON",
                        ExitCode::Usage);
  sendChange(Context, std::move(Body), Mode);
}

void showHistory(CommandContext &Context, std::uint64_t After,
                 std::uint32_t Last) {
  if (Last > 0) {
    std::uint64_t Current = readConfiguration(Context).Version.Value;
    After = Current > Last ? Current - Last : 0;
  }
  json Answer = json::parse(
      OperatorClient(Context.Access)
          .call("GET",
                "/v1/operator/history?limit=200&after=" + std::to_string(After),
                ""));
  print(Context, tableOf(Answer.at("changes")), Answer);
  if (Answer.at("more").get<bool>() && Context.Format == OutputFormat::Table)
    Context.Out << "more changes follow; continue with --after "
                << Answer.at("changes").back().at("version") << "\n";
}

void addHistory(CLI::App &App, CommandContext &Context) {
  constexpr std::uint32_t DefaultLast = 20;
  constexpr std::uint32_t MaxLast = 200;
  CLI::App *History = App.add_subcommand("history", "Who changed what");
  auto After = std::make_shared<std::uint64_t>(0);
  auto Last = std::make_shared<std::uint32_t>(DefaultLast);
  CLI::Option *AfterOption =
      History->add_option("--after", *After, "Changes after this version");
  History->add_option("--last", *Last, "Number of latest changes to show")
      ->check(CLI::Range(1U, MaxLast))
      ->excludes(AfterOption);
  History->callback([&Context, After, Last, AfterOption] {
    showHistory(Context, *After, AfterOption->count() > 0 ? 0 : *Last);
  });
}

} // namespace

void addConfigCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Group = addGroup(App, "config", "The whole configuration");
  Group->add_subcommand("show", "Print it as JSON")->callback([&Context] {
    std::string Text =
        OperatorClient(Context.Access).call("GET", "/v1/operator/config", "");
    Context.Out << json::parse(Text).dump(2) << "\n";
  });
  CLI::App *Apply = Group->add_subcommand("apply", "Apply a list of edits");
  auto File = std::make_shared<std::string>();
  Apply->add_option("file", *File, "JSON with the edits")->required();
  auto Mode = addDryRun(Apply);
  Apply->callback([&Context, File, Mode] { applyFile(Context, *File, *Mode); });
  addHistory(App, Context);
}

} // namespace comfreydeck::operators::detail
