#include "entry/TaskGate.h"

#include "codec/KeyHash.h"

namespace comfreydeck::entry {

namespace {

/// A non-idempotent request must have exactly one of Idempotency-Key and
/// Comfreydeck-Request-Id.
void checkRequestName(const Task &T) {
  bool HasKey = !T.Request.IdempotencyKey.empty();
  bool HasId = T.Request.IssuedId.has_value();
  if (T.Idempotent || HasKey != HasId)
    return;
  throw RequestError(400, core::Reason::MalformedRequest,
                     "a non-idempotent request needs one of Idempotency-Key "
                     "and Comfreydeck-Request-Id");
}

} // namespace

TaskGate::TaskGate(const Context &C, const Membership &Members,
                   const ConfigStore &Config)
    : Context_(C), Members_(Members), Config_(Config), Tagger_(C.Self) {}

std::shared_ptr<const codec::KeyIndex> TaskGate::index() const {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (!Index_ || Index_->configuration() != C)
    Index_ = std::make_shared<const codec::KeyIndex>(C);
  return Index_;
}

void TaskGate::checkCurrent() const {
  if (!Members_.isCurrent(net::now()))
    throw RequestError(503, core::Reason::NotCurrent,
                       "the entry may not serve requests at present");
}

void TaskGate::authorize(Task &T, const core::Queue &Q,
                         const codec::KeyIndex &Keys) const {
  core::KeyHash Hash = codec::hashSecret(T.Request.KeySecret);
  const core::Key *K = Keys.find(Hash);
  T.Owner = K ? K->Owner : core::TeamId{};
  if (Q.Open) {
    T.Demand.Team = Q.OpenTeam;
    return;
  }
  T.Key = Hash;
  if (!K)
    throw RequestError(401, core::Reason::UnknownKey, "the key is not known");
  if (!core::mayUse(Q, K->Owner))
    throw RequestError(403, core::Reason::KeyNotForQueue,
                       "the key may not use this queue");
  T.Demand.Team = K->Owner;
}

TaskPtr TaskGate::admit(net::HttpRequest Request, net::HttpResponder Respond) {
  std::vector<std::string_view> Parts = net::splitPath(Request.Path);
  if (Parts.size() != 4 || Parts[3] != "tasks" || Request.Method != "POST")
    throw RequestError(404, core::Reason::UnknownQueue,
                       "there is no such path");
  std::string QueueName(Parts[2]);
  auto T = std::make_shared<Task>();
  T->Request = parseTaskRequest(std::move(Request), QueueName,
                                Context_.Settings.Traffic);
  T->Respond = std::move(Respond);
  std::shared_ptr<const codec::KeyIndex> Keys = index();
  const core::Configuration &C = *Keys->configuration();
  const core::Queue *Q = core::findQueue(C, QueueName);
  T->Idempotent = T->Request.Idempotent.value_or(Q && Q->IdempotentByDefault);
  bool MayBeRepeat = !T->Idempotent;
  if (!Members_.isCurrent(net::now()))
    throw RequestError(503, core::Reason::NotCurrent,
                       "the entry may not serve requests at present",
                       MayBeRepeat ? core::Verdict::MayHaveRun
                                   : core::Verdict::NotRun);
  if (!Q)
    throw RequestError(404, core::Reason::UnknownQueue,
                       "there is no such queue");
  authorize(*T, *Q, *Keys);
  checkRequestName(*T);
  core::TimePoint Now = net::now();
  T->Demand.Queue = Q->Id;
  T->Demand.Size = T->Request.Size;
  T->Demand.Run = T->Request.Run;
  T->Demand.Arrived = Now;
  T->Demand.Deadline = Now + T->Request.Deadline;
  T->Demand.Urgent = T->Request.Urgent;
  T->Pool = Q->ServedBy;
  T->TeamName = core::findTeam(C, T->Demand.Team)->Name;
  T->Fingerprint = codec::fingerprintOf(QueueName, T->Request.Body);
  T->Id = T->Request.IssuedId && !T->Idempotent ? *T->Request.IssuedId
                                                : Tagger_.idOf(nextNumber());
  return T;
}

std::optional<core::TeamId>
TaskGate::teamOf(const net::HttpRequest &Request) const {
  std::string Secret = bearerKey(Request);
  if (Secret.empty())
    return std::nullopt;
  const core::Key *K = index()->find(codec::hashSecret(Secret));
  if (!K)
    throw RequestError(401, core::Reason::UnknownKey, "the key is not known");
  return K->Owner;
}

bool TaskGate::isStillAllowed(const Task &T) const {
  std::shared_ptr<const codec::KeyIndex> Keys = index();
  const core::Queue *Q =
      core::findQueue(*Keys->configuration(), T.Demand.Queue);
  if (!Q)
    return false;
  if (Q->Open)
    return Q->OpenTeam == T.Demand.Team;
  const core::Key *K = T.Key ? Keys->find(*T.Key) : nullptr;
  return K && K->Owner == T.Demand.Team && core::mayUse(*Q, K->Owner);
}

bool TaskGate::mayStartIn(std::string_view DataCentre) const {
  const core::DataCentre *Found =
      core::findDataCentre(*Config_.current(), DataCentre);
  return !Found || !Found->Out;
}

} // namespace comfreydeck::entry
