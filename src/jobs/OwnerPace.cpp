#include "jobs/OwnerPace.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

using std::chrono::milliseconds;

/// Answers that take longer show that orders queue up somewhere.
constexpr milliseconds LateAnswer(250);
constexpr double Shrink = 0.7;
/// The window grows by this for each answer that is not late.
constexpr double Growth = 0.25;
/// A planning pass is followed by a pause of this many times its duration.
constexpr int PausePerPass = 3;
constexpr milliseconds MaxPlanPause(40);

} // namespace

void recordAnswer(StartWindow &Window, core::Duration Took,
                  core::TimePoint Now) {
  if (Took <= LateAnswer) {
    Window.Size = std::min(Window.Size + Growth, StartWindow::MaxSize);
    return;
  }
  // All answers of one late batch count once.
  if (Window.ShrunkAt && Now - *Window.ShrunkAt < Took)
    return;
  Window.Size = std::max(Window.Size * Shrink, StartWindow::MinSize);
  Window.ShrunkAt = Now;
}

std::size_t roomIn(const StartWindow &Window, std::size_t Unanswered) {
  auto Size = static_cast<std::size_t>(Window.Size);
  return Size > Unanswered ? Size - Unanswered : 0;
}

core::Duration pauseAfterPlan(core::Duration Took) {
  return std::min<core::Duration>(Took * PausePerPass, MaxPlanPause);
}

} // namespace comfreydeck::jobs
