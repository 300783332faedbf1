#ifndef COMFREYDECK_CLUSTER_PEERCLIENT_H
#define COMFREYDECK_CLUSTER_PEERCLIENT_H

#include "Peer.pb.h"

#include "cluster/PeerSecurity.h"
#include "core/Types.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace comfreydeck::cluster {

/// Receives the reply, or std::nullopt if the call failed or timed out.
template <typename Reply>
using PeerCallback = std::function<void(std::optional<Reply>)>;

/// Identity of this entry towards the others.
struct PeerIdentity {
  core::Incarnation Self;
  std::string Name;
};

/// Calls other entries. Every method is thread-safe and returns immediately.
/// Each callback is called once, on a client thread, and must not block.
/// Addresses are IP:PORT. \p Limit is the maximum time of the call.
class PeerClient {
public:
  PeerClient(PeerIdentity Identity, PeerSecurity Security);
  /// Stops as \ref stop does.
  ~PeerClient();

  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  /// Ends the calls in flight and waits for their callbacks. Must not be called
  /// from a callback. May be called twice.
  void stop();

  void greet(const std::string &Address, wire::GreetRequest Request,
             core::Duration Limit, PeerCallback<wire::GreetReply> Done);
  void prove(const std::string &Address, wire::ProveRequest Request,
             core::Duration Limit, PeerCallback<wire::ProveReply> Done);
  void notify(const std::string &Address, wire::NotifyRequest Request,
              core::Duration Limit, PeerCallback<wire::NotifyReply> Done);
  void acquire(const std::string &Address, wire::AcquireRequest Request,
               core::Duration Limit, PeerCallback<wire::AcquireReply> Done);
  void release(const std::string &Address, wire::ReleaseRequest Request,
               core::Duration Limit, PeerCallback<wire::ReleaseReply> Done);
  void handOver(const std::string &Address, wire::HandOverRequest Request,
                core::Duration Limit, PeerCallback<wire::HandOverReply> Done);
  void listRunning(const std::string &Address, wire::ListRunningRequest Request,
                   core::Duration Limit,
                   PeerCallback<wire::ListRunningReply> Done);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::cluster

#endif // COMFREYDECK_CLUSTER_PEERCLIENT_H
