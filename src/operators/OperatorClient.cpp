#include "operators/OperatorClient.h"

#include <future>

namespace comfreydeck::operators {

namespace {

constexpr core::Duration CallLimit = std::chrono::seconds(30);
constexpr int FirstErrorStatus = 400;

} // namespace

OperatorClient::OperatorClient(OperatorAccess Access)
    : Access_(std::move(Access)), Client_(net::HttpClientOptions()) {}

std::string OperatorClient::call(const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Body) {
  net::HttpCall Call;
  Call.Method = Method;
  Call.Url = Access_.Entry + Path;
  Call.Headers.push_back({"Authorization", "Bearer " + Access_.KeySecret});
  Call.Body = Body;
  Call.TotalLimit = CallLimit;
  Call.MayResend = Method == "GET";
  std::promise<net::HttpResult> Promise;
  Client_.send(std::move(Call), [&Promise](net::HttpResult Result) {
    Promise.set_value(std::move(Result));
  });
  net::HttpResult Result = Promise.get_future().get();
  if (Result.End != core::ExchangeEnd::Answered)
    throw OperatorError("no answer from " + Access_.Entry + ": " +
                        Result.Error);
  if (Result.Response.Status >= FirstErrorStatus)
    throw OperatorError(Result.Response.Body);
  return Result.Response.Body;
}

} // namespace comfreydeck::operators
