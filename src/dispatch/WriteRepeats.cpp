#include "dispatch/WriteRepeats.h"

#include <algorithm>

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;
using store::PartOutcome;

namespace {

/// Bounds of the pause before the first repetition. With a longer one the store
/// is slow, and nothing is repeated beside an open attempt.
constexpr core::Duration LeastPause = milliseconds(60);
constexpr core::Duration MostPause = milliseconds(600);
/// The first pause as a multiple of the usual time of an answer.
constexpr int PausePerAnswer = 5;
/// Growth of each further pause.
constexpr int PauseGrowth = 2;
/// Attempts of which each is sent while those before it may be open.
constexpr std::size_t EarlyAttempts = 4;
/// Time limit of an attempt; bounds how long a lost answer goes unnoticed.
constexpr core::Duration StoreTimeout = milliseconds(1500);
/// Time limit once the early attempts are used up: longer, so that an outage
/// costs no more calls for them.
constexpr core::Duration LongStoreTimeout = milliseconds(2280);
/// A quicker answer lowers the usual time by this fraction of the difference.
constexpr int PaceFallDivisor = 16;

} // namespace

void recordAnswer(AnswerPace &Pace, core::Duration Took) {
  if (Took >= Pace.Usual)
    Pace.Usual = Took;
  else
    Pace.Usual -= (Pace.Usual - Took) / PaceFallDivisor;
}

std::optional<core::Duration> pauseBeforeRepeat(const AnswerPace &Pace,
                                                std::size_t Sent) {
  if (Sent >= EarlyAttempts)
    return std::nullopt;
  core::Duration Pause = MostPause;
  if (Pace.Usual > core::Duration::zero())
    Pause = std::max(Pace.Usual * PausePerAnswer, LeastPause);
  if (Pause > MostPause)
    return std::nullopt;
  for (std::size_t N = 1; N < Sent; ++N)
    Pause *= PauseGrowth;
  return Pause;
}

core::Duration attemptLimit(std::size_t Sent) {
  return Sent < EarlyAttempts ? StoreTimeout : LongStoreTimeout;
}

void recordAttempt(RepeatedWrite &Write) {
  ++Write.Sent;
  ++Write.Open;
}

bool mayRepeat(const RepeatedWrite &Write, std::size_t Sent, bool BesideOpen) {
  return !Write.Settled && Write.Sent == Sent && (Write.Open > 0) == BesideOpen;
}

WriteStep takeAnswer(RepeatedWrite &Write, PartOutcome Outcome, bool Refused) {
  --Write.Open;
  if (Write.Settled)
    return WriteStep::Ignore;
  bool Known = Outcome == PartOutcome::Ok || Outcome == PartOutcome::Conflict;
  Write.Unsure = Write.Unsure || Outcome == PartOutcome::Unknown;
  if (Known || Refused) {
    Write.Settled = true;
    Write.Unsure = Write.Unsure || Write.Open > 0;
    return WriteStep::Settle;
  }
  return Write.Open > 0 ? WriteStep::Wait : WriteStep::Retry;
}

} // namespace comfreydeck::dispatch
