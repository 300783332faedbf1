#include "dispatch/JobApi.h"

#include "dispatch/ConfigDecoder.h"
#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"
#include "dispatch/SilentWorkers.h"
#include "net/HttpClient.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

namespace {

/// An entry that accepts jobs for a pool without an owner, on a store that
/// loses commits.
struct ApiFixture {
  settings::DispatchSettings Settings;
  net::Loop Loop;
  net::HttpClient Client{{}};
  InMemoryStore Store;
  SilentWorkers Workers;
  RowDecoder Rows = decoderOf(configWithQueue());
  CallerCodec Codec = codec();
  JobMetrics Count;
  Context Ctx{Settings, Loop, Client, Store, Workers,
              nullptr,  Rows, Codec,  Count, "1"};
  FleetView View{Ctx, [](ViewChange) {}};
  Ownership Owners{Ctx, View};
  Peers Others{Ctx, View, Owners};
  JobApi Api{Ctx, View, Others};

  explicit ApiFixture(std::function<CommitFate(std::uint32_t)> FateOf) {
    Store.put({"op", "", "config"}, "");
    Loop.start();
    runOn(Loop, [this] { View.start(); });
    waitUntil(Loop, [this] { return View.config() != nullptr; });
    Store.loseCommits(Loop, std::move(FateOf));
  }
  ~ApiFixture() {
    Client.stop();
    Loop.stop();
  }

  static CallerCodec codec() {
    CallerCodec Codec;
    Codec.Decode = [](const net::HttpRequest &Request) {
      CallerCall Call;
      Call.Kind =
          Request.Method == "GET" ? CallKind::ReadState : CallKind::Submit;
      Call.Host = "h";
      Call.Path = Request.Path;
      return Call;
    };
    Codec.Job = [](const std::string &, jobs::JobSpec &Spec) {
      Spec.Payload = "text";
      Spec.Steps.resize(1);
    };
    Codec.State = [](jobs::JobState State) { return jobs::nameOf(State); };
    return Codec;
  }
  /// Asks for the state of a job; returns the answer's status and body.
  std::pair<int, std::string> ask(const std::string &Id) {
    std::promise<net::HttpResponse> Answer;
    net::HttpRequest Request;
    Request.Method = "GET";
    Request.Path = "/q/" + Id;
    Api.receive(Request, [&](const net::HttpResponse &Response) {
      Answer.set_value(Response);
    });
    net::HttpResponse Given = Answer.get_future().get();
    return {Given.Status, Given.Body};
  }
  /// Hands in a job and returns the status of the answer.
  int submit(const std::string &Id) {
    std::atomic<int> Status = 0;
    std::atomic<int> Answers = 0;
    net::HttpRequest Request;
    Request.Path = "/q/" + Id;
    core::TimePoint Since = net::now();
    Api.receive(Request, [&](const net::HttpResponse &Response) {
      Status = Response.Status;
      ++Answers;
    });
    waitUntil(Loop, [&] { return Answers > 0; });
    MESSAGE("answered with "
            << Status << " after, in ms: " << core::inMs(net::now() - Since));
    CHECK(Answers == 1);
    return Status;
  }
  bool isPayloadStored(const std::string &Id) const {
    auto Row = Store.find({rows::Payloads, rows::jobPart(Id), Id});
    return Row && Row->Value == "text";
  }
  bool isStored(const std::string &Id) const {
    return Store.find({rows::Jobs, rows::jobPart(Id), Id}).has_value();
  }
};

std::string idOf(int Job) { return "000000000000000" + std::to_string(Job); }

} // namespace

TEST_CASE("handing in a job waits for the time limit of a write without an "
          "answer") {
  constexpr int Jobs = 7;
  ApiFixture B([](std::uint32_t N) {
    constexpr CommitFate Fates[] = {CommitFate::Done, CommitFate::Late,
                                    CommitFate::NotDone};
    return N % 2 == 0 ? CommitFate::Answered : Fates[N / 2 % 3];
  });
  for (int Job = 0; Job < Jobs; ++Job) {
    CHECK(B.submit(idOf(Job)) == 200);
    CHECK(B.isStored(idOf(Job)));
  }
  LostCommits Lost = B.Store.lostCommits();
  CHECK(Lost.Unanswered == Jobs - 1);
  CHECK(Lost.RepeatedWhileOpen == Lost.Unanswered);
}

TEST_CASE("a store that answers nothing gets no more calls for a job than "
          "one per time limit") {
  constexpr std::uint32_t MostCalls = 3;
  ApiFixture B([](std::uint32_t) { return CommitFate::NotDone; });
  CHECK(B.submit(idOf(1)) == 504);
  CHECK(B.Store.lostCommits().Commits <= MostCalls);
}

TEST_CASE("a job is refused as not stored only if no attempt can be stored") {
  ApiFixture Refusing([](std::uint32_t) { return CommitFate::Refused; });
  CHECK(Refusing.submit(idOf(1)) == 503);
  CHECK(Refusing.Store.lostCommits().Commits == 1);
  for (CommitFate First : {CommitFate::Late, CommitFate::NotDone}) {
    ApiFixture B([First](std::uint32_t N) {
      return N == 0 ? First : CommitFate::Refused;
    });
    CHECK(B.submit(idOf(1)) == 504);
    CHECK(B.isStored(idOf(1)) == (First == CommitFate::Late));
  }
}

TEST_CASE("a job is acknowledged only once its row and its payload's are "
          "stored, whichever attempts are lost or late") {
  using enum CommitFate;
  const std::vector<std::vector<CommitFate>> Attempts = {
      {}, {Done}, {Late}, {NotDone}, {NotDone, Done}, {Late, Late}};
  for (const std::vector<CommitFate> &Lost : Attempts) {
    CAPTURE(Lost.size());
    ApiFixture B(
        [&](std::uint32_t N) { return N < Lost.size() ? Lost[N] : Answered; });
    std::string Id = idOf(1);
    if (B.submit(Id) == 200) {
      CHECK(B.isStored(Id));
      CHECK(B.isPayloadStored(Id));
    }
    CHECK(B.isStored(Id) == B.isPayloadStored(Id));
  }
}

TEST_CASE("a job whose row or progress a later version of the program has "
          "written is said not to be known") {
  ApiFixture B([](std::uint32_t) { return CommitFate::Answered; });
  std::string Id = idOf(1);
  B.Store.put({rows::Jobs, rows::jobPart(Id), Id}, R"({"id":7,"pool":"p"})");
  B.Store.put({rows::Progress, rows::poolPart("p"), Id},
              R"({"state":1,"done":7})");
  CHECK(B.ask(Id) == std::pair<int, std::string>(200, "running"));
}
