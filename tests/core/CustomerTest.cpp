#include "core/TemplateSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;
using namespace comfreydeck::tests;

namespace {

Configuration sample() {
  return applied({}, {putPool("signing"), putPool("filing"),
                      PutTemplate{rentalTemplate()},
                      rental("beach", 8, {"signing", "filing"}),
                      rental("harbour", 4, {"signing"})});
}

std::string faultsOf(const Configuration &C, std::vector<ConfigEdit> Edits) {
  try {
    applied(C, std::move(Edits));
  } catch (const ConfigError &E) {
    return E.what();
  }
  return "";
}

struct BadEdits {
  const char *What;
  std::vector<ConfigEdit> Edits;
  /// Must be part of the message.
  const char *Expected;
};

Template edited(void (*Edit)(Template &)) {
  Template T = rentalTemplate();
  Edit(T);
  return T;
}

PutCustomer withArgument(const char *Name, ParameterValue Value) {
  PutCustomer Edit = rental("beach", 8, {"signing"});
  std::erase_if(Edit.Arguments,
                [&](const Argument &A) { return A.Name == Name; });
  Edit.Arguments.push_back({Name, std::move(Value)});
  return Edit;
}

} // namespace

TEST_CASE("putting a customer creates its teams and queues") {
  Configuration C = sample();
  const Customer *Beach = findCustomer(C, "beach");
  REQUIRE(Beach);
  const Team *T = findTeam(C, "beach");
  REQUIRE(T);
  CHECK(T->Share == 2);
  CHECK(T->UpperLimit == 8);
  CHECK(T->CreatedFor == Beach->Id);
  const Queue *Q = findQueue(C, "beach-filing");
  REQUIRE(Q);
  CHECK(Q->ServedBy == findPool(C, "filing")->Id);
  CHECK(Q->CreatedFor == Beach->Id);
  CHECK(Q->AllowedTeams == std::vector<TeamId>{T->Id});
  CHECK_FALSE(findQueue(C, "harbour-filing"));
}

TEST_CASE("a changed customer keeps its handles and keys") {
  Configuration Before =
      applied(sample(), {GrantKey{"beach", KeyHash{1}, "kiosk"}});
  Configuration After = applied(Before, {rental("beach", 16, {"signing"})});
  CHECK(findTeam(After, "beach")->Id == findTeam(Before, "beach")->Id);
  CHECK(findTeam(After, "beach")->UpperLimit == 16);
  CHECK(findQueue(After, "beach-signing")->Id ==
        findQueue(Before, "beach-signing")->Id);
  CHECK_FALSE(findQueue(After, "beach-filing"));
  CHECK(After.Keys.size() == 1);
}

TEST_CASE("changing a template changes every customer of it") {
  Template T = rentalTemplate();
  T.Parameters[0].Default = 5U;
  Configuration After = applied(sample(), {PutTemplate{T}});
  CHECK(findTeam(After, "beach")->Share == 5);
  CHECK(findTeam(After, "harbour")->Share == 5);
}

TEST_CASE("a template and its customers change together in any order") {
  Template T = rentalTemplate();
  T.Parameters.push_back({"fast", ParameterKind::Boolean, "New", {}});
  std::vector<ConfigEdit> Customers;
  for (const Customer &C : sample().Customers) {
    PutCustomer Edit{C.Name, "rental", C.Arguments};
    Edit.Arguments.push_back({"fast", true});
    Customers.push_back(Edit);
  }
  CHECK(faultsOf(sample(), {PutTemplate{T}, Customers[0], Customers[1]}) == "");
  CHECK(faultsOf(sample(), {PutTemplate{T}, Customers[0]})
            .find("customer 'harbour': is needed") != std::string::npos);
}

TEST_CASE("removing a customer removes its teams, queues and keys") {
  Configuration C = applied(sample(), {GrantKey{"beach", KeyHash{1}, ""}});
  Configuration After = applied(C, {RemoveItem{ItemKind::Customer, "beach"}});
  CHECK_FALSE(findTeam(After, "beach"));
  CHECK_FALSE(findQueue(After, "beach-signing"));
  CHECK(After.Keys.empty());
  CHECK(findTeam(After, "harbour"));
}

TEST_CASE("rejected edits of customers report the reason") {
  const BadEdits Cases[] = {
      {"number above its bound",
       {rental("beach", 65, {"signing"})},
       "limit: customer 'beach': must be from 1 to 64"},
      {"missing argument",
       {PutCustomer{"beach", "rental", {{"limit", 8U}}}},
       "arguments.pools: customer 'beach': is needed"},
      {"unknown argument",
       {withArgument("shrae", 3U)},
       "arguments.shrae: customer 'beach': template 'rental' has no such"},
      {"wrong kind",
       {withArgument("limit", std::string("8"))},
       "must be of kind number"},
      {"a name twice",
       {withArgument("pools", std::vector<std::string>{"signing", "signing"})},
       "'signing' is given twice"},
      {"no names",
       {withArgument("pools", std::vector<std::string>{})},
       "must have from 1 to 8 names"},
      {"unknown pool",
       {rental("beach", 8, {"nowhere"})},
       "there is no pool 'nowhere'"},
      {"unknown template",
       {PutCustomer{"beach", "nothing", {}}},
       "there is no template 'nothing'"},
      {"team of a customer put manually",
       {PutTeam{{{}, "beach", 1, 4, true, {}}}},
       "belongs to customer 'beach'"},
      {"customer with the name of a manually created team",
       {PutTeam{{{}, "pier", 1, 4, true, {}}}, rental("pier", 4, {"signing"})},
       "was created manually"},
      {"team of a customer removed",
       {RemoveItem{ItemKind::Team, "beach"}},
       "belongs to customer 'beach'"},
      {"queue of a customer removed",
       {RemoveItem{ItemKind::Queue, "beach-signing"}},
       "belongs to customer 'beach'"},
      {"queue of a customer put manually",
       {PutQueue{"beach-signing", "filing", false, "", false, {}}},
       "belongs to customer 'beach'"},
      {"template in use",
       {RemoveItem{ItemKind::Template, "rental"}},
       "customer 'beach' is made from template 'rental'"},
      {"pool in use",
       {RemoveItem{ItemKind::Pool, "signing"}},
       "still serves queue"},
      {"unknown customer",
       {RemoveItem{ItemKind::Customer, "pier"}},
       "there is no customer 'pier'"},
      {"all faults at once",
       {rental("Beach", 8, {"signing"}), putPool("?")},
       "edit 1, name: '?'"},
  };
  for (const BadEdits &Case : Cases) {
    CAPTURE(Case.What);
    std::string Faults = faultsOf(sample(), Case.Edits);
    CAPTURE(Faults);
    CHECK(Faults.find(Case.Expected) != std::string::npos);
  }
}

TEST_CASE("an invalid template reports the faulty field") {
  struct Bad {
    const char *What;
    void (*Edit)(Template &);
    const char *Field;
  };
  const Bad Cases[] = {
      {"no team", [](Template &T) { T.Teams.clear(); }, "teams"},
      {"a parameter twice",
       [](Template &T) { T.Parameters.push_back(T.Parameters[0]); },
       "parameters[4]"},
      {"fixed name", [](Template &T) { T.Parameters[3].Name = "each"; },
       "parameters[3].name"},
      {"default out of bounds",
       [](Template &T) { T.Parameters[0].Default = 101U; },
       "parameters[0].default"},
      {"default of another kind",
       [](Template &T) { T.Parameters[0].Default = true; },
       "parameters[0].default"},
      {"no value allowed", [](Template &T) { T.Parameters[1].Least = 65; },
       "parameters[1].least"},
      {"unknown parameter",
       [](Template &T) { T.Teams[0].Share.Parameter = "weight"; },
       "teams[0].share"},
      {"parameter of another kind",
       [](Template &T) { T.Teams[0].Share.Parameter = "limit"; },
       "teams[0].share"},
      {"each without a list", [](Template &T) { T.Queues[0].ForEach.clear(); },
       "queues[0].pool"},
      {"list of another kind",
       [](Template &T) { T.Queues[0].ForEach = "share"; },
       "queues[0].for_each"},
      {"unknown team", [](Template &T) { T.Queues[0].Teams = {"night"}; },
       "queues[0].teams"},
      {"open without a team",
       [](Template &T) { T.Queues[0].OpenTeam = "night"; },
       "queues[0].open_team"},
      {"bad suffix", [](Template &T) { T.Teams[0].Suffix = "A B"; },
       "teams[0].suffix"},
      {"a team twice", [](Template &T) { T.Teams.push_back(T.Teams[0]); },
       "teams[1]"},
  };
  CHECK(checkTemplate(rentalTemplate()).empty());
  for (const Bad &Case : Cases) {
    CAPTURE(Case.What);
    std::vector<FieldFault> Faults = checkTemplate(edited(Case.Edit));
    REQUIRE(!Faults.empty());
    CHECK(std::any_of(Faults.begin(), Faults.end(), [&](const FieldFault &F) {
      return F.Field == Case.Field;
    }));
  }
}

TEST_CASE("keys are granted only to teams with TakesKeys") {
  Template T = rentalTemplate();
  T.Teams[0].TakesKeys.Value = false;
  Configuration C = applied(sample(), {PutTemplate{T}});
  CHECK(
      faultsOf(C, {GrantKey{"beach", KeyHash{1}, ""}}).find("takes no keys") !=
      std::string::npos);
}

TEST_CASE("a change that leaves operators' keys without an administrator is "
          "rejected") {
  Configuration C;
  CHECK(faultsOf(C, {GrantOperatorKey{"reader", Role::Read, KeyHash{1}}}) !=
        "");
  C = applied(C, {GrantOperatorKey{"chief", Role::Administer, KeyHash{1}},
                  GrantOperatorKey{"reader", Role::Read, KeyHash{2}}});
  KeyId Chief = C.OperatorKeys[0].Id;
  CHECK(faultsOf(C, {WithdrawOperatorKey{Chief}}) != "");
  CHECK(faultsOf(C, {GrantOperatorKey{"next", Role::Administer, KeyHash{3}},
                     WithdrawOperatorKey{Chief}}) == "");
}
