#include "LeaseModel.h"

#include <doctest/doctest.h>

using namespace comfreydeck::model;

namespace {

constexpr std::size_t MaxStates = 3000000;
constexpr std::size_t MaxStatesOfPart = 250000;
constexpr std::uint64_t Seed = 20240611;

Scenario named(const char *Name, std::size_t Nodes, int Ticks) {
  Scenario S;
  S.Name = Name;
  S.Nodes = Nodes;
  S.Ticks = Ticks;
  return S;
}

/// Bits for \ref Scenario::Readers and the other masks of nodes.
constexpr unsigned Node0 = 1;
constexpr unsigned Node1 = 2;
constexpr unsigned Node2 = 4;

Scenario change() {
  Scenario S = named("change, answers lost", 2, 4);
  S.Changes = 1;
  S.LostAnswers = 1;
  S.Writers = Node0;
  return S;
}

/// The other node can't reach the store.
Scenario changeInOutage() {
  Scenario S = named("change, store unreachable from one", 2, 6);
  S.Changes = 1;
  S.LostAnswers = 1;
  S.Writers = Node0;
  S.Readers = Node0;
  return S;
}

Scenario join() {
  Scenario S = named("join, store unreachable from one", 2, 8);
  S.Joining = 1;
  S.Changes = 1;
  S.Writers = Node1;
  S.Readers = Node1;
  return S;
}

Scenario joinDuringChange() {
  Scenario S = named("join during a change", 2, 4);
  S.Joining = 1;
  S.Changes = 1;
  S.Writers = Node0;
  return S;
}

Scenario lateReading() {
  Scenario S = named("join, late readings", 2, 3);
  S.Joining = 1;
  S.Changes = 1;
  S.Writers = Node1;
  S.LateReaders = Node0;
  return S;
}

Scenario takeover() {
  Scenario S = named("takeover, answers lost", 2, 5);
  S.Takeovers = 1;
  S.LostAnswers = 1;
  S.Writers = Node1;
  return S;
}

Scenario takeoverInOutage() {
  Scenario S = named("takeover, store unreachable from the owner", 2, 7);
  S.Takeovers = 1;
  S.Crashes = 1;
  S.Standing = true;
  S.Writers = Node1;
  S.Readers = Node1;
  S.Askers = Node0;
  return S;
}

Scenario slowOwner() {
  Scenario S = named("takeover from a slow clock", 2, 7);
  S.Takeovers = 1;
  S.Writers = Node1;
  S.SlowNode = 0;
  return S;
}

Scenario slowReader() {
  Scenario S = named("change, a slow clock", 2, 6);
  S.Changes = 1;
  S.Writers = Node0;
  S.SlowNode = 1;
  return S;
}

Scenario crash() {
  Scenario S = named("crash in an outage, standing proofs", 2, 7);
  S.Changes = 1;
  S.Crashes = 1;
  S.Standing = true;
  S.Writers = Node0;
  S.Readers = Node0;
  S.Askers = Node1;
  return S;
}

Scenario reclaim() {
  Scenario S = named("allotment reclaimed", 2, 5);
  S.Reclaims = 1;
  S.Writers = Node1;
  return S;
}

Scenario gift() {
  Scenario S = named("allotment given, answers lost", 2, 3);
  S.Gifts = 1;
  S.LostAnswers = 1;
  S.Writers = Node0;
  return S;
}

Scenario leave() {
  Scenario S = named("leave during a change", 2, 4);
  S.Changes = 1;
  S.Leaves = 1;
  S.Writers = Node0;
  S.Readers = Node0;
  return S;
}

/// Too large for an exhaustive search.
Scenario threeTakeovers() {
  Scenario S = named("two takeovers, a crash, 3 nodes", 3, 5);
  S.Takeovers = 2;
  S.Crashes = 1;
  S.Standing = true;
  S.Writers = Node1 | Node2;
  S.Readers = Node1 | Node2;
  return S;
}

Scenario threeChanges() {
  Scenario S = named("change, crash, leave, 3 nodes", 3, 5);
  S.Changes = 1;
  S.Crashes = 1;
  S.Leaves = 1;
  S.Standing = true;
  S.Writers = Node0;
  S.Readers = Node0;
  return S;
}

Scenario threeWithJoin() {
  Scenario S = named("join, crash, 3 nodes", 3, 8);
  S.Joining = 1;
  S.Changes = 1;
  S.Crashes = 1;
  S.Standing = true;
  S.Writers = Node2;
  S.Readers = Node2;
  return S;
}

Scenario allActions() {
  Scenario S = named("all actions, 4 nodes", 4, 14);
  S.Joining = 1;
  S.Changes = 2;
  S.Crashes = 1;
  S.Leaves = 1;
  S.LostAnswers = 1;
  S.Takeovers = 2;
  S.Standing = true;
  S.LateReaders = ~0U;
  S.LateProofs = true;
  S.SlowNode = 1;
  return S;
}

struct BrokenCase {
  const char *OmittedRule;
  BrokenRule Rule;
  Scenario S;
};

void print(const Exploration &E, const Scenario &S) {
  MESSAGE(S.Name, ": ", E.States, " states, ",
          std::string(E.Complete ? "searched to the end" : "searched in part"));
}

} // namespace

TEST_CASE("no history of a small world violates a guarantee of the lease") {
  const Scenario Scenarios[] = {
      change(),     changeInOutage(),   join(),      joinDuringChange(),
      takeover(),   takeoverInOutage(), slowOwner(), slowReader(),
      crash(),      reclaim(),          gift(),      leave(),
      lateReading()};
  for (const Scenario &S : Scenarios) {
    Exploration E = explore(S, MaxStates);
    print(E, S);
    CAPTURE(E.Trace);
    CHECK(E.Fault == "");
    CHECK(E.Complete);
  }
}

TEST_CASE("a partial search of larger worlds finds no violated guarantee") {
  const Scenario Scenarios[] = {threeTakeovers(), threeChanges(),
                                threeWithJoin()};
  for (const Scenario &S : Scenarios) {
    Exploration E = explore(S, MaxStatesOfPart);
    print(E, S);
    CAPTURE(E.Trace);
    CHECK(E.Fault == "");
  }
}

TEST_CASE("the search detects each omitted rule") {
  const BrokenCase Cases[] = {
      {"greeting", BrokenRule::NoGreeting, join()},
      {"wait for entries that don't know the reporter",
       BrokenRule::NoWaitForStrangers, join()},
      {"unknown outcome treated as failed", BrokenRule::UnknownIsFailed,
       gift()},
      {"unknown outcome treated as done", BrokenRule::UnknownIsDone,
       takeover()},
      {"wait after the last proof", BrokenRule::NoWaitAfterLastProof,
       changeInOutage()},
      {"fence", BrokenRule::NoFence, takeover()},
      {"drift margin, change", BrokenRule::NoDriftMargin, slowReader()},
      {"drift margin, takeover", BrokenRule::NoDriftMargin, slowOwner()},
      {"reading after the commit", BrokenRule::NoReadingAfterCommit,
       joinDuringChange()},
      {"standing proof for a drop", BrokenRule::DropWithoutStanding, crash()},
      {"wait for standing proofs", BrokenRule::NoWaitForStanding, crash()},
      {"new entries kept by a reading", BrokenRule::ReadingForgetsNew,
       lateReading()},
      {"progress compared", BrokenRule::ProofForAnyVersion, changeInOutage()},
  };
  for (const BrokenCase &Case : Cases) {
    Scenario S = Case.S;
    S.Rule = Case.Rule;
    Exploration E = explore(S, MaxStates);
    MESSAGE("without ", std::string(Case.OmittedRule), ": ", E.Fault, " after ",
            E.States, " states");
    CAPTURE(Case.OmittedRule);
    CHECK(E.Fault != "");
  }
}

TEST_CASE("random histories of a larger world violate no guarantee") {
  HistoryCount Counted = runHistories(allActions(), Seed, 300, 160);
  MESSAGE(Counted.Histories, " histories, seed ", Seed, ", ",
          Counted.WithReport, " with a change in force everywhere");
  CAPTURE(Counted.Fault);
  CHECK(Counted.Faulty == 0);
  CHECK(Counted.WithReport > 0);
}
