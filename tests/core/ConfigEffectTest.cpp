#include "core/ConfigEffect.h"
#include "core/TemplateSamples.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace comfreydeck::core;
using namespace comfreydeck::tests;

namespace {

Configuration sample() {
  return applied({}, {putPool("signing"), putPool("filing"),
                      PutTemplate{rentalTemplate()},
                      rental("beach", 8, {"signing", "filing"}),
                      rental("harbour", 4, {"signing"})});
}

std::string lines(const std::vector<ItemEffect> &Effects) {
  std::string Text;
  for (const ItemEffect &E : Effects) {
    Text += std::string(nameOf(E.How)) + " " + std::string(nameOf(E.What)) +
            " " + E.Name;
    if (E.How == EffectKind::Changed)
      for (const FieldEffect &F : E.Fields)
        Text += " " + F.Field + " " + F.Before + "->" + F.After;
    Text += "\n";
  }
  return Text;
}

TeamShare share(std::uint32_t Id, std::uint32_t Weight, std::uint32_t Limit) {
  return {TeamId{Id}, Weight, 0, Limit};
}

} // namespace

TEST_CASE("an effect lists added, changed and removed items") {
  Configuration Before = sample();
  Template T = rentalTemplate();
  T.Parameters[0].Default = 5U;
  Configuration After =
      applied(Before, {PutTemplate{T}, rental("beach", 8, {"signing"}),
                       rental("pier", 2, {"filing"})});
  CHECK(lines(effectOf(Before, After)) ==
        "changed team beach share 2->5\n"
        "changed team harbour share 2->5\n"
        "added team pier\n"
        "removed queue beach-filing\n"
        "added queue pier-filing\n"
        "changed template rental parameters.share share, default 2, 1 to 100->"
        "share, default 5, 1 to 100\n"
        "changed customer beach arguments.pools signing,filing->signing\n"
        "added customer pier\n");
  CHECK(effectOf(Before, Before).empty());
}

TEST_CASE("an effect never shows a key's hash") {
  KeyHash Hash;
  Hash.fill(0xab);
  Configuration After = applied(sample(), {GrantKey{"beach", Hash, "kiosk"}});
  std::vector<ItemEffect> Effects = effectOf(sample(), After);
  REQUIRE(Effects.size() == 1);
  REQUIRE(Effects[0].Fields.size() == 2);
  CHECK(Effects[0].Fields[0].After == "beach");
  CHECK(Effects[0].Fields[1].After == "kiosk");
}

TEST_CASE("the teams of a pool are entitled in proportion to their shares") {
  Configuration C = applied(
      sample(), {PutTeam{{{}, "walk-in", 4, 9, true, {}}},
                 PutQueue{"open", "signing", true, "walk-in", false, {}}});
  std::vector<TeamShare> Shares = sharesOf(C, findPool(C, "signing")->Id);
  REQUIRE(Shares.size() == 3);
  CHECK(Shares[0].Team == findTeam(C, "beach")->Id);
  CHECK(Shares[0].Entitled == doctest::Approx(0.25));
  CHECK(Shares[2].Entitled == doctest::Approx(0.5));
  CHECK(sharesOf(C, findPool(C, "filing")->Id).size() == 1);
}

TEST_CASE("slots stay within limits, and the remainder is redistributed") {
  struct Case {
    const char *What;
    std::vector<TeamShare> Shares;
    std::uint32_t Slots;
    std::vector<double> Entitled;
  };
  const Case Cases[] = {
      {"nobody", {}, 8, {}},
      {"in proportion", {share(1, 3, 99), share(2, 1, 99)}, 8, {6, 2}},
      {"one at its limit", {share(1, 3, 4), share(2, 1, 99)}, 8, {4, 4}},
      {"one limit after another",
       {share(1, 6, 2), share(2, 1, 3), share(3, 1, 99)},
       12,
       {2, 3, 7}},
      {"all at their limits", {share(1, 1, 2), share(2, 1, 3)}, 8, {2, 3}},
      {"no slots", {share(1, 1, 2)}, 0, {0}},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.What);
    std::vector<double> Entitled = entitledSlots(C.Shares, C.Slots);
    REQUIRE(Entitled.size() == C.Entitled.size());
    for (std::size_t I = 0; I < Entitled.size(); ++I)
      CHECK(Entitled[I] == doctest::Approx(C.Entitled[I]));
  }
}
