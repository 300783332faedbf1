#ifndef COMFREYDECK_JOBS_PROGRESSOUTBOX_H
#define COMFREYDECK_JOBS_PROGRESSOUTBOX_H

#include "jobs/ProgressBatch.h"
#include "jobs/WorkerState.h"

#include <deque>
#include <set>

namespace comfreydeck::jobs {

/// What is to be stored of a pool's jobs and roster, is being stored or was
/// refused, and which ends may be acknowledged since their effects are stored.
/// It alone changes JobRecord::Stored after the takeover,
/// JobRecord::FirstChange, JobRecord::SetAside, JobRecord::ChangedAside and the
/// marks of unstored ends. Not thread-safe.
class ProgressOutbox {
public:
  /// Both tables must outlive it.
  ProgressOutbox(const JobTable &Jobs, const WorkerTable &Workers)
      : Jobs_(Jobs), Workers_(Workers) {}

  /// Records that the job's progress has changed.
  void markChanged(JobRecord &Job);
  /// Adds the known worker to the stored roster: those that orders may have
  /// reached, for later owners.
  void enrol(const std::string &Id);
  void unenrol(const std::string &Id);
  /// Records that orders of earlier owners can no longer take effect.
  void storeSettled() { ToStoreSettled_ = true; }
  /// Records an end that was applied, or whose job is unknown. It counts as
  /// stored once all changes until now are, or never before \ref settleEnd.
  void addEnd(WorkerState &W, const EndReport &End);
  /// Records that the effects of an end are among the changes until now.
  void settleEnd(WorkerState &W, std::uint64_t Number);
  /// Records that an end has no effects.
  static void dropEnd(WorkerState &W, std::uint64_t Number);
  /// Recomputes which of the worker's ends are stored.
  void advanceStoredEnds(WorkerState &W) const;

  /// Returns up to \p MaxRows changed rows to store next, with \p MaxTasks
  /// tasks or one job.
  ProgressBatch take(std::size_t MaxRows, std::size_t MaxTasks);
  /// As PoolState::onStored, PoolState::setAside and PoolState::takeSetAside.
  void onStored(std::uint64_t Mark);
  void setAside(const ProgressBatch &Refused);
  ProgressBatch takeSetAside();
  bool hasSetAside() const { return !SetAside_.empty(); }
  bool hasEndsSetAside(const WorkerState &W) const;

  /// Number of the last change.
  std::uint64_t lastChange() const { return ChangeCount_; }
  /// Whether all changes up to that one are stored, apart from rows that were
  /// set aside.
  bool isStored(std::uint64_t Change) const { return Change <= StoredMark_; }

private:
  JobRecord *findJob(const std::string &Id) const;
  void advanceStored(std::uint64_t Mark);
  void advanceIfNothingPends();
  void returnFromAside(JobRecord &Job);
  std::uint64_t markOfBatch() const;
  static ProgressWrite writeOf(const JobRecord &Job);

  const JobTable &Jobs_;
  const WorkerTable &Workers_;
  std::deque<JobRecord *> Changed_;
  std::uint64_t ChangeCount_ = 0;
  /// All changes up to this one are stored.
  std::uint64_t StoredMark_ = 0;
  /// Job states in the batch that is being stored.
  std::vector<std::pair<std::string, JobState>> Storing_;
  /// Roster changes that are not in a batch yet.
  std::set<std::string> ToEnrol_;
  std::set<std::string> ToUnenrol_;
  /// Roster additions in the batch that is being stored.
  std::vector<WorkerEntry> Enrolling_;
  /// Rows that the store refuses and that are not in a batch, oldest first.
  std::deque<SetAsideRow> SetAside_;
  bool ToStoreSettled_ = false;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_PROGRESSOUTBOX_H
