#include "core/FairClock.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

constexpr std::int64_t SamplesPerWindow = 128;

/// The last sample at or before \p At; nullptr if all are later.
const VirtualSample *sampleBefore(const FairClock &Clock, TimePoint At) {
  auto It = std::upper_bound(
      Clock.Samples.begin(), Clock.Samples.end(), At,
      [](TimePoint T, const VirtualSample &S) { return T < S.At; });
  return It == Clock.Samples.begin() ? nullptr : &*std::prev(It);
}

} // namespace

void advance(FairClock &Clock, double Start, TimePoint Now) {
  Clock.Virtual = std::max(Clock.Virtual, Start);
  if (Clock.CreditWindow.count() == 0)
    return;
  Duration Step = Clock.CreditWindow / SamplesPerWindow;
  if (!Clock.Samples.empty() && Now < Clock.Samples.back().At + Step) {
    return;
  }
  Clock.Samples.push_back({Now, Clock.Virtual});
  // Keeps one sample older than the window, which gives the virtual time at its
  // start.
  while (Clock.Samples.size() > 1 &&
         Clock.Samples[1].At + Clock.CreditWindow <= Now)
    Clock.Samples.pop_front();
}

double minReturnTime(const FairClock &Clock, TimePoint Now) {
  if (Clock.CreditWindow.count() == 0)
    return Clock.Virtual;
  const VirtualSample *Sample = sampleBefore(Clock, Now - Clock.CreditWindow);
  return Sample ? Sample->Virtual : 0;
}

} // namespace comfreydeck::core
