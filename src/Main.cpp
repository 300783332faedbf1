#include "DispatchMain.h"
#include "codec/KeyHash.h"
#include "comfreydeck/comfreydeck.h"
#include "operators/Commands.h"
#include "settings/DispatchSettings.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <csignal>
#include <iostream>

#include <unistd.h>

using namespace comfreydeck;

namespace {

/// Exit codes of the program.
constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

int serve(const std::string &File) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  Init Options;
  Options.SettingsFile = File;
  // A fenced entry stops as on SIGTERM, so that it can be restarted.
  Options.OnFenced = [] { ::kill(::getpid(), SIGTERM); };
  EntryHandle Entry = start(Options);
  int Caught = 0;
  sigwait(&Signals, &Caught);
  stop(Entry);
  return ExitOk;
}

/// The commands that read a settings file, each in a form of its own.
enum class SettingsForm : std::uint8_t { Serve, Dispatch };

int checkSettings(const std::string &File, SettingsForm Form) {
  if (Form == SettingsForm::Dispatch)
    settings::loadDispatchSettings(File);
  else
    settings::loadSettings(File);
  std::cout << File << " is valid\n";
  return ExitOk;
}

int printNewKey() {
  std::string Secret = codec::makeSecret();
  std::cout << "secret " << Secret << "\nhash   "
            << codec::toHex(codec::hashSecret(Secret)) << "\n";
  return ExitOk;
}

int run(int Argc, char **Argv) {
  CLI::App App("Fleet capacity and maintenance manager");
  App.require_subcommand(1);
  std::string File;
  CLI::App *Serve = App.add_subcommand("serve", "Run an entry");
  Serve->add_option("--settings", File, "The settings file")->required();
  CLI::App *Dispatch =
      App.add_subcommand("dispatch", "Run an entry that schedules jobs");
  Dispatch->add_option("--settings", File, "The settings file")->required();
  CLI::App *Check =
      App.add_subcommand("check-settings", "Check a settings file");
  Check->add_option("file", File, "The settings file")->required();
  SettingsForm Form = SettingsForm::Serve;
  const std::map<std::string, SettingsForm> Forms = {
      {"serve", SettingsForm::Serve}, {"dispatch", SettingsForm::Dispatch}};
  Check->add_option("--for", Form, "The command that is to read the file")
      ->transform(CLI::CheckedTransformer(Forms).description(""))
      ->type_name("serve|dispatch");
  CLI::App *NewKey = App.add_subcommand("new-key", "Make a secret, offline");
  operators::CommandContext Context;
  operators::addCommands(App, Context);
  try {
    operators::parseCommandLine(App, Argc, Argv);
  } catch (const CLI::ParseError &E) {
    return App.exit(E) == 0 ? ExitOk : ExitUsage;
  }
  if (Serve->parsed())
    return serve(File);
  if (Dispatch->parsed()) {
    platform::runDispatch(File);
    return ExitOk;
  }
  if (Check->parsed())
    return checkSettings(File, Form);
  if (NewKey->parsed())
    return printNewKey();
  return static_cast<int>(Context.Exit);
}

} // namespace

int main(int Argc, char **Argv) {
  // Logs go to stderr, since entries have no disks.
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Argv[0]);
  try {
    return run(Argc, Argv);
  } catch (const settings::SettingsError &E) {
    std::cerr << E.what() << "\n";
    return ExitUsage;
  } catch (const operators::OperatorError &E) {
    std::cerr << "comfreydeck: " << E.what() << "\n";
    return static_cast<int>(E.exitCode());
  } catch (const std::exception &E) {
    std::cerr << "comfreydeck: " << E.what() << "\n";
    return ExitFailed;
  }
}
