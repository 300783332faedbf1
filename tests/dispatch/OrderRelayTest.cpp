#include "dispatch/OrderRelay.h"

#include "dispatch/Clock.h"
#include "dispatch/Context.h"
#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"
#include "dispatch/OrderForwarder.h"
#include "dispatch/PeerMessages_p.h"
#include "net/HttpServer.h"

#include <doctest/doctest.h>

#include <array>
#include <random>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;
using jobs::OrderOutcome;

namespace {

constexpr int Bad = 400;
constexpr int Forbidden = 403;
const EntryIdentity Owner = {"owner", "1"};
const EntryIdentity Helper = {"helper", "2"};

/// Workers that accept each order at once and remember it.
struct RecordingWorkers : WorkerOrders {
  std::mutex Mutex;
  std::vector<std::pair<jobs::WorkerEntry, jobs::StartOrder>> Starts;
  std::vector<jobs::StopOrder> Stops;
  std::vector<jobs::HoldOrder> Holds;
  std::vector<std::uint64_t> Tokens;
  bool Answers = true;

  void start(const jobs::WorkerEntry &To, std::uint64_t Token,
             const jobs::StartOrder &Order, SendMark,
             std::function<void(jobs::OrderResult)> Done) override {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Starts.emplace_back(To, Order);
      Tokens.push_back(Token);
    }
    if (Answers)
      Done({OrderOutcome::Accepted, 17});
  }
  void stop(const jobs::WorkerEntry &, std::uint64_t Token,
            const jobs::StopOrder &Order,
            std::function<void(jobs::OrderResult)> Done) override {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Stops.push_back(Order);
      Tokens.push_back(Token);
    }
    if (Answers)
      Done({OrderOutcome::Refused, 18});
  }
  void report(const jobs::WorkerEntry &, std::uint64_t Token,
              const jobs::HoldOrder &Order, SendMark,
              std::function<void(jobs::ReportResult)> Done) override {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Holds.push_back(Order);
      Tokens.push_back(Token);
    }
    if (!Answers)
      return;
    jobs::ReportResult Result;
    Result.Outcome = OrderOutcome::Accepted;
    Result.Report = {19, 5, {{{"a", 0, 1, 2}, 3, "saved", 40, 1.5}}, {}};
    Result.Report.Ended.push_back(
        {7, {"b", 1, 0, 4}, 9, jobs::RunEnd::Failed, "cp"});
    Done(std::move(Result));
  }

  std::size_t count() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Starts.size() + Stops.size() + Holds.size();
  }
};

jobs::WorkerEntry worker() {
  jobs::WorkerEntry To;
  To.Id = "w1";
  To.Pool = "p";
  To.Address = "127.0.0.1:1";
  return To;
}

jobs::StartOrder sampleStart() {
  jobs::StartOrder Order;
  Order.Worker = "w1";
  Order.Task = {"0123456789abcdef", 1, 2, 3};
  Order.Run = (std::uint64_t{5} << 22) + 1;
  Order.Payload = std::string(3000, 'x');
  Order.Checkpoint = "cp";
  Order.Ticket = "t";
  Order.DeadlineMs = 486000;
  return Order;
}

/// An owner's entry and one that sends for it, both on loopback.
struct RelayFixture {
  net::Loop Loop;
  net::HttpClient Client{{}};
  InMemoryStore Store;
  RecordingWorkers Direct;
  RecordingWorkers Remote;
  /// Bytes and number of the messages with orders that the other entry got.
  std::size_t OrderBytes = 0;
  std::size_t OrderMessages = 0;
  /// Whether the other entry takes part at all.
  std::atomic<bool> HelperWorks = true;
  /// Whether the other entry gets messages and neither reads nor answers them.
  std::atomic<bool> HelperStalls = false;
  std::vector<net::HttpResponder> Unanswered;
  /// Whether messages come from entries that the receiver knows.
  std::atomic<bool> Known = true;
  net::HttpServer Server{
      {}, [this](net::HttpRequest Request, net::HttpResponder Respond) {
        serve(std::move(Request), std::move(Respond));
      }};
  OrderRelay Relay;
  OrderForwarder Forwarder{Loop, Client, Store, Remote, Helper, address()};

  /// Without a known link, all payloads are left out.
  explicit RelayFixture(double LinkMbps = 0)
      : Relay(Loop, Client, Direct, Owner, address(), LinkMbps) {
    const std::string JobId = sampleStart().Task.JobId;
    Store.put({rows::Payloads, rows::jobPart(JobId), JobId},
              sampleStart().Payload);
    Server.start();
    Loop.start();
    runOn(Loop, [this] {
      Relay.begin();
      Relay.setSenders("p", {{"w1", Helper.Name}});
    });
  }
  ~RelayFixture() {
    Server.stop();
    Client.stop();
    Loop.stop();
  }

  OrderRelay::AddressOf address() {
    return [this](const std::string &) -> std::optional<std::string> {
      return "127.0.0.1:" + std::to_string(Server.port());
    };
  }
  void serve(net::HttpRequest Request, net::HttpResponder Respond) {
    if (!HelperWorks)
      return;
    Loop.post([this, Request = std::move(Request),
               Respond = std::move(Respond)] {
      if (HelperStalls) {
        Unanswered.push_back(Respond);
        return;
      }
      auto IsKnown = [this](const EntryIdentity &) { return Known.load(); };
      bool IsOrders = Request.Path == paths::Orders;
      OrderBytes += IsOrders ? Request.Body.size() : 0;
      OrderMessages += IsOrders ? 1 : 0;
      int Status =
          IsOrders ? Forwarder.handleOrders(Request.Body, bootNow(), IsKnown)
                   : Relay.handleResults(Request.Body, bootNow(), IsKnown);
      Respond(net::jsonResponse(Status, "{}"));
    });
  }
  /// Lets the owner know the other entry's clock.
  void exchange() {
    CHECK(start() == OrderOutcome::Accepted);
    Remote.Starts.clear();
    Remote.Tokens.clear();
  }
  OrderOutcome start() {
    std::optional<OrderOutcome> Outcome;
    runOn(Loop, [&] {
      Relay.start(worker(), 5, sampleStart(), nullptr,
                  [&](jobs::OrderResult Result) { Outcome = Result.Outcome; });
    });
    waitUntil(Loop, [&] { return Outcome.has_value(); });
    return *Outcome;
  }
};

} // namespace

TEST_CASE("an order given through another entry reaches the worker unchanged, "
          "and its result returns") {
  RelayFixture B;
  SUBCASE("a start") {
    CHECK(B.start() == OrderOutcome::Accepted);
    REQUIRE(B.Remote.Starts.size() == 1);
    const auto &[To, Sent] = B.Remote.Starts[0];
    jobs::StartOrder Given = sampleStart();
    CHECK(To.Id == "w1");
    CHECK(To.Address == "127.0.0.1:1");
    CHECK(Sent.Task == Given.Task);
    CHECK(Sent.Run == Given.Run);
    CHECK(Sent.Payload == Given.Payload);
    CHECK(Sent.Checkpoint == Given.Checkpoint);
    CHECK(Sent.Ticket == Given.Ticket);
    CHECK(Sent.DeadlineMs == Given.DeadlineMs);
  }
  SUBCASE("a stop") {
    std::optional<jobs::OrderResult> Result;
    jobs::StopOrder Given = {"w1", {"a", 0, 1, 2}, 8};
    runOn(B.Loop, [&] {
      B.Relay.stop(worker(), 5, Given,
                   [&](jobs::OrderResult Got) { Result = Got; });
    });
    waitUntil(B.Loop, [&] { return Result.has_value(); });
    CHECK(Result->Outcome == OrderOutcome::Refused);
    CHECK(Result->ClockMs == 18);
    REQUIRE(B.Remote.Stops.size() == 1);
    CHECK(B.Remote.Stops[0].Task == Given.Task);
    CHECK(B.Remote.Stops[0].Run == Given.Run);
  }
  SUBCASE("a request for a report") {
    B.exchange();
    std::optional<jobs::ReportResult> Result;
    jobs::HoldOrder Given = {"w1", 486000, 57, std::chrono::milliseconds(800)};
    Given.AcknowledgeBy = bootNow() + std::chrono::seconds(10);
    runOn(B.Loop, [&] {
      B.Relay.report(worker(), 5, Given, nullptr,
                     [&](const jobs::ReportResult &Got) { Result = Got; });
    });
    waitUntil(B.Loop, [&] { return Result.has_value(); });
    CHECK(Result->Outcome == OrderOutcome::Accepted);
    CHECK(Result->Report.ClockMs == 19);
    CHECK(Result->Report.Born == 5);
    REQUIRE(Result->Report.Running.size() == 1);
    CHECK(Result->Report.Running[0].Task == jobs::TaskRef{"a", 0, 1, 2});
    CHECK(Result->Report.Running[0].Checkpoint == "saved");
    CHECK(Result->Report.Running[0].Percent == 40);
    CHECK(Result->Report.Running[0].Load == doctest::Approx(1.5));
    REQUIRE(Result->Report.Ended.size() == 1);
    CHECK(Result->Report.Ended[0].Number == 7);
    CHECK(Result->Report.Ended[0].How == jobs::RunEnd::Failed);
    REQUIRE(B.Remote.Holds.size() == 1);
    CHECK(B.Remote.Holds[0].DeadlineMs == 486000);
    CHECK(B.Remote.Holds[0].AcknowledgeUpTo == 57);
    CHECK(B.Remote.Holds[0].Wait == std::chrono::milliseconds(800));
  }
  CHECK(B.Remote.Tokens == std::vector<std::uint64_t>{5});
  CHECK(B.Direct.count() == 0);
}

TEST_CASE("an entry that does not answer gets no further orders for a while") {
  RelayFixture B;
  B.HelperWorks = false;
  std::optional<OrderOutcome> Hold;
  runOn(B.Loop, [&] {
    B.Relay.report(worker(), 5, {"w1", 0, 0, std::chrono::seconds(60)}, nullptr,
                   [&](const jobs::ReportResult &R) { Hold = R.Outcome; });
  });
  // The lease must not wait for the time limit of the report.
  waitUntil(B.Loop, [&] { return Hold.has_value(); });
  CHECK(*Hold == OrderOutcome::Unknown);
  CHECK(B.start() == OrderOutcome::Accepted);
  CHECK(B.Direct.Starts.size() == 1);
  CHECK(B.Remote.count() == 0);
}

TEST_CASE("an order counts as sent once the entry that sends it has it, or may "
          "have it") {
  RelayFixture B;
  auto Mark = std::make_shared<net::BeginTime>();
  auto LaterMark = std::make_shared<net::BeginTime>();
  B.Remote.Answers = false;
  auto Start = [&](const SendMark &SentAt) {
    runOn(B.Loop, [&] {
      B.Relay.start(worker(), 5, sampleStart(), SentAt,
                    [](const jobs::OrderResult &) {});
    });
  };
  auto IsSent = [](const SendMark &SentAt) {
    return SentAt->get().has_value();
  };
  core::TimePoint Begin = bootNow();
  SUBCASE("it is taken") {
    Start(Mark);
    waitUntil(B.Loop, [&] { return IsSent(Mark); });
    CHECK(Mark->get() >= Begin);
    CHECK(Mark->get() <= bootNow());
    CHECK(B.Remote.count() == 1);
  }
  SUBCASE("the entry doesn't answer") {
    B.HelperStalls = true;
    Start(Mark);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Start(LaterMark);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK_FALSE(IsSent(Mark));
    CHECK_FALSE(IsSent(LaterMark));
    waitUntil(B.Loop, [&] { return IsSent(Mark); });
    CHECK(Mark->get() >= Begin);
    CHECK(Mark->get() < Begin + std::chrono::milliseconds(300));
    CHECK_FALSE(IsSent(LaterMark));
  }
}

TEST_CASE("an entry refuses orders of an owner that it does not know, and the "
          "order counts as not sent") {
  RelayFixture B;
  B.Known = false;
  CHECK(B.start() == OrderOutcome::Withheld);
  CHECK(B.Remote.count() == 0);
  std::uint64_t Refused = 0;
  runOn(B.Loop, [&] { Refused = B.Forwarder.takeCounters().Refused; });
  CHECK(Refused == 1);
}

TEST_CASE("an order that waited longer than it may is not sent") {
  RelayFixture B;
  codec::RelayedOrder Order;
  Order.Id = 1;
  Order.Worker = "w1";
  Order.Within = std::chrono::milliseconds(400);
  Order.Order = sampleStart();
  std::string Text =
      codec::encodeOrders(Owner.Name, Owner.Life, std::span(&Order, 1), {});
  auto All = [](const EntryIdentity &) { return true; };
  runOn(B.Loop, [&] {
    B.Forwarder.handleOrders(Text, bootNow() - std::chrono::seconds(3), All);
  });
  CHECK(B.Remote.count() == 0);
  runOn(B.Loop, [&] { B.Forwarder.handleOrders(Text, bootNow(), All); });
  CHECK(B.Remote.count() == 1);
}

TEST_CASE("an order that waits in an owner's entry, or under way, acknowledges "
          "ends of the worker's earlier life") {
  using std::chrono::milliseconds;
  RelayFixture B;
  B.exchange();
  B.Remote.Answers = false;
  jobs::HoldOrder Given = {"w1", 486000, 57, milliseconds(800)};
  auto Report = [&] {
    runOn(B.Loop, [&] {
      B.Relay.report(worker(), 5, Given, nullptr,
                     [](const jobs::ReportResult &) {});
    });
    waitUntil(B.Loop, [&] { return !B.Remote.Holds.empty(); });
    return B.Remote.Holds[0];
  };
  SUBCASE("not at all") {
    Given.AcknowledgeBy = bootNow() + std::chrono::seconds(10);
    jobs::HoldOrder Sent = Report();
    CHECK(Sent.AcknowledgeUpTo == 57);
    CHECK(Sent.Wait == milliseconds(800));
    CHECK(Sent.AcknowledgeBy > bootNow() + std::chrono::seconds(8));
    CHECK(Sent.AcknowledgeBy <= Given.AcknowledgeBy);
  }
  SUBCASE("behind another batch") {
    B.HelperStalls = true;
    runOn(B.Loop, [&] {
      B.Relay.start(worker(), 5, sampleStart(), nullptr,
                    [](const jobs::OrderResult &) {});
    });
    waitUntil(B.Loop, [&] { return !B.Unanswered.empty(); });
    Given.AcknowledgeBy = bootNow() + milliseconds(100);
    runOn(B.Loop, [&] {
      B.Loop.after(milliseconds(200), [&] {
        B.HelperStalls = false;
        B.Unanswered[0](net::jsonResponse(200, "{}"));
      });
    });
    jobs::HoldOrder Sent = Report();
    CHECK(Sent.AcknowledgeUpTo == 0);
    CHECK(Sent.DeadlineMs == 486000);
    CHECK(Sent.Wait == core::Duration::zero());
  }
}

TEST_CASE(
    "an order that waited in a paused entry is sent, or acknowledges ends "
    "of the worker's earlier life") {
  using std::chrono::milliseconds;
  RelayFixture B;
  B.Remote.Answers = false;
  codec::RelayedOrder Start;
  Start.Id = 1;
  Start.Worker = "w1";
  Start.Within = milliseconds(400);
  Start.Order = sampleStart();
  codec::RelayedOrder Hold = Start;
  Hold.Id = 2;
  Hold.AcknowledgeWithin = milliseconds(100);
  Hold.Order = jobs::HoldOrder{"w1", 486000, 57, milliseconds(800)};
  std::array Orders = {Start, Hold};
  auto Give = [&](const std::string &Life, milliseconds Age) {
    auto SentAt = bootNow().time_since_epoch() - Age;
    codec::PeerTime Sent = {
        Life, std::chrono::duration_cast<milliseconds>(SentAt).count()};
    std::string Text =
        codec::encodeOrders(Owner.Name, Owner.Life, Orders, Sent);
    runOn(B.Loop, [&] {
      B.Forwarder.handleOrders(Text, bootNow(),
                               [](const EntryIdentity &) { return true; });
    });
  };
  SUBCASE("not at all") {
    Give(Helper.Life, milliseconds(10));
    CHECK(B.Remote.Starts.size() == 1);
    REQUIRE(B.Remote.Holds.size() == 1);
    CHECK(B.Remote.Holds[0].AcknowledgeUpTo == 57);
    CHECK(B.Remote.Holds[0].AcknowledgeBy < bootNow() + milliseconds(91));
  }
  SUBCASE("for a while") {
    Give(Helper.Life, milliseconds(200));
    CHECK(B.Remote.Starts.size() == 1);
    REQUIRE(B.Remote.Holds.size() == 1);
    CHECK(B.Remote.Holds[0].AcknowledgeBy < bootNow());
  }
  SUBCASE("for seconds") {
    Give(Helper.Life, milliseconds(3000));
    CHECK(B.Remote.count() == 0);
  }
  SUBCASE("for a time that is not known") {
    Give("another", milliseconds(10));
    CHECK(B.Remote.Starts.size() == 1);
    REQUIRE(B.Remote.Holds.size() == 1);
    CHECK(B.Remote.Holds[0].AcknowledgeUpTo == 0);
    CHECK(B.Remote.Holds[0].Wait == core::Duration::zero());
  }
}

TEST_CASE("messages of an entry that tells no times are refused, or their "
          "acknowledgements are sent") {
  codec::ResultBatch Results = codec::decodeResults(
      R"({"from":"a","life":"1","to_life":"2","results":[[3,0,7]]})");
  CHECK(Results.Results.size() == 1);
  CHECK_FALSE(Results.SentAtMs);
  RelayFixture B;
  B.Remote.Answers = false;
  int Status = 0;
  runOn(B.Loop, [&] {
    Status = B.Forwarder.handleOrders(
        R"({"from":"a","life":"1","payloads":[],
            "orders":[[3,"w1","127.0.0.1:1",5,400,2,486000,57,800]]})",
        bootNow(), [](const EntryIdentity &) { return true; });
  });
  CHECK(Status == 200);
  REQUIRE(B.Remote.Holds.size() == 1);
  CHECK(B.Remote.Holds[0].DeadlineMs == 486000);
  CHECK(B.Remote.Holds[0].AcknowledgeUpTo == 0);
}

TEST_CASE("a result counts only from the entry that was given the order, and "
          "for this process") {
  RelayFixture B;
  B.Remote.Answers = false;
  std::optional<OrderOutcome> Outcome;
  runOn(B.Loop, [&] {
    B.Relay.start(worker(), 5, sampleStart(), nullptr,
                  [&](jobs::OrderResult R) { Outcome = R.Outcome; });
  });
  waitUntil(B.Loop, [&] { return B.Remote.count() == 1; });
  codec::RelayedResult Result;
  Result.Id = 1;
  Result.Outcome = OrderOutcome::Accepted;
  auto All = [](const EntryIdentity &) { return true; };
  auto Return = [&](const EntryIdentity &From, const std::string &ToLife) {
    runOn(B.Loop, [&] {
      B.Relay.handleResults(codec::encodeResults(From.Name, From.Life, ToLife,
                                                 1, std::span(&Result, 1)),
                            bootNow(), All);
    });
  };
  Return({"other", "9"}, Owner.Life);
  Return(Helper, "an earlier process");
  runOn(B.Loop, [&] { CHECK_FALSE(Outcome.has_value()); });
  Return(Helper, Owner.Life);
  runOn(B.Loop, [&] { CHECK(Outcome == OrderOutcome::Accepted); });
}

TEST_CASE("malformed messages between entries are refused and end nothing") {
  constexpr std::uint32_t Seed = 20261205;
  constexpr int Mutations = 3000;
  RelayFixture B;
  codec::RelayedOrder Order;
  Order.Within = std::chrono::milliseconds(400);
  Order.Order = sampleStart();
  codec::RelayedResult Result;
  Result.Report = {19, 5, {{{"a", 0, 1, 2}, 3, "saved", 40, 1.5}}, {}};
  const std::string Texts[] = {
      codec::encodeOrders(Owner.Name, Owner.Life, std::span(&Order, 1), {}),
      codec::encodeResults(Helper.Name, Helper.Life, Owner.Life, 1,
                           std::span(&Result, 1))};
  std::mt19937 Random(Seed);
  auto None = [](const EntryIdentity &) { return false; };
  runOn(B.Loop, [&] {
    for (int N = 0; N < Mutations; ++N) {
      std::string Text = Texts[N % 2];
      std::size_t At = Random() % Text.size();
      if (Random() % 3 == 0)
        Text.resize(At);
      else
        Text[At] = static_cast<char>(Random() % 256);
      int First = B.Forwarder.handleOrders(Text, bootNow(), None);
      int Second = B.Relay.handleResults(Text, bootNow(), None);
      CHECK((First == Bad || First == Forbidden));
      CHECK((Second == Bad || Second == Forbidden));
    }
  });
  CHECK(B.start() == OrderOutcome::Accepted);
}

// The next owner counts on it that no order is given after this one has said
// so.
TEST_CASE("orders of a pool that was given up are not sent any more") {
  RelayFixture B;
  std::optional<OrderOutcome> Outcome;
  runOn(B.Loop, [&] {
    B.Relay.start(worker(), 5, sampleStart(), nullptr,
                  [&](jobs::OrderResult R) { Outcome = R.Outcome; });
    B.Relay.dropUnsent("p");
  });
  waitUntil(B.Loop, [&] { return Outcome.has_value(); });
  CHECK(*Outcome == OrderOutcome::Withheld);
  CHECK(B.Remote.count() == 0);
  CHECK(B.Direct.count() == 0);
}

TEST_CASE("orders that waited too long are withheld at once, also more of them "
          "than one batch holds") {
  constexpr std::size_t Count = 450;
  RelayFixture B;
  std::size_t Withheld = 0;
  std::size_t Ended = 0;
  runOn(B.Loop, [&] {
    for (std::size_t N = 0; N < Count; ++N)
      B.Relay.start(
          worker(), 5, sampleStart(), nullptr, [&](jobs::OrderResult Result) {
            ++Ended;
            Withheld += Result.Outcome == OrderOutcome::Withheld ? 1 : 0;
          });
    // The thread doesn't run for longer than the orders may wait.
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
  });
  waitUntil(B.Loop, [&] { return Ended == Count; });
  CHECK(Withheld == Count);
  CHECK(B.Remote.count() == 0);
}

TEST_CASE(
    "relayed starts of one job load the owner's link with no copies of its "
    "payload") {
  constexpr std::size_t Count = 8;
  RelayFixture B;
  std::size_t Accepted = 0;
  runOn(B.Loop, [&] {
    for (std::size_t N = 0; N < Count; ++N)
      B.Relay.start(
          worker(), 5, sampleStart(), nullptr, [&](jobs::OrderResult Result) {
            Accepted += Result.Outcome == OrderOutcome::Accepted ? 1 : 0;
          });
  });
  waitUntil(B.Loop, [&] { return Accepted == Count; });
  std::size_t Bytes = 0;
  runOn(B.Loop, [&] { Bytes = B.OrderBytes; });
  CHECK(Bytes < sampleStart().Payload.size());
  CHECK(B.Store.readCount() == 1);
  for (const auto &[To, Sent] : B.Remote.Starts)
    CHECK(Sent.Payload == sampleStart().Payload);
}

TEST_CASE("a relayed start reaches its worker although the sending entry can't "
          "read the payload") {
  RelayFixture B;
  SUBCASE("the store refuses the read") { B.Store.failReads(rows::Payloads); }
  SUBCASE("the store does not answer") { B.Store.silenceReads(rows::Payloads); }
  SUBCASE("the store does not have it") {
    const std::string JobId = sampleStart().Task.JobId;
    B.Store.remove({rows::Payloads, rows::jobPart(JobId), JobId});
  }
  CHECK(B.start() == OrderOutcome::Accepted);
  // The entry gets the next orders with their payloads at once.
  CHECK(B.start() == OrderOutcome::Accepted);
  std::size_t Messages = 0;
  runOn(B.Loop, [&] { Messages = B.OrderMessages; });
  CHECK(Messages == 3);
  REQUIRE(B.Remote.Starts.size() == 2);
  for (const auto &[To, Sent] : B.Remote.Starts)
    CHECK(Sent.Payload == sampleStart().Payload);
}

TEST_CASE("a start whose payload came too late is not sent") {
  RelayFixture B;
  codec::RelayedOrder Order;
  Order.Id = 1;
  Order.Within = std::chrono::milliseconds(50);
  Order.PayloadOmitted = true;
  Order.Order = sampleStart();
  B.Store.silenceReads(rows::Payloads);
  std::string Text =
      codec::encodeOrders(Owner.Name, Owner.Life, std::span(&Order, 1), {});
  auto All = [](const EntryIdentity &) { return true; };
  runOn(B.Loop, [&] { B.Forwarder.handleOrders(Text, bootNow(), All); });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK(B.Remote.count() == 0);
}

TEST_CASE("relayed starts carry their payloads as far as the owner's link has "
          "room for them") {
  // Two payloads of 3,000 bytes in a quarter of the link.
  constexpr double LinkMbps = 0.2;
  constexpr std::size_t Count = 8;
  auto CountReads = [&](double Link) {
    RelayFixture B(Link);
    std::size_t Accepted = 0;
    runOn(B.Loop, [&] {
      for (std::size_t N = 0; N < Count; ++N)
        B.Relay.start(worker(), 5, sampleStart(), nullptr,
                      [&](jobs::OrderResult Result) {
                        bool Ok = Result.Outcome == OrderOutcome::Accepted;
                        Accepted += Ok ? 1 : 0;
                      });
    });
    waitUntil(B.Loop, [&] { return Accepted == Count; });
    for (const auto &[To, Sent] : B.Remote.Starts)
      CHECK(Sent.Payload == sampleStart().Payload);
    return B.Store.readCount();
  };
  CHECK(CountReads(LinkMbps) == 1);
  CHECK(CountReads(LinkMbps * 100) == 0);
}
