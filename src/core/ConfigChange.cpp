#include "core/ConfigChange.h"

#include "core/ConfigEdits_p.h"
#include "core/ConfigLimits.h"
#include "core/Names.h"

namespace comfreydeck::core {

namespace detail {

void fault(EditContext &E, std::string Field, std::string Message) {
  E.Faults.push_back({E.Index, std::move(Field), std::move(Message)});
}

bool checkName(EditContext &E, const std::string &Name) {
  if (isName(Name))
    return true;
  fault(E, "name", "'" + Name + "' " + std::string(NameRule));
  return false;
}

bool checkBound(EditContext &E, const char *Field, std::uint32_t Value,
                std::uint32_t Least, std::uint32_t Most) {
  if (Value >= Least && Value <= Most)
    return true;
  fault(E, Field,
        "must be from " + std::to_string(Least) + " to " +
            std::to_string(Most));
  return false;
}

void putQueue(EditContext &E, const ExpandedQueue &Names,
              CustomerId CreatedFor) {
  const Configuration &C = E.Config;
  Queue Q;
  Q.Name = Names.Name;
  Q.CreatedFor = CreatedFor;
  if (const Pool *P =
          require(E, findPool(C, Names.Pool), "pool", "pool", Names.Pool))
    Q.ServedBy = P->Id;
  Q.Open = Names.Open;
  if (Q.Open)
    if (const Team *T = require(E, findTeam(C, Names.OpenTeam), "open_team",
                                "team", Names.OpenTeam))
      Q.OpenTeam = T->Id;
  Q.IdempotentByDefault = Names.Idempotent;
  for (const std::string &Name : Names.Teams)
    if (const Team *T = require(E, findTeam(C, Name), "teams", "team", Name))
      Q.AllowedTeams.push_back(T->Id);
  put(E, E.Config.Queues, std::move(Q), MaxQueues);
}

namespace {

/// Returns false and records a fault if the item belongs to a customer.
template <typename T>
bool checkCreatedManually(EditContext &E, const T *Found) {
  if (!Found || !Found->CreatedFor.isValid())
    return true;
  const Customer *Owner = findCustomer(E.Config, Found->CreatedFor);
  fault(E, "name",
        "'" + Found->Name + "' belongs to customer '" + Owner->Name +
            "'; change the customer or its template");
  return false;
}

void edit(EditContext &E, const PutDataCentre &Edit) {
  if (checkName(E, Edit.Item.Name))
    put(E, E.Config.DataCentres, Edit.Item, MaxDataCentres);
}

void edit(EditContext &E, const PutPool &Edit) {
  checkName(E, Edit.Item.Name);
  checkBound(E, "absent_limit", Edit.Item.AbsentLimit, 0, MaxAbsent);
  checkBound(E, "absent_limit_per_domain", Edit.Item.AbsentLimitPerDomain, 0,
             MaxAbsent);
  put(E, E.Config.Pools, Edit.Item, MaxPools);
}

void edit(EditContext &E, const PutTeam &Edit) {
  checkName(E, Edit.Item.Name);
  checkBound(E, "share", Edit.Item.Share, 1, MaxShare);
  checkBound(E, "upper_limit", Edit.Item.UpperLimit, 0, MaxUpperLimit);
  if (!checkCreatedManually(E, findTeam(E.Config, Edit.Item.Name)))
    return;
  Team T = Edit.Item;
  T.CreatedFor = CustomerId();
  put(E, E.Config.Teams, std::move(T), MaxTeams);
}

void edit(EditContext &E, const PutQueue &Edit) {
  checkName(E, Edit.Name);
  if (Edit.AllowedTeams.size() > MaxNamesInList)
    return fault(E, "teams",
                 "must have at most " + std::to_string(MaxNamesInList) +
                     " names");
  if (!checkCreatedManually(E, findQueue(E.Config, Edit.Name)))
    return;
  putQueue(E,
           {Edit.Name, Edit.Pool, Edit.Open, Edit.OpenTeam,
            Edit.IdempotentByDefault, Edit.AllowedTeams},
           CustomerId());
}

void edit(EditContext &E, const GrantKey &Edit) {
  if (!Edit.Label.empty() && !isName(Edit.Label))
    fault(E, "label", std::string(NameRule));
  const Team *Owner =
      require(E, findTeam(E.Config, Edit.Team), "team", "team", Edit.Team);
  if (!Owner)
    return;
  if (!Owner->TakesKeys)
    return fault(E, "team", "team '" + Edit.Team + "' takes no keys");
  if (E.Config.Keys.size() >= MaxKeys)
    return fault(E, "",
                 "there may be at most " + std::to_string(MaxKeys) + " keys");
  Key K;
  K.Owner = Owner->Id;
  K.Hash = Edit.Hash;
  K.Label = Edit.Label;
  K.Id.Value = E.Config.NextId++;
  E.Config.Keys.push_back(std::move(K));
}

template <typename T>
void withdraw(EditContext &E, std::vector<T> &Keys, KeyId Id) {
  if (std::erase_if(Keys, [&](const T &K) { return K.Id == Id; }) == 0)
    fault(E, "id", "there is no key " + std::to_string(Id.Value));
}

void edit(EditContext &E, const WithdrawKey &Edit) {
  withdraw(E, E.Config.Keys, Edit.Id);
}

void edit(EditContext &E, const GrantOperatorKey &Edit) {
  checkName(E, Edit.Name);
  if (E.Config.OperatorKeys.size() >= MaxOperatorKeys)
    return fault(E, "",
                 "there may be at most " + std::to_string(MaxOperatorKeys) +
                     " operators' keys");
  OperatorKey K;
  K.Name = Edit.Name;
  K.Allowed = Edit.Allowed;
  K.Hash = Edit.Hash;
  K.Id.Value = E.Config.NextId++;
  E.Config.OperatorKeys.push_back(std::move(K));
}

void edit(EditContext &E, const WithdrawOperatorKey &Edit) {
  withdraw(E, E.Config.OperatorKeys, Edit.Id);
}

template <typename T> constexpr bool IsTemplateEdit = false;
template <> constexpr bool IsTemplateEdit<PutTemplate> = true;
template <> constexpr bool IsTemplateEdit<PutCustomer> = true;

/// Edits of templates and customers may depend on one another, so customers are
/// expanded only at the end of a run of such edits.
struct EditRunner {
  EditContext &E;

  template <typename T> void operator()(const T &Edit) const {
    if (!IsTemplateEdit<T>)
      expandStaleCustomers(E);
    edit(E, Edit);
  }
};

/// Requires an administrator's key once there are operators' keys: without one,
/// nobody could grant further keys.
void checkAdministrator(EditContext &E) {
  const std::vector<OperatorKey> &Keys = E.Config.OperatorKeys;
  bool Good =
      Keys.empty() || std::any_of(Keys.begin(), Keys.end(), [](const auto &K) {
        return K.Allowed == Role::Administer;
      });
  if (!Good)
    fault(E, "", "at least one operator's key must have the role administer");
}

} // namespace

} // namespace detail

namespace {

/// Updates LimitSince of the teams whose upper limit has changed.
void markLimitChanges(const Configuration &Before, Configuration &After) {
  for (Team &T : After.Teams) {
    const Team *Old = findTeam(Before, T.Id);
    bool Same = Old && Old->UpperLimit == T.UpperLimit;
    T.LimitSince = Same ? Old->LimitSince : After.Version;
  }
}

} // namespace

std::string textOf(std::span<const ConfigFault> Faults) {
  std::string Text;
  for (const ConfigFault &F : Faults) {
    Text += (Text.empty() ? "" : "; ") + std::string("edit ") +
            std::to_string(F.Edit);
    if (!F.Field.empty())
      Text += ", " + F.Field;
    Text += ": " + F.Message;
  }
  return Text;
}

ConfigError::ConfigError(std::vector<ConfigFault> Faults)
    : std::runtime_error(textOf(Faults)), Faults_(std::move(Faults)) {}

Configuration apply(const Configuration &Before, const ConfigChange &Change) {
  if (Change.Version.Value != Before.Version.Value + 1)
    throw ConfigError("change " + std::to_string(Change.Version.Value) +
                      " does not follow version " +
                      std::to_string(Before.Version.Value));
  if (Change.Edits.size() > MaxEditsInChange)
    throw ConfigError("a change may have at most " +
                      std::to_string(MaxEditsInChange) + " edits");
  Configuration After = Before;
  std::vector<ConfigFault> Faults;
  detail::EditContext E{After, Faults, 0, {}};
  for (; E.Index < Change.Edits.size(); ++E.Index)
    std::visit(detail::EditRunner{E}, Change.Edits[E.Index]);
  E.Index = Change.Edits.empty() ? 0 : Change.Edits.size() - 1;
  detail::expandStaleCustomers(E);
  detail::checkAdministrator(E);
  if (!Faults.empty())
    throw ConfigError(std::move(Faults));
  After.Version = Change.Version;
  markLimitChanges(Before, After);
  return After;
}

} // namespace comfreydeck::core
