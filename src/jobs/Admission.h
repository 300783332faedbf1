#ifndef COMFREYDECK_JOBS_ADMISSION_H
#define COMFREYDECK_JOBS_ADMISSION_H

#include "core/Types.h"

#include <cstdint>
#include <span>

/// Early refusal of jobs that a pool can't finish while they are worth
/// anything. Answers a load above what the pool finishes: a caller whose job
/// would wait in vain hears so at once.
namespace comfreydeck::jobs {

/// A job is worth nothing this many objectives after it was handed in.
inline constexpr double WorthlessAfterObjectives = 3;

/// A job that has to start within this time to be in time goes first: otherwise
/// large jobs would always wait for smaller ones that can still wait.
inline constexpr double UrgentSlackMs = 500;

/// An accepted job with work left. Times count from the decision.
struct BacklogJob {
  std::uint32_t Priority = 0;
  /// CPU time of its unfinished tasks, by which the plan orders jobs, in
  /// thousandths of a core times milliseconds.
  double Size = 0;
  /// The part of \ref Size that has not been worked off yet.
  double WorkLeft = 0;
  /// How long it can wait and still be in time; negative if it is late.
  double SlackMs = 0;
  /// Until when it is worth finishing.
  double WorthMs = 0;
};

/// What a pool can work off, in thousandths of a core.
struct AdmissionRoom {
  /// Room on its workers beside lasting tasks.
  double MilliCpus = 0;
  /// Room on machines that may still come from other pools.
  double ComingMilliCpus = 0;
  /// Work finished lately while tasks waited for room all the time; zero if
  /// that was not so for long enough.
  double FinishedMilliCpus = 0;
};

/// A job that is handed in.
struct AdmissionRequest {
  std::uint32_t Priority = 0;
  /// As BacklogJob::Size.
  double Size = 0;
  /// Run time of its longest chain of steps.
  double ChainMs = 0;
  /// Time within which it is to be finished.
  double ObjectiveMs = 0;
};

struct AdmissionDecision {
  bool Refused = false;
  /// Earliest start of the job, behind what is ahead of it now.
  double StartMs = 0;
  /// Rate that was assumed, in thousandths of a core.
  double MilliCpus = 0;
  /// Work left of all jobs of the backlog that are worth finishing.
  double BacklogWork = 0;
  /// When to hand a refused job in again; whole seconds, at least one.
  std::chrono::seconds RetryAfter{1};
};

/// The most that the pool can be expected to work off, in thousandths of a
/// core. Thread-safe.
double usableMilliCpus(const AdmissionRoom &Room);

/// Refuses the job if it can't be finished within \ref WorthlessAfterObjectives
/// even if nothing else is accepted any more, all work can be spread freely,
/// and all machines that may come are there now. \p Backlog is ordered by
/// priority and size. Thread-safe.
AdmissionDecision decideAdmission(const AdmissionRoom &Room,
                                  std::span<const BacklogJob> Backlog,
                                  const AdmissionRequest &Job);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_ADMISSION_H
