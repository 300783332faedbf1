#include "core/Estimates.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;
using namespace std::chrono_literals;

namespace {

constexpr WorkClass Class{TeamId{1}, QueueId{1}};

} // namespace

TEST_CASE("declared run times are corrected by observed ones") {
  Estimates E;
  CHECK(expectedRun(E, Class, 2s) == 2s);
  for (int N = 0; N < 50; ++N)
    observeRun(E, Class, 2s, 10s);
  CHECK(expectedRun(E, Class, 2s) > 9s);
  CHECK(expectedRun(E, Class, 4s) > 18s);
  CHECK(expectedRun(E, Class, 0s) > 9s);
  CHECK(expectedRun(E, {TeamId{2}, QueueId{1}}, 2s) == 2s);
}

TEST_CASE("one wrong report changes a size estimate by a bounded factor only") {
  Estimates E;
  Resources Declared{1000, 1000, 1};
  observeSize(E, Class, Declared, {1000000, 1000000, 1});
  CHECK(expectedSize(E, Class, Declared) == Declared);
  for (int N = 0; N < 6; ++N)
    observeSize(E, Class, Declared, {1000, 500, 1});
  Resources Planned = expectedSize(E, Class, Declared);
  CHECK(Planned.MilliCpus <= 2000);
  CHECK(Planned.Accelerators == 1);
}

TEST_CASE("a task that uses more than declared is planned with a larger size") {
  Estimates E;
  Resources Declared{1000, 1000, 0};
  for (int N = 0; N < 10; ++N)
    observeSize(E, Class, Declared, {500, 3000, 0});
  CHECK(expectedSize(E, Class, Declared) == Resources{3000, 3000, 0});
}
