#include "dispatch/TeamAllotments.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/ConfigDecoder.h"
#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"
#include "dispatch/SilentWorkers.h"
#include "net/HttpClient.h"

#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

namespace {

constexpr const char *Life = "2";
constexpr std::uint32_t Limit = 10000;

std::int64_t clockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             bootNow().time_since_epoch())
      .count();
}

/// Workers that start everything and report it; nothing ends.
struct StartingWorkers : SilentWorkers {
  std::mutex Mutex;
  std::map<std::string, std::vector<jobs::RunReport>> Running;
  net::Loop *Loop = nullptr;

  void start(const jobs::WorkerEntry &To, std::uint64_t,
             const jobs::StartOrder &Order, SendMark SentAt,
             std::function<void(jobs::OrderResult)> Done) override {
    setSent(SentAt);
    jobs::RunReport Run;
    Run.Task = Order.Task;
    Run.Run = Order.Run;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Running[To.Id].push_back(Run);
    }
    Done({jobs::OrderOutcome::Accepted, clockMs()});
  }
  void report(const jobs::WorkerEntry &To, std::uint64_t,
              const jobs::HoldOrder &, SendMark SentAt,
              std::function<void(jobs::ReportResult)> Done) override {
    setSent(SentAt);
    Loop->after(std::chrono::milliseconds(20), [this, Id = To.Id, Done] {
      jobs::ReportResult Result;
      Result.Outcome = jobs::OrderOutcome::Accepted;
      Result.Report.ClockMs = clockMs();
      Result.Report.Born = 1;
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        Result.Report.Running = Running[Id];
      }
      Done(Result);
    });
  }
  std::size_t count() {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::size_t Count = 0;
    for (const auto &[Id, Runs] : Running)
      Count += Runs.size();
    return Count;
  }
};

/// An entry that owns pools "p" and "q", which share a team's limit.
struct AllotmentsFixture {
  settings::DispatchSettings Settings;
  net::Loop Loop;
  net::HttpClient Client{{}};
  InMemoryStore Store;
  StartingWorkers Workers;
  RowDecoder Rows = decoderOf(config(), worker);
  CallerCodec Codec;
  JobMetrics Count;
  Context Ctx{Settings, Loop, Client, Store, Workers,
              nullptr,  Rows, Codec,  Count, Life};
  FleetView View{Ctx, [this](ViewChange What) {
                   Owners.review();
                   if (What != ViewChange::Control)
                     Owners.refreshControllers();
                 }};
  Ownership Owners{Ctx, View};
  TeamAllotments Allotments{Ctx, View, Owners};
  unsigned Jobs = 0;

  /// \p Row is the team's row of allotments.
  explicit AllotmentsFixture(const std::string &Row) {
    Settings.Name = "e1";
    Workers.Loop = &Loop;
    Store.put({"op", "", "config"}, "");
    Store.put({rows::Control, rows::LimitsPart, "t"}, Row);
    for (const std::string Pool : {"p", "q"}) {
      Store.put({rows::Control, rows::poolPart(Pool), rows::OwnerKey},
                FleetView::ownerValue("e1", Life, {}));
      for (const char *Worker : {"1", "2"})
        Store.put({"servers", "", Pool + Worker}, Pool);
    }
    Owners.setProbe([](const std::string &,
                       const std::function<void(bool)> &Done) { Done(true); });
    Owners.setStopQuery(
        [](const std::string &, const std::string &, std::uint64_t,
           const std::function<void(std::optional<core::Duration>)> &) {});
    Loop.start();
    runOn(Loop, [this] {
      View.start();
      Owners.start();
    });
    waitUntil(Loop, [this] {
      Owners.review();
      return isSettled("p") && isSettled("q");
    });
    runOn(Loop, [this] { Allotments.apply(); });
  }
  ~AllotmentsFixture() {
    runOn(Loop, [this] {
      for (const auto &[Pool, Controller] : Owners.controllers())
        Controller->drop();
    });
    Loop.stop();
    Client.stop();
  }

  static jobs::FleetConfig config() {
    jobs::FleetConfig Config = configOf({"p", "q"});
    jobs::Team Team;
    Team.Name = "t";
    Team.UpperLimit = {Limit, 0, 0};
    Config.Teams["t"] = Team;
    return Config;
  }
  static jobs::WorkerEntry worker(const store::PartRow &Row) {
    jobs::WorkerEntry Entry;
    Entry.Id = Row.Where.Key;
    Entry.Pool = Row.Value;
    Entry.Address = "127.0.0.1:1";
    Entry.DataCentre = "dc1";
    Entry.Capacity = {4000, 1000, 0};
    Entry.Born = 1;
    return Entry;
  }
  bool isSettled(const std::string &Pool) const {
    auto Controller = Owners.controller(Pool);
    return Controller && Controller->state().isSettled();
  }
  /// Adds a gang of 6,000 to the pool, and waits until its owner knows it.
  void addGang(const std::string &Pool) {
    jobs::JobSpec Spec = jobOf("t", 6);
    Spec.Steps[0].Gang = true;
    add(Pool, Spec);
  }
  /// A job of tasks of 1,000.
  static jobs::JobSpec jobOf(const std::string &Team, std::uint32_t Tasks) {
    jobs::JobSpec Spec;
    Spec.Team = Team;
    Spec.Steps.resize(1);
    Spec.Steps[0].Tasks = Tasks;
    Spec.Steps[0].Need = {1000, 100, 0};
    Spec.Steps[0].EstimateMs = 1000;
    return Spec;
  }
  /// Adds the job to the pool, and waits until its owner knows it.
  void add(const std::string &Pool, jobs::JobSpec Spec) {
    Spec.Id = "000000000000000" + std::to_string(++Jobs);
    Spec.Pool = Pool;
    Spec.Payload = "text";
    Spec.AcceptedMs = wallMs();
    Store.put({rows::Jobs, rows::jobPart(Spec.Id), Spec.Id},
              codec::encodeJob(Spec));
    waitUntil(Loop, [&] {
      return Owners.controller(Pool)->state().findJob(Spec.Id) != nullptr;
    });
  }
  void startAllotments() {
    runOn(Loop, [this] { Allotments.start(); });
  }
  TeamAllotment stored() const {
    return FleetView::decodeAllotment(
        *Store.find({rows::Control, rows::LimitsPart, "t"}));
  }
};

} // namespace

TEST_CASE("of two pools that hold parts of a team's limit too small for their "
          "gangs, one gets what the other can't use") {
  AllotmentsFixture B(R"({"p":[5120,0,0],"q":[4880,0,0]})");
  B.addGang("p");
  B.addGang("q");
  B.startAllotments();
  waitUntil(B.Loop, [&] { return B.Workers.count() >= 6; });
  TeamAllotment Row = B.stored();
  CHECK(Row.ByPool.at("p").MilliCpus + Row.ByPool.at("q").MilliCpus <= Limit);
  CHECK(B.Workers.count() == 6);
  // The other one goes on waiting for its turn.
  waitUntil(B.Loop, [&] { return B.stored().Needs.size() == 1; });
}

TEST_CASE("a pool starts nothing with a part that it has given away in a write "
          "without an answer") {
  constexpr std::chrono::milliseconds Meanwhile(1200);
  AllotmentsFixture B(R"({"p":[10000,0,0],"q":[0,0,0]})");
  // The workers are enrolled meanwhile.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  std::atomic<bool> Losing = true;
  B.Store.loseCommits(B.Loop, [&](std::uint32_t) {
    return Losing ? CommitFate::NotDone : CommitFate::Answered;
  });
  B.startAllotments();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  B.addGang("p");
  std::this_thread::sleep_for(Meanwhile);
  CHECK(B.Workers.count() == 0);
  Losing = false;
  waitUntil(B.Loop, [&] { return B.Workers.count() == 6; });
}

// LOST: a team's tasks that waited for room held its whole limit.
TEST_CASE(
    "a team's tasks start in an idle pool while others of it wait for room "
    "in a full one") {
  AllotmentsFixture B(R"({"p":[0,0,0],"q":[0,0,0]})");
  jobs::JobSpec Filling = AllotmentsFixture::jobOf("", 8);
  Filling.Steps[0].Lasting = true;
  B.add("p", Filling);
  waitUntil(B.Loop, [&] { return B.Workers.count() == 8; });
  B.startAllotments();
  B.add("p", AllotmentsFixture::jobOf("t", 8));
  B.add("p", AllotmentsFixture::jobOf("t", 8));
  waitUntil(B.Loop, [&] { return B.stored().ByPool.at("p").MilliCpus > 0; });
  B.add("q", AllotmentsFixture::jobOf("t", 7));
  waitUntil(B.Loop, [&] { return B.Workers.count() == 8 + 7; });
  TeamAllotment Row = B.stored();
  CHECK(Row.ByPool.at("p").MilliCpus + Row.ByPool.at("q").MilliCpus <= Limit);
}
