#include "core/Wave.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace comfreydeck::core;

namespace {

constexpr std::int64_t Day = 24LL * 60 * 60 * 1000;
constexpr std::int64_t Now = 100 * Day;

/// Three data centres with up to four instances per rack.
struct Fixture {
  Pool Limits;
  BudgetLedger Ledger;
  Wave W;
  std::vector<Instance> Rows;

  explicit Fixture(std::uint32_t Size) {
    Limits.Name = "signing";
    Limits.AbsentLimit = 3;
    Limits.AbsentLimitPerDomain = 1;
    W.Id.Value = 5;
    for (std::uint32_t N = 0; N < Size; ++N) {
      Instance I;
      I.Id.Value = N;
      I.Name = "w" + std::to_string(N);
      I.DataCentre = "dc" + std::to_string(N % 3);
      I.Rack = I.DataCentre + "-r" + std::to_string(N / 12);
      I.MaintainedUnixMs = Now;
      Rows.push_back(I);
    }
  }

  std::vector<BudgetMember> members() const {
    std::vector<BudgetMember> Members;
    for (const Instance &I : Rows)
      Members.push_back({&I, absenceOf(I, true, Ledger)});
    return Members;
  }

  WaveStep step() const {
    std::vector<BudgetMember> Members = members();
    AbsenceTable Table = countAbsences(Members);
    return stepWave(W, Limits, Members, Table);
  }

  void drain(WorkerId Id) {
    Instance &I = Rows[Id.Value];
    I.State = InstanceState::Rebooting;
    I.Wave = W.Id;
    Ledger.Permits.insert(Id);
  }

  void bringBack(WorkerId Id) {
    Instance &I = Rows[Id.Value];
    I.State = InstanceState::Serving;
    I.Wave = {};
    I.LastWave = W.Id;
    Ledger.Permits.erase(Id);
  }
};

} // namespace

TEST_CASE("a wave accepts only the commands valid in its state") {
  using S = WaveState;
  using C = WaveCommand;
  struct Case {
    S From;
    C Command;
    std::optional<S> To;
  };
  const Case Cases[] = {
      {S::Running, C::Pause, S::Paused},
      {S::Running, C::Resume, {}},
      {S::Running, C::Cancel, S::Cancelled},
      {S::Running, C::Finish, S::Done},
      {S::Paused, C::Pause, {}},
      {S::Paused, C::Resume, S::Running},
      {S::Paused, C::Cancel, S::Cancelled},
      {S::Paused, C::Finish, {}},
      {S::Cancelled, C::Resume, {}},
      {S::Done, C::Cancel, {}},
  };
  for (const Case &Item : Cases)
    CHECK(next(Item.From, Item.Command) == Item.To);
}

TEST_CASE("one instance goes first, then as many as the budgets allow") {
  Fixture F(12);
  WaveStep Step = F.step();
  REQUIRE(Step.Drain.size() == 1);
  WorkerId Canary = Step.Drain.front();
  F.drain(Canary);
  CHECK(F.step().Hold == WaveHold::Canary);
  F.bringBack(Canary);
  Step = F.step();
  CHECK(Step.Drain.size() == 3);
  for (WorkerId Id : Step.Drain)
    F.drain(Id);
  CHECK(F.step().Hold == WaveHold::Budget);
  CHECK(!F.step().Refusal.granted());
}

TEST_CASE("a canary that is still warming up holds the wave") {
  Fixture F(12);
  F.drain(WorkerId{0});
  F.bringBack(WorkerId{0});
  F.Rows[0].State = InstanceState::Warming;
  F.Ledger.Permits.insert(WorkerId{0});
  CHECK(F.step().Hold == WaveHold::Canary);
}

TEST_CASE(
    "each instance is drained once, in as few rounds as the budgets allow") {
  for (std::uint32_t Size : {1U, 10U, 12U, 37U, 150U}) {
    CAPTURE(Size);
    Fixture F(Size);
    std::vector<std::uint32_t> Times(Size);
    std::uint32_t Rounds = 0;
    while (F.step().Hold != WaveHold::Complete) {
      WaveStep Step = F.step();
      REQUIRE(!Step.Drain.empty());
      for (WorkerId Id : Step.Drain)
        F.drain(Id);
      for (WorkerId Id : Step.Drain) {
        ++Times[Id.Value];
        F.bringBack(Id);
      }
      ++Rounds;
    }
    CHECK(std::all_of(Times.begin(), Times.end(),
                      [](auto Count) { return Count == 1; }));
    // One round for the canary, then one instance per data centre in each.
    CHECK(Rounds <= 1 + (Size + 2) / 3);
  }
}

TEST_CASE("failures hold the wave until an operator acknowledges them") {
  Fixture F(12);
  F.drain(WorkerId{0});
  F.Rows[0].State = InstanceState::Failed;
  F.Rows[0].SinceUnixMs = Now;
  CHECK(F.step().Hold == WaveHold::Failures);
  F.W.FailuresAfterUnixMs = Now;
  CHECK(F.step().Drain.size() == 1);
  F.bringBack(WorkerId{1});
  F.drain(WorkerId{2});
  F.Rows[2].State = InstanceState::Failed;
  F.Rows[2].SinceUnixMs = Now + 1;
  CHECK(F.step().Hold != WaveHold::Failures);
  F.drain(WorkerId{4});
  F.Rows[4].State = InstanceState::Failed;
  F.Rows[4].SinceUnixMs = Now + 1;
  CHECK(F.step().Hold == WaveHold::Failures);
}

TEST_CASE("failures outside the wave leave it less budget") {
  Fixture F(12);
  F.bringBack(WorkerId{0});
  F.Rows[1].State = InstanceState::Failed;
  CHECK(F.step().Drain.size() == 2);
  F.Rows[2].State = InstanceState::Failed;
  F.Rows[3].State = InstanceState::Failed;
  CHECK(F.step().Hold == WaveHold::Budget);
}

TEST_CASE("an unreachable instance is not drained and keeps the wave open") {
  Fixture F(3);
  std::vector<BudgetMember> Members = F.members();
  for (BudgetMember &M : Members)
    M.Reachable = false;
  AbsenceTable Table = countAbsences(Members);
  WaveStep Step = stepWave(F.W, F.Limits, Members, Table);
  CHECK(Step.Drain.empty());
  CHECK(Step.Hold != WaveHold::Complete);
}

TEST_CASE("the regular schedule maintains every instance within the interval") {
  constexpr std::int64_t Interval = 14 * Day;
  for (std::uint32_t Size : {1U, 10U, 150U}) {
    CAPTURE(Size);
    Fixture F(Size);
    std::int64_t Oldest = 0;
    for (std::int64_t T = Now; T < Now + 5 * Interval; T += 600000) {
      std::vector<BudgetMember> Members = F.members();
      AbsenceTable Table = countAbsences(Members);
      for (WorkerId Id :
           dueForMaintenance(F.Limits, Members, Table, Interval, T))
        F.Rows[Id.Value].MaintainedUnixMs = T;
      for (const Instance &I : F.Rows)
        Oldest = std::max(Oldest, T - I.MaintainedUnixMs);
    }
    CHECK(Oldest <= Interval);
    CHECK(Oldest > Interval / 2);
  }
}
