#include "dispatch/JobApi.h"

#include "dispatch/ConfigDecoder.h"
#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"
#include "dispatch/SilentWorkers.h"
#include "net/HttpClient.h"

#include <doctest/doctest.h>

#include <atomic>
#include <mutex>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

namespace {

Machine machine(const std::string &Id, const std::string &Label,
                core::Resources Capacity) {
  Machine M;
  M.Id = Id;
  M.Pool = "p";
  M.State = MachineState::Up;
  M.KindShown = true;
  M.Capacity = Capacity;
  M.Labels = {Label, "r1-1"};
  return M;
}

/// Machines that are listed as the test says, all lists after the first one by
/// \ref Later if that is set.
struct ScriptedMachines : MachineControl {
  std::mutex Mutex;
  MachineList First;
  std::optional<MachineList> Later;
  bool Answers = true;
  std::uint32_t Lists = 0;

  ScriptedMachines() {
    First.Ok = true;
    First.Machines = {machine("m1", "small", {4000, 1000, 0}),
                      machine("m2", "large", {16000, 8000, 2})};
  }
  void list(std::function<void(MachineList)> Done) override {
    std::lock_guard<std::mutex> Lock(Mutex);
    bool IsLater = ++Lists > 1 && Later;
    if (Answers)
      Done(IsLater ? *Later : First);
  }
  void maintain(const std::string &, const std::string &, std::uint64_t,
                std::function<void(MachineOrderOutcome)>) override {}
  void move(const std::string &, const std::string &, std::uint64_t,
            std::function<void(MachineOrderOutcome)>) override {}
};

/// An entry that accepts jobs for pool "p", one step each.
struct KindsFixture {
  settings::DispatchSettings Settings;
  net::Loop Loop;
  net::HttpClient Client{{}};
  InMemoryStore Store;
  SilentWorkers Workers;
  ScriptedMachines Machines;
  RowDecoder Rows = decoderOf(configWithQueue(), worker);
  CallerCodec Codec = codec();
  JobMetrics Count;
  Context Ctx;
  FleetView View{Ctx, [](ViewChange) {}};
  Ownership Owners{Ctx, View};
  Peers Others{Ctx, View, Owners};
  JobApi Api{Ctx, View, Others};
  /// The step of the next job.
  jobs::StepSpec Step;
  std::string Body;

  /// \p ListedLabels are those of listed workers, one each.
  explicit KindsFixture(const std::vector<std::string> &ListedLabels = {},
                        bool HasMachines = true)
      : Ctx{Settings, Loop,    Client,
            Store,    Workers, HasMachines ? &Machines : nullptr,
            Rows,     Codec,   Count,
            "1"} {
    Codec.Job = [this](const std::string &, jobs::JobSpec &Spec) {
      Spec.Payload = "text";
      Spec.Steps = {Step};
    };
    Store.put({"op", "", "config"}, "");
    for (const std::string &Label : ListedLabels)
      Store.put({"servers", "", "w-" + Label}, Label);
    Loop.start();
    runOn(Loop, [this] { View.start(); });
    waitUntil(Loop, [this] { return View.isSynced(); });
    Store.loseCommits(Loop, [](std::uint32_t) { return CommitFate::Answered; });
  }
  ~KindsFixture() {
    Client.stop();
    Loop.stop();
  }

  static jobs::WorkerEntry worker(const store::PartRow &Row) {
    jobs::WorkerEntry Entry;
    Entry.Id = Row.Where.Key;
    Entry.Pool = "other";
    Entry.Capacity = {4000, 1000, 0};
    Entry.Labels = {Row.Value};
    return Entry;
  }
  static CallerCodec codec() {
    CallerCodec Codec;
    Codec.Decode = [](const net::HttpRequest &Request) {
      CallerCall Call;
      Call.Kind = CallKind::Submit;
      Call.Host = "h";
      Call.Path = Request.Path;
      return Call;
    };
    return Codec;
  }
  /// Hands in a job and returns the status of the answer.
  int submit(const std::string &Id, const std::string &Label,
             core::Resources Need = {1000, 100, 0}, bool Filling = false) {
    Step = jobs::StepSpec();
    Step.Label = Label;
    Step.Need = Need;
    Step.Filling = Filling;
    std::atomic<int> Status = 0;
    net::HttpRequest Request;
    Request.Path = "/q/" + Id;
    Api.receive(Request, [&](const net::HttpResponse &Response) {
      Body = Response.Body;
      Status = Response.Status;
    });
    waitUntil(Loop, [&] { return Status != 0; });
    CHECK((Status == 200) ==
          Store.find({rows::Jobs, rows::jobPart(Id), Id}).has_value());
    return Status;
  }
  std::uint32_t lists() {
    std::lock_guard<std::mutex> Lock(Machines.Mutex);
    return Machines.Lists;
  }
};

const std::string Id = "0000000000000001";
const std::string OtherId = "0000000000000002";

} // namespace

TEST_CASE(
    "a job for a label or a size that no machine has is refused with what "
    "is missing, and not stored") {
  KindsFixture B;
  CHECK(B.submit(Id, "x\"y") == 400);
  CHECK(B.Body.find("label 'x\\\"y'") != std::string::npos);
  CHECK(B.submit(OtherId, "", {16001, 100, 0}) == 400);
  CHECK(B.Body.find("16001") != std::string::npos);
  CHECK(B.submit(Id, "small", {4001, 100, 0}) == 400);
  CHECK(B.submit(Id, "", {1000, 100, 3}) == 400);
  CHECK(B.submit(Id, "r1-2") == 400);
  // The first one asked for two lists, which served the others.
  CHECK(B.lists() == 2);
}

TEST_CASE("a job that some machine of the deployment could run is accepted") {
  KindsFixture B({"listed"});
  Machine &Large = B.Machines.First.Machines[1];
  SUBCASE("of its pool") {}
  SUBCASE("of another pool, on standby") { Large.Pool = "standby"; }
  SUBCASE("down") { Large.State = MachineState::Down; }
  SUBCASE("moving") { Large.State = MachineState::Moving; }
  SUBCASE("in maintenance") { Large.State = MachineState::Maintenance; }
  SUBCASE("missing in the first list only") {
    B.Machines.Later = B.Machines.First;
    Large = machine("m2", "small", {4000, 1000, 0});
  }
  CHECK(B.submit(Id, "large", {16000, 8000, 2}) == 200);
  CHECK(B.submit(OtherId, "listed") == 200);
  CHECK(B.submit("0000000000000003", "r1-1", {99000, 100, 0}, true) == 200);
}

TEST_CASE("a job that no machine is known to fit is accepted while the list of "
          "machines isn't known") {
  KindsFixture B({"a", "b"});
  SUBCASE("a failed list") { B.Machines.First.Ok = false; }
  SUBCASE("a failed second list") { B.Machines.Later = MachineList(); }
  SUBCASE("no answer") { B.Machines.Answers = false; }
  SUBCASE("a machine that shows no kind") {
    B.Machines.First.Machines[1].KindShown = false;
  }
  SUBCASE("fewer machines than workers") {
    B.Machines.First.Machines.pop_back();
  }
  CHECK(B.submit(Id, "none") == 200);
}

TEST_CASE(
    "a job that no listed worker fits is accepted on a platform without a "
    "list of machines") {
  KindsFixture B({"a", "b"}, false);
  CHECK(B.submit(Id, "none") == 200);
}

TEST_CASE(
    "a job whose acceptance had no answer isn't refused when it is handed "
    "in again") {
  KindsFixture B;
  B.Store.put({rows::Jobs, rows::jobPart(Id), Id}, "stored before");
  CHECK(B.submit(Id, "none") == 200);
  CHECK(B.Store.find({rows::Jobs, rows::jobPart(Id), Id})->Value ==
        "stored before");
}

TEST_CASE("a kind that has left the deployment is still accepted") {
  KindsFixture B;
  CHECK(B.submit(Id, "large") == 200);
  CHECK(B.submit(OtherId, "none") == 400);
  {
    std::lock_guard<std::mutex> Lock(B.Machines.Mutex);
    B.Machines.First.Machines.pop_back();
  }
  CHECK(B.submit("0000000000000003", "large") == 200);
}
