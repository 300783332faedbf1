#include "dispatch/UnappliedReader.h"

#include "dispatch/Clock.h"
#include "dispatch/TableFollower.h"

namespace comfreydeck::dispatch {

using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Jobs whose rows are read again at a time, and the pause between two times.
constexpr std::size_t MaxReads = 4;
constexpr std::chrono::milliseconds ReadPause(250);

} // namespace

UnappliedReader::UnappliedReader(Context &Ctx, const jobs::PoolState &State,
                                 const PoolEventLog &Log,
                                 UnappliedJobs &Unapplied,
                                 JobRestorer &Restorer, PoolHost &Host)
    : Ctx_(Ctx), State_(State), Log_(Log), Unapplied_(Unapplied),
      Restorer_(Restorer), Host_(Host) {}

void UnappliedReader::readDue(core::TimePoint Now) {
  if (Now < NextReadAt_)
    return;
  for (const std::string &Id : Unapplied_.takeDue(Now, MaxReads)) {
    NextReadAt_ = Now + ReadPause;
    const jobs::JobRecord *Known = State_.findJob(Id);
    Ctx_.Count.recordRetry("read-unapplied-job");
    if (Known && Known->ProgressUnread)
      readProgress(Known->Spec);
    else
      readJobRow(Id);
  }
}

void UnappliedReader::readJobRow(const std::string &JobId) {
  store::PartRange Range = {rows::Jobs, rows::jobPart(JobId), JobId,
                            JobId + "~"};
  readRange(Ctx_.Loop, Ctx_.Store, Range,
            [this, Keep = Host_.keep(), JobId](PartAnswer Answer) {
              Ctx_.Loop.post([this, Keep, JobId, Answer = std::move(Answer)] {
                onJobRowRead(JobId, Answer);
              });
            });
}

void UnappliedReader::onJobRowRead(const std::string &JobId,
                                   const PartAnswer &Answer) {
  if (Host_.isDropped() || !Unapplied_.contains(JobId))
    return;
  std::optional<jobs::JobSpec> Spec;
  bool IsFound = false;
  for (const store::PartRow &Row : Answer.Rows) {
    if (Row.Where.Key == JobId + rows::CancelSuffix)
      Unapplied_.cancel(JobId);
    if (Row.Where.Key != JobId)
      continue;
    IsFound = true;
    Spec = Restorer_.decodeJobRow(Row);
  }
  if (Spec && Spec->Pool == State_.pool())
    readProgress(*Spec);
  else if (Spec)
    Restorer_.forget(JobId);
  else if (!IsFound)
    Unapplied_.postpone(JobId, bootNow());
}

void UnappliedReader::readProgress(const jobs::JobSpec &Spec) {
  store::PartRange Range = {rows::Progress, rows::poolPart(State_.pool()),
                            Spec.Id, Spec.Id + "~"};
  readRange(Ctx_.Loop, Ctx_.Store, Range,
            [this, Keep = Host_.keep(), Spec](PartAnswer Answer) {
              Ctx_.Loop.post([this, Keep, Spec, Answer = std::move(Answer)] {
                onProgressRead(Spec, Answer);
              });
            });
}

void UnappliedReader::onProgressRead(const jobs::JobSpec &Spec,
                                     const PartAnswer &Answer) {
  if (Host_.isDropped() || !Unapplied_.contains(Spec.Id))
    return;
  if (Answer.Outcome != PartOutcome::Ok) {
    Unapplied_.postpone(Spec.Id, bootNow());
    return;
  }
  if (Restorer_.restore(Spec, rowsByKey(Answer.Rows)))
    Log_.logAppliedLate(Spec.Id);
  Host_.schedulePlan();
}

} // namespace comfreydeck::dispatch
