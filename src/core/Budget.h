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

/// Whether an instance counts against its pool's budget.
enum class Absence : std::uint8_t {
  /// It serves.
  None,
  /// It was let go by a permit and does not serve yet again.
  Planned,
  /// It is gone, silent, or in a data centre that is out.
  Unplanned,
  /// It has just joined the pool, which never counted on it.
  Joining,
};

/// The pool's row of the table of budgets: every permit that is in use. Each
/// change of an instance of the pool conditions on this row and rewrites it,
/// so that two permits can't be given from the same count.
struct BudgetLedger {
  PoolId Pool;
  std::set<WorkerId> Permits;
};

/// Whether \p I is absent. \p Usable says that its owner hears it and that its
/// data centre is in. Thread-safe.
Absence absenceOf(const Instance &I, bool Usable, const BudgetLedger &Ledger);

/// An instance of the pool and how it counts.
struct BudgetMember {
  const Instance *Item = nullptr;
  Absence Kind = Absence::None;
  /// Whether it answers, so that a drain of it can come to an end.
  bool Reachable = true;
};

struct AbsenceCount {
  std::uint32_t Size = 0;
  std::uint32_t Planned = 0;
  std::uint32_t Unplanned = 0;

  std::uint32_t absent() const { return Planned + Unplanned; }
};

/// The absences of one pool, in all and for each failure domain.
struct AbsenceTable {
  AbsenceCount Pool;
  std::map<std::string, AbsenceCount, std::less<>> Racks;
  std::map<std::string, AbsenceCount, std::less<>> DataCentres;
};

/// Counts the members. Thread-safe.
AbsenceTable countAbsences(std::span<const BudgetMember> Members);

/// Why a permit is refused.
enum class PermitRefusal : std::uint8_t {
  None,
  /// It drains already, or does not serve.
  NotServing,
  PoolBudget,
  DataCentreBudget,
  RackBudget,
};

/// The answer to the wish to drain one instance.
struct Permit {
  PermitRefusal Refused = PermitRefusal::None;
  /// The domain whose budget refuses; the pool where it is empty.
  std::string Domain;
  /// What stands against the budget, and the budget.
  AbsenceCount Count;
  std::uint32_t Limit = 0;

  bool granted() const { return Refused == PermitRefusal::None; }
};

/// Whether one more of the pool may be absent. An instance whose row says that
/// it is away already is drained at no cost. Thread-safe.
Permit permitDrain(const AbsenceTable &Table, const Pool &Limits,
                   const BudgetMember &Member);

/// Counts a permit that was just given to \p Member.
void addPermit(AbsenceTable &Table, const BudgetMember &Member);

/// The refusal in words, and what would help. Thread-safe.
std::string describe(const Permit &P);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_BUDGET_H
