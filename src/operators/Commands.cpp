#include "operators/Commands.h"

#include "operators/CommandGroups_p.h"
#include "operators/FleetCommands.h"
#include "operators/UnresolvedCommands.h"

#include <CLI/CLI.hpp>

namespace comfreydeck::operators {

void addCommands(CLI::App &App, CommandContext &Context) {
  const std::map<std::string, OutputFormat> Formats = {
      {"table", OutputFormat::Table}, {"json", OutputFormat::Json}};
  App.add_option("--entry", Context.Access.Entries,
                 "Entries to try in turn, as http://IP:PORT")
      ->allow_extra_args(false);
  App.add_option("--key", Context.Access.KeySecret, "The operator's key")
      ->envname("COMFREYDECK_OPERATOR_KEY");
  App.add_option("--output", Context.Format, "How results are printed")
      ->transform(CLI::CheckedTransformer(Formats).description(""))
      ->type_name("table|json");
  App.fallthrough();
  detail::addStatusCommand(App, Context);
  detail::addCustomerCommands(App, Context);
  detail::addTemplateCommands(App, Context);
  detail::addTeamCommands(App, Context);
  detail::addQueueCommands(App, Context);
  detail::addPoolCommands(App, Context);
  detail::addDataCentreCommands(App, Context);
  detail::addKeyCommands(App, Context);
  detail::addOperatorCommands(App, Context);
  detail::addConfigCommands(App, Context);
  addFleetCommands(App, Context);
  addUnresolvedCommands(App, Context);
}

void parseCommandLine(CLI::App &App, int Argc, const char *const *Argv) {
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::CallForHelp &) {
    std::vector<std::string> Unknown = App.remaining(true);
    if (Unknown.empty())
      throw;
    throw CLI::ExtrasError(Unknown);
  } catch (const CLI::RequiredError &) {
    std::vector<std::string> Unknown = App.remaining(true);
    if (Unknown.empty())
      throw;
    throw CLI::ExtrasError("There is no command " + Unknown.front(),
                           CLI::ExitCodes::ExtrasError);
  }
}

} // namespace comfreydeck::operators
