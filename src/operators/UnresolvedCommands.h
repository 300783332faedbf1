#ifndef COMFREYDECK_OPERATORS_UNRESOLVEDCOMMANDS_H
#define COMFREYDECK_OPERATORS_UNRESOLVEDCOMMANDS_H

#include "operators/Commands.h"

namespace comfreydeck::operators {

/// Adds `unresolved list` and `unresolved resolve`; the preconditions of
/// \ref addCommands apply. Not thread-safe.
void addUnresolvedCommands(CLI::App &App, CommandContext &Context);

} // namespace comfreydeck::operators

#endif // COMFREYDECK_OPERATORS_UNRESOLVEDCOMMANDS_H
