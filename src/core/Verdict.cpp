#include "core/Verdict.h"

#include <array>

namespace comfreydeck::core {

namespace {

constexpr std::array<std::string_view, 3> VerdictNames = {"not-run", "ran",
                                                          "may-have-run"};

constexpr std::array<std::string_view, static_cast<std::size_t>(Reason::Count)>
    ReasonNames = {
        "none",
        "malformed-request",
        "body-too-large",
        "unknown-key",
        "key-not-for-queue",
        "unknown-queue",
        "unknown-request",
        "never-runnable",
        "deadline-unreachable",
        "deadline-passed",
        "queue-full",
        "over-upper-limit",
        "retry-budget-spent",
        "not-current",
        "no-owner",
        "no-worker",
        "store-unavailable",
        "duplicate-in-progress",
        "outcome-unknown",
        "id-not-issued-here",
        "cancelled",
        "shutting-down",
        "target-failed",
        "key-used-for-other-work",
};

/// A target that received only part of a request may still execute it, so an
/// interruption while sending gives the same verdict as one while receiving.
constexpr std::array<Verdict, 8> ExchangeVerdicts = {
    Verdict::NotRun,     // ConnectFailed
    Verdict::MayHaveRun, // SendCut
    Verdict::MayHaveRun, // AnswerCut
    Verdict::MayHaveRun, // TimedOut
    Verdict::MayHaveRun, // WrongRequest
    Verdict::NotRun,     // RefusedByTarget
    Verdict::Ran,        // Answered
    Verdict::NotRun,     // NeverSent
};

} // namespace

std::string_view nameOf(Verdict V) {
  return VerdictNames.at(static_cast<std::size_t>(V));
}

std::string_view nameOf(Reason R) {
  return ReasonNames.at(static_cast<std::size_t>(R));
}

Verdict verdictOf(ExchangeEnd End) {
  return ExchangeVerdicts.at(static_cast<std::size_t>(End));
}

} // namespace comfreydeck::core
