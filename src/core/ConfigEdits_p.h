#ifndef COMFREYDECK_CORE_CONFIGEDITS_P_H
#define COMFREYDECK_CORE_CONFIGEDITS_P_H

#include "core/ConfigChange.h"

#include <algorithm>
#include <map>

/// Helpers that apply the edits of one configuration change.
namespace comfreydeck::core::detail {

/// State shared by the edits of one change.
struct EditContext {
  Configuration &Config;
  std::vector<ConfigFault> &Faults;
  /// Index of the edit being applied.
  std::size_t Index = 0;
  /// Customers that have to be expanded again, and the edit that caused it.
  std::map<CustomerId, std::size_t> Stale;
};

/// Records a fault of the current edit.
void fault(EditContext &E, std::string Field, std::string Message);

/// Each returns false and records a fault if the value is not allowed.
bool checkName(EditContext &E, const std::string &Name);
bool checkBound(EditContext &E, const char *Field, std::uint32_t Value,
                std::uint32_t Least, std::uint32_t Most);

/// Returns \p Found, the item of kind \p What named \p Name, and records a
/// fault if it is null.
template <typename T>
const T *require(EditContext &E, const T *Found, const char *Field,
                 const char *What, const std::string &Name) {
  if (!Found)
    fault(E, Field, std::string("there is no ") + What + " '" + Name + "'");
  return Found;
}

/// Replaces the item of the same name, keeping its handle, or adds \p Item.
/// Records a fault if there are \p Most items already.
template <typename T>
void put(EditContext &E, std::vector<T> &Items, T Item, std::size_t Most) {
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
                 "there may be at most " + std::to_string(Most) +
                     " of this kind");
  Item.Id.Value = E.Config.NextId++;
  Items.push_back(std::move(Item));
}

/// Resolves the names in a queue to handles and adds or replaces the queue.
void putQueue(EditContext &E, const ExpandedQueue &Names,
              CustomerId CreatedFor);

/// Removes a team, its keys and its entries in the queues' team lists.
void removeTeam(EditContext &E, TeamId Id);

/// Expands a customer and replaces its teams and queues by the result.
void expandCustomer(EditContext &E, CustomerId Id);

/// Expands all customers in \ref EditContext::Stale.
void expandStaleCustomers(EditContext &E);

void edit(EditContext &E, const PutTemplate &Edit);
void edit(EditContext &E, const PutCustomer &Edit);
void edit(EditContext &E, const RemoveItem &Edit);

} // namespace comfreydeck::core::detail

#endif // COMFREYDECK_CORE_CONFIGEDITS_P_H
