#ifndef COMFREYDECK_JOBS_WORKER_H
#define COMFREYDECK_JOBS_WORKER_H

#include "jobs/Job.h"

#include <optional>

namespace comfreydeck::jobs {

/// A worker's own entry in the list of workers.
struct WorkerEntry {
  std::string Id;
  std::string Pool;
  /// IP number and port.
  std::string Address;
  std::string DataCentre;
  std::string Rack;
  std::vector<std::string> Labels;
  core::Resources Capacity;
  bool Draining = false;
  /// How much longer it remains slow after its start.
  core::Duration ColdFor{0};
  /// Unix milliseconds of its start; tells lives under one id apart.
  std::int64_t Born = 0;
};

/// One run in a worker's report.
struct RunReport {
  TaskRef Task;
  RunId Run = 0;
  std::string Checkpoint;
  std::uint32_t Percent = 0;
  /// Serving tasks: tail of the response times in milliseconds; others: the
  /// processor in use, in thousandths of a core.
  double Load = 0;
};

enum class RunEnd : std::uint8_t {
  Done,
  Failed,
  Stopped,
  Lapsed,
  /// Another member of its gang ended.
  Broken,
  /// The other members of its gang did not come in time.
  Alone,
};

inline constexpr std::size_t RunEnds = 6;

const char *nameOf(RunEnd How);

/// One end that a worker lists until it is told that the end is noted.
struct EndReport {
  std::uint64_t Number = 0;
  TaskRef Task;
  RunId Run = 0;
  RunEnd How = RunEnd::Stopped;
  std::string Checkpoint;
};

/// What a worker runs and what has ended there.
struct WorkerReport {
  std::int64_t ClockMs = 0;
  std::int64_t Born = 0;
  std::vector<RunReport> Running;
  std::vector<EndReport> Ended;
};

/// How an order to a worker ended.
enum class OrderOutcome : std::uint8_t {
  Accepted,
  /// A higher fencing token was used there: the sender owns the pool no more.
  Fenced,
  /// The run's number is not above one that ended there.
  OldRun,
  /// The lease's end has passed.
  Late,
  NoRoom,
  NoTicket,
  /// The worker refused it and has done nothing.
  Refused,
  /// Another incarnation answers at that address.
  OtherIncarnation,
  /// Nothing was sent.
  NotSent,
  /// It may have been carried out, or may be later.
  Unknown,
};

inline constexpr std::size_t OrderOutcomes = 10;

const char *nameOf(OrderOutcome Outcome);

struct OrderResult {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  /// Zero: none was given.
  std::int64_t ClockMs = 0;
};

struct ReportResult {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  WorkerReport Report;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_WORKER_H
