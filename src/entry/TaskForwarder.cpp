#include "entry/TaskForwarder.h"

namespace comfreydeck::entry {

namespace {

constexpr core::Duration CallLimit = std::chrono::seconds(3);
/// Time past a request's deadline to wait for the issuer's answer.
constexpr core::Duration AnswerGrace = std::chrono::seconds(1);
constexpr std::uint32_t MilliPerCpu = 1000;

std::string inMs(core::Duration D) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(D).count());
}

std::vector<net::HttpHeader> headersOf(const Task &T) {
  const TaskRequest &R = T.Request;
  core::Duration Remaining = *T.Demand.Deadline - net::now();
  std::vector<net::HttpHeader> Headers = {
      {"Comfreydeck-Request-Id", core::nameOf(T.Id)},
      {"Comfreydeck-Idempotent", "false"},
      {"Comfreydeck-Deadline-Ms", inMs(std::max(Remaining, core::Duration(0)))},
      {"Comfreydeck-Urgent", R.Urgent ? "true" : "false"},
      {"Comfreydeck-Cpus", std::to_string(R.Size.MilliCpus / MilliPerCpu)},
      {"Comfreydeck-Memory-Mb", std::to_string(R.Size.MemoryMb)},
      {"Comfreydeck-Accelerators", std::to_string(R.Size.Accelerators)},
      {"Content-Type", R.ContentType}};
  if (R.Run.count() > 0)
    Headers.push_back({"Comfreydeck-Run-Ms", inMs(R.Run)});
  if (!R.KeySecret.empty())
    Headers.push_back({"Authorization", "Bearer " + R.KeySecret});
  return Headers;
}

/// Copies a response with only the headers that callers may see.
net::HttpResponse withCallerHeaders(net::HttpResponse Response) {
  net::HttpResponse Out;
  Out.Status = Response.Status;
  Out.Body = std::move(Response.Body);
  for (net::HttpHeader &Header : Response.Headers) {
    bool IsForCaller = Header.Name.starts_with("Comfreydeck-") ||
                       Header.Name == "Content-Type" ||
                       Header.Name == "Retry-After";
    if (IsForCaller)
      Out.Headers.push_back(std::move(Header));
  }
  return Out;
}

} // namespace

TaskForwarder::TaskForwarder(const Context &C, const Membership &Members)
    : Context_(C), Members_(Members) {}

void TaskForwarder::forward(const Task &T, ForwardDone Done) {
  net::HttpCall Call;
  Call.Method = "POST";
  Call.Url = "/v1/queues/" + T.Request.Queue + "/tasks";
  Call.Headers = headersOf(T);
  Call.Body = T.Request.Body;
  Call.TotalLimit = *T.Demand.Deadline - net::now() + AnswerGrace;
  send(T.Id.From, std::move(Call), std::move(Done));
}

void TaskForwarder::forward(core::Incarnation Issuer,
                            const net::HttpRequest &Request, ForwardDone Done) {
  net::HttpCall Call;
  Call.Method = Request.Method;
  Call.Url = Request.Path;
  if (net::hasHeader(Request.Headers, "Authorization"))
    Call.Headers.push_back(
        {"Authorization",
         std::string(net::findHeader(Request.Headers, "Authorization"))});
  Call.TotalLimit = CallLimit;
  send(Issuer, std::move(Call), std::move(Done));
}

void TaskForwarder::send(core::Incarnation Issuer, net::HttpCall Call,
                         ForwardDone Done) {
  const Member *Found = Members_.find(Issuer);
  if (!Found)
    return Done({true, std::nullopt});
  Call.Url = "http://" + Found->HttpAddress + Call.Url;
  Call.Headers.push_back({"Comfreydeck-Forwarded", "1"});
  Call.OwnConnection = true;
  Context_.Workers.send(
      std::move(Call), [this, Done = std::move(Done)](net::HttpResult Result) {
        ForwardResult Forwarded;
        if (Result.End == core::ExchangeEnd::Answered) {
          // Another process now has the issuer's address.
          Forwarded.IsIssuerGone =
              net::hasHeader(Result.Response.Headers, "Comfreydeck-Not-Issuer");
          Forwarded.Response = withCallerHeaders(std::move(Result.Response));
        }
        Context_.Control.post([Done, Forwarded] { Done(Forwarded); });
      });
}

} // namespace comfreydeck::entry
