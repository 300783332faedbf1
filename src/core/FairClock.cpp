#include "core/FairClock.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

constexpr std::int64_t StepsOfMemory = 128;

/// The last sample at or before \p At; nullptr if all are later.
const VirtualSample *sampleBefore(const FairClock &Clock, TimePoint At) {
  auto It = std::upper_bound(
      Clock.Past.begin(), Clock.Past.end(), At,
      [](TimePoint T, const VirtualSample &S) { return T < S.At; });
  return It == Clock.Past.begin() ? nullptr : &*std::prev(It);
}

} // namespace

void advance(FairClock &Clock, double Start, TimePoint Now) {
  Clock.Virtual = std::max(Clock.Virtual, Start);
  if (Clock.Memory.count() == 0)
    return;
  Duration Step = Clock.Memory / StepsOfMemory;
  if (!Clock.Past.empty() && Now < Clock.Past.back().At + Step) {
    return;
  }
  Clock.Past.push_back({Now, Clock.Virtual});
  // Keeps one sample older than the memory, which gives the virtual time at its
  // start.
  while (Clock.Past.size() > 1 && Clock.Past[1].At + Clock.Memory <= Now)
    Clock.Past.pop_front();
}

double returnFloor(const FairClock &Clock, TimePoint Now) {
  if (Clock.Memory.count() == 0)
    return Clock.Virtual;
  const VirtualSample *Sample = sampleBefore(Clock, Now - Clock.Memory);
  return Sample ? Sample->Virtual : 0;
}

} // namespace comfreydeck::core
