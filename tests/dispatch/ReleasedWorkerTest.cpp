#include "dispatch/Clock.h"
#include "dispatch/ConfigDecoder.h"
#include "dispatch/FleetControl.h"
#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"
#include "dispatch/SilentWorkers.h"
#include "net/HttpClient.h"

#include <doctest/doctest.h>

#include <mutex>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

namespace {

/// Workers that run nothing and say so.
struct IdleWorkers : SilentWorkers {
  void report(const jobs::WorkerEntry &, std::uint64_t, const jobs::HoldOrder &,
              SendMark SentAt,
              std::function<void(jobs::ReportResult)> Done) override {
    setSent(SentAt);
    jobs::ReportResult Result;
    Result.Outcome = jobs::OrderOutcome::Accepted;
    Result.Report.Born = 1;
    Result.Report.ClockMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            bootNow().time_since_epoch())
            .count();
    Done(Result);
  }
};

/// Machines m1 to m4 of pool "p" with workers w1 to w4. Moves are not answered;
/// the upkeep of m1 is done at once and gives it worker "w9", that of others is
/// refused.
struct UnansweredMachines : MachineControl {
  static constexpr std::size_t Count = 4;
  static constexpr const char *NewWorker = "w9";
  /// Answers to orders for upkeeps of m1 that are lost.
  std::atomic<std::uint32_t> LostAnswers = 0;
  /// Lists that show m1 during its upkeep.
  std::atomic<std::uint32_t> ListsInUpkeep = 0;
  std::atomic<std::uint32_t> UpkeepsAnswered = 0;
  std::atomic<bool> IsNextOrdered = false;
  /// The upkeep of others is answered as done, and takes none of them down.
  std::atomic<bool> AreOthersDone = false;
  std::mutex Mutex;
  /// Workers whose machines were ordered to move.
  std::vector<std::string> Moving;
  std::atomic<bool> IsMaintained = false;

  void list(std::function<void(MachineList)> Done) override {
    MachineList List;
    List.Ok = true;
    for (std::size_t N = 1; N <= Count; ++N) {
      Machine M;
      M.Id = "m" + std::to_string(N);
      M.Pool = "p";
      M.State = MachineState::Up;
      M.Worker = N == 1 && IsMaintained ? NewWorker : "w" + std::to_string(N);
      if (N == 1 && IsMaintained && ListsInUpkeep > 0) {
        --ListsInUpkeep;
        M.State = MachineState::Maintenance;
      }
      List.Machines.push_back(M);
    }
    Done(List);
  }
  void maintain(const std::string &Machine, const std::string &, std::uint64_t,
                std::function<void(MachineOrderOutcome)> Done) override {
    bool IsFirst = Machine == "m1";
    IsMaintained = IsMaintained || IsFirst;
    IsNextOrdered = IsNextOrdered || !IsFirst;
    if (IsFirst && LostAnswers > 0) {
      --LostAnswers;
      Done(MachineOrderOutcome::Unknown);
      return;
    }
    Done(IsFirst || AreOthersDone ? MachineOrderOutcome::Done
                                  : MachineOrderOutcome::Busy);
    UpkeepsAnswered += IsFirst ? 1 : 0;
  }
  void move(const std::string &Machine, const std::string &, std::uint64_t,
            std::function<void(MachineOrderOutcome)>) override {
    std::lock_guard<std::mutex> Lock(Mutex);
    Moving.push_back("w" + Machine.substr(1));
  }
  std::size_t moves() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Moving.size();
  }
  std::string lastMoving() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Moving.back();
  }
};

/// An entry that owns the fleet, pool "p" with four idle machines, and, unless
/// there is no other pool, pool "q" without any, to which it moves one.
struct FleetFixture {
  settings::DispatchSettings Settings;
  net::Loop Loop;
  net::HttpClient Client{{}};
  InMemoryStore Store;
  IdleWorkers Workers;
  UnansweredMachines Machines;
  RowDecoder Rows = decoderOf(configOf({"p", "q"}), [](const auto &Row) {
    jobs::WorkerEntry Entry;
    Entry.Id = Row.Where.Key;
    Entry.Pool = "p";
    Entry.Capacity = {4000, 1000, 0};
    Entry.Born = 1;
    return Entry;
  });
  CallerCodec Codec;
  JobMetrics Count;
  Context Ctx{Settings,  Loop, Client, Store, Workers,
              &Machines, Rows, Codec,  Count, "2"};
  FleetView View{Ctx, [this](ViewChange) {
                   Owners.review();
                   Owners.refreshControllers();
                 }};
  Ownership Owners{Ctx, View};
  Peers PeerCalls{Ctx, View, Owners};
  FleetControl Fleet{Ctx, View, Owners, PeerCalls};
  std::shared_ptr<PoolController> NextOwner;

  explicit FleetFixture(bool HasOtherPool = true) {
    Settings.Name = "e1";
    if (!HasOtherPool)
      Rows.Operator = decoderOf(configOf({"p"})).Operator;
    Rows.WaveStatus = [](bool) { return ""; };
    Rows.Operator = [Config = Rows.Operator](const store::PartRow &Row) {
      if (Row.Where.Key == "config")
        return Config(Row);
      OperatorRow Wave;
      Wave.What = OperatorRow::Kind::Wave;
      Wave.Name = "1";
      Wave.Wave = {"1", {"m1", "m2"}, std::chrono::seconds(10), 1};
      return Wave;
    };
    Store.put({"op", "", "config"}, "");
    for (const char *Pool : {"p", "q", rows::FleetControl})
      Store.put({rows::Control, rows::poolPart(Pool), rows::OwnerKey},
                FleetView::ownerValue("e1", "1", {}));
    for (std::size_t N = 1; N <= UnansweredMachines::Count; ++N)
      Store.put({"servers", "", "w" + std::to_string(N)}, "");
    Owners.setProbe([](const std::string &,
                       const std::function<void(bool)> &Done) { Done(true); });
    Owners.setStopQuery(
        [](const std::string &, const std::string &, std::uint64_t,
           const std::function<void(std::optional<core::Duration>)> &) {});
  }
  ~FleetFixture() {
    runOn(Loop, [this] {
      if (NextOwner)
        NextOwner->drop();
      for (const auto &[Pool, Controller] : Owners.controllers())
        Controller->drop();
    });
    Loop.stop();
    Client.stop();
  }
  void start() {
    Loop.start();
    runOn(Loop, [this] {
      View.start();
      Owners.start();
      Fleet.start();
    });
  }
  void waitUntilMoving() {
    waitUntil(Loop, [this] { return Machines.moves() > 0; });
  }
  /// Loads the pool's next owner, and waits until it has heard all workers.
  void changeOwner() {
    runOn(Loop, [this] {
      std::uint64_t Token = Owners.controller("p")->token();
      NextOwner = std::make_shared<PoolController>(
          Ctx, View, Jobs, JobTable,
          PoolTakeover{"p", Token + 1, bootNow(), {}}, StopQuery(),
          [](const std::string &) {});
      NextOwner->load([](std::uint64_t) {});
    });
    waitUntil(Loop, [this] { return NextOwner->state().isSettled(); });
  }
  bool isClosed(const PoolController &Owner, const std::string &Worker) {
    bool Closed = false;
    runOn(Loop, [&] { Closed = Owner.state().workers().at(Worker)->Closed; });
    return Closed;
  }

  TableFollower Jobs{Loop,
                     Store,
                     {rows::Jobs,
                      {},
                      std::chrono::milliseconds(20),
                      [] { return rows::jobParts(); }},
                     {nullptr, [](const store::PartRow &) {}, nullptr}};
  JobTableReader JobTable{Loop, Store};
};

} // namespace

TEST_CASE("the next owner of a pool gives tasks to a worker whose machine the "
          "one before let go") {
  FleetFixture B;
  B.start();
  B.waitUntilMoving();
  B.changeOwner();
  CHECK(B.isClosed(*B.NextOwner, B.Machines.lastMoving()));
}

TEST_CASE("a worker gets tasks again while the order for its machine has no "
          "answer") {
  constexpr std::chrono::milliseconds LongerThanRequests(3000);
  FleetFixture B;
  B.start();
  B.waitUntilMoving();
  std::string Worker = B.Machines.lastMoving();
  std::this_thread::sleep_for(LongerThanRequests);
  CHECK(B.isClosed(*B.Owners.controller("p"), Worker));
}

TEST_CASE("a machine is taken away though its pool's next owner would not know "
          "of it") {
  constexpr std::chrono::milliseconds LongerThanMovesTake(1000);
  FleetFixture B;
  for (std::size_t N = 1; N <= UnansweredMachines::Count; ++N)
    B.Store.refuseRow({rows::Progress, rows::poolPart("p"),
                       rows::RosterPrefix + ("w" + std::to_string(N))});
  B.start();
  waitUntil(B.Loop, [&] {
    auto Owner = B.Owners.controller("p");
    return Owner && Owner->state().isSettled();
  });
  std::this_thread::sleep_for(LongerThanMovesTake);
  CHECK(B.Machines.moves() == 0);
}

TEST_CASE("a wave closes the worker that follows the one it has taken down") {
  // The machine counts as down for this long after the order.
  constexpr std::chrono::milliseconds LongestDown(3000);
  FleetFixture B(false);
  B.Store.put({"op", "", "wave"}, "");
  B.start();
  waitUntil(B.Loop, [&] { return B.Machines.IsMaintained.load(); });
  const std::string Worker = UnansweredMachines::NewWorker;
  B.Store.remove({"servers", "", "w1"});
  B.Store.put({"servers", "", Worker}, "");
  waitUntil(B.Loop, [&] {
    return B.Owners.controller("p")->state().workers().count(Worker) != 0;
  });
  bool WasClosed = false;
  core::TimePoint Until = bootNow() + LongestDown;
  while (bootNow() < Until && !WasClosed) {
    WasClosed = B.isClosed(*B.Owners.controller("p"), Worker);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK_FALSE(WasClosed);
}

// LOST: the worker that was up when an order was answered counted as ended.
TEST_CASE("the worker that follows one whose machine was taken down gets tasks "
          "though the order is answered as done already") {
  FleetFixture B(false);
  B.Store.put({"op", "", "wave"}, "");
  bool ByEarlierOwner = false;
  SUBCASE("as the first answer was lost") { B.Machines.LostAnswers = 1; }
  SUBCASE("as an earlier owner of the fleet had given it") {
    ByEarlierOwner = true;
    B.Machines.IsMaintained = true;
  }
  const std::string Worker = UnansweredMachines::NewWorker;
  if (ByEarlierOwner) {
    B.Store.remove({"servers", "", "w1"});
    B.Store.put({"servers", "", Worker}, "");
  }
  B.start();
  waitUntil(B.Loop, [&] { return B.Machines.IsMaintained.load(); });
  if (!ByEarlierOwner) {
    B.Store.remove({"servers", "", "w1"});
    B.Store.put({"servers", "", Worker}, "");
  }
  waitUntil(B.Loop, [&] { return B.Machines.UpkeepsAnswered > 0; });
  waitUntil(B.Loop, [&] {
    const auto &Workers = B.Owners.controller("p")->state().workers();
    auto Next = Workers.find(Worker);
    return Next != Workers.end() && !Next->second->Ended &&
           !Next->second->Closed;
  });
}

TEST_CASE("a worker counts as ended by a call that doesn't name its present "
          "incarnation") {
  FleetFixture B(false);
  B.start();
  waitUntil(B.Loop, [&] {
    auto Owner = B.Owners.controller("p");
    return Owner && Owner->state().isSettled();
  });
  std::string Fields;
  bool IsPresent = false;
  SUBCASE("none, as in calls of former releases") {
    Fields = R"("ended":["w2"])";
  }
  SUBCASE("an earlier one") {
    Fields = R"("ended":[],"ended_incarnations":[["w2",0]])";
  }
  SUBCASE("the present one") {
    IsPresent = true;
    Fields = R"("ended":[],"ended_incarnations":[["w2",1]])";
  }
  net::HttpRequest Call;
  Call.Method = "POST";
  Call.Path = "/v1/pool";
  Call.Body = R"({"pool":"p","close":[],"press":[],)" + Fields + "}";
  bool Ended = false;
  int Status = 0;
  runOn(B.Loop, [&] {
    Status = B.PeerCalls.handle(Call).Status;
    Ended = B.Owners.controller("p")->state().workers().at("w2")->Ended;
  });
  CHECK(Status == 200);
  CHECK(Ended == IsPresent);
}

TEST_CASE("tasks wait for the lease of a worker whose machine the list shows "
          "during its upkeep") {
  FleetFixture B(false);
  B.Store.put({"op", "", "wave"}, "");
  B.Machines.ListsInUpkeep = 3;
  B.start();
  waitUntil(B.Loop, [&] { return B.Machines.IsMaintained.load(); });
  core::TimePoint OrderedAt = bootNow();
  waitUntil(B.Loop, [&] {
    return B.Owners.controller("p")->state().workers().at("w1")->Ended;
  });
  CHECK(bootNow() - OrderedAt < std::chrono::seconds(2));
}

// It was closed for 13 s more, until its release expired.
TEST_CASE(
    "a worker that was closed for maintenance gets tasks as soon as it is "
    "taken back") {
  constexpr std::chrono::milliseconds SeveralPlans(300);
  constexpr std::uint64_t FleetToken = 3;
  FleetFixture B(false);
  B.start();
  waitUntil(B.Loop, [&] {
    auto Owner = B.Owners.controller("p");
    return Owner && Owner->state().isSettled();
  });
  CloseRequest Request;
  Request.By.FleetToken = FleetToken;
  Request.Drain = {"w2"};
  waitUntil(B.Loop, [&] {
    ClosedWorkers Closed = B.Owners.controller("p")->closeWorkers(Request);
    return !Closed.Clear.empty();
  });
  CHECK(B.isClosed(*B.Owners.controller("p"), "w2"));
  std::swap(Request.Drain, Request.TakeBack);
  runOn(B.Loop, [&] { B.Owners.controller("p")->closeWorkers(Request); });
  CHECK_FALSE(B.isClosed(*B.Owners.controller("p"), "w2"));
  std::this_thread::sleep_for(SeveralPlans);
  CHECK_FALSE(B.isClosed(*B.Owners.controller("p"), "w2"));
}

// With the wave's end nobody took it back, so that its release had to expire.
TEST_CASE(
    "the worker of a wave's last machine is taken back if the machine was "
    "maintained before") {
  FleetFixture B(false);
  B.Store.put({"op", "", "wave"}, "");
  B.Machines.AreOthersDone = true;
  B.start();
  waitUntil(B.Loop, [&] { return B.Machines.IsNextOrdered.load(); });
  core::TimePoint ClosedAt;
  waitUntil(B.Loop, [&] {
    const jobs::WorkerState &Last =
        *B.Owners.controller("p")->state().workers().at("w2");
    ClosedAt = Last.Release.AskedAt.value_or(ClosedAt);
    return !Last.Closed;
  });
  CHECK(bootNow() - ClosedAt < jobs::OwnerLimits().LateOrder);
}

// The next worker was closed, and the wave stood still, until an answer came.
TEST_CASE(
    "a wave goes on once the list of machines shows an upkeep whose order "
    "has no answer") {
  constexpr std::uint32_t Always = 1000;
  FleetFixture B(false);
  B.Store.put({"op", "", "wave"}, "");
  B.Machines.LostAnswers = Always;
  B.Machines.ListsInUpkeep = 3;
  B.start();
  waitUntil(B.Loop, [&] { return B.Machines.IsMaintained.load(); });
  const std::string Worker = UnansweredMachines::NewWorker;
  B.Store.remove({"servers", "", "w1"});
  B.Store.put({"servers", "", Worker}, "");
  waitUntil(B.Loop, [&] { return B.Machines.IsNextOrdered.load(); });
  CHECK(B.Machines.LostAnswers == Always - 1);
  CHECK_FALSE(B.isClosed(*B.Owners.controller("p"), Worker));
}
