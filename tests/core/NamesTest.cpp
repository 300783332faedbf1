#include "core/Names.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;

TEST_CASE("a name leads back to what it names") {
  DemandId Id{{0xABCDEF}, 42};
  CHECK(nameOf(Id) == "0000000000abcdef-42");
  CHECK(demandFrom(nameOf(Id)) == Id);
  CHECK(incarnationFrom(nameOf(Id.From)) == Id.From);
}

TEST_CASE("other text is no name") {
  for (const char *Text :
       {"", "-", "abc-1", "0000000000000000-1", "0000000000abcdef-",
        "0000000000abcdef-1x", "0000000000abcdeg-1"}) {
    CAPTURE(Text);
    CHECK_FALSE(demandFrom(Text));
  }
}
