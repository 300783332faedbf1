#include "core/DurationHistogram.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace comfreydeck::core;

TEST_CASE("a duration counts in the first bin whose bound it does not exceed") {
  for (std::size_t B = 0; B < DurationHistogram::Bounds.size(); ++B) {
    CAPTURE(B);
    DurationHistogram Histogram;
    addSample(Histogram, DurationHistogram::Bounds[B]);
    addSample(Histogram, DurationHistogram::Bounds[B] + Duration(1));
    CHECK(Histogram.Counts[B] == 1);
    CHECK(Histogram.Counts[B + 1] == 1);
  }
}

TEST_CASE("a histogram keeps the number, the mean and the maximum") {
  DurationHistogram Histogram;
  CHECK(meanMs(Histogram) == 0);
  for (int Ms : {1, 2, 6, 10000})
    addSample(Histogram, std::chrono::milliseconds(Ms));
  CHECK(Histogram.Total == 4);
  CHECK(std::accumulate(Histogram.Counts.begin(), Histogram.Counts.end(),
                        std::uint64_t{0}) == 4);
  CHECK(Histogram.Max == std::chrono::seconds(10));
  CHECK(meanMs(Histogram) == doctest::Approx(2502.25));
}
