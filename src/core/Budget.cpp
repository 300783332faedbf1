#include "core/Budget.h"

#include "core/Drain.h"

namespace comfreydeck::core {

namespace {

void count(AbsenceCount &Count, Absence Kind) {
  if (Kind == Absence::Joining)
    return;
  ++Count.Size;
  Count.Planned += Kind == Absence::Planned ? 1 : 0;
  Count.Unplanned += Kind == Absence::Unplanned ? 1 : 0;
}

AbsenceCount find(const std::map<std::string, AbsenceCount, std::less<>> &Map,
                  std::string_view Domain) {
  auto It = Map.find(Domain);
  return It == Map.end() ? AbsenceCount{} : It->second;
}

/// Grants a permit if \p More further absences stay within \p Limit, and
/// otherwise refuses it with \p Refusal.
Permit check(PermitRefusal Refusal, const std::string &Domain,
             const AbsenceCount &Count, std::uint32_t Limit,
             std::uint32_t More) {
  Permit P;
  P.Domain = Domain;
  P.Count = Count;
  P.Limit = Limit;
  if (Count.absent() + More > Limit)
    P.Refused = Refusal;
  return P;
}

} // namespace

Absence absenceOf(const Instance &I, bool Usable, const BudgetLedger &Ledger) {
  if (I.Joining)
    return Absence::Joining;
  if (Ledger.Permits.contains(I.Id))
    return Absence::Planned;
  if (I.State == InstanceState::Serving && Usable)
    return Absence::None;
  return Absence::Unplanned;
}

AbsenceTable countAbsences(std::span<const BudgetMember> Members) {
  AbsenceTable Table;
  for (const BudgetMember &M : Members) {
    count(Table.Pool, M.Kind);
    count(Table.Racks[M.Item->Rack], M.Kind);
    count(Table.DataCentres[M.Item->DataCentre], M.Kind);
  }
  return Table;
}

Permit permitDrain(const AbsenceTable &Table, const Pool &Limits,
                   const BudgetMember &Member) {
  Permit P;
  const Instance &I = *Member.Item;
  bool CanDrain = next(I.State, InstanceEvent::DrainPermitted).has_value();
  if (!CanDrain || Member.Kind == Absence::Planned) {
    P.Refused = PermitRefusal::NotServing;
    return P;
  }
  // A joining instance is not part of the pool's capacity, and one whose row
  // has it out of service is counted already. A serving instance that is only
  // silent needs budget: it may answer again before the permit is written.
  bool IsCounted = I.State != InstanceState::Serving;
  if (Member.Kind == Absence::Joining || IsCounted)
    return P;
  P = check(PermitRefusal::PoolBudget, "", Table.Pool, Limits.AbsentLimit, 1);
  if (!P.granted())
    return P;
  P = check(PermitRefusal::DataCentreBudget, I.DataCentre,
            find(Table.DataCentres, I.DataCentre), Limits.AbsentLimitPerDomain,
            1);
  if (!P.granted())
    return P;
  return check(PermitRefusal::RackBudget, I.Rack, find(Table.Racks, I.Rack),
               Limits.AbsentLimitPerDomain, 1);
}

void addPermit(AbsenceTable &Table, const BudgetMember &Member) {
  if (Member.Kind == Absence::Joining)
    return;
  auto Add = [&](AbsenceCount &Count) {
    if (Member.Kind == Absence::Unplanned)
      --Count.Unplanned;
    ++Count.Planned;
  };
  Add(Table.Pool);
  Add(Table.Racks[Member.Item->Rack]);
  Add(Table.DataCentres[Member.Item->DataCentre]);
}

std::string describe(const Permit &P) {
  if (P.granted())
    return "permitted";
  if (P.Refused == PermitRefusal::NotServing)
    return "the instance is already draining or is not serving";
  std::string Where = P.Domain.empty() ? "the pool" : P.Domain;
  std::string Text =
      "the budget of " + Where + " allows " + std::to_string(P.Limit) +
      " absent, and " + std::to_string(P.Count.Planned) + " planned and " +
      std::to_string(P.Count.Unplanned) + " unplanned are absent";
  if (P.Limit == 0)
    return Text + "; raise the budget";
  if (P.Count.Unplanned >= P.Limit)
    return Text + "; bring failed instances back or move others in";
  return Text + "; wait for one to return";
}

} // namespace comfreydeck::core
