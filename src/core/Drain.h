#ifndef COMFREYDECK_CORE_DRAIN_H
#define COMFREYDECK_CORE_DRAIN_H

#include "core/Instance.h"

#include <optional>

/// The service and maintenance state machine of an instance.
namespace comfreydeck::core {

/// Events that change the state of an instance.
enum class InstanceEvent : std::uint8_t {
  /// The pool's owner recorded a permit.
  DrainPermitted,
  /// No task runs there any more.
  TasksEnded,
  RebootSent,
  /// It answers again, after a reboot or a failure.
  CameBack,
  WarmedUp,
  /// An operator returned it to service before its maintenance completed.
  Returned,
  /// It joined another pool.
  Moved,
  /// It is considered failed.
  Lost,
};

/// The state after \p Event; empty if the event is not valid in \p From.
/// Thread-safe.
std::optional<InstanceState> next(InstanceState From, InstanceEvent Event);

/// Whether new tasks may start in this state. Thread-safe.
bool takesWork(InstanceState State);

/// The row after \p Event; empty if the event is not valid in the row's state,
/// or if it is a move without a target pool. Thread-safe.
std::optional<Instance> afterEvent(Instance I, InstanceEvent Event,
                                   std::int64_t NowUnixMs);

/// The pool owner's current view of an instance.
struct InstanceObservation {
  /// Whether it has answered recently.
  bool Heard = false;
  /// Tasks counted as running there, by the owner and by the instance's report.
  std::uint32_t Running = 0;
  /// The boot id that it last reported; empty if it never answered.
  std::string BootId;
};

/// Durations of the steps.
struct DrainTimes {
  /// A reboot that takes longer is considered failed.
  std::int64_t RebootLimitMs = 15 * 60 * 1000;
  /// Time over which a warming instance goes from one slot to all of them.
  std::int64_t WarmUpMs = 30 * 1000;
};

/// The event due without an operator's action; empty if there is none.
/// Thread-safe.
std::optional<InstanceEvent> dueEvent(const Instance &I,
                                      const InstanceObservation &Seen,
                                      const DrainTimes &Times,
                                      std::int64_t NowUnixMs);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_DRAIN_H
