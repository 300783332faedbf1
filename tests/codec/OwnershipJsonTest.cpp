#include "codec/OwnershipJson.h"

#include <doctest/doctest.h>

using namespace comfreydeck;

TEST_CASE("ownership and allotment rows survive a round trip") {
  codec::OwnershipRow Owned{{3}, {0xABCDEF}, {17}};
  codec::OwnershipRow Read = codec::parseOwnership(codec::toJson(Owned));
  CHECK(Read.Pool == Owned.Pool);
  CHECK(Read.Owner == Owned.Owner);
  CHECK(Read.Term == Owned.Term);
  core::AllotmentRow Row{{7}, {40, {9}}, {{{1}, 30}, {{2}, 10}}, {{{2}, 25}}};
  CHECK(codec::parseAllotment(codec::toJson(Row)) == Row);
}

TEST_CASE("malformed ownership and allotment rows are rejected") {
  for (const char *Text :
       {"", "[]", "{}", "{\"pool\":1}", "{\"team\":\"x\"}", "{\"pool\":-1,"}) {
    CAPTURE(Text);
    CHECK_THROWS_AS(codec::parseOwnership(Text), std::runtime_error);
    CHECK_THROWS_AS(codec::parseAllotment(Text), std::runtime_error);
  }
}
