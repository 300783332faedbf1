#ifndef COMFREYDECK_OPERATORS_COMMANDGROUPS_P_H
#define COMFREYDECK_OPERATORS_COMMANDGROUPS_P_H

#include "operators/Commands.h"

/// Each function adds one group of commands; the preconditions of
/// \ref addCommands apply.
namespace comfreydeck::operators::detail {

void addTemplateCommands(CLI::App &App, CommandContext &Context);
void addCustomerCommands(CLI::App &App, CommandContext &Context);
void addTeamCommands(CLI::App &App, CommandContext &Context);
void addQueueCommands(CLI::App &App, CommandContext &Context);
void addPoolCommands(CLI::App &App, CommandContext &Context);
void addDataCentreCommands(CLI::App &App, CommandContext &Context);
void addKeyCommands(CLI::App &App, CommandContext &Context);
void addOperatorCommands(CLI::App &App, CommandContext &Context);
void addConfigCommands(CLI::App &App, CommandContext &Context);
void addStatusCommand(CLI::App &App, CommandContext &Context);

} // namespace comfreydeck::operators::detail

#endif // COMFREYDECK_OPERATORS_COMMANDGROUPS_P_H
