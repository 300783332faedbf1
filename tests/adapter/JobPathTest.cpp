#include "HttpStore.h"
#include "HttpWorkers.h"
#include "Rows.h"
#include "adapter/FakePlatform.h"
#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/Context.h"
#include "dispatch/DispatchEntry.h"
#include "dispatch/FleetView.h"
#include "standins/LoopbackPorts.h"

#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace comfreydeck;
using namespace comfreydeck::tests;

namespace {

constexpr std::chrono::milliseconds PollEvery(20);
/// Far longer than any wait here takes; fails a test that hangs.
constexpr std::chrono::seconds WaitLimit(60);
constexpr int TaskMs = 150;
constexpr int WorkerCount = 2;
/// More transactions than any test commits.
constexpr int AllTransactions = 1000;

constexpr const char *TwoSteps =
    R"({"TaskSpec":"x","Steps":[{"TaskCount":2,"Cpu":1000,
    "MemoryRequestMb":100,"EstimatedMs":150},{"TaskCount":1,"Cpu":1000,
    "MemoryRequestMb":100,"EstimatedMs":150,"After":[0]}]})";
constexpr const char *OneLongTask =
    R"({"TaskSpec":"x","Steps":[{"TaskCount":1,"Cpu":1000,
    "MemoryRequestMb":100,"EstimatedMs":60000}]})";

void waitUntil(const std::function<bool()> &Condition) {
  auto Until = std::chrono::steady_clock::now() + WaitLimit;
  while (!Condition()) {
    REQUIRE(std::chrono::steady_clock::now() < Until);
    std::this_thread::sleep_for(PollEvery);
  }
}

/// A dispatch entry with an HTTP client of its own.
struct TestEntry {
  settings::DispatchSettings Settings;
  net::HttpClient Client{{}};
  platform::HttpStore Store;
  platform::HttpWorkers Workers;
  dispatch::DispatchEntry Entry;

  TestEntry(const std::string &Name, const std::string &StoreAddress)
      : Settings(settingsOf(Name, StoreAddress)), Store(Client, StoreAddress),
        Workers(Client),
        Entry(Settings, Client,
              {Store, Workers, nullptr, platform::makeRowDecoder(),
               platform::makeCallerWire()}) {
    Entry.start();
  }
  ~TestEntry() { Client.stop(); }

  static settings::DispatchSettings
  settingsOf(const std::string &Name, const std::string &StoreAddress) {
    settings::DispatchSettings S;
    S.Name = Name;
    S.DataCentre = "z1";
    S.Callers = standins::takeLoopbackAddress();
    S.Readiness = standins::takeLoopbackAddress();
    S.Peers = standins::takeLoopbackAddress();
    S.Metrics = standins::takeLoopbackAddress();
    S.Store = StoreAddress;
    return S;
  }
};

/// The platform's store, two workers and some dispatch entries in one process.
struct TestCluster {
  net::Loop Timers;
  FakeStore PlatformStore{Timers};
  std::list<FakeWorker> Workers;
  std::vector<std::unique_ptr<TestEntry>> Entries;
  net::HttpClient Caller{{}};
  std::unique_ptr<platform::HttpStore> OperatorStore;

  explicit TestCluster(int EntryCount, int RunMs = TaskMs) {
    Timers.start();
    PlatformStore.start();
    OperatorStore =
        std::make_unique<platform::HttpStore>(Caller, PlatformStore.address());
    for (int N = 0; N < WorkerCount; ++N) {
      FakeWorker &Worker =
          Workers.emplace_back(Timers, "w" + std::to_string(N), RunMs);
      Worker.start();
      put("servers", Worker.id(), Worker.entry("p"));
    }
    put("op", "config",
        R"({"Version":1,"Routes":[{"Name":"r","Hostname":"h",
             "PathPrefix":"/q/","ServiceName":"p","MaxAttempts":3}],
             "Services":[{"Name":"p"}],
             "Tenants":[{"Name":"t","ApiKeys":["k"]}]})");
    for (int N = 0; N < EntryCount; ++N)
      addEntry();
    for (int N = 0; N < EntryCount; ++N)
      waitUntil([&] { return call(N, "GET", "/q/", "").Status == 200; });
  }

  ~TestCluster() {
    Entries.clear();
    Caller.stop();
    Timers.stop();
    for (FakeWorker &Worker : Workers)
      Worker.stop();
    PlatformStore.stop();
  }

  void addEntry() {
    Entries.push_back(std::make_unique<TestEntry>(
        "e" + std::to_string(Entries.size()), PlatformStore.address()));
  }

  /// Writes a row as operators or a worker would.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    store::PartTransaction T;
    T.Puts.push_back({{Table, "", Key}, Value});
    commit(std::move(T));
  }

  void remove(const std::string &Table, const std::string &Key) {
    store::PartTransaction T;
    T.Removals.push_back({Table, "", Key});
    commit(std::move(T));
  }

  void commit(store::PartTransaction T) {
    std::promise<store::PartOutcome> Done;
    OperatorStore->commit(
        std::move(T), WaitLimit,
        [&](store::PartAnswer Answer) { Done.set_value(Answer.Outcome); });
    REQUIRE(Done.get_future().get() == store::PartOutcome::Ok);
  }

  net::HttpResponse call(int Entry, const std::string &Method,
                         const std::string &Path, const std::string &Body,
                         const std::string &Key = "k") {
    net::HttpCall Call;
    Call.Method = Method;
    Call.Url = "http://" +
               Entries.at(static_cast<std::size_t>(Entry))->Settings.Callers +
               Path;
    Call.Headers = {{"Host", "h"}, {"Authorization", "Bearer " + Key}};
    Call.Body = Body;
    auto Done = std::make_shared<std::promise<net::HttpResponse>>();
    auto Answer = Done->get_future();
    Caller.send(std::move(Call), [Done](net::HttpResult Result) {
      if (Result.End != core::ExchangeEnd::Answered)
        Result.Response.Status = 0;
      Done->set_value(std::move(Result.Response));
    });
    return Answer.get();
  }

  /// Destroys the entry without stop(), calls \p Between and starts a new entry
  /// of the same name.
  void restart(int Entry, const std::function<void()> &Between) {
    std::unique_ptr<TestEntry> &Slot =
        Entries.at(static_cast<std::size_t>(Entry));
    std::string Name = Slot->Settings.Name;
    Slot.reset();
    Between();
    Slot = std::make_unique<TestEntry>(Name, PlatformStore.address());
  }

  /// Fetches the entry's metrics.
  std::string metrics(int Entry) {
    net::HttpCall Call;
    Call.Url = "http://" +
               Entries.at(static_cast<std::size_t>(Entry))->Settings.Metrics +
               "/metrics";
    std::promise<std::string> Text;
    Caller.send(std::move(Call), [&](const net::HttpResult &Result) {
      Text.set_value(Result.Response.Body);
    });
    return Text.get_future().get();
  }

  static std::string idOf(int Number) {
    std::string Digits = std::to_string(Number);
    return std::string(16 - Digits.size(), '0') + Digits;
  }

  /// Submits a job, repeating the call until it is accepted.
  void submit(int Entry, int Number, const char *Body = TwoSteps) {
    waitUntil([&] {
      return call(Entry, "POST", "/q/" + idOf(Number), Body).Status == 200;
    });
  }

  bool isCompleted(int Entry, int Number) {
    net::HttpResponse Answer = call(Entry, "GET", "/q/" + idOf(Number), "");
    return Answer.Body.find("completed") != std::string::npos;
  }

  /// Number of starts of each task on all workers.
  std::map<std::string, int> starts() {
    std::map<std::string, int> Sum;
    for (FakeWorker &Worker : Workers)
      for (const auto &[Task, Count] : Worker.starts())
        Sum[Task] += Count;
    return Sum;
  }
};

} // namespace

TEST_CASE("a submitted job runs on the workers and is reported as completed") {
  TestCluster Cluster(2);
  Cluster.submit(0, 1);
  waitUntil([&] { return Cluster.isCompleted(1, 1); });
  std::map<std::string, int> Starts = Cluster.starts();
  CHECK(Starts.size() == 3);
  for (const auto &[Task, Count] : Starts)
    CHECK(Count == 1);
}

TEST_CASE("each invalid call is answered with its own status") {
  TestCluster Cluster(1);
  std::string Job = "/q/" + TestCluster::idOf(1);
  CHECK(Cluster.call(0, "POST", Job, "{").Status == 400);
  CHECK(Cluster.call(0, "POST", Job, "{}", "other").Status == 401);
  CHECK(Cluster.call(0, "POST", "/none/1", "{}").Status == 404);
  CHECK(Cluster.call(0, "GET", Job, "").Status == 410);
  CHECK(Cluster.call(0, "DELETE", Job, "").Status == 410);
}

TEST_CASE("each task of a job runs once when the store fails for a time") {
  TestCluster Cluster(2);
  SUBCASE("responses are lost") { Cluster.PlatformStore.dropResponses(2); }
  SUBCASE("the change history is lost") { Cluster.PlatformStore.dropHistory(); }
  SUBCASE("all calls fail for a second") {
    Cluster.PlatformStore.failAll(503);
    Cluster.Timers.after(std::chrono::seconds(1),
                         [&Cluster] { Cluster.PlatformStore.failAll(0); });
  }
  for (int Job = 1; Job <= 6; ++Job)
    Cluster.submit(Job % 2, Job);
  for (int Job = 1; Job <= 6; ++Job)
    waitUntil([&] { return Cluster.isCompleted(0, Job); });
  for (const auto &Started : Cluster.starts()) {
    CAPTURE(Started.first);
    CHECK(Started.second == 1);
  }
}

TEST_CASE("jobs complete after the loss of an entry") {
  TestCluster Cluster(3);
  for (int Job = 1; Job <= 6; ++Job)
    Cluster.submit(Job % 3, Job);
  Cluster.Entries.erase(Cluster.Entries.begin());
  for (int Job = 7; Job <= 9; ++Job)
    Cluster.submit(0, Job);
  for (int Job = 1; Job <= 9; ++Job)
    waitUntil([&] { return Cluster.isCompleted(1, Job); });
  for (FakeWorker &Worker : Cluster.Workers)
    CHECK(Worker.duplicateStarts() == 0);
}

// Guards against answering a cancel as not done when a first attempt's response
// was lost and a retry was refused.
TEST_CASE("a cancel that may have been stored is not reported as refused") {
  TestCluster Cluster(1);
  Cluster.submit(0, 1);
  Cluster.PlatformStore.dropResponses(AllTransactions);
  Cluster.Timers.after(std::chrono::milliseconds(300),
                       [&Cluster] { Cluster.PlatformStore.failAll(503); });
  CHECK(Cluster.call(0, "DELETE", "/q/" + TestCluster::idOf(1), "").Status ==
        504);
  Cluster.PlatformStore.failAll(0);
  Cluster.PlatformStore.dropResponses(0);
}

// The retry after a lost answer finds the row of the earlier submission, which
// is no new job for the pool's owner.
TEST_CASE("a completed job that is submitted again doesn't run again when the "
          "answer of the store is lost") {
  constexpr std::int64_t HourMs = 3600000;
  TestCluster Cluster(0);
  jobs::JobSpec Spec;
  Spec.Id = TestCluster::idOf(1);
  Spec.Pool = "p";
  Spec.Queue = "r";
  Spec.Team = "t";
  Spec.Steps.resize(1);
  Spec.AcceptedMs = dispatch::wallMs() - HourMs;
  jobs::JobProgress Progress;
  Progress.State = jobs::JobState::Completed;
  store::PartTransaction T;
  T.Puts.push_back(
      {{dispatch::rows::Jobs, dispatch::rows::jobPart(Spec.Id), Spec.Id},
       codec::encodeJob(Spec)});
  Cluster.commit(std::move(T));
  T = {};
  T.Puts.push_back(
      {{dispatch::rows::Progress, dispatch::rows::poolPart("p"), Spec.Id},
       codec::encodeProgress(Progress)});
  Cluster.commit(std::move(T));
  Cluster.addEntry();
  // A run shows that the owner has planned, and so forgotten old jobs.
  Cluster.submit(0, 2);
  waitUntil([&] { return Cluster.isCompleted(0, 2); });
  Cluster.PlatformStore.dropResponses(AllTransactions);
  Cluster.Timers.after(std::chrono::milliseconds(300),
                       [&Cluster] { Cluster.PlatformStore.dropResponses(0); });
  Cluster.submit(0, 1);
  Cluster.submit(0, 3);
  waitUntil([&] { return Cluster.isCompleted(0, 3); });
  for (const auto &Started : Cluster.starts()) {
    CAPTURE(Started.first);
    CHECK(Started.first.find(Spec.Id) == std::string::npos);
  }
}

TEST_CASE("due times follow the fleet's agreed time of day, not that of an "
          "owner whose machine is set back or ahead") {
  constexpr std::int64_t HourMs = 3600000;
  std::int64_t OwnMs = dispatch::wallMs();
  bool IsDue = false;
  core::AgreedTime Agreed;
  Agreed.Sources = 9;
  Agreed.At = FakeStore::clock();
  jobs::JobSpec Spec;
  Spec.Id = TestCluster::idOf(1);
  Spec.Pool = "p";
  Spec.Queue = "r";
  Spec.Team = "t";
  Spec.Steps.resize(1);
  Spec.Repetitions = 1;
  SUBCASE("set back") {
    IsDue = true;
    Spec.FirstDueMs = OwnMs + HourMs;
    Agreed.Offset = std::chrono::hours(2);
  }
  SUBCASE("ahead") {
    Spec.FirstDueMs = OwnMs - HourMs;
    Agreed.Offset = -std::chrono::hours(2);
  }
  Agreed.Offset += std::chrono::milliseconds(OwnMs) - FakeStore::clock();
  Spec.AcceptedMs = Spec.FirstDueMs - HourMs / 2;
  TestCluster Cluster(0);
  store::PartTransaction T;
  T.Puts.push_back({{dispatch::rows::Control, dispatch::rows::entryPart("e0"),
                     std::string(dispatch::rows::TimePrefix) + "e0"},
                    dispatch::FleetView::timeValue(Agreed)});
  Cluster.commit(std::move(T));
  T = {};
  T.Puts.push_back(
      {{dispatch::rows::Jobs, dispatch::rows::jobPart(Spec.Id), Spec.Id},
       codec::encodeJob(Spec)});
  Cluster.commit(std::move(T));
  Cluster.addEntry();
  Cluster.submit(0, 2);
  waitUntil([&] {
    return Cluster.isCompleted(0, 2) && (!IsDue || Cluster.isCompleted(0, 1));
  });
  CHECK(Cluster.starts().count(Spec.Id + ".0.0.0") == (IsDue ? 1 : 0));
}

TEST_CASE("an entry that starts anew runs nothing twice beside a worker whose "
          "row has lapsed") {
  constexpr int LongMs = 60000;
  TestCluster Cluster(1, LongMs);
  Cluster.submit(0, 1, OneLongTask);
  std::string Task = TestCluster::idOf(1) + ".0.0.0";
  FakeWorker *RunningOn = nullptr;
  waitUntil([&] {
    for (FakeWorker &Worker : Cluster.Workers)
      RunningOn = Worker.isRunning(Task) ? &Worker : RunningOn;
    return RunningOn != nullptr;
  });
  std::uint64_t TokenBefore = RunningOn->fencingToken();
  Cluster.restart(0, [&] { Cluster.remove("servers", RunningOn->id()); });
  bool RanTwice = false;
  waitUntil([&] {
    std::size_t Running = 0;
    for (FakeWorker &Worker : Cluster.Workers)
      Running += Worker.isRunning(Task) ? 1 : 0;
    RanTwice = Running > 1;
    return RanTwice || RunningOn->fencingToken() > TokenBefore;
  });
  CHECK_FALSE(RanTwice);
}

TEST_CASE("an owner's metrics cover its pool, its workers and its event loop") {
  TestCluster Cluster(1);
  Cluster.submit(0, 1);
  waitUntil([&] { return Cluster.isCompleted(0, 1); });
  std::string Text;
  constexpr const char *StartsAccepted =
      R"(comfreydeck_job_start_answers_total{outcome="accepted",pool="p"} 3)";
  for (const char *ExpectedText :
       {"comfreydeck_job_answers_total{call=\"submit\"",
        "comfreydeck_job_starts_total{pool=\"p\"} 3", StartsAccepted,
        "comfreydeck_job_ends_total{kind=\"done\",pool=\"p\"} 3",
        "comfreydeck_job_pool_workers{pool=\"p\",standing=\"usable\"} 2",
        "comfreydeck_job_pool_runs{pool=\"p\"} 0",
        "comfreydeck_job_plan_seconds_count{pool=\"p\"}",
        "comfreydeck_job_loop_wait_seconds_count",
        "comfreydeck_job_http_total{target=\"worker\",what=\"connect\"}",
        "comfreydeck_job_http_total{target=\"store\",what=\"call\"}"}) {
    CAPTURE(ExpectedText);
    waitUntil([&] {
      Text = Cluster.metrics(0);
      return Text.find(ExpectedText) != std::string::npos;
    });
  }
}

TEST_CASE("a refusal by the store that will not change is told from one that "
          "may") {
  net::Loop Timers;
  Timers.start();
  FakeStore Server(Timers);
  Server.start();
  net::HttpClient Client{{}};
  platform::HttpStore Store(Client, Server.address());
  auto IsPermanent = [&](int Status) {
    Server.failAll(Status);
    std::promise<store::PartAnswer> Answer;
    Store.commit({}, WaitLimit, [&](store::PartAnswer Given) {
      Answer.set_value(std::move(Given));
    });
    store::PartAnswer Given = Answer.get_future().get();
    CHECK(Given.Outcome == store::PartOutcome::NotDone);
    return Given.Permanent;
  };
  for (int Status : {400, 403, 413}) {
    CAPTURE(Status);
    CHECK(IsPermanent(Status));
  }
  for (int Status : {408, 429, 500, 503, 507}) {
    CAPTURE(Status);
    CHECK_FALSE(IsPermanent(Status));
  }
  Client.stop();
  Timers.stop();
  Server.stop();
}
