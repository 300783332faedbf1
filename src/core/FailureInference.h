#ifndef COMFREYDECK_CORE_FAILUREINFERENCE_H
#define COMFREYDECK_CORE_FAILUREINFERENCE_H

#include "core/Types.h"

#include <span>
#include <vector>

/// Infers failures of instances from signals that may be late or wrong.
namespace comfreydeck::core {

/// Status of an instance in the platform's list of instances.
enum class ListedStatus : std::uint8_t { Live, Leaving, Missing };

/// The signals about one instance.
struct InstanceSignals {
  WorkerId Id;
  ListedStatus Listed = ListedStatus::Live;
  /// How long it has had this status in the list.
  Duration ListedFor{0};
  /// Time since the pool's owner last received an answer from it.
  Duration Silent{0};
  /// Whether its row is already in the failed state.
  bool Failed = false;
};

enum class InferredHealth : std::uint8_t {
  Healthy,
  /// Gets no new tasks until it answers again.
  Suspect,
  /// Gets no new tasks: the platform is removing it.
  Leaving,
  /// Considered failed: its row goes to the failed state, and the outcomes of
  /// its tasks are unknown.
  Failed,
};

struct InferenceLimits {
  /// An instance silent for longer than this is suspect.
  Duration SuspectAfter = std::chrono::seconds(3);
  /// An instance silent and missing from the list for this long has failed.
  Duration FailedAfter = std::chrono::seconds(30);
  /// An instance silent for this long has failed, whatever its listed status
  /// other than leaving.
  Duration FailedBySilenceAfter = std::chrono::minutes(5);
  /// Maximum percentage of a pool's instances in the failed state by inference;
  /// at least one instance. Beyond it an instance stays suspect until it
  /// answers or an operator intervenes.
  std::uint32_t MaxFailedPercent = 34;
};

/// Infers the health of each instance of one pool, in the order of \p Signals.
/// Direct evidence takes precedence: an instance that answers is never failed,
/// whatever the list says. The longest silent instances are failed first, up to
/// the cap. Thread-safe.
std::vector<InferredHealth> inferPool(std::span<const InstanceSignals> Signals,
                                      const InferenceLimits &Limits);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_FAILUREINFERENCE_H
