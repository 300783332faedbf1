#include "net/HttpClient.h"

#include "net/Loop.h"
#include "standins/LoopbackServers.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>

using namespace comfreydeck;
using core::ExchangeEnd;

namespace {

constexpr core::Duration LongLimit = std::chrono::seconds(20);
constexpr core::Duration ShortLimit = std::chrono::milliseconds(300);
constexpr std::size_t Hosts = 100;
constexpr std::size_t CallsPerHost = 8;
constexpr std::size_t MaxCallsToHost = 6;
/// Descriptor limit of the smallest machines.
constexpr std::size_t Descriptors = 4096;

net::HttpCall callTo(const std::string &Address, core::Duration Limit,
                     std::size_t DelayMs = 0) {
  net::HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + Address + "/v1/run-start";
  Call.Body = "{}";
  Call.TotalLimit = Limit;
  Call.MaxCallsToHost = MaxCallsToHost;
  if (DelayMs > 0)
    Call.Headers.push_back({"Delay-Ms", std::to_string(DelayMs)});
  return Call;
}

/// Counts finished calls by outcome.
class Ends {
public:
  net::HttpCallback counter() {
    return [this](const net::HttpResult &Result) {
      std::lock_guard<std::mutex> Lock(Mutex_);
      ++All_;
      if (Result.End == ExchangeEnd::Answered)
        ++Answered_;
      else if (Result.End == ExchangeEnd::ConnectFailed)
        ++NotSent_;
      Changed_.notify_all();
    };
  }

  void waitFor(std::size_t Count) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Changed_.wait(Lock, [&] { return All_ >= Count; });
  }

  std::size_t answered() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Answered_;
  }

  std::size_t notSent() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return NotSent_;
  }

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::size_t All_ = 0;
  std::size_t Answered_ = 0;
  std::size_t NotSent_ = 0;
};

} // namespace

TEST_CASE("bursts to many workers reuse connections") {
  standins::LoopbackServers Servers(Hosts);
  net::HttpClient Client(net::clientOptionsFor(Descriptors));
  std::uint32_t AfterFirst = 0;
  for (int Burst = 0; Burst < 4; ++Burst) {
    Ends E;
    for (std::size_t N = 0; N < Hosts * CallsPerHost; ++N)
      Client.send(callTo(Servers.address(N % Hosts), LongLimit), E.counter());
    E.waitFor(Hosts * CallsPerHost);
    CHECK(E.answered() == Hosts * CallsPerHost);
    if (Burst == 0)
      AfterFirst = Servers.connections();
  }
  CHECK(Servers.requests() == 4 * Hosts * CallsPerHost);
  // Later bursts reuse the connections that the first one opened.
  CHECK(Servers.connections() <= Hosts * MaxCallsToHost);
  CHECK(Servers.connections() - AfterFirst <= Hosts);
}

TEST_CASE("calls queued for one host don't delay calls to another host, and "
          "all finish") {
  standins::LoopbackServers Servers(2);
  net::HttpClientOptions Options;
  Options.MaxCallsPerHost = 2;
  net::HttpClient Client(Options);
  constexpr std::size_t DelayMs = 30;
  constexpr std::size_t Calls = 12;
  Ends Slow;
  Ends Fast;
  for (std::size_t N = 0; N < Calls; ++N)
    Client.send(callTo(Servers.address(0), LongLimit, DelayMs), Slow.counter());
  for (std::size_t N = 0; N < Calls; ++N)
    Client.send(callTo(Servers.address(1), LongLimit), Fast.counter());
  Fast.waitFor(Calls);
  Slow.waitFor(Calls);
  CHECK(Fast.answered() == Calls);
  CHECK(Slow.answered() == Calls);
  CHECK(Servers.connections(0) == 2);
  CHECK(Servers.connections(1) == 2);
}

TEST_CASE("a long-polling report does not delay starts at the same worker") {
  standins::LoopbackServers Servers(1);
  net::HttpClient Client(net::HttpClientOptions{});
  constexpr std::size_t Forever = 1000000;
  Ends Report;
  Ends Starts;
  net::HttpCallId Waiting = Client.send(
      callTo(Servers.address(0), LongLimit, Forever), Report.counter());
  for (std::size_t N = 0; N < CallsPerHost; ++N)
    Client.send(callTo(Servers.address(0), LongLimit), Starts.counter());
  Starts.waitFor(CallsPerHost);
  CHECK(Starts.answered() == CallsPerHost);
  Client.cancel(Waiting);
  Report.waitFor(1);
}

TEST_CASE("a call that waits for its turn is told from one that has begun") {
  standins::LoopbackServers Servers(1);
  net::HttpClientOptions Options;
  Options.MaxCallsPerHost = 1;
  net::HttpClient Client(Options);
  constexpr std::size_t DelayMs = 200;
  auto FirstAt = std::make_shared<net::BeginTime>();
  auto SecondAt = std::make_shared<net::BeginTime>();
  Ends First;
  Ends Second;
  core::TimePoint Begin = net::bootNow();
  net::HttpCall Call = callTo(Servers.address(0), LongLimit, DelayMs);
  Call.BegunAt = FirstAt;
  Client.send(std::move(Call), First.counter());
  Call = callTo(Servers.address(0), LongLimit);
  Call.BegunAt = SecondAt;
  Client.send(std::move(Call), Second.counter());
  Second.waitFor(1);
  REQUIRE(FirstAt->get());
  REQUIRE(SecondAt->get());
  CHECK(*FirstAt->get() >= Begin);
  CHECK(*SecondAt->get() >=
        *FirstAt->get() + std::chrono::milliseconds(DelayMs));
}

TEST_CASE("a call that waits for a connection ends unsent at its time limit") {
  standins::LoopbackServers Servers(1);
  net::HttpClientOptions Options;
  Options.MaxCallsPerHost = 1;
  net::HttpClient Client(Options);
  constexpr std::size_t Forever = 1000000;
  Ends First;
  Ends Later;
  net::HttpCallId Id = Client.send(
      callTo(Servers.address(0), LongLimit, Forever), First.counter());
  for (std::size_t N = 0; N < CallsPerHost; ++N)
    Client.send(callTo(Servers.address(0), ShortLimit), Later.counter());
  Later.waitFor(CallsPerHost);
  CHECK(Later.notSent() == CallsPerHost);
  Client.cancel(Id);
  First.waitFor(1);
  CHECK(Servers.requests() == 1);
}

TEST_CASE("after a timeout the host's other idle connections are not reused") {
  standins::LoopbackServers Servers(1);
  net::HttpClient Client(net::HttpClientOptions{});
  Ends Before;
  constexpr std::size_t DelayMs = 50;
  for (std::size_t N = 0; N < CallsPerHost; ++N)
    Client.send(callTo(Servers.address(0), LongLimit, DelayMs),
                Before.counter());
  Before.waitFor(CallsPerHost);
  REQUIRE(Servers.connections() > 1);
  Servers.muteOpenConnections();
  Ends Lost;
  Client.send(callTo(Servers.address(0), ShortLimit), Lost.counter());
  Lost.waitFor(1);
  CHECK(Lost.answered() == 0);
  Ends After;
  Client.send(callTo(Servers.address(0), LongLimit), After.counter());
  After.waitFor(1);
  CHECK(After.answered() == 1);
}
