#ifndef COMFREYDECK_OPERATORS_COMMANDOPTIONS_P_H
#define COMFREYDECK_OPERATORS_COMMANDOPTIONS_P_H

#include "operators/ConfigAccess_p.h"

#include <CLI/CLI.hpp>

#include <memory>

/// Building blocks of the command groups.
namespace comfreydeck::operators::detail {

/// Returns the command group of that name. Adds it, as a group that requires a
/// subcommand, unless another source file has added it already.
inline CLI::App *addGroup(CLI::App &App, const char *Name, const char *Help) {
  auto Existing = App.get_subcommands(
      [&](const CLI::App *Command) { return Command->get_name() == Name; });
  if (!Existing.empty())
    return Existing.front();
  CLI::App *Group = App.add_subcommand(Name, Help);
  Group->require_subcommand(1);
  return Group;
}

/// Adds `--dry-run`; the command's callback shares the result.
inline std::shared_ptr<EditMode> addDryRun(CLI::App *Command) {
  auto Mode = std::make_shared<EditMode>();
  Command->add_flag("--dry-run", Mode->DryRun,
                    "Show the effect and change nothing");
  return Mode;
}

/// Adds the name of the item that the command acts on, as a required positional
/// argument; the command's callback shares the result.
inline std::shared_ptr<std::string> addName(CLI::App *Command,
                                            const char *Help) {
  auto Name = std::make_shared<std::string>();
  Command->add_option("name", *Name, Help)->required();
  return Name;
}

/// Adds `remove NAME` for one kind of item.
inline void addRemove(CLI::App *Group, CommandContext &Context,
                      core::ItemKind Kind, const char *Help) {
  CLI::App *Remove = Group->add_subcommand("remove", Help);
  auto Name = addName(Remove, "The name");
  auto Mode = addDryRun(Remove);
  Remove->callback([&Context, Kind, Name, Mode] {
    core::ConfigVersion ExpectedVersion = readConfiguration(Context).Version;
    sendEdits(Context, ExpectedVersion, {core::RemoveItem{Kind, *Name}}, *Mode);
  });
}

inline std::string yesNo(bool Value) { return Value ? "yes" : "no"; }

} // namespace comfreydeck::operators::detail

#endif // COMFREYDECK_OPERATORS_COMMANDOPTIONS_P_H
