#include "standins/PlatformStandin.h"
#include "standins/WorkerStandin.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>
#include <list>

using namespace comfreydeck;

namespace {

/// Waits for SIGTERM or SIGINT, which must already be blocked.
void waitForSignal(const sigset_t &Signals) {
  int Caught = 0;
  sigwait(&Signals, &Caught);
}

struct WorkerArguments {
  std::uint32_t Count = 1;
  std::uint16_t FirstPort = 0;
  std::uint32_t FirstNumber = 1;
  std::uint32_t RunMs = 20;
  std::string LogFile;
};

int servePlatform(std::uint16_t Port, const sigset_t &Signals) {
  net::HttpServerOptions Options;
  Options.Port = Port;
  Options.Threads = 2;
  standins::PlatformStandin Platform(Options);
  Platform.start();
  std::cout << "platform: listening on port " << Platform.port() << std::endl;
  waitForSignal(Signals);
  Platform.stop();
  return 0;
}

int serveWorkers(const WorkerArguments &Arguments, const sigset_t &Signals) {
  net::Loop Timers;
  standins::EventLog Log(Arguments.LogFile);
  std::list<standins::WorkerStandin> Workers;
  for (std::uint32_t N = 0; N < Arguments.Count; ++N) {
    standins::WorkerStandinOptions Options;
    Options.Name = "w" + std::to_string(Arguments.FirstNumber + N);
    Options.DefaultRun = std::chrono::milliseconds(Arguments.RunMs);
    Options.Http.Port = static_cast<std::uint16_t>(Arguments.FirstPort + N);
    Workers.emplace_back(Options, Timers, Log).start();
  }
  Timers.start();
  std::cout << "workers: " << Workers.size() << " listening" << std::endl;
  waitForSignal(Signals);
  for (standins::WorkerStandin &Worker : Workers)
    Worker.stop();
  Timers.stop();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Stand-ins for the platform and the workers, for tests");
  App.require_subcommand(1);
  std::uint16_t Port = 0;
  CLI::App *Platform = App.add_subcommand("platform", "Serve the platform");
  Platform->add_option("--port", Port, "Port on 127.0.0.1")->required();
  WorkerArguments Arguments;
  CLI::App *Workers = App.add_subcommand("workers", "Serve some workers");
  Workers->add_option("--count", Arguments.Count, "Number of workers")
      ->required();
  Workers
      ->add_option("--first-port", Arguments.FirstPort,
                   "Port of the first worker; the others follow")
      ->required();
  Workers->add_option("--first-number", Arguments.FirstNumber,
                      "Number in the first worker's name");
  Workers->add_option("--run-ms", Arguments.RunMs, "Default run time");
  Workers->add_option("--log", Arguments.LogFile,
                      "Log file of starts and ends");
  CLI11_PARSE(App, Argc, Argv);

  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  if (Platform->parsed())
    return servePlatform(Port, Signals);
  return serveWorkers(Arguments, Signals);
}
