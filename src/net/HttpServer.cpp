#include "net/HttpServer.h"

#include <glog/logging.h>
#include <restinio/all.hpp>

#include <atomic>
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

void respond(const restinio::request_handle_t &Request, HttpResponse Plain) {
  auto Status = restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<std::uint16_t>(Plain.Status)),
      "Status");
  auto Response = Request->create_response(Status);
  for (HttpHeader &Header : Plain.Headers)
    Response.append_header(std::move(Header.Name), std::move(Header.Value));
  Response.set_body(std::move(Plain.Body));
  Response.done();
}

} // namespace

struct HttpServer::Impl {
  Impl(HttpServerOptions ServerOptions, HttpHandler ServerHandler)
      : Options(std::move(ServerOptions)), Handler(std::move(ServerHandler)) {}

  HttpServerOptions Options;
  HttpHandler Handler;
  asio::io_context Io;
  std::unique_ptr<Server> Listener;
  std::vector<std::thread> Threads;
  std::atomic<std::uint16_t> Port = 0;
};

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
    I.Handler(toPlain(Request), [Request](HttpResponse Plain) {
      respond(Request, std::move(Plain));
    });
    return restinio::request_accepted();
  });
  I.Listener = std::make_unique<Server>(restinio::external_io_context(I.Io),
                                        std::move(Settings));
  I.Listener->open_sync();
  for (std::size_t N = 0; N < I.Options.Threads; ++N)
    I.Threads.emplace_back([&I] { I.Io.run(); });
}

void HttpServer::stop() {
  Impl &I = *Impl_;
  if (!I.Listener)
    return;
  asio::post(I.Io, [&I] { I.Listener->close_sync(); });
  I.Io.stop();
  for (std::thread &Thread : I.Threads)
    Thread.join();
  I.Threads.clear();
  I.Listener.reset();
}

std::uint16_t HttpServer::port() const { return Impl_->Port; }

} // namespace comfreydeck::net
