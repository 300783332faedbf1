#include "Site.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char *Service = "desk";
constexpr const char *Host = "desk.example";
constexpr const char *Prefix = "/desk/";
constexpr const char *Key = "key-of-north";
constexpr int DeadlineMs = 3000;
constexpr std::int64_t BeatMs = 1500;

std::string makeFolder() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!::mkdtemp(Name.data()))
    throw std::runtime_error("no temporary folder");
  return Name;
}

std::string loopback(std::uint16_t Port) {
  return ownAddress() + ":" + std::to_string(Port);
}

Json config() {
  return {
      {"Version", 7},
      {"Routes",
       {{{"Name", "r-desk"},
         {"Hostname", Host},
         {"PathPrefix", Prefix},
         {"RouteKind", "unsafe"},
         {"TimeoutMs", DeadlineMs},
         {"TargetDurationMs", 600},
         {"Priority", 0},
         {"ServiceName", Service},
         {"MaxAttempts", 4},
         {"SlackFactor", 1.6},
         {"Public", false}}}},
      {"Services",
       {{{"Name", Service},
         {"HealthPath", "/health"},
         {"ConnectionLimit", 64},
         {"RejectsOverload", false},
         {"Standby", false}}}},
      {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 262144}}},
      {"Tenants",
       {{{"Name", "north"},
         {"ApiKeys", {Key}},
         {"Weight", 1},
         {"MaxCount", {{"Cpu", 0}, {"MemoryRequestMb", 0}, {"Gpus", 0}}}}}}};
}

} // namespace

Site::Site(Record &Log, const SiteOptions &Options)
    : Log_(Log), Folder_(makeFolder()),
      Store_(Options.FirstVersion, Options.StoreFaults),
      Workers_(Log, WorkerCount, Options.StartFaults) {
  for (std::size_t N = 0; N < Entries; ++N) {
    Entries_[N].StoreListener = std::make_unique<Server>(
        [this, N](const Request &R) { return Store_.handle(N, R); });
    writeSettings(N, Options.StatusS);
  }
}

Site::~Site() {
  end();
  stopServers();
}

void Site::writeSettings(std::size_t N, int StatusS) {
  Entry &E = Entries_[N];
  E.Callers = freePort();
  E.Readiness = freePort();
  // As deploy/entry.json.template gives them for a small site.
  Json Settings = {
      {"entry",
       {{"name", "frontend-z" + std::to_string(N + 1) + "-1"},
        {"data_centre", "z" + std::to_string(N + 1)},
        {"callers", loopback(E.Callers)},
        {"readiness", loopback(E.Readiness)},
        {"peers", loopback(freePort())},
        {"metrics", loopback(freePort())}}},
      {"platform", {{"store", loopback(E.StoreListener->port())}}},
      {"limits", {{"cpu_share", 0.25}, {"cores", 1}, {"link_mbps", 1000.0}}},
      {"bounds",
       {{"revocation_ms", 5000},
        {"max_lease_ms", 10000},
        {"stop_ms", 400},
        {"absence_ms", 4500},
        {"grace_s", 6},
        {"status_s", StatusS}}}};
  std::ofstream(Folder_ + "/" + std::to_string(N) + ".json")
      << Settings.dump(2);
}

void Site::launch(std::size_t N) {
  std::string Program = "target/comfreydeck";
  std::string Command = "dispatch";
  std::string Option = "--settings";
  std::string Settings = Folder_ + "/" + std::to_string(N) + ".json";
  std::string Output = Folder_ + "/" + std::to_string(N) + ".log";
  std::array<char *, 5> Arguments = {Program.data(), Command.data(),
                                     Option.data(), Settings.data(), nullptr};
  pid_t Pid = ::fork();
  if (Pid == 0) {
    constexpr int Mode = 0600;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int File = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, Mode);
    ::dup2(File, STDOUT_FILENO);
    ::dup2(File, STDERR_FILENO);
    ::execv(Program.c_str(), Arguments.data());
    ::_exit(127);
  }
  Entries_[N].Pid = Pid;
}

void Site::beat() {
  constexpr milliseconds Poll(20);
  while (!Ending_) {
    for (std::size_t N = 0; N < Workers_.size(); ++N) {
      if (Log_.nowMs() < NextBeatMs_[N])
        continue;
      NextBeatMs_[N] = Log_.nowMs() + BeatMs;
      Store_.put("servers", Workers_.id(N), Workers_.row(N, Service));
    }
    std::this_thread::sleep_for(Poll);
  }
}

void Site::holdBeat(std::size_t Worker) {
  NextBeatMs_[Worker] = Log_.nowMs() + BeatMs;
}

bool Site::start() {
  constexpr int ReadyMs = 15000;
  constexpr milliseconds Poll(200);
  Store_.put("op", "config", config().dump());
  Beats_ = std::thread([this] { beat(); });
  for (std::size_t N = 0; N < Entries; ++N)
    launch(N);
  std::string Job = newJob();
  while (Log_.nowMs() < ReadyMs) {
    std::this_thread::sleep_for(Poll);
    bool Ready = true;
    for (const Entry &E : Entries_)
      Ready =
          Ready &&
          call(E.Readiness, "GET", "/v1/readiness", {}, "", 500).Status == 200;
    constexpr int Cpu = 1000;
    if (Ready && submit(0, Job, 1, Cpu, "100") == 200)
      return waitFor(Job, "completed", ReadyMs);
  }
  return false;
}

Response Site::ask(std::size_t At, const std::string &Method,
                   const std::string &Job, const std::string &Body) {
  std::map<std::string, std::string> Headers = {
      {"Host", Host},
      {"Authorization", std::string("Bearer ") + Key},
      {"Content-Type", "application/json"},
      {"Deadline-Ms", std::to_string(DeadlineMs)}};
  return call(Entries_[At].Callers, Method, Prefix + Job, Headers, Body,
              DeadlineMs);
}

int Site::submit(std::size_t At, const std::string &Job, int Tasks, int Cpu,
                 const std::string &Spec, bool Saves) {
  constexpr int MemoryMb = 10;
  Json Step = {{"TaskCount", Tasks},
               {"Cpu", Cpu},
               {"MemoryRequestMb", MemoryMb},
               {"EstimatedMs", std::stoi(Spec)}};
  if (Saves)
    Step["Checkpointing"] = true;
  Json Body = {{"TaskSpec", Spec}, {"Steps", {Step}}};
  Log_.line("client POST " + Job + " at entry " + std::to_string(At) + ", " +
            std::to_string(Tasks) + " tasks of " + Spec + " ms");
  int Status = ask(At, "POST", Job, Body.dump()).Status;
  Log_.line("client POST " + Job + " -> " + std::to_string(Status));
  return Status;
}

int Site::cancel(std::size_t At, const std::string &Job) {
  Log_.line("client DELETE " + Job + " at entry " + std::to_string(At));
  int Status = ask(At, "DELETE", Job, "").Status;
  Log_.line("client DELETE " + Job + " -> " + std::to_string(Status));
  return Status;
}

std::string Site::state(std::size_t At, const std::string &Job) {
  Response Answer = ask(At, "GET", Job, "");
  Json Body = Json::parse(Answer.Body, nullptr, false);
  std::string State = Answer.Status == 200 && Body.is_object()
                          ? Body.value("State", "")
                          : std::to_string(Answer.Status);
  Log_.line("client GET " + Job + " -> " + State);
  if (State == "completed")
    Workers_.noteCompleted(Job);
  return State;
}

bool Site::waitFor(const std::string &Job, const std::string &State,
                   int LimitMs) {
  constexpr milliseconds Poll(400);
  std::int64_t Until = Log_.nowMs() + LimitMs;
  while (Log_.nowMs() < Until) {
    if (state(1, Job) == State)
      return true;
    std::this_thread::sleep_for(Poll);
  }
  return false;
}

std::string Site::newJob() {
  constexpr std::size_t Digits = 16;
  std::string Text = std::to_string(NextJob_++);
  return std::string(Digits - Text.size(), 'a') + Text;
}

bool Site::end() {
  bool AllRan = true;
  Ending_ = true;
  for (Entry &E : Entries_) {
    if (E.Pid <= 0)
      continue;
    int Status = 0;
    AllRan = ::waitpid(E.Pid, &Status, WNOHANG) == 0 && AllRan;
    ::kill(E.Pid, SIGKILL);
    ::waitpid(E.Pid, &Status, 0);
    E.Pid = 0;
  }
  if (Beats_.joinable())
    Beats_.join();
  std::error_code Ignored;
  if (!std::getenv("KEEP_LOGS"))
    std::filesystem::remove_all(Folder_, Ignored);
  return AllRan;
}

} // namespace review
