#include "standins/WorkerStandin.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace comfreydeck::standins {

namespace {

using nlohmann::json;

constexpr std::size_t LoggedBodyBytes = 64;

std::uint64_t workerClockMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          net::now().time_since_epoch())
          .count());
}

std::uint64_t numberHeader(const net::HttpRequest &Request, const char *Name,
                           std::uint64_t Default) {
  std::string Text(net::findHeader(Request.Headers, Name));
  return Text.empty() ? Default : std::strtoull(Text.c_str(), nullptr, 10);
}

net::HttpResponse refusal(const std::string &Id, const char *Why) {
  net::HttpResponse Response =
      net::jsonResponse(409, json({{"refused", Why}}).dump());
  Response.Headers.push_back({"Task-Id", Id});
  Response.Headers.push_back({"Task-Refused", Why});
  return Response;
}

} // namespace

EventLog::EventLog(const std::string &File) : File_(nullptr, std::fclose) {
  if (File.empty())
    return;
  File_.reset(std::fopen(File.c_str(), "a"));
  if (!File_)
    throw std::runtime_error("the log " + File + " can't be opened");
}

void EventLog::write(const std::string &Line) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (!File_)
    return;
  std::fputs((Line + "\n").c_str(), File_.get());
  std::fflush(File_.get());
}

WorkerStandin::WorkerStandin(WorkerStandinOptions Options, net::Loop &Timers,
                             EventLog &Log)
    : Options_(std::move(Options)), Timers_(Timers), Log_(Log),
      Server_(Options_.Http,
              [this](net::HttpRequest Request, net::HttpResponder Respond) {
                handle(std::move(Request), std::move(Respond));
              }) {}

void WorkerStandin::start() { Server_.start(); }

void WorkerStandin::stop() { Server_.stop(); }

std::uint16_t WorkerStandin::port() const { return Server_.port(); }

void WorkerStandin::setFaults(WorkerFaults Faults) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Faults_ = Faults;
}

std::uint64_t WorkerStandin::startCount() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Starts_;
}

std::uint64_t WorkerStandin::duplicateCount() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Duplicates_;
}

void WorkerStandin::handle(net::HttpRequest Request,
                           net::HttpResponder Respond) {
  if (isSilent())
    return Respond(net::jsonResponse(503, R"({"error":"rebooting"})"));
  if (Request.Path == "/v1/reboot" && Request.Method == "POST")
    return Respond(reboot(Request));
  if (Request.Path == "/v1/tasks" && Request.Method == "POST")
    return startTask(std::move(Request), std::move(Respond));
  if (Request.Path == "/v1/status")
    return Respond(status());
  if (Request.Path.starts_with("/v1/tasks/") && Request.Method == "POST")
    return controlTask(Request, Respond);
  if (Request.Path == "/control/faults") {
    json J = json::parse(Request.Body, nullptr, false);
    if (!J.is_object())
      return Respond(net::jsonResponse(400, R"({"error":"no JSON object"})"));
    WorkerFaults F;
    F.Delay = std::chrono::milliseconds(J.value("delay_ms", 0));
    F.FailAll = J.value("fail_all", false);
    F.WrongTask = J.value("wrong_task", false);
    F.LoseAnswers = J.value("lose_answers", false);
    F.CrossAnswers = J.value("cross_answers", false);
    F.RefuseAll = J.value("refuse_all", false);
    setFaults(F);
    return Respond(net::jsonResponse(200, "{}"));
  }
  Respond(net::jsonResponse(404, R"({"error":"no such path"})"));
}

const char *WorkerStandin::refusalOf(const net::HttpRequest &Request,
                                     const std::string &Id) const {
  if (Id.empty())
    return "no-task-id";
  if (numberHeader(Request, "Task-Not-After-Ms", UINT64_MAX) < workerClockMs())
    return "not-after";
  if (Faults_.RefuseAll || Running_.size() >= Options_.Slots)
    return "no-slot";
  return nullptr;
}

void WorkerStandin::startTask(net::HttpRequest Request,
                              net::HttpResponder Respond) {
  std::string Id(net::findHeader(Request.Headers, "Task-Id"));
  core::Duration Run = Options_.DefaultRun;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (const char *Why = refusalOf(Request, Id))
      return Respond(refusal(Id, Why));
    RunningTask &Task = Running_[Id];
    Task.Team = net::findHeader(Request.Headers, "Task-Team");
    Task.Request = Request;
    Task.Respond = std::move(Respond);
    ++Starts_;
    std::string Whole(net::findHeader(Request.Headers, "Task-Request"));
    bool IsNew = Seen_.insert(Whole.empty() ? Id : Whole).second;
    Duplicates_ += IsNew ? 0 : 1;
    auto DefaultMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(Run).count();
    Run = std::chrono::milliseconds(numberHeader(
        Request, "Task-Run-Ms", static_cast<std::uint64_t>(DefaultMs)));
    Run = Faults_.FailAll ? core::Duration(0) : Run + Faults_.Delay;
  }
  Log_.write(eventLine("start", Request, Id));
  Timers_.after(Run, [this, Id] { endTask(Id, false); });
  std::uint64_t LeaseMs = numberHeader(Request, "Task-Lease-Ms", 0);
  if (LeaseMs > 0)
    watchLease(Id, LeaseMs);
}

void WorkerStandin::watchLease(const std::string &Id, std::uint64_t LeaseMs) {
  std::uint32_t Lease = 0;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    auto It = Running_.find(Id);
    if (It == Running_.end())
      return;
    It->second.LeaseUntilMs = workerClockMs() + LeaseMs;
    Lease = ++It->second.Lease;
  }
  auto Wait = std::chrono::milliseconds(static_cast<std::int64_t>(LeaseMs));
  Timers_.after(Wait, [this, Id, Lease] {
    bool Lapsed = false;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      auto It = Running_.find(Id);
      Lapsed = It != Running_.end() && It->second.Lease == Lease;
    }
    if (Lapsed)
      endTask(Id, true);
  });
}

void WorkerStandin::controlTask(const net::HttpRequest &Request,
                                const net::HttpResponder &Respond) {
  std::vector<std::string_view> Parts = net::splitPath(Request.Path);
  std::string Id(Parts.size() == 4 ? Parts[2] : std::string_view());
  std::string_view What = Parts.size() == 4 ? Parts[3] : std::string_view();
  bool IsRunning = false;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    IsRunning = Running_.contains(Id);
  }
  if (What == "stop")
    endTask(Id, true);
  else if (What == "lease" && IsRunning)
    watchLease(Id, numberHeader(Request, "Task-Lease-Ms", 1));
  else if (What != "checkpoint" && What != "throttle" && What != "lease")
    return Respond(net::jsonResponse(404, R"({"error":"no such path"})"));
  json J = {{"task", Id}, {"running", IsRunning && What != "stop"}};
  Respond(net::jsonResponse(200, J.dump()));
}

bool WorkerStandin::endTask(const std::string &Id, bool Stopped) {
  WorkerFaults Faults;
  RunningTask Task;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    auto It = Running_.find(Id);
    if (It == Running_.end())
      return false;
    Task = std::move(It->second);
    Running_.erase(It);
    Faults = Faults_;
  }
  Log_.write(eventLine("end", Task.Request, Id));
  net::HttpResponse Response;
  Response.Status = Faults.FailAll ? 500 : 200;
  Response.Headers.push_back({"Task-Id", Faults.WrongTask ? "other" : Id});
  Response.Headers.push_back(
      {"Task-Clock-Ms", std::to_string(workerClockMs())});
  if (Stopped)
    Response.Headers.push_back({"Task-Stopped", "true"});
  std::string_view Type = net::findHeader(Task.Request.Headers, "Content-Type");
  if (!Type.empty())
    Response.Headers.push_back({"Content-Type", std::string(Type)});
  Response.Body = Stopped ? std::string() : std::move(Task.Request.Body);
  sendAnswer(std::move(Task.Respond), std::move(Response), Faults);
  return true;
}

void WorkerStandin::sendAnswer(net::HttpResponder Respond,
                               net::HttpResponse Response,
                               const WorkerFaults &Faults) {
  if (!Faults.CrossAnswers && !Faults.LoseAnswers)
    return Respond(std::move(Response));
  std::optional<std::pair<net::HttpResponder, net::HttpResponse>> Other;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Other = std::move(HeldAnswer_);
    HeldAnswer_.reset();
    if (!Other || Faults.LoseAnswers)
      HeldAnswer_.emplace(Respond, Response);
  }
  if (!Other || Faults.LoseAnswers)
    return;
  Other->first(std::move(Response));
  Respond(std::move(Other->second));
}

bool WorkerStandin::isSilent() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return net::now() < SilentUntil_;
}

std::string WorkerStandin::bootId() const {
  return Options_.Name + "-boot-" + std::to_string(Boots_);
}

net::HttpResponse WorkerStandin::reboot(const net::HttpRequest &Request) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  bool Late =
      numberHeader(Request, "Task-Not-After-Ms", UINT64_MAX) < workerClockMs();
  if (Late || net::findHeader(Request.Headers, "Boot-Id") != bootId())
    return net::jsonResponse(409, R"({"refused":"not this boot, or late"})");
  ++Boots_;
  SilentUntil_ = net::now() + RebootSilence;
  Log_.write(json({{"event", "reboot"},
                   {"worker", Options_.Name},
                   {"cut", Running_.size()}})
                 .dump());
  return net::jsonResponse(200, "{}");
}

net::HttpResponse WorkerStandin::status() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  json Running = json::array();
  for (const auto &[Id, Task] : Running_)
    Running.push_back({{"task", Id}, {"team", Task.Team}});
  json J = {{"name", Options_.Name},
            {"clock_ms", workerClockMs()},
            {"boot_id", bootId()},
            {"slots", Options_.Slots},
            {"running", Running}};
  return net::jsonResponse(200, J.dump());
}

std::string WorkerStandin::eventLine(const char *Event,
                                     const net::HttpRequest &Request,
                                     const std::string &Id) const {
  auto WallMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
  json J = {{"at_ms", WallMs},
            {"event", Event},
            {"worker", Options_.Name},
            {"task", Id},
            {"request", net::findHeader(Request.Headers, "Task-Request")},
            {"team", net::findHeader(Request.Headers, "Task-Team")},
            {"queue", net::findHeader(Request.Headers, "Task-Queue")},
            {"body", Request.Body.substr(0, LoggedBodyBytes)}};
  return J.dump();
}

} // namespace comfreydeck::standins
