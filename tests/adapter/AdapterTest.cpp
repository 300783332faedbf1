#include "Rows.h"

#include <doctest/doctest.h>

#include <random>
#include <stdexcept>

using namespace comfreydeck;

namespace {

store::PartRow row(const std::string &Key, const std::string &Value) {
  store::PartRow Row;
  Row.Where.Key = Key;
  Row.Value = Value;
  return Row;
}

constexpr const char *Worker =
    R"({"ServiceName":"p","Address":"10.0.0.1:80","Zone":"z","State":"ready",
    "Capacity":{"Cpu":1000,"MemoryRequestMb":2,"Gpus":0},
    "Labels":["a","r1-3"],"born":5})";

constexpr const char *Config =
    R"({"Version":7,"Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/a/",
    "ServiceName":"p","MaxAttempts":2,"SlackFactor":1.5},{"Name":"s",
    "Hostname":"h","PathPrefix":"/a/b/","ServiceName":"q","Public":true}],
    "Services":[{"Name":"p","Standby":true}],"Tenants":[{"Name":"t",
    "ApiKeys":["k"],"Weight":3,"MaxCount":{"Cpu":9}}]})";

} // namespace

TEST_CASE("a worker's row is decoded and its rack found among its labels") {
  jobs::WorkerEntry Entry = platform::makeRowDecoder().Worker(row("w", Worker));
  CHECK(Entry.Id == "w");
  CHECK(Entry.Pool == "p");
  CHECK(Entry.Rack == "r1-3");
  CHECK(Entry.Capacity.MilliCpus == 1000);
  CHECK(Entry.Born == 5);
}

TEST_CASE("a worker's row carries the capacity that it has now") {
  std::string Text = Worker;
  std::string_view Before = R"("Cpu":1000)";
  Text.replace(Text.find(Before), Before.size(), R"("Cpu":0)");
  jobs::WorkerEntry Entry = platform::makeRowDecoder().Worker(row("w", Text));
  CHECK(Entry.Capacity == core::Resources{0, 2, 0});
}

TEST_CASE("a malformed worker row is rejected") {
  dispatch::RowDecoder Decoder = platform::makeRowDecoder();
  for (const char *Text :
       {"", "\xff\xfe", "{}", R"({"ServiceName":"p","State":"ready"})",
        R"({"ServiceName":7,"Address":"a:1","State":"ready"})",
        R"({"ServiceName":"p","Address":"a:1","State":"asleep"})",
        R"({"ServiceName":"p","Address":"a:1","State":"ready","Labels":[1]})"})
    CHECK_THROWS_AS(Decoder.Worker(row("w", Text)), std::invalid_argument);
}

// Guards against ignoring a change in a worker's row, such as draining or a
// restart, because the row is compared without its heartbeat fields.
TEST_CASE("only heartbeat fields are left out when worker rows are compared") {
  dispatch::RowDecoder Decoder = platform::makeRowDecoder();
  auto Facts = [&](const char *From, const std::string &To) {
    std::string Text =
        R"({"ServiceName":"p","Address":"10.0.0.1:80","State":"ready",
        "ColdRemainingMs":0,"Capacity":{"Cpu":1000},"Labels":["\"Sequence\":1"],"born":5,
        "ClockMs":482113,"Sequence":4})";
    std::size_t At = Text.find(From);
    REQUIRE(At != std::string::npos);
    return Decoder.WorkerWithoutHeartbeat(
        Text.replace(At, std::string(From).size(), To));
  };
  std::string Original = Facts("p", "p");
  CHECK(Facts("482113", "483613") == Original);
  CHECK(Facts("\"Sequence\":4", "\"Sequence\":5") == Original);
  CHECK(Facts("ready", "draining") != Original);
  CHECK(Facts("\"born\":5", "\"born\":6") != Original);
  CHECK(Facts(":80", ":81") != Original);
  CHECK(Facts("\"Cpu\":1000", "\"Cpu\":500") != Original);
  CHECK(Facts("\"ColdRemainingMs\":0", "\"ColdRemainingMs\":9") != Original);
  CHECK(Facts("\\\"Sequence\\\":1", "\\\"Sequence\\\":2") != Original);
  CHECK(Facts("482113", "-1") != Original);
}

TEST_CASE("a row with random bytes changed is decoded or rejected") {
  dispatch::RowDecoder Decoder = platform::makeRowDecoder();
  for (unsigned Seed = 0; Seed < 2000; ++Seed) {
    std::mt19937 Rng(Seed);
    std::string Text = Seed % 2 == 0 ? Worker : Config;
    for (int Change = 0; Change < 3; ++Change)
      Text[Rng() % Text.size()] = static_cast<char>(Rng() % 256);
    try {
      if (Seed % 2 == 0) {
        jobs::WorkerEntry Read = Decoder.Worker(row("w", Text));
        CHECK_FALSE(Read.Pool.empty());
      } else {
        dispatch::OperatorRow Read = Decoder.Operator(row("config", Text));
        CHECK(Read.Config);
      }
    } catch (const std::invalid_argument &E) {
      CHECK(std::string(E.what()).size() > 0);
    }
  }
}

TEST_CASE("a path is matched to the queue with the longest prefix") {
  auto Read = platform::makeRowDecoder().Operator(row("config", Config));
  REQUIRE(Read.Config);
  CHECK(Read.Config->Version == 7);
  CHECK(Read.Config->Keys.at("k") == "t");
  CHECK(jobs::findQueue(*Read.Config, "h", "/a/b/x")->Name == "s");
  CHECK(jobs::findQueue(*Read.Config, "h", "/a/x")->Name == "r");
  CHECK(jobs::findQueue(*Read.Config, "other", "/a/x") == nullptr);
}

TEST_CASE("a caller's request is decoded, its kind taken from the method") {
  dispatch::CallerCodec Wire = platform::makeCallerWire();
  net::HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/a/00000000000000aa";
  Request.Headers = {{"Host", "h:80"}, {"Authorization", "Bearer k"}};
  dispatch::CallerCall Call = Wire.Decode(Request);
  CHECK(Call.Kind == dispatch::CallKind::Submit);
  CHECK(Call.Host == "h");
  CHECK(Call.Key == "k");
  Request.Method = "DELETE";
  CHECK(Wire.Decode(Request).Kind == dispatch::CallKind::Cancel);
  Request.Method = "PATCH";
  CHECK_THROWS_AS(Wire.Decode(Request), std::invalid_argument);
}

TEST_CASE("a job's body is decoded and a malformed one rejected") {
  dispatch::CallerCodec Wire = platform::makeCallerWire();
  jobs::JobSpec Spec;
  Wire.Job(R"({"TaskSpec":"x","Steps":[{"TaskCount":2,"Cpu":500,
    "FillCount":true,"Perpetual":true,"MissAllowance":1}]})",
           Spec);
  REQUIRE(Spec.Steps.size() == 1);
  CHECK(Spec.Steps[0].Filling);
  CHECK(Spec.Steps[0].AbsenceAllowance == 1);
  for (const char *Text : {"", "[]", R"({"Steps":[7]})", R"({"Steps":{}})",
                           R"({"Steps":[{"TaskCount":-1}]})"}) {
    jobs::JobSpec Bad;
    CHECK_THROWS_AS(Wire.Job(Text, Bad), std::invalid_argument);
  }
}
