#include "core/ServingLease.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;
using namespace std::chrono_literals;

namespace {

constexpr Incarnation Self{1};
constexpr Incarnation Other{2};

TimePoint at(Duration D) { return TimePoint(100s + D); }

ServingLease registered() {
  ServingLease L;
  L.Self = Self;
  onRegistered(L, at(0s));
  onReading(L, {at(0s), {0}, {{Self, {}, false}, {Other, {}, false}}}, at(0s));
  return L;
}

ProofReply granted() {
  ProofReply Reply;
  Reply.Granted = true;
  Reply.NeedsProof = true;
  return Reply;
}

} // namespace

TEST_CASE("a wait is extended by the drift of the slowest clock") {
  LeaseBounds B;
  B.DriftPpm = 0;
  CHECK(driftSafeWait(2s, B) == 2s);
  B.DriftPpm = 200000;
  CHECK(driftSafeWait(2s, B) == 3s);
  CHECK(driftSafeWait(1us, B) == 2us);
}

TEST_CASE("a lease counts from when a reading or a proof was requested") {
  ServingLease L = registered();
  CHECK(currentUntil(L) == at(2s));
  onProof(L, Other, at(1s), granted(), at(5s));
  CHECK(currentUntil(L) == at(3s));
}

TEST_CASE("proofs extend a lease until the store grace ends") {
  ServingLease L = registered();
  TimePoint Late = at(15min - 1s);
  onProof(L, Other, Late, granted(), Late);
  CHECK(currentUntil(L) == at(15min));
}

TEST_CASE("a known version that is not applied ends a lease") {
  ServingLease L = registered();
  ProofReply Refusal;
  Refusal.Version.Value = 3;
  onProof(L, Other, at(1s), Refusal, at(1s));
  CHECK(currentUntil(L) == TimePoint());
  onApplied(L, {3}, at(1s));
  CHECK(currentUntil(L) == at(2s));
}

TEST_CASE("a fence ends a lease permanently") {
  ServingLease L = registered();
  onReading(L, {at(1s), {0}, {{Self, {}, true}, {Other, {}, false}}}, at(1s));
  onReading(L, {at(2s), {0}, {{Self, {}, false}, {Other, {}, false}}}, at(2s));
  CHECK(currentUntil(L) == TimePoint());
}

TEST_CASE("a missing session row ends a lease permanently") {
  ServingLease L = registered();
  onReading(L, {at(1s), {0}, {{Other, {}, false}}}, at(1s));
  CHECK(L.Fenced);
}

TEST_CASE("proofs are withheld until a version is acknowledged") {
  ServingLease L = registered();
  onApplied(L, {1}, at(0s));
  ProofRequest Request{Other, {{0}, {}}, at(0s), at(0s), true};
  CHECK_FALSE(answerProof(L, Request, false, at(1s)).Granted);
  Request.Progress.Version.Value = 1;
  CHECK(answerProof(L, Request, false, at(1s)).Granted);
}

TEST_CASE("a version is in force at a peer that acknowledged or timed out") {
  ServingLease L = registered();
  L.Peers[0].NeedsOwnProof = true;
  onApplied(L, {1}, at(1s));
  onReading(L, {at(2s), {1}, {{Self, {}, false}, {Other, {}, false}}}, at(2s));
  CHECK(countInForce(L, {1}, at(2s)).InForce == 1);
  CHECK(countInForce(L, {1}, at(3s)).InForce == 1);
  CHECK(countInForce(L, {1}, at(3010ms)).everywhere());
  onAcknowledged(L, Other, {{1}, {}});
  CHECK(countInForce(L, {1}, at(2s)).everywhere());
}

TEST_CASE("a fence waits out the store grace for a peer that needs no proofs") {
  ServingLease L = registered();
  onFenceCommitted(L, Other, at(1s));
  CHECK_FALSE(fenceInEffect(L, Other, at(10min)));
  CHECK(fenceInEffect(L, Other, at(16min)));
}

TEST_CASE("an unknown requester and a removed one get no proof") {
  ServingLease L = registered();
  ProofRequest Request{{3}, {}, at(0s), at(0s), true};
  CHECK_FALSE(answerProof(L, Request, false, at(0s)).Granted);
  onReading(L, {at(1s), {0}, {{Self, {}, false}}}, at(1s));
  Request.From = Other;
  CHECK_FALSE(answerProof(L, Request, false, at(1s)).Granted);
  onProof(L, Other, at(1s), granted(), at(1s));
  CHECK(findPeer(L, Other)->Gone);
}
