#ifndef COMFREYDECK_CORE_CONFIGEFFECT_H
#define COMFREYDECK_CORE_CONFIGEFFECT_H

#include "core/Configuration.h"

#include <span>

/// What a change comes to, for the operator who is about to make it.
namespace comfreydeck::core {

/// What a line of an effect speaks of.
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

/// What an operator reads of one item. Key hashes are left out. Thread-safe.
struct ItemText {
  Subject What = Subject::Team;
  std::uint32_t Id = 0;
  std::string Name;
  /// The customer that it was made for; empty where made by hand.
  std::string Customer;
  std::vector<FieldText> Fields;
};

/// Every item of the configuration, by subject. Thread-safe.
std::vector<ItemText> describe(const Configuration &C);

enum class EffectKind : std::uint8_t { Added, Changed, Removed };

/// `added`, `changed` or `removed`. Thread-safe.
std::string_view nameOf(EffectKind How);

/// Empty texts stand for what was not there.
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
  /// What differs; all fields where the item is added or removed.
  std::vector<FieldEffect> Fields;
};

/// A team's part of one pool when every team asks for more than it gets.
struct PoolShare {
  TeamId Team;
  std::uint32_t Share = 0;
  /// Of the pool's slots, from 0 to 1.
  double Owed = 0;
  std::uint32_t UpperLimit = 0;
};

/// The teams that may use the pool, by handle, with what each is owed.
/// Thread-safe.
std::vector<PoolShare> sharesOf(const Configuration &C, PoolId Pool);

/// Slots that each team gets of \p Slots when all is full: in proportion to the
/// shares, but never above an upper limit; what a limit leaves goes to the
/// others. In the order of \p Shares. Thread-safe.
std::vector<double> slotsOwed(std::span<const PoolShare> Shares,
                              std::uint32_t Slots);

/// What is different between two versions, by subject and handle. Thread-safe.
std::vector<ItemEffect> effectOf(const Configuration &Before,
                                 const Configuration &After);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CONFIGEFFECT_H
