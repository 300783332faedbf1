#include "dispatch/MachineCache.h"

#include <doctest/doctest.h>

using namespace comfreydeck::dispatch;

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
