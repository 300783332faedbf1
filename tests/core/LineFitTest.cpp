#include "core/LineFit.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;

TEST_CASE("fitting points on a line gives that line") {
  const Point Points[] = {{1, 5}, {2, 7}, {4, 11}, {8, 19}};
  LineFit Fit = fitLine(Points);
  CHECK(Fit.Slope == doctest::Approx(2));
  CHECK(Fit.Offset == doctest::Approx(3));
  CHECK(Fit.WorstResidual == doctest::Approx(0));
  CHECK(valueAt(Fit, 100) == doctest::Approx(203));
}

TEST_CASE("the residual shows a point that is off the line") {
  const Point Points[] = {{0, 0}, {1, 10}, {2, 0}};
  CHECK(fitLine(Points).WorstResidual > 0.5);
}
