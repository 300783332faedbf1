#ifndef COMFREYDECK_OPERATORS_FLEETCOMMANDS_H
#define COMFREYDECK_OPERATORS_FLEETCOMMANDS_H

#include "operators/OperatorClient.h"

namespace CLI {
class App;
} // namespace CLI

namespace comfreydeck::operators {

/// Adds the commands on instances, pools, waves and data centres, as
/// addCommands does. Not thread-safe.
void addFleetCommands(CLI::App &App, OperatorAccess &Access);

} // namespace comfreydeck::operators

#endif // COMFREYDECK_OPERATORS_FLEETCOMMANDS_H
