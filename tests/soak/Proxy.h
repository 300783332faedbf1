#ifndef COMFREYDECK_TESTS_SOAK_PROXY_H
#define COMFREYDECK_TESTS_SOAK_PROXY_H

#include "core/Types.h"

#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace comfreydeck::soak {

/// What a proxy does with the bytes of all its connections. Held bytes pass
/// once the fault has ended, unless the connection is reset before.
enum class LinkFault : std::uint8_t {
  None,
  Delay,
  HoldRequests,
  HoldResponses,
  Silence
};

/// Forwards TCP connections on loopback and injects faults. One thread serves
/// all proxies of a network.
class ProxyNetwork {
public:
  ProxyNetwork();
  /// Stops as \ref stop does.
  ~ProxyNetwork();

  ProxyNetwork(const ProxyNetwork &) = delete;
  ProxyNetwork &operator=(const ProxyNetwork &) = delete;

  /// Forwards connections from a free port to \p Target; returns the index of
  /// the proxy. Only before \ref start.
  std::size_t add(std::uint16_t Target);
  void start();
  /// Closes all connections and joins the thread. May be called twice.
  void stop();

  std::uint16_t port(std::size_t Proxy) const;
  /// Thread-safe. \p Delay is used with LinkFault::Delay only.
  void setFault(std::size_t Proxy, LinkFault Fault, core::Duration Delay);
  /// Resets the open connections. Thread-safe.
  void reset(std::size_t Proxy);
  /// The open connections never carry another byte; new ones work. Thread-safe.
  void silenceOpen(std::size_t Proxy);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::soak

#endif // COMFREYDECK_TESTS_SOAK_PROXY_H
