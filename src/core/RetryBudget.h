#ifndef COMFREYDECK_CORE_RETRYBUDGET_H
#define COMFREYDECK_CORE_RETRYBUDGET_H

#include "core/Verdict.h"

/// Limits how far retries amplify a wave of failures.
namespace comfreydeck::core {

/// Retries earned by requests and not spent yet.
struct RetryBudget {
  double Tokens = 0;
};

struct RetryPolicy {
  /// Retries earned by each request.
  double EarnedPerRequest = 0.1;
  /// Maximum number of saved retries; a new budget starts with it.
  double MaxSaved = 10;
  /// Maximum number of attempts of one request, the first included.
  std::uint32_t MaxAttempts = 3;
};

/// Whether a failed attempt may be followed by another.
enum class RetryDecision : std::uint8_t {
  Retry,
  /// Running it again could execute it twice.
  NotAllowed,
  /// The maximum number of attempts is reached.
  AttemptsSpent,
  /// The team's or the pool's budget is spent.
  BudgetSpent,
};

/// A new budget. Thread-safe.
RetryBudget fullBudget(const RetryPolicy &Policy);

/// Adds what one request earns.
void earn(RetryBudget &Budget, const RetryPolicy &Policy);

/// A failed attempt.
struct FailedAttempt {
  /// Whether the attempt may have run.
  Verdict Known = Verdict::MayHaveRun;
  bool Idempotent = false;
  /// Attempts so far, this one included.
  std::uint32_t Attempts = 1;
};

/// Decides on a retry and charges it to both budgets, or to neither.
RetryDecision decideRetry(const FailedAttempt &Failed, RetryBudget &Team,
                          RetryBudget &Pool, const RetryPolicy &Policy);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_RETRYBUDGET_H
