#ifndef COMFREYDECK_CORE_DURATIONHISTOGRAM_H
#define COMFREYDECK_CORE_DURATIONHISTOGRAM_H

#include "core/Types.h"

#include <array>

namespace comfreydeck::core {

/// Histogram of durations, with their number, sum and maximum.
struct DurationHistogram {
  /// Inclusive upper bounds in microseconds; the last bin has none.
  static constexpr std::array<Duration, 14> Bounds = {
      Duration(1000),     Duration(2500),    Duration(5000),
      Duration(10000),    Duration(25000),   Duration(50000),
      Duration(100000),   Duration(250000),  Duration(500000),
      Duration(1000000),  Duration(2500000), Duration(5000000),
      Duration(10000000), Duration(15000000)};

  std::array<std::uint64_t, Bounds.size() + 1> Counts{};
  std::uint64_t Total = 0;
  Duration Sum{0};
  Duration Max{0};
};

/// Adds one duration.
void addSample(DurationHistogram &Histogram, Duration Time);

/// Number of durations above the bound, which is one of
/// DurationHistogram::Bounds. Thread-safe.
std::uint64_t countAbove(const DurationHistogram &Histogram, Duration Bound);

/// Mean in milliseconds; zero if there are no samples.
double meanMs(const DurationHistogram &Histogram);

/// Converts a duration to milliseconds.
double inMs(Duration Time);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_DURATIONHISTOGRAM_H
