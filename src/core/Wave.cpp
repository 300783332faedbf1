#include "core/Wave.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace comfreydeck::core {

namespace {

struct WaveTransition {
  WaveState From;
  WaveCommand Command;
  WaveState To;
};

constexpr std::array WaveTransitions = {
    WaveTransition{WaveState::Running, WaveCommand::Pause, WaveState::Paused},
    WaveTransition{WaveState::Running, WaveCommand::Cancel,
                   WaveState::Cancelled},
    WaveTransition{WaveState::Running, WaveCommand::Finish, WaveState::Done},
    WaveTransition{WaveState::Paused, WaveCommand::Resume, WaveState::Running},
    WaveTransition{WaveState::Paused, WaveCommand::Cancel,
                   WaveState::Cancelled},
};

bool failedIn(const Wave &W, const Instance &I) {
  return I.State == InstanceState::Failed && I.Wave == W.Id &&
         I.SinceUnixMs > W.FailuresAfterUnixMs;
}

bool isWarming(const Wave &W, const Instance &I) {
  return I.State == InstanceState::Warming && I.LastWave == W.Id;
}

bool isActive(const Wave &W, const Instance &I) {
  bool IsOut = I.Wave == W.Id && I.State != InstanceState::Failed;
  return IsOut || isWarming(W, I);
}

bool hasTooManyFailures(const WaveProgress &P) {
  if (P.Failed == 0)
    return false;
  std::uint32_t Allowed = std::max(MinToleratedWaveFailures,
                                   P.Done * ToleratedWaveFailurePercent / 100);
  // A failed canary pauses the wave at once.
  return P.Done == 0 || P.Failed > Allowed;
}

/// The instances still to be drained, in no particular order.
std::vector<const BudgetMember *>
remainingInstances(const Wave &W, std::span<const BudgetMember> Members) {
  std::vector<const BudgetMember *> Remaining;
  for (const BudgetMember &M : Members) {
    bool IsRemaining = M.Item->State == InstanceState::Serving && M.Reachable;
    if (IsRemaining && !isDone(W, *M.Item) && M.Kind != Absence::Planned)
      Remaining.push_back(&M);
  }
  return Remaining;
}

/// Puts the data centre with the most remaining instances first, since it takes
/// longest; within it one rack after another, racks already begun first.
void sortByDomain(std::vector<const BudgetMember *> &Remaining,
                  const AbsenceTable &Table) {
  std::map<std::string_view, std::uint32_t> RemainingInDataCentre;
  std::map<std::string_view, std::uint32_t> RemainingInRack;
  for (const BudgetMember *M : Remaining) {
    ++RemainingInDataCentre[M->Item->DataCentre];
    ++RemainingInRack[M->Item->Rack];
  }
  auto Key = [&](const BudgetMember *M) {
    const Instance &I = *M->Item;
    auto Rack = Table.Racks.find(I.Rack);
    std::uint32_t Size = Rack == Table.Racks.end() ? 0 : Rack->second.Size;
    bool NotBegun = RemainingInRack[I.Rack] >= Size;
    return std::make_tuple(
        -static_cast<std::int64_t>(RemainingInDataCentre[I.DataCentre]),
        std::string_view(I.DataCentre), NotBegun, std::string_view(I.Rack),
        std::string_view(I.Name));
  };
  std::sort(Remaining.begin(), Remaining.end(),
            [&](auto *A, auto *B) { return Key(A) < Key(B); });
}

/// Adds instances of \p Remaining to the step, up to \p Most drains in total
/// and within the budgets.
void addPermittedDrains(std::span<const BudgetMember *const> Remaining,
                        const Pool &Limits, std::size_t Most,
                        AbsenceTable &Table, WaveStep &Step) {
  for (const BudgetMember *M : Remaining) {
    if (Step.Drain.size() >= Most)
      return;
    Permit P = permitDrain(Table, Limits, *M);
    if (P.granted()) {
      Step.Drain.push_back(M->Item->Id);
      addPermit(Table, *M);
      continue;
    }
    Step.Refusal = P;
    if (P.Refused == PermitRefusal::PoolBudget && M->Kind != Absence::Joining)
      return;
  }
}

} // namespace

std::optional<WaveState> next(WaveState From, WaveCommand Command) {
  for (const WaveTransition &T : WaveTransitions)
    if (T.From == From && T.Command == Command)
      return T.To;
  return std::nullopt;
}

bool covers(const Wave &W, const Instance &I, std::string_view PoolName) {
  switch (W.Scope) {
  case WaveScope::All:
    return true;
  case WaveScope::Pool:
    return W.Name == PoolName;
  case WaveScope::Rack:
    return W.Name == I.Rack;
  case WaveScope::DataCentre:
    return W.Name == I.DataCentre;
  }
  return false;
}

bool isDone(const Wave &W, const Instance &I) {
  return I.LastWave.isValid() && I.LastWave >= W.Id;
}

WaveProgress progressOf(const Wave &W, std::span<const BudgetMember> Members) {
  WaveProgress P;
  for (const BudgetMember &M : Members) {
    ++P.Total;
    P.Done += isDone(W, *M.Item) ? 1 : 0;
    P.Active += isActive(W, *M.Item) ? 1 : 0;
    P.Warming += isWarming(W, *M.Item) ? 1 : 0;
    P.Failed += failedIn(W, *M.Item) ? 1 : 0;
  }
  return P;
}

std::optional<std::int64_t> remainingMs(const Wave &W, const WaveProgress &P,
                                        std::int64_t NowUnixMs) {
  if (P.Done == 0)
    return std::nullopt;
  std::int64_t Elapsed = NowUnixMs - W.StartedUnixMs;
  return Elapsed * (P.Total - P.Done) / P.Done;
}

WaveStep stepWave(const Wave &W, const Pool &Limits,
                  std::span<const BudgetMember> Members, AbsenceTable &Table) {
  WaveStep Step;
  WaveProgress P = progressOf(W, Members);
  if (W.State != WaveState::Running) {
    Step.Hold = WaveHold::NotRunning;
    return Step;
  }
  if (hasTooManyFailures(P)) {
    Step.Hold = WaveHold::Failures;
    return Step;
  }
  if (P.isComplete()) {
    Step.Hold = WaveHold::Complete;
    return Step;
  }
  std::uint32_t Served = P.Done - P.Warming;
  bool CanaryOut = Served == 0 && P.Active > 0;
  if (CanaryOut) {
    Step.Hold = WaveHold::Canary;
    return Step;
  }
  std::vector<const BudgetMember *> Remaining = remainingInstances(W, Members);
  sortByDomain(Remaining, Table);
  std::size_t Most = Served == 0 ? 1 : Remaining.size();
  addPermittedDrains(Remaining, Limits, Most, Table, Step);
  if (Step.Drain.empty() && !Remaining.empty())
    Step.Hold = WaveHold::Budget;
  return Step;
}

std::vector<WorkerId> dueForMaintenance(const Pool &Limits,
                                        std::span<const BudgetMember> Members,
                                        AbsenceTable &Table,
                                        std::int64_t IntervalMs,
                                        std::int64_t NowUnixMs) {
  std::vector<const BudgetMember *> Oldest;
  std::int64_t Latest = 0;
  bool IsBusy = false;
  for (const BudgetMember &M : Members) {
    Latest = std::max(Latest, M.Item->MaintainedUnixMs);
    IsBusy = IsBusy || M.Kind == Absence::Planned;
    bool CanGo = M.Item->State == InstanceState::Serving && M.Reachable;
    if (CanGo && M.Kind != Absence::Planned)
      Oldest.push_back(&M);
  }
  std::sort(Oldest.begin(), Oldest.end(), [](auto *A, auto *B) {
    return std::tie(A->Item->MaintainedUnixMs, A->Item->Name) <
           std::tie(B->Item->MaintainedUnixMs, B->Item->Name);
  });
  std::int64_t Pace =
      IntervalMs * 3 / 4 / std::max<std::int64_t>(1, std::ssize(Members));
  std::size_t Due = !IsBusy && NowUnixMs - Latest >= Pace ? 1 : 0;
  for (const BudgetMember *M : Oldest)
    Due += NowUnixMs - M->Item->MaintainedUnixMs >= IntervalMs * 9 / 10 ? 1 : 0;
  WaveStep Step;
  addPermittedDrains(Oldest, Limits, Due, Table, Step);
  return Step.Drain;
}

} // namespace comfreydeck::core
