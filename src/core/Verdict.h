#ifndef COMFREYDECK_CORE_VERDICT_H
#define COMFREYDECK_CORE_VERDICT_H

#include <cstdint>
#include <string_view>

/// Whether a request may have run, and why one was refused.
namespace comfreydeck::core {

/// What is known of a request's execution.
enum class Verdict : std::uint8_t {
  /// Nothing of the request can have been acted on.
  NotRun,
  /// The whole answer of the target is in hand.
  Ran,
  /// Neither of the two can be shown.
  MayHaveRun,
};

/// The reason of a refusal, as counted and as told to the caller.
enum class Reason : std::uint8_t {
  None,
  MalformedRequest,
  BodyTooLarge,
  UnknownKey,
  KeyNotForQueue,
  UnknownQueue,
  UnknownRequest,
  NeverRunnable,
  DeadlineUnreachable,
  DeadlinePassed,
  QueueFull,
  OverUpperLimit,
  RetryBudgetSpent,
  NotCurrent,
  NoOwner,
  NoWorker,
  StoreUnavailable,
  DuplicateInProgress,
  OutcomeUnknown,
  IdNotIssuedHere,
  Cancelled,
  ShuttingDown,
  TargetFailed,
  KeyUsedForOtherWork,
  Count,
};

/// The verdict's name on the wire: `ran`, `not-run` or `may-have-run`.
/// Thread-safe.
std::string_view nameOf(Verdict V);

/// The reason's machine-readable name. Thread-safe.
std::string_view nameOf(Reason R);

/// How far an exchange with a target came before it ended.
enum class ExchangeEnd : std::uint8_t {
  /// No connection was made: no byte of the request left.
  ConnectFailed,
  /// The whole request was never handed to the connection, yet part of it was.
  SendCut,
  /// The request was sent; the connection ended before the answer was whole.
  AnswerCut,
  /// The request was sent; no whole answer came in time.
  TimedOut,
  /// A whole answer came, but it names another request.
  WrongRequest,
  /// A whole answer came: the target says that it refused the start.
  RefusedByTarget,
  /// A whole answer came.
  Answered,
  /// The call was given up before any byte of it left.
  NeverSent,
};

/// The verdict that follows from how an exchange ended. Thread-safe.
Verdict verdictOf(ExchangeEnd End);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_VERDICT_H
