#ifndef COMFREYDECK_OPERATORS_UNRESOLVEDCOMMANDS_H
#define COMFREYDECK_OPERATORS_UNRESOLVEDCOMMANDS_H

#include "operators/OperatorClient.h"

namespace CLI {
class App;
} // namespace CLI

namespace comfreydeck::operators {

/// Adds `unresolved list` and `unresolved resolve`. \p App and \p Access must
/// outlive the parsing.
void addUnresolvedCommands(CLI::App &App, OperatorAccess &Access);

} // namespace comfreydeck::operators

#endif // COMFREYDECK_OPERATORS_UNRESOLVEDCOMMANDS_H
