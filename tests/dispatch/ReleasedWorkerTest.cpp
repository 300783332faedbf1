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

/// Machines m1 to m4 of pool "p" with workers w1 to w4. Orders are answered
/// only when the test says so.
struct UnansweredMachines : MachineControl {
  static constexpr std::size_t Count = 4;
  struct Move {
    std::string Worker;
    std::function<void(MachineOrderOutcome)> Done;
  };
  std::mutex Mutex;
  std::vector<Move> Moves;

  void list(std::function<void(MachineList)> Done) override {
    MachineList List;
    List.Ok = true;
    for (std::size_t N = 1; N <= Count; ++N) {
      Machine M;
      M.Id = "m" + std::to_string(N);
      M.Pool = "p";
      M.State = MachineState::Up;
      M.Worker = "w" + std::to_string(N);
      List.Machines.push_back(M);
    }
    Done(List);
  }
  void maintain(const std::string &, const std::string &, std::uint64_t,
                std::function<void(MachineOrderOutcome)>) override {}
  void move(const std::string &Machine, const std::string &, std::uint64_t,
            std::function<void(MachineOrderOutcome)> Done) override {
    std::lock_guard<std::mutex> Lock(Mutex);
    Moves.push_back({"w" + Machine.substr(1), std::move(Done)});
  }
  std::size_t moves() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Moves.size();
  }
  Move last() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Moves.back();
  }
};

/// An entry that owns the fleet, pool "p" with four idle machines, and pool "q"
/// without any, to which it moves one.
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

  FleetFixture() {
    Settings.Name = "e1";
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

private:
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
  CHECK(B.isClosed(*B.NextOwner, B.Machines.last().Worker));
}

TEST_CASE("a worker gets tasks again while the order for its machine has no "
          "answer") {
  constexpr std::chrono::milliseconds LongerThanRequests(3000);
  FleetFixture B;
  B.start();
  B.waitUntilMoving();
  std::string Worker = B.Machines.last().Worker;
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
