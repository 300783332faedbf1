#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "net/Loop.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <stdexcept>

using namespace comfreydeck;

namespace {

net::HttpCall callTo(const net::HttpServer &Server) {
  net::HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://127.0.0.1:" + std::to_string(Server.port()) + "/";
  Call.Body = "x";
  Call.TotalLimit = std::chrono::seconds(20);
  return Call;
}

} // namespace

TEST_CASE("a drain waits until a large answer is written completely") {
  constexpr std::size_t AnswerBytes = 32 << 20;
  net::HttpServer Server({}, [](net::HttpRequest, net::HttpResponder Respond) {
    Respond({200, {}, std::string(AnswerBytes, 'a')});
  });
  Server.start();
  net::HttpClient Client(net::HttpClientOptions{});
  std::promise<net::HttpResult> Done;
  net::HttpCall Call = callTo(Server);
  Call.MaxAnswerBytes = AnswerBytes;
  Client.send(std::move(Call),
              [&](net::HttpResult R) { Done.set_value(std::move(R)); });
  while (Server.openRequests() == 0)
    std::this_thread::yield();
  Server.drain(std::chrono::seconds(20));
  Server.stop();
  net::HttpResult Result = Done.get_future().get();
  CHECK(Result.End == core::ExchangeEnd::Answered);
  CHECK(Result.Response.Body.size() == AnswerBytes);
}

TEST_CASE(
    "a draining server refuses new connections and closes existing ones") {
  std::promise<net::HttpResponder> Held;
  net::HttpServer Server({}, [&](net::HttpRequest, net::HttpResponder Respond) {
    Held.set_value(std::move(Respond));
  });
  Server.start();
  net::HttpClient Client(net::HttpClientOptions{});
  std::promise<net::HttpResult> Done;
  Client.send(callTo(Server),
              [&](net::HttpResult R) { Done.set_value(std::move(R)); });
  net::HttpResponder Respond = Held.get_future().get();
  std::thread Draining([&] { Server.drain(std::chrono::seconds(20)); });
  while (!Server.isDraining())
    std::this_thread::yield();
  Respond({200, {}, "held"});
  Draining.join();
  net::HttpResult Result = Done.get_future().get();
  CHECK(Result.Response.Body == "held");
  CHECK(net::findHeader(Result.Response.Headers, "Connection") == "close");
  std::promise<net::HttpResult> Refused;
  Client.send(callTo(Server),
              [&](net::HttpResult R) { Refused.set_value(std::move(R)); });
  CHECK(Refused.get_future().get().End == core::ExchangeEnd::ConnectFailed);
}

TEST_CASE("a responder may outlive its server") {
  std::promise<net::HttpResponder> Held;
  net::HttpResponder Respond;
  net::HttpClient Client(net::HttpClientOptions{});
  std::promise<net::HttpResult> Done;
  {
    net::HttpServer Server({}, [&](net::HttpRequest, net::HttpResponder R) {
      Held.set_value(std::move(R));
    });
    Server.start();
    Client.send(callTo(Server),
                [&](net::HttpResult R) { Done.set_value(std::move(R)); });
    Respond = Held.get_future().get();
  }
  Respond({200, {}, "too late"});
  Respond = nullptr;
  CHECK(Done.get_future().get().End != core::ExchangeEnd::Answered);
}

TEST_CASE("all callbacks are called before a client is destroyed") {
  net::HttpServer Server({}, [](net::HttpRequest, net::HttpResponder) {});
  Server.start();
  std::atomic<int> Calls = 0;
  {
    net::HttpClient Client(net::HttpClientOptions{});
    Client.send(callTo(Server), [&](net::HttpResult) {
      ++Calls;
      Client.send(callTo(Server), [&](net::HttpResult) { ++Calls; });
    });
  }
  CHECK(Calls == 2);
}

TEST_CASE("a handler that throws ends its own request only") {
  std::atomic<int> Requests = 0;
  net::HttpServer Server({}, [&](net::HttpRequest, net::HttpResponder Respond) {
    if (++Requests == 1)
      throw std::runtime_error("unexpected");
    Respond({200, {}, ""});
  });
  Server.start();
  net::HttpClient Client(net::HttpClientOptions{});
  std::vector<int> Statuses;
  for (int N = 0; N < 2; ++N) {
    std::promise<net::HttpResult> Done;
    Client.send(callTo(Server),
                [&](net::HttpResult R) { Done.set_value(std::move(R)); });
    Statuses.push_back(Done.get_future().get().Response.Status);
  }
  CHECK(Statuses == std::vector<int>{500, 200});
}

// An entry whose port was taken hung in the server's destructor and never
// ended.
TEST_CASE("a server whose address is in use fails to start and can be "
          "destroyed") {
  net::HttpServer First(
      {}, [](const net::HttpRequest &, const net::HttpResponder &) {});
  First.start();
  net::HttpServerOptions Options;
  Options.Port = First.port();
  net::HttpServer Second(
      Options, [](const net::HttpRequest &, const net::HttpResponder &) {});
  CHECK_THROWS(Second.start());
}
