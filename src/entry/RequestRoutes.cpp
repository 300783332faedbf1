#include "entry/RequestRoutes.h"

#include "entry/TaskAnswers.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

/// Returns the verdict of a final state, nullopt while the request is in
/// progress.
std::optional<core::Verdict> verdictOf(core::RequestState State) {
  switch (State) {
  case core::RequestState::Ended:
    return core::Verdict::Ran;
  case core::RequestState::NotRun:
  case core::RequestState::Cancelled:
    return core::Verdict::NotRun;
  case core::RequestState::Unknown:
    return core::Verdict::MayHaveRun;
  default:
    return std::nullopt;
  }
}

net::HttpResponse stateResponse(const core::RequestId &Id,
                                core::RequestState State, int Status) {
  json J = {{"id", core::nameOf(Id)}, {"state", core::nameOf(State)}};
  std::optional<core::Verdict> V = verdictOf(State);
  if (V)
    J["verdict"] = nameOf(*V);
  if (State == core::RequestState::Ended && Status != 0)
    J["status"] = Status;
  net::HttpResponse Response = net::jsonResponse(200, J.dump());
  Response.Headers.push_back({"Comfreydeck-Request-Id", core::nameOf(Id)});
  return Response;
}

net::HttpResponse unknownRequest() {
  return refusalResponse(404, core::Reason::UnknownRequest,
                         core::Verdict::NotRun, "there is no such request");
}

} // namespace

RequestRoutes::RequestRoutes(const Context &C, TaskGate &Gate,
                             ClaimStore &Claims, TaskForwarder &Forwarder,
                             TaskRunner &Runner, RequestTable &Requests)
    : Context_(C), Gate_(Gate), Claims_(Claims), Forwarder_(Forwarder),
      Runner_(Runner), Requests_(Requests) {}

void RequestRoutes::handle(net::HttpRequest Request,
                           net::HttpResponder Respond) {
  Call C;
  C.Team = Gate_.teamOf(Request).value_or(core::TeamId{});
  C.Respond = std::move(Respond);
  std::vector<std::string_view> Parts = net::splitPath(Request.Path);
  if (Parts.size() == 2 && Request.Method == "POST") {
    Gate_.checkCurrent();
    return Context_.Control.post(
        [this, C = std::move(C)] { issueId(C.Team, C.Respond); });
  }
  C.IsCancel = Request.Method == "DELETE";
  std::optional<core::RequestId> Id =
      Parts.size() == 3 ? core::requestFrom(Parts[2]) : std::nullopt;
  if (!Id || (!C.IsCancel && Request.Method != "GET"))
    throw RequestError(404, core::Reason::UnknownRequest,
                       "there is no such request");
  C.Id = *Id;
  C.Request = std::move(Request);
  Context_.Control.post([this, C = std::move(C)] { handleCall(C); });
}

void RequestRoutes::issueId(core::TeamId Team,
                            const net::HttpResponder &Respond) {
  std::uint64_t Number = Gate_.nextNumber();
  core::issue(Requests_.Registry, Number, Team);
  std::string Name = core::nameOf(Gate_.tagger().idOf(Number));
  net::HttpResponse Response =
      net::jsonResponse(201, json({{"id", Name}}).dump());
  Response.Headers.push_back({"Comfreydeck-Request-Id", Name});
  Respond(std::move(Response));
}

void RequestRoutes::handleCall(const Call &C) {
  if (C.Id.From == Context_.Self)
    return handleOwn(C);
  if (net::hasHeader(C.Request.Headers, "Comfreydeck-Forwarded")) {
    net::HttpResponse Response = refusalResponse(
        409, core::Reason::IdNotIssuedHere, core::Verdict::MayHaveRun,
        "the id was issued by another entry");
    Response.Headers.push_back({"Comfreydeck-Not-Issuer", "true"});
    return C.Respond(std::move(Response));
  }
  Forwarder_.forward(C.Id.From, C.Request, [this, C](ForwardResult Forwarded) {
    if (Forwarded.IsIssuerGone)
      return handleIssuerGone(C);
    if (Forwarded.Response)
      return C.Respond(std::move(*Forwarded.Response));
    C.Respond(refusalResponse(503, core::Reason::NotCurrent,
                              core::Verdict::MayHaveRun,
                              "the entry that issued the id does not answer"));
  });
}

void RequestRoutes::handleOwn(const Call &C) {
  core::RequestRecord *Record = core::find(Requests_.Registry, C.Id.Number);
  bool IsCallersOwn =
      Record && Gate_.tagger().isOwn(C.Id) && Record->Owner == C.Team;
  if (!IsCallersOwn)
    return C.Respond(unknownRequest());
  if (C.IsCancel)
    cancel(C.Id.Number);
  Record = core::find(Requests_.Registry, C.Id.Number);
  if (!Record)
    return C.Respond(unknownRequest());
  auto Active = Requests_.Active.find(C.Id.Number);
  bool IsRunning = Active != Requests_.Active.end() && Active->second->IsSent;
  C.Respond(stateResponse(
      C.Id, IsRunning ? core::RequestState::Running : Record->State,
      Record->Outcome.Status));
}

void RequestRoutes::cancel(std::uint64_t Number) {
  auto It = Requests_.Active.find(Number);
  if (It != Requests_.Active.end()) {
    TaskPtr T = It->second;
    return Runner_.cancel(T);
  }
  const core::RequestRecord *Record = core::find(Requests_.Registry, Number);
  if (Record->State == core::RequestState::Issued)
    core::setState(Requests_.Registry, Number, core::RequestState::Cancelled);
}

void RequestRoutes::handleIssuerGone(const Call &C) {
  if (C.IsCancel)
    return C.Respond(refusalResponse(409, core::Reason::OutcomeUnknown,
                                     core::Verdict::MayHaveRun,
                                     "the entry that issued the id is gone"));
  Claims_.read(ClaimStore::rowKeyOf(C.Id), [C](const ClaimResult &Found) {
    bool Ended = Found.Step == core::ClaimStep::Repeat;
    C.Respond(stateResponse(
        C.Id, Ended ? core::RequestState::Ended : core::RequestState::Unknown,
        Found.Found.Outcome.Status));
  });
}

} // namespace comfreydeck::entry
