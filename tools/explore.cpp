#include "jobs/PoolExploration.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>

// Explores the histories of a small pool and prints those that break a promise.

using namespace comfreydeck::jobs;

namespace {

constexpr int BadInput = 2;
constexpr unsigned MostNumber = 1000000000;

const std::map<std::string, BrokenRule> Rules{
    {"Nothing", BrokenRule::Nothing},
    {"NoFence", BrokenRule::NoFence},
    {"NoWait", BrokenRule::NoWait},
    {"NoRoster", BrokenRule::NoRoster},
    {"EarlyAcknowledge", BrokenRule::EarlyAcknowledge},
    {"EarlyAnswer", BrokenRule::EarlyAnswer},
    {"FalseEnd", BrokenRule::FalseEnd}};

const std::map<std::string, LateReach> Reaches{
    {"Counted", LateReach::Counted},
    {"NotRefused", LateReach::NotRefused},
    {"All", LateReach::All}};

StepKind stepOf(const std::string &Name) {
  for (std::size_t N = 0; N < StepKindCount; ++N)
    if (Name == nameOf(static_cast<StepKind>(N)))
      return static_cast<StepKind>(N);
  throw CLI::ValidationError("--steps", "unknown step: " + Name);
}

template <typename T>
T valueOf(const std::map<std::string, T> &Known, const char *Option,
          const std::string &Name) {
  auto At = Known.find(Name);
  if (At == Known.end())
    throw CLI::ValidationError(Option, "unknown value: " + Name);
  return At->second;
}

double inSeconds(comfreydeck::core::Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

void print(const ExplorationResult &Result) {
  for (const BrokenHistory &History : Result.Broken) {
    std::printf("%s\n  %zu steps, found after %llu states in %.1f s\n%s",
                History.Promise.c_str(), History.Steps.size(),
                static_cast<unsigned long long>(History.States),
                inSeconds(History.Time), printed(History).c_str());
  }
  double Seconds = inSeconds(Result.Time);
  std::printf("%llu states in %.1f s (%.0f a second), %llu replays, depth %u, "
              "%s, %zu kinds of break\n",
              static_cast<unsigned long long>(Result.States), Seconds,
              static_cast<double>(Result.States) / std::max(Seconds, 1e-3),
              static_cast<unsigned long long>(Result.Replays), Result.Depth,
              Result.Complete ? "complete" : "bounded", Result.Broken.size());
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Explores the histories of a small pool.");
  ExplorationOptions Options;
  double Seconds = 60;
  std::vector<std::string> Names;
  std::string Rule = "Nothing";
  std::string Reach = "Counted";
  App.add_option("--states", Options.States, "most states")
      ->check(CLI::Range(1U, MostNumber));
  App.add_option("--seconds", Seconds, "longest time")
      ->check(CLI::Range(1U, MostNumber));
  App.add_option("--depth", Options.Depth, "most steps of a history")
      ->check(CLI::Range(1U, 100U));
  App.add_option("--faults", Options.Faults, "most faults of a history")
      ->check(CLI::Range(0U, 100U));
  App.add_option("--seed", Options.Seed, "order of the steps that are tried");
  App.add_option("--steps", Names, "steps that histories may have, beside Wait")
      ->delimiter(',');
  App.add_flag("--rows-lag", Options.RowsLag,
               "the list may show restarts late");
  App.add_flag("--born-earlier", Options.BornEarlier,
               "times of day may be set back between starts");
  App.add_option("--tasks", Options.World.Tasks, "number of tasks")
      ->check(CLI::Range(1U, 3U));
  App.add_flag("--lasting", Options.World.Lasting,
               "the last task runs until the history ends");
  App.add_option("--late-reach", Reach,
                 "late orders that may reach a worker's next life: Counted, "
                 "NotRefused, All");
  App.add_flag("--sure-crashes", Options.World.SureCrashes,
               "lost starts don't excuse that a job is given up");
  App.add_option("--settle-each", Options.SettleEach,
                 "play one state in so many to its end")
      ->check(CLI::Range(1U, MostNumber));
  App.add_option("--broken", Rule, "rule that is violated on purpose");
  App.add_flag("--depth-first", Options.DepthFirst,
               "try the steps found last first");
  App.add_flag("--first", Options.StopAtFirst, "stop at the first break");
  App.add_option("--threads", Options.Threads, "threads to use")
      ->check(CLI::Range(1U, 64U));
  try {
    App.parse(Argc, Argv);
    if (!Names.empty())
      Options.Steps.clear();
    for (const std::string &Name : Names)
      Options.Steps.insert(stepOf(Name));
    Options.World.Broken = valueOf(Rules, "--broken", Rule);
    Options.World.Reach = valueOf(Reaches, "--late-reach", Reach);
  } catch (const CLI::ParseError &E) {
    return App.exit(E) == 0 ? 0 : BadInput;
  }
  Options.Time = std::chrono::duration_cast<comfreydeck::core::Duration>(
      std::chrono::duration<double>(Seconds));
  ExplorationResult Result = explore(Options);
  print(Result);
  return Result.Broken.empty() ? 0 : 1;
}
