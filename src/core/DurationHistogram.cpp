#include "core/DurationHistogram.h"

#include <algorithm>

namespace comfreydeck::core {

void addSample(DurationHistogram &Histogram, Duration Time) {
  const auto &Bounds = DurationHistogram::Bounds;
  auto At = std::lower_bound(Bounds.begin(), Bounds.end(), Time);
  ++Histogram.Counts[static_cast<std::size_t>(At - Bounds.begin())];
  ++Histogram.Total;
  Histogram.Sum += Time;
  Histogram.Max = std::max(Histogram.Max, Time);
}

std::uint64_t countAbove(const DurationHistogram &Histogram, Duration Bound) {
  std::uint64_t Count = Histogram.Counts.back();
  for (std::size_t N = 0; N < DurationHistogram::Bounds.size(); ++N)
    if (DurationHistogram::Bounds[N] > Bound)
      Count += Histogram.Counts[N];
  return Count;
}

double meanMs(const DurationHistogram &Histogram) {
  return Histogram.Total == 0
             ? 0
             : inMs(Histogram.Sum) / static_cast<double>(Histogram.Total);
}

double inMs(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace comfreydeck::core
