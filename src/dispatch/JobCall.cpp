#include "dispatch/JobCall.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;

namespace {

/// An answer is sent this long before its caller's deadline.
constexpr milliseconds AnswerMargin(150);
/// Retry-After of a refusal, in seconds.
constexpr const char *RetryAfterS = "1";

const char *nameOf(CallKind Kind) {
  switch (Kind) {
  case CallKind::Submit:
    return "submit";
  case CallKind::ReadState:
    return "state";
  case CallKind::Cancel:
    return "cancel";
  case CallKind::CountPending:
    return "pending";
  }
  return "";
}

} // namespace

core::Duration storeTimeout(const JobCall &Call, core::Duration Limit) {
  core::Duration Left =
      Call.ReceivedAt + Call.Asked.Deadline - AnswerMargin - bootNow();
  return std::clamp<core::Duration>(Left, CallStoreRetry, Limit);
}

bool isTimeLeft(const JobCall &Call) {
  core::TimePoint Until = Call.ReceivedAt + Call.Asked.Deadline - AnswerMargin;
  return bootNow() + CallStoreRetry < Until;
}

void CallAnswers::answer(const JobCall &Call, int Status, std::string Body) {
  const char *Name = nameOf(Call.Asked.Kind);
  Ctx_.Count.recordAnswer(Name, Status, "");
  std::chrono::duration<double> Took = bootNow() - Call.ReceivedAt;
  Ctx_.Count.recordLatency(Name, Took.count());
  Call.Respond(net::jsonResponse(Status, std::move(Body)));
}

void CallAnswers::refuse(const JobCall &Call, int Status, const char *Reason,
                         const std::string &Detail) {
  const char *Name = nameOf(Call.Asked.Kind);
  Ctx_.Count.recordAnswer(Name, Status, Reason);
  auto AgeMs = std::chrono::duration_cast<milliseconds>(
      bootNow() - View_.configCurrentAt());
  if (Status != status::Gone)
    logEvent("call_refused", {{"call", Name},
                              {"job", Call.JobId},
                              {"status", Status},
                              {"reason", Reason},
                              {"config_age_ms", AgeMs.count()}});
  nlohmann::json Body = {{"error", Reason}};
  if (!Detail.empty())
    Body["detail"] = Detail;
  net::HttpResponse Response = net::jsonResponse(
      Status,
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (Status == status::Unavailable)
    Response.Headers.push_back({"Retry-After", RetryAfterS});
  Call.Respond(std::move(Response));
}

} // namespace comfreydeck::dispatch
