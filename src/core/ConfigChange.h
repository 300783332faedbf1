#ifndef COMFREYDECK_CORE_CONFIGCHANGE_H
#define COMFREYDECK_CORE_CONFIGCHANGE_H

#include "core/Configuration.h"
#include "core/TemplateExpansion.h"

#include <span>
#include <stdexcept>
#include <variant>

/// Changes of the configuration, as the log keeps them.
namespace comfreydeck::core {

/// Each Put adds by name, or replaces what has that name and keeps its handle.
struct PutDataCentre {
  DataCentre Item;
};
struct PutPool {
  Pool Item;
};
struct PutTeam {
  Team Item;
};
/// Names stand for handles, so that one change can add a pool and its queue.
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

/// Changes what customers are made from; each customer of the template is
/// expanded again in the same change.
struct PutTemplate {
  Template Item;
};
/// Puts a customer with all of its teams and queues.
struct PutCustomer {
  std::string Name;
  std::string Template;
  std::vector<Argument> Arguments;
};

/// What a removal removes; a customer goes with its teams and queues.
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

/// Edits that come in force together.
struct ConfigChange {
  /// The version that this change makes.
  ConfigVersion Version;
  /// The change's own id, by which a lost answer is read back.
  std::string Id;
  /// The operator's name.
  std::string By;
  /// Wall clock of the accepting entry, for the history only.
  std::int64_t AtUnixMs = 0;
  std::vector<ConfigEdit> Edits;
};

/// What is wrong with one edit of a change.
struct ConfigFault {
  /// Index of the edit in the change.
  std::size_t Edit = 0;
  /// Path of the field within the edit; empty where the whole is meant.
  std::string Field;
  std::string Message;
};

/// A change that can't be applied, in words for the operator.
class ConfigError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
  explicit ConfigError(std::vector<ConfigFault> Faults);

  /// Empty where the change as a whole is wrong. Thread-safe.
  std::span<const ConfigFault> faults() const { return Faults_; }

private:
  std::vector<ConfigFault> Faults_;
};

/// The faults in one line. Thread-safe.
std::string textOf(std::span<const ConfigFault> Faults);

/// The configuration after \p Change. Throws ConfigError with every fault where
/// edits name what isn't there or break a bound; \p Before is then still good.
/// The outcome depends on the arguments alone, so that all entries agree.
/// Precondition: the change's version follows that of \p Before. Thread-safe.
Configuration apply(const Configuration &Before, const ConfigChange &Change);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CONFIGCHANGE_H
