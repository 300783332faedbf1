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
};

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_INSTANCE_H
