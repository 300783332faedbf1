#ifndef COMFREYDECK_OPERATORS_CONFIGACCESS_P_H
#define COMFREYDECK_OPERATORS_CONFIGACCESS_P_H

#include "core/ConfigChange.h"
#include "operators/Commands.h"
#include "operators/TextTable.h"

#include <nlohmann/json_fwd.hpp>

/// Reading and changing the configuration from a command.
namespace comfreydeck::operators::detail {

/// Whether a change is made or only looked at.
struct EditMode {
  bool DryRun = false;
  /// Whether the operator is shown the effect and asked first.
  bool Ask = false;
};

/// The entry's configuration. Throws OperatorError.
core::Configuration readConfiguration(const CommandContext &Context);

/// Sends edits made from the configuration at \p Seen, prints what came of them
/// and sets the exit code. Throws OperatorError.
void sendEdits(CommandContext &Context, core::ConfigVersion Seen,
               const std::vector<core::ConfigEdit> &Edits, EditMode Mode);

/// Sends a whole body; otherwise as \ref sendEdits.
void sendChange(CommandContext &Context, nlohmann::json Body, EditMode Mode);

/// Prints the table, or \p Json in its place.
void print(const CommandContext &Context, const TextTable &Table,
           const nlohmann::json &Json);

/// Prints the changes of a history.
TextTable tableOf(const nlohmann::json &Changes);

/// The content of a file. Throws OperatorError.
std::string readFile(const std::string &File);

/// What is given, or an OperatorError that names what is missing.
template <typename T>
const T &require(const T *Found, const char *What, const std::string &Name) {
  if (!Found)
    throw OperatorError(std::string("there is no ") + What + " '" + Name + "'");
  return *Found;
}

} // namespace comfreydeck::operators::detail

#endif // COMFREYDECK_OPERATORS_CONFIGACCESS_P_H
