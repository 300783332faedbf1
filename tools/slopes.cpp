#include "codec/ConfigJson.h"
#include "codec/InstanceJson.h"
#include "core/LineFit.h"
#include "core/PoolOwner.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>

// Measures processor time and memory of the parts of the control state at
// several sizes and fits a line to the values.

using namespace comfreydeck;
using nlohmann::json;

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr double NanosecondsPerMicrosecond = 1e3;
/// Each measurement is repeated for at least this long.
constexpr double MinMicroseconds = 50000;

double threadMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * MicrosecondsPerSecond +
         static_cast<double>(Time.tv_nsec) / NanosecondsPerMicrosecond;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Returns the mean processor time of one call in microseconds.
double meanMicroseconds(const std::function<void()> &Work) {
  double Start = threadMicroseconds();
  std::uint64_t Calls = 0;
  while (threadMicroseconds() - Start < MinMicroseconds) {
    Work();
    ++Calls;
  }
  return (threadMicroseconds() - Start) / static_cast<double>(Calls);
}

/// Values of one quantity at several sizes.
struct Series {
  const char *Name;
  const char *Against;
  const char *Unit;
  std::vector<core::Point> Points;
};

core::ConfigChange changeAfter(const core::Configuration &C,
                               std::vector<core::ConfigEdit> Edits) {
  core::ConfigChange Change;
  Change.Version.Value = C.Version.Value + 1;
  Change.Id = "measured";
  Change.Edits = std::move(Edits);
  return Change;
}

core::Team teamOf(std::uint32_t Number, std::uint32_t Share) {
  core::Team T;
  T.Name = "team-" + std::to_string(Number);
  T.Share = Share;
  T.UpperLimit = 100;
  return T;
}

/// Builds a configuration of teams with one key each, and a pool and a queue
/// for every four teams.
core::Configuration configurationOf(std::uint32_t Teams) {
  std::vector<core::ConfigEdit> Edits;
  for (std::uint32_t N = 0; N < Teams; ++N) {
    Edits.push_back(core::PutTeam{teamOf(N, 1 + N % 7)});
    core::GrantKey Grant;
    Grant.Team = "team-" + std::to_string(N);
    Grant.Hash.fill(static_cast<std::uint8_t>(N));
    Edits.push_back(Grant);
    if (N % 4 != 3)
      continue;
    core::PutPool Pool;
    Pool.Item.Name = "pool-" + std::to_string(N / 4);
    Edits.push_back(Pool);
    core::PutQueue Queue;
    Queue.Name = "queue-" + std::to_string(N / 4);
    Queue.Pool = Pool.Item.Name;
    Edits.push_back(Queue);
  }
  return core::apply({}, changeAfter({}, std::move(Edits)));
}

void measureConfiguration(std::uint32_t Teams, Series &Bytes, Series &Text,
                          Series &Apply) {
  double Before = heapBytes();
  core::Configuration C = configurationOf(Teams);
  Bytes.Points.push_back({double(Teams), heapBytes() - Before});
  Text.Points.push_back({double(Teams), double(codec::toJson(C).size())});
  core::ConfigChange Change =
      changeAfter(C, {core::PutTeam{teamOf(Teams / 2, 9)}});
  Apply.Points.push_back(
      {double(Teams), meanMicroseconds([&] { core::apply(C, Change); })});
}

core::Instance instanceOf(std::uint32_t Number) {
  core::Instance I;
  I.Id.Value = Number;
  I.Name = "worker-" + std::to_string(Number);
  I.Pool.Value = Number % 187;
  I.DataCentre = "dc" + std::to_string(Number % 24);
  I.Rack = I.DataCentre + "-r" + std::to_string(Number / 4);
  I.Address = "10.0.0.1:8000";
  I.Total = {64000, 131072, 2};
  return I;
}

void measureInstances(std::uint32_t Count, Series &Bytes, Series &Parse) {
  std::vector<std::string> Rows;
  for (std::uint32_t N = 0; N < Count; ++N)
    Rows.push_back(codec::toJson(instanceOf(N)));
  double Before = heapBytes();
  std::map<core::WorkerId, core::Instance> Instances;
  for (const std::string &Row : Rows) {
    core::Instance I = codec::parseInstance(Row);
    Instances[I.Id] = I;
  }
  Bytes.Points.push_back({double(Count), heapBytes() - Before});
  Parse.Points.push_back({double(Count), meanMicroseconds([&] {
                            for (const std::string &Row : Rows)
                              codec::parseInstance(Row);
                          })});
}

core::PoolOwner ownerOf(std::uint32_t Workers, std::uint32_t Teams) {
  core::PoolOwner Owner;
  std::vector<core::PoolWorker> List;
  for (std::uint32_t N = 0; N < Workers; ++N) {
    core::PoolWorker W;
    W.Id.Value = N;
    W.Zone.Value = N % 3;
    W.Rack.Value = N / 4;
    W.Slots = 8;
    W.Total = {64000, 131072, 2};
    List.push_back(W);
  }
  core::setWorkers(Owner, List);
  for (std::uint32_t N = 0; N < Teams; ++N)
    core::setTeam(Owner, core::TeamId{N}, 1 + N % 7, Workers * 8,
                  core::TimePoint());
  return Owner;
}

core::Demand demandOf(std::uint64_t Number, std::uint32_t Teams,
                      core::TimePoint Now) {
  core::Demand D;
  D.Id = {{1}, Number};
  D.Team.Value = static_cast<std::uint32_t>(Number % Teams);
  D.Size = {1000, 1024, 0};
  D.Arrived = Now;
  return D;
}

/// Measures a full pool in a steady state: one task ends, one demand arrives
/// and one task starts.
void measureOwner(std::uint32_t Workers, std::uint32_t Teams, double X,
                  Series &Bytes, Series &Decision) {
  double Before = heapBytes();
  core::PoolOwner Owner = ownerOf(Workers, Teams);
  core::TimePoint Now{};
  std::uint64_t Next = 0;
  std::uint64_t Slots = std::uint64_t{Workers} * 8;
  for (; Next < 2 * Slots; ++Next)
    core::enqueue(Owner, demandOf(Next, Teams, Now), Now);
  std::deque<core::DemandId> Running;
  for (const core::Grant &G : core::decide(Owner, Now, Now).Grants)
    Running.push_back(G.Id);
  Bytes.Points.push_back({X, heapBytes() - Before});
  Decision.Points.push_back(
      {X, meanMicroseconds([&] {
         Now += std::chrono::microseconds(100);
         core::finish(Owner, Running.front(), std::chrono::milliseconds(1),
                      Now);
         Running.pop_front();
         core::enqueue(Owner, demandOf(Next++, Teams, Now), Now);
         for (const core::Grant &G : core::decide(Owner, Now, Now).Grants)
           Running.push_back(G.Id);
       })});
}

std::vector<Series> measureAll() {
  Series ConfigBytes{"configuration, heap", "teams", "bytes", {}};
  Series ConfigText{"configuration, JSON", "teams", "bytes", {}};
  Series ConfigApply{"configuration, one change", "teams", "us", {}};
  for (std::uint32_t Teams : {96, 192, 384, 768})
    measureConfiguration(Teams, ConfigBytes, ConfigText, ConfigApply);
  Series FleetBytes{"instances, heap", "instances", "bytes", {}};
  Series FleetParse{"instances, reading all rows", "instances", "us", {}};
  for (std::uint32_t Count : {3500, 7000, 14000, 28000})
    measureInstances(Count, FleetBytes, FleetParse);
  Series OwnerBytes{"pool owner, heap", "workers", "bytes", {}};
  Series OwnerTime{"pool owner, one task", "workers", "us", {}};
  for (std::uint32_t Workers : {10, 50, 150, 400})
    measureOwner(Workers, 20, Workers, OwnerBytes, OwnerTime);
  Series TeamBytes{"pool owner, heap", "teams", "bytes", {}};
  Series TeamTime{"pool owner, one task", "teams", "us", {}};
  for (std::uint32_t Teams : {6, 50, 200, 770})
    measureOwner(150, Teams, Teams, TeamBytes, TeamTime);
  return {ConfigBytes, ConfigText, ConfigApply, FleetBytes, FleetParse,
          OwnerBytes,  OwnerTime,  TeamBytes,   TeamTime};
}

json jsonOf(const Series &S) {
  core::LineFit Fit = core::fitLine(S.Points);
  json Points = json::array();
  for (const core::Point &P : S.Points)
    Points.push_back({{"x", P.X}, {"y", P.Y}});
  return {{"name", S.Name},
          {"against", S.Against},
          {"unit", S.Unit},
          {"points", Points},
          {"slope", Fit.Slope},
          {"offset", Fit.Offset},
          {"worst_residual", Fit.WorstResidual}};
}

void printRow(const Series &S) {
  core::LineFit Fit = core::fitLine(S.Points);
  std::cout << std::left << std::setw(30) << S.Name << std::setw(11)
            << S.Against << std::setw(7) << S.Unit << std::right
            << std::setprecision(4);
  for (const core::Point &P : S.Points)
    std::cout << std::setw(12) << P.Y;
  std::cout << std::setw(12) << Fit.Slope << std::setw(12) << Fit.Offset
            << std::setw(10) << std::setprecision(2) << Fit.WorstResidual
            << "\n";
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Measures the parts of the control state at several sizes");
  bool AsJson = false;
  App.add_flag("--json", AsJson, "JSON instead of a table");
  CLI11_PARSE(App, Argc, Argv);
  std::vector<Series> All = measureAll();
  if (AsJson) {
    json List = json::array();
    for (const Series &S : All)
      List.push_back(jsonOf(S));
    std::cout << List.dump(2) << "\n";
    return 0;
  }
  std::cout << "quantity, against, unit, four measured values, slope, offset, "
               "worst residual\n";
  for (const Series &S : All)
    printRow(S);
  return 0;
}
