#ifndef COMFREYDECK_JOBS_OWNERPACE_H
#define COMFREYDECK_JOBS_OWNERPACE_H

#include "core/Types.h"

#include <cstddef>
#include <optional>

/// Limits how much work an owner takes on at a time, by what its processor and
/// its link were seen to carry. Answers a surge of more starts than the entry
/// can send: what can't be sent yet stays a plan, in order of its value, and
/// the calls that keep the entry an owner are not delayed by it.
namespace comfreydeck::jobs {

/// Maximum number of starts that are sent and not answered. Grows while answers
/// come soon and shrinks when they come late (additive increase, multiplicative
/// decrease).
struct StartWindow {
  /// Initial and least size.
  static constexpr double MinSize = 32;
  static constexpr double MaxSize = 1024;
  double Size = 4 * MinSize;
  /// When it last shrank, if it has.
  std::optional<core::TimePoint> ShrunkAt;
};

/// Adjusts the window to an answer that took \p Took since the start was
/// planned. Thread-safe on distinct windows.
void recordAnswer(StartWindow &Window, core::Duration Took,
                  core::TimePoint Now);

/// Number of further starts that may be sent while \p Unanswered are in flight.
/// Thread-safe.
std::size_t roomIn(const StartWindow &Window, std::size_t Unanswered);

/// Pause after a planning pass that took \p Took, so that planning uses a
/// bounded share of the processor. Thread-safe.
core::Duration pauseAfterPlan(core::Duration Took);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_OWNERPACE_H
