#include "core/OwnerWatch.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;

namespace {

constexpr TimePoint Start{};

struct WatchCase {
  const char *Name;
  OwnerObservation Observed;
  Duration After;
  bool Lost;
};

const WatchCase Cases[] = {
    {"a member that answers", {true, true, 0, {}}, {}, false},
    {"a member that misses two calls", {true, true, 2, {}}, {}, false},
    {"a member that misses three", {true, true, 3, {}}, {}, true},
    {"one that left", {false, true, 0, Start}, {}, true},
    {"one that has just registered", {false, false, 0, Start}, {}, false},
    {"one that has not registered within the grace",
     {false, false, 0, Start},
     std::chrono::milliseconds(1999),
     false},
    {"one that never registered",
     {false, false, 0, Start},
     std::chrono::seconds(2),
     true},
    {"one that is not named as an owner yet", {false, false, 0, {}}, {}, false},
};

} // namespace

TEST_CASE("an owner is lost when it fails calls, leaves or never joins") {
  for (const WatchCase &Case : Cases) {
    CAPTURE(Case.Name);
    CHECK(isLost(Case.Observed, {}, Start + Case.After) == Case.Lost);
  }
}
