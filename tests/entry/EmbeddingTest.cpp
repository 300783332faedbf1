#include "comfreydeck/comfreydeck.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace comfreydeck;

TEST_CASE("a failed start throws and registers no handle") {
  Init Options;
  Options.SettingsFile = "/nowhere/entry.json";
  CHECK_THROWS_AS(start(Options), std::runtime_error);
  CHECK_FALSE(isValid(EntryHandle()));
  CHECK_THROWS_AS(stop(EntryHandle()), std::invalid_argument);
}
