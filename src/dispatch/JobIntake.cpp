#include "dispatch/JobIntake.h"

#include "dispatch/Clock.h"
#include "dispatch/TableFollower.h"

#include <utility>

namespace comfreydeck::dispatch {

using store::PartAnswer;
using store::PartOutcome;

JobIntake::JobIntake(Context &Ctx, jobs::PoolState &State,
                     const PoolEventLog &Log, UnappliedJobs &Unapplied,
                     JobRestorer &Restorer, PoolHost &Host)
    : Ctx_(Ctx), State_(State), Log_(Log), Unapplied_(Unapplied),
      Restorer_(Restorer), Host_(Host) {}

void JobIntake::begin(std::span<const store::PartRow> JobRows) {
  Begun_ = true;
  for (const store::PartRow &Row : JobRows)
    if (Row.Where.Key.ends_with(rows::CancelSuffix))
      applyJobRow(Row);
  for (const store::PartRow &Row : std::exchange(EarlyRows_, {}))
    applyJobRow(Row);
}

void JobIntake::applyJobRow(const store::PartRow &Row) {
  const std::string &Key = Row.Where.Key;
  if (Row.Removed)
    return;
  if (!Begun_) {
    EarlyRows_.push_back(Row);
    return;
  }
  if (Key.ends_with(rows::CancelSuffix)) {
    std::string_view Suffix(rows::CancelSuffix);
    cancelJob(Key.substr(0, Key.size() - Suffix.size()));
    return;
  }
  if (State_.findJob(Key))
    return;
  std::optional<jobs::JobSpec> Spec = Restorer_.decodeJobRow(Row);
  if (!Spec)
    return;
  if (Spec->Pool != State_.pool()) {
    Restorer_.forget(Key);
    return;
  }
  try {
    addJob(*Spec);
  } catch (const std::exception &E) {
    Restorer_.recordFailure(Key, E);
  }
}

void JobIntake::addJob(const jobs::JobSpec &Spec) {
  // One that could not be applied may have run under an earlier owner.
  bool MayHaveRun = State_.mayHaveDropped(Spec) || Unapplied_.contains(Spec.Id);
  if (MayHaveRun && !State_.findJob(Spec.Id)) {
    lookUp(Spec);
    return;
  }
  State_.addJob(Spec, bootNow());
  Host_.schedulePlan();
}

/// Adds the job once its stored progress has been read. Further jobs that are
/// to be looked up join the same read.
void JobIntake::lookUp(const jobs::JobSpec &Spec) {
  bool IsFirst = LookUps_.empty();
  LookUps_.try_emplace(Spec.Id, LookUp{Spec});
  if (IsFirst)
    Ctx_.Loop.post([this, Keep = Host_.keep()] { readLookedUp(); });
}

void JobIntake::readLookedUp() {
  if (Host_.isDropped())
    return;
  std::vector<std::string> Ids;
  Ids.reserve(LookUps_.size());
  for (const auto &[Id, Waiting] : LookUps_)
    Ids.push_back(Id);
  store::PartRange Range = {rows::Progress, rows::poolPart(State_.pool()),
                            Ids.front(), Ids.back() + "~"};
  readRange(
      Ctx_.Loop, Ctx_.Store, Range,
      [this, Keep = Host_.keep(), Ids = std::move(Ids)](PartAnswer Answer) {
        Ctx_.Loop.post([this, Keep, Ids, Answer = std::move(Answer)] {
          onLookedUpRead(Ids, Answer);
        });
      });
}

void JobIntake::onLookedUpRead(const std::vector<std::string> &Ids,
                               const PartAnswer &Answer) {
  if (Host_.isDropped())
    return;
  if (Answer.Outcome != PartOutcome::Ok) {
    Ctx_.Count.recordRetry("look-up-jobs");
    Log_.logLoadFailure(rows::Progress, Answer, bootNow());
    Ctx_.Loop.after(StoreRetry,
                    [this, Keep = Host_.keep()] { readLookedUp(); });
    return;
  }
  RowsByKey Stored = rowsByKey(Answer.Rows);
  std::size_t Finished = 0;
  for (const std::string &Id : Ids) {
    LookUp Job = std::move(LookUps_.extract(Id).mapped());
    if (Restorer_.restore(Job.Spec, Stored))
      Finished += jobs::isFinal(State_.findJob(Id)->Now) ? 1 : 0;
    if (Job.Cancelled)
      cancelJob(Id);
  }
  Log_.logLookedUp(Ids.size(), Finished, Answer.Version);
  if (!LookUps_.empty())
    readLookedUp();
  Host_.schedulePlan();
}

void JobIntake::cancelJob(const std::string &Id) {
  auto Waiting = LookUps_.find(Id);
  if (Waiting != LookUps_.end())
    Waiting->second.Cancelled = true;
  Unapplied_.cancel(Id);
  State_.cancelJob(Id);
  Host_.schedulePlan();
}

} // namespace comfreydeck::dispatch
