#ifndef COMFREYDECK_CORE_CONFIGEFFECT_H
#define COMFREYDECK_CORE_CONFIGEFFECT_H

#include "core/Configuration.h"

#include <span>

/// The effect of a configuration change, as a preview for the operator.
namespace comfreydeck::core {

/// Kind of the item that an effect concerns.
enum class Subject : std::uint8_t {
  DataCentre,
  Pool,
  Team,
  Queue,
  Key,
  OperatorKey,
  Template,
  Customer
};

/// `datacentre`, `pool`, `team` and so on. Thread-safe.
std::string_view nameOf(Subject What);

/// One field as text.
struct FieldText {
  std::string Field;
  std::string Value;

  bool operator==(const FieldText &) const = default;
};

/// One item as shown to the operator, without key hashes.
struct ItemText {
  Subject What = Subject::Team;
  std::uint32_t Id = 0;
  std::string Name;
  /// The customer that it belongs to; empty if it was created manually.
  std::string Customer;
  std::vector<FieldText> Fields;
};

/// Every item of the configuration, by subject. Thread-safe.
std::vector<ItemText> describe(const Configuration &C);

enum class EffectKind : std::uint8_t { Added, Changed, Removed };

/// `added`, `changed` or `removed`. Thread-safe.
std::string_view nameOf(EffectKind How);

/// A changed field; a value is empty if the field did not exist.
struct FieldEffect {
  std::string Field;
  std::string Before;
  std::string After;
};

struct ItemEffect {
  EffectKind How = EffectKind::Changed;
  Subject What = Subject::Team;
  std::string Name;
  std::string Customer;
  /// Fields that differ; all fields if the item is added or removed.
  std::vector<FieldEffect> Fields;
};

/// A team's share of one pool when the demand of every team exceeds its share.
struct TeamShare {
  TeamId Team;
  std::uint32_t Share = 0;
  /// Fraction of the pool's slots, from 0 to 1, before upper limits.
  double Entitled = 0;
  std::uint32_t UpperLimit = 0;
};

/// The teams that may use the pool, ordered by handle, with their shares.
/// Thread-safe.
std::vector<TeamShare> sharesOf(const Configuration &C, PoolId Pool);

/// Slots that each team gets of \p Slots under full load, in the order of
/// \p Shares: proportional to the shares and capped by the upper limits; what a
/// cap leaves over is distributed to the other teams. Thread-safe.
std::vector<double> entitledSlots(std::span<const TeamShare> Shares,
                                  std::uint32_t Slots);

/// The differences between two versions, ordered by subject and handle.
/// Thread-safe.
std::vector<ItemEffect> effectOf(const Configuration &Before,
                                 const Configuration &After);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CONFIGEFFECT_H
