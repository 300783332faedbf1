#include "operators/OperatorHarness.h"

#include "codec/KeyHash.h"
#include "entry/Entry.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>

namespace comfreydeck::tests {

namespace {

using nlohmann::json;

constexpr int MaxTries = 1000;
constexpr std::chrono::milliseconds PollInterval(20);

/// Returns a port that was free at the time of the call.
std::uint16_t freePort() {
  net::HttpServer Probe({}, [](net::HttpRequest, net::HttpResponder) {});
  Probe.start();
  return Probe.port();
}

std::string address(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// Polls until \p Condition returns true; fails the test after MaxTries
/// attempts.
template <typename F> void waitUntil(F Condition) {
  for (int Try = 0; Try < MaxTries; ++Try) {
    if (Condition())
      return;
    std::this_thread::sleep_for(PollInterval);
  }
  FAIL("timed out waiting for a condition");
}

settings::Settings settingsOf(std::size_t Index, std::uint16_t Port,
                              const std::string &Platform,
                              const std::string &Secret) {
  settings::Settings S;
  S.Entry.Name = "e" + std::to_string(Index + 1);
  S.Entry.DataCentre = "dc1";
  S.Entry.Listen = address(Port);
  S.Entry.PeerListen = address(freePort());
  S.Platform.TableService = Platform;
  S.Platform.ObjectStore = Platform;
  S.Platform.InstanceList = Platform;
  S.Cluster.Token = "a-token-for-loopback-only";
  S.BootstrapOperatorKeyHash = codec::toHex(codec::hashSecret(Secret));
  return S;
}

} // namespace

OperatorHarness::OperatorHarness(std::size_t Count)
    : Secret_(codec::makeSecret()), Platform_(net::HttpServerOptions()),
      Client_(net::HttpClientOptions()) {
  Platform_.start();
  std::string Platform = "http://" + address(Platform_.port());
  for (std::size_t I = 0; I < Count; ++I) {
    Ports_.push_back(freePort());
    Entries_.push_back(std::make_unique<entry::Entry>(
        settingsOf(I, Ports_.back(), Platform, Secret_)));
    Entries_.back()->start();
  }
  for (std::size_t I = 0; I < Count; ++I)
    waitUntil([&] { return send(I, "GET", "/readyz", "", "").Status == 200; });
}

OperatorHarness::~OperatorHarness() {
  Entries_.clear();
  Platform_.stop();
}

std::string OperatorHarness::url(std::size_t Index) const {
  return "http://" + address(Ports_.at(Index));
}

net::HttpResponse OperatorHarness::send(std::size_t Index,
                                        const std::string &Method,
                                        const std::string &Path,
                                        const std::string &Body,
                                        const std::string &Secret) {
  net::HttpCall Call;
  Call.Method = Method;
  Call.Url = url(Index) + Path;
  if (!Secret.empty())
    Call.Headers.push_back({"Authorization", "Bearer " + Secret});
  Call.Body = Body;
  Call.TotalLimit = std::chrono::seconds(20);
  std::promise<net::HttpResult> Promise;
  Client_.send(std::move(Call), [&Promise](net::HttpResult Result) {
    Promise.set_value(std::move(Result));
  });
  net::HttpResult Result = Promise.get_future().get();
  CAPTURE(Result.Error);
  REQUIRE(Result.End == core::ExchangeEnd::Answered);
  return std::move(Result.Response);
}

net::HttpResponse OperatorHarness::send(const std::string &Method,
                                        const std::string &Path,
                                        const std::string &Body) {
  return send(0, Method, Path, Body, Secret_);
}

void OperatorHarness::apply(const std::string &Edits) {
  net::HttpResponse Response =
      send("POST", "/v1/operator/config/changes", R"({"edits":)" + Edits + "}");
  CAPTURE(Response.Body);
  REQUIRE(Response.Status < 300);
  waitFor(json::parse(Response.Body).at("version").get<std::uint64_t>());
}

void OperatorHarness::waitFor(std::uint64_t Version) {
  for (std::size_t I = 0; I < Entries_.size(); ++I)
    waitUntil([&] { return versionAt(I) >= Version; });
}

std::uint64_t OperatorHarness::versionAt(std::size_t Index) {
  // Reads the configuration, which any valid key allows: the metrics need no
  // key but don't contain the version.
  net::HttpResponse Response =
      send(Index, "GET", "/v1/operator/config", "", Secret_);
  REQUIRE(Response.Status == 200);
  return json::parse(Response.Body).at("version").get<std::uint64_t>();
}

} // namespace comfreydeck::tests
