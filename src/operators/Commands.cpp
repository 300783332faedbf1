#include "operators/Commands.h"

#include "operators/CommandGroups_p.h"
#include "operators/FleetCommands.h"

#include <CLI/CLI.hpp>

namespace comfreydeck::operators {

void addCommands(CLI::App &App, CommandContext &Context) {
  App.add_option("--entry", Context.Access.Entries,
                 "Entries to try in turn, as http://IP:PORT")
      ->allow_extra_args(false);
  App.add_option("--key", Context.Access.KeySecret, "The operator's key")
      ->envname("COMFREYDECK_OPERATOR_KEY");
  App.add_option_function<std::string>(
         "--output",
         [&Context](const std::string &Format) {
           Context.Access.Output = Format;
           Context.Format =
               Format == "json" ? OutputFormat::Json : OutputFormat::Table;
         },
         "table or json")
      ->check(CLI::IsMember({"table", "json"}));
  App.fallthrough();
  addFleetCommands(App, Context.Access);
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
}

} // namespace comfreydeck::operators
