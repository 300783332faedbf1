#include "core/Drain.h"
#include "core/Warmup.h"

#include <doctest/doctest.h>

#include <vector>

using namespace comfreydeck::core;

namespace {

using S = InstanceState;
using E = InstanceEvent;

constexpr std::int64_t Now = 1000000;

Instance instanceIn(InstanceState State) {
  Instance I;
  I.Id.Value = 1;
  I.Name = "w1";
  I.Pool.Value = 1;
  I.State = State;
  I.BootId = "b1";
  return I;
}

} // namespace

TEST_CASE("each maintenance state accepts only the next event") {
  const std::vector<std::pair<E, S>> Way = {
      {E::DrainPermitted, S::Draining}, {E::TasksEnded, S::Empty},
      {E::RebootSent, S::Rebooting},    {E::CameBack, S::Warming},
      {E::WarmedUp, S::Serving},
  };
  Instance I = instanceIn(S::Serving);
  I.Wave.Value = 7;
  I.RebootWhenEmpty = true;
  for (const auto &[Event, To] : Way) {
    for (const auto &[Other, Unused] : Way) {
      bool IsNext = Other == Event;
      bool DrainsAgain = I.State == S::Warming && Other == E::DrainPermitted;
      CHECK(next(I.State, Other).has_value() == (IsNext || DrainsAgain));
    }
    std::optional<Instance> After = afterEvent(I, Event, Now);
    REQUIRE(After);
    CHECK(After->State == To);
    CHECK(takesWork(To) == (To == S::Warming || To == S::Serving));
    I = *After;
  }
  CHECK(I.LastWave == WaveId{7});
  CHECK(I.MaintainedUnixMs == Now);
  CHECK(!I.Wave.isValid());
  CHECK(!I.RebootWhenEmpty);
}

TEST_CASE("a move needs an empty instance and a target pool") {
  Instance I = instanceIn(S::Empty);
  CHECK(!afterEvent(I, E::Moved, Now));
  I.MoveTo.Value = 2;
  std::optional<Instance> After = afterEvent(I, E::Moved, Now);
  REQUIRE(After);
  CHECK(After->Pool == PoolId{2});
  CHECK(After->Joining);
  CHECK(!After->MoveTo.isValid());
  for (S State :
       {S::Serving, S::Draining, S::Rebooting, S::Warming, S::Failed}) {
    I.State = State;
    CHECK(!afterEvent(I, E::Moved, Now));
  }
}

TEST_CASE("the due event follows from the observation") {
  DrainTimes Times;
  struct Case {
    const char *What;
    S State;
    InstanceObservation Seen;
    std::int64_t InStateMs;
    std::optional<E> Due;
  };
  const Case Cases[] = {
      {"serving", S::Serving, {true, 0, "b1"}, 0, std::nullopt},
      {"still runs", S::Draining, {true, 1, "b1"}, 0, std::nullopt},
      {"silent", S::Draining, {false, 0, "b1"}, 0, std::nullopt},
      {"ended", S::Draining, {true, 0, "b1"}, 0, E::TasksEnded},
      {"no plan", S::Empty, {true, 0, "b1"}, 0, std::nullopt},
      {"same boot", S::Rebooting, {true, 0, "b1"}, 0, std::nullopt},
      {"silent", S::Rebooting, {false, 0, "b1"}, 0, std::nullopt},
      {"too long",
       S::Rebooting,
       {false, 0, "b1"},
       Times.RebootLimitMs + 1,
       E::Lost},
      {"another boot", S::Rebooting, {true, 0, "b2"}, 0, E::CameBack},
      {"cold", S::Warming, {true, 0, "b2"}, 0, std::nullopt},
      {"warm", S::Warming, {true, 0, "b2"}, Times.WarmUpMs, E::WarmedUp},
      {"warm, silent",
       S::Warming,
       {false, 0, "b2"},
       Times.WarmUpMs,
       std::nullopt},
      {"failed, silent", S::Failed, {false, 0, "b1"}, 0, std::nullopt},
      {"failed, answers again", S::Failed, {true, 0, "b1"}, 0, E::CameBack},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.What);
    Instance I = instanceIn(C.State);
    I.SinceUnixMs = Now - C.InStateMs;
    CHECK(dueEvent(I, C.Seen, Times, Now) == C.Due);
  }
}

TEST_CASE("a warming worker gets its slots one at a time") {
  std::uint32_t Last = 0;
  for (std::int64_t Ms = 0; Ms <= 30000; Ms += 1000) {
    std::uint32_t Slots = warmSlots(8, Ms, 30000);
    CHECK(Slots >= Last);
    CHECK(Slots - Last <= 1);
    Last = Slots;
  }
  CHECK(warmSlots(8, 0, 30000) == 1);
  CHECK(Last == 8);
  CHECK(warmSlots(8, -5, 30000) == 1);
}
