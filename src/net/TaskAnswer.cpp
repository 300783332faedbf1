#include "net/TaskAnswer.h"

namespace comfreydeck::net {

core::ExchangeEnd endOfStart(const HttpResult &Result,
                             std::string_view TaskId) {
  if (Result.End != core::ExchangeEnd::Answered)
    return Result.End;
  const std::vector<HttpHeader> &Headers = Result.Response.Headers;
  if (findHeader(Headers, "Task-Id") != TaskId)
    return core::ExchangeEnd::WrongRequest;
  if (hasHeader(Headers, "Task-Refused"))
    return core::ExchangeEnd::RefusedByTarget;
  return core::ExchangeEnd::Answered;
}

bool wasStopped(const HttpResponse &Response) {
  return hasHeader(Response.Headers, "Task-Stopped");
}

} // namespace comfreydeck::net
