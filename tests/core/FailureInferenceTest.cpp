#include "core/FailureInference.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace comfreydeck::core;
using std::chrono::seconds;

TEST_CASE("the health of one instance follows from its signals") {
  struct Case {
    const char *What;
    InstanceSignals Signals;
    InferredHealth Expected;
  };
  const Case Cases[] = {
      {"live and answering",
       {WorkerId{1}, ListedStatus::Live, seconds(0), seconds(1)},
       InferredHealth::Healthy},
      {"missing for long but answering",
       {WorkerId{1}, ListedStatus::Missing, seconds(9000), seconds(1)},
       InferredHealth::Healthy},
      {"silent for a moment",
       {WorkerId{1}, ListedStatus::Live, seconds(9000), seconds(4)},
       InferredHealth::Suspect},
      {"silent, missing just now",
       {WorkerId{1}, ListedStatus::Missing, seconds(2), seconds(60)},
       InferredHealth::Suspect},
      {"silent and missing",
       {WorkerId{1}, ListedStatus::Missing, seconds(30), seconds(30)},
       InferredHealth::Failed},
      {"silent for minutes, the list lags",
       {WorkerId{1}, ListedStatus::Live, seconds(9000), seconds(300)},
       InferredHealth::Failed},
      {"leaving",
       {WorkerId{1}, ListedStatus::Leaving, seconds(0), seconds(1)},
       InferredHealth::Leaving},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.What);
    CHECK(inferPool({&C.Signals, 1}, {}).front() == C.Expected);
  }
}

TEST_CASE("wrong signals fail no more than the capped part of a pool") {
  InferenceLimits Limits;
  for (std::uint32_t Size : {1U, 2U, 3U, 10U, 100U}) {
    CAPTURE(Size);
    std::vector<InstanceSignals> Signals;
    for (std::uint32_t N = 0; N < Size; ++N)
      Signals.push_back(
          {WorkerId{N}, ListedStatus::Missing, seconds(999), seconds(900 + N)});
    std::vector<InferredHealth> Result = inferPool(Signals, Limits);
    auto Failed =
        std::count(Result.begin(), Result.end(), InferredHealth::Failed);
    auto Cap = std::max(1U, Size * Limits.MaxFailedPercent / 100);
    CHECK(Failed == Cap);
    CHECK(Result.back() == InferredHealth::Failed);
    // Instances that failed earlier count against the cap.
    for (InstanceSignals &S : Signals)
      S.Failed = true;
    Signals.front().Failed = false;
    Result = inferPool(Signals, Limits);
    CHECK((Size == 1 || Result.front() == InferredHealth::Suspect));
  }
}
