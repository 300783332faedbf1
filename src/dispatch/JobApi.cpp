#include "dispatch/JobApi.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;
using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Time kept in reserve before the revocation bound of a key: for the transfer
/// of the answer and the start of the work.
constexpr milliseconds RevocationMargin(700);
/// An answer is sent this long before its caller's deadline.
constexpr milliseconds AnswerMargin(150);
constexpr milliseconds StoreTimeout(900);
/// Time limit of a repeated write of a job: longer, so that an outage costs no
/// more calls for the early repetition.
constexpr milliseconds RepeatTimeout(1440);
constexpr milliseconds StoreRetry(60);
/// How long a job may wait until it is known whether a machine could run it, at
/// most a third of the caller's time; it is accepted then.
constexpr milliseconds KindsLimit(800);
/// Retry-After of a refusal, in seconds.
constexpr const char *RetryAfterS = "1";

constexpr int StatusOk = 200;
constexpr int StatusBad = 400;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
constexpr int StatusTooLarge = 413;
constexpr int StatusUnavailable = 503;
constexpr int StatusUnknown = 504;

const char *nameOf(CallKind Kind) {
  switch (Kind) {
  case CallKind::Submit:
    return "submit";
  case CallKind::ReadState:
    return "state";
  case CallKind::Cancel:
    return "cancel";
  case CallKind::CountPending:
    return "pending";
  }
  return "";
}

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

/// A caller's call in progress.
struct JobApi::Call {
  CallerCall Asked;
  net::HttpResponder Respond;
  core::TimePoint ReceivedAt;
  const jobs::Queue *Queue = nullptr;
  /// Keeps \ref Queue alive.
  std::shared_ptr<const jobs::FleetConfig> Config;
  std::string Team;
  std::string JobId;
  jobs::JobSpec Spec;
  /// Why the job is invalid; empty if it is valid.
  std::string JobFault;
  /// Attempts to store the job.
  RepeatedWrite Attempts;
  /// An attempt to store the cancellation was not answered and may have
  /// applied.
  bool CancelUnsure = false;
};

JobApi::JobApi(Context &Ctx, FleetView &View, Peers &PeerCalls)
    : Ctx_(Ctx), View_(View), Peers_(PeerCalls), Kinds_(Ctx, View) {}

void JobApi::receive(const net::HttpRequest &Request,
                     net::HttpResponder Respond) {
  auto C = std::make_shared<Call>();
  C->ReceivedAt = bootNow();
  C->Respond = std::move(Respond);
  try {
    C->Asked = Ctx_.Codec.Decode(Request);
  } catch (const std::exception &) {
    Ctx_.Loop.post([this, C] { refuse(C, StatusBad, "malformed-request"); });
    return;
  }
  if (C->Asked.Kind == CallKind::Submit) {
    try {
      Ctx_.Codec.Job(C->Asked.Body, C->Spec);
    } catch (const std::exception &E) {
      C->JobFault = E.what();
    }
  }
  Ctx_.Loop.post([this, C] {
    try {
      handle(C);
    } catch (const std::exception &E) {
      // Whether the call has had an effect is not known here.
      logEvent("call_failed", {{"job", C->JobId}, {"error", E.what()}});
      refuse(C, StatusUnknown, "internal-error");
    }
  });
}

bool JobApi::isCurrent() const {
  return View_.config() && bootNow() - View_.configCurrentAt() <
                               Ctx_.Settings.Revocation - RevocationMargin;
}

/// Checks the route, the key and the age of the configuration.
bool JobApi::admit(const CallPtr &C) {
  C->Config = View_.config();
  if (!C->Config) {
    refuse(C, StatusUnavailable, "no-configuration");
    return false;
  }
  C->Queue = jobs::findQueue(*C->Config, C->Asked.Host, C->Asked.Path);
  if (!C->Queue) {
    refuse(C, StatusNotFound, "unknown-queue");
    return false;
  }
  C->JobId = C->Asked.Path.substr(C->Queue->PathPrefix.size());
  if (C->Queue->OpenToAll)
    return true;
  if (!isCurrent()) {
    refuse(C, StatusUnavailable, "not-current");
    return false;
  }
  auto Key = C->Config->Keys.find(C->Asked.Key);
  if (Key == C->Config->Keys.end()) {
    refuse(C, StatusUnauthorized, "unknown-key");
    return false;
  }
  C->Team = Key->second;
  return true;
}

void JobApi::handle(const CallPtr &C) {
  if (!admit(C))
    return;
  bool NamesQueue = C->JobId.empty();
  switch (C->Asked.Kind) {
  case CallKind::Submit:
    submit(C);
    return;
  case CallKind::Cancel:
    if (NamesQueue)
      refuse(C, StatusBad, "malformed-request");
    else
      cancel(C);
    return;
  case CallKind::ReadState:
  case CallKind::CountPending:
    if (NamesQueue)
      countPending(C);
    else
      readState(C);
    return;
  }
}

// Submitting jobs.

void JobApi::submit(const CallPtr &C) {
  if (C->Asked.Body.size() > C->Config->MaxBodyBytes) {
    refuse(C, StatusTooLarge, "body-too-large");
    return;
  }
  jobs::JobSpec &Spec = C->Spec;
  Spec.Id = C->JobId;
  Spec.Queue = C->Queue->Name;
  Spec.Pool = C->Queue->Pool;
  Spec.Team = C->Team;
  Spec.AcceptedMs = wallMs();
  Spec.MaxAttempts = C->Queue->MaxAttempts;
  Spec.Priority = C->Queue->Priority;
  Spec.SlackFactor = C->Queue->SlackFactor;
  Spec.TargetMs = C->Queue->TargetMs;
  if (C->JobFault.empty())
    C->JobFault = jobs::validationError(Spec);
  if (!C->JobFault.empty()) {
    logEvent("job_rejected", {{"job", Spec.Id}, {"error", C->JobFault}});
    refuse(C, StatusBad, "malformed-job");
    return;
  }
  core::Duration Limit = storeTimeout(C, KindsLimit * 3) / 3;
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
void JobApi::refuseUnserved(const CallPtr &C, const UnservedStep &Step) {
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
      refuse(C, StatusBad, "no-machine-for-job", Step.Detail);
    });
  });
}

/// Sends the next attempt to store the job. Only one of them can apply, since
/// the row must be absent.
void JobApi::store(const CallPtr &C) {
  store::PartTransaction T;
  store::PartKey Key = {rows::Jobs, rows::jobPart(C->Spec.Id), C->Spec.Id};
  T.Conditions.push_back({Key, 0});
  T.Puts.push_back({Key, codec::encodeJobWithoutPayload(C->Spec)});
  T.Puts.push_back({{rows::Payloads, Key.Part, Key.Key}, C->Spec.Payload});
  recordAttempt(C->Attempts);
  bool IsFirst = C->Attempts.Sent == 1;
  core::TimePoint SentAt = bootNow();
  Ctx_.Store.commit(
      std::move(T), storeTimeout(C, IsFirst ? StoreTimeout : RepeatTimeout),
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
void JobApi::repeatStore(const CallPtr &C, core::Duration Pause,
                         bool BesideOpen) {
  Ctx_.Loop.after(Pause, [this, C, BesideOpen, Sent = C->Attempts.Sent] {
    if (!mayRepeat(C->Attempts, Sent, BesideOpen) ||
        (BesideOpen && !isTimeLeft(C)))
      return;
    Ctx_.Count.recordRetry("store-job");
    store(C);
  });
}

/// Time limit of a store write on behalf of the call.
core::Duration JobApi::storeTimeout(const CallPtr &C,
                                    core::Duration Limit) const {
  core::Duration Left =
      C->ReceivedAt + C->Asked.Deadline - AnswerMargin - bootNow();
  return std::clamp<core::Duration>(Left, StoreRetry, Limit);
}

/// Whether a retry can be answered before the caller's deadline.
bool JobApi::isTimeLeft(const CallPtr &C) const {
  core::TimePoint Until = C->ReceivedAt + C->Asked.Deadline - AnswerMargin;
  return bootNow() + StoreRetry < Until;
}

void JobApi::onJobStored(const CallPtr &C, const PartAnswer &Answer,
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
    answer(C, StatusOk, "{}");
    return;
  }
  if (!C->Attempts.Unsure) {
    refuse(C, StatusUnavailable, "store-unavailable");
    return;
  }
  // The unanswered attempt may have been stored; only a retry that is answered
  // can tell.
  if (!isTimeLeft(C)) {
    refuse(C, StatusUnknown, "outcome-unknown");
    return;
  }
  repeatStore(C, StoreRetry, false);
}

// Job states.

void JobApi::readState(const CallPtr &C) {
  Peers_.askState(C->Queue->Pool, C->JobId, [this, C](OwnerAnswer Answer) {
    if (Answer.Known)
      answer(C, StatusOk, Ctx_.Codec.State(Answer.State));
    else
      readStored(C);
  });
}

/// Falls back to the store: the owner doesn't know the job or can't be reached.
void JobApi::readStored(const CallPtr &C) {
  findPool(C, [this, C](const std::string &Pool) { readProgress(C, Pool); });
}

/// Reads the job's row and passes its pool to \p Found; refuses the call if
/// there is no row. What else the row says need not be known to this version of
/// the program.
void JobApi::findPool(const CallPtr &C,
                      std::function<void(const std::string &)> Found) {
  store::PartRange Range = {rows::Jobs, rows::jobPart(C->JobId), C->JobId,
                            C->JobId + "~"};
  Ctx_.Store.read(Range, [this, C, Found = std::move(Found)](PartAnswer A) {
    Ctx_.Loop.post([this, C, Found, Answer = std::move(A)] {
      if (Answer.Outcome != PartOutcome::Ok) {
        refuse(C, StatusUnavailable, "store-unavailable");
        return;
      }
      for (const store::PartRow &Row : Answer.Rows) {
        if (Row.Where.Key != C->JobId)
          continue;
        try {
          std::string Named(codec::poolOf(Row.Value));
          Found(Named.empty() ? codec::decodeJob(Row.Value).Pool : Named);
        } catch (const std::exception &E) {
          logEvent("job_row_unreadable",
                   {{"job", C->JobId}, {"error", E.what()}});
          refuse(C, StatusUnavailable, "job-row-unreadable");
        }
        return;
      }
      refuse(C, StatusGone, "unknown-job");
    });
  });
}

void JobApi::readProgress(const CallPtr &C, const std::string &Pool) {
  store::PartRange Range = {rows::Progress, rows::poolPart(Pool), C->JobId,
                            C->JobId + "~"};
  Ctx_.Store.read(Range, [this, C](PartAnswer Answer) {
    Ctx_.Loop.post([this, C, Answer = std::move(Answer)] {
      if (Answer.Outcome != PartOutcome::Ok) {
        refuse(C, StatusUnavailable, "store-unavailable");
        return;
      }
      jobs::JobState State = jobs::JobState::Queued;
      try {
        for (const store::PartRow &Row : Answer.Rows)
          if (Row.Where.Key == C->JobId)
            State = codec::decodeProgressState(Row.Value);
      } catch (const std::exception &E) {
        logEvent("progress_row_unreadable",
                 {{"job", C->JobId}, {"error", E.what()}});
        refuse(C, StatusUnavailable, "progress-row-unreadable");
        return;
      }
      answer(C, StatusOk, Ctx_.Codec.State(State));
    });
  });
}

void JobApi::countPending(const CallPtr &C) {
  Peers_.askPending(C->Queue->Pool, C->Queue->Name,
                    [this, C](OwnerAnswer Answer) {
                      if (Answer.Answered)
                        answer(C, StatusOk, Ctx_.Codec.Pending(Answer.Pending));
                      else
                        refuse(C, StatusUnavailable, "no-owner");
                    });
}

// Cancelling.

void JobApi::cancel(const CallPtr &C) {
  findPool(C, [this, C](const std::string &Pool) {
    C->Spec.Id = C->JobId;
    C->Spec.Pool = Pool;
    storeCancel(C);
  });
}

void JobApi::storeCancel(const CallPtr &C) {
  store::PartTransaction T;
  const jobs::JobSpec &Spec = C->Spec;
  T.Puts.push_back(
      {{rows::Jobs, rows::jobPart(Spec.Id), Spec.Id + rows::CancelSuffix}, ""});
  Ctx_.Store.commit(std::move(T), storeTimeout(C, StoreTimeout),
                    [this, C](PartAnswer A) {
                      Ctx_.Loop.post([this, C, Outcome = A.Outcome] {
                        onCancelStored(C, Outcome);
                      });
                    });
}

void JobApi::onCancelStored(const CallPtr &C, PartOutcome Outcome) {
  if (Outcome == PartOutcome::Ok) {
    logEvent("job_cancelled", {{"job", C->JobId}, {"pool", C->Spec.Pool}});
    Peers_.pushCancel(C->Spec.Pool, C->JobId);
    answer(C, StatusOk, "{}");
    return;
  }
  C->CancelUnsure = C->CancelUnsure || Outcome == PartOutcome::Unknown;
  if (!C->CancelUnsure) {
    refuse(C, StatusUnavailable, "store-unavailable");
    return;
  }
  // Writing the same row again is harmless, whether or not the unanswered
  // attempt applied.
  if (!isTimeLeft(C)) {
    refuse(C, StatusUnknown, "outcome-unknown");
    return;
  }
  Ctx_.Count.recordRetry("store-cancel");
  Ctx_.Loop.after(StoreRetry, [this, C] { storeCancel(C); });
}

// Answers.

void JobApi::answer(const CallPtr &C, int Status, std::string Body) {
  const char *Name = nameOf(C->Asked.Kind);
  Ctx_.Count.recordAnswer(Name, Status, "");
  std::chrono::duration<double> Took = bootNow() - C->ReceivedAt;
  Ctx_.Count.recordLatency(Name, Took.count());
  C->Respond(net::jsonResponse(Status, std::move(Body)));
}

/// \p Detail is for the caller and not logged.
void JobApi::refuse(const CallPtr &C, int Status, const char *Reason,
                    const std::string &Detail) {
  const char *Name = nameOf(C->Asked.Kind);
  Ctx_.Count.recordAnswer(Name, Status, Reason);
  auto AgeMs = std::chrono::duration_cast<milliseconds>(
      bootNow() - View_.configCurrentAt());
  if (Status != StatusGone)
    logEvent("call_refused", {{"call", Name},
                              {"job", C->JobId},
                              {"status", Status},
                              {"reason", Reason},
                              {"config_age_ms", AgeMs.count()}});
  nlohmann::json Body = {{"error", Reason}};
  if (!Detail.empty())
    Body["detail"] = Detail;
  net::HttpResponse Response = net::jsonResponse(
      Status,
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (Status == StatusUnavailable)
    Response.Headers.push_back({"Retry-After", RetryAfterS});
  C->Respond(std::move(Response));
}

} // namespace comfreydeck::dispatch
