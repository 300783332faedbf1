#ifndef COMFREYDECK_DISPATCH_DISPATCHENTRY_H
#define COMFREYDECK_DISPATCH_DISPATCHENTRY_H

#include "dispatch/Ports.h"
#include "settings/DispatchSettings.h"

#include <memory>

namespace comfreydeck::net {
class HttpClient;
} // namespace comfreydeck::net

namespace comfreydeck::dispatch {

/// The platform as the entry uses it.
struct PlatformPorts {
  store::PartitionedStore &Store;
  WorkerOrders &Workers;
  /// Null: the platform moves no machines.
  MachineControl *Machines;
  RowDecoder Rows;
  CallerWire Wire;
};

/// One entry of the job path: callers' door, owned pools, calls between
/// entries.
class DispatchEntry {
public:
  /// The referents must outlive this.
  DispatchEntry(settings::DispatchSettings Settings, net::HttpClient &Client,
                PlatformPorts Ports);
  ~DispatchEntry();

  DispatchEntry(const DispatchEntry &) = delete;
  DispatchEntry &operator=(const DispatchEntry &) = delete;

  /// Listens and starts to work. Throws std::runtime_error where an address
  /// can't be bound. Call once.
  void start();

  /// Gives the pools away, answers what was received and returns within the
  /// grace period. Call once, after \ref start, from a thread of no part of
  /// this.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_DISPATCHENTRY_H
