#ifndef COMFREYDECK_OPERATORS_COMMANDOPTIONS_P_H
#define COMFREYDECK_OPERATORS_COMMANDOPTIONS_P_H

#include "operators/ConfigAccess_p.h"

#include <CLI/CLI.hpp>

#include <memory>

/// What the groups of commands are put together from.
namespace comfreydeck::operators::detail {

/// A group that needs one of its commands.
inline CLI::App *addGroup(CLI::App &App, const char *Name, const char *Help) {
  CLI::App *Group = App.add_subcommand(Name, Help);
  Group->require_subcommand(1);
  return Group;
}

/// `--dry-run`, kept for the command's callback.
inline std::shared_ptr<EditMode> addDryRun(CLI::App *Command) {
  auto Mode = std::make_shared<EditMode>();
  Command->add_flag("--dry-run", Mode->DryRun,
                    "Show the effect and change nothing");
  return Mode;
}

/// The name that a command is about, kept for its callback.
inline std::shared_ptr<std::string> addName(CLI::App *Command,
                                            const char *Help) {
  auto Name = std::make_shared<std::string>();
  Command->add_option("name", *Name, Help)->required();
  return Name;
}

/// `remove NAME` for one kind of item.
inline void addRemove(CLI::App *Group, CommandContext &Context,
                      core::ItemKind Kind, const char *Help) {
  CLI::App *Remove = Group->add_subcommand("remove", Help);
  auto Name = addName(Remove, "Which one");
  auto Mode = addDryRun(Remove);
  Remove->callback([&Context, Kind, Name, Mode] {
    core::ConfigVersion Seen = readConfiguration(Context).Version;
    sendEdits(Context, Seen, {core::RemoveItem{Kind, *Name}}, *Mode);
  });
}

inline std::string yesNo(bool Value) { return Value ? "yes" : "no"; }

} // namespace comfreydeck::operators::detail

#endif // COMFREYDECK_OPERATORS_COMMANDOPTIONS_P_H
