#ifndef COMFREYDECK_CORE_FAILUREINFERENCE_H
#define COMFREYDECK_CORE_FAILUREINFERENCE_H

#include "core/Types.h"

#include <span>
#include <vector>

/// What is inferred about an instance from signals that lag and err.
namespace comfreydeck::core {

/// What the platform's list says.
enum class ListedAs : std::uint8_t { Live, Leaving, Missing };

/// What is known of one instance.
struct InstanceSignals {
  WorkerId Id;
  ListedAs Listed = ListedAs::Live;
  /// How long the list has said so.
  Duration ListedFor{0};
  /// How long the pool's owner has not heard it.
  Duration Silent{0};
  /// Whether the row already says that it failed.
  bool Failed = false;
};

enum class Inference : std::uint8_t {
  Healthy,
  /// Gets nothing new; undone by the next answer.
  Suspect,
  /// Gets nothing new: the platform takes it away.
  Leaving,
  /// Taken for gone: its row says so, and its tasks' outcomes are unknown.
  Failed,
};

struct InferenceLimits {
  /// Silent for longer: suspect.
  Duration SuspectAfter = std::chrono::seconds(3);
  /// Silent for longer, and missing from the list too: failed.
  Duration FailedAfter = std::chrono::seconds(30);
  /// Silent for longer, whatever the list says: failed.
  Duration FailedAlone = std::chrono::minutes(5);
  /// Instances of a pool that may be failed by inference, in hundredths; at
  /// least one. Beyond them an instance stays suspect until an operator acts or
  /// it answers.
  std::uint32_t FailedPerHundred = 34;
};

/// What to take each instance of one pool for. Direct evidence goes first: an
/// instance that answers is never failed, whatever the list says. The longest
/// silent are failed first, up to the cap. Thread-safe.
std::vector<Inference> inferPool(std::span<const InstanceSignals> Signals,
                                 const InferenceLimits &Limits);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_FAILUREINFERENCE_H
