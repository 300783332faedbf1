#include "adapter/FakePlatform.h"

#include <curl/curl.h>

#include <algorithm>

namespace comfreydeck::tests {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Interval at which a long-polling call is checked again.
constexpr int PollIntervalMs = 10;
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusGone = 410;
constexpr int StatusPreconditionFailed = 412;
constexpr std::size_t PageRows = 500;

std::string unescape(const std::string &Text) {
  int Length = 0;
  char *Plain = curl_easy_unescape(nullptr, Text.data(),
                                   static_cast<int>(Text.size()), &Length);
  std::string Result(Plain, static_cast<std::size_t>(Length));
  curl_free(Plain);
  return Result;
}

std::map<std::string, std::string> parseQuery(const std::string &Query) {
  std::map<std::string, std::string> Fields;
  std::size_t At = 0;
  while (At < Query.size()) {
    std::size_t End = std::min(Query.find('&', At), Query.size());
    std::string Field = Query.substr(At, End - At);
    std::size_t Equals = std::min(Field.find('='), Field.size() - 1);
    Fields[Field.substr(0, Equals)] = unescape(Field.substr(Equals + 1));
    At = End + 1;
  }
  return Fields;
}

std::string fieldOf(const std::map<std::string, std::string> &Query,
                    const char *Name) {
  auto It = Query.find(Name);
  return It == Query.end() ? "" : It->second;
}

std::uint64_t numberOf(const std::map<std::string, std::string> &Query,
                       const char *Name) {
  std::string Text = fieldOf(Query, Name);
  return Text.empty() ? 0 : std::stoull(Text);
}

std::int64_t clockMs() {
  return std::chrono::duration_cast<milliseconds>(net::now().time_since_epoch())
      .count();
}

} // namespace

// The store.

FakeStore::FakeStore(net::Loop &Timers)
    : Timers_(Timers),
      Server_({}, [this](net::HttpRequest Request, net::HttpResponder Respond) {
        handle(Request, std::move(Respond));
      }) {}

std::string FakeStore::address() const {
  return "127.0.0.1:" + std::to_string(Server_.port());
}

void FakeStore::dropHistory() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  HistoryFrom_ = ++Version_;
}

void FakeStore::applyLate(int Count, core::Duration Delay) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  TransactionsToDelay_ = Count;
  TransactionDelay_ = Delay;
}

/// Whether the transaction is to be committed later and without an answer.
bool FakeStore::postpone(const std::string &Body) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (TransactionsToDelay_ == 0)
    return false;
  --TransactionsToDelay_;
  Timers_.after(TransactionDelay_, [this, Body] { commit(Json::parse(Body)); });
  return true;
}

void FakeStore::handle(const net::HttpRequest &Request,
                       net::HttpResponder Respond) {
  if (int Status = FailureStatus_) {
    Respond(net::jsonResponse(Status, "{}"));
    return;
  }
  std::map<std::string, std::string> Query = parseQuery(Request.Query);
  if (Request.Path == "/v1/rows-tx") {
    if (postpone(Request.Body))
      return;
    net::HttpResponse Answer = commit(Json::parse(Request.Body));
    // A call whose responder is destroyed gets no answer.
    if (ResponsesToDrop_ > 0)
      --ResponsesToDrop_;
    else
      Respond(std::move(Answer));
  } else if (Request.Path == "/v1/rows-get") {
    Respond(read(Query));
  } else if (Request.Path == "/v1/rows-feed") {
    serveFeed(Query, static_cast<int>(numberOf(Query, "WaitMs")), Respond);
  } else {
    Respond(net::jsonResponse(StatusNotFound, "{}"));
  }
}

Json FakeStore::rowJson(const RowKey &Where, const Row &Stored) const {
  Json Object = {{"TableName", Where[0]},
                 {"part", Where[1]},
                 {"Key", Where[2]},
                 {"RowVersion", Stored.Version}};
  if (Stored.Removed)
    Object["Deleted"] = true;
  else
    Object["Value"] = Stored.Value;
  return Object;
}

std::chrono::milliseconds FakeStore::clock() {
  return std::chrono::duration_cast<milliseconds>(
             net::bootNow().time_since_epoch()) +
         std::chrono::hours(30);
}

std::string FakeStore::answerBody(Json Fields) const {
  Fields["RowVersion"] = Version_;
  Fields["CurrentTimeMs"] = clock().count();
  return Fields.dump();
}

net::HttpResponse FakeStore::commit(const Json &Body) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto RowKeyOf = [](const Json &Entry) {
    return RowKey{Entry.at("TableName"), Entry.value("part", ""),
                  Entry.at("Key")};
  };
  bool Matches = true;
  Json Current = Json::array();
  for (const Json &Entry : Body.at("Expected")) {
    auto It = Rows_.find(RowKeyOf(Entry));
    bool Exists = It != Rows_.end() && !It->second.Removed;
    std::uint64_t StoredVersion = Exists ? It->second.Version : 0;
    Matches =
        Matches && StoredVersion == Entry.at("RowVersion").get<std::uint64_t>();
    if (Exists)
      Current.push_back(rowJson(It->first, It->second));
  }
  if (!Matches)
    return net::jsonResponse(StatusPreconditionFailed,
                             answerBody({{"rows", Current}}));
  ++Version_;
  for (const char *Changes : {"Puts", "Remove"})
    for (const Json &Entry : Body.at(Changes))
      ChangedAt_[Entry.at("TableName")] = Version_;
  for (const Json &Entry : Body.at("Puts"))
    Rows_[RowKeyOf(Entry)] = {Entry.at("Value"), Version_, false};
  for (const Json &Entry : Body.at("Remove"))
    Rows_[RowKeyOf(Entry)] = {"", Version_, true};
  return net::jsonResponse(StatusOk, answerBody(Json::object()));
}

net::HttpResponse
FakeStore::read(const std::map<std::string, std::string> &Query) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Json Rows = Json::array();
  bool More = false;
  std::string To = fieldOf(Query, "To");
  RowKey From = {fieldOf(Query, "TableName"), fieldOf(Query, "part"),
                 fieldOf(Query, "From")};
  for (auto It = Rows_.lower_bound(From); It != Rows_.end(); ++It) {
    bool Inside = It->first[0] == From[0] && It->first[1] == From[1] &&
                  (To.empty() || It->first[2] < To);
    if (!Inside)
      break;
    More = Rows.size() >= PageRows;
    if (More)
      break;
    if (!It->second.Removed)
      Rows.push_back(rowJson(It->first, It->second));
  }
  return net::jsonResponse(StatusOk,
                           answerBody({{"rows", Rows}, {"HasMore", More}}));
}

void FakeStore::serveFeed(const std::map<std::string, std::string> &Query,
                          int RemainingMs, const net::HttpResponder &Respond) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  std::uint64_t After = numberOf(Query, "After");
  if (After < HistoryFrom_) {
    Respond(net::jsonResponse(StatusGone, "{}"));
    return;
  }
  std::map<std::uint64_t, Json> Changed;
  std::string Table = fieldOf(Query, "TableName");
  bool HasChanged = ChangedAt_[Table] > After;
  for (auto It = Rows_.lower_bound({Table, "", ""});
       HasChanged && It != Rows_.end() && It->first[0] == Table; ++It)
    if (const auto &[Where, Stored] = *It; Stored.Version > After)
      Changed[Stored.Version].push_back(rowJson(Where, Stored));
  Json Rows = Json::array();
  for (const auto &[Version, RowsAtVersion] : Changed)
    for (const Json &ChangedRow : RowsAtVersion)
      Rows.push_back(ChangedRow);
  if (Rows.empty() && RemainingMs > 0) {
    Timers_.after(milliseconds(PollIntervalMs),
                  [this, Query, RemainingMs, Respond] {
                    serveFeed(Query, RemainingMs - PollIntervalMs, Respond);
                  });
    return;
  }
  Respond(net::jsonResponse(StatusOk, answerBody({{"rows", Rows}})));
}

// A worker.

FakeWorker::FakeWorker(net::Loop &Timers, std::string Id, int TaskMs)
    : Timers_(Timers), Id_(std::move(Id)), TaskMs_(TaskMs),
      Server_({}, [this](const net::HttpRequest &Request,
                         const net::HttpResponder &Respond) {
        handle(Request, Respond);
      }) {}

std::string FakeWorker::entry(const std::string &Pool) const {
  return Json({{"ServiceName", Pool},
               {"Address", "127.0.0.1:" + std::to_string(Server_.port())},
               {"Zone", "z1"},
               {"State", "ready"},
               {"born", 1},
               {"Labels", {"a", "r1-1"}},
               {"Capacity",
                {{"Cpu", 8000}, {"MemoryRequestMb", 8000}, {"Gpus", 0}}}})
      .dump();
}

std::map<std::string, int> FakeWorker::starts() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Starts_;
}

int FakeWorker::duplicateStarts() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return DuplicateStarts_;
}

bool FakeWorker::isRunning(const std::string &Task) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  endDueRuns();
  return Running_.count(Task) != 0;
}

std::uint64_t FakeWorker::fencingToken() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return FencingToken_;
}

void FakeWorker::handle(const net::HttpRequest &Request,
                        const net::HttpResponder &Respond) {
  Json Body = Json::parse(Request.Body, nullptr, false);
  if (!Body.is_object()) {
    Respond(net::jsonResponse(StatusBadRequest, "{}"));
    return;
  }
  if (Request.Path == "/v1/hold") {
    hold(Body, Body.value("WaitMs", 0), Respond);
    return;
  }
  Json Answer = Request.Path == "/v1/run-start" ? start(Body) : stopRun(Body);
  int Status = Answer.contains("Reason") ? StatusConflict : StatusOk;
  Answer["ClockMs"] = clockMs();
  Respond(net::jsonResponse(Status, Answer.dump()));
}

bool FakeWorker::raiseFencingToken(const Json &Body) {
  std::uint64_t Token = Body.value("FencingToken", std::uint64_t{0});
  if (Token < FencingToken_)
    return false;
  FencingToken_ = Token;
  LeaseEndMs_ =
      std::max(LeaseEndMs_, Body.value("DeadlineMs", std::int64_t{0}));
  return true;
}

void FakeWorker::end(const std::string &Task, std::uint64_t RunId,
                     const char *How) {
  Ended_.push_back({++LastEnd_, Task, RunId, How, ""});
}

void FakeWorker::endDueRuns() {
  core::TimePoint Now = net::now();
  for (auto It = Running_.begin(); It != Running_.end();) {
    bool Lapsed = clockMs() >= LeaseEndMs_;
    bool HasEnded = Lapsed || Now >= It->second.EndsAt;
    if (HasEnded)
      end(It->first, It->second.Id, Lapsed ? "lapsed" : "done");
    It = HasEnded ? Running_.erase(It) : std::next(It);
  }
}

Json FakeWorker::start(const Json &Body) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  endDueRuns();
  if (!raiseFencingToken(Body))
    return {{"Reason", "fence"}};
  std::string Task = Body.at("Task");
  std::uint64_t RunId = Body.at("RunId");
  auto It = Running_.find(Task);
  if (It != Running_.end() && It->second.Id == RunId)
    return Json::object();
  DuplicateStarts_ += It != Running_.end() ? 1 : 0;
  ++Starts_[Task];
  Running_[Task] = {RunId, net::now() + milliseconds(TaskMs_)};
  return Json::object();
}

Json FakeWorker::stopRun(const Json &Body) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  endDueRuns();
  if (!raiseFencingToken(Body))
    return {{"Reason", "fence"}};
  auto It = Running_.find(Body.at("Task").get<std::string>());
  if (It != Running_.end() &&
      It->second.Id == Body.at("RunId").get<std::uint64_t>()) {
    end(It->first, It->second.Id, "stopped");
    Running_.erase(It);
  }
  return Json::object();
}

void FakeWorker::hold(const Json &Body, int RemainingMs,
                      const net::HttpResponder &Respond) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  endDueRuns();
  if (!raiseFencingToken(Body)) {
    Respond(net::jsonResponse(
        StatusConflict,
        Json({{"Reason", "fence"}, {"ClockMs", clockMs()}}).dump()));
    return;
  }
  std::uint64_t Seen = Body.value("LastSeen", std::uint64_t{0});
  Json Unseen = Json::array();
  for (const Json &End : Ended_)
    if (End.at(0).get<std::uint64_t>() > Seen)
      Unseen.push_back(End);
  Ended_ = Unseen;
  if (Ended_.empty() && RemainingMs > 0) {
    Timers_.after(milliseconds(PollIntervalMs),
                  [this, Body, RemainingMs, Respond] {
                    hold(Body, RemainingMs - PollIntervalMs, Respond);
                  });
    return;
  }
  Json Running = Json::array();
  for (const auto &[Task, Active] : Running_)
    Running.push_back({Task, Active.Id, "", 50, 0});
  Respond(net::jsonResponse(StatusOk, Json({{"ClockMs", clockMs()},
                                            {"born", 1},
                                            {"Running", Running},
                                            {"EndedRuns", Ended_}})
                                          .dump()));
}

} // namespace comfreydeck::tests
