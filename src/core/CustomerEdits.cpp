#include "core/ConfigEdits_p.h"
#include "core/ConfigLimits.h"
#include "core/Names.h"

#include <set>
#include <utility>

namespace comfreydeck::core::detail {

namespace {

void faults(EditContext &E, const std::string &Prefix,
            const std::vector<FieldFault> &Found) {
  for (const FieldFault &F : Found)
    fault(E, F.Field, Prefix + F.Message);
}

/// Whether the name is free or the item of that name belongs to customer
/// \p For; otherwise records a fault.
template <typename T>
bool checkNameAvailable(EditContext &E, const T *Present, const Customer &For,
                        const char *What) {
  if (!Present || Present->CreatedFor == For.Id)
    return true;
  const Customer *Owner = findCustomer(E.Config, Present->CreatedFor);
  fault(E, "name",
        std::string(What) + " '" + Present->Name + "' " +
            (Owner ? "belongs to customer '" + Owner->Name + "'"
                   : "was created manually") +
            ", so customer '" + For.Name + "' can't use this name");
  return false;
}

void putTeam(EditContext &E, const ExpandedTeam &Expanded,
             const Customer &For) {
  if (!isName(Expanded.Name))
    return fault(E, "name",
                 "team '" + Expanded.Name + "' " + std::string(NameRule));
  if (!checkNameAvailable(E, findTeam(E.Config, Expanded.Name), For, "team"))
    return;
  Team T;
  T.Name = Expanded.Name;
  T.Share = Expanded.Share;
  T.UpperLimit = Expanded.UpperLimit;
  T.TakesKeys = Expanded.TakesKeys;
  T.CreatedFor = For.Id;
  put(E, E.Config.Teams, std::move(T), MaxTeams);
}

void putOwnQueue(EditContext &E, const ExpandedQueue &Expanded,
                 const Customer &For) {
  if (!isName(Expanded.Name))
    return fault(E, "name",
                 "queue '" + Expanded.Name + "' " + std::string(NameRule));
  if (checkNameAvailable(E, findQueue(E.Config, Expanded.Name), For, "queue"))
    putQueue(E, Expanded, For.Id);
}

template <typename T> std::set<std::string> namesOf(const std::vector<T> &All) {
  std::set<std::string> Names;
  for (const T &Item : All)
    Names.insert(Item.Name);
  return Names;
}

void removeObsoleteQueues(EditContext &E, CustomerId Id,
                          const Expansion &Expanded) {
  std::set<std::string> Kept = namesOf(Expanded.Queues);
  std::erase_if(E.Config.Queues, [&](const Queue &Q) {
    return Q.CreatedFor == Id && !Kept.contains(Q.Name);
  });
}

void removeObsoleteTeams(EditContext &E, CustomerId Id,
                         const Expansion &Expanded) {
  std::set<std::string> Kept = namesOf(Expanded.Teams);
  std::vector<TeamId> Leaving;
  for (const Team &T : E.Config.Teams)
    if (T.CreatedFor == Id && !Kept.contains(T.Name))
      Leaving.push_back(T.Id);
  for (TeamId Team : Leaving)
    removeTeam(E, Team);
}

/// Records a fault for each queue name that occurs twice. Templates are checked
/// for duplicates on their own, but a customer's arguments can still produce
/// one.
void checkUniqueQueueNames(EditContext &E, const Expansion &Expanded) {
  std::set<std::string> Seen;
  for (const ExpandedQueue &Q : Expanded.Queues)
    if (!Seen.insert(Q.Name).second)
      fault(E, "name", "queue '" + Q.Name + "' would be created twice");
}

} // namespace

void expandCustomer(EditContext &E, CustomerId Id) {
  const Customer For = *findCustomer(E.Config, Id);
  const Template &From = *findTemplate(E.Config, For.MadeFrom);
  std::vector<FieldFault> Wrong = checkArguments(From, For);
  if (!Wrong.empty())
    return faults(E, "customer '" + For.Name + "': ", Wrong);
  Expansion Expanded = expand(From, For);
  checkUniqueQueueNames(E, Expanded);
  removeObsoleteQueues(E, Id, Expanded);
  for (const ExpandedTeam &Team : Expanded.Teams)
    putTeam(E, Team, For);
  for (const ExpandedQueue &Queue : Expanded.Queues)
    putOwnQueue(E, Queue, For);
  removeObsoleteTeams(E, Id, Expanded);
}

void expandStaleCustomers(EditContext &E) {
  std::size_t Present = E.Index;
  for (const auto &[Id, Edit] : std::exchange(E.Stale, {})) {
    E.Index = Edit;
    expandCustomer(E, Id);
  }
  E.Index = Present;
}

void edit(EditContext &E, const PutTemplate &Edit) {
  checkName(E, Edit.Item.Name);
  std::vector<FieldFault> Wrong = checkTemplate(Edit.Item);
  if (!Wrong.empty())
    return faults(E, "", Wrong);
  put(E, E.Config.Templates, Edit.Item, MaxTemplates);
  const Template *Present = findTemplate(E.Config, Edit.Item.Name);
  if (!Present)
    return;
  for (const Customer &C : E.Config.Customers)
    if (C.MadeFrom == Present->Id)
      E.Stale[C.Id] = E.Index;
}

void edit(EditContext &E, const PutCustomer &Edit) {
  checkName(E, Edit.Name);
  const Template *From = require(E, findTemplate(E.Config, Edit.Template),
                                 "template", "template", Edit.Template);
  if (!From)
    return;
  Customer C;
  C.Name = Edit.Name;
  C.MadeFrom = From->Id;
  C.Arguments = Edit.Arguments;
  std::sort(
      C.Arguments.begin(), C.Arguments.end(),
      [](const Argument &A, const Argument &B) { return A.Name < B.Name; });
  auto Duplicate = std::adjacent_find(
      C.Arguments.begin(), C.Arguments.end(),
      [](const Argument &A, const Argument &B) { return A.Name == B.Name; });
  if (Duplicate != C.Arguments.end())
    return fault(E, "arguments." + Duplicate->Name, "is given twice");
  put(E, E.Config.Customers, std::move(C), MaxCustomers);
  if (const Customer *Present = findCustomer(E.Config, Edit.Name))
    E.Stale[Present->Id] = E.Index;
}

} // namespace comfreydeck::core::detail
