#ifndef COMFREYDECK_CORE_DATACENTRECHANGE_H
#define COMFREYDECK_CORE_DATACENTRECHANGE_H

#include "core/Configuration.h"
#include "core/Instance.h"

#include <span>

/// Decides whether a data centre may be taken out of service or brought back.
namespace comfreydeck::core {

enum class DataCentreAnswer : std::uint8_t {
  Accept,
  /// It is already out, or already in; there is nothing to write.
  AlreadyInState,
  Unknown,
  /// A pool would have no serving instance left.
  WouldEmptyPool,
};

/// The serving instances of a pool before and after losing a data centre.
struct PoolLoss {
  PoolId Pool;
  std::string Name;
  /// Serving instances in data centres that are in service.
  std::uint32_t Before = 0;
  std::uint32_t After = 0;
};

struct DataCentreDecision {
  DataCentreAnswer Answer = DataCentreAnswer::Accept;
  /// Every pool with serving instances in the data centre.
  std::vector<PoolLoss> Losses;
};

/// Decides whether \p Name may be taken out. The availability budgets are not
/// checked, since a data centre has more instances than any budget allows;
/// afterwards they block every drain until enough instances serve again.
/// \p Force permits leaving a pool without serving instances. Thread-safe.
DataCentreDecision decideOut(const Configuration &C, std::string_view Name,
                             std::span<const Instance *const> Instances,
                             bool Force);

/// Decides whether \p Name may be brought back. Thread-safe.
DataCentreDecision decideIn(const Configuration &C, std::string_view Name);

/// The decision as text for the operator. Thread-safe.
std::string describe(const DataCentreDecision &D, std::string_view Name);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_DATACENTRECHANGE_H
