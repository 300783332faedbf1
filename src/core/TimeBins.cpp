#include "core/TimeBins.h"

#include <algorithm>

namespace comfreydeck::core {

void note(TimeBins &Bins, Duration Time) {
  const auto &Bounds = TimeBins::Bounds;
  auto At = std::lower_bound(Bounds.begin(), Bounds.end(), Time);
  ++Bins.Counts[static_cast<std::size_t>(At - Bounds.begin())];
  ++Bins.Total;
  Bins.Sum += Time;
  Bins.Most = std::max(Bins.Most, Time);
}

double meanMs(const TimeBins &Bins) {
  return Bins.Total == 0 ? 0 : inMs(Bins.Sum) / static_cast<double>(Bins.Total);
}

double inMs(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace comfreydeck::core
