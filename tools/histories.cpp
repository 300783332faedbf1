#include "jobs/PoolSimulation.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

// Simulates histories of a pool by seed and prints those with a fault.

using namespace comfreydeck::jobs;

namespace {

using Kind = std::pair<const char *, bool SimulationOptions::*>;

constexpr Kind Kinds[] = {
    {"EntriesDisappear", &SimulationOptions::EntriesDisappear},
    {"LastingTasks", &SimulationOptions::LastingTasks},
    {"LateReports", &SimulationOptions::LateReports},
    {"ClocksJump", &SimulationOptions::ClocksJump},
    {"RowsLag", &SimulationOptions::RowsLag},
    {"RestartsAtTakeover", &SimulationOptions::RestartsAtTakeover},
    {"CrashingTasks", &SimulationOptions::CrashingTasks},
    {"UnequalSizes", &SimulationOptions::UnequalSizes},
    {"PlacementLimits", &SimulationOptions::PlacementLimits},
    {"TeamLimits", &SimulationOptions::TeamLimits},
    {"LatePayloads", &SimulationOptions::LatePayloads},
    {"Gangs", &SimulationOptions::Gangs},
    {"Racks", &SimulationOptions::Racks},
    {"FillingTasks", &SimulationOptions::FillingTasks},
    {"DueTimes", &SimulationOptions::DueTimes},
    {"SilentAfterStart", &SimulationOptions::SilentAfterStart},
    {"TrueProgress", &SimulationOptions::TrueProgress},
    {"JobsGoOn", &SimulationOptions::JobsGoOn},
    {"UnreadRows", &SimulationOptions::UnreadRows},
    {"QuickRestarts", &SimulationOptions::QuickRestarts},
    {"CrashStorms", &SimulationOptions::CrashStorms},
    {"OrdersReachNextLife", &SimulationOptions::OrdersReachNextLife},
    {"CutAfterRestart", &SimulationOptions::CutAfterRestart},
    {"MachinesMove", &SimulationOptions::MachinesMove},
    {"UnorderedEnds", &SimulationOptions::UnorderedEnds},
    {"StoppableOwners", &SimulationOptions::StoppableOwners},
    {"SlowClocks", &SimulationOptions::SlowClocks},
    {"Calm", &SimulationOptions::Calm},
};

void setKind(SimulationOptions &Options, const std::string &Name) {
  const auto *Found =
      std::find_if(std::begin(Kinds), std::end(Kinds),
                   [&](const Kind &Known) { return Name == Known.first; });
  if (Found == std::end(Kinds))
    throw CLI::ValidationError("kind", "unknown kind of history: " + Name);
  Options.*(Found->second) = true;
}

struct Fault {
  std::uint64_t Seed = 0;
  std::string What;
};

std::vector<Fault> findFaults(const SimulationOptions &First,
                              std::uint64_t Count, unsigned Threads) {
  std::vector<Fault> Faults;
  std::mutex Lock;
  std::atomic<std::uint64_t> Next{0};
  auto Work = [&] {
    for (std::uint64_t N = Next++; N < Count; N = Next++) {
      SimulationOptions Options = First;
      Options.Seed = First.Seed + N;
      std::string What = PoolSimulation(Options).simulate().Fault;
      if (What.empty())
        continue;
      std::lock_guard Guard(Lock);
      Faults.push_back({Options.Seed, std::move(What)});
    }
  };
  std::vector<std::thread> Workers;
  for (unsigned N = 0; N < Threads; ++N)
    Workers.emplace_back(Work);
  for (std::thread &Worker : Workers)
    Worker.join();
  std::sort(Faults.begin(), Faults.end(),
            [](const Fault &A, const Fault &B) { return A.Seed < B.Seed; });
  return Faults;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Simulates histories of a pool and prints those with a fault.");
  SimulationOptions Options;
  std::uint64_t Count = 1;
  unsigned Threads = 1;
  std::vector<std::string> Names;
  App.add_option("--seed", Options.Seed, "seed of the first history");
  App.add_option("--count", Count, "number of histories");
  App.add_option("--threads", Threads, "threads to use")
      ->check(CLI::PositiveNumber);
  App.add_option("kinds", Names, "kinds of history, all at once");
  try {
    App.parse(Argc, Argv);
    for (const std::string &Name : Names)
      setKind(Options, Name);
  } catch (const CLI::ParseError &E) {
    constexpr int BadInput = 2;
    return App.exit(E) == 0 ? 0 : BadInput;
  }
  std::vector<Fault> Faults = findFaults(Options, Count, Threads);
  for (const Fault &Found : Faults)
    std::cout << Found.Seed << ": " << Found.What << '\n';
  std::cout << Faults.size() << " of " << Count << " histories have a fault\n";
  return Faults.empty() ? 0 : 1;
}
