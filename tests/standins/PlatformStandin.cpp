#include "standins/PlatformStandin.h"

#include "standins/Query.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::standins {

namespace {

using nlohmann::json;
using namespace store;

json rowJson(const Row &R) {
  return {{"key", R.Key}, {"value", R.Value}, {"version", R.Version}};
}

Transaction transactionFrom(const json &J) {
  Transaction T;
  T.Id = J.at("id").get<std::string>();
  for (const json &C : J.at("conditions"))
    T.Conditions.push_back(
        {{C.at("table").get<std::string>(), C.at("key").get<std::string>()},
         C.at("version").get<std::uint64_t>()});
  for (const json &W : J.at("writes")) {
    Write Item{
        {W.at("table").get<std::string>(), W.at("key").get<std::string>()},
        std::nullopt};
    if (!W.at("value").is_null())
      Item.Value = W.at("value").get<std::string>();
    T.Writes.push_back(std::move(Item));
  }
  return T;
}

net::HttpResponse error(int Status, const char *Message) {
  return net::jsonResponse(Status, json({{"error", Message}}).dump());
}

PlatformFaults faultsFrom(const json &J) {
  PlatformFaults F;
  F.Delay = std::chrono::milliseconds(J.value("delay_ms", 0));
  F.ReadsDown = J.value("reads_down", false);
  F.WritesDown = J.value("writes_down", false);
  F.LoseAnswerEvery = J.value("lose_answer_every", 0U);
  return F;
}

} // namespace

PlatformStandin::PlatformStandin(net::HttpServerOptions Options)
    : Server_(std::move(Options),
              [this](net::HttpRequest Request, net::HttpResponder Respond) {
                handle(std::move(Request), std::move(Respond));
              }) {}

void PlatformStandin::start() {
  Timers_.start();
  Server_.start();
}

void PlatformStandin::stop() {
  Server_.stop();
  Timers_.stop();
}

std::uint16_t PlatformStandin::port() const { return Server_.port(); }

void PlatformStandin::setFaults(PlatformFaults Faults) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Faults_ = Faults;
}

PlatformCounts PlatformStandin::counts() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Counts_;
}

void PlatformStandin::setInstances(std::string Json) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Instances_ = std::move(Json);
}

void PlatformStandin::handle(net::HttpRequest Request,
                             net::HttpResponder Respond) {
  net::HttpResponse Response;
  core::Duration Delay{0};
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    try {
      Response = answer(Request);
    } catch (const json::exception &E) {
      Response = error(400, E.what());
    }
    bool IsControl = Request.Path.starts_with("/control/");
    Delay = IsControl ? core::Duration(0) : Faults_.Delay;
    if (losesAnswer(Request) && Response.Status == 200)
      Delay = std::chrono::minutes(5);
  }
  if (Delay.count() == 0)
    return Respond(std::move(Response));
  Timers_.after(
      Delay, [Respond = std::move(Respond), Response] { Respond(Response); });
}

bool PlatformStandin::losesAnswer(const net::HttpRequest &Request) {
  return Request.Path == "/v1/transactions" && Faults_.LoseAnswerEvery > 0 &&
         Counts_.Commits % Faults_.LoseAnswerEvery == 0;
}

net::HttpResponse PlatformStandin::answer(const net::HttpRequest &Request) {
  if (Request.Path.starts_with("/control/"))
    return answerControl(Request);
  if (Request.Path == "/v1/transactions")
    return answerCommit(Request);
  if (Request.Path.starts_with("/v1/tables/"))
    return answerTables(Request);
  if (Request.Path.starts_with("/v1/objects/"))
    return answerObject(Request);
  if (Request.Path == "/v1/instances") {
    ++Counts_.Lists;
    return net::jsonResponse(200, Instances_);
  }
  return error(404, "no such path");
}

net::HttpResponse
PlatformStandin::answerTables(const net::HttpRequest &Request) {
  ++Counts_.Reads;
  if (Faults_.ReadsDown)
    return error(503, "reads are down");
  std::vector<std::string_view> Parts = net::splitPath(Request.Path);
  if (Parts.size() < 4 || Parts[3] != "rows")
    return error(404, "no such path");
  std::string Table = unescape(Parts[2]);
  if (Parts.size() == 5) {
    std::optional<Row> Found = Tables_.read({Table, unescape(Parts[4])});
    if (!Found)
      return error(404, "no such row");
    return net::jsonResponse(200, rowJson(*Found).dump());
  }
  std::string Limit = queryValue(Request.Query, "limit");
  ScanResult Scan =
      Tables_.scan(Table, queryValue(Request.Query, "prefix"),
                   queryValue(Request.Query, "after"),
                   Limit.empty() ? 1000U
                                 : static_cast<std::uint32_t>(std::strtoul(
                                       Limit.c_str(), nullptr, 10)));
  json Body = {{"rows", json::array()}, {"more", Scan.More}};
  for (const Row &R : Scan.Rows)
    Body["rows"].push_back(rowJson(R));
  return net::jsonResponse(200, Body.dump());
}

net::HttpResponse
PlatformStandin::answerCommit(const net::HttpRequest &Request) {
  ++Counts_.Commits;
  if (Faults_.WritesDown)
    return error(503, "writes are down");
  CommitResult Result =
      Tables_.commit(transactionFrom(json::parse(Request.Body)));
  if (Result.Outcome == CommitOutcome::Conflict)
    return error(409, "a condition does not hold");
  return net::jsonResponse(200, json({{"versions", Result.Versions}}).dump());
}

net::HttpResponse
PlatformStandin::answerObject(const net::HttpRequest &Request) {
  ++Counts_.Objects;
  if (Request.Method == "PUT" ? Faults_.WritesDown : Faults_.ReadsDown)
    return error(503, "the object store is down");
  std::string Name = unescape(std::string_view(Request.Path)
                                  .substr(std::string("/v1/objects/").size()));
  if (Request.Method == "PUT") {
    Objects_[Name] = Request.Body;
    return net::jsonResponse(200, "{}");
  }
  auto It = Objects_.find(Name);
  if (It == Objects_.end())
    return error(404, "no such object");
  net::HttpResponse Response;
  Response.Body = It->second;
  return Response;
}

net::HttpResponse
PlatformStandin::answerControl(const net::HttpRequest &Request) {
  if (Request.Path == "/control/faults")
    Faults_ = faultsFrom(json::parse(Request.Body));
  else if (Request.Path == "/control/instances")
    Instances_ = Request.Body;
  else if (Request.Path == "/control/counts")
    return net::jsonResponse(200, json({{"reads", Counts_.Reads},
                                        {"commits", Counts_.Commits},
                                        {"objects", Counts_.Objects},
                                        {"lists", Counts_.Lists}})
                                      .dump());
  else
    return error(404, "no such path");
  return net::jsonResponse(200, "{}");
}

} // namespace comfreydeck::standins
