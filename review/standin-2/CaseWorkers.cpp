#include "CaseWorkers.h"

#include <algorithm>

namespace comfreydeck::review {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr int PollMs = 20;
constexpr milliseconds MaxLease(10000);
constexpr milliseconds GangTimeout(3000);
constexpr std::size_t MaxEndsListed = 500;
constexpr std::size_t WorkersPerRack = 4;
constexpr int StatusOk = 200;
constexpr int StatusBad = 400;
constexpr int StatusConflict = 409;
constexpr int StatusMisdirected = 421;

} // namespace

CaseWorkers::CaseWorkers(net::Loop &Timers, std::size_t Count,
                         std::function<void(const std::string &)> Write)
    : Timers_(Timers), Write_(std::move(Write)), Workers_(Count) {
  for (std::size_t N = 0; N < Count; ++N) {
    reset(Workers_[N]);
    Workers_[N].Server = std::make_unique<net::HttpServer>(
        net::HttpServerOptions{}, [this, N](const net::HttpRequest &Request,
                                            const net::HttpResponder &Respond) {
          handle(N, Request, Respond);
        });
  }
}

void CaseWorkers::start() {
  for (Worker &W : Workers_)
    W.Server->start();
}

void CaseWorkers::stop() {
  for (Worker &W : Workers_)
    W.Server->stop();
}

std::string CaseWorkers::idOf(std::size_t N) const {
  return "i-" + std::to_string(N) + "-" + std::to_string(Workers_[N].Life);
}

std::string CaseWorkers::id(std::size_t N) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return idOf(N);
}

void CaseWorkers::setKind(std::size_t N, const std::string &Kind) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Workers_[N].Kind = Kind;
}

std::string CaseWorkers::kind(std::size_t N) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Workers_[N].Kind;
}

void CaseWorkers::setGang(const std::string &Job, std::size_t Members) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Gangs_[Job] = Members;
}

void CaseWorkers::setLasting(const std::string &Job) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Lasting_.insert(Job);
}

std::size_t CaseWorkers::membersOf(const std::string &Task) const {
  auto Gang = Gangs_.find(Task.substr(0, Task.find('.')));
  return Gang == Gangs_.end() ? 1 : Gang->second;
}

std::string CaseWorkers::row(std::size_t N, const std::string &Pool) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Worker &W = Workers_[N];
  std::string Rack = "r1-" + std::to_string(1 + N / WorkersPerRack);
  return Json({{"ServiceName", Pool},
               {"Address", "127.0.0.1:" + std::to_string(W.Server->port())},
               {"Zone", "z1"},
               {"Version", "v1"},
               {"Slots", 8},
               {"State", "ready"},
               {"ColdRemainingMs", 0},
               {"Sequence", ++W.Sequence},
               {"born", W.BornMs},
               {"ClockMs", clockOf(W)},
               {"Labels", {W.Kind, Rack}},
               {"Capacity",
                {{"Cpu", 4000}, {"MemoryRequestMb", 8000}, {"Gpus", 0}}}})
      .dump();
}

void CaseWorkers::reset(Worker &W) {
  W.BornAt = net::now();
  W.BornMs = std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  W.Token = 0;
  W.LeaseEnd = W.BornAt;
  W.Running.clear();
  W.EndedRunOf.clear();
  W.Ended.clear();
  W.LastEnd = 0;
  W.Sequence = 0;
}

std::int64_t CaseWorkers::clockOf(const Worker &W) {
  auto Ms = std::chrono::duration_cast<milliseconds>(net::now() - W.BornAt);
  return Ms.count() + 1;
}

void CaseWorkers::end(std::size_t N, core::Duration Down, bool IsReplaced) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  advance(N);
  Worker &W = Workers_[N];
  std::map<std::string, Run> Lost = std::exchange(W.Running, {});
  Write_("worker " + idOf(N) + (IsReplaced ? " is taken away" : " crashes"));
  for (const auto &[Task, Active] : Lost) {
    Write_("worker " + idOf(N) + " loses " + Task + " #" +
           std::to_string(Active.Id));
    if (membersOf(Task) > 1)
      endGang(Task, Active.Id, "broken");
  }
  ++W.Incarnation;
  W.Down = true;
  Timers_.after(Down, [this, N, IsReplaced] {
    std::lock_guard<std::mutex> Later(Mutex_);
    Worker &Next = Workers_[N];
    Next.Life += IsReplaced ? 1 : 0;
    reset(Next);
    Next.Down = false;
    Write_("worker " + idOf(N) + " is up, a new incarnation");
  });
}

void CaseWorkers::crash(std::size_t N, core::Duration Down) {
  end(N, Down, false);
}

void CaseWorkers::replace(std::size_t N, core::Duration Down) {
  end(N, Down, true);
}

bool CaseWorkers::isRunning(std::size_t N, const std::string &Task) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  advance(N);
  return Workers_[N].Running.contains(Task);
}

bool CaseWorkers::isDown(std::size_t N) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Workers_[N].Down;
}

std::vector<CaseWorkers::Seen> CaseWorkers::starts() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Starts_;
}

int CaseWorkers::countEnds(const std::string &Job, const std::string &How) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Ends_[{Job, How}];
}

void CaseWorkers::endRun(std::size_t N, const std::string &Task,
                         const char *How) {
  Worker &W = Workers_[N];
  Run Ended = W.Running.at(Task);
  W.Running.erase(Task);
  W.EndedRunOf[Task] = std::max(W.EndedRunOf[Task], Ended.Id);
  std::string Saved = savedOf(Ended, net::now(), true);
  if (std::string_view(How) == "done")
    Saved.clear();
  W.Ended.push_back({++W.LastEnd, Task, Ended.Id, How, Saved});
  ++Ends_[{Task.substr(0, Task.find('.')), How}];
  Write_("worker " + idOf(N) + " ends " + Task + " #" +
         std::to_string(Ended.Id) + " " + How +
         (Saved.empty() ? "" : ", saved " + Saved));
}

int CaseWorkers::percentOf(const Run &Active) {
  if (!Active.BeganAt || Active.WorkMs == 0)
    return 0;
  auto Worked =
      std::chrono::duration_cast<milliseconds>(net::now() - *Active.BeganAt);
  // A lasting task is at work after its startup.
  constexpr milliseconds Startup(300);
  if (Active.IsLasting)
    return Worked >= Startup ? 100 : 0;
  constexpr std::int64_t Most = 99;
  return static_cast<int>(std::min(
      Most, 100 * (Active.ResumedMs + Worked.count()) / Active.WorkMs));
}

/// The progress that the run has saved: each half second of work, and at a
/// stop.
std::string CaseWorkers::savedOf(const Run &Active, core::TimePoint At,
                                 bool Exact) {
  std::int64_t Ms = Active.ResumedMs;
  if (Active.BeganAt)
    Ms +=
        std::chrono::duration_cast<milliseconds>(At - *Active.BeganAt).count();
  constexpr std::int64_t Interval = 500;
  if (!Exact)
    Ms -= Ms % Interval;
  return Ms > 0 ? "c" + std::to_string(Ms) : "";
}

/// Lets a gang's members work once all of them are present.
void CaseWorkers::beginGang(const std::string &Task, std::uint64_t RunId) {
  std::string Prefix = Task.substr(0, Task.rfind('.') + 1);
  std::vector<Run *> Present;
  for (Worker &W : Workers_)
    for (auto &[Name, Active] : W.Running)
      if (Name.starts_with(Prefix) && Active.Id == RunId)
        Present.push_back(&Active);
  if (Present.size() < membersOf(Task))
    return;
  core::TimePoint Now = net::now();
  for (Run *Active : Present) {
    Active->BeganAt = Now;
    Active->EndsAt = Now + milliseconds(Active->WorkMs - Active->ResumedMs);
  }
}

void CaseWorkers::endGang(const std::string &Task, std::uint64_t RunId,
                          const char *How) {
  std::string Prefix = Task.substr(0, Task.rfind('.') + 1);
  for (std::size_t N = 0; N < Workers_.size(); ++N) {
    std::vector<std::string> Others;
    for (const auto &[Name, Active] : Workers_[N].Running)
      if (Name.starts_with(Prefix) && Active.Id == RunId)
        Others.push_back(Name);
    for (const std::string &Other : Others)
      endRun(N, Other, How);
  }
}

void CaseWorkers::advance(std::size_t N) {
  Worker &W = Workers_[N];
  core::TimePoint Now = net::now();
  std::vector<std::pair<std::string, const char *>> Due;
  for (const auto &[Task, Active] : W.Running)
    if (Active.EndsAt <= std::min(Now, W.LeaseEnd))
      Due.emplace_back(Task, Active.BeganAt ? "done" : "alone");
    else if (W.LeaseEnd <= Now)
      Due.emplace_back(Task, "lapsed");
  for (const auto &[Task, How] : Due) {
    // It may have ended with its gang.
    auto It = W.Running.find(Task);
    if (It == W.Running.end())
      continue;
    std::uint64_t RunId = It->second.Id;
    endRun(N, Task, How);
    if (membersOf(Task) > 1)
      endGang(Task, RunId, std::string_view(How) == "done" ? "done" : "broken");
  }
}

bool CaseWorkers::raise(Worker &W, const Json &Body) {
  std::uint64_t Token = Body.value("FencingToken", std::uint64_t{0});
  if (Token < W.Token)
    return false;
  W.Token = Token;
  core::TimePoint Asked =
      W.BornAt + milliseconds(Body.value("DeadlineMs", std::int64_t{0}));
  W.LeaseEnd = std::max(
      W.LeaseEnd, std::min<core::TimePoint>(Asked, net::now() + MaxLease));
  return true;
}

net::HttpResponse CaseWorkers::answer(const Worker &W, Json Body) {
  int Status = Body.contains("Reason") ? StatusConflict : StatusOk;
  Body["ClockMs"] = clockOf(W);
  Body["born"] = W.BornMs;
  return net::jsonResponse(Status, Body.dump());
}

void CaseWorkers::handle(std::size_t N, const net::HttpRequest &Request,
                         const net::HttpResponder &Respond) {
  Json Body = Json::parse(Request.Body, nullptr, false);
  std::unique_lock<std::mutex> Lock(Mutex_);
  Worker &W = Workers_[N];
  // A worker that is down answers nothing.
  if (W.Down)
    return;
  if (!Body.is_object()) {
    Respond(net::jsonResponse(StatusBad, "{}"));
    return;
  }
  if (net::findHeader(Request.Headers, "Expected-Instance") != idOf(N)) {
    Respond(net::jsonResponse(StatusMisdirected, "{}"));
    return;
  }
  advance(N);
  if (!raise(W, Body)) {
    Respond(answer(W, {{"Reason", "fence"}}));
    return;
  }
  if (Request.Path == "/v1/run-start") {
    Respond(answer(W, startRun(N, Body)));
  } else if (Request.Path == "/v1/run-stop") {
    Respond(answer(W, stopRun(N, Body)));
  } else {
    std::uint64_t LastSeen = Body.value("LastSeen", std::uint64_t{0});
    std::erase_if(W.Ended, [&](const Json &End) {
      return End.at(0).get<std::uint64_t>() <= LastSeen;
    });
    std::uint64_t Incarnation = W.Incarnation;
    Lock.unlock();
    hold(N, Incarnation, Body, Body.value("WaitMs", 0), Respond);
  }
}

Json CaseWorkers::startRun(std::size_t N, const Json &Body) {
  Worker &W = Workers_[N];
  std::string Task = Body.at("Task");
  std::uint64_t RunId = Body.at("RunId");
  auto It = W.Running.find(Task);
  if (It != W.Running.end() && It->second.Id == RunId)
    return Json::object();
  auto Ended = W.EndedRunOf.find(Task);
  if (Ended != W.EndedRunOf.end() && RunId <= Ended->second)
    return {{"Reason", "old"}};
  core::TimePoint Now = net::now();
  if (W.LeaseEnd <= Now)
    return {{"Reason", "late"}};
  long Work = std::stol(Body.value("TaskSpec", "0"));
  std::string Checkpoint = Body.value("Checkpoint", "");
  long Resumed = Checkpoint.empty() ? 0 : std::stol(Checkpoint.substr(1));
  bool IsGang = membersOf(Task) > 1;
  Run Active{RunId, Now + milliseconds(Work - Resumed), Now, Resumed, Work};
  Active.IsLasting = Lasting_.contains(Task.substr(0, Task.find('.')));
  if (Active.IsLasting)
    Active.EndsAt = core::TimePoint::max();
  if (IsGang) {
    Active.EndsAt = Now + GangTimeout;
    Active.BeganAt.reset();
  }
  W.Running[Task] = Active;
  Starts_.push_back({Task, RunId, N, Now, Checkpoint, W.Token});
  Write_("worker " + idOf(N) + " starts " + Task + " #" +
         std::to_string(RunId) + ", checkpoint '" + Checkpoint + "', token " +
         std::to_string(W.Token));
  if (IsGang)
    beginGang(Task, RunId);
  return Json::object();
}

Json CaseWorkers::stopRun(std::size_t N, const Json &Body) {
  Worker &W = Workers_[N];
  std::string Task = Body.at("Task");
  std::uint64_t RunId = Body.at("RunId");
  auto It = W.Running.find(Task);
  if (It != W.Running.end() && It->second.Id == RunId) {
    endRun(N, Task, "stopped");
    if (membersOf(Task) > 1)
      endGang(Task, RunId, "broken");
  }
  W.EndedRunOf[Task] = std::max(W.EndedRunOf[Task], RunId);
  return Json::object();
}

void CaseWorkers::hold(std::size_t N, std::uint64_t Incarnation,
                       const Json &Body, int LeftMs,
                       const net::HttpResponder &Respond) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Worker &W = Workers_[N];
  if (W.Down || W.Incarnation != Incarnation)
    return;
  advance(N);
  if (W.Ended.empty() && LeftMs > 0) {
    Timers_.after(milliseconds(PollMs),
                  [this, N, Incarnation, Body, LeftMs, Respond] {
                    hold(N, Incarnation, Body, LeftMs - PollMs, Respond);
                  });
    return;
  }
  Json Running = Json::array();
  for (const auto &[Task, Active] : W.Running)
    Running.push_back({Task, Active.Id, savedOf(Active, net::now(), false),
                       percentOf(Active), 1000});
  Json Ended = Json::array();
  for (const Json &End : W.Ended)
    if (Ended.size() < MaxEndsListed)
      Ended.push_back(End);
  Respond(answer(W, {{"Running", Running}, {"EndedRuns", Ended}}));
}

} // namespace comfreydeck::review
