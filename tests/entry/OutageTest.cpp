#include "codec/KeyHash.h"
#include "entry/Entry.h"
#include "net/HttpClient.h"
#include "standins/PlatformStandin.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>
#include <unistd.h>

using namespace comfreydeck;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr const char *OperatorSecret = "operator-secret-for-this-test";
/// Far longer than any step here should take.
constexpr auto Timeout = 60s;

/// A platform and entries in this process.
class Cluster {
public:
  explicit Cluster(std::size_t Count)
      : Platform_(net::HttpServerOptions{}), Client_(net::HttpClientOptions{}) {
    // Unique to each test process and each cluster.
    static int Clusters = 0;
    BasePort_ = 20000 + (::getpid() % 500) * 20 + Clusters++ % 2 * 10;
    Platform_.start();
    Entries_.resize(Count);
    for (std::size_t I = 0; I < Count; ++I)
      start(I);
  }

  ~Cluster() {
    Entries_.clear();
    Platform_.stop();
  }

  void start(std::size_t I) {
    Entries_[I] = std::make_unique<entry::Entry>(settingsOf(I));
    Entries_[I]->start();
  }

  void kill(std::size_t I) { Entries_[I].reset(); }

  void setFaults(standins::PlatformFaults Faults) {
    Platform_.setFaults(Faults);
  }

  bool isReady(std::size_t I) {
    return call(I, "GET", "/readyz", "").first == 200;
  }

  bool waitForReady(std::size_t I, bool Ready) {
    auto Until = std::chrono::steady_clock::now() + Timeout;
    while (isReady(I) != Ready) {
      if (std::chrono::steady_clock::now() > Until)
        return false;
      std::this_thread::sleep_for(20ms);
    }
    return true;
  }

  /// Adds a pool and returns the answer.
  json addPool(std::size_t I, const std::string &Pool) {
    json Body = {{"edits", {{{"edit", "put-pool"}, {"name", Pool}}}}};
    return call(I, "POST", "/v1/operator/config/changes", Body.dump()).second;
  }

  json config(std::size_t I) {
    return call(I, "GET", "/v1/operator/config", "").second;
  }

private:
  settings::Settings settingsOf(std::size_t I) const {
    std::string Host = "http://127.0.0.1:" + std::to_string(Platform_.port());
    json J = {{"entry",
               {{"name", "e" + std::to_string(I)},
                {"datacentre", "dc1"},
                {"listen", "127.0.0.1:" + std::to_string(portOf(I))},
                {"peer_listen", "127.0.0.1:" + std::to_string(portOf(I) + 5)}}},
              {"platform",
               {{"table_service", Host},
                {"object_store", Host},
                {"instance_list", Host},
                {"call_limit_ms", 400}}},
              {"cluster", {{"token", "0123456789abcdef"}}},
              {"bootstrap_operator_key_hash",
               codec::toHex(codec::hashSecret(OperatorSecret))}};
    return settings::parseSettings(J.dump());
  }

  int portOf(std::size_t I) const { return BasePort_ + static_cast<int>(I); }

  std::pair<int, json> call(std::size_t I, const std::string &Method,
                            const std::string &Path, const std::string &Body) {
    net::HttpCall Call;
    Call.Method = Method;
    Call.Url = "http://127.0.0.1:" + std::to_string(portOf(I)) + Path;
    Call.Body = Body;
    Call.Headers.push_back(
        {"Authorization", std::string("Bearer ") + OperatorSecret});
    Call.TotalLimit = Timeout;
    std::promise<net::HttpResult> Done;
    Client_.send(std::move(Call),
                 [&](net::HttpResult R) { Done.set_value(std::move(R)); });
    net::HttpResult Result = Done.get_future().get();
    return {Result.Response.Status,
            json::parse(Result.Response.Body, nullptr, false)};
  }

  standins::PlatformStandin Platform_;
  net::HttpClient Client_;
  std::vector<std::unique_ptr<entry::Entry>> Entries_;
  int BasePort_ = 0;
};

standins::PlatformFaults storeDown() {
  standins::PlatformFaults Faults;
  Faults.ReadsDown = true;
  Faults.WritesDown = true;
  return Faults;
}

} // namespace

TEST_CASE("a change reported as in force is applied at every entry") {
  Cluster C(3);
  for (std::size_t I = 0; I < 3; ++I)
    REQUIRE(C.waitForReady(I, true));
  for (std::size_t I = 0; I < 3; ++I) {
    json Result = C.addPool(I, "p" + std::to_string(I));
    CHECK(Result["outcome"] == "in-force");
    for (std::size_t J = 0; J < 3; ++J)
      CHECK(C.config(J)["version"] == Result["version"]);
  }
}

TEST_CASE("entries that reach one another keep serving without the store") {
  Cluster C(2);
  REQUIRE(C.waitForReady(0, true));
  REQUIRE(C.waitForReady(1, true));
  REQUIRE(C.addPool(0, "p")["outcome"] == "in-force");
  C.setFaults(storeDown());
  // Longer than a read of the store stays valid.
  std::this_thread::sleep_for(5s);
  CHECK(C.isReady(0));
  CHECK(C.isReady(1));
  CHECK(C.addPool(0, "q")["outcome"] == "unavailable");
  C.kill(1);
  CHECK(C.waitForReady(0, false));
  C.setFaults({});
  CHECK(C.waitForReady(0, true));
}

TEST_CASE(
    "the outcome of a commit with a lost answer is determined by reading") {
  Cluster C(2);
  REQUIRE(C.waitForReady(0, true));
  REQUIRE(C.waitForReady(1, true));
  standins::PlatformFaults Faults;
  Faults.LoseAnswerEvery = 1;
  C.setFaults(Faults);
  json Result = C.addPool(0, "p");
  CHECK(Result["outcome"] == "in-force");
  CHECK(Result["version"] == 1);
  CHECK(C.config(1)["version"] == 1);
}

TEST_CASE(
    "the configuration survives a restart of all entries via its snapshot") {
  Cluster C(2);
  REQUIRE(C.waitForReady(0, true));
  REQUIRE(C.waitForReady(1, true));
  for (int I = 0; I < 120; ++I)
    REQUIRE(C.addPool(I % 2, "p" + std::to_string(I))["outcome"] == "in-force");
  json Before = C.config(0);
  C.kill(0);
  C.kill(1);
  C.start(0);
  C.start(1);
  REQUIRE(C.waitForReady(0, true));
  REQUIRE(C.waitForReady(1, true));
  CHECK(C.config(0) == Before);
  CHECK(C.config(1) == Before);
  CHECK(C.addPool(0, "last")["version"] == 121);
}
