#ifndef COMFREYDECK_CORE_INSTANCE_H
#define COMFREYDECK_CORE_INSTANCE_H

#include "core/Types.h"

#include <string>

/// Worker instances as stored.
namespace comfreydeck::core {

/// State of an instance in service and maintenance.
enum class InstanceState : std::uint8_t {
  Serving,
  /// Gets no new tasks; running ones finish.
  Draining,
  /// Has no running tasks; may be rebooted or moved.
  Empty,
  Rebooting,
  /// Back in service with a gradually rising number of slots.
  Warming,
  /// Lost without having been drained.
  Failed,
};

/// An instance's row. The row names one pool, so that an instance is always in
/// exactly one pool.
struct Instance {
  WorkerId Id;
  std::string Name;
  PoolId Pool;
  InstanceState State = InstanceState::Serving;
  std::string DataCentre;
  std::string Rack;
  /// IP address and port.
  std::string Address;
  std::uint32_t Slots = 8;
  Resources Total;
  /// The pool to move to once it is empty; invalid if it stays.
  PoolId MoveTo;
  /// Whether to reboot it once it is empty.
  bool RebootWhenEmpty = false;
  /// Whether it has not served in its current pool yet, so that its absence
  /// does not reduce the pool's capacity.
  bool Joining = false;
  /// The wave that is draining it; invalid if none is.
  WaveId Wave;
  /// The latest wave that it has completed; invalid if there is none.
  WaveId LastWave;
  /// The boot id before the reboot; a different one shows that it rebooted.
  std::string BootId;
  /// Wall clock of the last maintenance and of the last state change, in
  /// milliseconds.
  std::int64_t MaintainedUnixMs = 0;
  std::int64_t SinceUnixMs = 0;
};

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_INSTANCE_H
