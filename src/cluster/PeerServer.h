#ifndef COMFREYDECK_CLUSTER_PEERSERVER_H
#define COMFREYDECK_CLUSTER_PEERSERVER_H

#include "Peer.pb.h"

#include "cluster/PeerSecurity.h"

#include <functional>
#include <memory>
#include <string>

/// Calls between entry processes: protobuf messages over HTTP.
namespace comfreydeck::cluster {

template <typename Reply> using PeerResponder = std::function<void(Reply)>;

/// Handles calls from other entries. Every method is called on the server's
/// thread, must not block, and must call its responder once, from any thread.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  virtual void greet(const wire::GreetRequest &Request,
                     PeerResponder<wire::GreetReply> Respond) = 0;
  virtual void prove(const wire::ProveRequest &Request,
                     PeerResponder<wire::ProveReply> Respond) = 0;
  virtual void notify(const wire::NotifyRequest &Request,
                      PeerResponder<wire::NotifyReply> Respond) = 0;
  virtual void acquire(const wire::AcquireRequest &Request,
                       PeerResponder<wire::AcquireReply> Respond) = 0;
  virtual void release(const wire::ReleaseRequest &Request,
                       PeerResponder<wire::ReleaseReply> Respond) = 0;
  virtual void handOver(const wire::HandOverRequest &Request,
                        PeerResponder<wire::HandOverReply> Respond) = 0;
  virtual void listRunning(const wire::ListRunningRequest &Request,
                           PeerResponder<wire::ListRunningReply> Respond) = 0;
};

/// Serves calls from other entries.
class PeerServer {
public:
  /// \p Handler must outlive the server.
  PeerServer(PeerHandler &Handler, PeerSecurity Security);
  /// Stops as \ref stop does.
  ~PeerServer();

  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  /// Listens on IP:PORT. Throws std::runtime_error if that fails or a
  /// certificate is not valid PEM. Must be called only once.
  void start(const std::string &Address);

  /// Closes open calls and joins the thread. Must not be called from the
  /// handler. May be called twice.
  void stop();

  /// The bound port. Only after \ref start. Thread-safe.
  int port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::cluster

#endif // COMFREYDECK_CLUSTER_PEERSERVER_H
