#include "standins/MemoryTableService.h"
#include "standins/PlatformStandin.h"
#include "store/HttpPlatform.h"

#include <doctest/doctest.h>

#include <future>

using namespace comfreydeck;
using namespace comfreydeck::store;
using standins::TableFaults;

namespace {

/// An implementation under test, and a function that injects faults into it.
struct Subject {
  std::string Name;
  TableService &Tables;
  std::function<void(TableFaults)> SetFaults;
};

template <typename Result, typename Start> Result waitFor(Start Call) {
  std::promise<Result> Done;
  Call([&Done](Result R) { Done.set_value(std::move(R)); });
  return Done.get_future().get();
}

ReadResult read(Subject &S, const RowKey &Key) {
  return waitFor<ReadResult>(
      [&](auto Done) { S.Tables.read(Key, std::move(Done)); });
}

ScanResult scan(Subject &S, const std::string &Prefix, const std::string &After,
                std::uint32_t Limit) {
  return waitFor<ScanResult>([&](auto Done) {
    S.Tables.scan("t", Prefix, After, Limit, std::move(Done));
  });
}

CommitResult commit(Subject &S, Transaction T) {
  return waitFor<CommitResult>(
      [&](auto Done) { S.Tables.commit(std::move(T), std::move(Done)); });
}

RowKey key(const std::string &Name) { return {"t", Name}; }

CommitResult put(Subject &S, const std::string &Name,
                 const std::string &Value) {
  return commit(S, {"put", {}, {{key(Name), Value}}});
}

void checkRows(Subject &S) {
  CHECK(read(S, key("a")).Outcome == ReadOutcome::Ok);
  CHECK_FALSE(read(S, key("a")).Found);
  std::uint64_t First = put(S, "a", "one").Versions.at(0);
  CHECK(First > 0);
  CHECK(put(S, "a", "two").Versions.at(0) > First);
  CHECK(read(S, key("a")).Found->Value == "two");
  CHECK(commit(S, {"delete", {}, {{key("a"), std::nullopt}}}).Outcome ==
        CommitOutcome::Committed);
  CHECK_FALSE(read(S, key("a")).Found);
}

void checkConditions(Subject &S) {
  std::uint64_t Version = put(S, "c", "one").Versions.at(0);
  Transaction Stale{"x", {{key("c"), Version + 1}}, {{key("d"), "new"}}};
  CHECK(commit(S, Stale).Outcome == CommitOutcome::Conflict);
  CHECK_FALSE(read(S, key("d")).Found);
  Transaction Absent{"x", {{key("c"), 0}}, {{key("d"), "new"}}};
  CHECK(commit(S, Absent).Outcome == CommitOutcome::Conflict);
  Transaction Good{"x",
                   {{key("c"), Version}, {key("d"), 0}},
                   {{key("c"), "two"}, {key("d"), "new"}}};
  CHECK(commit(S, Good).Outcome == CommitOutcome::Committed);
  CHECK(commit(S, Good).Outcome == CommitOutcome::Conflict);
  CHECK(read(S, key("c")).Found->Value == "two");
}

void checkScans(Subject &S) {
  for (const char *Name : {"s/1", "s/2", "s/3", "r/1"})
    put(S, Name, Name);
  ScanResult Page = scan(S, "s/", "", 2);
  CHECK(Page.Rows.size() == 2);
  CHECK(Page.More);
  ScanResult Rest = scan(S, "s/", Page.Rows.back().Key, 2);
  CHECK(Rest.Rows.size() == 1);
  CHECK_FALSE(Rest.More);
  CHECK(scan(S, "none/", "", 2).Rows.empty());
}

void checkFaults(Subject &S) {
  S.SetFaults({true, false, false});
  CHECK(read(S, key("f")).Outcome == ReadOutcome::Unavailable);
  CHECK(scan(S, "", "", 10).Outcome == ReadOutcome::Unavailable);
  CHECK(put(S, "f", "one").Outcome == CommitOutcome::Committed);
  S.SetFaults({false, true, false});
  CHECK(put(S, "f", "two").Outcome == CommitOutcome::NotApplied);
  CHECK(read(S, key("f")).Found->Value == "one");
  S.SetFaults({false, false, true});
  CHECK(put(S, "f", "three").Outcome == CommitOutcome::Unknown);
  S.SetFaults({});
  CHECK(read(S, key("f")).Found->Value == "three");
}

void checkContract(Subject S) {
  CAPTURE(S.Name);
  checkRows(S);
  checkConditions(S);
  checkScans(S);
  checkFaults(S);
}

} // namespace

TEST_CASE("the in-memory table service fulfils the interface's contract") {
  standins::MemoryTableService Tables;
  checkContract(
      {"memory", Tables, [&](TableFaults F) { Tables.setFaults(F); }});
}

TEST_CASE("the HTTP table service fulfils the interface's contract") {
  standins::PlatformStandin Platform(net::HttpServerOptions{});
  Platform.start();
  net::HttpClient Client(net::HttpClientOptions{});
  HttpPlatformOptions Options;
  Options.BaseUrl = "http://127.0.0.1:" + std::to_string(Platform.port());
  Options.CallLimit = std::chrono::milliseconds(500);
  auto Tables = makeHttpTableService(Client, Options);
  checkContract({"HTTP", *Tables, [&](TableFaults F) {
                   standins::PlatformFaults Faults;
                   Faults.ReadsDown = F.ReadsDown;
                   Faults.WritesDown = F.WritesDown;
                   Faults.LoseAnswerEvery = F.LosesAnswers ? 1 : 0;
                   Platform.setFaults(Faults);
                 }});
  Platform.stop();
}

TEST_CASE("an unreachable table service is reported as unavailable") {
  net::HttpClient Client(net::HttpClientOptions{});
  auto Tables = makeHttpTableService(
      Client, {"http://127.0.0.1:1", std::chrono::milliseconds(500)});
  Subject S{"nobody", *Tables, {}};
  CHECK(read(S, key("a")).Outcome == ReadOutcome::Unavailable);
  CHECK(put(S, "a", "one").Outcome == CommitOutcome::NotApplied);
}
