#include "entry/TaskAnswers.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

constexpr core::Duration ShortRetry = std::chrono::seconds(1);

/// The recommended delay before a retry for transient reasons, zero for others.
core::Duration retryAfterOf(core::Reason Why) {
  switch (Why) {
  case core::Reason::QueueFull:
  case core::Reason::OverUpperLimit:
  case core::Reason::RetryBudgetSpent:
  case core::Reason::NotCurrent:
  case core::Reason::NoOwner:
  case core::Reason::NoWorker:
  case core::Reason::StoreUnavailable:
  case core::Reason::DuplicateInProgress:
  case core::Reason::ShuttingDown:
    return ShortRetry;
  default:
    return core::Duration(0);
  }
}

void addRetryAfter(net::HttpResponse &Response, core::Duration Wait) {
  if (Wait.count() <= 0)
    return;
  auto Seconds = std::chrono::ceil<std::chrono::seconds>(Wait).count();
  Response.Headers.push_back({"Retry-After", std::to_string(Seconds)});
}

void addVerdict(net::HttpResponse &Response, core::Verdict V) {
  Response.Headers.push_back({"Comfreydeck-Verdict", std::string(nameOf(V))});
}

} // namespace

int statusOf(core::Reason Why, core::Verdict V) {
  switch (Why) {
  case core::Reason::NeverRunnable:
    return 400;
  case core::Reason::OverUpperLimit:
  case core::Reason::QueueFull:
  case core::Reason::RetryBudgetSpent:
    return 429;
  case core::Reason::DuplicateInProgress:
  case core::Reason::OutcomeUnknown:
  case core::Reason::IdNotIssuedHere:
  case core::Reason::Cancelled:
    return 409;
  case core::Reason::DeadlinePassed:
    return 504;
  case core::Reason::TargetFailed:
    return V == core::Verdict::NotRun ? 503 : 504;
  default:
    return 503;
  }
}

net::HttpResponse refusalResponse(int Status, core::Reason Why, core::Verdict V,
                                  std::string_view Message) {
  json J = {
      {"reason", nameOf(Why)}, {"verdict", nameOf(V)}, {"message", Message}};
  net::HttpResponse Response = net::jsonResponse(Status, J.dump());
  addVerdict(Response, V);
  addRetryAfter(Response, retryAfterOf(Why));
  return Response;
}

net::HttpResponse refusalResponse(const RequestError &Error) {
  return refusalResponse(Error.status(), Error.reason(), Error.verdict(),
                         Error.what());
}

net::HttpResponse answerOf(const core::RequestId &Id, TaskResult Result) {
  net::HttpResponse Out;
  if (Result.Why != core::Reason::None) {
    Out = refusalResponse(statusOf(Result.Why, Result.Verdict), Result.Why,
                          Result.Verdict, nameOf(Result.Why));
    if (!net::hasHeader(Out.Headers, "Retry-After"))
      addRetryAfter(Out, Result.RetryAfter);
  } else {
    Out.Status = Result.Response.Status;
    std::string_view Type =
        net::findHeader(Result.Response.Headers, "Content-Type");
    if (!Type.empty())
      Out.Headers.push_back({"Content-Type", std::string(Type)});
    Out.Body = std::move(Result.Response.Body);
    addVerdict(Out, Result.Verdict);
  }
  Out.Headers.push_back({"Comfreydeck-Request-Id", core::nameOf(Id)});
  return Out;
}

net::HttpResponse repeatedAnswer(const core::RequestId &Id,
                                 const core::RequestOutcome &Outcome,
                                 std::optional<std::string> Body) {
  if (!Body || Outcome.Status == 0) {
    net::HttpResponse Response =
        refusalResponse(409, core::Reason::OutcomeUnknown, core::Verdict::Ran,
                        "the request ran, but its answer was not kept");
    Response.Headers.push_back({"Comfreydeck-Request-Id", core::nameOf(Id)});
    return Response;
  }
  TaskResult Result;
  Result.Verdict = core::Verdict::Ran;
  Result.Response.Status = Outcome.Status;
  Result.Response.Body = std::move(*Body);
  if (!Outcome.ContentType.empty())
    Result.Response.Headers.push_back({"Content-Type", Outcome.ContentType});
  net::HttpResponse Response = answerOf(Id, std::move(Result));
  Response.Headers.push_back({"Comfreydeck-Repeated", "true"});
  return Response;
}

} // namespace comfreydeck::entry
