#include "core/ConfigEffect.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace comfreydeck::core {

namespace {

constexpr std::array<std::string_view, 8> SubjectNames = {
    "datacentre", "pool",         "team",     "queue",
    "key",        "operator-key", "template", "customer"};
constexpr std::array<std::string_view, 3> EffectNames = {"added", "changed",
                                                         "removed"};

using ItemKey = std::pair<Subject, std::uint32_t>;

std::map<ItemKey, ItemText> byKey(const Configuration &C) {
  std::map<ItemKey, ItemText> Items;
  for (ItemText &Item : describe(C))
    Items.emplace(ItemKey(Item.What, Item.Id), std::move(Item));
  return Items;
}

std::string valueIn(const ItemText &Item, const std::string &Field) {
  for (const FieldText &F : Item.Fields)
    if (F.Field == Field)
      return F.Value;
  return {};
}

/// The names of the fields on either side, without duplicates: those of
/// \p Before first.
std::vector<std::string> fieldsOf(const ItemText &Before,
                                  const ItemText &After) {
  std::vector<std::string> Fields;
  for (const ItemText *Side : {&Before, &After})
    for (const FieldText &F : Side->Fields)
      if (std::find(Fields.begin(), Fields.end(), F.Field) == Fields.end())
        Fields.push_back(F.Field);
  return Fields;
}

/// Compares two versions of an item. An item without fields does not exist in
/// that version.
ItemEffect compare(const ItemText &Before, const ItemText &After) {
  bool IsAdded = Before.Fields.empty();
  const ItemText &Present = After.Fields.empty() ? Before : After;
  ItemEffect Effect;
  if (IsAdded)
    Effect.How = EffectKind::Added;
  else if (After.Fields.empty())
    Effect.How = EffectKind::Removed;
  Effect.What = Present.What;
  Effect.Name = Present.Name;
  Effect.Customer = Present.Customer;
  for (const std::string &Field : fieldsOf(Before, After)) {
    std::string Old = valueIn(Before, Field);
    std::string New = valueIn(After, Field);
    if (Old != New)
      Effect.Fields.push_back({Field, std::move(Old), std::move(New)});
  }
  return Effect;
}

/// The teams that may use at least one queue of the pool.
std::set<TeamId> teamsOf(const Configuration &C, PoolId Pool) {
  std::set<TeamId> Teams;
  for (const Queue &Q : C.Queues) {
    if (Q.ServedBy != Pool)
      continue;
    if (Q.Open)
      Teams.insert(Q.OpenTeam);
    Teams.insert(Q.AllowedTeams.begin(), Q.AllowedTeams.end());
    if (Q.AllowedTeams.empty() && !Q.Open)
      for (const Team &T : C.Teams)
        Teams.insert(T.Id);
  }
  return Teams;
}

} // namespace

std::string_view nameOf(Subject What) {
  return SubjectNames.at(static_cast<std::size_t>(What));
}

std::string_view nameOf(EffectKind How) {
  return EffectNames.at(static_cast<std::size_t>(How));
}

std::vector<ItemEffect> effectOf(const Configuration &Before,
                                 const Configuration &After) {
  std::map<ItemKey, ItemText> Old = byKey(Before);
  std::map<ItemKey, ItemText> New = byKey(After);
  std::set<ItemKey> Keys;
  for (const auto &[Key, Item] : Old)
    Keys.insert(Key);
  for (const auto &[Key, Item] : New)
    Keys.insert(Key);
  std::vector<ItemEffect> Effects;
  for (const ItemKey &Key : Keys) {
    ItemEffect Effect = compare(Old[Key], New[Key]);
    bool IsSame = Effect.How == EffectKind::Changed && Effect.Fields.empty();
    if (!IsSame)
      Effects.push_back(std::move(Effect));
  }
  return Effects;
}

std::vector<TeamShare> sharesOf(const Configuration &C, PoolId Pool) {
  std::vector<TeamShare> Shares;
  double Sum = 0;
  for (TeamId Id : teamsOf(C, Pool)) {
    const Team &T = *findTeam(C, Id);
    Shares.push_back({Id, T.Share, 0, T.UpperLimit});
    Sum += T.Share;
  }
  for (TeamShare &S : Shares)
    S.Entitled = S.Share / Sum;
  return Shares;
}

std::vector<double> entitledSlots(std::span<const TeamShare> Shares,
                                  std::uint32_t Slots) {
  std::vector<double> Entitled(Shares.size(), 0);
  std::vector<bool> AtLimit(Shares.size(), false);
  // Each round but the last caps at least one more team at its limit.
  for (bool Changed = true; Changed;) {
    Changed = false;
    double Left = Slots;
    double Sum = 0;
    for (std::size_t I = 0; I < Shares.size(); ++I)
      (AtLimit[I] ? Left -= Entitled[I] : Sum += Shares[I].Share);
    for (std::size_t I = 0; I < Shares.size(); ++I) {
      if (AtLimit[I])
        continue;
      Entitled[I] = Left * Shares[I].Share / Sum;
      if (Entitled[I] <= Shares[I].UpperLimit)
        continue;
      Entitled[I] = Shares[I].UpperLimit;
      AtLimit[I] = true;
      Changed = true;
    }
  }
  return Entitled;
}

} // namespace comfreydeck::core
