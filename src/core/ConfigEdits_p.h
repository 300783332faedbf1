#ifndef COMFREYDECK_CORE_CONFIGEDITS_P_H
#define COMFREYDECK_CORE_CONFIGEDITS_P_H

#include "core/ConfigChange.h"

#include <algorithm>
#include <map>

/// One change on its way through its edits.
namespace comfreydeck::core::detail {

struct Editing {
  Configuration &Config;
  std::vector<ConfigFault> &Faults;
  /// The present edit.
  std::size_t Index = 0;
  /// Customers whose template has changed, and the edit that changed it.
  std::map<CustomerId, std::size_t> Stale;
};

/// Notes a fault of the present edit.
void fault(Editing &E, std::string Field, std::string Message);

/// Each notes a fault and returns false where the value is not allowed.
bool checkName(Editing &E, const std::string &Name);
bool checkBound(Editing &E, const char *Field, std::uint32_t Value,
                std::uint32_t Least, std::uint32_t Most);

/// Notes a fault where an item of that kind is not there.
template <typename T>
const T *require(Editing &E, const T *Found, const char *Field,
                 const char *What, const std::string &Name) {
  if (!Found)
    fault(E, Field, std::string("there is no ") + What + " '" + Name + "'");
  return Found;
}

/// Puts \p Item in the place of the one with its name, or adds it.
template <typename T>
void put(Editing &E, std::vector<T> &Items, T Item, std::size_t Most) {
  auto It = std::find_if(Items.begin(), Items.end(), [&](const T &Present) {
    return Present.Name == Item.Name;
  });
  if (It != Items.end()) {
    Item.Id = It->Id;
    *It = std::move(Item);
    return;
  }
  if (Items.size() >= Most)
    return fault(E, "name",
                 "there may be at most " + std::to_string(Most) + " of these");
  Item.Id.Value = E.Config.NextId++;
  Items.push_back(std::move(Item));
}

/// Turns the names of a queue into handles and puts it.
void putQueue(Editing &E, const ExpandedQueue &Names, CustomerId MadeBy);

/// Takes a team out with its keys and its place on queues.
void removeTeam(Editing &E, TeamId Id);

/// Expands a customer and puts what it comes to in the place of what it had.
void realize(Editing &E, CustomerId Id);

/// Expands all customers whose template has changed.
void realizeStale(Editing &E);

void edit(Editing &E, const PutTemplate &Edit);
void edit(Editing &E, const PutCustomer &Edit);
void edit(Editing &E, const RemoveItem &Edit);

} // namespace comfreydeck::core::detail

#endif // COMFREYDECK_CORE_CONFIGEDITS_P_H
