#include "core/ConfigChange.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::uint32_t MaxShare = 1000000;
constexpr std::uint32_t MaxUpperLimit = 10000000;

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-' ||
         C == '_' || C == '.';
}

void checkName(const std::string &Name, const char *What) {
  bool Good = !Name.empty() && Name.size() <= MaxNameBytes &&
              std::all_of(Name.begin(), Name.end(), isNameCharacter);
  if (!Good)
    throw ConfigError(std::string(What) + " name '" + Name +
                      "' must have 1 to 64 of a-z, 0-9, '-', '_' and '.'");
}

void checkBound(std::uint32_t Value, std::uint32_t Least, std::uint32_t Most,
                const std::string &What) {
  if (Value < Least || Value > Most)
    throw ConfigError(What + " must be from " + std::to_string(Least) + " to " +
                      std::to_string(Most));
}

/// Puts \p Item in the place of the one with its name, or adds it.
template <typename T>
void put(Configuration &C, std::vector<T> &Items, T Item) {
  auto It = std::find_if(Items.begin(), Items.end(), [&](const T &Present) {
    return Present.Name == Item.Name;
  });
  if (It != Items.end()) {
    Item.Id = It->Id;
    *It = std::move(Item);
    return;
  }
  Item.Id.Value = C.NextId++;
  Items.push_back(std::move(Item));
}

template <typename T>
const T &require(const T *Found, const char *What, const std::string &Name) {
  if (!Found)
    throw ConfigError(std::string("there is no ") + What + " '" + Name + "'");
  return *Found;
}

template <typename T> void withdraw(std::vector<T> &Keys, KeyId Id) {
  if (std::erase_if(Keys, [&](const T &K) { return K.Id == Id; }) == 0)
    throw ConfigError("there is no key " + std::to_string(Id.Value));
}

void edit(Configuration &C, const PutDataCentre &E) {
  checkName(E.Item.Name, "data centre");
  put(C, C.DataCentres, E.Item);
}

void edit(Configuration &C, const PutPool &E) {
  checkName(E.Item.Name, "pool");
  put(C, C.Pools, E.Item);
}

void edit(Configuration &C, const PutTeam &E) {
  checkName(E.Item.Name, "team");
  checkBound(E.Item.Share, 1, MaxShare, "share of team " + E.Item.Name);
  checkBound(E.Item.UpperLimit, 0, MaxUpperLimit,
             "upper limit of team " + E.Item.Name);
  put(C, C.Teams, E.Item);
}

void edit(Configuration &C, const PutQueue &E) {
  checkName(E.Name, "queue");
  Queue Q;
  Q.Name = E.Name;
  Q.ServedBy = require(findPool(C, E.Pool), "pool", E.Pool).Id;
  Q.Open = E.Open;
  if (E.Open)
    Q.OpenTeam = require(findTeam(C, E.OpenTeam), "team", E.OpenTeam).Id;
  Q.IdempotentByDefault = E.IdempotentByDefault;
  for (const std::string &Name : E.AllowedTeams)
    Q.AllowedTeams.push_back(require(findTeam(C, Name), "team", Name).Id);
  put(C, C.Queues, std::move(Q));
}

void edit(Configuration &C, const GrantKey &E) {
  Key K;
  K.Owner = require(findTeam(C, E.Team), "team", E.Team).Id;
  K.Hash = E.Hash;
  K.Id.Value = C.NextId++;
  C.Keys.push_back(K);
}

void edit(Configuration &C, const WithdrawKey &E) { withdraw(C.Keys, E.Id); }

void edit(Configuration &C, const GrantOperatorKey &E) {
  checkName(E.Name, "operator");
  OperatorKey K;
  K.Name = E.Name;
  K.Allowed = E.Allowed;
  K.Hash = E.Hash;
  K.Id.Value = C.NextId++;
  C.OperatorKeys.push_back(std::move(K));
}

void edit(Configuration &C, const WithdrawOperatorKey &E) {
  withdraw(C.OperatorKeys, E.Id);
}

template <typename T>
void eraseByName(std::vector<T> &Items, const std::string &Name,
                 const char *What) {
  if (std::erase_if(Items, [&](const T &I) { return I.Name == Name; }) == 0)
    throw ConfigError(std::string("there is no ") + What + " '" + Name + "'");
}

void removePool(Configuration &C, const std::string &Name) {
  PoolId Id = require(findPool(C, Name), "pool", Name).Id;
  for (const Queue &Q : C.Queues)
    if (Q.ServedBy == Id)
      throw ConfigError("pool '" + Name + "' still serves queue '" + Q.Name +
                        "'");
  eraseByName(C.Pools, Name, "pool");
}

void removeTeam(Configuration &C, const std::string &Name) {
  TeamId Id = require(findTeam(C, Name), "team", Name).Id;
  for (Queue &Q : C.Queues) {
    if (Q.Open && Q.OpenTeam == Id)
      throw ConfigError("open queue '" + Q.Name + "' still counts for team '" +
                        Name + "'");
    bool WasAllowed = std::erase(Q.AllowedTeams, Id) > 0;
    // An empty list would let every team in.
    if (WasAllowed && Q.AllowedTeams.empty())
      throw ConfigError("team '" + Name + "' is the last one on queue '" +
                        Q.Name + "'");
  }
  std::erase_if(C.Keys, [&](const Key &K) { return K.Owner == Id; });
  eraseByName(C.Teams, Name, "team");
}

void edit(Configuration &C, const RemoveItem &E) {
  switch (E.Kind) {
  case ItemKind::DataCentre:
    return eraseByName(C.DataCentres, E.Name, "data centre");
  case ItemKind::Pool:
    return removePool(C, E.Name);
  case ItemKind::Team:
    return removeTeam(C, E.Name);
  case ItemKind::Queue:
    return eraseByName(C.Queues, E.Name, "queue");
  }
}

/// Marks the teams whose upper limits are not as they were.
void markLimitChanges(const Configuration &Before, Configuration &After) {
  for (Team &T : After.Teams) {
    const Team *Old = findTeam(Before, T.Id);
    bool Same = Old && Old->UpperLimit == T.UpperLimit;
    T.LimitSince = Same ? Old->LimitSince : After.Version;
  }
}

} // namespace

Configuration apply(const Configuration &Before, const ConfigChange &Change) {
  if (Change.Version.Value != Before.Version.Value + 1)
    throw ConfigError("change " + std::to_string(Change.Version.Value) +
                      " does not follow version " +
                      std::to_string(Before.Version.Value));
  Configuration After = Before;
  for (const ConfigEdit &Edit : Change.Edits)
    std::visit([&](const auto &E) { edit(After, E); }, Edit);
  After.Version = Change.Version;
  markLimitChanges(Before, After);
  return After;
}

} // namespace comfreydeck::core
