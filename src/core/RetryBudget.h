#ifndef COMFREYDECK_CORE_RETRYBUDGET_H
#define COMFREYDECK_CORE_RETRYBUDGET_H

#include "core/Verdict.h"

/// Bounds how far retries multiply a wave of failures.
namespace comfreydeck::core {

/// Retries earned by requests and not spent yet, in retries.
struct RetryBudget {
  double Tokens = 0;
};

struct RetryPolicy {
  /// Earned by each request.
  double EarnedPerRequest = 0.1;
  /// Most that is saved up; new budgets begin with it.
  double MostSaved = 10;
  /// Attempts of one request, the first included.
  std::uint32_t MostAttempts = 3;
};

/// Whether a failed attempt may be followed by another.
enum class RetryDecision : std::uint8_t {
  Retry,
  /// Running it again could execute it twice.
  NotAllowed,
  /// It was tried often enough.
  AttemptsSpent,
  /// The team's or the pool's budget is spent.
  BudgetSpent,
};

/// A budget at its start. Thread-safe.
RetryBudget fullBudget(const RetryPolicy &Policy);

/// One request came in.
void earn(RetryBudget &Budget, const RetryPolicy &Policy);

/// What is known of the attempt that failed.
struct FailedAttempt {
  Verdict Known = Verdict::MayHaveRun;
  bool Idempotent = false;
  /// Attempts so far, this one included.
  std::uint32_t Attempts = 1;
};

/// Decides on a retry and pays for it from both budgets, or from neither.
RetryDecision decideRetry(const FailedAttempt &Failed, RetryBudget &Team,
                          RetryBudget &Pool, const RetryPolicy &Policy);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_RETRYBUDGET_H
