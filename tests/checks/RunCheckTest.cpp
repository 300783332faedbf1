#include "standins/RunCheck.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace comfreydeck::standins;

namespace {

/// A run without a breach; each test case adds one.
Records goodRun() {
  Records R;
  R.DataCentres = {{"w1", "dc1"}, {"w2", "dc2"}};
  R.Operators.push_back({"limit", "beach", 2, 0, 0});
  R.Workers.push_back({true, 100, "w1", "t1", "beach", "a"});
  R.Workers.push_back({false, 120, "w1", "t1", "beach", "a"});
  R.Callers.push_back({"a", "beach", "ran", true, true, 1, 90, 125});
  return R;
}

void runTwice(Records &R) {
  R.Workers.push_back({true, 130, "w2", "t2", "beach", "a"});
}

void reportNotRun(Records &R) { R.Callers.back().Verdict = "not-run"; }

void reportFirstNotRun(Records &R) {
  R.Callers.back().Verdict = "not-run";
  R.Callers.push_back({"a", "beach", "ran", true, true, 2, 130, 140});
}

void overLimit(Records &R) {
  for (const char *Task : {"t2", "t3", "t4"})
    R.Workers.push_back({true, 200, "w1", Task, "beach", Task});
}

void overLoweredLimit(Records &R) {
  R.Operators.push_back({"limit", "beach", 1, 130, 140});
  for (const char *Task : {"t2", "t3"})
    R.Workers.push_back({true, 200, "w1", Task, "beach", Task});
}

void startWhileOut(Records &R) {
  R.Operators.push_back({"datacentre-out", "dc2", 0, 130, 140});
  R.Workers.push_back({true, 200, "w2", "t2", "beach", "b"});
}

void startForWithdrawnKey(Records &R) {
  R.Operators.push_back({"key-withdrawn", "beach", 0, 30, 40});
}

void swapAnswer(Records &R) { R.Callers.back().Whole = false; }

struct Breach {
  const char *Name;
  void (*Break)(Records &);
  std::uint64_t Counts::*Counted;
};

constexpr Breach Breaches[] = {
    {"a non-idempotent request runs twice", runTwice, &Counts::DoubledRuns},
    {"a run is reported as not run", reportNotRun, &Counts::FalseNotRun},
    {"a run is reported as not run before a later call", reportFirstNotRun,
     &Counts::FalseNotRun},
    {"a team is over its limit", overLimit, &Counts::StartsOverLimit},
    {"a lowered limit is exceeded", overLoweredLimit, &Counts::StartsOverLimit},
    {"a start in a data centre that is out", startWhileOut,
     &Counts::StartsWhileOut},
    {"a start for a withdrawn key", startForWithdrawnKey,
     &Counts::StartsForWithdrawnKey},
    {"an answer of another request", swapAnswer, &Counts::SwappedAnswers},
};

/// Records that resemble a breach but are allowed.
struct Allowed {
  const char *Name;
  void (*Add)(Records &);
};

void raiseLimitFirst(Records &R) {
  R.Operators.push_back({"limit", "beach", 9, 130, Never});
  overLimit(R);
}

void startBeforeOutIsInForce(Records &R) {
  R.Operators.push_back({"datacentre-out", "dc2", 0, 130, 300});
  R.Workers.push_back({true, 200, "w2", "t2", "beach", "b"});
}

void startAfterReturn(Records &R) {
  R.Operators.push_back({"datacentre-out", "dc2", 0, 130, 140});
  R.Operators.push_back({"datacentre-in", "dc2", 0, 150, Never});
  R.Workers.push_back({true, 200, "w2", "t2", "beach", "b"});
}

void retryAfterNotRun(Records &R) {
  R.Callers.back() = {"a", "beach", "not-run", true, true, 1, 50, 60};
  R.Callers.push_back({"a", "beach", "ran", true, true, 2, 90, 125});
}

constexpr Allowed AllowedCases[] = {
    {"nothing", [](Records &) {}},
    {"a limit that was raised first", raiseLimitFirst},
    {"a start before the data centre is out", startBeforeOutIsInForce},
    {"a start after the data centre is back", startAfterReturn},
    {"a second call after a correct not-run", retryAfterNotRun},
};

} // namespace

TEST_CASE("each kind of breach is counted") {
  for (const Breach &Case : Breaches) {
    CAPTURE(Case.Name);
    Records R = goodRun();
    Case.Break(R);
    Counts C = countViolations(R);
    CHECK(C.*Case.Counted == 1);
    CHECK_FALSE(hasNoViolations(C));
  }
}

TEST_CASE("records that are allowed are not counted as breaches") {
  for (const Allowed &Case : AllowedCases) {
    CAPTURE(Case.Name);
    Records R = goodRun();
    Case.Add(R);
    CHECK(hasNoViolations(countViolations(R)));
  }
}

TEST_CASE("logs in the written format are read") {
  Records R;
  std::istringstream Workers(
      R"({"at_ms":1,"event":"start","worker":"w1","task":"t","team":"beach","body":"a"})"
      "\n");
  std::istringstream Callers(
      R"({"body":"a","label":"k","verdict":"ran","non_idempotent":true,"whole":true,"call":1,"sent_ms":0,"answered_ms":2})"
      "\n");
  std::istringstream Operators(
      R"({"event":"limit","name":"beach","value":0,"asked_ms":0,"in_force_ms":0})"
      "\n");
  std::istringstream Instances(
      R"({"instances":[{"name":"w1","datacentre":"dc1"}]})");
  readWorkerLog(Workers, R);
  readCallerLog(Callers, R);
  readOperatorLog(Operators, R);
  readInstances(Instances, R);
  Counts C = countViolations(R);
  CHECK(C.Starts == 1);
  CHECK(C.Ran == 1);
  CHECK(C.StartsOverLimit == 1);
  CHECK(R.DataCentres.at("w1") == "dc1");
}
