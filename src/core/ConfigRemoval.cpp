#include "core/ConfigEdits_p.h"

namespace comfreydeck::core::detail {

namespace {

template <typename T, typename Id>
void eraseById(std::vector<T> &Items, Id Wanted) {
  std::erase_if(Items, [&](const T &Item) { return Item.Id == Wanted; });
}

/// Returns null and records a fault if the item does not exist or belongs to a
/// customer.
template <typename T>
const T *requireCreatedManually(EditContext &E, const T *Found,
                                const char *What, const std::string &Name) {
  if (!require(E, Found, "name", What, Name))
    return nullptr;
  const Customer *Owner = findCustomer(E.Config, Found->CreatedFor);
  if (!Owner)
    return Found;
  fault(E, "name",
        std::string(What) + " '" + Name + "' belongs to customer '" +
            Owner->Name + "'; change or remove the customer");
  return nullptr;
}

void removeDataCentre(EditContext &E, const std::string &Name) {
  if (const DataCentre *D = require(E, findDataCentre(E.Config, Name), "name",
                                    "data centre", Name))
    eraseById(E.Config.DataCentres, DataCentreId(D->Id));
}

void removePool(EditContext &E, const std::string &Name) {
  const Pool *P = require(E, findPool(E.Config, Name), "name", "pool", Name);
  if (!P)
    return;
  for (const Queue &Q : E.Config.Queues)
    if (Q.ServedBy == P->Id)
      return fault(E, "name",
                   "pool '" + Name + "' still serves queue '" + Q.Name + "'");
  eraseById(E.Config.Pools, PoolId(P->Id));
}

void removeQueue(EditContext &E, const std::string &Name) {
  if (const Queue *Q =
          requireCreatedManually(E, findQueue(E.Config, Name), "queue", Name))
    eraseById(E.Config.Queues, QueueId(Q->Id));
}

void removeTemplate(EditContext &E, const std::string &Name) {
  const Template *T =
      require(E, findTemplate(E.Config, Name), "name", "template", Name);
  if (!T)
    return;
  for (const Customer &C : E.Config.Customers)
    if (C.MadeFrom == T->Id)
      return fault(E, "name",
                   "customer '" + C.Name + "' is made from template '" + Name +
                       "'");
  eraseById(E.Config.Templates, TemplateId(T->Id));
}

void removeCustomer(EditContext &E, const std::string &Name) {
  const Customer *Found =
      require(E, findCustomer(E.Config, Name), "name", "customer", Name);
  if (!Found)
    return;
  CustomerId Id = Found->Id;
  std::erase_if(E.Config.Queues,
                [&](const Queue &Q) { return Q.CreatedFor == Id; });
  std::vector<TeamId> Leaving;
  for (const Team &T : E.Config.Teams)
    if (T.CreatedFor == Id)
      Leaving.push_back(T.Id);
  for (TeamId Team : Leaving)
    removeTeam(E, Team);
  eraseById(E.Config.Customers, Id);
}

} // namespace

void removeTeam(EditContext &E, TeamId Id) {
  const std::string Name = findTeam(E.Config, Id)->Name;
  for (Queue &Q : E.Config.Queues) {
    if (Q.Open && Q.OpenTeam == Id)
      return fault(E, "name",
                   "open queue '" + Q.Name + "' is still accounted to team '" +
                       Name + "'");
    bool WasAllowed = std::erase(Q.AllowedTeams, Id) > 0;
    // An empty list would allow every team.
    if (WasAllowed && Q.AllowedTeams.empty())
      return fault(E, "name",
                   "team '" + Name + "' is the last team allowed on queue '" +
                       Q.Name + "'");
  }
  std::erase_if(E.Config.Keys, [&](const Key &K) { return K.Owner == Id; });
  eraseById(E.Config.Teams, Id);
}

void edit(EditContext &E, const RemoveItem &Edit) {
  switch (Edit.Kind) {
  case ItemKind::DataCentre:
    return removeDataCentre(E, Edit.Name);
  case ItemKind::Pool:
    return removePool(E, Edit.Name);
  case ItemKind::Team:
    if (const Team *T = requireCreatedManually(E, findTeam(E.Config, Edit.Name),
                                               "team", Edit.Name))
      removeTeam(E, T->Id);
    return;
  case ItemKind::Queue:
    return removeQueue(E, Edit.Name);
  case ItemKind::Template:
    return removeTemplate(E, Edit.Name);
  case ItemKind::Customer:
    return removeCustomer(E, Edit.Name);
  }
}

} // namespace comfreydeck::core::detail
