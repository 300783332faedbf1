#ifndef COMFREYDECK_OPERATORS_COMMANDS_H
#define COMFREYDECK_OPERATORS_COMMANDS_H

#include "operators/OperatorClient.h"

#include <iostream>

namespace CLI {
class App;
} // namespace CLI

namespace comfreydeck::operators {

enum class OutputFormat : std::uint8_t { Table, Json };

/// State shared by all commands.
struct CommandContext {
  OperatorAccess Access;
  OutputFormat Format = OutputFormat::Table;
  std::ostream &Out = std::cout;
  std::istream &In = std::cin;
  /// Set by the command that was run.
  ExitCode Exit = ExitCode::Ok;
};

/// Adds the operators' commands to \p App. Each command runs during parsing,
/// sets the context's exit code and throws OperatorError on failure. \p Context
/// must outlive the parsing. Not thread-safe.
void addCommands(CLI::App &App, CommandContext &Context);

/// Parses a command line with CLI::App::parse. An unknown word is an error also
/// beside --help, which CLI11 would answer with the general usage, and where a
/// command is missing, which CLI11 would name instead. Throws
/// CLI::ParseError, and what the commands throw. Not thread-safe.
void parseCommandLine(CLI::App &App, int Argc, const char *const *Argv);

} // namespace comfreydeck::operators

#endif // COMFREYDECK_OPERATORS_COMMANDS_H
