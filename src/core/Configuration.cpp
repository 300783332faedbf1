#include "core/Configuration.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

template <typename T>
const T *findByName(const std::vector<T> &Items, std::string_view Name) {
  auto It = std::find_if(Items.begin(), Items.end(),
                         [&](const T &Item) { return Item.Name == Name; });
  return It == Items.end() ? nullptr : &*It;
}

template <typename T, typename Id>
const T *findById(const std::vector<T> &Items, Id Wanted) {
  auto It = std::find_if(Items.begin(), Items.end(),
                         [&](const T &Item) { return Item.Id == Wanted; });
  return It == Items.end() ? nullptr : &*It;
}

} // namespace

const DataCentre *findDataCentre(const Configuration &C,
                                 std::string_view Name) {
  return findByName(C.DataCentres, Name);
}

const Pool *findPool(const Configuration &C, std::string_view Name) {
  return findByName(C.Pools, Name);
}

const Team *findTeam(const Configuration &C, std::string_view Name) {
  return findByName(C.Teams, Name);
}

const Queue *findQueue(const Configuration &C, std::string_view Name) {
  return findByName(C.Queues, Name);
}

const DataCentre *findDataCentre(const Configuration &C, DataCentreId Id) {
  return findById(C.DataCentres, Id);
}

const Pool *findPool(const Configuration &C, PoolId Id) {
  return findById(C.Pools, Id);
}

const Team *findTeam(const Configuration &C, TeamId Id) {
  return findById(C.Teams, Id);
}

const Queue *findQueue(const Configuration &C, QueueId Id) {
  return findById(C.Queues, Id);
}

const Template *findTemplate(const Configuration &C, std::string_view Name) {
  return findByName(C.Templates, Name);
}

const Customer *findCustomer(const Configuration &C, std::string_view Name) {
  return findByName(C.Customers, Name);
}

const Template *findTemplate(const Configuration &C, TemplateId Id) {
  return findById(C.Templates, Id);
}

const Customer *findCustomer(const Configuration &C, CustomerId Id) {
  return findById(C.Customers, Id);
}

bool mayUse(const Queue &Q, TeamId Id) {
  if (Q.AllowedTeams.empty())
    return true;
  auto It = std::find(Q.AllowedTeams.begin(), Q.AllowedTeams.end(), Id);
  return It != Q.AllowedTeams.end();
}

} // namespace comfreydeck::core
