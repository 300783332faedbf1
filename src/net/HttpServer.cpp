#include "net/HttpServer.h"

#include <glog/logging.h>
#include <restinio/all.hpp>
#include <restinio/tls.hpp>

#include <atomic>
#include <future>
#include <stdexcept>
#include <thread>

namespace comfreydeck::net {

namespace {

using RequestHandler = std::function<restinio::request_handling_status_t(
    restinio::request_handle_t)>;

struct PlainTraits : restinio::default_traits_t {
  using request_handler_t = RequestHandler;
};

struct TlsTraits : restinio::default_tls_traits_t {
  using request_handler_t = RequestHandler;
};

constexpr std::size_t MaxHeaderFields = 100;
constexpr std::size_t MaxHeaderValueBytes = 8 * 1024;
constexpr std::chrono::milliseconds DrainPoll(5);
constexpr std::size_t MaxTargetBytes = 4 * 1024;
constexpr int StatusInternalError = 500;

HttpRequest toHttpRequest(const restinio::request_handle_t &Request) {
  HttpRequest Plain;
  Plain.Method = Request->header().method().c_str();
  Plain.Path = std::string(Request->header().path());
  Plain.Query = std::string(Request->header().query());
  Request->header().for_each_field([&](const auto &Field) {
    Plain.Headers.push_back({Field.name(), Field.value()});
  });
  Plain.Body = Request->body();
  return Plain;
}

/// State shared by a server and its requests in flight.
struct SharedState {
  std::atomic<std::size_t> OpenRequests = 0;
  std::atomic<bool> EndConnections = false;
};

/// Counts one request as open until its response is written or abandoned.
class OpenRequestCounter {
public:
  explicit OpenRequestCounter(std::shared_ptr<SharedState> S)
      : State_(std::move(S)) {
    ++State_->OpenRequests;
  }
  ~OpenRequestCounter() { --State_->OpenRequests; }

  OpenRequestCounter(const OpenRequestCounter &) = delete;
  OpenRequestCounter &operator=(const OpenRequestCounter &) = delete;

private:
  std::shared_ptr<SharedState> State_;
};

/// State held by a responder. The request's socket uses the event loop, so Io
/// is declared first and destroyed last.
struct OpenRequest {
  std::shared_ptr<asio::io_context> Io;
  std::shared_ptr<SharedState> State;
  std::shared_ptr<OpenRequestCounter> Count;
  restinio::request_handle_t Request;
};

void respond(OpenRequest &Open, HttpResponse Plain) {
  auto Status = restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<std::uint16_t>(Plain.Status)),
      "Status");
  auto Response = Open.Request->create_response(Status);
  if (Open.State->EndConnections)
    Response.connection_close();
  for (HttpHeader &Header : Plain.Headers)
    Response.append_header(std::move(Header.Name), std::move(Header.Value));
  Response.set_body(std::move(Plain.Body));
  Response.done([Count = std::move(Open.Count)](const asio::error_code &) {});
}

/// Type-erased RESTinio server, plain or with TLS.
class Listener {
public:
  virtual ~Listener() = default;
  virtual void open() = 0;
  virtual void close() = 0;
};

template <typename Traits> class TypedListener final : public Listener {
public:
  TypedListener(asio::io_context &Io,
                restinio::server_settings_t<Traits> Settings)
      : Server_(restinio::external_io_context(Io), std::move(Settings)) {}

  void open() override { Server_.open_sync(); }
  void close() override { Server_.close_sync(); }

private:
  restinio::http_server_t<Traits> Server_;
};

/// Builds a TLS context that requires a client certificate signed by the
/// authority. Throws std::system_error if a text is not valid PEM.
asio::ssl::context makeTlsContext(const TlsIdentity &Identity) {
  asio::ssl::context Context(asio::ssl::context::tls_server);
  Context.use_certificate_chain(asio::buffer(Identity.Certificate));
  Context.use_private_key(asio::buffer(Identity.Key), asio::ssl::context::pem);
  Context.add_certificate_authority(asio::buffer(Identity.Authority));
  Context.set_verify_mode(asio::ssl::verify_peer |
                          asio::ssl::verify_fail_if_no_peer_cert);
  return Context;
}

} // namespace

struct HttpServer::Impl {
  Impl(HttpServerOptions ServerOptions, HttpHandler ServerHandler)
      : Options(std::move(ServerOptions)), Handler(std::move(ServerHandler)) {}

  HttpServerOptions Options;
  HttpHandler Handler;
  std::shared_ptr<asio::io_context> Io = std::make_shared<asio::io_context>();
  std::shared_ptr<SharedState> State = std::make_shared<SharedState>();
  std::unique_ptr<Listener> Listening;
  std::vector<std::thread> Threads;
  std::atomic<std::uint16_t> Port = 0;
  std::atomic<bool> Closed = false;

  void closeListener();
  template <typename Traits> restinio::server_settings_t<Traits> settings();
};

template <typename Traits>
restinio::server_settings_t<Traits> HttpServer::Impl::settings() {
  restinio::server_settings_t<Traits> Settings;
  Settings.address(Options.Address);
  Settings.port(Options.Port);
  Settings.handle_request_timeout(Options.HandleLimit);
  Settings.incoming_http_msg_limits(
      restinio::incoming_http_msg_limits_t()
          .max_body_size(Options.MaxBodyBytes)
          .max_field_count(MaxHeaderFields)
          .max_field_value_size(MaxHeaderValueBytes)
          .max_url_size(MaxTargetBytes));
  Settings.acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &Acceptor) {
    Port = Acceptor.local_endpoint().port();
  });
  Settings.request_handler([this](restinio::request_handle_t Request) {
    auto Count = std::make_shared<OpenRequestCounter>(State);
    auto Open = std::make_shared<OpenRequest>(
        OpenRequest{Io, State, std::move(Count), Request});
    auto Responded = std::make_shared<std::atomic<bool>>(false);
    HttpResponder Responder = [Open, Responded](HttpResponse Plain) {
      if (!Responded->exchange(true))
        respond(*Open, std::move(Plain));
    };
    try {
      Handler(toHttpRequest(Request), Responder);
    } catch (const std::exception &E) {
      LOG(ERROR) << "net: the handler of a request failed: " << E.what();
      Responder(jsonResponse(StatusInternalError, "{}"));
    }
    return restinio::request_accepted();
  });
  return Settings;
}

void HttpServer::Impl::closeListener() {
  if (Closed.exchange(true))
    return;
  auto Done = std::make_shared<std::promise<void>>();
  asio::post(*Io, [this, Done] {
    Listening->close();
    Done->set_value();
  });
  Done->get_future().wait();
}

HttpServer::HttpServer(HttpServerOptions Options, HttpHandler Handler)
    : Impl_(std::make_unique<Impl>(std::move(Options), std::move(Handler))) {}

HttpServer::~HttpServer() { stop(); }

void HttpServer::start() {
  Impl &I = *Impl_;
  std::unique_ptr<Listener> Listening;
  if (I.Options.Tls) {
    auto Settings = I.settings<TlsTraits>();
    Settings.tls_context(makeTlsContext(*I.Options.Tls));
    Listening =
        std::make_unique<TypedListener<TlsTraits>>(*I.Io, std::move(Settings));
  } else {
    Listening = std::make_unique<TypedListener<PlainTraits>>(
        *I.Io, I.settings<PlainTraits>());
  }
  Listening->open();
  I.Listening = std::move(Listening);
  for (std::size_t N = 0; N < I.Options.Threads; ++N)
    I.Threads.emplace_back([&I] { I.Io->run(); });
}

void HttpServer::endConnections() { Impl_->State->EndConnections = true; }

void HttpServer::drain(core::Duration Limit) {
  Impl &I = *Impl_;
  endConnections();
  I.closeListener();
  auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (openRequests() > 0 && std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(DrainPoll);
}

bool HttpServer::isDraining() const { return Impl_->Closed; }

std::size_t HttpServer::openRequests() const {
  return Impl_->State->OpenRequests;
}

void HttpServer::stop() {
  Impl &I = *Impl_;
  if (!I.Listening)
    return;
  I.closeListener();
  I.Io->stop();
  for (std::thread &Thread : I.Threads)
    Thread.join();
  I.Threads.clear();
  I.Listening.reset();
}

std::uint16_t HttpServer::port() const { return Impl_->Port; }

} // namespace comfreydeck::net
