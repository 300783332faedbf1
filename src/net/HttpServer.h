#ifndef COMFREYDECK_NET_HTTPSERVER_H
#define COMFREYDECK_NET_HTTPSERVER_H

#include "core/Types.h"
#include "net/Http.h"

#include <functional>
#include <memory>

namespace comfreydeck::net {

/// Sends the answer of one request. May be called once, from any thread; it
/// may outlive the server, and does nothing then.
using HttpResponder = std::function<void(HttpResponse)>;

/// Handles one request; called on a traffic thread.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpServerOptions {
  std::string Address = "127.0.0.1";
  /// Zero takes any free port.
  std::uint16_t Port = 0;
  std::size_t Threads = 1;
  std::size_t MaxBodyBytes = 8 << 20;
  /// Longest time from a whole request to its answer.
  core::Duration HandleLimit = std::chrono::minutes(30);
  /// Null: plain connections. Else only holders of a certificate are served.
  std::shared_ptr<const TlsIdentity> Tls;
};

/// An HTTP/1.1 server on threads of its own.
class HttpServer {
public:
  /// Binds nothing yet. \p Handler must be callable from several threads.
  HttpServer(HttpServerOptions Options, HttpHandler Handler);
  /// Stops as \ref stop does.
  ~HttpServer();

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds and starts the threads. Throws std::runtime_error where the address
  /// can't be bound. Call once.
  void start();

  /// Takes no new connection, lets each answer end its connection, and waits
  /// until every request received is answered and written, \p Limit at most.
  /// Not to be called from a handler. Only after \ref start.
  void drain(core::Duration Limit);

  /// Whether \ref drain has closed the listener. Thread-safe.
  bool isDraining() const;

  /// Each answer ends its connection from now on, so that callers go elsewhere.
  /// Thread-safe.
  void endConnections();

  /// Requests received whose answers are not written yet. Thread-safe.
  std::size_t openRequests() const;

  /// Closes the listener, cuts what is still open and joins the threads. Not to
  /// be called from a handler. May be called twice.
  void stop();

  /// The bound port. Only after \ref start. Thread-safe.
  std::uint16_t port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_HTTPSERVER_H
