#ifndef COMFREYDECK_DISPATCH_POOLEVENTLOG_H
#define COMFREYDECK_DISPATCH_POOLEVENTLOG_H

#include "dispatch/Ports.h"
#include "jobs/OwnerChoice.h"

namespace comfreydeck::dispatch {

/// Writes the log lines of one owned pool. Each call writes at most one line of
/// an event, unless it says otherwise; lines are dropped as by \ref logEvent.
/// Thread-safe as far as the arguments are not changed meanwhile; no call
/// throws or blocks.
class PoolEventLog {
public:
  /// \p Token is the owner's, which took the pool over at \p TakenAt.
  PoolEventLog(std::string Pool, std::uint64_t Token, core::TimePoint TakenAt);

  /// Logs a failed read of the table, with the time since the takeover.
  void logLoadFailure(const char *Table, const store::PartAnswer &Answer,
                      core::TimePoint Now) const;
  /// Logs that the pool's rows are read. \p ListAgeMs is the age of the worker
  /// list.
  void logLoaded(const jobs::PoolState &State,
                 const jobs::OwnerHistory &Earlier,
                 std::int64_t ListAgeMs) const;
  /// Logs that inherited tasks may start, with the time since the takeover, how
  /// many workers have reported by then, and one line for each that has not.
  void logSettled(const jobs::PoolState &State, core::TimePoint Now) const;
  void logLost(const char *Why) const;

  /// Each logs a row that can't be decoded.
  void logUnreadableJob(const std::string &Key, const char *Error) const;
  void logUnreadableProgress(const std::string &JobId, const char *Error) const;
  void logUnreadableRoster(const std::string &Worker, const char *Error) const;
  void logUnreadableSettled() const;
  /// Logs that adding a job failed whose rows can be decoded.
  void logNotApplied(const std::string &JobId, const char *Error) const;
  /// Logs that a job which could not be applied is in the pool now.
  void logAppliedLate(const std::string &JobId) const;
  void logPayloadFailure(const std::string &JobId,
                         const store::PartAnswer &Answer) const;
  /// Logs that the stored progress of \p Jobs jobs was looked up, and how many
  /// of them have finished.
  void logLookedUp(std::size_t Jobs, std::size_t Finished,
                   std::uint64_t RowVersion) const;

  /// Takes the decisions since the last call from \p State and logs each: stops
  /// of lasting tasks, the longest wait, restarts of workers, lapsed runs,
  /// crashes, and runs that count as ended without a report of their end.
  void logDecisions(jobs::PoolState &State) const;

  void logStartRefused(const jobs::StartOrder &Order,
                       jobs::OrderOutcome Outcome) const;
  /// Logs that another incarnation answers at the worker's address.
  void logReplaced(const jobs::WorkerState &Worker) const;
  /// Logs what is assumed of the worker's runs, which may start again now.
  void logWorkerEnded(const jobs::WorkerState &Worker,
                      const MachineList &List) const;

  /// Logs one line for each job that ended with the stored batch, with the
  /// number of failed runs and the worker of the last one.
  void logEnded(const jobs::PoolState &State, const jobs::ProgressBatch &Batch,
                std::uint64_t RowVersion) const;
  /// Logs that the store refuses even a write without rows.
  void logProgressRefused(const std::string &Error) const;
  void logSetAside(const char *Kind, const std::string &Id,
                   const std::string &Error) const;

private:
  void logStop(const jobs::StopDecision &Decision) const;
  void logLastingEnd(const jobs::LastingJobEnd &End) const;
  void logRelease(const jobs::ReleaseChange &Change) const;
  void logWait(const jobs::LongWait &Long) const;
  void logRestart(const jobs::IncarnationChange &Change) const;
  void logLapsed(const jobs::LapsedRuns &Lapsed) const;
  void logCrash(const jobs::CrashRecord &Record) const;
  void logPresumedEnd(const jobs::PresumedEnd &End) const;
  void logSurvivor(const jobs::SurvivingRun &Survivor) const;

  std::string Pool_;
  std::uint64_t Token_;
  core::TimePoint TakenAt_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_POOLEVENTLOG_H
