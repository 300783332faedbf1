#include "core/Maintenance.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

// Runs random histories of owners, operators and workers over a store that
// loses answers and delays writes, and checks the budgets, the single pool of
// each instance, and that no running task is cut off. Each broken variant omits
// one rule and must be caught.

using namespace comfreydeck::core;

namespace {

enum class Broken {
  Nothing,
  /// Transactions are not conditional on the ledger's row.
  NoLedgerCondition,
  /// Transactions are not conditional on the row that names the pool's owner.
  NoOwnerCondition,
  /// A new owner continues with rows read before it took over.
  StaleTakeover,
  /// Only permits count against the budget.
  IgnoreUnplanned,
  /// A drain does not wait for running tasks.
  IgnoreRunning,
  /// A former owner of the pool still sends reboots.
  RebootWithoutLease,
};

struct Tally {
  std::uint32_t BudgetOverruns = 0;
  std::uint32_t InTwoPools = 0;
  /// Instances that the owner considers open to tasks while they are empty,
  /// rebooting or in another pool.
  std::uint32_t OpenWhileOut = 0;
  /// Tasks cut off by a reboot.
  std::uint32_t CutTasks = 0;
  std::uint32_t Permits = 0;
  std::uint32_t Moves = 0;
  std::uint32_t Reboots = 0;
};

template <typename T> struct Versioned {
  T Value;
  std::uint64_t Version = 1;
};

struct PendingCommit {
  PoolId From;
  std::uint64_t OwnerVersion = 0;
  std::map<WorkerId, Versioned<Instance>> Rows;
  std::map<PoolId, Versioned<BudgetLedger>> Ledgers;
};

struct Machine {
  std::uint32_t Running = 0;
  std::uint32_t Boot = 1;
  bool Alive = true;
};

/// The rows as last read by an owner or former owner of a pool.
struct OwnerView {
  std::uint64_t OwnerVersion = 0;
  std::map<WorkerId, Versioned<Instance>> Rows;
  std::map<PoolId, Versioned<BudgetLedger>> Ledgers;
};

class History {
public:
  History(std::uint64_t Seed, Broken Fault) : Random_(Seed), Fault_(Fault) {
    for (std::uint32_t P = 0; P < PoolCount; ++P) {
      Limits_[P].Id.Value = P;
      Limits_[P].Name = "pool" + std::to_string(P);
      Limits_[P].AbsentLimit = 1 + draw(3);
      Limits_[P].AbsentLimitPerDomain = 1 + draw(2);
      Ledgers_[PoolId{P}].Value.Pool.Value = P;
    }
    for (std::uint32_t N = 0; N < InstanceCount; ++N) {
      Instance I;
      I.Id.Value = N;
      I.Name = "w" + std::to_string(N);
      I.Pool.Value = N % PoolCount;
      I.DataCentre = "dc" + std::to_string(N / PoolCount % 3);
      I.Rack = I.DataCentre + "-r" + std::to_string(N % 2);
      Rows_[I.Id].Value = I;
    }
    for (std::uint32_t P = 0; P < PoolCount; ++P)
      Current_[P] = readAs(0);
    Stale_ = readAs(0);
    for (std::uint32_t P = 0; P < PoolCount; ++P)
      takeOver(P);
    W_.Id.Value = 1;
  }

  Tally run(std::uint32_t Steps) {
    for (std::uint32_t N = 0; N < Steps; ++N) {
      NowMs_ += 1000;
      doRandomStep();
      checkOnePool();
    }
    return Tally_;
  }

private:
  static constexpr std::uint32_t PoolCount = 3;
  static constexpr std::uint32_t InstanceCount = 18;

  std::uint32_t draw(std::uint32_t Below) {
    return static_cast<std::uint32_t>(Random_() % Below);
  }

  OwnerView readAs(std::uint64_t OwnerVersion) const {
    return {OwnerVersion, Rows_, Ledgers_};
  }

  void takeOver(std::uint32_t P) {
    FormerOwners_[P] = Current_[P];
    std::uint64_t Version = ++OwnerVersions_[P];
    Current_[P] = readAs(Version);
    if (Fault_ == Broken::StaleTakeover)
      Current_[P].Rows = Stale_.Rows;
  }

  void doRandomStep() {
    std::uint32_t P = draw(PoolCount);
    switch (draw(12)) {
    case 0:
      // The former owner keeps running without a lease.
      return takeOver(P);
    case 1:
      Stale_ = readAs(0);
      return;
    case 2:
      return requestDrainOrReturn(Current_[P], P);
    case 3:
      return requestDrainOrReturn(FormerOwners_[P], P);
    case 4:
      return step(FormerOwners_[P], P, Fault_ == Broken::RebootWithoutLease);
    case 5:
      for (std::uint32_t N = 0; N < 3; ++N)
        Machines_[WorkerId{draw(InstanceCount)}].Alive = draw(3) > 0;
      return;
    case 6:
      return applyLate();
    case 7:
      W_.State = draw(4) == 0 ? WaveState::Paused : WaveState::Running;
      W_.FailuresAfterUnixMs = NowMs_;
      return;
    case 8:
      return work(P);
    default:
      return step(Current_[P], P, true);
    }
  }

  /// Whether tasks may start on the instance according to this owner's view.
  static bool isOpen(const OwnerView &View, std::uint32_t P, WorkerId Id) {
    auto It = View.Rows.find(Id);
    return It != View.Rows.end() && It->second.Value.Pool.Value == P &&
           takesWork(It->second.Value.State);
  }

  void work(std::uint32_t P) {
    for (std::uint32_t N = 0; N < InstanceCount; ++N) {
      Machine &M = Machines_[WorkerId{N}];
      if (isOpen(Current_[P], P, WorkerId{N}) && M.Alive && draw(3) == 0)
        ++M.Running;
      else if (M.Running > 0 && draw(2) == 0)
        --M.Running;
    }
  }

  PoolSnapshot snapshot(const OwnerView &View, std::uint32_t P) {
    PoolSnapshot S;
    S.Limits = Limits_[P];
    S.NowUnixMs = NowMs_;
    S.Times.WarmUpMs = 5000;
    S.Times.RebootLimitMs = 8000;
    S.Ledger = View.Ledgers.at(PoolId{P}).Value;
    if (W_.State == WaveState::Running)
      S.Waves.push_back(W_);
    for (const auto &[Id, Row] : View.Rows) {
      if (Row.Value.Pool.Value != P)
        continue;
      const Machine &M = Machines_[Id];
      PoolInstance I;
      I.Row = Row.Value;
      I.Seen.Heard = M.Alive;
      I.Seen.Running = Fault_ == Broken::IgnoreRunning ? 0 : M.Running;
      I.Seen.BootId = std::to_string(M.Boot);
      I.Inferred = M.Alive ? InferredHealth::Healthy : InferredHealth::Failed;
      if (Fault_ == Broken::IgnoreUnplanned)
        I.Row.State = I.Row.State == InstanceState::Failed
                          ? InstanceState::Serving
                          : I.Row.State;
      S.Instances.push_back(I);
    }
    return S;
  }

  void step(OwnerView &View, std::uint32_t P, bool SendsReboots) {
    for (auto &[Id, Row] : View.Rows)
      if (SendsReboots && Row.Value.Pool.Value == P)
        reboot(Row.Value);
    send(View, P, planPool(snapshot(View, P)));
  }

  void reboot(const Instance &I) {
    Machine &M = Machines_[I.Id];
    bool Expected = I.BootId == std::to_string(M.Boot);
    if (I.State != InstanceState::Rebooting || !Expected || !M.Alive)
      return;
    Tally_.CutTasks += M.Running;
    M.Running = 0;
    ++M.Boot;
    ++Tally_.Reboots;
  }

  void requestDrainOrReturn(OwnerView &View, std::uint32_t P) {
    PoolSnapshot S = snapshot(View, P);
    if (S.Instances.empty())
      return;
    DrainRequest Request;
    Request.Id =
        S.Instances[draw(static_cast<std::uint32_t>(S.Instances.size()))]
            .Row.Id;
    if (draw(3) == 0)
      return send(View, P, planReturn(S, Request.Id));
    if (draw(2) == 0)
      Request.MoveTo.Value = (P + 1) % PoolCount;
    Request.Reboot = true;
    send(View, P, decideDrain(S, Request).Plan);
  }

  void send(OwnerView &View, std::uint32_t P, const PoolPlan &Plan) {
    if (Plan.Changes.empty())
      return;
    PendingCommit T;
    T.From.Value = P;
    T.OwnerVersion = View.OwnerVersion;
    for (const InstanceChange &C : Plan.Changes) {
      T.Rows[C.After.Id] = {C.After, View.Rows.at(C.After.Id).Version};
      // The transaction also covers the ledger of the pool that it joins.
      if (C.After.Pool.Value != P)
        T.Ledgers[C.After.Pool] = View.Ledgers.at(C.After.Pool);
    }
    T.Ledgers[PoolId{P}] = {Plan.Ledger, View.Ledgers.at(PoolId{P}).Version};
    switch (draw(8)) {
    case 0:
      // The answer is lost after the write.
      commit(T);
      break;
    case 1:
      // The write is applied late or never.
      Late_.push_back(T);
      break;
    default:
      commit(T);
    }
    // The owner reads the rows again after any outcome; a former owner may
    // continue with rows that it read long ago.
    if (&View == &Current_[P] || draw(2) == 0)
      View = readAs(View.OwnerVersion);
  }

  void applyLate() {
    if (Late_.empty())
      return;
    if (draw(2) == 0)
      commit(Late_.front());
    Late_.pop_front();
  }

  bool conditionsHold(const PendingCommit &T) const {
    for (const auto &[Id, Row] : T.Rows)
      if (Rows_.at(Id).Version != Row.Version)
        return false;
    bool IsOwner = OwnerVersions_.at(T.From.Value) == T.OwnerVersion;
    if (!IsOwner && Fault_ != Broken::NoOwnerCondition)
      return false;
    if (Fault_ == Broken::NoLedgerCondition)
      return true;
    return std::all_of(
        T.Ledgers.begin(), T.Ledgers.end(), [&](const auto &Item) {
          return Ledgers_.at(Item.first).Version == Item.second.Version;
        });
  }

  void commit(const PendingCommit &T) {
    if (!conditionsHold(T))
      return;
    std::vector<WorkerId> NewlyDraining;
    for (const auto &[Id, Row] : T.Rows) {
      bool New = Row.Value.State == InstanceState::Draining &&
                 Rows_[Id].Value.State == InstanceState::Serving;
      if (New)
        NewlyDraining.push_back(Id);
      Tally_.Permits += New ? 1 : 0;
      Tally_.Moves += Row.Value.Pool != Rows_[Id].Value.Pool ? 1 : 0;
      Rows_[Id] = {Row.Value, Rows_[Id].Version + 1};
    }
    for (const auto &[Id, Ledger] : T.Ledgers)
      Ledgers_[Id] = {Ledger.Value, Ledgers_[Id].Version + 1};
    for (WorkerId Id : NewlyDraining)
      checkBudget(Rows_[Id].Value);
  }

  /// Checks the budgets of the pool of \p Drained by a naive count of the rows.
  void checkBudget(const Instance &Drained) {
    std::uint32_t InPool = 0;
    std::uint32_t InDataCentre = 0;
    std::uint32_t InRack = 0;
    for (const auto &[Worker, Row] : Rows_) {
      const Instance &I = Row.Value;
      bool IsAbsent = !I.Joining && I.State != InstanceState::Serving;
      if (I.Pool != Drained.Pool || !IsAbsent)
        continue;
      ++InPool;
      InDataCentre += I.DataCentre == Drained.DataCentre ? 1 : 0;
      InRack += I.Rack == Drained.Rack ? 1 : 0;
    }
    const Pool &Limits = Limits_[Drained.Pool.Value];
    bool Over = InPool > Limits.AbsentLimit ||
                InDataCentre > Limits.AbsentLimitPerDomain ||
                InRack > Limits.AbsentLimitPerDomain;
    Tally_.BudgetOverruns += Over ? 1 : 0;
  }

  void checkOnePool() {
    for (std::uint32_t N = 0; N < InstanceCount; ++N) {
      std::uint32_t Open = 0;
      const Instance &I = Rows_[WorkerId{N}].Value;
      for (std::uint32_t P = 0; P < PoolCount; ++P) {
        if (!isOpen(Current_[P], P, WorkerId{N}))
          continue;
        ++Open;
        bool IsOut = I.Pool.Value != P || I.State == InstanceState::Empty ||
                     I.State == InstanceState::Rebooting;
        Tally_.OpenWhileOut += IsOut ? 1 : 0;
      }
      Tally_.InTwoPools += Open > 1 ? 1 : 0;
    }
  }

  Rng Random_;
  Broken Fault_;
  Tally Tally_;
  std::int64_t NowMs_ = 1000000;
  Pool Limits_[PoolCount];
  Wave W_;
  std::map<WorkerId, Versioned<Instance>> Rows_;
  std::map<PoolId, Versioned<BudgetLedger>> Ledgers_;
  std::map<WorkerId, Machine> Machines_;
  std::map<std::uint32_t, OwnerView> Current_;
  std::map<std::uint32_t, OwnerView> FormerOwners_;
  OwnerView Stale_;
  std::map<std::uint32_t, std::uint64_t> OwnerVersions_ = {
      {0, 0}, {1, 0}, {2, 0}};
  std::deque<PendingCommit> Late_;
};

constexpr std::uint64_t FirstSeed = 1;

Tally runAll(std::uint32_t Histories, std::uint32_t Steps, Broken Fault) {
  Tally Sum;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Histories; ++Seed) {
    Tally T = History(Seed, Fault).run(Steps);
    Sum.BudgetOverruns += T.BudgetOverruns;
    Sum.InTwoPools += T.InTwoPools;
    Sum.OpenWhileOut += T.OpenWhileOut;
    Sum.CutTasks += T.CutTasks;
    Sum.Permits += T.Permits;
    Sum.Moves += T.Moves;
    Sum.Reboots += T.Reboots;
  }
  return Sum;
}

} // namespace

TEST_CASE("no budget overrun, no instance in two pools, no task cut off") {
  constexpr std::uint32_t Histories = 300;
  Tally T = runAll(Histories, 400, Broken::Nothing);
  MESSAGE(Histories << " histories from seed " << FirstSeed << ": " << T.Permits
                    << " permits, " << T.Moves << " moves, " << T.Reboots
                    << " reboots");
  CHECK(T.BudgetOverruns == 0);
  CHECK(T.InTwoPools == 0);
  CHECK(T.OpenWhileOut == 0);
  CHECK(T.CutTasks == 0);
  CHECK(T.Permits > Histories);
  CHECK(T.Moves > Histories);
  CHECK(T.Reboots > Histories);
}

TEST_CASE("each omitted rule is detected") {
  constexpr std::uint32_t Histories = 300;
  CHECK(runAll(Histories, 400, Broken::NoLedgerCondition).BudgetOverruns > 0);
  CHECK(runAll(Histories, 400, Broken::IgnoreUnplanned).BudgetOverruns > 0);
  CHECK(runAll(Histories, 400, Broken::NoOwnerCondition).OpenWhileOut > 0);
  CHECK(runAll(Histories, 400, Broken::StaleTakeover).InTwoPools > 0);
  CHECK(runAll(Histories, 400, Broken::IgnoreRunning).CutTasks > 0);
  CHECK(runAll(10 * Histories, 400, Broken::RebootWithoutLease).CutTasks > 0);
}
