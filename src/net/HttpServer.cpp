#include "net/HttpServer.h"

#include <glog/logging.h>
#include <restinio/all.hpp>

#include <atomic>
#include <future>
#include <stdexcept>
#include <thread>

namespace comfreydeck::net {

namespace {

struct ServerTraits : restinio::default_traits_t {
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
};

using Server = restinio::http_server_t<ServerTraits>;

constexpr std::size_t MaxHeaderFields = 100;
constexpr std::size_t MaxHeaderValueBytes = 8 * 1024;
constexpr std::chrono::milliseconds DrainPoll(5);
constexpr std::size_t MaxTargetBytes = 4 * 1024;

HttpRequest toPlain(const restinio::request_handle_t &Request) {
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

/// What a server and its requests in flight tell each other.
struct TrafficState {
  std::atomic<std::size_t> OpenRequests = 0;
  std::atomic<bool> EndConnections = false;
};

/// Counts one request until its answer is written or given up.
class OpenCount {
public:
  explicit OpenCount(std::shared_ptr<TrafficState> S) : State_(std::move(S)) {
    ++State_->OpenRequests;
  }
  ~OpenCount() { --State_->OpenRequests; }

  OpenCount(const OpenCount &) = delete;
  OpenCount &operator=(const OpenCount &) = delete;

private:
  std::shared_ptr<TrafficState> State_;
};

/// What a responder holds. The request's socket belongs to the event loop, so
/// that it is named after it and goes first.
struct OpenRequest {
  std::shared_ptr<asio::io_context> Io;
  std::shared_ptr<TrafficState> State;
  std::shared_ptr<OpenCount> Count;
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

} // namespace

struct HttpServer::Impl {
  Impl(HttpServerOptions ServerOptions, HttpHandler ServerHandler)
      : Options(std::move(ServerOptions)), Handler(std::move(ServerHandler)) {}

  HttpServerOptions Options;
  HttpHandler Handler;
  std::shared_ptr<asio::io_context> Io = std::make_shared<asio::io_context>();
  std::shared_ptr<TrafficState> State = std::make_shared<TrafficState>();
  std::unique_ptr<Server> Listener;
  std::vector<std::thread> Threads;
  std::atomic<std::uint16_t> Port = 0;
  std::atomic<bool> Closed = false;

  void closeListener();
};

void HttpServer::Impl::closeListener() {
  if (Closed.exchange(true))
    return;
  auto Done = std::make_shared<std::promise<void>>();
  asio::post(*Io, [this, Done] {
    Listener->close_sync();
    Done->set_value();
  });
  Done->get_future().wait();
}

HttpServer::HttpServer(HttpServerOptions Options, HttpHandler Handler)
    : Impl_(std::make_unique<Impl>(std::move(Options), std::move(Handler))) {}

HttpServer::~HttpServer() { stop(); }

void HttpServer::start() {
  Impl &I = *Impl_;
  restinio::server_settings_t<ServerTraits> Settings;
  Settings.address(I.Options.Address);
  Settings.port(I.Options.Port);
  Settings.handle_request_timeout(I.Options.HandleLimit);
  Settings.incoming_http_msg_limits(
      restinio::incoming_http_msg_limits_t()
          .max_body_size(I.Options.MaxBodyBytes)
          .max_field_count(MaxHeaderFields)
          .max_field_value_size(MaxHeaderValueBytes)
          .max_url_size(MaxTargetBytes));
  Settings.acceptor_post_bind_hook([&I](asio::ip::tcp::acceptor &Acceptor) {
    I.Port = Acceptor.local_endpoint().port();
  });
  Settings.request_handler([&I](restinio::request_handle_t Request) {
    auto Count = std::make_shared<OpenCount>(I.State);
    auto Open = std::make_shared<OpenRequest>(
        OpenRequest{I.Io, I.State, std::move(Count), Request});
    I.Handler(toPlain(Request), [Open = std::move(Open)](HttpResponse Plain) {
      respond(*Open, std::move(Plain));
    });
    return restinio::request_accepted();
  });
  I.Listener = std::make_unique<Server>(restinio::external_io_context(*I.Io),
                                        std::move(Settings));
  I.Listener->open_sync();
  for (std::size_t N = 0; N < I.Options.Threads; ++N)
    I.Threads.emplace_back([&I] { I.Io->run(); });
}

void HttpServer::endConnections() { Impl_->State->EndConnections = true; }

void HttpServer::drain(core::Duration Limit) {
  Impl &I = *Impl_;
  endConnections();
  I.closeListener();
  auto Until = std::chrono::steady_clock::now() + Limit;
  while (openRequests() > 0 && std::chrono::steady_clock::now() < Until)
    std::this_thread::sleep_for(DrainPoll);
}

bool HttpServer::isDraining() const { return Impl_->Closed; }

std::size_t HttpServer::openRequests() const {
  return Impl_->State->OpenRequests;
}

void HttpServer::stop() {
  Impl &I = *Impl_;
  if (!I.Listener)
    return;
  I.closeListener();
  I.Io->stop();
  for (std::thread &Thread : I.Threads)
    Thread.join();
  I.Threads.clear();
  I.Listener.reset();
}

std::uint16_t HttpServer::port() const { return Impl_->Port; }

} // namespace comfreydeck::net
