#ifndef COMFREYDECK_CORE_CONFIGCHANGE_H
#define COMFREYDECK_CORE_CONFIGCHANGE_H

#include "core/Configuration.h"

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

/// What a removal removes.
enum class ItemKind : std::uint8_t { DataCentre, Pool, Team, Queue };

struct RemoveItem {
  ItemKind Kind = ItemKind::Queue;
  std::string Name;
};

using ConfigEdit = std::variant<PutDataCentre, PutPool, PutTeam, PutQueue,
                                GrantKey, WithdrawKey, GrantOperatorKey,
                                WithdrawOperatorKey, RemoveItem>;

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

/// A change that can't be applied, in words for the operator.
class ConfigError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The configuration after \p Change. Throws ConfigError where an edit names
/// what isn't there or breaks a bound; \p Before is then still good.
/// Precondition: the change's version follows that of \p Before. Thread-safe.
Configuration apply(const Configuration &Before, const ConfigChange &Change);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CONFIGCHANGE_H
