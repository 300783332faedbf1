#include "entry/EntryHarness.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace comfreydeck;
using namespace comfreydeck::tests;
using nlohmann::json;

namespace {

const net::HttpHeader NonIdempotent = {"Comfreydeck-Idempotent", "false"};
const net::HttpHeader Idempotent = {"Comfreydeck-Idempotent", "true"};

net::HttpHeader key(const std::string &Name) {
  return {"Idempotency-Key", Name};
}

net::HttpHeader id(const std::string &Name) {
  return {"Comfreydeck-Request-Id", Name};
}

CallerRequest task(std::vector<net::HttpHeader> Headers,
                   const std::string &Body = "body") {
  CallerRequest Request;
  Request.Headers = std::move(Headers);
  Request.Body = Body;
  return Request;
}

CallerRequest slowTask(std::vector<net::HttpHeader> Headers) {
  Headers.push_back({"Comfreydeck-Run-Ms", "20000"});
  return task(std::move(Headers));
}

std::string issueId(EntryHarness &Site, std::size_t Entry) {
  return Site.call(Entry, {"POST", "/v1/requests", "", {Site.BeachKey}}).Id;
}

CallerRequest requestCall(EntryHarness &Site, const char *Method,
                          const std::string &Id) {
  return {Method, "/v1/requests/" + Id, "", {Site.BeachKey}};
}

json stateOf(EntryHarness &Site, std::size_t Entry, const std::string &Id) {
  return json::parse(
      Site.call(Entry, requestCall(Site, "GET", Id)).Response.Body);
}

struct RefusalCase {
  const char *Path;
  std::vector<net::HttpHeader> Headers;
  int Status;
  const char *Reason;
};

} // namespace

TEST_CASE("malformed and unauthorised requests are refused and nothing runs") {
  EntryHarness Site(1, 1);
  const net::HttpHeader Beach = Site.BeachKey;
  const net::HttpHeader Guide = Site.GuideKey;
  const std::string Long(129, 'k');
  const char *Sign = "/v1/queues/sign/tasks";
  const RefusalCase Cases[] = {
      {Sign, {Idempotent}, 401, "unknown-key"},
      {Sign,
       {Idempotent, {"Authorization", "Bearer nothing"}},
       401,
       "unknown-key"},
      {Sign,
       {Idempotent, {"Authorization", "Basic abc"}},
       400,
       "malformed-request"},
      {Sign,
       {Idempotent, {"Authorization", "Bearer " + Long}},
       400,
       "malformed-request"},
      {Sign, {Idempotent, Beach, Guide}, 400, "malformed-request"},
      {"/v1/queues/beach-only/tasks",
       {Idempotent, Guide},
       403,
       "key-not-for-queue"},
      {"/v1/queues/none/tasks", {Idempotent, Beach}, 404, "unknown-queue"},
      {"/v1/queues/sign/other", {Idempotent, Beach}, 404, "unknown-queue"},
      {"/v1/queues/sign", {Idempotent, Beach}, 404, "unknown-queue"},
      {"/v1/nothing", {Idempotent, Beach}, 404, "unknown-queue"},
      {Sign, {NonIdempotent, Beach}, 400, "malformed-request"},
      {Sign, {NonIdempotent, Beach, key(Long)}, 400, "malformed-request"},
      {Sign,
       {NonIdempotent, Beach, key("two words")},
       400,
       "malformed-request"},
      {Sign,
       {NonIdempotent, Beach, key("a"), key("b")},
       400,
       "malformed-request"},
      {Sign, {NonIdempotent, Beach, id("no-id")}, 400, "malformed-request"},
      {Sign,
       {NonIdempotent, Beach, key("a"),
        id("0000000000000001-1-0000000000000001")},
       400,
       "malformed-request"},
      {Sign,
       {{"Comfreydeck-Idempotent", "yes"}, Beach},
       400,
       "malformed-request"},
      {Sign,
       {Idempotent, Beach, {"Comfreydeck-Urgent", "1"}},
       400,
       "malformed-request"},
      {Sign,
       {Idempotent, Beach, {"Comfreydeck-Deadline-Ms", "-1"}},
       400,
       "malformed-request"},
      {Sign,
       {Idempotent, Beach, {"Comfreydeck-Deadline-Ms", "1e3"}},
       400,
       "malformed-request"},
      {Sign,
       {Idempotent, Beach, {"Comfreydeck-Deadline-Ms", "99999999999999999999"}},
       400,
       "malformed-request"},
      {Sign,
       {Idempotent, Beach, {"Comfreydeck-Cpus", "4097"}},
       400,
       "malformed-request"},
      {Sign,
       {Idempotent, Beach, {"Comfreydeck-Memory-Mb", "x"}},
       400,
       "malformed-request"},
      {Sign,
       {Idempotent, Beach, {"Comfreydeck-Accelerators", "65"}},
       400,
       "malformed-request"},
      {Sign,
       {Idempotent, Beach, {"Comfreydeck-Run-Ms", "0x5"}},
       400,
       "malformed-request"},
  };
  std::uint64_t Before = Site.starts();
  for (const RefusalCase &Case : Cases) {
    CallerRequest Request = task(Case.Headers);
    Request.Path = Case.Path;
    CallerAnswer Answer = Site.call(0, Request);
    CAPTURE(&Case - Cases);
    CHECK(Answer.Status == Case.Status);
    CHECK(Answer.Reason == Case.Reason);
    CHECK(Answer.Verdict == "not-run");
  }
  CallerRequest Large =
      task({Idempotent, Beach}, std::string((8 << 20) + 1, 'x'));
  CallerAnswer Answer = Site.call(0, Large);
  CHECK(Answer.Status == 413);
  CHECK(Answer.Verdict == "not-run");
  CHECK(Site.starts() == Before);
}

TEST_CASE("a key or an issued id runs its task once, whichever entry gets it") {
  EntryHarness Site(2, 2);
  std::string Large(9000, 'w');
  for (const std::string &Body : {std::string("small"), Large}) {
    for (const net::HttpHeader &Name :
         {key("k" + std::to_string(Body.size())), id(issueId(Site, 0))}) {
      CAPTURE(Name.Value);
      std::uint64_t Before = Site.starts();
      CallerRequest Request = task({NonIdempotent, Site.BeachKey, Name}, Body);
      CallerAnswer First = Site.call(0, Request);
      CHECK(First.Verdict == "ran");
      CHECK(First.Response.Body == Body);
      // The row of a key is written shortly after the answer.
      EntryHarness::waitUntil(
          [&] { return Site.call(1, Request).Verdict == "ran"; });
      for (std::size_t Entry : {0U, 1U}) {
        CallerAnswer Retry = Site.call(Entry, Request);
        CHECK(Retry.Verdict == "ran");
        CHECK(Retry.Response.Body == Body);
      }
      CallerAnswer Other = Site.call(
          1, task({NonIdempotent, Site.BeachKey, Name}, "other work"));
      CHECK(Other.Status == 422);
      CHECK(Other.Reason == "key-used-for-other-work");
      CHECK(Site.starts() == Before + 1);
    }
  }
  CHECK(Site.duplicates() == 0);
}

TEST_CASE("idempotency keys of different teams or queues are independent") {
  EntryHarness Site(1, 1);
  std::uint64_t Before = Site.starts();
  CHECK(Site.call(0, task({NonIdempotent, Site.BeachKey, key("k")})).Verdict ==
        "ran");
  CHECK(Site.call(0, task({NonIdempotent, Site.GuideKey, key("k")}, "other"))
            .Verdict == "ran");
  CallerRequest OtherQueue =
      task({NonIdempotent, Site.BeachKey, key("k")}, "other");
  OtherQueue.Path = "/v1/queues/beach-only/tasks";
  CHECK(Site.call(0, OtherQueue).Verdict == "ran");
  CHECK(Site.starts() == Before + 3);
}

TEST_CASE("concurrent repeats of a request start one task") {
  EntryHarness Site(3, 2);
  std::uint64_t Before = Site.starts();
  std::vector<std::future<CallerAnswer>> Answers;
  for (std::size_t N = 0; N < 60; ++N)
    Answers.push_back(
        Site.send(N % 3, task({NonIdempotent, Site.BeachKey, key("same")})));
  for (std::future<CallerAnswer> &Future : Answers) {
    CallerAnswer Answer = Future.get();
    bool IsExpected =
        Answer.Verdict == "ran" ||
        (Answer.Status == 409 && Answer.Verdict == "may-have-run");
    CHECK(IsExpected);
  }
  CHECK(Site.starts() == Before + 1);
}

TEST_CASE("requests with ids issued in advance run while the store is down") {
  EntryHarness Site(2, 1);
  std::string Id = issueId(Site, 0);
  standins::PlatformFaults Down;
  Down.WritesDown = true;
  Site.platform().setFaults(Down);
  CallerRequest Named = task({NonIdempotent, Site.BeachKey, id(Id)});
  CHECK(Site.call(1, Named).Verdict == "ran");
  CHECK(Site.call(0, Named).Verdict == "ran");
  CallerAnswer Keyed =
      Site.call(0, task({NonIdempotent, Site.BeachKey, key("down")}));
  CHECK(Keyed.Status == 503);
  CHECK(Keyed.Reason == "store-unavailable");
  CHECK(Keyed.Verdict != "ran");
  CHECK(net::hasHeader(Keyed.Response.Headers, "Retry-After"));
  Site.platform().setFaults({});
  EntryHarness::waitUntil([&] {
    return Site.call(0, task({NonIdempotent, Site.BeachKey, key("down")}))
               .Verdict == "ran";
  });
  CHECK(Site.duplicates() == 0);
}

TEST_CASE("a claim whose write answer is lost is read back and runs once") {
  EntryHarness Site(1, 1);
  standins::PlatformFaults Lossy;
  Lossy.LoseAnswerEvery = 1;
  Site.platform().setFaults(Lossy);
  std::uint64_t Before = Site.starts();
  CHECK(
      Site.call(0, task({NonIdempotent, Site.BeachKey, key("lost")})).Verdict ==
      "ran");
  Site.platform().setFaults({});
  CHECK(
      Site.call(0, task({NonIdempotent, Site.BeachKey, key("lost")})).Verdict ==
      "ran");
  CHECK(Site.starts() == Before + 1);
}

TEST_CASE("a request that did not run can be retried with its key or id") {
  EntryHarness Site(1, 1);
  standins::WorkerFaults Refusing;
  Refusing.RefuseAll = true;
  for (const net::HttpHeader &Name : {key("again"), id(issueId(Site, 0))}) {
    Site.worker(0).setFaults(Refusing);
    CallerRequest Request = task({NonIdempotent, Site.BeachKey, Name});
    CallerAnswer First = Site.call(0, Request);
    CHECK(First.Verdict == "not-run");
    Site.worker(0).setFaults({});
    CHECK(Site.call(0, Request).Verdict == "ran");
  }
  CHECK(Site.duplicates() == 0);
}

TEST_CASE(
    "requests of a crashed entry stay unresolved until an operator acts") {
  EntryHarness Site(2, 1);
  std::string Id = issueId(Site, 1);
  CallerRequest Named = slowTask({NonIdempotent, Site.BeachKey, id(Id)});
  CallerRequest Keyed = slowTask({NonIdempotent, Site.BeachKey, key("gone")});
  std::uint64_t Before = Site.starts();
  std::future<CallerAnswer> First = Site.send(1, Named);
  std::future<CallerAnswer> Second = Site.send(1, Keyed);
  EntryHarness::waitUntil([&] { return Site.starts() == Before + 2; });
  Site.crash(1);
  CHECK(First.get().Status == 0);
  CHECK(Second.get().Status == 0);
  CHECK(Site.call(0, Named).Verdict == "may-have-run");
  Site.deleteRegistration(Id.substr(0, 16));
  auto Listed = [&] {
    return json::parse(Site.callOperatorApi("GET", "/v1/operator/unresolved",
                                            ""))["unresolved"];
  };
  // The other entry learns with a delay that the crashed one is gone.
  EntryHarness::waitUntil([&] {
    for (const CallerRequest &Request : {Named, Keyed})
      CHECK(Site.call(0, Request).Verdict == "may-have-run");
    return Listed().size() == 2;
  });
  for (const json &Row : Listed()) {
    CHECK(Row["team"] == "beach");
    std::string Path =
        "/v1/operator/unresolved/" + Row["request"].get<std::string>();
    Site.callOperatorApi("POST", Path, R"({"outcome":"not-run"})");
    CHECK_THROWS(Site.callOperatorApi("POST", Path, R"({"outcome":"ran"})"));
  }
  CHECK(Listed().empty());
  CHECK(Site.starts() == Before + 2);
  CallerRequest Retry = task({NonIdempotent, Site.BeachKey, key("gone")});
  EntryHarness::waitUntil([&] { return Site.call(0, Retry).Verdict == "ran"; });
  CHECK(Site.call(0, Named).Verdict == "may-have-run");
  CHECK(Site.starts() == Before + 3);
}

TEST_CASE(
    "cancelling is idempotent for a running request and voids an unused id") {
  EntryHarness Site(2, 1);
  std::string Running = issueId(Site, 0);
  std::uint64_t Before = Site.starts();
  std::future<CallerAnswer> First =
      Site.send(0, slowTask({NonIdempotent, Site.BeachKey, id(Running)}));
  EntryHarness::waitUntil([&] { return Site.starts() == Before + 1; });
  CHECK(stateOf(Site, 1, Running)["state"] == "running");
  CHECK(Site.call(1, requestCall(Site, "DELETE", Running)).Status == 200);
  CallerAnswer Stopped = First.get();
  CHECK(Stopped.Reason == "cancelled");
  CHECK(Stopped.Verdict == "may-have-run");
  CHECK(Site.call(0, requestCall(Site, "DELETE", Running)).Status == 200);
  std::string Unused = issueId(Site, 0);
  CHECK(Site.call(1, requestCall(Site, "DELETE", Unused)).Status == 200);
  CallerAnswer Late =
      Site.call(0, task({NonIdempotent, Site.BeachKey, id(Unused)}));
  CHECK(Late.Reason == "cancelled");
  CHECK(Late.Verdict == "not-run");
  CHECK(Site.starts() == Before + 1);
  CallerRequest OtherTeam = requestCall(Site, "GET", Running);
  OtherTeam.Headers = {Site.GuideKey};
  CHECK(Site.call(0, OtherTeam).Status == 404);
}

TEST_CASE("mass cancellation empties the queue and frees its slots") {
  EntryHarness Site(2, 1);
  constexpr std::size_t Count = 1500;
  std::vector<std::string> Ids;
  std::vector<std::future<CallerAnswer>> Answers;
  std::uint64_t Before = Site.starts();
  for (std::size_t N = 0; N < Count; ++N) {
    Ids.push_back(issueId(Site, N % 2));
    Answers.push_back(Site.send(
        N % 2, slowTask({NonIdempotent, Site.BeachKey, id(Ids.back())})));
  }
  EntryHarness::waitUntil([&] { return Site.starts() == Before + 8; });
  std::vector<std::future<CallerAnswer>> Cancels;
  for (std::size_t N = 0; N < Count; ++N)
    Cancels.push_back(
        Site.send((N + 1) % 2, requestCall(Site, "DELETE", Ids[N])));
  for (std::future<CallerAnswer> &Cancel : Cancels)
    CHECK(Cancel.get().Status == 200);
  std::size_t NotRun = 0;
  std::size_t MayHaveRun = 0;
  for (std::future<CallerAnswer> &Future : Answers) {
    CallerAnswer Answer = Future.get();
    CHECK(Answer.Reason == "cancelled");
    NotRun += Answer.Verdict == "not-run" ? 1 : 0;
    MayHaveRun += Answer.Verdict == "may-have-run" ? 1 : 0;
  }
  CHECK(NotRun + MayHaveRun == Count);
  CHECK(MayHaveRun == Site.starts() - Before);
  CHECK(Site.call(0, task({Idempotent, Site.BeachKey})).Verdict == "ran");
}

TEST_CASE("a graceful stop under load interrupts no request") {
  EntryHarness Site(2, 2);
  std::atomic<bool> Stopping = false;
  std::vector<std::future<CallerAnswer>> Answers;
  std::thread StopThread([&] {
    EntryHarness::waitUntil([&] { return Site.starts() > 50; });
    Site.entry(0).stopGracefully();
    Stopping = true;
  });
  std::size_t Refused = 0;
  std::size_t Ran = 0;
  while (!Stopping) {
    std::vector<std::future<CallerAnswer>> Round;
    for (std::size_t N = 0; N < 16; ++N)
      Round.push_back(Site.send(0, task({Idempotent, Site.BeachKey})));
    for (std::future<CallerAnswer> &Future : Round) {
      CallerAnswer Answer = Future.get();
      Ran += Answer.Verdict == "ran" ? 1 : 0;
      // Refused by the kernel: the listener is closed.
      Refused += Answer.Status == 0 ? 1 : 0;
      CHECK((Answer.Verdict == "ran" || Answer.Status == 0));
    }
    if (Refused > 0)
      break;
  }
  std::uint64_t Started = Site.starts();
  StopThread.join();
  CHECK(Ran > 50);
  CHECK(Site.starts() == Started);
}
