#include "core/Forecast.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_CASE("a burst of a few seconds hardly changes the forecast") {
  DemandForecast F;
  TimePoint Now{};
  observe(F, 40, Now);
  for (int S = 0; S < 5; ++S)
    observe(F, 200, Now += seconds(1));
  CHECK(F.Slots < 42);
  for (int S = 0; S < 3600; ++S)
    observe(F, 200, Now += seconds(1));
  CHECK(F.Slots > 195);
}

TEST_CASE("instances move after a lasting shortage or a surplus of two") {
  struct Case {
    const char *What;
    std::uint32_t Size;
    double Demand;
    minutes Held;
    std::size_t Moves;
  };
  // 40 slots need five instances, and one more may be absent.
  const Case Cases[] = {
      {"short for a moment", 5, 40, minutes(1), 0},
      {"short for five minutes", 5, 40, minutes(5), 1},
      {"enough", 6, 40, minutes(60), 0},
      {"one over", 7, 40, minutes(60), 0},
      {"two over for a moment", 8, 40, minutes(1), 0},
      {"two over for five minutes", 8, 40, minutes(5), 1},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.What);
    TimePoint Now = TimePoint() + minutes(100);
    PoolNeed Need;
    Need.Pool.Value = 1;
    Need.Size = C.Size;
    Need.DemandSlots = C.Demand;
    Need.ShortSince = Now - C.Held;
    Need.SurplusSince = Now - C.Held;
    CHECK(planMoves({&Need, 1}, PoolId{9}, 3, Now).size() == C.Moves);
  }
}

TEST_CASE("no instance moves from an empty spare pool") {
  PoolNeed Needs[2];
  Needs[0].Pool.Value = 1;
  Needs[1].Pool.Value = 2;
  for (PoolNeed &Need : Needs)
    Need.DemandSlots = 40;
  TimePoint Now = TimePoint() + minutes(100);
  CHECK(planMoves(Needs, PoolId{9}, 0, Now).empty());
  CHECK(planMoves(Needs, PoolId{9}, 1, Now).size() == 1);
  CHECK(spareSize(Needs, 4) == 12);
  Needs[0].Size = Needs[1].Size = 6;
  CHECK(spareSize(Needs, 4) == 4);
}
