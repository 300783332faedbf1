#include "CaseWorkers.h"

#include "HttpStore.h"
#include "adapter/FakePlatform.h"
#include "soak/Callers.h"
#include "soak/EntryProcess.h"

#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <set>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

namespace {

using namespace comfreydeck;
using std::chrono::milliseconds;
using Json = nlohmann::json;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;
constexpr int StatusOk = 200;
constexpr std::size_t EntryCount = 3;
/// Limits.MemoryMb of the small sites: the platform kills a process above it.
constexpr std::size_t MemoryLimit = std::size_t{260} << 20U;

/// The service for machines: each machine has one worker. Its answers may be
/// slow for a while; what they answer is done at once.
class Machines {
public:
  /// \p Pools has the pool of each machine.
  Machines(net::Loop &Timers, review::CaseWorkers &Workers,
           const std::vector<std::string> &Pools,
           std::function<void(const std::string &)> Write)
      : Timers_(Timers), Workers_(Workers), Machines_(Pools.size()),
        Write_(std::move(Write)),
        Server_({}, [this](const net::HttpRequest &Request,
                           const net::HttpResponder &Respond) {
          handle(Request, Respond);
        }) {
    for (std::size_t N = 0; N < Pools.size(); ++N)
      Machines_[N].Pool = Pools[N];
  }

  std::string poolOf(std::size_t N) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Machines_[N].Pool;
  }
  void start() { Server_.start(); }
  void stop() { Server_.stop(); }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_.port());
  }
  /// From the first order for an upkeep on, the answers to orders take \p Delay
  /// for \p Time.
  void slowDown(core::Duration Delay, core::Duration Time) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Delay_ = Delay;
    SlowFor_ = Time;
  }

private:
  struct Machine {
    std::string Pool;
    std::uint64_t Token = 0;
    bool InUpkeep = false;
    bool IsMoving = false;
    std::set<std::string> Waves;
  };

  static std::string idOf(std::size_t N) { return "m-" + std::to_string(N); }
  Json list();
  Json order(const net::HttpRequest &Request);
  Json upkeep(std::size_t N, const std::string &Wave, const std::string &Line);
  Json move(std::size_t N, const std::string &Pool, const std::string &Line);
  void handle(const net::HttpRequest &Request,
              const net::HttpResponder &Respond);

  net::Loop &Timers_;
  review::CaseWorkers &Workers_;
  std::mutex Mutex_;
  std::vector<Machine> Machines_;
  core::Duration Delay_{0};
  core::Duration SlowFor_{0};
  std::optional<core::TimePoint> SlowUntil_;
  std::function<void(const std::string &)> Write_;
  net::HttpServer Server_;
};

Json Machines::list() {
  Json Rows = Json::array();
  for (std::size_t N = 0; N < Machines_.size(); ++N)
    Rows.push_back(
        {{"Machine", idOf(N)},
         {"Pool", Machines_[N].Pool},
         {"State", Machines_[N].InUpkeep   ? "upkeep"
                   : Machines_[N].IsMoving ? "moving"
                                           : "up"},
         {"Zone", "z1"},
         {"Labels", {Workers_.kind(N), "r1-" + std::to_string(1 + N / 4)}},
         {"Capacity", {{"Cpu", 4000}, {"MemoryRequestMb", 8000}, {"Gpus", 0}}},
         {"Id", Workers_.id(N)}});
  return {{"Machines", Rows}, {"NextToken", nullptr}};
}

/// Returns the answer's body; one with a reason is a refusal.
Json Machines::order(const net::HttpRequest &Request) {
  Json Body = Json::parse(Request.Body);
  std::size_t N = std::stoul(Body.at("Machine").get<std::string>().substr(2));
  std::string Holder(net::findHeader(Request.Headers, "Duty-Holder"));
  std::string Token(net::findHeader(Request.Headers, "Fencing-Token"));
  bool IsMove = Body.contains("Pool");
  std::string Line = std::string("machines: ") + (IsMove ? "move" : "upkeep") +
                     " of " + idOf(N) + " by " + Holder + " with token " +
                     Token + ": ";
  Machine &M = Machines_.at(N);
  if (std::stoull(Token) < M.Token) {
    Write_(Line + "409 fence");
    return {{"Reason", "fence"}};
  }
  M.Token = std::stoull(Token);
  return IsMove ? move(N, Body.at("Pool"), Line)
                : upkeep(N, Body.at("Wave").dump(), Line);
}

Json Machines::upkeep(std::size_t N, const std::string &Wave,
                      const std::string &Line) {
  Machine &M = Machines_[N];
  if ((M.InUpkeep || M.IsMoving) && !M.Waves.contains(Wave)) {
    Write_(Line + "409 busy");
    return {{"Reason", "busy"}};
  }
  if (!M.Waves.insert(Wave).second) {
    Write_(Line + "200, it is already done");
    return Json::object();
  }
  Write_(Line + "200, it begins");
  M.InUpkeep = true;
  constexpr std::chrono::seconds Maintenance(2);
  Workers_.replace(N, Maintenance);
  Timers_.after(Maintenance, [this, N] {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Machines_[N].InUpkeep = false;
  });
  return Json::object();
}

Json Machines::move(std::size_t N, const std::string &Pool,
                    const std::string &Line) {
  Machine &M = Machines_[N];
  if (M.Pool == Pool) {
    Write_(Line + "200, it is already in " + Pool);
    return Json::object();
  }
  if (M.InUpkeep || M.IsMoving) {
    Write_(Line + "409 busy");
    return {{"Reason", "busy"}};
  }
  Write_(Line + "200, from " + M.Pool + " to " + Pool);
  M.Pool = Pool;
  M.IsMoving = true;
  constexpr milliseconds Migration(1500);
  Workers_.replace(N, Migration);
  Timers_.after(Migration, [this, N] {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Machines_[N].IsMoving = false;
  });
  return Json::object();
}

void Machines::handle(const net::HttpRequest &Request,
                      const net::HttpResponder &Respond) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Request.Path == "/v1/machines") {
    Respond(net::jsonResponse(StatusOk, list().dump()));
    return;
  }
  Json Body = order(Request);
  net::HttpResponse Answer =
      net::jsonResponse(Body.contains("Reason") ? 409 : StatusOk, Body.dump());
  if (!SlowUntil_)
    SlowUntil_ = net::now() + SlowFor_;
  if (net::now() >= *SlowUntil_) {
    Respond(std::move(Answer));
    return;
  }
  Write_(
      "machines: this answer takes " +
      std::to_string(std::chrono::duration_cast<milliseconds>(Delay_).count()) +
      " ms");
  Timers_.after(Delay_,
                [Respond, Answer = std::move(Answer)] { Respond(Answer); });
}

struct Route {
  std::string Name;
  std::string Path;
  std::string Pool;
  bool IsPublic = false;
};

/// A small deployment: the store, workers and three entries, with a thread that
/// is the platform: it renews the workers' rows, restarts entries that have
/// ended and kills those over their memory.
class Deployment {
public:
  Deployment(const std::string &Program, const std::string &Directory,
             const std::string &Record, std::vector<std::string> PoolOfWorker);
  ~Deployment();

  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// \p MaxCpu is the tenant's limit; zero for none.
  void configure(std::vector<Route> Routes, int MaxCpu = 0);
  void start(const std::string &ReadyPath);
  void write(const std::string &Line);
  /// A call at the entry; a status of 0 stands for no answer.
  soak::Exchange call(std::size_t Entry, const std::string &Method,
                      const std::string &Path, const std::string &Body);
  review::CaseWorkers &workers() { return Workers_; }
  /// Starts the service for machines; only before \ref start.
  Machines &addMachines();
  void putWave(int DurationS, int MaxCount);
  std::string waveState();
  /// The entry that owns the pool, by its row in the store.
  std::optional<std::size_t> ownerOf(const std::string &Pool);
  void signal(std::size_t Entry, int Signal);
  /// Clients that ask the entries but \p Spared for the job's state, again and
  /// again, until \p Stop is set. The record has the count of each answer.
  std::vector<std::thread> askOften(std::size_t Spared, const std::string &Id,
                                    const std::atomic<bool> &Stop);
  /// How often entries have ended, although nobody ended them, or were killed
  /// for their memory.
  int ends() const { return Ends_; }

private:
  bool commit(store::PartTransaction T);
  std::string rowOf(const store::PartKey &Key);
  void renew();
  void reviewEntries();
  void run();

  std::mutex RecordMutex_;
  std::ofstream Record_;
  core::TimePoint BeganAt_ = net::now();
  std::vector<std::string> PoolOfWorker_;
  net::Loop Timers_;
  tests::FakeStore Store_{Timers_};
  review::CaseWorkers Workers_;
  std::unique_ptr<Machines> Machines_;
  std::string Directory_;
  std::set<std::string> StoredIds_;
  net::HttpClient Operator_{{}};
  std::unique_ptr<platform::HttpStore> OperatorStore_;
  std::vector<std::unique_ptr<soak::EntryProcess>> Entries_;
  std::map<std::size_t, core::TimePoint> RestartAt_;
  std::uint64_t Version_ = 0;
  std::set<std::string> Services_;
  /// Calls without success are not recorded yet.
  bool IsStarting_ = true;
  std::atomic<bool> Stopping_ = false;
  std::atomic<int> Ends_ = 0;
  std::thread Platform_;
};

Deployment::Deployment(const std::string &Program, const std::string &Directory,
                       const std::string &Record,
                       std::vector<std::string> PoolOfWorker)
    : Record_(Record), PoolOfWorker_(std::move(PoolOfWorker)),
      Workers_(Timers_, PoolOfWorker_.size(),
               [this](const std::string &Line) { write(Line); }),
      Directory_(Directory) {
  Services_.insert(PoolOfWorker_.begin(), PoolOfWorker_.end());
  Timers_.start();
  Store_.start();
  Workers_.start();
  OperatorStore_ =
      std::make_unique<platform::HttpStore>(Operator_, Store_.address());
  std::string Address = Store_.address();
  auto Port = static_cast<std::uint16_t>(
      std::stoul(Address.substr(Address.find(':') + 1)));
  for (std::size_t N = 0; N < EntryCount; ++N) {
    Entries_.push_back(
        std::make_unique<soak::EntryProcess>(Program, Directory, N, Port));
    // The bounds of the small sites.
    std::string File = Directory + "/" + Entries_.back()->name() + ".json";
    std::ifstream In(File);
    Json Settings = Json::parse(In);
    Settings["limits"] = {{"cpu_share", 0.25},
                          {"cores", 1},
                          {"link_mbps", 1000.0},
                          {"store_row_bytes", 65536}};
    Settings["bounds"] = {{"revocation_ms", 5000}, {"max_lease_ms", 10000},
                          {"stop_ms", 400},        {"gang_timeout_ms", 3000},
                          {"absence_ms", 4500},    {"grace_s", 6},
                          {"status_s", 120},       {"remote_factor", 3}};
    std::ofstream(File) << Settings.dump();
  }
}

Deployment::~Deployment() {
  Stopping_ = true;
  if (Platform_.joinable())
    Platform_.join();
  Entries_.clear();
  Operator_.stop();
  Timers_.stop();
  if (Machines_)
    Machines_->stop();
  Workers_.stop();
  Store_.stop();
}

void Deployment::write(const std::string &Line) {
  std::lock_guard<std::mutex> Lock(RecordMutex_);
  auto Ms = std::chrono::duration_cast<milliseconds>(net::now() - BeganAt_);
  Record_ << Ms.count() << " " << Line << std::endl;
}

bool Deployment::commit(store::PartTransaction T) {
  auto Done = std::make_shared<std::promise<bool>>();
  OperatorStore_->commit(std::move(T), milliseconds(1000),
                         [Done](const store::PartAnswer &A) {
                           Done->set_value(A.Outcome == store::PartOutcome::Ok);
                         });
  return Done->get_future().get();
}

void Deployment::configure(std::vector<Route> Routes, int MaxCpu) {
  Json Listed = Json::array();
  for (const Route &R : Routes)
    Listed.push_back({{"Name", R.Name},
                      {"Hostname", "h"},
                      {"PathPrefix", R.Path},
                      {"RouteKind", "unsafe"},
                      {"TimeoutMs", 3000},
                      {"TargetDurationMs", 600},
                      {"Priority", 0},
                      {"ServiceName", R.Pool},
                      {"MaxAttempts", 4},
                      {"SlackFactor", 1.6},
                      {"Public", R.IsPublic}});
  Json Services = Json::array();
  for (const std::string &Name : Services_)
    Services.push_back(
        {{"Name", Name}, {"RejectsOverload", false}, {"Standby", false}});
  Json Config = {
      {"Version", ++Version_},
      {"Routes", Listed},
      {"Services", Services},
      {"Limits", {{"MaxBodyBytes", 262144}}},
      {"Tenants",
       {{{"Name", "t"},
         {"ApiKeys", {"k"}},
         {"Weight", 1},
         {"MaxCount",
          {{"Cpu", MaxCpu}, {"MemoryRequestMb", 0}, {"Gpus", 0}}}}}}};
  store::PartTransaction T;
  T.Puts.push_back({{"op", "", "config"}, Config.dump()});
  if (!commit(std::move(T)))
    throw std::runtime_error("the configuration was not stored");
  write("operator: configuration " + std::to_string(Version_) +
        " is acknowledged: " + Listed.dump());
}

void Deployment::renew() {
  store::PartTransaction T;
  std::set<std::string> Ids;
  for (std::size_t N = 0; N < PoolOfWorker_.size(); ++N) {
    if (Workers_.isDown(N))
      continue;
    std::string Id = Workers_.id(N);
    T.Puts.push_back(
        {{"servers", "", Id},
         Workers_.row(N, Machines_ ? Machines_->poolOf(N) : PoolOfWorker_[N])});
    Ids.insert(Id);
  }
  // A worker that has left loses its row.
  for (const std::string &Id : StoredIds_) {
    std::string Place = Id.substr(0, Id.rfind('-') + 1);
    bool IsFollowed =
        std::any_of(Ids.begin(), Ids.end(), [&](const std::string &Next) {
          return Next != Id && Next.starts_with(Place);
        });
    if (IsFollowed)
      T.Removals.push_back({"servers", "", Id});
    else
      Ids.insert(Id);
  }
  if (commit(std::move(T)))
    StoredIds_ = std::move(Ids);
}

std::string Deployment::rowOf(const store::PartKey &Key) {
  auto Done = std::make_shared<std::promise<std::string>>();
  OperatorStore_->read({Key.Table, Key.Part, Key.Key, ""},
                       [Done, Key](const store::PartAnswer &A) {
                         std::string Value;
                         for (const store::PartRow &Row : A.Rows)
                           if (Row.Where.Key == Key.Key)
                             Value = Row.Value;
                         Done->set_value(Value);
                       });
  return Done->get_future().get();
}

Machines &Deployment::addMachines() {
  Machines_ = std::make_unique<Machines>(
      Timers_, Workers_, PoolOfWorker_,
      [this](const std::string &Line) { write(Line); });
  Machines_->start();
  for (const auto &Entry : Entries_) {
    std::string File = Directory_ + "/" + Entry->name() + ".json";
    std::ifstream In(File);
    Json Settings = Json::parse(In);
    Settings["platform"]["machines"] = Machines_->address();
    std::ofstream(File) << Settings.dump();
  }
  return *Machines_;
}

void Deployment::putWave(int DurationS, int MaxCount) {
  Json Ids = Json::array();
  for (std::size_t N = 0; N < PoolOfWorker_.size(); ++N)
    Ids.push_back("m-" + std::to_string(N));
  Json Wave = {{"Wave", 1},
               {"Machines", Ids},
               {"DurationS", DurationS},
               {"MaxCount", MaxCount}};
  store::PartTransaction T;
  T.Puts.push_back({{"op", "", "wave/1"}, Wave.dump()});
  if (!commit(std::move(T)))
    throw std::runtime_error("the wave was not stored");
  write("operator: op/wave/1 " + Wave.dump());
}

std::string Deployment::waveState() {
  Json Status = Json::parse(rowOf({"status", "", "wave/1"}), nullptr, false);
  return Status.is_object() ? Status.value("State", "") : "";
}

std::optional<std::size_t> Deployment::ownerOf(const std::string &Pool) {
  Json Owner =
      Json::parse(rowOf({"control", "pool/" + Pool, "owner"}), nullptr, false);
  for (std::size_t N = 0; N < Entries_.size(); ++N)
    if (Owner.is_object() && Owner.value("name", "") == Entries_[N]->name())
      return N;
  return std::nullopt;
}

void Deployment::signal(std::size_t Entry, int Signal) {
  write("platform: " + Entries_[Entry]->name() +
        (Signal == SIGSTOP ? " freezes" : " wakes"));
  Entries_[Entry]->signal(Signal);
}

void Deployment::reviewEntries() {
  for (std::size_t N = 0; N < Entries_.size(); ++N) {
    soak::EntryProcess &Entry = *Entries_[N];
    if (Entry.isRunning() && Entry.residentBytes() > MemoryLimit) {
      write("platform: " + Entry.name() + " is over 260 MB and is killed");
      Entry.signal(SIGKILL);
    }
    int Status = 0;
    if (Entry.hasEnded(Status)) {
      ++Ends_;
      write("platform: " + Entry.name() + " has ended, status " +
            std::to_string(Status));
      RestartAt_[N] = net::now() + milliseconds(500);
    }
    auto Restart = RestartAt_.find(N);
    if (Restart != RestartAt_.end() && net::now() >= Restart->second) {
      RestartAt_.erase(Restart);
      Entry.start();
    }
  }
}

void Deployment::run() {
  constexpr milliseconds Beat(1500);
  core::TimePoint Next = net::now();
  while (!Stopping_) {
    reviewEntries();
    if (net::now() >= Next) {
      renew();
      Next = net::now() + Beat;
    }
    std::this_thread::sleep_for(milliseconds(4));
  }
}

void Deployment::start(const std::string &ReadyPath) {
  renew();
  for (const auto &Entry : Entries_)
    Entry->start();
  Platform_ = std::thread([this] { run(); });
  core::TimePoint Until = net::now() + std::chrono::seconds(25);
  for (std::size_t N = 0; N < Entries_.size(); ++N)
    while (call(N, "GET", ReadyPath, "").Status != StatusOk) {
      if (net::now() > Until)
        throw std::runtime_error("an entry does not serve");
      std::this_thread::sleep_for(milliseconds(100));
    }
  IsStarting_ = false;
  write("all entries serve");
}

soak::Exchange Deployment::call(std::size_t Entry, const std::string &Method,
                                const std::string &Path,
                                const std::string &Body) {
  soak::CallerConnection Connection;
  soak::Exchange X;
  if (Connection.open(Entries_[Entry]->ports().Callers))
    X = Connection.exchange(Method, Path, Body);
  if (IsStarting_ && X.Status != StatusOk)
    return X;
  write("client: " + Method + " " + Path + " at " + Entries_[Entry]->name() +
        (Body.empty() ? "" : " " + Body) + " -> " + std::to_string(X.Status) +
        " " + X.Body);
  return X;
}

std::vector<std::thread> Deployment::askOften(std::size_t Spared,
                                              const std::string &Id,
                                              const std::atomic<bool> &Stop) {
  constexpr std::size_t Clients = 24;
  write("clients: " + std::to_string(Clients) + " ask for the state of " + Id +
        " at the entries but " + Entries_[Spared]->name() +
        ", each 20 ms after its last answer");
  std::vector<std::thread> Threads;
  for (std::size_t N = 0; N < Clients; ++N)
    Threads.emplace_back([this, Spared, N, Id, &Stop] {
      std::size_t Entry = (Spared + 1 + N % (EntryCount - 1)) % EntryCount;
      std::map<std::string, int> Answers;
      while (!Stop) {
        soak::CallerConnection Connection;
        soak::Exchange X;
        if (Connection.open(Entries_[Entry]->ports().Callers))
          X = Connection.exchange("GET", "/q/" + Id, "");
        ++Answers[std::to_string(X.Status) + " " + X.Body];
        std::this_thread::sleep_for(milliseconds(20));
      }
      std::string Line = "client " + std::to_string(N) + ": GET /q/" + Id +
                         " at " + Entries_[Entry]->name();
      for (const auto &[Answer, Count] : Answers)
        Line += ", " + std::to_string(Count) + " x " + Answer;
      write(Line);
    });
  return Threads;
}

std::string jobId(std::size_t N) {
  std::string Digits = std::to_string(N);
  return std::string(16 - Digits.size(), 'a') + Digits;
}

std::string jobBodyOf(int Ms, Json Step) {
  Step["EstimatedMs"] = Ms;
  Step["MemoryRequestMb"] = 100;
  return Json({{"TaskSpec", std::to_string(Ms)}, {"Steps", {Step}}}).dump();
}

std::string jobBody(int Tasks, int Cpu, int Ms) {
  return Json({{"TaskSpec", std::to_string(Ms)},
               {"Steps",
                {{{"TaskCount", Tasks},
                  {"Cpu", Cpu},
                  {"MemoryRequestMb", 100},
                  {"EstimatedMs", Ms}}}}})
      .dump();
}

std::string stateOf(const soak::Exchange &X) {
  Json Body = Json::parse(X.Body, nullptr, false);
  return X.Status == StatusOk && Body.is_object() ? Body.value("State", "")
                                                  : "";
}

void pause(int Ms) { std::this_thread::sleep_for(milliseconds(Ms)); }

struct Options {
  std::string Program;
  std::string Directory;
  std::string Record;
  bool Trouble = true;
};

/// LOST: a job is shown as failed without cause.
int runCrashes(const Options &O) {
  Deployment D(O.Program, O.Directory, O.Record,
               std::vector<std::string>(9, "north"));
  D.configure({{"r", "/q/", "north"}});
  D.start("/q/");
  pause(3000);
  std::string Id = jobId(1);
  if (D.call(0, "POST", "/q/" + Id, jobBody(1, 1000, 1000)).Status != StatusOk)
    return ExitNotRun;
  std::size_t Handled = 0;
  int Crashes = 0;
  core::TimePoint Until = net::now() + std::chrono::seconds(40);
  std::string State;
  while (net::now() < Until && State != "completed" && State != "failed") {
    std::vector<review::CaseWorkers::Seen> Starts = D.workers().starts();
    for (; Handled < Starts.size(); ++Handled) {
      constexpr int MostCrashes = 3;
      if (!O.Trouble || Crashes >= MostCrashes)
        continue;
      ++Crashes;
      pause(200);
      D.workers().crash(Starts[Handled].Worker, milliseconds(1000));
    }
    pause(50);
    if (net::now().time_since_epoch().count() % 5 == 0 || Crashes == 3)
      State = stateOf(D.call(1, "GET", "/q/" + Id, ""));
  }
  int Failed = D.workers().countEnds(Id, "failed");
  D.write("judge: state '" + State + "', ends 'failed' of its tasks on any " +
          "worker: " + std::to_string(Failed) + ", cancels sent: 0");
  if (State == "failed" && Failed == 0)
    return ExitBroken;
  return State == "completed" ? ExitHeld : ExitNotRun;
}

/// MIXED: a queue's Pending after its route has moved to another service.
int runPending(const Options &O) {
  Deployment D(O.Program, O.Directory, O.Record,
               {"north", "north", "south", "south"});
  D.configure({{"r", "/q/", "north"}, {"s", "/s/", "south"}});
  D.start("/q/");
  pause(3000);
  constexpr std::size_t Jobs = 12;
  for (std::size_t N = 1; N <= Jobs; ++N)
    if (D.call(N % EntryCount, "POST", "/q/" + jobId(N),
               jobBody(1, 4000, 60000))
            .Status != StatusOk)
      return ExitNotRun;
  pause(2000);
  if (O.Trouble)
    D.configure({{"r", "/q/", "south"}, {"s", "/s/", "south"}});
  // ConfigApplyMs, StableWindowMs, and visible_ms + 2 s from the acceptance.
  pause(7000);
  bool Broken = false;
  for (int Round = 0; Round < 3; ++Round) {
    for (std::size_t N = 0; N < EntryCount; ++N) {
      std::set<std::string> Begun;
      soak::Exchange X = D.call(N, "GET", "/q/", "");
      for (const review::CaseWorkers::Seen &Start : D.workers().starts())
        Begun.insert(Start.Task.substr(0, Start.Task.find('.')));
      std::size_t Waiting = Jobs - Begun.size();
      Json Body = Json::parse(X.Body, nullptr, false);
      if (X.Status != StatusOk || !Body.is_object())
        return ExitNotRun;
      std::size_t Shown = Body.value("Pending", std::size_t{0});
      bool Under = 2 * Shown < Waiting;
      Broken = Broken || Under;
      D.write("judge: Pending " + std::to_string(Shown) + ", accepted over " +
              "5 s before and not begun: " + std::to_string(Waiting) +
              (Under ? ": under half" : ""));
    }
    pause(1000);
  }
  return Broken ? ExitBroken : ExitHeld;
}

/// Fault: processes end by themselves, one after the other.
int runCounts(const Options &O) {
  Deployment D(O.Program, O.Directory, O.Record,
               std::vector<std::string>(4, "north"));
  D.configure({{"r", "/q/", "north"}});
  D.start("/q/");
  pause(3000);
  std::string First = jobId(1);
  D.call(0, "POST", "/q/" + First, jobBody(2, 1000, 1000));
  pause(3000);
  Json Steps = Json::array();
  std::uint32_t Half = 1U << 31U;
  for (int N = 0; N < 4; ++N)
    Steps.push_back({{"TaskCount", O.Trouble ? Half : 1U},
                     {"Cpu", 100},
                     {"MemoryRequestMb", 10},
                     {"EstimatedMs", 100}});
  Json Body = {{"TaskSpec", "100"},
               {"Steps", Steps},
               {"Repetitions", O.Trouble ? Half : 2U},
               {"FirstRunMs", 1000},
               {"IntervalMs", 1000}};
  soak::Exchange X = D.call(0, "POST", "/q/" + jobId(2), Body.dump());
  pause(30000);
  std::string Last = jobId(3);
  X = D.call(1, "POST", "/q/" + Last, jobBody(2, 1000, 1000));
  pause(8000);
  std::string State;
  for (std::size_t N = 0; N < EntryCount; ++N)
    State = stateOf(D.call(N, "GET", "/q/" + Last, ""));
  D.write("judge: " + std::to_string(D.ends()) +
          " ends of entries by themselves or over their memory; a job handed "
          "in later is shown as '" +
          State + "'");
  if (D.ends() >= 3)
    return ExitBroken;
  return State == "completed" ? ExitHeld : ExitNotRun;
}

/// LOST: after a wave, a worker that is up gets no task.
int runUpkeep(const Options &O) {
  Deployment D(O.Program, O.Directory, O.Record,
               std::vector<std::string>(4, "north"));
  D.workers().setKind(0, "b");
  Machines &Service = D.addMachines();
  // cloud_slow: its answers take fifty times as long, 40 ms before.
  if (O.Trouble)
    Service.slowDown(milliseconds(2000), milliseconds(5000));
  D.configure({{"r", "/q/", "north"}});
  D.start("/q/");
  pause(3000);
  Json Step = {{"TaskCount", 1}, {"Cpu", 1000}, {"Requirements", "b"}};
  if (D.call(0, "POST", "/q/" + jobId(1), jobBodyOf(1000, Step)).Status !=
      StatusOk)
    return ExitNotRun;
  pause(3000);
  D.putWave(24, 1);
  core::TimePoint Until = net::now() + std::chrono::seconds(50);
  while (net::now() < Until && D.waveState() != "completed")
    pause(200);
  D.write("status/wave/1: " + D.waveState());
  // StableWindowMs and more after the service was slow.
  pause(6000);
  std::string Id = jobId(2);
  if (D.call(1, "POST", "/q/" + Id, jobBodyOf(1000, Step)).Status != StatusOk)
    return ExitNotRun;
  // finish_s.
  pause(14000);
  std::string State;
  bool HasStarted = false;
  for (std::size_t N = 0; N < EntryCount; ++N)
    State = stateOf(D.call(N, "GET", "/q/" + Id, ""));
  for (const review::CaseWorkers::Seen &Start : D.workers().starts())
    HasStarted = HasStarted || Start.Task.starts_with(Id);
  D.write("judge: state '" + State + "' after 14 s; a task of it was " +
          (HasStarted ? "started" : "not started") + "; worker " +
          D.workers().id(0) + " of kind b is " +
          (D.workers().isDown(0) ? "down" : "up and runs nothing else"));
  if (State == "queued" && !HasStarted && !D.workers().isDown(0))
    return ExitBroken;
  return State == "completed" ? ExitHeld : ExitNotRun;
}

/// UNASKED: members of a gang start with different checkpoints.
int runGang(const Options &O) {
  Deployment D(O.Program, O.Directory, O.Record,
               std::vector<std::string>(6, "north"));
  D.configure({{"r", "/q/", "north"}});
  D.start("/q/");
  pause(3000);
  std::string Id = jobId(1);
  D.workers().setGang(Id, 4);
  Json Step = {{"TaskCount", 4},
               {"Cpu", 4000},
               {"GangScheduled", true},
               {"Checkpointing", true}};
  if (D.call(0, "POST", "/q/" + Id, jobBodyOf(6000, Step)).Status != StatusOk)
    return ExitNotRun;
  pause(2300);
  std::vector<review::CaseWorkers::Seen> Starts = D.workers().starts();
  if (Starts.empty())
    return ExitNotRun;
  if (O.Trouble)
    D.workers().crash(Starts.front().Worker, milliseconds(1000));
  std::string State;
  core::TimePoint Until = net::now() + std::chrono::seconds(30);
  while (net::now() < Until && State != "completed") {
    pause(500);
    State = stateOf(D.call(1, "GET", "/q/" + Id, ""));
  }
  std::map<std::uint64_t, std::set<std::string>> ByRun;
  for (const review::CaseWorkers::Seen &Start : D.workers().starts())
    ByRun[Start.Run].insert("'" + Start.Checkpoint + "'");
  bool Broken = false;
  for (const auto &[Run, Checkpoints] : ByRun) {
    std::string Line =
        "judge: run #" + std::to_string(Run) + " has starts with";
    for (const std::string &Checkpoint : Checkpoints)
      Line += " " + Checkpoint;
    D.write(Line);
    Broken = Broken || Checkpoints.size() > 1;
  }
  if (Broken)
    return ExitBroken;
  return State == "completed" ? ExitHeld : ExitNotRun;
}

/// One round of the case below. Nothing if the pool's next owner did not start
/// the task in time.
std::optional<bool> freezeOnce(Deployment &D, std::size_t Round,
                               bool WithTrouble) {
  // Two jobs fill the pool, a third one waits.
  Json Step = {{"TaskCount", 1}, {"Cpu", 4000}};
  std::size_t Before = D.workers().starts().size();
  D.call(0, "POST", "/q/" + jobId(10 * Round + 1), jobBodyOf(2000, Step));
  D.call(0, "POST", "/q/" + jobId(10 * Round + 2), jobBodyOf(1400, Step));
  std::string Id = jobId(10 * Round + 3);
  std::string Task = Id + ".0.0.0";
  D.call(0, "POST", "/q/" + Id, jobBodyOf(2000, Step));
  pause(1100);
  std::optional<std::size_t> Owner = D.ownerOf("north");
  if (!Owner || D.workers().starts().size() != Before + 2)
    return std::nullopt;
  auto RunsOf = [&] {
    std::vector<review::CaseWorkers::Seen> Runs;
    for (const review::CaseWorkers::Seen &Start : D.workers().starts())
      if (Start.Task == Task)
        Runs.push_back(Start);
    return Runs;
  };
  core::TimePoint FrozenAt = net::now();
  std::atomic<bool> StopAsking = false;
  std::vector<std::thread> Askers = D.askOften(*Owner, Id, StopAsking);
  if (WithTrouble)
    D.signal(*Owner, SIGSTOP);
  constexpr milliseconds LongestFreeze(3500);
  while (RunsOf().empty() && net::now() - FrozenAt < LongestFreeze)
    pause(5);
  bool InTime = !RunsOf().empty();
  if (InTime && WithTrouble) {
    D.workers().crash(1 - RunsOf().front().Worker, milliseconds(200));
    pause(250);
  }
  if (WithTrouble)
    D.signal(*Owner, SIGCONT);
  bool Both = false;
  for (int N = 0; N < 200 && !Both; ++N) {
    Both = D.workers().isRunning(0, Task) && D.workers().isRunning(1, Task);
    pause(2);
  }
  StopAsking = true;
  for (std::thread &Asker : Askers)
    Asker.join();
  std::size_t Starts = RunsOf().size();
  D.write("judge: starts of " + Task + ": " + std::to_string(Starts) +
          (Both ? ", two runs of it went on at the same time" : ""));
  pause(4500);
  if (!InTime)
    return std::nullopt;
  return Both;
}

/// TWICE: a frozen owner wakes up beside a worker that has restarted.
int runFreeze(const Options &O) {
  core::TimePoint Until = net::now() + std::chrono::seconds(95);
  Deployment D(O.Program, O.Directory, O.Record, {"north", "north"});
  D.configure({{"r", "/q/", "north"}});
  D.start("/q/");
  pause(3000);
  int Rounds = 0;
  std::size_t MostRounds = O.Trouble ? 20 : 5;
  for (std::size_t N = 1; N <= MostRounds && net::now() < Until; ++N) {
    std::optional<bool> Broken = freezeOnce(D, N, O.Trouble);
    if (Broken && *Broken)
      return ExitBroken;
    Rounds += Broken ? 1 : 0;
  }
  D.write("judge: rounds: " + std::to_string(Rounds));
  return Rounds > 0 ? ExitHeld : ExitNotRun;
}

/// LOST: a tenant's jobs wait for its limit, which it doesn't use.
int runLimit(const Options &O) {
  std::vector<std::string> Pools(4, "north");
  Pools.insert(Pools.end(), 8, "south");
  Deployment D(O.Program, O.Directory, O.Record, Pools);
  // The machines of the first service are of a kind of their own.
  for (std::size_t N = 0; N < 4; ++N)
    D.workers().setKind(N, "b");
  D.addMachines();
  constexpr int MaxCpu = 16000;
  D.configure({{"p", "/p/", "north", true},
               {"q", "/q/", "north"},
               {"s", "/s/", "south"}},
              MaxCpu);
  D.start("/q/");
  pause(3000);
  auto HandIn = [&](const std::string &Path, std::size_t First,
                    std::size_t Count, int Cpu, int Ms) {
    bool AreAccepted = true;
    Json Step = {{"TaskCount", 1}, {"Cpu", Cpu}};
    if (Path != "/s/")
      Step["Requirements"] = "b";
    for (std::size_t N = First; N < First + Count; ++N)
      AreAccepted =
          D.call(N % EntryCount, "POST", Path + jobId(N), jobBodyOf(Ms, Step))
                  .Status == StatusOk &&
          AreAccepted;
    return AreAccepted;
  };
  // Tasks that last, of nobody's limit, fill the first service.
  D.workers().setLasting(jobId(1));
  Json Lasting = {{"TaskCount", 4},
                  {"Cpu", 4000},
                  {"Requirements", "b"},
                  {"Perpetual", true}};
  if (D.call(0, "POST", "/p/" + jobId(1), jobBodyOf(1000, Lasting)).Status !=
      StatusOk)
    return ExitNotRun;
  pause(2000);
  if (O.Trouble && !HandIn("/q/", 11, 16, 1000, 5000))
    return ExitNotRun;
  pause(3000);
  // The other service is idle. This ends the traffic.
  constexpr std::size_t Jobs = 15;
  constexpr int Cpu = 1000;
  if (!HandIn("/s/", 101, Jobs, Cpu, 5000))
    return ExitNotRun;
  // finish_s, and the 3 s of the rule.
  pause(14000);
  std::set<std::string> Never;
  std::size_t MostRunning = 0;
  for (int Step = 0; Step < 30; ++Step) {
    std::set<std::string> Begun;
    for (const review::CaseWorkers::Seen &Start : D.workers().starts())
      Begun.insert(Start.Task.substr(0, Start.Task.find('.')));
    Never.clear();
    std::size_t Running = 0;
    for (std::size_t N = 11; N < 101 + Jobs; ++N)
      for (std::size_t W = 0; W < Pools.size(); ++W)
        Running += D.workers().isRunning(W, jobId(N) + ".0.0.0");
    for (std::size_t N = 101; N < 101 + Jobs; ++N)
      if (!Begun.contains(jobId(N)))
        Never.insert(jobId(N));
    MostRunning = std::max(MostRunning, Running);
    pause(100);
  }
  std::string State;
  if (!Never.empty())
    State = stateOf(D.call(1, "GET", "/s/" + *Never.begin(), ""));
  D.write("judge: from 14 to 17 s after the last job was handed in: " +
          std::to_string(Never.size()) + " of " + std::to_string(Jobs) +
          " jobs of the idle service have never had anything running, the " +
          "first is " + State + "; the tenant had at most " +
          std::to_string(MostRunning * Cpu) + " of its " +
          std::to_string(MaxCpu) + " running");
  bool IsHalfFree = 2 * MostRunning * Cpu < MaxCpu;
  if (!Never.empty() && IsHalfFree)
    return ExitBroken;
  return Never.empty() ? ExitHeld : ExitNotRun;
}

} // namespace

int main(int Argc, char **Argv) {
  constexpr int ArgumentCount = 4;
  if (Argc != ArgumentCount) {
    std::cerr << "usage: cases CASE PROGRAM RECORD\n";
    return ExitNotRun;
  }
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_ERROR;
  google::InitGoogleLogging(Argv[0]);
  std::signal(SIGPIPE, SIG_IGN);
  Options O;
  std::string Case = Argv[1];
  O.Program = Argv[2];
  O.Record = Argv[3];
  const char *Trouble = std::getenv("TROUBLE");
  O.Trouble = !Trouble || std::string(Trouble) != "0";
  O.Directory =
      std::filesystem::temp_directory_path() / "comfreydeck-review-XXXXXX";
  if (!::mkdtemp(O.Directory.data()))
    return ExitNotRun;
  int Result = ExitNotRun;
  try {
    if (Case == "crashes")
      Result = runCrashes(O);
    else if (Case == "pending")
      Result = runPending(O);
    else if (Case == "counts")
      Result = runCounts(O);
    else if (Case == "limit")
      Result = runLimit(O);
    else if (Case == "upkeep")
      Result = runUpkeep(O);
    else if (Case == "gang")
      Result = runGang(O);
    else if (Case == "freeze")
      Result = runFreeze(O);
  } catch (const std::exception &E) {
    std::cerr << E.what() << "\n";
  }
  if (!std::getenv("KEEP_LOGS"))
    std::filesystem::remove_all(O.Directory);
  else
    std::cerr << O.Directory << "\n";
  return Result;
}
