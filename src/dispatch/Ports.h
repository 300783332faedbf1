#ifndef COMFREYDECK_DISPATCH_PORTS_H
#define COMFREYDECK_DISPATCH_PORTS_H

#include "jobs/PoolState.h"
#include "net/HttpClient.h"
#include "store/PartitionedStore.h"

#include <functional>
#include <variant>

/// The entry process of the job path, and the platform interfaces that it
/// needs.
namespace comfreydeck::dispatch {

/// The kind of a caller's call.
enum class CallKind : std::uint8_t { Submit, ReadState, Cancel, CountPending };

/// One decoded call, not yet checked against the configuration.
struct CallerCall {
  CallKind Kind = CallKind::ReadState;
  std::string Host;
  std::string Path;
  std::string Key;
  std::string Body;
  /// How long the caller waits for the answer.
  core::Duration Deadline = std::chrono::seconds(3);
};

/// Decodes the caller's part of a job from a request body. Throws
/// std::invalid_argument that names the fault.
using DecodeJob = std::function<void(const std::string &, jobs::JobSpec &)>;

/// Set by whoever sends an order when the sending begins; null if nobody wants
/// to know. Before, the order waits in this process or in another entry.
using SendMark = std::shared_ptr<net::BeginTime>;

/// Sends orders to workers, which refuse one with a lower fence than they have
/// seen. Thread-safe; each callback is called once, on any thread.
class WorkerOrders {
public:
  virtual ~WorkerOrders() = default;
  virtual void start(const jobs::WorkerEntry &To, std::uint64_t Fence,
                     const jobs::StartOrder &Order, SendMark SentAt,
                     std::function<void(jobs::OrderResult)> Done) = 0;
  virtual void stop(const jobs::WorkerEntry &To, std::uint64_t Fence,
                    const jobs::StopOrder &Order,
                    std::function<void(jobs::OrderResult)> Done) = 0;
  virtual void report(const jobs::WorkerEntry &To, std::uint64_t Fence,
                      const jobs::HoldOrder &Order, SendMark SentAt,
                      std::function<void(jobs::ReportResult)> Done) = 0;
  /// Drops orders to the pool's workers that still wait to be sent, where there
  /// are any; their callbacks are called.
  virtual void dropUnsent(const std::string &Pool) { (void)Pool; }
};

enum class MachineState : std::uint8_t { Up, Moving, Maintenance, Down };

const char *nameOf(MachineState State);

/// One machine of the fleet. Each worker is one incarnation of a machine.
struct Machine {
  std::string Id;
  std::string Pool;
  MachineState State = MachineState::Down;
  std::string DataCentre;
  /// Its worker; empty if it has none.
  std::string Worker;
  /// Whether the list says what follows.
  bool KindShown = false;
  core::Resources Capacity;
  /// Its kind and its rack.
  std::vector<std::string> Labels;
};

enum class MachineOrderOutcome : std::uint8_t {
  Done,
  Fenced,
  /// The machine is not up, or is being taken down.
  Busy,
  /// The machine does not belong to the wave, or does not exist.
  Wrong,
  /// Nothing was done.
  NotDone,
  Unknown,
};

inline constexpr std::size_t MachineOrderOutcomes = 6;

const char *nameOf(MachineOrderOutcome Outcome);

struct MachineList {
  bool Ok = false;
  std::vector<Machine> Machines;
};

/// Controls the platform's machines. Thread-safe; each callback is called once,
/// on any thread.
class MachineControl {
public:
  virtual ~MachineControl() = default;
  virtual void list(std::function<void(MachineList)> Done) = 0;
  virtual void maintain(const std::string &Machine, const std::string &Wave,
                        std::uint64_t Token,
                        std::function<void(MachineOrderOutcome)> Done) = 0;
  virtual void move(const std::string &Machine, const std::string &Pool,
                    std::uint64_t Token,
                    std::function<void(MachineOrderOutcome)> Done) = 0;
};

/// A maintenance wave as requested by operators.
struct WaveRequest {
  std::string Name;
  std::vector<std::string> Machines;
  core::Duration Within{0};
  std::uint32_t MaxAtOnce = 1;
};

/// A decoded row of the operators' table.
struct OperatorRow {
  enum class Kind : std::uint8_t { Other, Config, Evacuation, Wave };
  Kind What = Kind::Other;
  bool Removed = false;
  /// Name of the data centre or the wave.
  std::string Name;
  std::shared_ptr<const jobs::FleetConfig> Config;
  WaveRequest Wave;
};

/// Decodes and encodes the platform's rows. Thread-safe; each function throws
/// std::invalid_argument if the value can't be read.
struct RowDecoder {
  std::function<OperatorRow(const store::PartRow &)> Operator;
  std::function<jobs::WorkerEntry(const store::PartRow &)> Worker;
  /// Returns a worker's value without its heartbeat fields. Rows for which it
  /// returns the same decode to equal entries.
  std::function<std::string(const std::string &)> WorkerWithoutHeartbeat;
  /// Value of the row that reports a wave's status to operators.
  std::function<std::string(bool Completed)> WaveStatus;
  std::string OperatorTable;
  std::string WorkerTable;
  std::string StatusTable;
  std::string WaveStatusKeyPrefix;
};

/// Decodes callers' calls and encodes the answers. Thread-safe.
struct CallerCodec {
  std::function<CallerCall(const net::HttpRequest &)> Decode;
  DecodeJob Job;
  std::function<std::string(jobs::JobState)> State;
  std::function<std::string(std::uint32_t)> Pending;
  /// Path of the load balancer's readiness probe.
  std::string ReadinessPath;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_PORTS_H
