#include "core/Maintenance.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

BudgetMember &find(std::span<BudgetMember> Members, WorkerId Id) {
  return *std::find_if(Members.begin(), Members.end(),
                       [&](const auto &M) { return M.Item->Id == Id; });
}

bool hasChange(const PoolPlan &Plan, WorkerId Id) {
  return std::any_of(Plan.Changes.begin(), Plan.Changes.end(),
                     [&](const auto &C) { return C.After.Id == Id; });
}

void record(PoolPlan &Plan, const Instance &Before, InstanceEvent Event,
            std::int64_t NowUnixMs) {
  std::optional<Instance> After = afterEvent(Before, Event, NowUnixMs);
  // At most one state transition per instance and transaction.
  if (!After || hasChange(Plan, Before.Id))
    return;
  bool IsOver = Event == InstanceEvent::WarmedUp;
  if (IsOver || Event == InstanceEvent::Moved)
    Plan.Ledger.Permits.erase(Before.Id);
  if (Event == InstanceEvent::DrainPermitted)
    Plan.Ledger.Permits.insert(Before.Id);
  Plan.Changes.push_back({std::move(*After), Event});
}

std::optional<InstanceEvent> eventOf(const PoolInstance &I,
                                     const PoolSnapshot &Snapshot) {
  if (I.Inferred == InferredHealth::Failed &&
      I.Row.State != InstanceState::Failed &&
      I.Row.State != InstanceState::Rebooting)
    return InstanceEvent::Lost;
  return dueEvent(I.Row, I.Seen, Snapshot.Times, Snapshot.NowUnixMs);
}

/// Records the events that follow from the instances' observed state.
void recordEvents(PoolPlan &Plan, const PoolSnapshot &Snapshot) {
  for (const PoolInstance &I : Snapshot.Instances) {
    std::optional<InstanceEvent> Event = eventOf(I, Snapshot);
    if (!Event)
      continue;
    Instance Row = I.Row;
    if (*Event == InstanceEvent::TasksEnded)
      Row.BootId = I.Seen.BootId;
    record(Plan, Row, *Event, Snapshot.NowUnixMs);
  }
}

void recordDrain(PoolPlan &Plan, const PoolSnapshot &Snapshot, Instance Row,
                 WaveId Wave) {
  Row.Wave = Wave;
  Row.RebootWhenEmpty = true;
  record(Plan, Row, InstanceEvent::DrainPermitted, Snapshot.NowUnixMs);
}

std::vector<BudgetMember> coveredBy(const Wave &W, const PoolSnapshot &Snapshot,
                                    std::span<const BudgetMember> Members) {
  std::vector<BudgetMember> Covered;
  for (const BudgetMember &M : Members)
    if (covers(W, *M.Item, Snapshot.Limits.Name))
      Covered.push_back(M);
  return Covered;
}

void planWave(PoolPlan &Plan, const PoolSnapshot &Snapshot, const Wave &W,
              std::vector<BudgetMember> &Members, AbsenceTable &Table) {
  std::vector<BudgetMember> Covered = coveredBy(W, Snapshot, Members);
  WaveStep Step = stepWave(W, Snapshot.Limits, Covered, Table);
  Plan.Waves.push_back({W.Id, progressOf(W, Covered), Step.Hold, Step.Refusal});
  for (WorkerId Id : Step.Drain) {
    BudgetMember &Member = find(Members, Id);
    recordDrain(Plan, Snapshot, *Member.Item, W.Id);
    Member.Kind = Absence::Planned;
  }
}

} // namespace

std::vector<BudgetMember> membersOf(const PoolSnapshot &Snapshot) {
  std::vector<BudgetMember> Members;
  for (const PoolInstance &I : Snapshot.Instances)
    Members.push_back({&I.Row, absenceOf(I.Row, I.isUsable(), Snapshot.Ledger),
                       I.Inferred == InferredHealth::Healthy});
  return Members;
}

PoolPlan planPool(const PoolSnapshot &Snapshot) {
  PoolPlan Plan;
  Plan.Ledger = Snapshot.Ledger;
  recordEvents(Plan, Snapshot);
  // Permits are counted from the rows before this step, so that budget becomes
  // available only after the return to service has been written.
  std::vector<BudgetMember> Members = membersOf(Snapshot);
  AbsenceTable Table = countAbsences(Members);
  for (const Wave &W : Snapshot.Waves)
    planWave(Plan, Snapshot, W, Members, Table);
  std::vector<WorkerId> Due = dueForMaintenance(
      Snapshot.Limits, Members, Table, Snapshot.IntervalMs, Snapshot.NowUnixMs);
  for (WorkerId Id : Due)
    recordDrain(Plan, Snapshot, *find(Members, Id).Item, WaveId());
  return Plan;
}

DrainDecision decideDrain(const PoolSnapshot &Snapshot,
                          const DrainRequest &Request) {
  std::vector<BudgetMember> Members = membersOf(Snapshot);
  AbsenceTable Table = countAbsences(Members);
  const BudgetMember &Member = find(Members, Request.Id);
  DrainDecision Decision;
  Decision.Answer = permitDrain(Table, Snapshot.Limits, Member);
  if (!Decision.Answer.granted())
    return Decision;
  Instance Row = *Member.Item;
  Row.MoveTo = Request.MoveTo;
  Row.RebootWhenEmpty = Request.Reboot;
  Row.Wave = {};
  Decision.Plan.Ledger = Snapshot.Ledger;
  record(Decision.Plan, Row, InstanceEvent::DrainPermitted, Snapshot.NowUnixMs);
  return Decision;
}

PoolPlan planReturn(const PoolSnapshot &Snapshot, WorkerId Id) {
  PoolPlan Plan;
  Plan.Ledger = Snapshot.Ledger;
  for (const PoolInstance &I : Snapshot.Instances)
    if (I.Row.Id == Id)
      record(Plan, I.Row, InstanceEvent::Returned, Snapshot.NowUnixMs);
  return Plan;
}

} // namespace comfreydeck::core
