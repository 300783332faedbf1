#include "operators/OperatorClient.h"

#include <nlohmann/json.hpp>

#include <future>

namespace comfreydeck::operators {

namespace {

using nlohmann::json;

constexpr core::Duration CallLimit = std::chrono::seconds(30);
constexpr int FirstErrorStatus = 400;
constexpr int ConflictStatus = 409;

/// Returns the errors of a refused change, one per line, or the answer's
/// message.
std::string refusalMessage(const net::HttpResponse &Response) {
  json J = json::parse(Response.Body, nullptr, false);
  if (!J.is_object())
    return "status " + std::to_string(Response.Status);
  std::string Text;
  for (const json &Fault : J.value("faults", json::array())) {
    std::string Field = Fault.value("field", std::string());
    Text += (Text.empty() ? "" : "\n") + std::string("edit ") +
            std::to_string(Fault.value("edit", 0)) +
            (Field.empty() ? "" : ", " + Field) + ": " +
            Fault.value("message", std::string());
  }
  if (!Text.empty())
    return Text;
  return J.value("error", J.value("message", Response.Body));
}

} // namespace

OperatorClient::OperatorClient(OperatorAccess Access)
    : Access_(std::move(Access)), Client_(net::HttpClientOptions()) {}

net::HttpResult OperatorClient::sendTo(const std::string &Entry,
                                       const std::string &Method,
                                       const std::string &Path,
                                       const std::string &Body) {
  net::HttpCall Call;
  Call.Method = Method;
  Call.Url = Entry + Path;
  Call.Headers.push_back({"Authorization", "Bearer " + Access_.KeySecret});
  Call.Body = Body;
  Call.TotalLimit = CallLimit;
  Call.OwnConnection = Method != "GET";
  std::promise<net::HttpResult> Promise;
  Client_.send(std::move(Call), [&Promise](net::HttpResult Result) {
    Promise.set_value(std::move(Result));
  });
  return Promise.get_future().get();
}

net::HttpResponse OperatorClient::send(const std::string &Method,
                                       const std::string &Path,
                                       const std::string &Body) {
  std::string Failures;
  for (const std::string &Entry : Access_.Entries) {
    net::HttpResult Result = sendTo(Entry, Method, Path, Body);
    if (Result.End == core::ExchangeEnd::Answered)
      return std::move(Result.Response);
    bool MayHaveActed =
        Result.End != core::ExchangeEnd::NeverSent && Method != "GET";
    if (MayHaveActed)
      throw OperatorError(
          "the answer of " + Entry +
          " was lost, and the change may have been made: " + Result.Error);
    Failures += (Failures.empty() ? "" : "\n") +
                std::string("no answer from ") + Entry + ": " + Result.Error;
  }
  throw OperatorError(Failures);
}

std::string OperatorClient::call(const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Body) {
  net::HttpResponse Response = send(Method, Path, Body);
  throwIfRefused(Response);
  return Response.Body;
}

void throwIfRefused(const net::HttpResponse &Response) {
  if (Response.Status < FirstErrorStatus)
    return;
  throw OperatorError(refusalMessage(Response),
                      Response.Status == ConflictStatus ? ExitCode::Conflict
                                                        : ExitCode::Failed);
}

} // namespace comfreydeck::operators
