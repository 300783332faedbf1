#include "codec/KeyHash.h"
#include "entry/Entry.h"
#include "operators/OperatorClient.h"
#include "standins/PlatformStandin.h"
#include "standins/WorkerStandin.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <list>
#include <thread>

using namespace comfreydeck;
using nlohmann::json;

namespace {

constexpr const char *Secret = "operators-first-secret";
constexpr std::chrono::seconds Timeout(60);

std::uint16_t freePort() {
  net::HttpServer Server({}, [](auto, auto) {});
  Server.start();
  return Server.port();
}

std::string local(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// A platform, workers in two data centres, and entries.
class Cluster {
public:
  Cluster(std::uint32_t WorkerCount, std::uint32_t EntryCount)
      : Platform({}), Log_("") {
    Platform.start();
    Timers_.start();
    json List = json::array();
    for (std::uint32_t N = 1; N <= WorkerCount; ++N) {
      standins::WorkerStandinOptions Options;
      Options.Name = "w" + std::to_string(N);
      Workers.emplace_back(Options, Timers_, Log_).start();
      std::string Zone = N % 2 == 0 ? "dc2" : "dc1";
      List.push_back({{"name", Options.Name},
                      {"kind", "worker"},
                      {"state", "live"},
                      {"address", local(Workers.back().port())},
                      {"datacentre", Zone},
                      {"rack", Zone + "-r" + std::to_string(N / 4)}});
    }
    Platform.setInstances(json({{"instances", List}}).dump());
    for (std::uint32_t N = 1; N <= EntryCount; ++N)
      startEntry(N);
  }

  ~Cluster() {
    Entries.clear();
    for (standins::WorkerStandin &W : Workers)
      W.stop();
    Timers_.stop();
    Platform.stop();
  }

  /// Sends an operator's call to entry \p N; returns the body, also of a
  /// refusal.
  json call(std::size_t N, const char *Method, const std::string &Path,
            const json &Body = {}) const {
    operators::OperatorAccess Access;
    Access.Entries = {"http://" + Addresses[N]};
    Access.KeySecret = Secret;
    operators::OperatorClient Client(Access);
    net::HttpResponse Response = Client.send(Method, "/v1/operator/" + Path,
                                             Body.is_null() ? "" : Body.dump());
    return json::parse(Response.Body, nullptr, false);
  }

  /// Whether \p Condition becomes true within a time generous for slow
  /// machines.
  template <typename F> static bool eventually(F Condition) {
    auto Until = std::chrono::steady_clock::now() + Timeout;
    while (std::chrono::steady_clock::now() < Until) {
      if (Condition())
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  }

  std::string stateOf(const std::string &Name) const {
    json J = call(0, "GET", "instances/" + Name);
    return J.is_object() ? J.value("state", "") : "";
  }

  /// Creates the pool "signing" with every worker, and an empty pool "filing".
  void createPools(std::uint32_t AbsentLimit) const {
    json Pool = {{"edit", "put-pool"},
                 {"name", "signing"},
                 {"absent_limit", AbsentLimit},
                 {"absent_limit_per_domain", AbsentLimit}};
    json Edits = {{{"edit", "put-datacentre"}, {"name", "dc1"}},
                  {{"edit", "put-datacentre"}, {"name", "dc2"}},
                  Pool,
                  {{"edit", "put-pool"}, {"name", "filing"}}};
    REQUIRE(eventually([&] {
      json J = call(0, "POST", "config/changes", {{"edits", Edits}});
      return J.is_object() && !J.contains("error");
    }));
    for (std::size_t N = 1; N <= Workers.size(); ++N) {
      std::string Name = "w" + std::to_string(N);
      REQUIRE(eventually([&] {
        return call(0, "PUT", "instances/" + Name, {{"pool", "signing"}})
                   .value("outcome", "") == "done";
      }));
    }
    REQUIRE(eventually([&] { return unplanned() == 0; }));
    for (std::size_t N = 0; N < Entries.size(); ++N)
      REQUIRE(eventually([&] {
        json J = call(N, "GET", "instances");
        return J.is_object() && J["instances"].size() == Workers.size();
      }));
  }

  std::uint32_t unplanned() const {
    json J = call(0, "GET", "pools/signing");
    if (!J.is_object() || !J.contains("budget"))
      return 99;
    bool All = J["budget"]["size"] == Workers.size();
    return All ? J["budget"]["unplanned"].get<std::uint32_t>() : 99;
  }

  standins::PlatformStandin Platform;
  std::list<standins::WorkerStandin> Workers;
  std::vector<std::unique_ptr<entry::Entry>> Entries;
  std::vector<std::string> Addresses;

private:
  void startEntry(std::uint32_t N) {
    std::string Url = "http://" + local(Platform.port());
    Addresses.push_back(local(freePort()));
    json S = {{"entry",
               {{"name", "e" + std::to_string(N)},
                {"datacentre", "dc1"},
                {"listen", Addresses.back()},
                {"peer_listen", local(freePort())}}},
              {"platform",
               {{"table_service", Url},
                {"object_store", Url},
                {"instance_list", Url}}},
              {"cluster", {{"token", "a-token-for-loopback-only"}}},
              {"fleet", {{"warm_up_ms", 200}}},
              {"bootstrap_operator_key_hash",
               codec::toHex(codec::hashSecret(Secret))}};
    Entries.push_back(
        std::make_unique<entry::Entry>(settings::parseSettings(S.dump())));
    Entries.back()->start();
  }

  net::Loop Timers_;
  standins::EventLog Log_;
};

} // namespace

TEST_CASE("of two concurrent drains only one is accepted within the budget") {
  Cluster C(4, 2);
  C.createPools(1);
  json First;
  json Second;
  std::thread Other([&] {
    Second = C.call(1, "POST", "instances/w2/drain", {{"reboot", true}});
  });
  First = C.call(0, "POST", "instances/w1/drain", {{"reboot", true}});
  Other.join();
  CAPTURE(First.dump());
  CAPTURE(Second.dump());
  bool FirstWon = First.value("outcome", "") == "accepted";
  bool SecondWon = Second.value("outcome", "") == "accepted";
  CHECK(FirstWon != SecondWon);
  const json &Loser = FirstWon ? Second : First;
  CHECK(Loser.value("outcome", "") == "refused");
  CHECK(Loser.value("message", "").find("wait for one") != std::string::npos);
  std::string Gone = FirstWon ? "w1" : "w2";
  CHECK(Cluster::eventually([&] {
    json J = C.call(0, "GET", "instances/" + Gone);
    return J.value("state", "") == "serving" &&
           J.value("boot_id", "") == Gone + "-boot-1";
  }));
  CHECK(Cluster::eventually([&] {
    return C.call(1, "POST", "instances/w3/drain").value("outcome", "") ==
           "accepted";
  }));
  CHECK(Cluster::eventually([&] { return C.stateOf("w3") == "empty"; }));
  CHECK(C.call(1, "POST", "instances/w3/return").value("outcome", "") ==
        "accepted");
  CHECK(Cluster::eventually([&] { return C.stateOf("w3") == "serving"; }));
}

TEST_CASE("a moved instance counts in its new pool only") {
  Cluster C(4, 2);
  C.createPools(2);
  json J = C.call(1, "PUT", "instances/w1", {{"pool", "filing"}});
  CHECK(J.value("outcome", "") == "accepted");
  CHECK(Cluster::eventually([&] {
    json I = C.call(0, "GET", "instances/w1");
    return I.value("pool", "") == "filing" && I.value("state", "") == "serving";
  }));
  json Pool = C.call(0, "GET", "pools/signing");
  CHECK(Pool["budget"]["size"] == 3);
  CHECK(Pool["budget"]["planned"] == 0);
}

TEST_CASE("a wave reboots each instance once despite lost store answers") {
  Cluster C(4, 2);
  C.createPools(3);
  standins::PlatformFaults Faults;
  Faults.LoseAnswerEvery = 4;
  C.Platform.setFaults(Faults);
  REQUIRE(Cluster::eventually([&] {
    json J =
        C.call(0, "POST", "waves", {{"scope", "pool"}, {"name", "signing"}});
    return J.value("state", "") == "running" ||
           !C.call(0, "GET", "waves")["waves"].empty();
  }));
  CHECK(Cluster::eventually([&] {
    json J = C.call(0, "GET", "waves/1");
    return J.is_object() && J.value("state", "") == "done";
  }));
  C.Platform.setFaults({});
  for (int N = 1; N <= 4; ++N) {
    std::string Name = "w" + std::to_string(N);
    CAPTURE(Name);
    json J = C.call(0, "GET", "instances/" + Name);
    CHECK(J.value("last_wave", 0) == 1);
    CHECK(J.value("boot_id", "") == Name + "-boot-1");
  }
}

TEST_CASE("taking out the last data centre of a pool is refused") {
  Cluster C(2, 1);
  C.createPools(1);
  CHECK(C.call(0, "POST", "datacentres/dc9/out").value("outcome", "") ==
        "not-found");
  std::string Outcome =
      C.call(0, "POST", "datacentres/dc1/out").value("outcome", "");
  CHECK((Outcome == "in-force" || Outcome == "pending"));
  CHECK(Cluster::eventually([&] {
    return C.call(0, "POST", "datacentres/dc1/out").value("outcome", "") ==
           "done";
  }));
  CHECK(C.call(0, "POST", "datacentres/dc2/out").value("outcome", "") ==
        "refused");
  CHECK(C.call(0, "POST", "instances/w2/drain").value("outcome", "") ==
        "refused");
  Outcome = C.call(0, "POST", "datacentres/dc1/in").value("outcome", "");
  CHECK((Outcome == "in-force" || Outcome == "pending"));
  CHECK(Cluster::eventually([&] {
    return C.call(0, "POST", "instances/w2/drain").value("outcome", "") ==
           "accepted";
  }));
}
