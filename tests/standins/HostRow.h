#ifndef COMFREYDECK_TESTS_STANDINS_HOSTROW_H
#define COMFREYDECK_TESTS_STANDINS_HOSTROW_H

#include "core/Types.h"

#include <cstdint>
#include <memory>
#include <string>

namespace comfreydeck::standins {

/// Many HTTP servers on addresses of the loopback net, on one thread. Each
/// answers 200 with a short body, after the milliseconds in a request's
/// Delay-Ms; a connection takes one request at a time.
class HostRow {
public:
  explicit HostRow(std::size_t Hosts);
  ~HostRow();

  HostRow(const HostRow &) = delete;
  HostRow &operator=(const HostRow &) = delete;

  /// `address:port` of one host. Thread-safe.
  std::string address(std::size_t Host) const;
  /// Connections accepted so far. Thread-safe.
  std::uint32_t connections() const;
  /// Connections accepted by one host so far. Thread-safe.
  std::uint32_t connections(std::size_t Host) const;
  /// Whole requests received so far. Thread-safe.
  std::uint32_t requests() const;
  /// From now on the connections that are open get no answer and no end; new
  /// ones work. Thread-safe.
  void silenceOpen();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_HOSTROW_H
