#include "net/HttpClient.h"
#include "standins/FaultServer.h"

#include <doctest/doctest.h>

#include <future>
#include <set>
#include <thread>

using namespace comfreydeck;
using net::HttpTarget;
using standins::ConnectionEnd;
using standins::FaultScript;

namespace {

constexpr core::Duration LongLimit = std::chrono::seconds(20);
constexpr core::Duration ShortLimit = std::chrono::milliseconds(200);
constexpr core::Duration Never = std::chrono::minutes(10);

net::HttpCall callTo(std::uint16_t Port, HttpTarget Target,
                     core::Duration Limit) {
  net::HttpCall Call;
  Call.Url = "http://127.0.0.1:" + std::to_string(Port) + "/";
  Call.Target = Target;
  Call.TotalLimit = Limit;
  return Call;
}

void send(net::HttpClient &Client, net::HttpCall Call) {
  std::promise<void> Done;
  Client.send(std::move(Call), [&](net::HttpResult) { Done.set_value(); });
  Done.get_future().wait();
}

net::HttpCounts countsOf(const net::HttpClient &Client, HttpTarget Target) {
  return Client.counts()[static_cast<std::size_t>(Target)];
}

FaultScript answering() {
  FaultScript Script;
  Script.Answer = standins::rawAnswer(200, "", "done");
  return Script;
}

FaultScript silent() {
  FaultScript Script;
  Script.Delay = Never;
  return Script;
}

} // namespace

TEST_CASE("every kind of host has a unique, non-empty name") {
  std::set<std::string> Names;
  for (std::size_t T = 0; T < net::HttpTargetCount; ++T)
    CHECK(Names.insert(net::nameOf(static_cast<HttpTarget>(T))).second);
  CHECK(Names.count("") == 0);
}

TEST_CASE("a reused connection is counted once") {
  standins::FaultServer Server({answering(), answering(), answering()});
  net::HttpClient Client(net::HttpClientOptions{});
  for (int I = 0; I < 3; ++I)
    send(Client, callTo(Server.port(), HttpTarget::Worker, LongLimit));
  net::HttpCounts Seen = countsOf(Client, HttpTarget::Worker);
  CHECK(Seen.Calls == 3);
  CHECK(Seen.Connects == Server.connections());
  CHECK(Seen.BytesIn == 3 * std::string("done").size());
  CHECK(countsOf(Client, HttpTarget::Store).Calls == 0);
}

TEST_CASE("failed calls are counted by the kind of failure") {
  net::HttpClientOptions Options;
  Options.MaxCallsPerHost = 1;
  net::HttpClient Client(Options);
  SUBCASE("no answer in time") {
    standins::FaultServer Server({silent()});
    send(Client, callTo(Server.port(), HttpTarget::Store, ShortLimit));
    CHECK(countsOf(Client, HttpTarget::Store).TimedOut == 1);
  }
  SUBCASE("cut") {
    FaultScript Lost;
    Lost.End = ConnectionEnd::Close;
    standins::FaultServer Server({Lost});
    net::HttpCall Call = callTo(Server.port(), HttpTarget::Store, LongLimit);
    send(Client, std::move(Call));
    CHECK(countsOf(Client, HttpTarget::Store).Cut == 1);
  }
  SUBCASE("no host") {
    std::uint16_t Port = 0;
    {
      standins::FaultServer Gone({FaultScript()});
      Port = Gone.port();
    }
    send(Client, callTo(Port, HttpTarget::Store, LongLimit));
    CHECK(countsOf(Client, HttpTarget::Store).NotSent == 1);
  }
  SUBCASE("no free connection") {
    standins::FaultServer Server({silent()});
    std::promise<void> FirstDone;
    net::HttpCallId First =
        Client.send(callTo(Server.port(), HttpTarget::Store, LongLimit),
                    [&](net::HttpResult) { FirstDone.set_value(); });
    while (Server.wholeRequests() < 1)
      std::this_thread::yield();
    send(Client, callTo(Server.port(), HttpTarget::Store, ShortLimit));
    CHECK(countsOf(Client, HttpTarget::Store).NotSentInTime == 1);
    Client.cancel(First);
    FirstDone.get_future().wait();
  }
  CHECK(countsOf(Client, HttpTarget::Other).Calls == 0);
}
