#include "entry/FleetRoutes.h"

#include "codec/InstanceJson.h"
#include "core/DataCentreChange.h"
#include "entry/WallClock.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

constexpr const char *ForwardedHeader = "Comfreydeck-Forwarded";
constexpr core::Duration ForwardTimeout = std::chrono::seconds(20);
constexpr core::Duration StatusTimeout = std::chrono::milliseconds(800);
constexpr std::uint32_t PageRows = 1000;
/// Delay between, and number of, attempts to find the pool's owner.
constexpr core::Duration OwnerRetryDelay = std::chrono::milliseconds(200);
constexpr int MaxOwnerTries = 20;

struct OutcomeText {
  int Status;
  const char *Name;
};

/// In the order of OperationOutcome.
constexpr std::array<OutcomeText, 7> OperationTexts = {{{200, "done"},
                                                        {202, "accepted"},
                                                        {409, "refused"},
                                                        {404, "not-found"},
                                                        {503, "not-owner"},
                                                        {503, "unavailable"},
                                                        {504, "unknown"}}};

/// In the order of ProposalOutcome.
constexpr std::array<OutcomeText, 6> ProposalTexts = {{{200, "in-force"},
                                                       {202, "pending"},
                                                       {409, "conflict"},
                                                       {400, "invalid"},
                                                       {503, "unavailable"},
                                                       {504, "unknown"}}};

net::HttpResponse respond(const OutcomeText &Text, const std::string &Message) {
  json J = {{"outcome", Text.Name}, {"message", Message}};
  if (Text.Status >= 400)
    J["error"] = Message;
  return net::jsonResponse(Text.Status, J.dump());
}

net::HttpResponse respond(const OperationAnswer &Answer) {
  return respond(OperationTexts.at(static_cast<std::size_t>(Answer.Outcome)),
                 Answer.Message);
}

bool isNotOwner(const net::HttpResponse &Response) {
  const OutcomeText &Text =
      OperationTexts.at(static_cast<std::size_t>(OperationOutcome::NotOwner));
  if (Response.Status != Text.Status)
    return false;
  json Body = json::parse(Response.Body, nullptr, false);
  return Body.is_object() && Body.value("outcome", "") == Text.Name;
}

net::HttpResponse notFound(const std::string &Message) {
  return respond(OperationAnswer{OperationOutcome::NotFound, Message});
}

/// Parses the body; an empty one counts as an empty object.
json bodyOf(const net::HttpRequest &Request) {
  return Request.Body.empty() ? json::object() : json::parse(Request.Body);
}

std::optional<core::WaveId> waveFrom(std::string_view Text) {
  core::WaveId Id;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Id.Value);
  bool IsGood = Error == std::errc() && End == Text.data() + Text.size();
  return IsGood ? std::optional(Id) : std::nullopt;
}

json instanceJson(const core::Instance &I, const core::Configuration &C) {
  json J = json::parse(codec::toJson(I));
  const core::Pool *P = core::findPool(C, I.Pool);
  J["pool"] = P ? P->Name : "";
  if (I.MoveTo.isValid()) {
    const core::Pool *To = core::findPool(C, I.MoveTo);
    J["move_to"] = To ? To->Name : "";
  }
  return J;
}

json countJson(const core::AbsenceCount &Count, std::uint32_t Limit) {
  return {{"size", Count.Size},
          {"planned", Count.Planned},
          {"unplanned", Count.Unplanned},
          {"limit", Limit}};
}

json domainsJson(
    const std::map<std::string, core::AbsenceCount, std::less<>> &Domains,
    std::uint32_t Limit) {
  json J = json::object();
  for (const auto &[Name, Count] : Domains)
    J[Name] = countJson(Count, Limit);
  return J;
}

json waveJson(const core::Wave &W) { return json::parse(codec::toJson(W)); }

std::optional<core::WaveCommand> commandFrom(std::string_view Text) {
  if (Text == "pause")
    return core::WaveCommand::Pause;
  if (Text == "resume")
    return core::WaveCommand::Resume;
  if (Text == "cancel")
    return core::WaveCommand::Cancel;
  return std::nullopt;
}

/// Collects the answers of a data centre's workers.
struct RunningSurvey {
  std::size_t Remaining = 0;
  json Running = json::array();
  json Silent = json::array();
};

} // namespace

FleetRoutes::FleetRoutes(const Context &C, ConfigStore &Config, Fleet &Workers,
                         PoolService &Pools, Maintenance &Work)
    : Context_(C), Config_(Config), Workers_(Workers), Pools_(Pools),
      Work_(Work) {}

std::vector<OperatorRoute> FleetRoutes::routes() {
  auto Handle = [this](const OperatorCall &Call,
                       const net::HttpResponder &Respond) {
    tryCall(Call, Respond, MaxOwnerTries);
  };
  constexpr core::Role Read = core::Role::Read;
  constexpr core::Role Operate = core::Role::Operate;
  return {{"GET", "instances", Read, Handle},
          {"GET", "instances/*", Read, Handle},
          {"PUT", "instances/*", Operate, Handle},
          {"POST", "instances/*/*", Operate, Handle},
          {"GET", "pools/*", Read, Handle},
          {"GET", "waves", Read, Handle},
          {"POST", "waves", Operate, Handle},
          {"GET", "waves/*", Read, Handle},
          {"POST", "waves/*/*", Operate, Handle},
          {"GET", "datacentres/*", Read, Handle},
          {"POST", "datacentres/*/*", Operate, Handle}};
}

void FleetRoutes::tryCall(const OperatorCall &Call,
                          const net::HttpResponder &Respond, int TriesLeft) {
  net::HttpResponder Last = Respond;
  // NotOwner means that nothing was changed, so a retry is safe. A new pool has
  // an owner within a few polls of its row.
  net::HttpResponder Retrying = [this, Call, Respond,
                                 TriesLeft](net::HttpResponse Response) {
    if (!isNotOwner(Response))
      return Respond(std::move(Response));
    Context_.Control.after(OwnerRetryDelay, [this, Call, Respond, TriesLeft] {
      tryCall(Call, Respond, TriesLeft - 1);
    });
  };
  if (!handle(Call.Who, Call.Request, TriesLeft > 1 ? Retrying : Last))
    Respond(notFound("there is no such path"));
}

bool FleetRoutes::handle(const core::OperatorKey &Who,
                         const net::HttpRequest &Request,
                         const net::HttpResponder &Respond) {
  Parts Path = net::splitPath(Request.Path);
  std::string_view Subject = Path.size() > 2 ? Path[2] : std::string_view();
  if (Subject == "instances")
    return handleInstances(Path, Request, Respond);
  if (Subject == "pools")
    return handlePools(Path, Request, Respond);
  if (Subject == "waves")
    return handleWaves(Who, Path, Request, Respond);
  if (Subject == "datacentres")
    return handleDataCentres(Who, Path, Request, Respond);
  return false;
}

bool FleetRoutes::forwardIfRemote(core::PoolId Pool,
                                  const net::HttpRequest &Request,
                                  const net::HttpResponder &Respond) {
  if (Pools_.isOwner(Pool))
    return false;
  const Member *Owner = Pools_.ownerOf(Pool);
  // A request is forwarded only once, to avoid a loop between two entries that
  // each take the other for the owner.
  if (!Owner || net::hasHeader(Request.Headers, ForwardedHeader)) {
    Respond(respond(
        OperationAnswer{OperationOutcome::NotOwner,
                        "the pool has no owner at present; try again"}));
    return true;
  }
  net::HttpCall Call;
  Call.Method = Request.Method;
  Call.Url = "http://" + Owner->HttpAddress + Request.Path;
  std::string Key(net::findHeader(Request.Headers, "Authorization"));
  Call.Headers = {{"Authorization", Key}, {ForwardedHeader, "1"}};
  Call.Body = Request.Body;
  Call.TotalLimit = ForwardTimeout;
  Call.OwnConnection = true;
  Context_.Workers.send(std::move(Call), [Respond](net::HttpResult Result) {
    if (Result.End == core::ExchangeEnd::Answered)
      return Respond(net::jsonResponse(Result.Response.Status,
                                       std::move(Result.Response.Body)));
    Respond(respond(OperationAnswer{
        OperationOutcome::Unknown, "the pool's owner did not answer; check the "
                                   "instance"}));
  });
  return true;
}

bool FleetRoutes::handleInstances(const Parts &Path,
                                  const net::HttpRequest &Request,
                                  const net::HttpResponder &Respond) {
  bool IsGet = Request.Method == "GET";
  if (Path.size() == 3 && IsGet) {
    listInstances(Request, Respond);
    return true;
  }
  if (Path.size() == 4 && Request.Method == "PUT") {
    putInstance(Path[3], Request, Respond);
    return true;
  }
  if (Path.size() < 4)
    return false;
  const core::Instance *I = Workers_.find(Path[3]);
  if (!I) {
    Respond(notFound("there is no instance '" + std::string(Path[3]) + "'"));
    return true;
  }
  if (Path.size() == 4 && IsGet) {
    json J = instanceJson(*I, *Config_.current());
    Respond(net::jsonResponse(200, J.dump()));
    return true;
  }
  if (Path.size() != 5 || Request.Method != "POST")
    return false;
  if (Path[4] != "drain" && Path[4] != "return")
    return false;
  if (forwardIfRemote(I->Pool, Request, Respond))
    return true;
  if (Path[4] == "drain")
    drainInstance(*I, Request, Respond);
  else
    Work_.returnToService(I->Id, [Respond](const OperationAnswer &Answer) {
      Respond(respond(Answer));
    });
  return true;
}

void FleetRoutes::listInstances(const net::HttpRequest &Request,
                                const net::HttpResponder &Respond) {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  constexpr std::string_view PoolParameter = "pool=";
  std::string_view Name = Request.Query;
  const core::Pool *Only =
      Name.starts_with(PoolParameter)
          ? core::findPool(*C, Name.substr(PoolParameter.size()))
          : nullptr;
  json Items = json::array();
  for (const auto &[Id, I] : Workers_.instances())
    if (!Only || I.Pool == Only->Id)
      Items.push_back(instanceJson(I, *C));
  Respond(net::jsonResponse(200, json({{"instances", Items}}).dump()));
}

void FleetRoutes::putInstance(std::string_view Name,
                              const net::HttpRequest &Request,
                              const net::HttpResponder &Respond) {
  std::string PoolName = bodyOf(Request).at("pool").get<std::string>();
  std::shared_ptr<const core::Configuration> C = Config_.current();
  const core::Pool *To = core::findPool(*C, PoolName);
  if (!To)
    return Respond(notFound("there is no pool '" + PoolName + "'"));
  const core::Instance *I = Workers_.find(Name);
  core::PoolId Decider = I ? I->Pool : To->Id;
  if (forwardIfRemote(Decider, Request, Respond))
    return;
  auto Done = [Respond](const OperationAnswer &Answer) {
    Respond(respond(Answer));
  };
  if (!I || I->Pool == To->Id)
    return Work_.place(std::string(Name), To->Id, Done);
  core::DrainRequest Drain;
  Drain.Id = I->Id;
  Drain.MoveTo = To->Id;
  Work_.drain(Drain, Done);
}

void FleetRoutes::drainInstance(const core::Instance &I,
                                const net::HttpRequest &Request,
                                const net::HttpResponder &Respond) {
  core::DrainRequest Drain;
  Drain.Id = I.Id;
  Drain.Reboot = bodyOf(Request).value("reboot", false);
  Work_.drain(Drain, [Respond](const OperationAnswer &Answer) {
    Respond(respond(Answer));
  });
}

bool FleetRoutes::handlePools(const Parts &Path,
                              const net::HttpRequest &Request,
                              const net::HttpResponder &Respond) {
  if (Request.Method != "GET" || Path.size() != 4)
    return false;
  std::shared_ptr<const core::Configuration> C = Config_.current();
  const core::Pool *P = core::findPool(*C, Path[3]);
  if (!P)
    Respond(notFound("there is no pool '" + std::string(Path[3]) + "'"));
  else if (!forwardIfRemote(P->Id, Request, Respond))
    showPool(*P, Request, Respond);
  return true;
}

void FleetRoutes::showPool(const core::Pool &P, const net::HttpRequest &,
                           const net::HttpResponder &Respond) {
  std::optional<core::PoolSnapshot> S = Work_.snapshotOf(P.Id);
  if (!S)
    return Respond(respond(OperationAnswer{OperationOutcome::NotOwner,
                                           "the pool is being taken over"}));
  core::AbsenceTable Table = core::countAbsences(core::membersOf(*S));
  std::map<std::string, std::uint32_t> States;
  std::uint32_t Running = 0;
  for (const core::PoolInstance &I : S->Instances) {
    ++States[codec::nameOf(I.Row.State)];
    Running += I.Seen.Running;
  }
  json J = {
      {"pool", P.Name},
      {"spare", P.Spare},
      {"states", States},
      {"running", Running},
      {"budget", countJson(Table.Pool, P.AbsentLimit)},
      {"datacentres", domainsJson(Table.DataCentres, P.AbsentLimitPerDomain)},
      {"racks", domainsJson(Table.Racks, P.AbsentLimitPerDomain)}};
  Respond(net::jsonResponse(200, J.dump()));
}

bool FleetRoutes::handleWaves(const core::OperatorKey &Who, const Parts &Path,
                              const net::HttpRequest &Request,
                              const net::HttpResponder &Respond) {
  bool IsPost = Request.Method == "POST";
  if (Path.size() == 3 && IsPost) {
    startWave(Who, Request, Respond);
    return true;
  }
  if (Path.size() == 3) {
    json Items = json::array();
    for (const auto &[Id, W] : Work_.waves())
      Items.push_back(waveJson(W));
    Respond(net::jsonResponse(200, json({{"waves", Items}}).dump()));
    return true;
  }
  std::optional<core::WaveId> Id = waveFrom(Path[3]);
  if (!Id || !Work_.waves().contains(*Id)) {
    Respond(notFound("there is no wave " + std::string(Path[3])));
    return true;
  }
  if (Path.size() == 4 && !IsPost) {
    showWave(*Id, Respond);
    return true;
  }
  std::optional<core::WaveCommand> Command =
      Path.size() == 5 ? commandFrom(Path[4]) : std::nullopt;
  if (!IsPost || !Command)
    return false;
  commandWave(*Id, *Command, Who, Respond);
  return true;
}

void FleetRoutes::startWave(const core::OperatorKey &Who,
                            const net::HttpRequest &Request,
                            const net::HttpResponder &Respond) {
  json J = bodyOf(Request);
  core::Wave W;
  W.Scope = codec::parseWaveScope(J.at("scope").get<std::string>());
  W.Name = J.value("name", "");
  W.By = Who.Name;
  W.StartedUnixMs = wallClockMs();
  std::shared_ptr<const core::Configuration> C = Config_.current();
  std::uint32_t Covered = 0;
  for (const auto &[Id, I] : Workers_.instances()) {
    const core::Pool *P = core::findPool(*C, I.Pool);
    Covered += core::covers(W, I, P ? P->Name : "") ? 1 : 0;
  }
  if (Covered == 0)
    return Respond(notFound("the wave covers no instance"));
  const auto &Waves = Work_.waves();
  W.Id.Value = Waves.empty() ? 1 : Waves.rbegin()->first.Value + 1;
  W.Why = "over " + std::to_string(Covered) + " instances";
  commitWave(W, 0, Respond);
}

void FleetRoutes::commandWave(core::WaveId Id, core::WaveCommand Command,
                              const core::OperatorKey &Who,
                              const net::HttpResponder &Respond) {
  // Reads the row itself, since this entry's copy may be a second old.
  Context_.Tables.read(
      {WaveTable, waveKey(Id)},
      [this, Command, By = Who.Name, Respond](store::ReadResult Result) {
        if (Result.Outcome != store::ReadOutcome::Ok || !Result.Found)
          return Respond(respond(
              OperationAnswer{OperationOutcome::StoreUnavailable,
                              "the store is away; nothing was written"}));
        core::Wave W = codec::parseWave(Result.Found->Value);
        std::optional<core::WaveState> To = core::next(W.State, Command);
        if (!To)
          return Respond(respond(
              OperationAnswer{OperationOutcome::Refused,
                              std::string("it is ") + codec::nameOf(W.State)}));
        W.State = *To;
        W.Why = std::string(codec::nameOf(*To)) + " by " + By;
        if (Command == core::WaveCommand::Resume)
          W.FailuresAfterUnixMs = wallClockMs();
        commitWave(W, Result.Found->Version, Respond);
      });
}

void FleetRoutes::commitWave(const core::Wave &W, std::uint64_t Version,
                             const net::HttpResponder &Respond) {
  store::RowKey Key{WaveTable, waveKey(W.Id)};
  store::Transaction T{
      "wave-" + Key.Key, {{Key, Version}}, {{Key, codec::toJson(W)}}};
  Context_.Tables.commit(std::move(T), [W,
                                        Respond](store::CommitResult Result) {
    switch (Result.Outcome) {
    case store::CommitOutcome::Committed:
      return Respond(net::jsonResponse(200, waveJson(W).dump()));
    case store::CommitOutcome::Conflict:
      return Respond(respond(OperationAnswer{
          OperationOutcome::Refused, "another change came first; look again"}));
    case store::CommitOutcome::NotApplied:
      return Respond(
          respond(OperationAnswer{OperationOutcome::StoreUnavailable,
                                  "the store is away; nothing was written"}));
    case store::CommitOutcome::Unknown:
      break;
    }
    Respond(respond(
        OperationAnswer{OperationOutcome::Unknown,
                        "the store's answer was lost; check the waves"}));
  });
}

void FleetRoutes::showWave(core::WaveId Id, const net::HttpResponder &Respond) {
  core::Wave W = Work_.waves().at(Id);
  std::shared_ptr<const core::Configuration> C = Config_.current();
  Context_.Tables.scan(
      WaveProgressTable, waveKey(Id) + "/", "", PageRows,
      [W, C, Respond](store::ScanResult Result) {
        if (Result.Outcome != store::ReadOutcome::Ok)
          return Respond(respond(OperationAnswer{
              OperationOutcome::StoreUnavailable, "the store is away"}));
        json J = waveJson(W);
        core::WaveProgress Sum;
        J["pools"] = json::array();
        for (const store::Row &Row : Result.Rows) {
          codec::WavePoolRow Part = codec::parseWavePoolRow(Row.Value);
          const core::Pool *P = core::findPool(*C, Part.Pool);
          json Item = json::parse(Row.Value);
          Item["pool"] = P ? P->Name : "";
          J["pools"].push_back(Item);
          Sum.Total += Part.Progress.Total;
          Sum.Done += Part.Progress.Done;
          Sum.Active += Part.Progress.Active;
          Sum.Failed += Part.Progress.Failed;
        }
        J["total"] = Sum.Total;
        J["done"] = Sum.Done;
        J["active"] = Sum.Active;
        J["failed"] = Sum.Failed;
        std::optional<std::int64_t> Remaining =
            core::remainingMs(W, Sum, wallClockMs());
        if (Remaining && W.State == core::WaveState::Running)
          J["remaining_ms"] = *Remaining;
        Respond(net::jsonResponse(200, J.dump()));
      });
}

bool FleetRoutes::handleDataCentres(const core::OperatorKey &Who,
                                    const Parts &Path,
                                    const net::HttpRequest &Request,
                                    const net::HttpResponder &Respond) {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  bool IsPost = Request.Method == "POST";
  if (Path.size() == 5 && IsPost && (Path[4] == "out" || Path[4] == "in")) {
    changeDataCentre(Who, Path[3], Path[4] == "out", Request, Respond);
    return true;
  }
  if (Path.size() != 4 || IsPost)
    return false;
  const core::DataCentre *D = core::findDataCentre(*C, Path[3]);
  if (!D)
    Respond(notFound("there is no data centre '" + std::string(Path[3]) + "'"));
  else
    showDataCentre(*D, Respond);
  return true;
}

void FleetRoutes::changeDataCentre(const core::OperatorKey &Who,
                                   std::string_view Name, bool Out,
                                   const net::HttpRequest &Request,
                                   const net::HttpResponder &Respond) {
  std::shared_ptr<const core::Configuration> C = Config_.current();
  std::vector<const core::Instance *> Instances;
  for (const auto &[Id, I] : Workers_.instances())
    Instances.push_back(&I);
  bool Force = bodyOf(Request).value("force", false);
  core::DataCentreDecision D = Out ? core::decideOut(*C, Name, Instances, Force)
                                   : core::decideIn(*C, Name);
  std::string Text = core::describe(D, Name);
  if (D.Answer == core::DataCentreAnswer::Unknown)
    return Respond(notFound(Text));
  if (D.Answer == core::DataCentreAnswer::AlreadyInState)
    return Respond(respond(OperationAnswer{OperationOutcome::Done, Text}));
  if (D.Answer == core::DataCentreAnswer::WouldEmptyPool)
    return Respond(respond(OperationAnswer{OperationOutcome::Refused, Text}));
  ConfigProposal Proposal;
  Proposal.By = Who.Name;
  // The decision is valid for this version only.
  Proposal.Expected = C->Version;
  core::DataCentre Item = *core::findDataCentre(*C, Name);
  Item.Out = Out;
  Proposal.Edits.push_back(core::PutDataCentre{Item});
  Config_.propose(std::move(Proposal), [Respond,
                                        Text](const ProposalResult &Result) {
    auto Index = static_cast<std::size_t>(Result.Outcome);
    std::string Message =
        Result.Message.empty() ? Text : Text + " (" + Result.Message + ")";
    bool Ok = Result.Outcome == ProposalOutcome::InForce ||
              Result.Outcome == ProposalOutcome::Pending;
    Respond(respond(ProposalTexts.at(Index), Ok ? Message : Result.Message));
  });
}

/// Asks each worker of the data centre, to list the tasks that still run.
void FleetRoutes::showDataCentre(const core::DataCentre &D,
                                 const net::HttpResponder &Respond) {
  auto Survey = std::make_shared<RunningSurvey>();
  auto Finish = [Survey, Respond, D] {
    json J = {{"datacentre", D.Name},
              {"out", D.Out},
              {"running", Survey->Running},
              {"silent", Survey->Silent}};
    Respond(net::jsonResponse(200, J.dump()));
  };
  std::vector<const core::Instance *> Located;
  for (const auto &[Id, I] : Workers_.instances())
    if (I.DataCentre == D.Name)
      Located.push_back(&I);
  Survey->Remaining = Located.size();
  if (Located.empty())
    return Finish();
  for (const core::Instance *I : Located) {
    net::HttpCall Call;
    Call.Url = "http://" + I->Address + "/v1/status";
    Call.TotalLimit = StatusTimeout;
    Context_.Workers.send(
        std::move(Call), [this, Survey, Finish, Name = I->Name](auto Result) {
          json J = json::parse(Result.Response.Body, nullptr, false);
          Context_.Control.post([Survey, Finish, Name, J] {
            if (!J.is_object() || !J.contains("running"))
              Survey->Silent.push_back(Name);
            else
              for (json Task : J["running"]) {
                Task["instance"] = Name;
                Survey->Running.push_back(Task);
              }
            if (--Survey->Remaining == 0)
              Finish();
          });
        });
  }
}

} // namespace comfreydeck::entry
