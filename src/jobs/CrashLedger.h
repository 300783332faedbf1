#ifndef COMFREYDECK_JOBS_CRASHLEDGER_H
#define COMFREYDECK_JOBS_CRASHLEDGER_H

#include "core/Types.h"
#include "jobs/Job.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace comfreydeck::jobs {

/// What is known of a run's start.
enum class StartSign : std::uint8_t {
  /// It is of an earlier owner, which stored it before it was sent.
  Inherited,
  /// It was sent and has no answer yet.
  Sent,
  /// It has no clear answer, so that it may have been carried out.
  Unclear,
  Accepted,
  /// A report has listed the run.
  Listed,
};

const char *nameOf(StartSign Sign);

/// A run that was on a worker when the worker was lost, and that may have
/// crashed it.
struct SuspectRun {
  std::string JobId;
  /// Index of the task within its job.
  std::uint32_t Task = 0;
  RunId Run = 0;
  StartSign Sign = StartSign::Inherited;
  /// When its start was ordered, if this owner did it.
  std::optional<core::TimePoint> OrderedAt = std::nullopt;
  /// Whether both are the same run.
  bool operator==(const SuspectRun &Other) const {
    return Run == Other.Run && Task == Other.Task && JobId == Other.JobId;
  }
};

/// A run that counts as having crashed its worker, for logs.
struct CountedRun {
  SuspectRun Run;
  std::string Worker;
  /// Start times of the incarnation that it was sent to and of the one that
  /// followed, in Unix milliseconds; zero if that is another worker.
  std::int64_t Born = 0;
  std::int64_t NextBorn = 0;
  core::TimePoint CountedAt;
};

/// A run of a worker's incarnation that went silent.
struct LostRun {
  SuspectRun Run;
  std::int64_t Born = 0;
  core::TimePoint Since;
  /// The incarnation has ended, and the run's start has no answer that tells
  /// whether it ran there. \ref NextBorn followed; zero for another worker.
  bool Ended = false;
  std::int64_t NextBorn = 0;
};

/// Runs of workers that went silent. Whether such a worker crashed, or was only
/// out of reach, is known once it answers again.
class CrashLedger {
public:
  /// How long a worker that went silent is waited for.
  static constexpr core::Duration KeepFor = std::chrono::seconds(20);

  /// Adds runs of the incarnation \p Born of a worker. \p Since is when it went
  /// silent.
  void add(const std::string &Worker, std::int64_t Born,
           std::vector<SuspectRun> Runs, core::TimePoint Since);
  /// Removes and returns the runs of these incarnations of the worker, which
  /// have ended: \p NextBorn has followed. Runs whose starts have no answer yet
  /// stay, and those that \p NextBorn may have accepted.
  std::vector<LostRun> takeEnded(const std::string &Worker,
                                 const std::deque<std::int64_t> &Borns,
                                 std::int64_t NextBorn);
  /// The same for the worker's incarnations other than \p Born.
  std::vector<LostRun> takeOthers(const std::string &Worker, std::int64_t Born,
                                  std::int64_t NextBorn);
  /// Removes and returns the worker's runs for which \p Is returns true.
  std::vector<LostRun> takeIf(const std::string &Worker,
                              const std::function<bool(const LostRun &)> &Is);
  /// Returns the run; null if it is not there.
  LostRun *find(const std::string &Worker, const SuspectRun &Run);
  /// Drops the runs of workers that have been silent for too long.
  void expire(core::TimePoint Now);
  /// Drops the runs of workers for which \p IsKnown returns false.
  void dropUnknown(const std::function<bool(const std::string &)> &IsKnown);
  /// Calls \p Do for each run with the time since its worker went silent.
  void forEach(
      core::TimePoint Now,
      const std::function<void(const SuspectRun &, core::Duration)> &Do) const;

  /// Adds the task's runs to \p Runs.
  void collect(const std::string &JobId, std::uint32_t Task,
               std::set<RunId> &Runs) const;
  /// When the last of the workers with runs of the task went silent; nothing if
  /// there is none.
  std::optional<core::TimePoint> latestOf(const std::string &JobId,
                                          std::uint32_t Task) const;
  bool contains(const SuspectRun &Run) const;
  bool hasRunsOf(const std::string &Worker) const {
    return Lost_.count(Worker) != 0;
  }
  bool isEmpty() const { return Lost_.empty(); }

private:
  std::vector<LostRun>
  takeAnswered(const std::string &Worker, std::int64_t NextBorn,
               const std::function<bool(std::int64_t)> &HasEnded);

  /// By worker.
  std::map<std::string, std::vector<LostRun>> Lost_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_CRASHLEDGER_H
