#include "dispatch/MachineBook.h"

#include <doctest/doctest.h>

using namespace comfreydeck::dispatch;

TEST_CASE("a worker's life is over once its machine shows that") {
  struct Case {
    const char *What;
    MachineState State;
    const char *Worker;
    bool Over;
  };
  const Case Cases[] = {
      {"at work", MachineState::Up, "w1", false},
      {"out of reach, perhaps at work", MachineState::Down, "w1", false},
      {"on its way to another pool", MachineState::Moving, "w1", true},
      {"taken down", MachineState::Maintenance, "w1", true},
      {"in its next life", MachineState::Up, "w2", true},
      {"without a worker", MachineState::Down, "", true},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.What);
    Machine M;
    M.Id = "m1";
    M.State = C.State;
    M.Worker = C.Worker;
    std::vector<Machine> Listed = {M};
    CHECK(isLifeOver("w1", Listed) == C.Over);
  }
  CHECK(isLifeOver("w1", {}));
}
