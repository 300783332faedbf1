#ifndef COMFREYDECK_JOBS_POOLFIGURES_H
#define COMFREYDECK_JOBS_POOLFIGURES_H

#include "core/DurationHistogram.h"
#include "jobs/Worker.h"

#include <array>

namespace comfreydeck::jobs {

/// What has happened in one pool, for metrics and logs.
struct PoolCounters {
  std::uint64_t Starts = 0;
  /// Tasks that are done.
  std::uint64_t Done = 0;
  /// Failed runs that count against their tasks' attempts.
  std::uint64_t Failed = 0;
  std::uint64_t Lapsed = 0;
  std::uint64_t UnexpectedRuns = 0;
  std::uint64_t Stragglers = 0;
  /// Answers of workers, by outcome.
  std::array<std::uint64_t, OrderOutcomes> StartAnswers{};
  std::array<std::uint64_t, OrderOutcomes> StopAnswers{};
  std::array<std::uint64_t, OrderOutcomes> ReportAnswers{};
  /// Runs that workers listed as ended, by kind.
  std::array<std::uint64_t, RunEnds> Ends{};
  /// Age of the worker's report when a start was decided by it.
  core::DurationHistogram ReportAge;
  /// Most starts that were decided by one report.
  std::uint32_t MostByOneReport = 0;
};

/// What one worker is to its pool's owner. The first that holds, in this order.
enum class WorkerStanding : std::uint8_t {
  /// Not listed any more.
  Gone,
  /// Its life has ended, though it is listed.
  Ended,
  /// Not heard since this owner took the pool.
  Unheard,
  /// It didn't answer last, or has not reported on its runs for too long.
  Silent,
  /// Refused or failed what it was given: gets nothing for a while.
  Avoided,
  /// Closed, draining or in a closed data centre.
  Closed,
  /// Runs what is unknown here.
  Occupied,
  Usable,
};

inline constexpr std::size_t WorkerStandings = 8;

const char *nameOf(WorkerStanding Standing);

/// Why a task that could run has no run. The first that holds, in this order.
enum class WaitReason : std::uint8_t {
  /// Its queue takes advice.
  Advised,
  /// An earlier owner may have started it, and not every worker was heard.
  Takeover,
  /// A run of it ended a short time ago.
  Pause,
  /// Its team's limit is reached.
  TeamLimit,
  /// No worker had room, or no planning came yet.
  Room,
};

inline constexpr std::size_t WaitReasons = 5;

const char *nameOf(WaitReason Reason);

/// What there is in one pool at a moment.
struct PoolCensus {
  std::uint64_t OpenJobs = 0;
  std::uint64_t Runs = 0;
  /// Runs whose start was neither answered nor reported.
  std::uint64_t UnsureRuns = 0;
  std::array<std::uint64_t, WaitReasons> Waiting{};
  std::array<std::uint64_t, WorkerStandings> Workers{};
  /// Thousandths of a core that are free on usable workers.
  std::uint64_t FreeMilliCpus = 0;
};

/// The number of a value of an enum, to index an array with.
template <typename Enum> constexpr std::size_t indexOf(Enum Value) {
  return static_cast<std::size_t>(Value);
}

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_POOLFIGURES_H
