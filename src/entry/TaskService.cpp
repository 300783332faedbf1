#include "entry/TaskService.h"

#include "codec/KeyHash.h"
#include "core/Names.h"
#include "net/TaskAnswer.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

constexpr const char *ClaimTable = "claims";
constexpr std::uint32_t MaxAttempts = 3;

std::uint64_t inMs(core::Duration D) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(D).count());
}

int statusOf(core::Reason Why) {
  switch (Why) {
  case core::Reason::OverUpperLimit:
  case core::Reason::QueueFull:
  case core::Reason::RetryBudgetSpent:
    return 429;
  case core::Reason::DeadlinePassed:
    return 504;
  default:
    return 503;
  }
}

} // namespace

net::HttpResponse refusalResponse(int Status, core::Reason Why, core::Verdict V,
                                  std::string_view Message) {
  json J = {
      {"reason", nameOf(Why)}, {"verdict", nameOf(V)}, {"message", Message}};
  return net::jsonResponse(Status, J.dump());
}

/// One request on its way; owned by whoever acts for it next.
struct TaskService::Task {
  TaskRequest Request;
  net::HttpResponder Respond;
  core::Demand Demand;
  core::PoolId Pool;
  std::string TeamName;
  std::string Id;
  bool Idempotent = false;
  std::uint32_t Attempts = 0;
  core::TimePoint Sent;
};

TaskService::TaskService(const Context &C, Membership &Members,
                         ConfigStore &Config, PoolService &Pools)
    : Context_(C), Members_(Members), Config_(Config), Pools_(Pools) {}

void TaskService::handle(net::HttpRequest Request, net::HttpResponder Respond) {
  TaskPtr T;
  try {
    T = admit(std::move(Request), Respond);
  } catch (const RequestError &E) {
    Context_.Counters.countRefusal(E.reason());
    net::HttpResponse Response = refusalResponse(
        E.status(), E.reason(), core::Verdict::NotRun, E.what());
    Response.Headers.push_back({"Comfreydeck-Verdict", "not-run"});
    return Respond(std::move(Response));
  }
  ++InFlight_;
  Context_.Control.post([this, T] {
    if (T->Idempotent)
      acquire(T);
    else
      claim(T);
  });
}

core::TeamId TaskService::authorize(const core::Configuration &C,
                                    const core::Queue &Q,
                                    const std::string &Secret) const {
  if (Q.Open)
    return Q.OpenTeam;
  core::KeyHash Hash = codec::hashSecret(Secret);
  for (const core::Key &K : C.Keys) {
    if (!codec::sameHash(K.Hash, Hash))
      continue;
    if (!core::mayUse(Q, K.Owner))
      throw RequestError(403, core::Reason::KeyNotForQueue,
                         "the key is not good for this queue");
    return K.Owner;
  }
  throw RequestError(401, core::Reason::UnknownKey, "the key is not known");
}

TaskService::TaskPtr TaskService::admit(net::HttpRequest Request,
                                        net::HttpResponder Respond) {
  std::vector<std::string_view> Parts = net::splitPath(Request.Path);
  if (Parts.size() != 4 || Parts[3] != "tasks" || Request.Method != "POST")
    throw RequestError(404, core::Reason::UnknownQueue,
                       "there is no such path");
  std::string QueueName(Parts[2]);
  auto T = std::make_shared<Task>();
  T->Request = parseTaskRequest(std::move(Request), QueueName,
                                Context_.Settings.Traffic);
  T->Respond = std::move(Respond);
  std::shared_ptr<const core::Configuration> C = Config_.current();
  core::TimePoint Now = net::now();
  if (!Members_.isCurrent(Now))
    throw RequestError(503, core::Reason::NotCurrent,
                       "the entry may not serve now");
  const core::Queue *Q = core::findQueue(*C, QueueName);
  if (!Q)
    throw RequestError(404, core::Reason::UnknownQueue,
                       "there is no such queue");
  T->Demand.Team = authorize(*C, *Q, T->Request.KeySecret);
  T->Demand.Id = {Context_.Self, NextNumber_++};
  T->Demand.Queue = Q->Id;
  T->Demand.Size = T->Request.Size;
  T->Demand.Run = T->Request.Run;
  T->Demand.Arrived = Now;
  T->Demand.Deadline = Now + T->Request.Deadline;
  T->Demand.Urgent = T->Request.Urgent;
  T->Pool = Q->ServedBy;
  T->TeamName = core::findTeam(*C, T->Demand.Team)->Name;
  T->Id = core::nameOf(T->Demand.Id);
  T->Idempotent = T->Request.Idempotent.value_or(Q->IdempotentByDefault);
  if (!T->Idempotent && T->Request.IdempotencyKey.empty())
    throw RequestError(400, core::Reason::MalformedRequest,
                       "a non-idempotent request needs an Idempotency-Key");
  return T;
}

void TaskService::claim(const TaskPtr &T) {
  platform::RowKey Key{ClaimTable, std::to_string(T->Demand.Team.Value) + "/" +
                                       T->Request.IdempotencyKey};
  json J = {{"id", T->Id}, {"state", "claimed"}};
  platform::Transaction Claim{T->Id, {{Key, 0}}, {{Key, J.dump()}}};
  Context_.Tables.commit(std::move(Claim), [this,
                                            T](platform::CommitResult Result) {
    Context_.Control.post([this, T, Result] { onClaim(T, Result.Outcome); });
  });
}

void TaskService::onClaim(const TaskPtr &T, platform::CommitOutcome Outcome) {
  switch (Outcome) {
  case platform::CommitOutcome::Committed:
    return acquire(T);
  case platform::CommitOutcome::Conflict:
    return refuse(T, 409, core::Reason::DuplicateInProgress,
                  core::Verdict::MayHaveRun);
  case platform::CommitOutcome::NotApplied:
  case platform::CommitOutcome::Unknown:
    return refuse(T, 503, core::Reason::StoreUnavailable,
                  core::Verdict::NotRun);
  }
}

void TaskService::acquire(const TaskPtr &T) {
  ++T->Attempts;
  Pools_.acquire(T->Pool, T->Demand, [this, T](const AcquireResult &Result) {
    onAcquired(T, Result);
  });
}

void TaskService::onAcquired(const TaskPtr &T, const AcquireResult &Result) {
  if (Result.Refused != core::Reason::None)
    return refuse(T, statusOf(Result.Refused), Result.Refused,
                  core::Verdict::NotRun);
  core::TimePoint Now = net::now();
  bool InTime = Now < Result.SendBy && Members_.isCurrent(Now);
  if (!InTime || *T->Demand.Deadline <= Now) {
    Pools_.release(T->Pool, T->Demand.Id, {});
    return refuse(T, 504, core::Reason::DeadlinePassed, core::Verdict::NotRun);
  }
  net::HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + Result.WorkerAddress + "/v1/tasks";
  Call.Headers = {
      {"Task-Id", core::nameOf(T->Demand.Id)},
      {"Task-Request", T->Id},
      {"Task-Team", T->TeamName},
      {"Task-Queue", T->Request.Queue},
      {"Task-Not-After-Ms", std::to_string(Result.NotAfterWorkerMs)},
      {"Content-Type", T->Request.ContentType}};
  if (T->Request.Run.count() > 0)
    Call.Headers.push_back(
        {"Task-Run-Ms", std::to_string(inMs(T->Request.Run))});
  Call.Body = T->Request.Body;
  Call.TotalLimit = *T->Demand.Deadline - Now;
  Call.MayResend = T->Idempotent;
  T->Sent = Now;
  Context_.Workers.send(std::move(Call), [this, T](net::HttpResult Exchange) {
    Context_.Control.post([this, T, Exchange = std::move(Exchange)]() mutable {
      onExchange(T, std::move(Exchange));
    });
  });
}

void TaskService::onExchange(const TaskPtr &T, net::HttpResult Result) {
  core::Verdict V =
      core::verdictOf(net::endOfStart(Result, core::nameOf(T->Demand.Id)));
  bool Known = V != core::Verdict::MayHaveRun;
  DemandEnd End;
  End.How = Known ? Ending::Ended : Ending::Unknown;
  End.Ran = net::now() - T->Sent;
  End.TargetFailed = V != core::Verdict::Ran;
  Pools_.release(T->Pool, T->Demand.Id, End);
  if (V == core::Verdict::Ran)
    return answer(T, std::move(Result.Response), V);
  bool MayRetry = V == core::Verdict::NotRun || T->Idempotent;
  if (MayRetry && T->Attempts < MaxAttempts) {
    Context_.Counters.countRetry(core::Reason::TargetFailed);
    T->Demand.Id.Number = NextNumber_++;
    return acquire(T);
  }
  refuse(T, V == core::Verdict::NotRun ? 503 : 504, core::Reason::TargetFailed,
         V);
}

void TaskService::refuse(const TaskPtr &T, int Status, core::Reason Why,
                         core::Verdict V) {
  Context_.Counters.countRefusal(Why);
  answer(T, refusalResponse(Status, Why, V, nameOf(Why)), V);
}

void TaskService::answer(const TaskPtr &T, net::HttpResponse Response,
                         core::Verdict V) {
  Context_.Counters.countAnswer(V);
  net::HttpResponse Out;
  Out.Status = Response.Status;
  Out.Body = std::move(Response.Body);
  Out.Headers = {{"Comfreydeck-Request-Id", T->Id},
                 {"Comfreydeck-Verdict", std::string(nameOf(V))}};
  std::string_view Type = net::findHeader(Response.Headers, "Content-Type");
  if (!Type.empty())
    Out.Headers.push_back({"Content-Type", std::string(Type)});
  T->Respond(std::move(Out));
  --InFlight_;
}

} // namespace comfreydeck::entry
