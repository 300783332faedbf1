#include "comfreydeck/comfreydeck.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace comfreydeck;

TEST_CASE("start throws without settings, and stop rejects an invalid handle") {
  Init Options;
  Options.SettingsFile = "/nowhere/entry.json";
  CHECK_THROWS_AS(start(Options), std::runtime_error);
  CHECK_FALSE(isValid(EntryHandle()));
  CHECK_THROWS_AS(stop(EntryHandle()), std::invalid_argument);
}
