#ifndef COMFREYDECK_JOBS_WORKER_H
#define COMFREYDECK_JOBS_WORKER_H

#include "jobs/Job.h"

#include <optional>

namespace comfreydeck::jobs {

/// The entry that a worker publishes in the list of workers.
struct WorkerEntry {
  std::string Id;
  std::string Pool;
  /// IP address and port.
  std::string Address;
  std::string DataCentre;
  std::string Rack;
  std::vector<std::string> Labels;
  core::Resources Capacity;
  bool Draining = false;
  /// Remaining time for which it is slow after its start.
  core::Duration ColdFor{0};
  /// Start time in Unix milliseconds; identifies the worker's incarnation.
  std::int64_t Born = 0;
  /// In the stored roster: its machine may be taken away at any moment.
  bool Released = false;
  /// For how long that has not been asked for, at least.
  core::Duration ReleasedFor{0};
  /// In the stored roster: for how long at most, from its storing on, orders
  /// for earlier incarnations may reach this one, or the leases hold that they
  /// gave it. Nothing if that isn't known.
  std::optional<core::Duration> EarlierOrdersFor;
};

/// One life of a worker, which may start again under its id.
struct WorkerIncarnation {
  std::string Worker;
  std::int64_t Born = 0;
};

/// One run in a worker's report.
struct RunReport {
  TaskRef Task;
  RunId Run = 0;
  std::string Checkpoint;
  std::uint32_t Percent = 0;
  /// For serving tasks the tail latency in milliseconds, for others the CPU in
  /// use in thousandths of a core.
  double Load = 0;
};

enum class RunEnd : std::uint8_t {
  Done,
  Failed,
  Stopped,
  /// The lease expired.
  Lapsed,
  /// Another member of its gang ended.
  Broken,
  /// The other members of its gang did not start in time.
  Alone,
};

inline constexpr std::size_t RunEndCount = 6;

const char *nameOf(RunEnd How);

/// The end of one run; a worker lists it until the owner acknowledges it.
struct EndReport {
  std::uint64_t Number = 0;
  TaskRef Task;
  RunId Run = 0;
  RunEnd How = RunEnd::Stopped;
  std::string Checkpoint;
};

/// A worker's current runs and its ended runs that are not acknowledged yet.
struct WorkerReport {
  std::int64_t ClockMs = 0;
  std::int64_t Born = 0;
  std::vector<RunReport> Running;
  std::vector<EndReport> Ended;
};

/// The outcome of an order to a worker.
enum class OrderOutcome : std::uint8_t {
  Accepted,
  /// The worker has seen a higher fencing token: the sender no longer owns the
  /// pool.
  Fenced,
  /// The run's id is not above that of a run that ended or was stopped there.
  OldRun,
  /// The lease end in the order has already passed.
  Late,
  NoRoom,
  NoTicket,
  /// The worker refused the order without effect.
  Refused,
  /// Another incarnation answered at that address.
  OtherIncarnation,
  /// The worker could not be reached; nothing was sent.
  NotSent,
  /// No clear answer: the order may have taken effect, or may do so later.
  Unknown,
  /// Not tried, since the sender was too busy or was paused: says nothing of
  /// the worker.
  Withheld,
};

inline constexpr std::size_t OrderOutcomeCount = 11;

const char *nameOf(OrderOutcome Outcome);

struct OrderResult {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  /// The worker's clock; zero if the answer had none.
  std::int64_t ClockMs = 0;
};

struct ReportResult {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  WorkerReport Report;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_WORKER_H
