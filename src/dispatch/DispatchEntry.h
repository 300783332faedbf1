#ifndef COMFREYDECK_DISPATCH_DISPATCHENTRY_H
#define COMFREYDECK_DISPATCH_DISPATCHENTRY_H

#include "dispatch/Ports.h"
#include "settings/DispatchSettings.h"

#include <memory>

namespace comfreydeck::net {
class HttpClient;
} // namespace comfreydeck::net

namespace comfreydeck::dispatch {

/// The platform interfaces that the entry uses.
struct PlatformPorts {
  store::PartitionedStore &Store;
  WorkerOrders &Workers;
  /// Null if the platform does not support moving machines.
  MachineControl *Machines;
  RowDecoder Rows;
  CallerCodec Codec;
};

/// One entry of the job path: the callers' API, the owned pools and the calls
/// between entries.
class DispatchEntry {
public:
  /// The referenced objects must outlive this.
  DispatchEntry(settings::DispatchSettings Settings, net::HttpClient &Client,
                PlatformPorts Ports);
  ~DispatchEntry();

  DispatchEntry(const DispatchEntry &) = delete;
  DispatchEntry &operator=(const DispatchEntry &) = delete;

  /// Starts listening and processing. Throws std::runtime_error if an address
  /// can't be bound. Call once.
  void start();

  /// Releases the pools, answers the requests already received and returns
  /// within the grace period. Call once, after \ref start, and not from a
  /// thread that belongs to this object.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_DISPATCHENTRY_H
