#include "core/Names.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;

TEST_CASE("names of incarnations and demands are parsed back") {
  DemandId Id{{0xABCDEF}, 42};
  CHECK(nameOf(Id) == "0000000000abcdef-42");
  CHECK(parseDemandId(nameOf(Id)) == Id);
  CHECK(parseIncarnation(nameOf(Id.From)) == Id.From);
}

TEST_CASE("malformed demand names are rejected") {
  for (const char *Text :
       {"", "-", "abc-1", "0000000000000000-1", "0000000000abcdef-",
        "0000000000abcdef-1x", "0000000000abcdeg-1"}) {
    CAPTURE(Text);
    CHECK_FALSE(parseDemandId(Text));
  }
}
