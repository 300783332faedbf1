#ifndef COMFREYDECK_CORE_INSTANCE_H
#define COMFREYDECK_CORE_INSTANCE_H

#include "core/Types.h"

#include <string>

/// A worker instance and the pool it is in.
namespace comfreydeck::core {

/// Where an instance is on its way through service and maintenance.
enum class InstanceState : std::uint8_t {
  Serving,
  /// Gets nothing new; what runs there ends.
  Draining,
  /// Nothing runs there; it may be rebooted or moved.
  Empty,
  Rebooting,
  /// Back, and given work gradually.
  Warming,
  /// Gone without leave.
  Failed,
};

/// One instance as its row keeps it. The row names one pool, so an instance is
/// in exactly one.
struct Instance {
  WorkerId Id;
  std::string Name;
  PoolId Pool;
  InstanceState State = InstanceState::Serving;
  std::string DataCentre;
  std::string Rack;
  /// IP number and port.
  std::string Address;
  std::uint32_t Slots = 8;
  Resources Total;
  /// The pool to move to once it is empty; invalid where it stays.
  PoolId MoveTo;
  /// Whether it is rebooted once it is empty.
  bool RebootWhenEmpty = false;
  /// Whether it has never served in its present pool, so that its absence takes
  /// nothing from the pool.
  bool Joining = false;
  /// The wave that drains it; invalid where none does.
  WaveId Wave;
  /// The latest wave that it has been through; invalid where there is none.
  WaveId LastWave;
  /// The boot that a reboot has to replace.
  std::string BootId;
  /// Wall clock of the last maintenance and of the last change of state, in
  /// milliseconds.
  std::int64_t MaintainedUnixMs = 0;
  std::int64_t SinceUnixMs = 0;
};

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_INSTANCE_H
