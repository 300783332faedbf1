#include "core/Allotment.h"

#include <doctest/doctest.h>

#include <vector>

using namespace comfreydeck::core;

namespace {

constexpr PoolId A{1}, B{2};
constexpr TeamLimit Ten{10, {1}};

AllotmentView viewOf(std::map<PoolId, std::uint32_t> Given,
                     std::map<PoolId, std::uint32_t> Wanted = {}) {
  AllotmentView View;
  updateView(View, {TeamId{1}, Ten, std::move(Given), std::move(Wanted)}, 1);
  return View;
}

PoolUse use(std::uint32_t Running, std::uint32_t Waiting) {
  return {Running, Waiting, Running + Waiting, 100, 2};
}

} // namespace

TEST_CASE("the first pool that asks gets the unassigned part") {
  AllotmentView View = viewOf({});
  CHECK(usableAllotment(View, A, Ten) == 0);
  auto Next = nextRow(View, A, use(0, 8), Ten);
  REQUIRE(Next);
  CHECK(Next->Given[A] == 10);
  updateView(View, *Next, 2);
  CHECK(usableAllotment(View, A, Ten) == 10);
}

TEST_CASE("an owner on a machine that has just booted waits with its first "
          "write of a row") {
  constexpr TimePoint Boot;
  CHECK(mayWriteRow(std::nullopt, Boot));
  CHECK_FALSE(mayWriteRow(Boot, Boot + std::chrono::milliseconds(249)));
  CHECK(mayWriteRow(Boot, Boot + AllotmentWriteGap));
}

TEST_CASE("a pool that wants more announces it to the others only once") {
  AllotmentView View = viewOf({{A, 10}});
  auto Next = nextRow(View, B, use(0, 4), Ten);
  REQUIRE(Next);
  CHECK(Next->Wanted[B] == 4);
  updateView(View, *Next, 2);
  CHECK_FALSE(nextRow(View, B, use(0, 4), Ten));
}

TEST_CASE("a pool stops using what it gives away before it writes the row") {
  AllotmentView View = viewOf({{A, 10}}, {{B, 4}});
  auto Next = nextRow(View, A, use(3, 0), Ten);
  REQUIRE(Next);
  CHECK(Next->Given[A] == 6);
  CHECK(Next->Given[B] == 4);
  CHECK(usableAllotment(View, A, Ten) == 6);
  onOutcomeUnknown(View);
  onNotApplied(View);
  CHECK(usableAllotment(View, A, Ten) == 6);
  updateView(View, View.Row, 2);
  CHECK(usableAllotment(View, A, Ten) == 10);
}

TEST_CASE("two pools that want more settle at equal parts") {
  AllotmentView View = viewOf({{A, 10}}, {{A, 20}, {B, 20}});
  // All ten are in use: nothing can be given yet, and no task starts above
  // five.
  CHECK_FALSE(nextRow(View, A, use(10, 10), Ten));
  CHECK(usableAllotment(View, A, Ten) == 5);
  auto Next = nextRow(View, A, use(5, 15), Ten);
  REQUIRE(Next);
  CHECK(Next->Given[A] == 5);
  CHECK(Next->Given[B] == 5);
  updateView(View, *Next, 2);
  CHECK_FALSE(nextRow(View, A, use(5, 15), Ten));
}

TEST_CASE("nothing starts before the row is written under the new limit") {
  AllotmentView View = viewOf({{A, 5}});
  TeamLimit Raised{20, {2}};
  CHECK(usableAllotment(View, A, Raised) == 0);
  auto Next = nextRow(View, A, use(0, 0), Raised);
  REQUIRE(Next);
  updateView(View, *Next, 2);
  CHECK(usableAllotment(View, A, Raised) == 5);
  // An owner that doesn't know the new limit yet keeps to the old one.
  Next = nextRow(View, A, use(5, 20), Ten);
  REQUIRE(Next);
  CHECK(Next->Given[A] == 10);
  CHECK(Next->WrittenUnder == Raised);
}

TEST_CASE("above a lowered limit nothing starts until enough tasks ended") {
  AllotmentView View = viewOf({{A, 12}, {B, 8}});
  CHECK(usableAllotment(View, A, Ten) == 0);
  auto Next = nextRow(View, A, use(9, 5), Ten);
  REQUIRE(Next);
  CHECK(Next->Given[A] == 9);
  updateView(View, *Next, 2);
  CHECK(usableAllotment(View, A, Ten) == 0);
  AllotmentRow Lower = *Next;
  Lower.Given[B] = 1;
  updateView(View, Lower, 3);
  CHECK(usableAllotment(View, A, Ten) == 9);
}

namespace {

/// The rule that a deliberately faulty variant omits.
enum class BrokenRule {
  Nothing,
  DonorKeepsUsing,
  NoOwnershipCondition,
  LimitUnchecked,
  RowOfOlderLimit,
  UnknownTakenAsLost,
};

constexpr std::uint32_t PoolCount = 3;
constexpr int Steps = 400;

std::uint32_t draw(Rng &Random, std::uint32_t Least, std::uint32_t Most) {
  return std::uniform_int_distribution<std::uint32_t>(Least, Most)(Random);
}

/// A write in flight to the store, which may arrive late.
struct Sent {
  std::uint32_t Pool = 0;
  AllotmentRow Row;
  std::uint64_t Version = 0;
  std::uint64_t Epoch = 0;
};

/// The owner of one pool and the tasks of the team there.
struct PoolState {
  AllotmentView View;
  std::uint64_t Epoch = 1;
  TeamLimit Limit = Ten;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
};

/// One team in three pools over a consistent store, with lost and late answers.
struct History {
  History(std::uint64_t Seed, BrokenRule Without)
      : Random(Seed), Variant(Without), Pools(PoolCount) {}

  Rng Random;
  BrokenRule Variant;
  std::vector<PoolState> Pools;
  AllotmentRow Row;
  std::uint64_t Version = 0;
  TeamLimit NewLimit = Ten;
  TeamLimit InForce = Ten;
  std::vector<Sent> Late;
  int Violations = 0;
  int Starts = 0;

  static PoolId idOf(std::uint32_t Pool) { return {Pool + 1}; }

  TeamLimit limitOf(const PoolState &P) const {
    if (Variant == BrokenRule::RowOfOlderLimit)
      return {P.Limit.Tasks, {}};
    return P.Limit;
  }

  bool apply(const Sent &S) {
    bool Owns = Pools[S.Pool].Epoch == S.Epoch ||
                Variant == BrokenRule::NoOwnershipCondition;
    if (S.Version != Version || !Owns)
      return false;
    Row = S.Row;
    ++Version;
    return true;
  }

  void write(std::uint32_t N) {
    PoolState &P = Pools[N];
    if (!P.View.Known)
      return;
    PoolUse Use{P.Running, P.Waiting, P.Running + P.Waiting, 16, PoolCount};
    auto Next = nextRow(P.View, idOf(N), Use, limitOf(P));
    if (Variant == BrokenRule::DonorKeepsUsing)
      P.View.Ceiling.reset();
    if (!Next)
      return;
    Sent S{N, *Next, P.View.Version, P.Epoch};
    std::uint32_t Outcome = draw(Random, 0, 5);
    if (Outcome <= 2) {
      if (apply(S))
        updateView(P.View, S.Row, Version);
      else
        onNotApplied(P.View);
      return;
    }
    if (Variant == BrokenRule::UnknownTakenAsLost)
      onNotApplied(P.View);
    else
      onOutcomeUnknown(P.View);
    if (Outcome == 3)
      apply(S);
    if (Outcome == 4)
      Late.push_back(S);
  }

  void start(PoolState &P, std::uint32_t N) {
    std::uint32_t Usable = usableAllotment(P.View, idOf(N), limitOf(P));
    if (Variant == BrokenRule::LimitUnchecked && P.View.Known)
      Usable = givenTo(P.View.Row, idOf(N));
    if (P.Waiting == 0 || P.Running >= Usable)
      return;
    --P.Waiting;
    ++P.Running;
    ++Starts;
    // A limit is binding once it is in force at every owner.
    std::uint32_t Total = 0, Limit = InForce.Tasks;
    for (const PoolState &Other : Pools) {
      Total += Other.Running;
      Limit = std::max(Limit, Other.Limit.Tasks);
    }
    Violations += Total > Limit ? 1 : 0;
  }

  /// Owners learn of changes in any order, and may skip some.
  void changeLimit(PoolState &P) {
    P.Limit = NewLimit;
    bool Everywhere = true;
    for (const PoolState &Other : Pools)
      Everywhere &= Other.Limit == NewLimit;
    if (Everywhere)
      InForce = NewLimit;
    if (draw(Random, 0, 5) == 0)
      NewLimit = {draw(Random, 0, 16), {NewLimit.Since.Value + 1}};
  }

  /// The next owner knows the running tasks, and reads the row after taking the
  /// pool over.
  void takeOver(PoolState &P) {
    ++P.Epoch;
    P.View = {};
    updateView(P.View, Row, Version);
  }

  void step() {
    std::uint32_t N = draw(Random, 0, PoolCount - 1);
    PoolState &P = Pools[N];
    switch (draw(Random, 0, 19)) {
    case 0:
      return changeLimit(P);
    case 1:
      return takeOver(P);
    case 2:
      P.Waiting = draw(Random, 0, 1) * draw(Random, 0, 20);
      return;
    case 3:
      if (!Late.empty()) {
        apply(Late.back());
        Late.pop_back();
      }
      return;
    case 4:
    case 5:
    case 6:
      updateView(P.View, Row, Version);
      return;
    case 7:
    case 8:
    case 9:
    case 10:
      return write(N);
    case 11:
    case 12:
    case 13:
      P.Running -= P.Running > 0 ? 1 : 0;
      return;
    default:
      return start(P, N);
    }
  }
};

/// Stops at the first seed with a violation.
int violationsOf(BrokenRule Variant, std::uint64_t Seeds, int &Starts) {
  int Violations = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds && Violations == 0; ++Seed) {
    History H(Seed, Variant);
    for (int Step = 0; Step < Steps; ++Step)
      H.step();
    Violations += H.Violations;
    Starts += H.Starts;
  }
  return Violations;
}

} // namespace

TEST_CASE("no history of races, crashes and lost answers exceeds a limit") {
  constexpr std::uint64_t Seeds = 20000;
  int Starts = 0;
  CHECK(violationsOf(BrokenRule::Nothing, Seeds, Starts) == 0);
  MESSAGE("seeds 1 to " << Seeds << ", " << Steps << " steps each, " << Starts
                        << " starts");
  // Histories without starts would show nothing.
  CHECK(Starts > static_cast<int>(Seeds) * 10);
}

TEST_CASE("the same histories detect each omitted rule") {
  constexpr std::uint64_t Seeds = 20000;
  for (BrokenRule Variant :
       {BrokenRule::DonorKeepsUsing, BrokenRule::NoOwnershipCondition,
        BrokenRule::LimitUnchecked, BrokenRule::RowOfOlderLimit,
        BrokenRule::UnknownTakenAsLost}) {
    int Starts = 0;
    int Violations = violationsOf(Variant, Seeds, Starts);
    CAPTURE(static_cast<int>(Variant));
    MESSAGE("variant " << static_cast<int>(Variant) << ": " << Violations
                       << " violations");
    CHECK(Violations > 0);
  }
}
