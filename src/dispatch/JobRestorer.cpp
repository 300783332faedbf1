#include "dispatch/JobRestorer.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"

namespace comfreydeck::dispatch {

namespace {

/// The job's state in its row, if at least that can be decoded.
std::optional<jobs::JobState> stateAmong(const RowsByKey &Rows,
                                         const std::string &JobId) {
  auto Row = Rows.find(JobId);
  if (Row == Rows.end())
    return std::nullopt;
  try {
    return codec::decodeProgressState(Row->second->Value);
  } catch (const std::invalid_argument &) {
    return std::nullopt;
  }
}

} // namespace

JobRestorer::JobRestorer(jobs::PoolState &State, const PoolEventLog &Log,
                         UnappliedJobs &Unapplied)
    : State_(State), Log_(Log), Unapplied_(Unapplied) {}

std::optional<jobs::JobSpec>
JobRestorer::decodeJobRow(const store::PartRow &Row) {
  try {
    return codec::decodeJob(Row.Value);
  } catch (const std::exception &E) {
    Log_.logUnreadableJob(Row.Where.Key, E.what());
    setUnapplied(Row.Where.Key, UnappliedReason::JobRow, E);
    return std::nullopt;
  }
}

void JobRestorer::setUnapplied(const std::string &JobId, UnappliedReason Reason,
                               const std::exception &Error) {
  Unapplied_.add(JobId, Reason, Error.what(), bootNow());
  State_.awaitJob(JobId);
}

bool JobRestorer::restore(const jobs::JobSpec &Spec, const RowsByKey &Stored) {
  core::TimePoint Now = bootNow();
  const jobs::JobRecord *Known = State_.findJob(Spec.Id);
  bool IsHeld = Known && Known->ProgressUnread;
  std::optional<jobs::JobProgress> Kept;
  try {
    if (Stored.count(Spec.Id) != 0)
      Kept = progressOf(Stored, Spec.Id);
    else if (IsHeld)
      throw std::invalid_argument("the job's progress is missing");
  } catch (const std::exception &E) {
    Log_.logUnreadableProgress(Spec.Id, E.what());
    State_.holdJob(Spec, stateAmong(Stored, Spec.Id), Now);
    setUnapplied(Spec.Id, UnappliedReason::ProgressRow, E);
    return false;
  }
  try {
    if (IsHeld)
      State_.restoreJob(Spec.Id, *Kept, Now);
    else
      State_.inheritJob(Spec, Kept ? &*Kept : nullptr, Now);
  } catch (const std::exception &E) {
    recordFailure(Spec.Id, E);
    return false;
  }
  if (Unapplied_.isCancelled(Spec.Id))
    State_.cancelJob(Spec.Id);
  Unapplied_.remove(Spec.Id);
  return true;
}

void JobRestorer::recordFailure(const std::string &JobId,
                                const std::exception &Error) {
  Log_.logNotApplied(JobId, Error.what());
  setUnapplied(JobId, UnappliedReason::Failure, Error);
}

void JobRestorer::forget(const std::string &JobId) {
  Unapplied_.remove(JobId);
  State_.forgetAwaited(JobId);
}

} // namespace comfreydeck::dispatch
