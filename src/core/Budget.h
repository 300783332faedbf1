#ifndef COMFREYDECK_CORE_BUDGET_H
#define COMFREYDECK_CORE_BUDGET_H

#include "core/Configuration.h"
#include "core/Instance.h"

#include <map>
#include <set>
#include <span>

/// Availability budgets: how many instances of a pool, and of each rack and
/// data centre in it, may be absent at once.
namespace comfreydeck::core {

/// How an instance counts against the budget of its pool.
enum class Absence : std::uint8_t {
  /// Serving.
  None,
  /// Drained by a permit and not serving again yet.
  Planned,
  /// Failed, silent, or in a data centre that is out of service.
  Unplanned,
  /// Has not served in this pool yet, so it is not part of the pool's capacity.
  Joining,
};

/// The pool's row in the budget table: every permit in use. Each change to an
/// instance of the pool is conditional on this row and rewrites it, so that two
/// permits are never granted from the same count.
struct BudgetLedger {
  PoolId Pool;
  std::set<WorkerId> Permits;
};

/// Classifies \p I. \p Usable: the pool's owner receives answers from it and
/// its data centre is in service. Thread-safe.
Absence absenceOf(const Instance &I, bool Usable, const BudgetLedger &Ledger);

/// An instance of the pool and its absence.
struct BudgetMember {
  const Instance *Item = nullptr;
  Absence Kind = Absence::None;
  /// Whether it answers; a drain of an instance that doesn't can't complete.
  bool Reachable = true;
};

struct AbsenceCount {
  std::uint32_t Size = 0;
  std::uint32_t Planned = 0;
  std::uint32_t Unplanned = 0;

  std::uint32_t absent() const { return Planned + Unplanned; }
};

/// The absences of one pool, in total and per failure domain.
struct AbsenceTable {
  AbsenceCount Pool;
  std::map<std::string, AbsenceCount, std::less<>> Racks;
  std::map<std::string, AbsenceCount, std::less<>> DataCentres;
};

/// Counts the members. Thread-safe.
AbsenceTable countAbsences(std::span<const BudgetMember> Members);

/// Reason why a permit is refused.
enum class PermitRefusal : std::uint8_t {
  None,
  /// The instance is already draining, or is not serving.
  NotServing,
  PoolBudget,
  DataCentreBudget,
  RackBudget,
};

/// Result of a request to drain one instance.
struct Permit {
  PermitRefusal Refused = PermitRefusal::None;
  /// The failure domain whose budget is exhausted; empty for the pool's budget.
  std::string Domain;
  /// The absences counted against the budget, and the budget itself.
  AbsenceCount Count;
  std::uint32_t Limit = 0;

  bool granted() const { return Refused == PermitRefusal::None; }
};

/// Whether \p Member may be drained within the budgets. An instance whose row
/// already has it out of service uses up no budget. Thread-safe.
Permit permitDrain(const AbsenceTable &Table, const Pool &Limits,
                   const BudgetMember &Member);

/// Adds a permit just granted to \p Member to the counts.
void addPermit(AbsenceTable &Table, const BudgetMember &Member);

/// The result as text for the operator, with a remedy for a refusal.
/// Thread-safe.
std::string describe(const Permit &P);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_BUDGET_H
