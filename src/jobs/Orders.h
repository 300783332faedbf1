#ifndef COMFREYDECK_JOBS_ORDERS_H
#define COMFREYDECK_JOBS_ORDERS_H

#include "jobs/Worker.h"

#include <limits>

namespace comfreydeck::jobs {

/// Starts one run.
struct StartOrder {
  std::string Worker;
  TaskRef Task;
  RunId Run = 0;
  std::string Payload;
  std::string Checkpoint;
  std::string Ticket;
  std::int64_t DeadlineMs = 0;
  /// The worker refuses orders with a fence below the highest that it has seen.
  std::uint64_t Fence = 0;
};

/// Stops one run; also rejects its start if that has not arrived yet.
struct StopOrder {
  std::string Worker;
  TaskRef Task;
  RunId Run = 0;
  std::uint64_t Fence = 0;
};

/// Extends the lease of all runs on a worker and requests its report.
struct HoldOrder {
  std::string Worker;
  /// New lease end on the worker's clock; zero leaves the lease as it is.
  std::int64_t DeadlineMs = 0;
  /// Acknowledges ends up to this number; the worker may discard them.
  std::uint64_t AcknowledgeUpTo = 0;
  core::Duration Wait{0};
  std::uint64_t Fence = 0;
  /// Number of the request; zero if the owner has not planned it.
  std::uint64_t Number = 0;
  /// An order that is sent later acknowledges nothing, and is answered at once.
  core::TimePoint AcknowledgeBy{};
};

/// The order without its acknowledgement. The worker doesn't wait for an end
/// either: those that it lists can be acknowledged soon.
HoldOrder withoutAcknowledgement(HoldOrder Order);

struct Orders {
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<HoldOrder> Holds;
  /// PlanInput::MaxStarts was reached.
  bool StartsBounded = false;
};

/// Input of one planning round.
struct PlanInput {
  core::TimePoint Now;
  /// Time of day, in Unix milliseconds.
  std::int64_t WallMs = 0;
  /// No lease may extend beyond this.
  core::TimePoint AuthorityEnd;
  /// Whether runs may be started; reports are requested in any case.
  bool MayStart = true;
  /// Maximum number of starts. A gang that begins within it is started whole.
  std::size_t MaxStarts = std::numeric_limits<std::size_t>::max();
  /// All jobs accepted before this time have been loaded.
  core::TimePoint JobsReadAt;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_ORDERS_H
