#include "core/TimeBins.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace comfreydeck::core;

TEST_CASE("a duration counts in the first bin whose bound it does not exceed") {
  for (std::size_t B = 0; B < TimeBins::Bounds.size(); ++B) {
    CAPTURE(B);
    TimeBins Bins;
    note(Bins, TimeBins::Bounds[B]);
    note(Bins, TimeBins::Bounds[B] + Duration(1));
    CHECK(Bins.Counts[B] == 1);
    CHECK(Bins.Counts[B + 1] == 1);
  }
}

TEST_CASE("a histogram keeps the number, the mean and the maximum") {
  TimeBins Bins;
  CHECK(meanMs(Bins) == 0);
  for (int Ms : {1, 2, 6, 10000})
    note(Bins, std::chrono::milliseconds(Ms));
  CHECK(Bins.Total == 4);
  CHECK(std::accumulate(Bins.Counts.begin(), Bins.Counts.end(),
                        std::uint64_t{0}) == 4);
  CHECK(Bins.Most == std::chrono::seconds(10));
  CHECK(meanMs(Bins) == doctest::Approx(2502.25));
}
