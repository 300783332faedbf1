#ifndef COMFREYDECK_NET_HTTPSERVER_H
#define COMFREYDECK_NET_HTTPSERVER_H

#include "core/Types.h"
#include "net/Http.h"

#include <functional>
#include <memory>

namespace comfreydeck::net {

/// Sends the response to one request. Only the first call has an effect; may be
/// called from any thread. It may outlive the server, and does nothing after
/// that.
using HttpResponder = std::function<void(HttpResponse)>;

/// Handles one request. Called on one of the server's threads. If it throws,
/// the exception is logged and the request is answered with status 500, unless
/// it was answered before.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpServerOptions {
  std::string Address = "127.0.0.1";
  /// Zero: any free port.
  std::uint16_t Port = 0;
  std::size_t Threads = 1;
  std::size_t MaxBodyBytes = 8 << 20;
  /// Maximum time from a complete request to its response.
  core::Duration HandleLimit = std::chrono::minutes(30);
  /// Null: plain HTTP. Otherwise TLS, and clients must present a certificate
  /// signed by the identity's authority.
  std::shared_ptr<const TlsIdentity> Tls;
};

/// An HTTP/1.1 server that runs on its own threads.
class HttpServer {
public:
  /// Does not bind yet. \p Handler must be callable from several threads.
  HttpServer(HttpServerOptions Options, HttpHandler Handler);
  /// Stops as \ref stop does.
  ~HttpServer();

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds and starts the threads. Throws std::runtime_error if the address
  /// can't be bound. Must be called only once.
  void start();

  /// Accepts no new connections, closes each connection after its response, and
  /// waits until every received request is answered and the response written,
  /// but at most \p Limit. Must not be called from a handler. Only after \ref
  /// start.
  void drain(core::Duration Limit);

  /// Whether \ref drain has closed the listener. Thread-safe.
  bool isDraining() const;

  /// From now on each response closes its connection, so that clients reconnect
  /// to another instance. Thread-safe.
  void endConnections();

  /// Number of requests received whose responses are not written yet.
  /// Thread-safe.
  std::size_t openRequests() const;

  /// Closes the listener and all open connections and joins the threads. Must
  /// not be called from a handler. May be called twice.
  void stop();

  /// The bound port. Only after \ref start. Thread-safe.
  std::uint16_t port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_HTTPSERVER_H
