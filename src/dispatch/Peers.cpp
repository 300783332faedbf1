#include "dispatch/Peers.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"
#include "dispatch/PeerMessages_p.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::dispatch {

using Json = nlohmann::json;

namespace {

/// An owner answers from memory. The limit is a quarter of the shortest
/// objective.
constexpr std::chrono::milliseconds AskLimit(400);
/// A pool whose load is not known gets no machines; a busy owner answers later.
constexpr std::chrono::milliseconds LoadLimit(1000);
constexpr std::chrono::milliseconds ConnectLimit(250);
/// An owner whose last read is older can't reach the store: reads come every
/// 0.4 s, and take 0.4 s when the store is slow.
constexpr std::chrono::milliseconds ReachesStore(1800);
constexpr int StatusOk = 200;
constexpr int StatusBad = 400;
constexpr int StatusNotOwner = 409;

Json encodeLoad(const jobs::PoolLoad &Load) {
  return {{"cpu", Load.PerMachine.MilliCpus},
          {"memory", Load.PerMachine.MemoryMb},
          {"lasting_cpu", Load.LastingCpu},
          {"lasting_memory", Load.LastingMemory},
          {"used_cpu", Load.UsedCpu},
          {"used_memory", Load.UsedMemory},
          {"waiting_cpu", Load.WaitingCpu},
          {"waiting_memory", Load.WaitingMemory},
          {"waiting_lasting_cpu", Load.WaitingLastingCpu},
          {"waiting_lasting_memory", Load.WaitingLastingMemory},
          {"arriving_cpu", Load.ArrivingCpu},
          {"spread", Load.MinWorkers},
          {"open", Load.OpenWorkers},
          {"missing", Load.MissingMachines},
          {"idle", Load.Idle},
          {"closed", Load.Closed}};
}

jobs::PoolLoad decodeLoad(const Json &Object) {
  jobs::PoolLoad Load;
  Load.PerMachine.MilliCpus = Object.value("cpu", 0U);
  Load.PerMachine.MemoryMb = Object.value("memory", 0U);
  Load.LastingCpu = Object.value("lasting_cpu", std::uint64_t{0});
  Load.LastingMemory = Object.value("lasting_memory", std::uint64_t{0});
  Load.UsedCpu = Object.value("used_cpu", std::uint64_t{0});
  Load.UsedMemory = Object.value("used_memory", std::uint64_t{0});
  Load.WaitingCpu = Object.value("waiting_cpu", std::uint64_t{0});
  Load.WaitingMemory = Object.value("waiting_memory", std::uint64_t{0});
  Load.WaitingLastingCpu =
      Object.value("waiting_lasting_cpu", std::uint64_t{0});
  Load.WaitingLastingMemory =
      Object.value("waiting_lasting_memory", std::uint64_t{0});
  Load.ArrivingCpu = Object.value("arriving_cpu", std::uint64_t{0});
  Load.MinWorkers = Object.value("spread", 0U);
  Load.OpenWorkers = Object.value("open", 0U);
  Load.MissingMachines = Object.value("missing", 0U);
  Load.Idle = Object.value("idle", std::vector<std::string>());
  Load.Closed = Object.value("closed", std::vector<std::string>());
  return Load;
}

Json encodeIncarnations(const std::vector<jobs::WorkerIncarnation> &Ended) {
  Json Rows = Json::array();
  for (const jobs::WorkerIncarnation &Which : Ended)
    Rows.push_back(Json::array({Which.Worker, Which.Born}));
  return Rows;
}

/// Requests of former releases name no incarnations.
std::vector<jobs::WorkerIncarnation> decodeIncarnations(const Json &Request) {
  std::vector<jobs::WorkerIncarnation> Ended;
  for (const Json &Row : Request.value("ended_incarnations", Json::array()))
    Ended.push_back(
        {Row.at(0).get<std::string>(), Row.at(1).get<std::int64_t>()});
  return Ended;
}

/// Throws Json::exception if a field has the wrong type.
OwnerAnswer decodeFields(const Json &Object) {
  OwnerAnswer Answer;
  Answer.Answered = true;
  Answer.Known = Object.value("known", false);
  Answer.State = static_cast<jobs::JobState>(
      Object.value("state", 0U) % (unsigned(jobs::JobState::Cancelled) + 1));
  Answer.Pending = Object.value("pending", 0U);
  Answer.Closed.Clear = Object.value("clear", std::vector<std::string>());
  Answer.Closed.Releasing =
      Object.value("releasing", std::vector<std::string>());
  Answer.Token = Object.value("token", std::uint64_t{0});
  Answer.StoreAge =
      std::chrono::milliseconds(Object.value("store_age_ms", std::int64_t{0}));
  if (Object.contains("stopped_ms"))
    Answer.StoppedFor =
        std::chrono::milliseconds(Object["stopped_ms"].get<std::int64_t>());
  if (Object.contains("load"))
    Answer.Load = decodeLoad(Object["load"]);
  return Answer;
}

/// A response that can't be decoded counts as none.
OwnerAnswer decode(const net::HttpResult &Result) {
  bool Ok = Result.End == core::ExchangeEnd::Answered &&
            Result.Response.Status == StatusOk;
  if (!Ok)
    return {};
  Json Object = Json::parse(Result.Response.Body, nullptr, false);
  if (!Object.is_object())
    return {};
  try {
    return decodeFields(Object);
  } catch (const Json::exception &E) {
    logEvent("peer_answer_unreadable", {{"error", E.what()}});
    return {};
  }
}

} // namespace

Peers::Peers(Context &Ctx, FleetView &View, Ownership &Owners)
    : Ctx_(Ctx), View_(View), Owners_(Owners) {}

std::optional<std::string> Peers::addressOf(const std::string &Pool) const {
  const jobs::PoolView *Row = View_.pool(Pool);
  const jobs::EntryView *Owner = Row ? View_.entry(Row->OwnerName) : nullptr;
  if (!Owner || Owner->Name == Ctx_.Settings.Name)
    return std::nullopt;
  return Owner->PeerAddress;
}

void Peers::ask(const std::string &Pool, std::string Body, core::Duration Limit,
                std::function<void(OwnerAnswer)> Done) {
  std::optional<std::string> Address = addressOf(Pool);
  if (!Address) {
    Done(OwnerAnswer());
    return;
  }
  send(*Address, std::move(Body), Limit, std::move(Done));
}

void Peers::send(const std::string &Address, std::string Body,
                 core::Duration Limit, std::function<void(OwnerAnswer)> Done) {
  net::HttpCall Call;
  Call.Target = net::HttpTarget::Peer;
  Call.Method = "POST";
  Call.Url = "http://" + Address + paths::Pool;
  Call.Body = std::move(Body);
  Call.ConnectLimit = ConnectLimit;
  Call.TotalLimit = Limit;
  Ctx_.Client.send(std::move(Call),
                   [this, Done = std::move(Done)](net::HttpResult Result) {
                     OwnerAnswer Answer = decode(Result);
                     Ctx_.Loop.post([Done, Answer] { Done(Answer); });
                   });
}

void Peers::pushJob(const jobs::JobSpec &Spec) {
  if (auto Controller = Owners_.controller(Spec.Pool)) {
    Controller->addJob(Spec);
    return;
  }
  Json Body = {{"pool", Spec.Pool}, {"add", codec::encodeJob(Spec)}};
  ask(Spec.Pool, Body.dump(), AskLimit,
      [this, Id = Spec.Id](OwnerAnswer Answer) {
        if (!Answer.Answered)
          Ctx_.Count.recordRetry("push-job");
      });
}

void Peers::pushCancel(const std::string &Pool, const std::string &JobId) {
  if (auto Controller = Owners_.controller(Pool)) {
    Controller->cancelJob(JobId);
    return;
  }
  Json Body = {{"pool", Pool}, {"cancel", JobId}};
  ask(Pool, Body.dump(), AskLimit, [this](OwnerAnswer Answer) {
    if (!Answer.Answered)
      Ctx_.Count.recordRetry("push-cancel");
  });
}

OwnerAnswer Peers::answerHere(const PoolController &Controller,
                              const std::string &JobId,
                              const std::string &Queue) const {
  OwnerAnswer Answer;
  Answer.Answered = true;
  const jobs::JobRecord *Job = Controller.state().findJob(JobId);
  // The store tells the state of one whose progress is not known here.
  if (Job && !Job->ProgressUnread) {
    Answer.Known = true;
    Answer.State = jobs::PoolState::shownState(*Job);
  }
  if (!Queue.empty())
    Answer.Pending = Controller.state().pending(Queue);
  return Answer;
}

void Peers::askState(const std::string &Pool, const std::string &JobId,
                     std::function<void(OwnerAnswer)> Done) {
  if (auto Controller = Owners_.controller(Pool)) {
    Done(answerHere(*Controller, JobId, ""));
    return;
  }
  ask(Pool, Json({{"pool", Pool}, {"job", JobId}}).dump(), AskLimit,
      std::move(Done));
}

void Peers::askPending(const std::string &Pool, const std::string &Queue,
                       std::function<void(OwnerAnswer)> Done) {
  if (auto Controller = Owners_.controller(Pool)) {
    Done(answerHere(*Controller, "", Queue));
    return;
  }
  ask(Pool, Json({{"pool", Pool}, {"queue", Queue}}).dump(), AskLimit,
      std::move(Done));
}

void Peers::askClose(const std::string &Pool, const CloseRequest &Request,
                     std::function<void(const CloseAnswer &)> Done) {
  if (auto Controller = Owners_.controller(Pool)) {
    Done({Controller->closeWorkers(Request), Controller->token()});
    return;
  }
  Json Body = {{"pool", Pool},
               {"close", Request.Drain},
               {"press", Request.Evict},
               // Former releases need the field, and would take the ids in it
               // for those of workers in any incarnation.
               {"ended", Json::array()},
               {"ended_incarnations", encodeIncarnations(Request.Ended)},
               {"release", Request.Release},
               {"take_back", Request.TakeBack},
               {"fleet_token", Request.By.FleetToken},
               {"request", Request.By.Number}};
  ask(Pool, Body.dump(), AskLimit,
      [Done = std::move(Done)](const OwnerAnswer &Answer) {
        Done({Answer.Closed, Answer.Token});
      });
}

void Peers::probeOwner(const std::string &Pool,
                       std::function<void(bool)> Done) {
  ask(Pool, Json({{"pool", Pool}, {"alive", true}}).dump(), AskLimit,
      [Done = std::move(Done)](const OwnerAnswer &Answer) {
        Done(Answer.Answered && Answer.StoreAge < ReachesStore);
      });
}

void Peers::askToStop(const std::string &Entry, const std::string &Pool,
                      std::uint64_t Token,
                      std::function<void(std::optional<core::Duration>)> Done) {
  if (Entry == Ctx_.Settings.Name) {
    Done(Owners_.stopOrders(Pool, Token));
    return;
  }
  const jobs::EntryView *Known = View_.entry(Entry);
  if (!Known) {
    Done(std::nullopt);
    return;
  }
  send(Known->PeerAddress,
       Json({{"pool", Pool}, {"superseded_by", Token}}).dump(), AskLimit,
       [Done = std::move(Done)](const OwnerAnswer &Answer) {
         Done(Answer.StoppedFor);
       });
}

void Peers::askLoad(const std::string &Pool,
                    std::function<void(const OwnerLoad &)> Done) {
  if (auto Controller = Owners_.controller(Pool)) {
    Done({Controller->state().load(bootNow(), Ctx_.Clock.nowMs()), {}});
    return;
  }
  ask(Pool, Json({{"pool", Pool}, {"load", true}}).dump(), LoadLimit,
      [Done = std::move(Done)](const OwnerAnswer &Answer) {
        if (Answer.Answered)
          Done({Answer.Load, {}});
      });
}

net::HttpResponse Peers::answerStop(const std::string &Pool,
                                    std::uint64_t Token) {
  std::optional<core::Duration> For = Owners_.stopOrders(Pool, Token);
  if (!For)
    return net::jsonResponse(StatusNotOwner, "{}");
  auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(*For);
  return net::jsonResponse(StatusOk, Json({{"stopped_ms", Ms.count()}}).dump());
}

net::HttpResponse Peers::handle(const net::HttpRequest &Request) {
  Json Object = Json::parse(Request.Body, nullptr, false);
  if (Request.Path != paths::Pool || !Object.is_object())
    return net::jsonResponse(StatusBad, "{}");
  try {
    std::string Pool = Object.at("pool").get<std::string>();
    if (Object.contains("alive") && Owners_.isOwned(Pool)) {
      auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
          bootNow() - View_.controlCurrentAt());
      return net::jsonResponse(StatusOk,
                               Json({{"store_age_ms", Age.count()}}).dump());
    }
    if (Object.contains("superseded_by"))
      return answerStop(Pool, Object["superseded_by"].get<std::uint64_t>());
    auto Controller = Owners_.controller(Pool);
    if (!Controller)
      return net::jsonResponse(StatusNotOwner, "{}");
    if (Object.contains("add"))
      Controller->addJob(codec::decodeJob(Object["add"].get<std::string>()));
    if (Object.contains("cancel"))
      Controller->cancelJob(Object["cancel"].get<std::string>());
    ClosedWorkers Closed;
    if (Object.contains("close"))
      Closed = Controller->closeWorkers(
          {Object["close"].get<std::vector<std::string>>(),
           Object.at("press").get<std::vector<std::string>>(),
           decodeIncarnations(Object),
           Object.value("release", std::vector<std::string>()),
           Object.value("take_back", std::vector<std::string>()),
           {Object.value("fleet_token", std::uint64_t{0}),
            Object.value("request", std::uint64_t{0})}});
    OwnerAnswer Answer = answerHere(*Controller, Object.value("job", ""),
                                    Object.value("queue", ""));
    Json Body = {{"known", Answer.Known},
                 {"state", static_cast<unsigned>(Answer.State)},
                 {"pending", Answer.Pending},
                 {"token", Controller->token()},
                 {"clear", Closed.Clear},
                 {"releasing", Closed.Releasing}};
    if (Object.contains("load"))
      Body["load"] =
          encodeLoad(Controller->state().load(bootNow(), Ctx_.Clock.nowMs()));
    return net::jsonResponse(StatusOk, Body.dump());
  } catch (const std::exception &E) {
    logEvent("peer_call_unreadable", {{"error", E.what()}});
    return net::jsonResponse(StatusBad, "{}");
  }
}

} // namespace comfreydeck::dispatch
