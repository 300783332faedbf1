#include "core/DataCentreChange.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;

namespace {

struct Fixture {
  Configuration C;
  std::vector<Instance> Rows;

  /// One pool over three data centres, two instances in each.
  Fixture() {
    Pool P;
    P.Id.Value = 1;
    P.Name = "signing";
    C.Pools.push_back(P);
    for (const char *Name : {"dc1", "dc2", "dc3"}) {
      DataCentre D;
      D.Name = Name;
      C.DataCentres.push_back(D);
      for (int N = 0; N < 2; ++N) {
        Instance I;
        I.Pool = P.Id;
        I.DataCentre = Name;
        Rows.push_back(I);
      }
    }
  }

  DataCentreDecision out(const char *Name, bool Force = false) const {
    std::vector<const Instance *> Pointers;
    for (const Instance &I : Rows)
      Pointers.push_back(&I);
    return decideOut(C, Name, Pointers, Force);
  }
};

} // namespace

TEST_CASE("taking a data centre out reports what each pool loses") {
  using A = DataCentreAnswer;
  Fixture F;
  CHECK(F.out("dc9").Answer == A::Unknown);
  DataCentreDecision D = F.out("dc1");
  CHECK(D.Answer == A::Accept);
  REQUIRE(D.Losses.size() == 1);
  CHECK(D.Losses[0].Before == 6);
  CHECK(D.Losses[0].After == 4);

  F.C.DataCentres[0].Out = true;
  CHECK(F.out("dc1").Answer == A::AlreadyInState);
  CHECK(F.out("dc2").Answer == A::Accept);
}

TEST_CASE("taking out the last data centre of a pool needs force") {
  using A = DataCentreAnswer;
  Fixture F;
  F.C.DataCentres[0].Out = true;
  // All instances of the second data centre fail.
  F.Rows[2].State = InstanceState::Failed;
  F.Rows[3].State = InstanceState::Failed;
  DataCentreDecision D = F.out("dc3");
  CHECK(D.Answer == A::WouldEmptyPool);
  CHECK(describe(D, "dc3").find("signing") != std::string::npos);
  CHECK(F.out("dc3", true).Answer == A::Accept);
  // The failed data centre has no serving instances to lose.
  CHECK(F.out("dc2").Answer == A::Accept);
  F.C.Pools[0].Spare = true;
  CHECK(F.out("dc3").Answer == A::Accept);
}

TEST_CASE("only a data centre that is out is brought back") {
  using A = DataCentreAnswer;
  Fixture F;
  CHECK(decideIn(F.C, "dc9").Answer == A::Unknown);
  CHECK(decideIn(F.C, "dc1").Answer == A::AlreadyInState);
  F.C.DataCentres[0].Out = true;
  CHECK(decideIn(F.C, "dc1").Answer == A::Accept);
}
