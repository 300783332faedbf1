#include "core/RetryBudget.h"

#include <algorithm>

namespace comfreydeck::core {

RetryBudget fullBudget(const RetryPolicy &Policy) { return {Policy.MaxSaved}; }

void earn(RetryBudget &Budget, const RetryPolicy &Policy) {
  Budget.Tokens =
      std::min(Budget.Tokens + Policy.EarnedPerRequest, Policy.MaxSaved);
}

RetryDecision decideRetry(const FailedAttempt &Failed, RetryBudget &Team,
                          RetryBudget &Pool, const RetryPolicy &Policy) {
  if (Failed.Known != Verdict::NotRun && !Failed.Idempotent)
    return RetryDecision::NotAllowed;
  if (Failed.Attempts >= Policy.MaxAttempts)
    return RetryDecision::AttemptsSpent;
  if (Team.Tokens < 1 || Pool.Tokens < 1)
    return RetryDecision::BudgetSpent;
  Team.Tokens -= 1;
  Pool.Tokens -= 1;
  return RetryDecision::Retry;
}

} // namespace comfreydeck::core
