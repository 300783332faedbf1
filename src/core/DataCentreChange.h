#ifndef COMFREYDECK_CORE_DATACENTRECHANGE_H
#define COMFREYDECK_CORE_DATACENTRECHANGE_H

#include "core/Configuration.h"
#include "core/Instance.h"

#include <span>

/// Whether a data centre may be taken out of service or brought back.
namespace comfreydeck::core {

enum class DataCentreAnswer : std::uint8_t {
  Accept,
  /// It is out, or in, already; there is nothing to write.
  AlreadyThere,
  Unknown,
  /// A pool would have nothing left that serves.
  LastOfPool,
};

/// What a pool loses with a data centre.
struct PoolLoss {
  PoolId Pool;
  std::string Name;
  /// Serving in data centres that are in, before and after.
  std::uint32_t Before = 0;
  std::uint32_t After = 0;
};

struct DataCentreDecision {
  DataCentreAnswer Answer = DataCentreAnswer::Accept;
  /// Every pool with instances there.
  std::vector<PoolLoss> Losses;
};

/// Decides on taking \p Name out. A data centre has more instances than any
/// budget allows, so that the budgets do not refuse it; what they do is to stop
/// every drain until enough serves again. \p Force accepts that a pool has
/// nothing left. Thread-safe.
DataCentreDecision decideOut(const Configuration &C, std::string_view Name,
                             std::span<const Instance *const> Instances,
                             bool Force);

/// Decides on bringing \p Name back. Thread-safe.
DataCentreDecision decideIn(const Configuration &C, std::string_view Name);

/// The decision in words for the operator. Thread-safe.
std::string describe(const DataCentreDecision &D, std::string_view Name);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_DATACENTRECHANGE_H
