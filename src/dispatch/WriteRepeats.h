#ifndef COMFREYDECK_DISPATCH_WRITEREPEATS_H
#define COMFREYDECK_DISPATCH_WRITEREPEATS_H

#include "store/PartitionedStore.h"

#include <cstddef>
#include <optional>

/// Decides when a write without an answer is sent again while earlier attempts
/// are open. Only for writes whose conditions let one attempt apply at most.
namespace comfreydeck::dispatch {

/// How long the store takes to answer writes. Rises with a slower answer at
/// once and falls slowly, so that a store that slows down gets few repetitions.
struct AnswerPace {
  /// Zero as long as there was no answer.
  core::Duration Usual{0};
};

/// Adds an answer that came \p Took after its attempt was sent, also if another
/// attempt has settled the write.
void recordAnswer(AnswerPace &Pace, core::Duration Took);

/// Pause after the attempt number \p Sent (from 1) of a write, after which the
/// next one is sent beside it. Empty: the next one is sent only once none is
/// open, so that a store that answers slowly or not gets no more calls.
std::optional<core::Duration> pauseBeforeRepeat(const AnswerPace &Pace,
                                                std::size_t Sent);

/// Time limit of the attempt number \p Sent (from 1).
core::Duration attemptLimit(std::size_t Sent);

/// A write of which several attempts may be open.
struct RepeatedWrite {
  std::size_t Sent = 0;
  std::size_t Open = 0;
  /// An attempt that has ended may have been applied, or may be later.
  bool Unsure = false;
  /// What became of the write is known; later answers mean nothing.
  bool Settled = false;
};

enum class WriteStep : std::uint8_t {
  /// The answer says what became of the write.
  Settle,
  /// Another attempt may still be answered.
  Wait,
  /// No attempt is open.
  Retry,
  /// The write was settled before.
  Ignore,
};

/// Records that the next attempt is sent.
void recordAttempt(RepeatedWrite &Write);

/// Whether the attempt after number \p Sent is to be sent now, at the end of
/// its pause: the write is not settled and none was sent meanwhile. \p
/// BesideOpen tells the attempt that is for the case that another is still open
/// from the one for the case that none is.
bool mayRepeat(const RepeatedWrite &Write, std::size_t Sent, bool BesideOpen);

/// Records the answer to one attempt, and returns what follows. \p Refused says
/// that the store refused the write for good, which settles it too: with \ref
/// RepeatedWrite::Unsure set, an attempt without an answer may still apply.
WriteStep takeAnswer(RepeatedWrite &Write, store::PartOutcome Outcome,
                     bool Refused);

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_WRITEREPEATS_H
