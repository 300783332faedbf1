#include "core/Verdict.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;

namespace {

struct VerdictCase {
  ExchangeEnd End;
  Verdict Expected;
};

constexpr VerdictCase Cases[] = {
    {ExchangeEnd::NeverSent, Verdict::NotRun},
    {ExchangeEnd::ConnectFailed, Verdict::NotRun},
    {ExchangeEnd::RefusedByTarget, Verdict::NotRun},
    {ExchangeEnd::SendCut, Verdict::MayHaveRun},
    {ExchangeEnd::AnswerCut, Verdict::MayHaveRun},
    {ExchangeEnd::TimedOut, Verdict::MayHaveRun},
    {ExchangeEnd::WrongRequest, Verdict::MayHaveRun},
    {ExchangeEnd::Answered, Verdict::Ran},
};

} // namespace

TEST_CASE("each end of an exchange has its verdict") {
  for (const VerdictCase &Case : Cases) {
    CAPTURE(static_cast<int>(Case.End));
    CHECK(verdictOf(Case.End) == Case.Expected);
  }
}

TEST_CASE("every reason has a unique name") {
  for (int A = 0; A < static_cast<int>(Reason::Count); ++A) {
    CHECK_FALSE(nameOf(static_cast<Reason>(A)).empty());
    for (int B = 0; B < A; ++B)
      CHECK(nameOf(static_cast<Reason>(A)) != nameOf(static_cast<Reason>(B)));
  }
}
