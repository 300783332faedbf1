#include "entry/TaskService.h"

namespace comfreydeck::entry {

namespace {

/// Maximum time that a "not run" answer waits for the release of its key.
constexpr core::Duration MaxReleaseWait = std::chrono::milliseconds(300);
constexpr int OtherWorkStatus = 422;

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

core::RequestOutcome outcomeOf(const TaskResult &Result) {
  core::RequestOutcome Outcome;
  Outcome.Status = Result.Response.Status;
  Outcome.ContentType =
      net::findHeader(Result.Response.Headers, "Content-Type");
  Outcome.Body = Result.Response.Body;
  return Outcome;
}

core::RequestState stateOf(const TaskResult &Result) {
  if (Result.Verdict == core::Verdict::Ran)
    return core::RequestState::Ended;
  if (Result.Verdict == core::Verdict::MayHaveRun)
    return core::RequestState::Unknown;
  return Result.Why == core::Reason::Cancelled ? core::RequestState::Cancelled
                                               : core::RequestState::NotRun;
}

core::ClaimState claimStateOf(core::Verdict V) {
  switch (V) {
  case core::Verdict::Ran:
    return core::ClaimState::Ended;
  case core::Verdict::NotRun:
    return core::ClaimState::NotRun;
  case core::Verdict::MayHaveRun:
    return core::ClaimState::Unresolved;
  }
  return core::ClaimState::Unresolved;
}

} // namespace

TaskService::TaskService(const Context &C, Membership &Members,
                         ConfigStore &Config, PoolService &Pools,
                         const Fleet &Workers)
    : Context_(C), Gate_(C, Members, Config), Writes_(C),
      Claims_(C, Members, Writes_), Unresolved_(C, Writes_),
      Forwarder_(C, Members), Runner_(C, Members, Pools, Workers, Gate_),
      Routes_(C, Gate_, Claims_, Forwarder_, Runner_, Requests_) {}

void TaskService::handle(net::HttpRequest Request, net::HttpResponder Respond) {
  try {
    if (Request.Path.starts_with("/v1/requests"))
      return Routes_.handle(std::move(Request), Respond);
    TaskPtr T = Gate_.admit(std::move(Request), Respond);
    ++InFlight_;
    Context_.Control.post([this, T] { begin(T); });
  } catch (const RequestError &E) {
    Context_.Counters.countRefusal(E.reason());
    Context_.Counters.countAnswer(E.verdict());
    Respond(refusalResponse(E));
  }
}

void TaskService::begin(const TaskPtr &T) {
  if (!T->Idempotent && T->Request.IssuedId)
    return beginIssued(T);
  core::begin(Requests_.Registry, T->Id.Number, T->Owner, T->Fingerprint);
  Requests_.Active[T->Id.Number] = T;
  if (T->Idempotent)
    return execute(T);
  claim(T);
}

void TaskService::beginIssued(const TaskPtr &T) {
  if (T->Id.From != Context_.Self)
    return forward(T);
  if (!Gate_.tagger().isOwn(T->Id))
    return refuse(T, core::Reason::IdNotIssuedHere, core::Verdict::NotRun);
  switch (
      core::take(Requests_.Registry, T->Id.Number, T->Owner, T->Fingerprint)) {
  case core::IdUseDecision::Execute:
    Requests_.Active[T->Id.Number] = T;
    T->Claim.RowKey = ClaimStore::rowKeyOf(T->Id);
    T->Claim.Record = {T->Id, core::ClaimState::Claimed, T->Fingerprint};
    return execute(T);
  case core::IdUseDecision::Repeat:
    return answerFromRecord(T, *core::find(Requests_.Registry, T->Id.Number));
  case core::IdUseDecision::InProgress:
    return refuse(T, core::Reason::DuplicateInProgress,
                  core::Verdict::MayHaveRun);
  case core::IdUseDecision::OtherWork:
    return refuseOtherWork(T);
  case core::IdUseDecision::Cancelled:
    return refuse(T, core::Reason::Cancelled, core::Verdict::NotRun);
  case core::IdUseDecision::Unresolved:
    return refuse(T, core::Reason::OutcomeUnknown, core::Verdict::MayHaveRun);
  case core::IdUseDecision::NotOwner:
    return refuse(T, core::Reason::IdNotIssuedHere, core::Verdict::NotRun);
  }
}

void TaskService::forward(const TaskPtr &T) {
  if (T->Request.Forwarded) {
    net::HttpResponse Response = refusalResponse(
        409, core::Reason::IdNotIssuedHere, core::Verdict::MayHaveRun,
        "the id was issued by another entry");
    Response.Headers.push_back({"Comfreydeck-Not-Issuer", "true"});
    return answer(T, std::move(Response), core::Verdict::MayHaveRun);
  }
  Forwarder_.forward(*T, [this, T](ForwardResult Forwarded) {
    if (Forwarded.IsIssuerGone)
      return onIssuerGone(T);
    // The issuer may still know the outcome, so nothing is recorded here.
    if (!Forwarded.Response)
      return refuse(T, core::Reason::OutcomeUnknown, core::Verdict::MayHaveRun);
    T->Respond(std::move(*Forwarded.Response));
    --InFlight_;
  });
}

void TaskService::onIssuerGone(const TaskPtr &T) {
  Claims_.read(ClaimStore::rowKeyOf(T->Id), [this, T](ClaimResult Found) {
    if (Found.Step == core::ClaimStep::Repeat)
      return answerFromClaim(T, Found.Found);
    recordUnresolved(*T, T->Id, core::Reason::IdNotIssuedHere);
    refuse(T, core::Reason::OutcomeUnknown, core::Verdict::MayHaveRun);
  });
}

void TaskService::claim(const TaskPtr &T) {
  ClaimRequest Request;
  Request.Team = T->Demand.Team;
  Request.Queue = T->Demand.Queue;
  Request.Key = T->Request.IdempotencyKey;
  Request.Request = T->Id;
  Request.Fingerprint = T->Fingerprint;
  Claims_.claim(Request, [this, T](ClaimResult Result) {
    onClaimed(T, std::move(Result));
  });
}

void TaskService::onClaimed(const TaskPtr &T, ClaimResult Result) {
  if (Result.Step == core::ClaimStep::Execute) {
    T->Claim = std::move(Result.Held);
    return execute(T);
  }
  Requests_.Active.erase(T->Id.Number);
  core::setState(Requests_.Registry, T->Id.Number, core::RequestState::NotRun);
  switch (Result.Step) {
  case core::ClaimStep::Repeat:
    return answerFromClaim(T, Result.Found);
  case core::ClaimStep::InProgress:
    if (Result.Found.Record.Request.From == Context_.Self)
      return onOwnClaim(T, Result.Found.Record);
    return refuse(T, core::Reason::DuplicateInProgress,
                  core::Verdict::MayHaveRun);
  case core::ClaimStep::OtherWork:
    return refuseOtherWork(T);
  case core::ClaimStep::Unresolved:
    T->Claim.RowKey = Result.Held.RowKey;
    if (Result.Found.Record.State == core::ClaimState::Claimed)
      recordUnresolved(*T, Result.Found.Record.Request,
                       core::Reason::OutcomeUnknown);
    return refuse(T, core::Reason::OutcomeUnknown, core::Verdict::MayHaveRun);
  default:
    // The row can't be read; an earlier request with this key may have run.
    return refuse(T, core::Reason::StoreUnavailable, core::Verdict::MayHaveRun);
  }
}

/// The row names a request of this entry as the holder of the key, and the
/// entry's own record of that request is more recent than the row.
void TaskService::onOwnClaim(const TaskPtr &T, const core::ClaimRecord &Found) {
  const core::RequestRecord *Record =
      core::find(Requests_.Registry, Found.Request.Number);
  if (!Record || Record->State == core::RequestState::Unknown)
    return refuse(T, core::Reason::OutcomeUnknown, core::Verdict::MayHaveRun);
  if (Record->State == core::RequestState::Ended)
    return answerFromRecord(T, *Record);
  refuse(T, core::Reason::DuplicateInProgress, core::Verdict::MayHaveRun);
}

void TaskService::execute(const TaskPtr &T) {
  Runner_.run(T,
              [this, T](TaskResult Result) { onResult(T, std::move(Result)); });
}

void TaskService::onResult(const TaskPtr &T, TaskResult Result) {
  core::RequestOutcome Outcome;
  if (Result.Verdict == core::Verdict::Ran)
    Outcome = outcomeOf(Result);
  if (T->Idempotent) {
    Outcome.Body.clear();
    Outcome.BodyDropped = true;
  }
  core::setState(Requests_.Registry, T->Id.Number, stateOf(Result),
                 std::move(Outcome));
  Requests_.Active.erase(T->Id.Number);
  if (Result.Why != core::Reason::None)
    Context_.Counters.countRefusal(Result.Why);
  auto Respond = [this, T, Result, IsAnswered = std::make_shared<bool>(false)] {
    if (std::exchange(*IsAnswered, true))
      return;
    answer(T, answerOf(T->Id, Result), Result.Verdict);
  };
  if (T->Idempotent)
    return Respond();
  // A caller may retry right after a "not run" answer, so the key is released
  // first.
  bool AwaitsRelease =
      Result.Verdict == core::Verdict::NotRun && !T->Request.IssuedId;
  storeOutcome(
      T, Result, AwaitsRelease ? std::function<void()>(Respond) : [] {});
  if (AwaitsRelease)
    Context_.Control.after(MaxReleaseWait, Respond);
  else
    Respond();
}

void TaskService::storeOutcome(const TaskPtr &T, const TaskResult &Result,
                               std::function<void()> Done) {
  bool IsIssued = T->Request.IssuedId.has_value();
  if (IsIssued && Result.Verdict == core::Verdict::NotRun)
    return;
  core::RequestOutcome Outcome;
  if (Result.Verdict == core::Verdict::Ran)
    Outcome = outcomeOf(Result);
  Claims_.end(T->Claim, claimStateOf(Result.Verdict), std::move(Outcome),
              std::move(Done));
  if (Result.Verdict == core::Verdict::MayHaveRun)
    recordUnresolved(*T, T->Id, Result.Why);
}

void TaskService::recordUnresolved(const Task &T, const core::RequestId &Id,
                                   core::Reason Why) {
  codec::UnresolvedRow Row;
  Row.Request = Id;
  Row.Team = T.TeamName;
  Row.Queue = T.Request.Queue;
  Row.Reason = nameOf(Why);
  Row.Worker = T.WorkerAddress;
  Row.AtUnixMs = unixMs();
  Row.ClaimKey = T.Claim.RowKey;
  Unresolved_.record(std::move(Row));
}

void TaskService::answerFromClaim(const TaskPtr &T,
                                  const codec::ClaimRow &Row) {
  Claims_.fetchBody(Row, [this, T, Row](std::optional<std::string> Body) {
    answer(T, repeatedAnswer(Row.Record.Request, Row.Outcome, std::move(Body)),
           core::Verdict::Ran);
  });
}

void TaskService::answerFromRecord(const TaskPtr &T,
                                   const core::RequestRecord &Record) {
  std::optional<std::string> Body;
  if (!Record.Outcome.BodyDropped)
    Body = Record.Outcome.Body;
  answer(T, repeatedAnswer(T->Id, Record.Outcome, std::move(Body)),
         core::Verdict::Ran);
}

void TaskService::refuse(const TaskPtr &T, core::Reason Why, core::Verdict V) {
  Context_.Counters.countRefusal(Why);
  TaskResult Result;
  Result.Verdict = V;
  Result.Why = Why;
  answer(T, answerOf(T->Id, std::move(Result)), V);
}

void TaskService::refuseOtherWork(const TaskPtr &T) {
  Context_.Counters.countRefusal(core::Reason::KeyUsedForOtherWork);
  answer(T,
         refusalResponse(OtherWorkStatus, core::Reason::KeyUsedForOtherWork,
                         core::Verdict::NotRun,
                         "the key or id was already used with another body"),
         core::Verdict::NotRun);
}

void TaskService::answer(const TaskPtr &T, net::HttpResponse Response,
                         core::Verdict V) {
  Context_.Counters.countAnswer(V);
  T->Respond(std::move(Response));
  --InFlight_;
}

} // namespace comfreydeck::entry
