#include "dispatch/MachineCache.h"

#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"
#include "dispatch/SilentWorkers.h"
#include "net/HttpClient.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

namespace {

struct EmptyMachines : MachineControl {
  std::uint32_t Lists = 0;

  void list(std::function<void(MachineList)> Done) override {
    ++Lists;
    MachineList List;
    List.Ok = true;
    Done(List);
  }
  void maintain(const std::string &, const std::string &, std::uint64_t,
                std::function<void(MachineOrderOutcome)>) override {}
  void move(const std::string &, const std::string &, std::uint64_t,
            std::function<void(MachineOrderOutcome)>) override {}
};

} // namespace

TEST_CASE("a worker has ended only if the state of its machine proves it") {
  struct Case {
    const char *What;
    MachineState State;
    const char *Worker;
    bool Over;
  };
  const Case Cases[] = {
      {"up", MachineState::Up, "w1", false},
      {"unreachable, possibly still running", MachineState::Down, "w1", false},
      {"moving to another pool", MachineState::Moving, "w1", true},
      {"in maintenance", MachineState::Maintenance, "w1", true},
      {"restarted as another worker", MachineState::Up, "w2", true},
      {"without a worker", MachineState::Down, "", true},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.What);
    Machine M;
    M.Id = "m1";
    M.State = C.State;
    M.Worker = C.Worker;
    std::vector<Machine> Listed = {M};
    CHECK(hasWorkerEnded("w1", Listed) == C.Over);
  }
  CHECK(hasWorkerEnded("w1", {}));
}

TEST_CASE("machines are listed at once, and again at once when the list is no "
          "longer valid, on an entry whose machine has just been started") {
  settings::DispatchSettings Settings;
  net::Loop Loop;
  net::HttpClient Client{{}};
  InMemoryStore Store;
  SilentWorkers Workers;
  EmptyMachines Machines;
  RowDecoder Rows;
  CallerCodec Codec;
  JobMetrics Count;
  Context Ctx{Settings,  Loop, Client, Store, Workers,
              &Machines, Rows, Codec,  Count, "1"};
  MachineCache Cache{Ctx};
  Loop.start();
  for (std::uint32_t Lists : {1U, 2U}) {
    runOn(Loop, [&] { Cache.refresh(core::TimePoint()); });
    CHECK(Machines.Lists == Lists);
    runOn(Loop, [&] {
      CHECK(Cache.hasList());
      Cache.refresh(core::TimePoint());
      Cache.invalidate();
    });
    CHECK(Machines.Lists == Lists);
  }
  Client.stop();
  Loop.stop();
}
