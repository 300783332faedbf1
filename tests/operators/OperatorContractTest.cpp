#include "codec/KeyHash.h"
#include "operators/OperatorHarness.h"
#include "operators/Samples.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <future>

using namespace comfreydeck;
using namespace comfreydeck::tests;
using nlohmann::json;

namespace {

constexpr const char *Changes = "/v1/operator/config/changes";

struct RoleCase {
  const char *Method;
  const char *Path;
  const char *Body;
  /// Status codes for the roles read, operate and administer.
  std::array<int, 3> Expected;
};

struct MalformedCase {
  const char *What;
  const char *Body;
  /// Text that the answer must contain.
  const char *Expected;
};

json grantOperator(const char *Role, const std::string &Secret) {
  return {{"edit", "grant-operator-key"},
          {"name", Role},
          {"role", Role},
          {"hash", codec::toHex(codec::hashSecret(Secret))}};
}

} // namespace

TEST_CASE("every route requires its role") {
  OperatorHarness Harness(1);
  const std::array<std::string, 3> Secrets = {
      codec::makeSecret(), codec::makeSecret(), codec::makeSecret()};
  Harness.apply(SampleEdits);
  json Grants = {grantOperator("read", Secrets[0]),
                 grantOperator("operate", Secrets[1]),
                 grantOperator("administer", Secrets[2])};
  net::HttpResponse Granted =
      Harness.send("POST", Changes, json({{"edits", Grants}}).dump());
  REQUIRE(Granted.Status < 300);
  const RoleCase Cases[] = {
      {"GET", "/v1/operator/config", "", {200, 200, 200}},
      {"GET", "/v1/operator/status", "", {200, 200, 200}},
      {"GET", "/v1/operator/history", "", {200, 200, 200}},
      {"GET", "/v1/operator/customers/beach", "", {200, 200, 200}},
      {"GET", "/v1/operator/customers/pier", "", {404, 404, 404}},
      {"PUT", "/v1/operator/instances/w1", R"({"pool":"no"})", {403, 404, 404}},
      {"POST", Changes, R"({"edits":[],"dry_run":true})", {403, 403, 200}},
      {"POST", Changes, R"({"edits":[{}]})", {403, 403, 400}},
      {"DELETE", "/v1/operator/config", "", {405, 405, 405}},
      {"GET", "/v1/operator/nothing", "", {404, 404, 404}},
      {"GET", "/v1/operator/", "", {404, 404, 404}},
  };
  // Granting the first operator key invalidates the bootstrap key.
  int Status = 200;
  for (int Try = 0; Try < 500 && Status == 200; ++Try)
    Status = Harness.send("GET", "/v1/operator/config", "").Status;
  CHECK(Status == 401);
  for (const RoleCase &Case : Cases) {
    CAPTURE(Case.Method);
    CAPTURE(Case.Path);
    for (std::size_t I = 0; I < Secrets.size(); ++I) {
      CAPTURE(I);
      CHECK(Harness.send(0, Case.Method, Case.Path, Case.Body, Secrets[I])
                .Status == Case.Expected[I]);
    }
    for (const std::string &Bad : {std::string(), codec::makeSecret()})
      CHECK(Harness.send(0, Case.Method, Case.Path, Case.Body, Bad).Status ==
            401);
  }
}

TEST_CASE("a malformed change is refused and changes nothing") {
  OperatorHarness Harness(1);
  Harness.apply(SampleEdits);
  const MalformedCase Cases[] = {
      {"empty", "", "parse error"},
      {"no JSON", "{", "parse error"},
      {"no object", "[]", "must be an object"},
      {"number", "7", "must be an object"},
      {"no edits", "{}", "edits"},
      {"edits of another type", R"({"edits":{}})", "must be a list"},
      {"unknown field", R"({"edits":[],"force":true})", "force: is not known"},
      {"version of another type", R"({"edits":[],"expected_version":"1"})",
       "expected_version"},
      {"negative version", R"({"edits":[],"expected_version":-1})",
       "expected_version"},
      {"dry run of another type", R"({"edits":[],"dry_run":1})", "dry_run"},
      {"unknown edit", R"({"edits":[{"edit":"drop"}]})", "kind of edit"},
      {"number out of range",
       R"({"edits":[{"edit":"put-team","name":"a","share":0}]})",
       "must be from 1 to"},
      {"bad name", R"({"edits":[{"edit":"put-team","name":"A"}]})",
       "must have 1 to 64"},
      {"unknown pool",
       R"({"edits":[{"edit":"put-queue","name":"q","pool":"none"}]})",
       "there is no pool 'none'"},
      {"what belongs to a customer",
       R"({"edits":[{"edit":"remove","kind":"team","name":"beach"}]})",
       "belongs to customer 'beach'"},
      {"not UTF-8", "{\"edits\":[{\"edit\":\"put-team\",\"name\":\"\xff\"}]}",
       "error"},
  };
  std::uint64_t Version = Harness.versionAt(0);
  for (const MalformedCase &Case : Cases) {
    CAPTURE(Case.What);
    net::HttpResponse Response = Harness.send("POST", Changes, Case.Body);
    CAPTURE(Response.Body);
    CHECK(Response.Status == 400);
    CHECK(json::parse(Response.Body).contains("error"));
    CHECK(Response.Body.find(Case.Expected) != std::string::npos);
  }
  CHECK(Harness.versionAt(0) == Version);
  std::string Large(2 << 20, ' ');
  CHECK(Harness.send("POST", Changes, Large).Status == 413);
}

TEST_CASE("every error of a change is reported with its edit and field") {
  OperatorHarness Harness(1);
  net::HttpResponse Response = Harness.send(
      "POST", Changes,
      R"({"edits":[{"edit":"put-team","name":"a","share":0,"upper_limit":99999999},
                   {"edit":"withdraw-key","id":3}]})");
  CHECK(Response.Status == 400);
  json Faults = json::parse(Response.Body).at("faults");
  REQUIRE(Faults.size() == 3);
  CHECK(Faults[0].at("edit") == 0);
  CHECK(Faults[0].at("field") == "share");
  CHECK(Faults[1].at("field") == "upper_limit");
  CHECK(Faults[2].at("edit") == 1);
  CHECK(Faults[2].at("field") == "id");
}

TEST_CASE("a dry run shows the effect and changes nothing") {
  OperatorHarness Harness(1);
  Harness.apply(SampleEdits);
  std::uint64_t Version = Harness.versionAt(0);
  net::HttpResponse Response = Harness.send(
      "POST", Changes,
      R"({"dry_run":true,"edits":[{"edit":"put-customer","name":"beach",
          "template":"rental","arguments":{"limit":16,"pools":["signing"]}}]})");
  CAPTURE(Response.Body);
  REQUIRE(Response.Status == 200);
  json Effect = json::parse(Response.Body).at("effect");
  CHECK(Effect.at("customers") == json({"beach"}));
  REQUIRE(Effect.at("items").size() == 3);
  CHECK(Effect["items"][0].at("kind") == "team");
  CHECK(Effect["items"][0].at("fields")[0] ==
        json({{"field", "upper_limit"}, {"before", "8"}, {"after", "16"}}));
  CHECK(Effect["items"][1].at("effect") == "removed");
  CHECK(Effect.at("pools").size() == 2);
  CHECK(Harness.versionAt(0) == Version);
}

TEST_CASE("a customer's page shows its arguments, teams and queues") {
  OperatorHarness Harness(1);
  Harness.apply(SampleEdits);
  json Page =
      json::parse(Harness.send("GET", "/v1/operator/customers/beach", "").Body);
  CHECK(Page.at("template") == "rental");
  CHECK(Page.at("arguments")[0].at("is_default") == true);
  CHECK(Page.at("arguments")[1].at("value") == "8");
  CHECK(Page.at("teams")[0].at("upper_limit") == 8);
  CHECK(Page.at("queues").size() == 2);
}

TEST_CASE("the history is paged and shows who made each change") {
  OperatorHarness Harness(1);
  Harness.apply(SampleEdits);
  Harness.apply(R"([{"edit":"put-team","name":"pier"}])");
  json All = json::parse(Harness.send("GET", "/v1/operator/history", "").Body);
  REQUIRE(All.at("changes").size() == 2);
  CHECK(All["changes"][1].at("by") == "bootstrap");
  CHECK(All["changes"][1].at("edits")[0].at("name") == "pier");
  CHECK(All.at("more") == false);
  json First =
      json::parse(Harness.send("GET", "/v1/operator/history?limit=1", "").Body);
  CHECK(First.at("changes").size() == 1);
  CHECK(First.at("more") == true);
  json Last = json::parse(
      Harness.send("GET", "/v1/operator/history?after=1&limit=200", "").Body);
  CHECK(Last.at("changes").size() == 1);
  for (const char *Bad : {"limit=0", "limit=201", "limit=x", "after=-1"})
    CHECK(Harness.send("GET", std::string("/v1/operator/history?") + Bad, "")
              .Status == 400);
}

TEST_CASE(
    "only one of several concurrent edits is accepted, the others conflict") {
  constexpr std::size_t Entries = 2;
  constexpr std::size_t ConcurrentEdits = 6;
  OperatorHarness Harness(Entries);
  Harness.apply(SampleEdits);
  std::uint64_t Seen = Harness.versionAt(0);
  std::vector<std::future<net::HttpResponse>> Answers;
  for (std::size_t I = 0; I < ConcurrentEdits; ++I)
    Answers.push_back(std::async(std::launch::async, [&, I] {
      json Body = {
          {"expected_version", Seen},
          {"edits",
           {{{"edit", "put-team"}, {"name", "t" + std::to_string(I)}}}}};
      return Harness.send(I % Entries, "POST", Changes, Body.dump(),
                          Harness.bootstrapSecret());
    }));
  std::size_t Accepted = 0;
  for (auto &Answer : Answers) {
    net::HttpResponse Response = Answer.get();
    CAPTURE(Response.Body);
    json J = json::parse(Response.Body);
    if (Response.Status < 300) {
      ++Accepted;
      CHECK(J.at("version") == Seen + 1);
      continue;
    }
    CHECK(Response.Status == 409);
    CHECK(J.at("version") == Seen + 1);
    REQUIRE(J.at("newer").size() == 1);
    CHECK(J["newer"][0].at("by") == "bootstrap");
    CHECK(J["newer"][0].at("edits")[0].at("edit") == "put-team");
  }
  CHECK(Accepted == 1);
  Harness.waitFor(Seen + 1);
  json Config =
      json::parse(Harness.send("GET", "/v1/operator/config", "").Body);
  CHECK(Config.at("version") == Seen + 1);
  CHECK(Config.at("teams").size() == 2);
}

TEST_CASE("status has a table for pools, teams, data centres and entries") {
  OperatorHarness Harness(1);
  Harness.apply(SampleEdits);
  json Status =
      json::parse(Harness.send("GET", "/v1/operator/status", "").Body);
  std::map<std::string, json> Sections;
  for (const json &S : Status.at("sections")) {
    for (const json &Row : S.at("rows"))
      CHECK(Row.size() == S.at("columns").size());
    Sections[S.at("name")] = S;
  }
  REQUIRE(Sections.contains("pools"));
  CHECK(Sections["pools"].at("rows").size() == 2);
  REQUIRE(Sections.contains("teams"));
  CHECK(Sections["teams"].at("rows")[0][0] == "beach");
  REQUIRE(Sections.contains("data centres"));
  REQUIRE(Sections.contains("entries"));
}
