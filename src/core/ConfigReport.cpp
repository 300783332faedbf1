#include "core/ConfigReport.h"

#include <algorithm>
#include <set>

namespace comfreydeck::core {

namespace {

std::uint32_t slotsOf(std::span<const PoolSize> Sizes, PoolId Pool) {
  for (const PoolSize &S : Sizes)
    if (S.Pool == Pool)
      return S.Slots;
  return 0;
}

bool isSame(const PoolEntitlement &A, const PoolEntitlement &B) {
  auto SameTeam = [](const TeamEntitlement &X, const TeamEntitlement &Y) {
    return X.Team == Y.Team && X.Share == Y.Share &&
           X.UpperLimit == Y.UpperLimit && X.Slots == Y.Slots;
  };
  return A.Pool == B.Pool && A.AbsentLimit == B.AbsentLimit &&
         A.AbsentLimitPerDomain == B.AbsentLimitPerDomain &&
         std::equal(A.Teams.begin(), A.Teams.end(), B.Teams.begin(),
                    B.Teams.end(), SameTeam);
}

PoolEntitlement entitlementOrEmpty(const Configuration &C, PoolId Pool,
                                   std::span<const PoolSize> Sizes) {
  return findPool(C, Pool) ? entitlementIn(C, Pool, Sizes) : PoolEntitlement();
}

std::set<PoolId> poolsOf(const Configuration &Before,
                         const Configuration &After) {
  std::set<PoolId> Pools;
  for (const Pool &P : Before.Pools)
    Pools.insert(P.Id);
  for (const Pool &P : After.Pools)
    Pools.insert(P.Id);
  return Pools;
}

ArgumentLine lineOf(const Customer &Of, const Parameter &P) {
  ArgumentLine Line;
  Line.Parameter = P.Name;
  Line.Help = P.Help;
  if (P.Default)
    Line.Default = textOf(*P.Default);
  const Argument *Given = findArgument(Of, P.Name);
  Line.Value = Given ? textOf(Given->Value) : Line.Default;
  Line.IsDefault = P.Default && (!Given || Given->Value == *P.Default);
  return Line;
}

TeamLine lineOf(const Configuration &C, const Team &T) {
  auto Keys = std::count_if(C.Keys.begin(), C.Keys.end(),
                            [&](const Key &K) { return K.Owner == T.Id; });
  return {T.Name, T.Share, T.UpperLimit, T.TakesKeys,
          static_cast<std::uint32_t>(Keys)};
}

QueueLine lineOf(const Configuration &C, const Queue &Q) {
  QueueLine Line{Q.Name, {}, Q.Open, Q.IdempotentByDefault, {}};
  if (const Pool *P = findPool(C, Q.ServedBy))
    Line.Pool = P->Name;
  for (TeamId Id : Q.AllowedTeams)
    if (const Team *T = findTeam(C, Id))
      Line.Teams.push_back(T->Name);
  return Line;
}

/// Removes the teams that are not in \p Teams.
void keepTeams(PoolEntitlement &Entitlement, std::span<const TeamLine> Teams) {
  std::erase_if(Entitlement.Teams, [&](const TeamEntitlement &T) {
    return std::none_of(Teams.begin(), Teams.end(), [&](const TeamLine &Line) {
      return Line.Name == T.Team;
    });
  });
}

} // namespace

PoolEntitlement entitlementIn(const Configuration &C, PoolId Pool,
                              std::span<const PoolSize> Sizes) {
  const core::Pool &P = *findPool(C, Pool);
  PoolEntitlement Entitlement{
      P.Name, slotsOf(Sizes, Pool), P.AbsentLimit, P.AbsentLimitPerDomain, {}};
  std::vector<TeamShare> Shares = sharesOf(C, Pool);
  std::vector<double> Slots = entitledSlots(Shares, Entitlement.Slots);
  for (std::size_t I = 0; I < Shares.size(); ++I)
    Entitlement.Teams.push_back({findTeam(C, Shares[I].Team)->Name,
                                 Shares[I].Share, Shares[I].UpperLimit,
                                 Slots[I]});
  return Entitlement;
}

ChangeReport reportChange(const Configuration &Before,
                          const Configuration &After,
                          std::span<const PoolSize> Sizes) {
  ChangeReport Report;
  Report.Items = effectOf(Before, After);
  std::set<std::string> Customers;
  for (const ItemEffect &E : Report.Items)
    if (!E.Customer.empty())
      Customers.insert(E.Customer);
  Report.Customers.assign(Customers.begin(), Customers.end());
  for (PoolId Id : poolsOf(Before, After)) {
    PoolEffect Effect{entitlementOrEmpty(Before, Id, Sizes),
                      entitlementOrEmpty(After, Id, Sizes)};
    if (!isSame(Effect.Before, Effect.After))
      Report.Pools.push_back(std::move(Effect));
  }
  return Report;
}

CustomerReport reportCustomer(const Configuration &C, const Customer &Of,
                              std::span<const PoolSize> Sizes) {
  const Template &From = *findTemplate(C, Of.MadeFrom);
  CustomerReport Report{Of.Name, From.Name, From.Help, {}, {}, {}, {}};
  for (const Parameter &P : From.Parameters)
    Report.Arguments.push_back(lineOf(Of, P));
  for (const Team &T : C.Teams)
    if (T.CreatedFor == Of.Id)
      Report.Teams.push_back(lineOf(C, T));
  std::set<PoolId> Pools;
  for (const Queue &Q : C.Queues) {
    if (Q.CreatedFor != Of.Id)
      continue;
    Report.Queues.push_back(lineOf(C, Q));
    Pools.insert(Q.ServedBy);
  }
  for (PoolId Id : Pools) {
    Report.Pools.push_back(entitlementIn(C, Id, Sizes));
    keepTeams(Report.Pools.back(), Report.Teams);
  }
  return Report;
}

} // namespace comfreydeck::core
