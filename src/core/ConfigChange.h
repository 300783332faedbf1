#ifndef COMFREYDECK_CORE_CONFIGCHANGE_H
#define COMFREYDECK_CORE_CONFIGCHANGE_H

#include "core/Configuration.h"
#include "core/TemplateExpansion.h"

#include <span>
#include <stdexcept>
#include <variant>

/// Configuration changes as stored in the configuration log.
namespace comfreydeck::core {

/// Each Put edit adds an item, or replaces the item of the same name and keeps
/// its handle.
struct PutDataCentre {
  DataCentre Item;
};
struct PutPool {
  Pool Item;
};
struct PutTeam {
  Team Item;
};
/// Refers to other items by name rather than by handle, so that one change can
/// add a pool and its queue.
struct PutQueue {
  std::string Name;
  std::string Pool;
  bool Open = false;
  std::string OpenTeam;
  bool IdempotentByDefault = false;
  std::vector<std::string> AllowedTeams;
};
struct GrantKey {
  std::string Team;
  KeyHash Hash{};
  std::string Label;
};
struct WithdrawKey {
  KeyId Id;
};
struct GrantOperatorKey {
  std::string Name;
  Role Allowed = Role::Read;
  KeyHash Hash{};
};
struct WithdrawOperatorKey {
  KeyId Id;
};

/// Adds or replaces a template; all customers of the template are expanded
/// again in the same change.
struct PutTemplate {
  Template Item;
};
/// Adds or replaces a customer with all of its teams and queues.
struct PutCustomer {
  std::string Name;
  std::string Template;
  std::vector<Argument> Arguments;
};

/// Kind of the item to remove. Removing a customer also removes its teams and
/// queues.
enum class ItemKind : std::uint8_t {
  DataCentre,
  Pool,
  Team,
  Queue,
  Template,
  Customer
};

struct RemoveItem {
  ItemKind Kind = ItemKind::Queue;
  std::string Name;
};

using ConfigEdit =
    std::variant<PutDataCentre, PutPool, PutTeam, PutQueue, GrantKey,
                 WithdrawKey, GrantOperatorKey, WithdrawOperatorKey, RemoveItem,
                 PutTemplate, PutCustomer>;

/// Edits that take effect together.
struct ConfigChange {
  /// The configuration version that this change produces.
  ConfigVersion Version;
  /// Unique id of the change. After a lost answer it is looked up to find out
  /// whether the change was committed.
  std::string Id;
  /// Name of the operator.
  std::string By;
  /// Wall clock of the accepting entry, in milliseconds; shown in the history
  /// only.
  std::int64_t AtUnixMs = 0;
  std::vector<ConfigEdit> Edits;
};

/// A validation error in one edit of a change.
struct ConfigFault {
  /// Index of the edit in the change.
  std::size_t Edit = 0;
  /// Path of the field within the edit; empty if it concerns the whole edit.
  std::string Field;
  std::string Message;
};

/// Thrown when a change can't be applied; the message is for the operator.
class ConfigError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
  explicit ConfigError(std::vector<ConfigFault> Faults);

  /// Empty if the error concerns the change as a whole. Thread-safe.
  std::span<const ConfigFault> faults() const { return Faults_; }

private:
  std::vector<ConfigFault> Faults_;
};

/// The faults as one line of text. Thread-safe.
std::string textOf(std::span<const ConfigFault> Faults);

/// The configuration after \p Change. Throws ConfigError, listing every fault,
/// if edits refer to missing items or exceed a limit; \p Before is unchanged.
/// The result depends on the arguments alone, so that all entries agree.
/// Precondition: the change's version is the successor of \p Before's;
/// otherwise ConfigError. Thread-safe.
Configuration apply(const Configuration &Before, const ConfigChange &Change);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CONFIGCHANGE_H
