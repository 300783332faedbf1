#include "entry/TaskRunner.h"

#include "core/Names.h"
#include "net/TaskAnswer.h"

namespace comfreydeck::entry {

namespace {

constexpr int FirstServerError = 500;
constexpr core::Duration OwnerRetryDelay = std::chrono::milliseconds(100);
constexpr core::Duration StopRetryDelay = std::chrono::milliseconds(200);
constexpr core::Duration StopLimit = std::chrono::seconds(2);

std::uint64_t inMs(core::Duration D) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(D).count());
}

} // namespace

TaskRunner::TaskRunner(const Context &C, Membership &Members,
                       PoolService &Pools, const Fleet &Workers, TaskGate &Gate)
    : Context_(C), Members_(Members), Pools_(Pools), Workers_(Workers),
      Gate_(Gate) {}

void TaskRunner::run(const TaskPtr &T, Done Finish) {
  auto R = std::make_shared<Run>(Run{T, std::move(Finish)});
  Runs_[T.get()] = R;
  T->Attempts = 0;
  core::RetryBudget Full = core::fullBudget(Retries_);
  core::earn(TeamBudgets_.try_emplace(T->Demand.Team, Full).first->second,
             Retries_);
  core::earn(PoolBudgets_.try_emplace(T->Pool, Full).first->second, Retries_);
  core::TimePoint Now = net::now();
  core::WaitWindow &Waits = Waits_[{T->Pool, T->Demand.Team, T->Demand.Urgent}];
  core::Duration Wait = core::retryDelayIfUnreachable(
      Waits, *T->Demand.Deadline - Now, T->Request.Run, Now, Admission_);
  if (Wait.count() > 0)
    return refuse(R, core::Reason::DeadlineUnreachable, core::Verdict::NotRun,
                  Wait);
  acquire(R);
}

void TaskRunner::acquire(const RunPtr &R) {
  Task &T = *R->T;
  if (T.CancelAsked)
    return refuse(R, core::Reason::Cancelled, core::Verdict::NotRun);
  ++T.Attempts;
  T.IsSent = false;
  T.Asked = net::now();
  T.Demand.Id = {Context_.Self, Gate_.nextNumber()};
  core::DemandId Asked = T.Demand.Id;
  Pools_.acquire(T.Pool, T.Demand,
                 [this, R, Asked](const AcquireResult &Result) {
                   onAcquired(R, Asked, Result);
                 });
}

void TaskRunner::onAcquired(const RunPtr &R, core::DemandId Asked,
                            const AcquireResult &Result) {
  Task &T = *R->T;
  bool IsGrant = Result.Refused == core::Reason::None;
  bool IsLate = R->IsFinished || T.Demand.Id != Asked;
  if (IsLate) {
    // The run has been cancelled; release the slot.
    if (IsGrant)
      Pools_.release(T.Pool, Asked, {});
    return;
  }
  core::TimePoint Now = net::now();
  if (Result.Refused == core::Reason::NoOwner) {
    // The owner's answer may have been lost, and with it a grant.
    Pools_.release(T.Pool, Asked, {});
    if (Now + OwnerRetryDelay >= *T.Demand.Deadline)
      return refuse(R, Result.Refused, core::Verdict::NotRun);
    --T.Attempts;
    return Context_.Control.after(OwnerRetryDelay, [this, R] {
      if (!R->IsFinished)
        acquire(R);
    });
  }
  if (!IsGrant)
    return refuse(R, Result.Refused, core::Verdict::NotRun);
  core::recordWait(Waits_[{T.Pool, T.Demand.Team, T.Demand.Urgent}],
                   Now - T.Asked, Now, Admission_);
  core::Reason Why = checkBeforeStart(T, Result);
  if (Why == core::Reason::None)
    return start(R, Result);
  Pools_.release(T.Pool, Asked, {});
  bool IsTransient = Why == core::Reason::NoWorker;
  if (IsTransient && mayRetry(T, core::Verdict::NotRun, Why)) {
    T.Demand.Avoid = Result.Worker;
    return acquire(R);
  }
  refuse(R, Why, core::Verdict::NotRun);
}

/// Checks every condition again right before the start, because any of them may
/// have changed while the demand waited.
core::Reason TaskRunner::checkBeforeStart(const Task &T,
                                          const AcquireResult &Result) const {
  core::TimePoint Now = net::now();
  if (T.CancelAsked)
    return core::Reason::Cancelled;
  if (*T.Demand.Deadline <= Now)
    return core::Reason::DeadlinePassed;
  if (!Members_.isCurrent(Now))
    return core::Reason::NotCurrent;
  if (!Gate_.isStillAllowed(T))
    return core::Reason::UnknownKey;
  const core::Instance *I = Workers_.find(Result.Worker);
  if (Now >= Result.SendBy || (I && !Gate_.mayStartIn(I->DataCentre)))
    return core::Reason::NoWorker;
  return core::Reason::None;
}

net::HttpCall TaskRunner::buildStartCall(const Task &T,
                                         const AcquireResult &Result) const {
  net::HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + Result.WorkerAddress + "/v1/tasks";
  Call.Headers = {
      {"Task-Id", core::nameOf(T.Demand.Id)},
      {"Task-Request", core::nameOf(T.Id)},
      {"Task-Team", T.TeamName},
      {"Task-Queue", T.Request.Queue},
      {"Task-Not-After-Ms", std::to_string(Result.NotAfterWorkerMs)},
      {"Content-Type", T.Request.ContentType}};
  if (T.Request.Run.count() > 0)
    Call.Headers.push_back(
        {"Task-Run-Ms", std::to_string(inMs(T.Request.Run))});
  Call.Body = T.Request.Body;
  Call.TotalLimit = *T.Demand.Deadline - net::now();
  Call.OwnConnection = true;
  return Call;
}

void TaskRunner::start(const RunPtr &R, const AcquireResult &Result) {
  Task &T = *R->T;
  T.Worker = Result.Worker;
  T.WorkerAddress = Result.WorkerAddress;
  T.SentAt = net::now();
  T.IsSent = true;
  Context_.Workers.send(
      buildStartCall(T, Result), [this, R](net::HttpResult Ended) {
        Context_.Control.post([this, R, Ended = std::move(Ended)]() mutable {
          onExchange(R, std::move(Ended));
        });
      });
}

void TaskRunner::onExchange(const RunPtr &R, net::HttpResult Result) {
  Task &T = *R->T;
  core::ExchangeEnd End = net::endOfStart(Result, core::nameOf(T.Demand.Id));
  core::Verdict V = core::verdictOf(End);
  bool WasStopped = V == core::Verdict::Ran && net::wasStopped(Result.Response);
  bool IsServerError =
      V == core::Verdict::Ran && Result.Response.Status >= FirstServerError;
  bool TargetFailed = End == core::ExchangeEnd::ConnectFailed ||
                      V == core::Verdict::MayHaveRun || IsServerError;
  release(T, V, TargetFailed && !WasStopped);
  if (WasStopped)
    return refuse(R, core::Reason::Cancelled, core::Verdict::MayHaveRun);
  if (V == core::Verdict::MayHaveRun && T.Idempotent)
    stopAtWorker(T);
  retryOrFinish(R, V, V != core::Verdict::Ran || IsServerError,
                std::move(Result.Response));
}

void TaskRunner::release(const Task &T, core::Verdict V, bool TargetFailed) {
  DemandEnd End;
  End.Outcome = V == core::Verdict::Ran      ? DemandOutcome::Ended
                : V == core::Verdict::NotRun ? DemandOutcome::NeverStarted
                                             : DemandOutcome::Unknown;
  if (V != core::Verdict::NotRun)
    End.Ran = net::now() - T.SentAt;
  End.TargetFailed = TargetFailed;
  Pools_.release(T.Pool, T.Demand.Id, End);
}

void TaskRunner::retryOrFinish(const RunPtr &R, core::Verdict V, bool Failed,
                               net::HttpResponse Response) {
  Task &T = *R->T;
  bool HasTime = net::now() < *T.Demand.Deadline && !T.CancelAsked;
  if (Failed && HasTime && mayRetry(T, V, core::Reason::TargetFailed)) {
    T.Demand.Avoid = T.Worker;
    return acquire(R);
  }
  if (V != core::Verdict::Ran)
    return refuse(
        R, T.CancelAsked ? core::Reason::Cancelled : core::Reason::TargetFailed,
        V);
  TaskResult Result;
  Result.Verdict = V;
  Result.Response = std::move(Response);
  finish(R, std::move(Result));
}

bool TaskRunner::mayRetry(Task &T, core::Verdict Known, core::Reason Why) {
  core::RetryDecision Decided = core::decideRetry(
      {Known, T.Idempotent, T.Attempts}, TeamBudgets_[T.Demand.Team],
      PoolBudgets_[T.Pool], Retries_);
  if (Decided == core::RetryDecision::BudgetSpent)
    Context_.Counters.countRetry(core::Reason::RetryBudgetSpent);
  if (Decided != core::RetryDecision::Retry)
    return false;
  Context_.Counters.countRetry(Why);
  return true;
}

void TaskRunner::stopAtWorker(const Task &T) {
  net::HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + T.WorkerAddress + "/v1/tasks/" +
             core::nameOf(T.Demand.Id) + "/stop";
  Call.TotalLimit = StopLimit;
  Context_.Workers.send(std::move(Call), [](const net::HttpResult &) {});
}

/// Repeats the stop until the attempt has ended, because a stop may reach the
/// worker before the start does.
void TaskRunner::stopUntilEnded(const RunPtr &R, core::DemandId Attempt) {
  if (R->IsFinished || R->T->Demand.Id != Attempt)
    return;
  stopAtWorker(*R->T);
  Context_.Control.after(StopRetryDelay,
                         [this, R, Attempt] { stopUntilEnded(R, Attempt); });
}

void TaskRunner::cancel(const TaskPtr &T) {
  T->CancelAsked = true;
  auto It = Runs_.find(T.get());
  if (It == Runs_.end())
    return;
  RunPtr R = It->second;
  if (T->IsSent)
    return stopUntilEnded(R, T->Demand.Id);
  Pools_.release(T->Pool, T->Demand.Id, {});
  refuse(R, core::Reason::Cancelled, core::Verdict::NotRun);
}

void TaskRunner::refuse(const RunPtr &R, core::Reason Why, core::Verdict V,
                        core::Duration RetryAfter) {
  TaskResult Result;
  Result.Verdict = V;
  Result.Why = Why;
  Result.RetryAfter = RetryAfter;
  finish(R, std::move(Result));
}

void TaskRunner::finish(const RunPtr &R, TaskResult Result) {
  if (R->IsFinished)
    return;
  R->IsFinished = true;
  Runs_.erase(R->T.get());
  R->Finish(std::move(Result));
}

} // namespace comfreydeck::entry
