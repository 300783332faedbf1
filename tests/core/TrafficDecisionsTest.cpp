#include "core/Admission.h"
#include "core/Quarantine.h"
#include "core/RequestId.h"
#include "core/RetryBudget.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;

namespace {

TimePoint at(int Ms) { return TimePoint(std::chrono::milliseconds(Ms)); }
Duration ms(int Ms) { return std::chrono::milliseconds(Ms); }

} // namespace

TEST_CASE("a formatted request id is parsed and malformed ids are rejected") {
  RequestId Id{{0xabcULL}, 17, 0x1234567890abcdefULL};
  CHECK(requestFrom(nameOf(Id)) == Id);
  for (const char *Bad :
       {"", "-", "0000000000000abc-17", "0000000000000abc-17-",
        "0000000000000abc-x-1234567890abcdef", "abc-17-1234567890abcdef",
        "0000000000000abc-17-1234567890abcdeg",
        "0000000000000abc-17-1234567890abcdef0"})
    CHECK_FALSE(requestFrom(Bad));
}

TEST_CASE("a retry must not run a request twice nor exceed the budgets") {
  RetryPolicy Policy;
  struct Case {
    FailedAttempt Failed;
    double Team;
    double Pool;
    RetryDecision Expected;
  };
  const Case Cases[] = {
      {{Verdict::NotRun, false, 1}, 1, 1, RetryDecision::Retry},
      {{Verdict::MayHaveRun, false, 1}, 9, 9, RetryDecision::NotAllowed},
      {{Verdict::Ran, false, 1}, 9, 9, RetryDecision::NotAllowed},
      {{Verdict::MayHaveRun, true, 1}, 1, 1, RetryDecision::Retry},
      {{Verdict::NotRun, true, 3}, 9, 9, RetryDecision::AttemptsSpent},
      {{Verdict::NotRun, true, 1}, 0.9, 9, RetryDecision::BudgetSpent},
      {{Verdict::NotRun, true, 1}, 9, 0.9, RetryDecision::BudgetSpent},
  };
  for (const Case &C : Cases) {
    RetryBudget Team{C.Team};
    RetryBudget Pool{C.Pool};
    CHECK(decideRetry(C.Failed, Team, Pool, Policy) == C.Expected);
    double Paid = C.Expected == RetryDecision::Retry ? 1 : 0;
    CHECK(Team.Tokens == doctest::Approx(C.Team - Paid));
    CHECK(Pool.Tokens == doctest::Approx(C.Pool - Paid));
  }
}

TEST_CASE("retries stay within the fraction of requests that earns them") {
  RetryPolicy Policy;
  RetryBudget Team = fullBudget(Policy);
  RetryBudget Pool = fullBudget(Policy);
  int Retries = 0;
  constexpr int Requests = 10000;
  for (int N = 0; N < Requests; ++N) {
    earn(Team, Policy);
    earn(Pool, Policy);
    for (std::uint32_t Attempt = 1; Attempt < 5; ++Attempt)
      Retries += decideRetry({Verdict::NotRun, true, Attempt}, Team, Pool,
                             Policy) == RetryDecision::Retry;
  }
  CHECK(Retries <= Requests * Policy.EarnedPerRequest + Policy.MaxSaved);
  CHECK(Retries >= Requests * Policy.EarnedPerRequest - 1);
}

TEST_CASE("a worker that fails more than the others gets only probes") {
  Quarantine Q;
  WorkerId Bad{1};
  for (int N = 0; N < 40; ++N)
    recordFinished(Q, WorkerId{2U + static_cast<std::uint32_t>(N) % 9}, false,
                   10, at(N));
  for (int N = 0; N < 4; ++N)
    recordFinished(Q, Bad, true, 10, at(100));
  CHECK_FALSE(mayStart(Q, Bad, at(101)));
  CHECK(mayStart(Q, WorkerId{2}, at(101)));
  Duration First = Q.Policy.FirstBackoff;
  CHECK(mayStart(Q, Bad, at(100) + First));
  recordStart(Q, Bad, at(100) + First);
  CHECK_FALSE(mayStart(Q, Bad, at(101) + First));
  recordFinished(Q, Bad, true, 10, at(200) + First);
  CHECK_FALSE(mayStart(Q, Bad, at(200) + First * 2));
  CHECK(mayStart(Q, Bad, at(200) + First * 3));
  recordStart(Q, Bad, at(200) + First * 3);
  recordFinished(Q, Bad, false, 10, at(300) + First * 3);
  CHECK(mayStart(Q, Bad, at(301) + First * 3));
}

TEST_CASE("failures common to all workers quarantine none") {
  Quarantine Q;
  for (std::uint32_t N = 0; N < 400; ++N)
    recordFinished(Q, WorkerId{N % 10}, true, 10, at(1));
  for (std::uint32_t N = 0; N < 10; ++N)
    CHECK(mayStart(Q, WorkerId{N}, at(2)));
}

TEST_CASE("quarantine takes out no more of a pool than the cap") {
  for (std::size_t Size : {1U, 2U, 4U, 10U, 40U}) {
    Quarantine Q;
    for (std::uint32_t Round = 0; Round < 50; ++Round)
      for (std::uint32_t N = 0; N < Size; ++N)
        recordFinished(Q, WorkerId{N}, N % 2 == 0, Size, at(1));
    std::size_t Out = 0;
    for (const auto &[Id, Health] : Q.Workers)
      Out += Health.Quarantined ? 1 : 0;
    CAPTURE(Size);
    CHECK(Out <= std::max<std::size_t>(Size / 4, Size > 1 ? 1 : 0));
    CHECK(Out + 1 <= Size);
  }
}

TEST_CASE("requests are refused if no recent wait would meet their deadlines") {
  AdmissionPolicy Policy;
  WaitWindow Waits;
  CHECK(retryDelayIfUnreachable(Waits, ms(10), ms(5), at(0), Policy) == ms(0));
  CHECK(retryDelayIfUnreachable(Waits, ms(10), ms(10), at(0), Policy) > ms(0));
  for (int N = 0; N < 30; ++N)
    recordWait(Waits, ms(N == 7 ? 300 : 500), at(N), Policy);
  CHECK(retryDelayIfUnreachable(Waits, ms(200), ms(0), at(40), Policy) ==
        ms(300));
  CHECK(retryDelayIfUnreachable(Waits, ms(301), ms(0), at(40), Policy) ==
        ms(0));
  CHECK(retryDelayIfUnreachable(Waits, ms(320), ms(20), at(40), Policy) ==
        ms(300));
  CHECK(retryDelayIfUnreachable(Waits, ms(200), ms(0), at(40) + Policy.Window,
                                Policy) == ms(0));
}
