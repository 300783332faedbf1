#include "net/HttpClient.h"
#include "standins/FaultServer.h"
#include "standins/LoopbackServers.h"

#include <doctest/doctest.h>

#include <future>
#include <stdexcept>
#include <thread>

// A client whose thread doesn't run for a while, as in a process that was
// paused or had no processor time.

using namespace comfreydeck;
using core::ExchangeEnd;

namespace {

constexpr core::Duration LongLimit = std::chrono::seconds(20);
constexpr std::chrono::milliseconds ShortLimit(150);
constexpr std::chrono::milliseconds Pause(500);
constexpr std::size_t AnswerDelayMs = 40;

net::HttpCall callTo(const std::string &Address, core::Duration Limit) {
  net::HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + Address + "/";
  Call.Body = "{}";
  Call.TotalLimit = Limit;
  return Call;
}

/// Keeps the client's thread from running for \ref Pause, once \p Address has
/// answered a call.
std::future<void> pauseClient(net::HttpClient &Client,
                              const std::string &Address) {
  auto Begun = std::make_shared<std::promise<void>>();
  Client.send(callTo(Address, LongLimit), [Begun](const net::HttpResult &) {
    Begun->set_value();
    std::this_thread::sleep_for(Pause);
  });
  return Begun->get_future();
}

ExchangeEnd endOf(net::HttpClient &Client, net::HttpCall Call) {
  auto Ended = std::make_shared<std::promise<ExchangeEnd>>();
  Client.send(std::move(Call), [Ended](const net::HttpResult &Result) {
    Ended->set_value(Result.End);
  });
  return Ended->get_future().get();
}

} // namespace

TEST_CASE("answers that arrived while the client's thread did not run are "
          "delivered, also after the calls' time limits") {
  // More calls than the poller reports events of at once.
  constexpr std::size_t Hosts = 300;
  standins::LoopbackServers Servers(Hosts);
  net::HttpClient Client(net::HttpClientOptions{});
  std::vector<std::future<ExchangeEnd>> Ends;
  // Opens the connections, so that the requests below are sent at once.
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    REQUIRE(endOf(Client, callTo(Servers.address(Host), LongLimit)) ==
            ExchangeEnd::Answered);
  for (std::size_t Host = 1; Host < Hosts; ++Host) {
    net::HttpCall Call = callTo(Servers.address(Host), ShortLimit);
    Call.Headers.push_back({"Delay-Ms", std::to_string(AnswerDelayMs)});
    auto Ended = std::make_shared<std::promise<ExchangeEnd>>();
    Ends.push_back(Ended->get_future());
    Client.send(std::move(Call), [Ended](const net::HttpResult &Result) {
      Ended->set_value(Result.End);
    });
  }
  while (Servers.requests() < 2 * Hosts - 1)
    std::this_thread::yield();
  pauseClient(Client, Servers.address(0)).wait();
  std::size_t Lost = 0;
  for (std::future<ExchangeEnd> &End : Ends)
    Lost += End.get() == ExchangeEnd::Answered ? 0 : 1;
  CHECK(Lost == 0);
}

TEST_CASE(
    "a request that could not be sent in time is not sent after a pause") {
  standins::LoopbackServers Servers(2);
  net::HttpClient Client(net::HttpClientOptions{});
  REQUIRE(endOf(Client, callTo(Servers.address(1), LongLimit)) ==
          ExchangeEnd::Answered);
  pauseClient(Client, Servers.address(0)).wait();
  net::HttpCall Late = callTo(Servers.address(1), LongLimit);
  SUBCASE("with a limit that has passed") {
    Late.SendLimit = ShortLimit;
    CHECK(endOf(Client, Late) == ExchangeEnd::NeverSent);
    CHECK(Servers.requests() == 2);
  }
  SUBCASE("with a limit that has not passed") {
    Late.SendLimit = LongLimit;
    CHECK(endOf(Client, Late) == ExchangeEnd::Answered);
  }
}

TEST_CASE(
    "an exception of a callback ends neither the client nor other calls") {
  standins::LoopbackServers Servers(1);
  net::HttpClient Client(net::HttpClientOptions{});
  Client.send(callTo(Servers.address(0), LongLimit),
              [](const net::HttpResult &) {
                throw std::runtime_error("a field has the wrong type");
              });
  CHECK(endOf(Client, callTo(Servers.address(0), LongLimit)) ==
        ExchangeEnd::Answered);
  CHECK(endOf(Client, callTo(Servers.address(0), LongLimit)) ==
        ExchangeEnd::Answered);
  CHECK(Client.counts()[static_cast<std::size_t>(net::HttpTarget::Other)]
            .HandlerFailed == 1);
}
