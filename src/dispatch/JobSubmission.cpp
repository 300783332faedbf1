#include "dispatch/JobSubmission.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;
using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Time limit of a repeated write of a job: longer, so that an outage costs no
/// more calls for the early repetition.
constexpr milliseconds RepeatTimeout(1440);
/// How long a job may wait until it is known whether a machine could run it, at
/// most a third of the caller's time; it is accepted then.
constexpr milliseconds KindsLimit(800);

/// Whether the rows include the job as it was accepted by the call that made
/// \p Spec.
bool isStored(const jobs::JobSpec &Spec,
              const std::vector<store::PartRow> &Rows) {
  for (const store::PartRow &Row : Rows) {
    if (Row.Where.Key != Spec.Id)
      continue;
    try {
      return codec::decodeJob(Row.Value).AcceptedMs == Spec.AcceptedMs;
    } catch (const std::exception &E) {
      logEvent("job_row_unreadable", {{"job", Spec.Id}, {"error", E.what()}});
    }
  }
  return false;
}

} // namespace

JobSubmission::JobSubmission(Context &Ctx, FleetView &View, Peers &PeerCalls,
                             CallAnswers &Answers)
    : Ctx_(Ctx), Peers_(PeerCalls), Answers_(Answers), Kinds_(Ctx, View) {}

void JobSubmission::submit(const JobCallPtr &C) {
  if (C->Asked.Body.size() > C->Config->MaxBodyBytes) {
    Answers_.refuse(*C, status::TooLarge, "body-too-large");
    return;
  }
  jobs::JobSpec &Spec = C->Spec;
  Spec.Id = C->JobId;
  Spec.Queue = C->Queue->Name;
  Spec.Pool = C->Queue->Pool;
  Spec.Team = C->Team;
  Spec.AcceptedMs = Ctx_.Clock.nowMs();
  Spec.MaxAttempts = C->Queue->MaxAttempts;
  Spec.Priority = C->Queue->Priority;
  Spec.SlackFactor = C->Queue->SlackFactor;
  Spec.TargetMs = C->Queue->TargetMs;
  if (C->JobFault.empty())
    C->JobFault = jobs::validationError(Spec);
  if (!C->JobFault.empty()) {
    logEvent("job_rejected", {{"job", Spec.Id}, {"error", C->JobFault}});
    Answers_.refuse(*C, status::Bad, "malformed-job");
    return;
  }
  core::Duration Limit = storeTimeout(*C, KindsLimit * 3) / 3;
  Kinds_.check(Spec, Limit,
               [this, C](const std::optional<UnservedStep> &Unserved) {
                 if (Unserved)
                   refuseUnserved(C, *Unserved);
                 else
                   store(C);
               });
}

/// Refuses a job that no machine could run, unless an earlier call without an
/// answer has stored it.
void JobSubmission::refuseUnserved(const JobCallPtr &C,
                                   const UnservedStep &Step) {
  store::PartRange Range = {rows::Jobs, rows::jobPart(C->JobId), C->JobId,
                            C->JobId + "~"};
  Ctx_.Store.read(Range, [this, C, Step](PartAnswer A) {
    Ctx_.Loop.post([this, C, Step, Answer = std::move(A)] {
      if (Answer.Outcome != PartOutcome::Ok || !Answer.Rows.empty()) {
        store(C);
        return;
      }
      logEvent("job_unserved",
               {{"job", C->JobId},
                {"queue", C->Spec.Queue},
                {"pool", C->Spec.Pool},
                {"step", Step.Step},
                {"missing", Step.IsLabelMissing ? "label" : "capacity"},
                {"cpu", Step.Need.MilliCpus},
                {"memory_mb", Step.Need.MemoryMb},
                {"accelerators", Step.Need.Accelerators}});
      Answers_.refuse(*C, status::Bad, "no-machine-for-job", Step.Detail);
    });
  });
}

/// Sends the next attempt to store the job. Only one of them can apply, since
/// the row must be absent.
void JobSubmission::store(const JobCallPtr &C) {
  store::PartTransaction T;
  store::PartKey Key = {rows::Jobs, rows::jobPart(C->Spec.Id), C->Spec.Id};
  T.Conditions.push_back({Key, 0});
  T.Puts.push_back({Key, codec::encodeJobWithoutPayload(C->Spec)});
  T.Puts.push_back({{rows::Payloads, Key.Part, Key.Key}, C->Spec.Payload});
  recordAttempt(C->Attempts);
  bool IsFirst = C->Attempts.Sent == 1;
  core::TimePoint SentAt = bootNow();
  Ctx_.Store.commit(
      std::move(T),
      storeTimeout(*C, IsFirst ? CallStoreTimeout : RepeatTimeout),
      [this, C, SentAt](PartAnswer Answer) {
        Ctx_.Loop.post([this, C, SentAt, Answer = std::move(Answer)] {
          onJobStored(C, Answer, bootNow() - SentAt);
        });
      });
  std::optional<core::Duration> Pause =
      pauseBeforeRepeat(StorePace_, C->Attempts.Sent);
  if (IsFirst && Pause)
    repeatStore(C, *Pause, true);
}

/// Sends the next attempt after the pause if \ref mayRepeat allows it then.
void JobSubmission::repeatStore(const JobCallPtr &C, core::Duration Pause,
                                bool BesideOpen) {
  Ctx_.Loop.after(Pause, [this, C, BesideOpen, Sent = C->Attempts.Sent] {
    if (!mayRepeat(C->Attempts, Sent, BesideOpen) ||
        (BesideOpen && !isTimeLeft(*C)))
      return;
    Ctx_.Count.recordRetry("store-job");
    store(C);
  });
}

void JobSubmission::onJobStored(const JobCallPtr &C, const PartAnswer &Answer,
                                core::Duration Took) {
  bool Accepted = Answer.Outcome == PartOutcome::Ok ||
                  Answer.Outcome == PartOutcome::Conflict;
  if (Accepted)
    recordAnswer(StorePace_, Took);
  bool Again = C->Attempts.Sent > 1;
  WriteStep Step = takeAnswer(C->Attempts, Answer.Outcome, false);
  if (Step == WriteStep::Ignore || Step == WriteStep::Wait)
    return;
  if (Accepted) {
    // An existing row means that the same job was submitted before, possibly
    // long ago: it is new to the owner only if an unanswered attempt of this
    // call has stored it.
    bool IsNew = Answer.Outcome == PartOutcome::Ok ||
                 (Again && isStored(C->Spec, Answer.Rows));
    if (IsNew)
      Peers_.pushJob(C->Spec);
    logEvent("job_accepted", {{"job", C->Spec.Id},
                              {"pool", C->Spec.Pool},
                              {"queue", C->Spec.Queue},
                              {"config", C->Config->Version},
                              {"row_version", Answer.Version}});
    Answers_.answer(*C, status::Ok, "{}");
    return;
  }
  if (!C->Attempts.Unsure) {
    Answers_.refuse(*C, status::Unavailable, "store-unavailable");
    return;
  }
  // The unanswered attempt may have been stored; only a retry that is answered
  // can tell.
  if (!isTimeLeft(*C)) {
    Answers_.refuse(*C, status::Unknown, "outcome-unknown");
    return;
  }
  repeatStore(C, CallStoreRetry, false);
}

} // namespace comfreydeck::dispatch
