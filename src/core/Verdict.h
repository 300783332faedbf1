#ifndef COMFREYDECK_CORE_VERDICT_H
#define COMFREYDECK_CORE_VERDICT_H

#include <cstdint>
#include <string_view>

/// Whether a request may have run, and why a request was refused.
namespace comfreydeck::core {

/// What is known of a request's execution.
enum class Verdict : std::uint8_t {
  /// No part of the request can have been executed.
  NotRun,
  /// The complete answer of the target was received.
  Ran,
  /// Neither of the two can be established.
  MayHaveRun,
};

/// The reason for a refusal, as counted and as reported to the caller.
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

/// How an exchange with a target ended.
enum class ExchangeEnd : std::uint8_t {
  /// No connection was made: no byte of the request was sent.
  ConnectFailed,
  /// Only part of the request was written to the connection.
  SendCut,
  /// The request was sent; the connection ended before the answer was
  /// complete.
  AnswerCut,
  /// The request was sent; no complete answer arrived in time.
  TimedOut,
  /// A complete answer arrived, but it names another request.
  WrongRequest,
  /// A complete answer arrived: the target refused to start the request.
  RefusedByTarget,
  /// A complete answer arrived.
  Answered,
  /// The call was abandoned before any byte of it was sent.
  NeverSent,
};

/// The verdict that follows from how an exchange ended. Thread-safe.
Verdict verdictOf(ExchangeEnd End);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_VERDICT_H
