#ifndef COMFREYDECK_CORE_DRAIN_H
#define COMFREYDECK_CORE_DRAIN_H

#include "core/Instance.h"

#include <optional>

/// The state machine of an instance in service and maintenance.
namespace comfreydeck::core {

/// What happens to an instance.
enum class InstanceEvent : std::uint8_t {
  /// The pool's owner recorded a permit.
  DrainPermitted,
  /// Nothing runs there any more.
  TasksEnded,
  RebootSent,
  /// It answers again, after a reboot or a failure.
  CameBack,
  WarmedUp,
  /// An operator put it back before its maintenance was over.
  Returned,
  /// It joined another pool.
  Moved,
  /// It is taken for gone.
  Lost,
};

/// The state after \p Event; nothing where the event can't happen in \p From.
/// Thread-safe.
std::optional<InstanceState> next(InstanceState From, InstanceEvent Event);

/// Whether new tasks may start in this state. Thread-safe.
bool takesWork(InstanceState State);

/// The row after \p Event; nothing where the event can't happen. Thread-safe.
std::optional<Instance> afterEvent(Instance I, InstanceEvent Event,
                                   std::int64_t NowUnixMs);

/// What the pool's owner knows of an instance right now.
struct InstanceObservation {
  /// Whether it has answered lately.
  bool Heard = false;
  /// Tasks that count as running there, by the owner and by its own report.
  std::uint32_t Running = 0;
  /// The boot that it last reported; empty where it never answered.
  std::string BootId;
};

/// How long the steps may take.
struct DrainTimes {
  /// A reboot that takes longer has failed.
  std::int64_t RebootLimitMs = 15 * 60 * 1000;
  /// From the first task on a warming instance to all of its slots.
  std::int64_t WarmUpMs = 30 * 1000;
};

/// The event that is due without any operator; nothing where none is.
/// Thread-safe.
std::optional<InstanceEvent> dueEvent(const Instance &I,
                                      const InstanceObservation &Seen,
                                      const DrainTimes &Times,
                                      std::int64_t NowUnixMs);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_DRAIN_H
