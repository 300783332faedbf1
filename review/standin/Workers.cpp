#include "Workers.h"

#include <algorithm>
#include <thread>

namespace review {

using Json = nlohmann::json;

namespace {

constexpr int StatusBad = 400;
constexpr int StatusConflict = 409;
constexpr int StatusMisdirected = 421;
constexpr int StatusBusy = 503;
constexpr std::int64_t MaxHoldMs = 10000;
constexpr std::int64_t StopMs = 50;
constexpr std::int64_t SaveMs = 500;
constexpr std::size_t MaxEnds = 500;
/// A start later than this after an end was noted breaks TWICE in any case.
constexpr std::int64_t NotedSlackMs = 1000;

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

std::int64_t clockOf(Clock::time_point Born) { return msSince(Born) + 1; }

std::string savedOf(std::int64_t RanMs) {
  constexpr std::size_t Digits = 16;
  std::string Text = std::to_string(RanMs / SaveMs);
  return std::string(Digits - Text.size(), '0') + Text;
}

} // namespace

Workers::Workers(Record &Log, std::size_t Count, Faults Decide)
    : Log_(Log), Decide_(std::move(Decide)) {
  for (std::size_t N = 0; N < Count; ++N) {
    All_.push_back(std::make_unique<Worker>());
    Worker &W = *All_.back();
    W.Number = N;
    W.Id = "i-" + std::to_string(N);
    W.Listening = std::make_unique<Server>(
        [this, &W](const Request &R) { return handle(W, R); });
  }
}

std::string Workers::row(std::size_t N, const std::string &Service) {
  constexpr int Cpu = 64000;
  constexpr int MemoryMb = 131072;
  std::lock_guard<std::mutex> Lock(Mutex_);
  Worker &W = *All_[N];
  return Json({{"ServiceName", Service},
               {"Address",
                ownAddress() + ":" + std::to_string(W.Listening->port())},
               {"Zone", "z" + std::to_string(1 + N % 3)},
               {"Version", "v1"},
               {"Slots", 8},
               {"State", "ready"},
               {"ColdRemainingMs", 0},
               {"Capacity",
                {{"Cpu", Cpu}, {"MemoryRequestMb", MemoryMb}, {"Gpus", 0}}},
               {"Labels", {"a", "r1-" + std::to_string(1 + N / 4)}},
               {"ClockMs", clockOf(W.Born)},
               {"born", W.BornMs},
               {"Sequence", ++W.Sequence}})
      .dump();
}

void Workers::noteCompleted(const std::string &Job) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  CompletedMs_.try_emplace(Job, Log_.nowMs());
}

std::vector<std::string> Workers::runningOf(const std::string &Job) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  advance();
  std::vector<std::string> Found;
  for (const auto &W : All_)
    for (const auto &[Key, Active] : W->Running)
      if (jobOf(Key.first) == Job)
        Found.push_back(Key.first + " run " + std::to_string(Key.second) +
                        " on " + W->Id);
  return Found;
}

int Workers::startsOf(const std::string &Job) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Starts_[Job];
}

std::pair<int, int> Workers::endsAndNoted() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  advance();
  return {Listed_, Noted_};
}

Response Workers::answer(const Worker &W, Json Body) const {
  Body["ClockMs"] = clockOf(W.Born);
  Body["born"] = W.BornMs;
  return {Body.contains("Reason") ? StatusConflict : 200, Body.dump()};
}

std::size_t Workers::idle() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  advance();
  auto At = std::find_if(All_.begin(), All_.end(),
                         [](const auto &W) { return W->Running.empty(); });
  return static_cast<std::size_t>(At - All_.begin());
}

void Workers::restart(std::size_t N) {
  Worker &W = *All_[N];
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Log_.line(W.Id + " starts again under its id");
    W.Born = Clock::now();
    W.BornMs = unixMs();
    W.Token = W.LastEnd = W.Sequence = 0;
    W.LeaseEndMs = 0;
    W.Running.clear();
    W.Over.clear();
    W.Ended.clear();
  }
  W.Listening->dropConnections();
}

void Workers::setCut(std::size_t N, bool Cut) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  All_[N]->Cut = Cut;
  Log_.line(All_[N]->Id + (Cut ? " is cut off" : " is reachable again"));
  Changed_.notify_all();
}

/// Waits while the worker is cut off; false if it was.
bool Workers::waitForLink(Worker &W) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  bool WasCut = W.Cut;
  Changed_.wait(Lock, [&W] { return !W.Cut; });
  return !WasCut;
}

/// What is under way when the worker is cut off is lost.
Response Workers::handle(Worker &W, const Request &R) {
  Response Lost;
  Lost.Reset = true;
  if (!waitForLink(W))
    return Lost;
  Response Answer = carryOut(W, R);
  return waitForLink(W) ? Answer : Lost;
}

Response Workers::carryOut(Worker &W, const Request &R) {
  Json Body = Json::parse(R.Body, nullptr, false);
  if (!Body.is_object())
    return {StatusBad, "{}"};
  auto Expected = R.Headers.find("expected-instance");
  if (Expected != R.Headers.end() && Expected->second != W.Id)
    return {StatusMisdirected, "{}"};
  bool IsStart = R.Path == "/v1/run-start";
  StartFault Fault =
      IsStart && Decide_ ? Decide_(W.Number, R) : StartFault::None;
  std::string What = W.Id + " " + Body.value("Task", "") + " run " +
                     std::to_string(Body.value("RunId", std::uint64_t{0}));
  if (Fault == StartFault::Busy) {
    Log_.line("start  " + What + " -> 503, nothing done");
    return {StatusBusy, "{}"};
  }
  std::unique_lock<std::mutex> Lock(Mutex_);
  advance();
  if (!takeOrder(W, Body))
    return answer(W, {{"Reason", "fence"}});
  if (R.Path == "/v1/hold")
    return hold(W, Body, R, Lock);
  Response Done = IsStart ? start(W, Body) : stop(W, Body);
  Done.Reset = Fault == StartFault::DoAndReset;
  Log_.line((IsStart ? "start  " : "stop   ") + What + " -> " +
            (Done.Reset ? "carried out, connection reset"
                        : std::to_string(Done.Status) + " " + Done.Body));
  Changed_.notify_all();
  return Done;
}

/// Raises the token and the lease; false if the order is from an old holder.
bool Workers::takeOrder(Worker &W, const Json &Body) {
  std::uint64_t Token = Body.value("FencingToken", std::uint64_t{0});
  if (Token < W.Token)
    return false;
  W.Token = Token;
  std::int64_t Asked = Body.value("DeadlineMs", std::int64_t{0});
  W.LeaseEndMs =
      std::max(W.LeaseEndMs, std::min(Asked, clockOf(W.Born) + MaxHoldMs));
  return true;
}

void Workers::end(Worker &W, const RunKey &Key, const char *How) {
  auto It = W.Running.find(Key);
  std::string Saved =
      It->second.Saves ? savedOf(msSince(It->second.StartedAt)) : "";
  W.Running.erase(It);
  W.Over[Key.first] = std::max(W.Over[Key.first], Key.second);
  W.Ended.push_back({++W.LastEnd, Key.first, Key.second, How, Saved});
  ++Listed_;
  Log_.line("end    " + W.Id + " " + Key.first + " run " +
            std::to_string(Key.second) + " " + How);
}

void Workers::advance() {
  for (const auto &Owned : All_) {
    Worker &W = *Owned;
    std::int64_t Now = clockOf(W.Born);
    std::vector<std::pair<RunKey, const char *>> Due;
    for (const auto &[Key, Active] : W.Running) {
      if (Active.StopAtMs >= 0 && Now >= Active.StopAtMs)
        Due.emplace_back(Key, "stopped");
      else if (msSince(Active.StartedAt) >= Active.Ms)
        Due.emplace_back(Key, "done");
      else if (Now >= W.LeaseEndMs)
        Due.emplace_back(Key, "lapsed");
    }
    for (const auto &[Key, How] : Due)
      end(W, Key, How);
    if (!Due.empty())
      Changed_.notify_all();
  }
}

/// Reports two runs of one task, or a start after a noted end.
void Workers::checkStart(const Worker &W, const RunKey &Key) {
  std::string Name =
      Key.first + " run " + std::to_string(Key.second) + " on " + W.Id;
  for (const auto &Other : All_)
    for (const auto &[Running, Active] : Other->Running)
      if (Running.first == Key.first)
        Log_.breach("TWICE", Name + " while run " +
                                 std::to_string(Running.second) + " is on " +
                                 Other->Id);
  if (Log_.nowMs() < InTouchFromMs_)
    return;
  auto Noted = DoneNotedMs_.find(Key.first);
  if (Noted != DoneNotedMs_.end() &&
      Log_.nowMs() - Noted->second > NotedSlackMs)
    Log_.breach("TWICE", Name + " after its end as done was noted at " +
                             std::to_string(Noted->second) + " ms");
  auto Completed = CompletedMs_.find(jobOf(Key.first));
  if (Completed != CompletedMs_.end() &&
      Log_.nowMs() - Completed->second > NotedSlackMs)
    Log_.breach("TWICE", Name + " after its job was shown as completed at " +
                             std::to_string(Completed->second) + " ms");
}

Response Workers::start(Worker &W, const Json &Body) {
  RunKey Key{Body.at("Task"), Body.at("RunId").get<std::uint64_t>()};
  if (W.Running.count(Key) != 0)
    return answer(W, Json::object());
  auto Over = W.Over.find(Key.first);
  if (Over != W.Over.end() && Key.second <= Over->second)
    return answer(W, {{"Reason", "old"}});
  if (Body.value("DeadlineMs", std::int64_t{0}) <= clockOf(W.Born))
    return answer(W, {{"Reason", "late"}});
  checkStart(W, Key);
  std::string Spec = Body.at("TaskSpec");
  Run Started;
  Started.StartedAt = Clock::now();
  Started.Ms = std::stol(Spec);
  Started.Saves = Spec.back() == 'c';
  W.Running[Key] = Started;
  ++Starts_[jobOf(Key.first)];
  return answer(W, Json::object());
}

Response Workers::stop(Worker &W, const Json &Body) {
  RunKey Key{Body.at("Task"), Body.at("RunId").get<std::uint64_t>()};
  auto It = W.Running.find(Key);
  if (It != W.Running.end())
    It->second.StopAtMs = clockOf(W.Born) + StopMs;
  W.Over[Key.first] = std::max(W.Over[Key.first], Key.second);
  return answer(W, Json::object());
}

Response Workers::hold(Worker &W, const Json &Body, const Request &R,
                       std::unique_lock<std::mutex> &Lock) {
  constexpr std::chrono::milliseconds Poll(20);
  std::uint64_t Seen = Body.value("LastSeen", std::uint64_t{0});
  for (const End &E : W.Ended) {
    if (E.Number > Seen)
      continue;
    ++Noted_;
    if (E.How == "done")
      DoneNotedMs_.try_emplace(E.Task, Log_.nowMs());
  }
  std::erase_if(W.Ended, [&](const End &E) { return E.Number <= Seen; });
  auto Until =
      Clock::now() + std::chrono::milliseconds(Body.value("WaitMs", 0));
  while (W.Ended.empty() && Clock::now() < Until && !*R.Stopping) {
    Changed_.wait_for(Lock, Poll);
    advance();
  }
  if (Body.value("FencingToken", std::uint64_t{0}) < W.Token)
    return answer(W, {{"Reason", "fence"}});
  Json Running = Json::array();
  for (const auto &[Key, Active] : W.Running) {
    constexpr std::int64_t Whole = 100;
    std::int64_t Ran = msSince(Active.StartedAt);
    Running.push_back({Key.first, Key.second,
                       Active.Saves && Ran >= SaveMs ? savedOf(Ran) : "",
                       std::min(Whole - 1, Ran * Whole / Active.Ms), 0});
  }
  Json Ended = Json::array();
  for (std::size_t N = 0; N < std::min(W.Ended.size(), MaxEnds); ++N) {
    const End &E = W.Ended[N];
    Ended.push_back({E.Number, E.Task, E.Run, E.How, E.Saved});
  }
  return answer(W, {{"Running", Running}, {"EndedRuns", Ended}});
}

} // namespace review
