#ifndef COMFREYDECK_OPERATORS_CONFIGACCESS_P_H
#define COMFREYDECK_OPERATORS_CONFIGACCESS_P_H

#include "core/ConfigChange.h"
#include "operators/Commands.h"
#include "operators/TextTable.h"

#include <nlohmann/json_fwd.hpp>

/// Reading and changing the configuration from a command.
namespace comfreydeck::operators::detail {

/// How a change is carried out.
struct EditMode {
  /// Computes the effect without making the change.
  bool DryRun = false;
  /// Shows the effect and asks the operator to confirm it first.
  bool Confirm = false;
};

/// Reads the configuration from an entry. Throws OperatorError.
core::Configuration readConfiguration(const CommandContext &Context);

/// Sends edits that are based on configuration version \p ExpectedVersion,
/// prints the outcome and sets the exit code. Throws OperatorError.
void sendEdits(CommandContext &Context, core::ConfigVersion ExpectedVersion,
               const std::vector<core::ConfigEdit> &Edits, EditMode Mode);

/// Throws OperatorError if the edits would be refused; changes nothing.
void checkEdits(const CommandContext &Context,
                core::ConfigVersion ExpectedVersion,
                const std::vector<core::ConfigEdit> &Edits);

/// Sends a complete request body; otherwise the same as \ref sendEdits.
void sendChange(CommandContext &Context, nlohmann::json Body, EditMode Mode);

/// Prints the table, or \p Json if the output format is JSON.
void print(const CommandContext &Context, const TextTable &Table,
           const nlohmann::json &Json);

/// Lists the changes of a history, one per row.
TextTable tableOf(const nlohmann::json &Changes);

/// Returns the content of a file. Throws OperatorError.
std::string readFile(const std::string &File);

/// Dereferences \p Found. Throws an OperatorError that names the missing item
/// if it is null.
template <typename T>
const T &require(const T *Found, const char *What, const std::string &Name) {
  if (!Found)
    throw OperatorError(std::string("there is no ") + What + " '" + Name + "'");
  return *Found;
}

} // namespace comfreydeck::operators::detail

#endif // COMFREYDECK_OPERATORS_CONFIGACCESS_P_H
