#ifndef COMFREYDECK_TESTS_STANDINS_LOOPBACKSERVERS_H
#define COMFREYDECK_TESTS_STANDINS_LOOPBACKSERVERS_H

#include "core/Types.h"

#include <cstdint>
#include <memory>
#include <string>

namespace comfreydeck::standins {

/// Many HTTP servers on loopback addresses, on one thread. Each answers 200
/// with a short body after the delay in the request's Delay-Ms header. A
/// connection handles one request at a time.
class LoopbackServers {
public:
  explicit LoopbackServers(std::size_t Hosts);
  ~LoopbackServers();

  LoopbackServers(const LoopbackServers &) = delete;
  LoopbackServers &operator=(const LoopbackServers &) = delete;

  /// `address:port` of one host. Thread-safe.
  std::string address(std::size_t Host) const;
  /// Connections accepted so far. Thread-safe.
  std::uint32_t connections() const;
  /// Connections accepted by one host so far. Thread-safe.
  std::uint32_t connections(std::size_t Host) const;
  /// Complete requests received so far. Thread-safe.
  std::uint32_t requests() const;
  /// From now on, connections that are open now are neither answered nor
  /// closed; new ones work normally. Thread-safe.
  void muteOpenConnections();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_LOOPBACKSERVERS_H
