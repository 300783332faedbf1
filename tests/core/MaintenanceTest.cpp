#include "core/Maintenance.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace comfreydeck::core;

namespace {

constexpr std::int64_t Now = 1000000;

PoolSnapshot sample() {
  PoolSnapshot S;
  S.Limits.Id.Value = 1;
  S.Limits.Name = "signing";
  S.NowUnixMs = Now;
  S.Ledger.Pool = S.Limits.Id;
  for (std::uint32_t N = 0; N < 4; ++N) {
    PoolInstance I;
    I.Row.Id.Value = N;
    I.Row.Pool = S.Limits.Id;
    I.Row.Rack = "r" + std::to_string(N);
    I.Row.DataCentre = "dc" + std::to_string(N % 2);
    I.Row.MaintainedUnixMs = Now;
    I.Seen = {true, 0, "b1"};
    S.Instances.push_back(I);
  }
  return S;
}

/// The snapshot after the plan has been written.
PoolSnapshot written(PoolSnapshot S, const PoolPlan &Plan) {
  S.Ledger = Plan.Ledger;
  for (const InstanceChange &C : Plan.Changes)
    for (PoolInstance &I : S.Instances)
      if (I.Row.Id == C.After.Id)
        I.Row = C.After;
  return S;
}

} // namespace

TEST_CASE("a drained instance keeps its permit until it serves") {
  PoolSnapshot S = sample();
  DrainDecision D = decideDrain(S, {WorkerId{1}, PoolId(), true});
  REQUIRE(D.Answer.granted());
  S = written(S, D.Plan);
  const InstanceState Way[] = {InstanceState::Empty, InstanceState::Rebooting,
                               InstanceState::Warming, InstanceState::Serving};
  for (InstanceState To : Way) {
    CHECK(S.Ledger.Permits.contains(WorkerId{1}));
    CHECK(!decideDrain(S, {WorkerId{2}, PoolId(), true}).Answer.granted());
    bool Rebooted = S.Instances[1].Row.State == InstanceState::Rebooting;
    S.Instances[1].Seen.BootId = Rebooted ? "b2" : S.Instances[1].Seen.BootId;
    S.NowUnixMs += S.Times.WarmUpMs;
    S = written(S, planPool(S));
    CHECK(S.Instances[1].Row.State == To);
  }
  CHECK(S.Ledger.Permits.empty());
}

TEST_CASE("a move releases the permit") {
  PoolSnapshot S = sample();
  DrainDecision D = decideDrain(S, {WorkerId{1}, PoolId{2}, false});
  S = written(S, D.Plan);
  S = written(S, planPool(S));
  CHECK(S.Instances[1].Row.State == InstanceState::Empty);
  PoolPlan Plan = planPool(S);
  REQUIRE(Plan.Changes.size() == 1);
  CHECK(Plan.Changes[0].Event == InstanceEvent::Moved);
  CHECK(Plan.Changes[0].After.Pool == PoolId{2});
  CHECK(Plan.Ledger.Permits.empty());
}

TEST_CASE("returning an instance to service clears its planned move") {
  PoolSnapshot S = sample();
  CHECK(planReturn(S, WorkerId{1}).Changes.empty());
  S = written(S, decideDrain(S, {WorkerId{1}, PoolId{2}, true}).Plan);
  S = written(S, planReturn(S, WorkerId{1}));
  CHECK(S.Instances[1].Row.State == InstanceState::Warming);
  CHECK(!S.Instances[1].Row.MoveTo.isValid());
  S.NowUnixMs += S.Times.WarmUpMs;
  S = written(S, planPool(S));
  CHECK(S.Instances[1].Row.State == InstanceState::Serving);
  CHECK(S.Ledger.Permits.empty());
}

TEST_CASE("an instance inferred as failed is failed once and recovers") {
  PoolSnapshot S = sample();
  S.Instances[1].Inferred = InferredHealth::Failed;
  S.Instances[1].Seen.Heard = false;
  S = written(S, planPool(S));
  CHECK(S.Instances[1].Row.State == InstanceState::Failed);
  CHECK(planPool(S).Changes.empty());
  CHECK(!decideDrain(S, {WorkerId{2}, PoolId(), true}).Answer.granted());
  S.Instances[1].Inferred = InferredHealth::Healthy;
  S.Instances[1].Seen.Heard = true;
  S = written(S, planPool(S));
  CHECK(S.Instances[1].Row.State == InstanceState::Warming);
}

TEST_CASE("two waves over one pool share its budget") {
  PoolSnapshot S = sample();
  S.Limits.AbsentLimit = 2;
  for (std::uint32_t N : {1U, 2U}) {
    Wave W;
    W.Id.Value = N;
    W.Scope = N == 1 ? WaveScope::All : WaveScope::DataCentre;
    W.Name = "dc1";
    S.Waves.push_back(W);
  }
  PoolPlan Plan = planPool(S);
  CHECK(Plan.Changes.size() == 2);
  CHECK(Plan.Ledger.Permits.size() == 2);
  CHECK(Plan.Changes[0].After.Id != Plan.Changes[1].After.Id);
  CHECK(Plan.Changes[0].After.DataCentre != Plan.Changes[1].After.DataCentre);
}

TEST_CASE("a data centre that is out counts against the budget") {
  PoolSnapshot S = sample();
  S.Limits.AbsentLimit = 2;
  S.Limits.AbsentLimitPerDomain = 2;
  CHECK(decideDrain(S, {WorkerId{1}, PoolId(), true}).Answer.granted());
  for (PoolInstance &I : S.Instances)
    I.DataCentreIn = I.Row.DataCentre != "dc0";
  CHECK(!decideDrain(S, {WorkerId{1}, PoolId(), true}).Answer.granted());
}
