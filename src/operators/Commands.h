#ifndef COMFREYDECK_OPERATORS_COMMANDS_H
#define COMFREYDECK_OPERATORS_COMMANDS_H

#include "operators/OperatorClient.h"

#include <memory>

namespace CLI {
class App;
} // namespace CLI

namespace comfreydeck::operators {

/// Adds the operators' commands to \p App; each runs when it is parsed, and
/// throws OperatorError. \p Access must outlive the parsing. Not thread-safe.
void addCommands(CLI::App &App, OperatorAccess &Access);

} // namespace comfreydeck::operators

#endif // COMFREYDECK_OPERATORS_COMMANDS_H
