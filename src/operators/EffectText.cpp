#include "operators/EffectText_p.h"

#include "operators/TextTable.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <map>
#include <set>

namespace comfreydeck::operators::detail {

using nlohmann::json;

namespace {

std::string text(const json &J, const char *Field) {
  return J.value(Field, std::string());
}

std::string itemsText(const json &Items) {
  TextTable Table{
      {"effect", "kind", "name", "customer", "field", "before", "after"}, {}};
  for (const json &Item : Items) {
    std::vector<std::string> Head = {text(Item, "effect"), text(Item, "kind"),
                                     text(Item, "name"),
                                     text(Item, "customer")};
    if (text(Item, "effect") == "removed") {
      Table.Rows.push_back({Head[0], Head[1], Head[2], Head[3], "", "", ""});
      continue;
    }
    for (const json &F : Item.at("fields"))
      Table.Rows.push_back({Head[0], Head[1], Head[2], Head[3],
                            text(F, "field"), text(F, "before"),
                            text(F, "after")});
  }
  return format(Table);
}

/// Returns the teams in one state of a pool (before or after a change), by
/// name.
std::map<std::string, json> teamsOf(const json &Pool) {
  std::map<std::string, json> Teams;
  if (!Pool.is_null())
    for (const json &T : Pool.at("teams"))
      Teams[text(T, "team")] = T;
  return Teams;
}

std::string numberText(const std::map<std::string, json> &Teams,
                       const std::string &Team, const char *Field) {
  auto It = Teams.find(Team);
  if (It == Teams.end())
    return {};
  return slotsText(It->second.at(Field).get<double>());
}

std::string poolsText(const json &Pools) {
  TextTable Table{{"pool", "slots", "team", "share before", "after",
                   "upper limit before", "after", "owed slots before", "after"},
                  {}};
  for (const json &Pool : Pools) {
    const json &Latest =
        Pool.at("after").is_null() ? Pool.at("before") : Pool.at("after");
    std::map<std::string, json> Before = teamsOf(Pool.at("before"));
    std::map<std::string, json> After = teamsOf(Pool.at("after"));
    std::set<std::string> Names;
    for (const auto &[Name, Team] : Before)
      Names.insert(Name);
    for (const auto &[Name, Team] : After)
      Names.insert(Name);
    for (const std::string &Name : Names) {
      std::vector<std::string> Row = {text(Latest, "pool"),
                                      Latest.at("slots").dump(), Name};
      for (const char *Field : {"share", "upper_limit", "owed_slots"}) {
        Row.push_back(numberText(Before, Name, Field));
        Row.push_back(numberText(After, Name, Field));
      }
      Table.Rows.push_back(std::move(Row));
    }
  }
  return Table.Rows.empty() ? std::string()
                            : "\nwhen all is full:\n" + format(Table);
}

std::string budgetsText(const json &Pools) {
  std::string Text;
  for (const json &Pool : Pools) {
    const json &Before = Pool.at("before");
    const json &After = Pool.at("after");
    if (Before.is_null() || After.is_null())
      continue;
    for (const char *Field : {"absent_limit", "absent_limit_per_domain"})
      if (Before.at(Field) != After.at(Field))
        Text += "budget of pool " + text(After, "pool") + ": " + Field + " " +
                Before.at(Field).dump() + " becomes " + After.at(Field).dump() +
                "\n";
  }
  return Text.empty() ? Text : "\n" + Text;
}

std::string customersText(const json &Customers) {
  std::string Names;
  for (const json &Name : Customers)
    Names += (Names.empty() ? "" : ", ") + Name.get<std::string>();
  return Names.empty() ? Names : "\ncustomers touched: " + Names + "\n";
}

} // namespace

std::string slotsText(double Slots) {
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%.2f", Slots);
  std::string Trimmed = Text;
  while (Trimmed.back() == '0')
    Trimmed.pop_back();
  if (Trimmed.back() == '.')
    Trimmed.pop_back();
  return Trimmed;
}

std::string effectText(const json &Effect) {
  if (Effect.at("items").empty())
    return "this changes nothing\n";
  return itemsText(Effect.at("items")) + poolsText(Effect.at("pools")) +
         budgetsText(Effect.at("pools")) +
         customersText(Effect.at("customers")) + "\n";
}

} // namespace comfreydeck::operators::detail
