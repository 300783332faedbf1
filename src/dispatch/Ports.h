#ifndef COMFREYDECK_DISPATCH_PORTS_H
#define COMFREYDECK_DISPATCH_PORTS_H

#include "jobs/PoolState.h"
#include "net/Http.h"
#include "store/PartitionedStore.h"

#include <functional>
#include <variant>

/// The entry process of the job path, and what it needs of the outside.
namespace comfreydeck::dispatch {

/// What a caller asks for.
enum class CallKind : std::uint8_t { Submit, ReadState, Cancel, CountPending };

/// One call of a caller, before anything of it is checked against the
/// configuration.
struct CallerCall {
  CallKind Kind = CallKind::ReadState;
  std::string Host;
  std::string Path;
  std::string Key;
  std::string Body;
  /// How long the caller waits.
  core::Duration Deadline = std::chrono::seconds(3);
};

/// Decodes what a caller sends: the job's own part of it. Throws
/// std::invalid_argument naming the fault.
using DecodeJob = std::function<void(const std::string &, jobs::JobSpec &)>;

/// Sends orders to workers. Thread-safe; callbacks come once, on any thread.
class WorkerOrders {
public:
  virtual ~WorkerOrders() = default;
  virtual void start(const jobs::WorkerEntry &To, std::uint64_t Token,
                     const jobs::StartOrder &Order,
                     std::function<void(jobs::OrderResult)> Done) = 0;
  virtual void stop(const jobs::WorkerEntry &To, std::uint64_t Token,
                    const jobs::StopOrder &Order,
                    std::function<void(jobs::OrderResult)> Done) = 0;
  virtual void report(const jobs::WorkerEntry &To, std::uint64_t Token,
                      const jobs::HoldOrder &Order,
                      std::function<void(jobs::ReportResult)> Done) = 0;
};

enum class MachineState : std::uint8_t { Up, Moving, Maintenance, Down };

/// One machine of the fleet; a worker is one life of it.
struct Machine {
  std::string Id;
  std::string Pool;
  MachineState State = MachineState::Down;
  std::string DataCentre;
  /// Its worker; empty: none.
  std::string Worker;
};

enum class DutyOutcome : std::uint8_t {
  Done,
  Fenced,
  /// The machine is not up, or leaves.
  Busy,
  /// The machine is not of that wave, or there is no such machine.
  Wrong,
  /// Nothing was done.
  NotDone,
  Unknown,
};

inline constexpr std::size_t DutyOutcomes = 6;

const char *nameOf(DutyOutcome Outcome);

struct MachineList {
  bool Ok = false;
  std::vector<Machine> Machines;
};

/// The platform's machines. Thread-safe; callbacks come once, on any thread.
class MachineControl {
public:
  virtual ~MachineControl() = default;
  virtual void list(std::function<void(MachineList)> Done) = 0;
  virtual void maintain(const std::string &Machine, const std::string &Wave,
                        std::uint64_t Token,
                        std::function<void(DutyOutcome)> Done) = 0;
  virtual void move(const std::string &Machine, const std::string &Pool,
                    std::uint64_t Token,
                    std::function<void(DutyOutcome)> Done) = 0;
};

/// One wave of maintenance as operators ask for it.
struct WaveRequest {
  std::string Name;
  std::vector<std::string> Machines;
  core::Duration Within{0};
  std::uint32_t MaxAtOnce = 1;
};

/// What the operators and the workers have written, decoded.
struct OperatorRow {
  enum class Kind : std::uint8_t { Other, Config, Evacuation, Wave };
  Kind What = Kind::Other;
  bool Removed = false;
  /// The data centre or the wave.
  std::string Name;
  std::shared_ptr<const jobs::FleetConfig> Config;
  WaveRequest Wave;
};

/// Translates the platform's rows and bodies. Thread-safe; each throws
/// std::invalid_argument where the value can't be read.
struct RowDecoder {
  std::function<OperatorRow(const store::PartRow &)> Operator;
  std::function<jobs::WorkerEntry(const store::PartRow &)> Worker;
  /// A worker's value without what changes with each sign of life: rows with
  /// equal facts are decoded to the same.
  std::function<std::string(const std::string &)> WorkerFacts;
  /// Value of the row that tells operators of a wave.
  std::function<std::string(bool Completed)> WaveStatus;
  std::string OperatorTable;
  std::string WorkerTable;
  std::string StatusTable;
  std::string WaveStatusKeyPrefix;
};

/// Translates callers' calls and answers. Thread-safe.
struct CallerWire {
  std::function<CallerCall(const net::HttpRequest &)> Decode;
  DecodeJob Job;
  std::function<std::string(jobs::JobState)> State;
  std::function<std::string(std::uint32_t)> Pending;
  /// Path of the balancer's readiness probe.
  std::string ReadinessPath;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_PORTS_H
