#include "core/ConfigEffect.h"
#include "core/TemplateSamples.h"

#include <doctest/doctest.h>

#include <map>

using namespace comfreydeck::core;
using namespace comfreydeck::tests;

// Differential test: applies random histories of template and customer edits,
// and compares the result after each step with a naive model that computes all
// teams and queues from scratch.

namespace {

struct NaiveCustomer {
  std::uint32_t Share = 0;
  std::uint32_t Limit = 0;
  std::vector<std::string> Pools;
};

struct NaiveModel {
  std::uint32_t DefaultShare = 2;
  bool HasNightTeam = false;
  std::map<std::string, NaiveCustomer> Customers;
};

std::string sizesOf(std::uint32_t Share, std::uint32_t Limit) {
  return std::to_string(Share) + "/" + std::to_string(Limit);
}

std::string queueOf(const std::string &Customer, const std::string &Pool) {
  return "queue " + Customer + "-" + Pool;
}

/// The naive model's teams and queues as text.
std::map<std::string, std::string> itemsOf(const NaiveModel &M) {
  std::map<std::string, std::string> Items;
  for (const auto &[Name, C] : M.Customers) {
    std::uint32_t Share = C.Share ? C.Share : M.DefaultShare;
    std::string Teams = Name;
    Items["team " + Name] = sizesOf(Share, C.Limit);
    if (M.HasNightTeam) {
      Items["team " + Name + "-night"] = "1/1";
      Teams.append(",").append(Name).append("-night");
    }
    for (const std::string &Pool : C.Pools)
      Items[queueOf(Name, Pool)] = std::string(Pool).append(" ").append(Teams);
  }
  return Items;
}

std::map<std::string, std::string> itemsOf(const Configuration &C) {
  std::map<std::string, std::string> Items;
  for (const Team &T : C.Teams)
    Items["team " + T.Name] = sizesOf(T.Share, T.UpperLimit);
  for (const Queue &Q : C.Queues) {
    std::string Teams;
    for (TeamId Id : Q.AllowedTeams)
      Teams += (Teams.empty() ? "" : ",") + findTeam(C, Id)->Name;
    Items["queue " + Q.Name] = findPool(C, Q.ServedBy)->Name + " " + Teams;
  }
  return Items;
}

std::map<std::string, std::uint32_t> handlesOf(const Configuration &C) {
  std::map<std::string, std::uint32_t> Handles;
  for (const ItemText &Item : describe(C))
    Handles[std::string(nameOf(Item.What)) + " " + Item.Name] = Item.Id;
  return Handles;
}

std::uint32_t below(Rng &Random, std::uint32_t Most) {
  return static_cast<std::uint32_t>(Random() % Most);
}

ConfigEdit randomTemplate(Rng &Random, NaiveModel &M) {
  M.DefaultShare = 1 + below(Random, 9);
  M.HasNightTeam = below(Random, 2) == 1;
  Template T = rentalTemplate();
  T.Parameters[0].Default = M.DefaultShare;
  if (M.HasNightTeam) {
    TeamPattern Night;
    Night.Suffix = "night";
    Night.UpperLimit.Value = 1;
    T.Teams.push_back(Night);
  }
  return PutTemplate{T};
}

ConfigEdit randomCustomer(Rng &Random, NaiveModel &M) {
  const char *Names[] = {"beach", "harbour", "pier", "lagoon"};
  const char *Pools[] = {"p0", "p1", "p2"};
  NaiveCustomer C;
  C.Share = below(Random, 2) * (1 + below(Random, 50));
  C.Limit = 1 + below(Random, 64);
  for (const char *Pool : Pools)
    if (below(Random, 2) == 1)
      C.Pools.emplace_back(Pool);
  if (C.Pools.empty())
    C.Pools.emplace_back("p0");
  const char *Name = Names[below(Random, 4)];
  PutCustomer Edit = rental(Name, C.Limit, C.Pools);
  if (C.Share)
    Edit.Arguments.push_back({"share", C.Share});
  M.Customers[Name] = C;
  return Edit;
}

ConfigEdit randomEdit(Rng &Random, NaiveModel &M) {
  std::uint32_t Kind = below(Random, 10);
  if (Kind < 2)
    return randomTemplate(Random, M);
  if (Kind == 2 && !M.Customers.empty()) {
    std::string Name = M.Customers.begin()->first;
    M.Customers.erase(Name);
    return RemoveItem{ItemKind::Customer, Name};
  }
  return randomCustomer(Random, M);
}

/// Checks that every item present before and after has the same handle.
void checkHandles(const Configuration &Before, const Configuration &After) {
  std::map<std::string, std::uint32_t> Old = handlesOf(Before);
  for (const auto &Present : handlesOf(After)) {
    CAPTURE(Present.first);
    if (Old.contains(Present.first))
      CHECK(Old[Present.first] == Present.second);
  }
}

void runHistory(std::uint64_t Seed) {
  constexpr int Steps = 40;
  CAPTURE(Seed);
  Rng Random(Seed);
  NaiveModel M;
  Configuration C = applied({}, {putPool("p0"), putPool("p1"), putPool("p2"),
                                 PutTemplate{rentalTemplate()}});
  for (int Step = 0; Step < Steps; ++Step) {
    CAPTURE(Step);
    std::vector<ConfigEdit> Edits;
    for (std::uint32_t Count = 1 + below(Random, 3); Count > 0; --Count)
      Edits.push_back(randomEdit(Random, M));
    Configuration Next = applied(C, Edits);
    REQUIRE(itemsOf(Next) == itemsOf(M));
    if (Edits.size() == 1)
      checkHandles(C, Next);
    C = std::move(Next);
  }
}

} // namespace

TEST_CASE("expansion matches a naive model over random histories") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed)
    runHistory(Seed);
}
