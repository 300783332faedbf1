#include "core/Budget.h"

#include <doctest/doctest.h>

#include <vector>

using namespace comfreydeck::core;

namespace {

struct Fixture {
  Pool Limits;
  BudgetLedger Ledger;
  std::vector<Instance> Rows;
  std::vector<bool> Usable;

  /// Six instances in two data centres, each with one rack of three.
  Fixture() {
    Limits.AbsentLimit = 2;
    Limits.AbsentLimitPerDomain = 1;
    for (std::uint32_t N = 0; N < 6; ++N) {
      Instance I;
      I.Id.Value = N;
      I.Rack = N < 3 ? "a-r1" : "b-r1";
      I.DataCentre = N < 3 ? "a" : "b";
      Rows.push_back(I);
      Usable.push_back(true);
    }
  }

  std::vector<BudgetMember> members() const {
    std::vector<BudgetMember> Members;
    for (std::size_t N = 0; N < Rows.size(); ++N)
      Members.push_back({&Rows[N], absenceOf(Rows[N], Usable[N], Ledger)});
    return Members;
  }

  Permit ask(std::size_t N) const {
    std::vector<BudgetMember> Members = members();
    return permitDrain(countAbsences(Members), Limits, Members[N]);
  }

  void drain(std::size_t N) {
    Rows[N].State = InstanceState::Draining;
    Ledger.Permits.insert(Rows[N].Id);
  }
};

} // namespace

TEST_CASE("planned and unplanned absence count together") {
  Fixture F;
  CHECK(F.ask(0).granted());
  F.drain(0);
  CHECK(F.ask(0).Refused == PermitRefusal::NotServing);
  CHECK(F.ask(1).Refused == PermitRefusal::DataCentreBudget);
  CHECK(F.ask(3).granted());
  F.Usable[4] = false;
  CHECK(F.ask(3).Refused == PermitRefusal::PoolBudget);
  F.Limits.AbsentLimit = 3;
  CHECK(F.ask(3).Refused == PermitRefusal::DataCentreBudget);
}

TEST_CASE("draining an instance that is already absent needs no budget") {
  Fixture F;
  F.Limits.AbsentLimit = 1;
  F.Rows[0].State = InstanceState::Warming;
  CHECK(F.ask(0).granted());
  CHECK(!F.ask(3).granted());
}

TEST_CASE("draining a silent instance whose row is serving needs budget") {
  Fixture F;
  F.Limits.AbsentLimit = 1;
  F.Usable[0] = false;
  CHECK(F.ask(0).Refused == PermitRefusal::PoolBudget);
}

TEST_CASE("a joining instance does not count against the budget") {
  Fixture F;
  F.Rows[0].Joining = true;
  F.Rows[0].State = InstanceState::Warming;
  F.drain(1);
  CHECK(F.ask(0).granted());
  AbsenceTable Table = countAbsences(F.members());
  CHECK(Table.Pool.Size == 5);
  CHECK(Table.Pool.absent() == 1);
}

TEST_CASE("a permit counts until it is removed from the ledger") {
  Fixture F;
  F.Limits.AbsentLimit = 1;
  F.drain(0);
  F.Rows[0].State = InstanceState::Warming;
  CHECK(!F.ask(3).granted());
  F.Rows[0].State = InstanceState::Serving;
  CHECK(!F.ask(3).granted());
  F.Ledger.Permits.clear();
  CHECK(F.ask(3).granted());
}

TEST_CASE("permits granted in one step count against the budget") {
  Fixture F;
  std::vector<BudgetMember> Members = F.members();
  AbsenceTable Table = countAbsences(Members);
  addPermit(Table, Members[0]);
  CHECK(!permitDrain(Table, F.Limits, Members[1]).granted());
  CHECK(permitDrain(Table, F.Limits, Members[3]).granted());
  addPermit(Table, Members[3]);
  CHECK(permitDrain(Table, F.Limits, Members[4]).Refused ==
        PermitRefusal::PoolBudget);
}

TEST_CASE("a refusal names the reason and the remedy") {
  Fixture F;
  F.Limits.AbsentLimit = 0;
  CHECK(describe(F.ask(0)).find("raise the budget") != std::string::npos);
  F.Limits.AbsentLimit = 1;
  F.Usable[3] = false;
  CHECK(describe(F.ask(0)).find("failed instances") != std::string::npos);
  F.Usable[3] = true;
  F.drain(3);
  CHECK(describe(F.ask(0)).find("wait for one") != std::string::npos);
}
