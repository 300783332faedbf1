#ifndef COMFREYDECK_OPERATORS_FLEETCOMMANDS_H
#define COMFREYDECK_OPERATORS_FLEETCOMMANDS_H

#include "operators/Commands.h"

namespace comfreydeck::operators {

/// Adds the commands for instances, pools, waves and data centres; the
/// preconditions of \ref addCommands apply. Not thread-safe.
void addFleetCommands(CLI::App &App, CommandContext &Context);

} // namespace comfreydeck::operators

#endif // COMFREYDECK_OPERATORS_FLEETCOMMANDS_H
