#include "HttpWorkers.h"
#include "HttpMachines.h"
#include "HttpStore.h"
#include "net/HttpServer.h"
#include "net/Loop.h"
#include "standins/FaultServer.h"
#include "standins/LoopbackServers.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>

using namespace comfreydeck;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t OrderCount = 40;
/// A worker accepts 64 connections, shared by all entries.
constexpr std::uint32_t MaxConnections = 8;

jobs::StartOrder orderOf(std::uint32_t Index) {
  jobs::StartOrder Order;
  Order.Worker = "w";
  Order.Task = {"0123456789abcdef", 0, 0, Index};
  Order.Run = Index + 1;
  return Order;
}

/// What a caller learns of its call.
enum class Learned : std::uint8_t { Done, NotDone, Unknown };

Learned learnedOf(jobs::OrderOutcome Outcome) {
  if (Outcome == jobs::OrderOutcome::Accepted)
    return Learned::Done;
  return Outcome == jobs::OrderOutcome::Unknown ? Learned::Unknown
                                                : Learned::NotDone;
}

Learned learnedOf(dispatch::MachineOrderOutcome Outcome) {
  if (Outcome == dispatch::MachineOrderOutcome::Done)
    return Learned::Done;
  return Outcome == dispatch::MachineOrderOutcome::Unknown ? Learned::Unknown
                                                           : Learned::NotDone;
}

Learned learnedOf(store::PartOutcome Outcome) {
  if (Outcome == store::PartOutcome::Ok)
    return Learned::Done;
  return Outcome == store::PartOutcome::Unknown ? Learned::Unknown
                                                : Learned::NotDone;
}

/// Sends one call of each kind that changes something to the address.
struct ChangingCalls {
  net::HttpClient Client{net::HttpClientOptions{}};
  platform::HttpWorkers Workers{Client};
  platform::HttpMachines Machines;
  platform::HttpStore Store;
  jobs::WorkerEntry To;

  explicit ChangingCalls(const std::string &Address)
      : Machines(Client, Address, "e1"), Store(Client, Address) {
    To.Id = "w";
    To.Address = Address;
  }

  Learned send(const std::string &Kind) {
    std::promise<Learned> Result;
    auto Done = [&Result](const auto &Ended) {
      Result.set_value(learnedOf(Ended.Outcome));
    };
    auto MachineDone = [&Result](dispatch::MachineOrderOutcome Outcome) {
      Result.set_value(learnedOf(Outcome));
    };
    if (Kind == "start")
      Workers.start(To, 1, orderOf(1), nullptr, Done);
    else if (Kind == "stop")
      Workers.stop(To, 1, {"w", orderOf(1).Task, 1}, Done);
    else if (Kind == "extension")
      Workers.report(To, 1, {"w", 1000, 0, core::Duration(0)}, nullptr, Done);
    else if (Kind == "transaction")
      Store.commit({{}, {{{"jobs", "1", "k"}, "v"}}, {}},
                   std::chrono::seconds(20), Done);
    else if (Kind == "upkeep")
      Machines.maintain("m", "1", 1, MachineDone);
    else
      Machines.move("m", "p", 1, MachineDone);
    return Result.get_future().get();
  }
};

/// A worker that takes a while for each start, and keeps the report requests.
class RecordingServer {
public:
  explicit RecordingServer(milliseconds Busy)
      : Server_({}, [this, Busy](const net::HttpRequest &Request,
                                 const net::HttpResponder &Respond) {
          serve(Request, Respond, Busy);
        }) {
    Loop_.start();
    Server_.start();
  }
  ~RecordingServer() {
    Server_.stop();
    Loop_.stop();
  }
  std::uint16_t port() const { return Server_.port(); }
  std::vector<nlohmann::json> holds() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Holds_;
  }

private:
  void serve(const net::HttpRequest &Request, const net::HttpResponder &Respond,
             milliseconds Busy) {
    auto Answer = [Respond] {
      Respond(net::jsonResponse(200, R"({"ClockMs":5,"born":1})"));
    };
    if (Request.Path != "/v1/hold") {
      Loop_.post([this, Busy, Answer] { Loop_.after(Busy, Answer); });
      return;
    }
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Holds_.push_back(nlohmann::json::parse(Request.Body));
    }
    Answer();
  }

  net::Loop Loop_;
  std::mutex Mutex_;
  std::vector<nlohmann::json> Holds_;
  net::HttpServer Server_;
};

} // namespace

// The HTTP client sent a call again by itself after a kept connection had
// broken, and the refusal of the second one was taken for the call's outcome.
TEST_CASE("a call whose answer was lost with its connection may have been "
          "carried out, whatever a repetition is answered") {
  const std::string Report = R"({"ClockMs":5,"born":1})";
  standins::FaultScript Answer;
  Answer.Answer = standins::rawAnswer(200, "", Report);
  standins::FaultScript Lost;
  Lost.End = standins::ConnectionEnd::Reset;
  for (const char *Kind :
       {"start", "stop", "extension", "transaction", "upkeep", "move"}) {
    for (int Status : {429, 503, 421, 409, 0}) {
      CAPTURE(Kind);
      CAPTURE(Status);
      standins::FaultScript Refusal;
      Refusal.Answer = standins::rawAnswer(Status, "", R"({"Reason":"room"})");
      standins::FaultScript Last = Lost;
      // Without a status, the second connection is refused.
      Last.CloseListener = Status == 0;
      standins::FaultServer Server({Answer, Last, Refusal});
      ChangingCalls Calls("127.0.0.1:" + std::to_string(Server.port()));
      CHECK(Calls.send(Kind) == Learned::Done);
      CHECK(Calls.send(Kind) == Learned::Unknown);
    }
  }
}

TEST_CASE("a start that a worker accepts when it is sent again is accepted") {
  standins::FaultScript Answer;
  Answer.Answer = standins::rawAnswer(200, "", R"({"ClockMs":5})");
  standins::FaultScript Lost;
  Lost.End = standins::ConnectionEnd::Reset;
  standins::FaultServer Server({Answer, Lost, Answer});
  ChangingCalls Calls("127.0.0.1:" + std::to_string(Server.port()));
  CHECK(Calls.send("start") == Learned::Done);
  CHECK(Calls.send("start") == Learned::Done);
  CHECK(Server.wholeRequests() == 3);
}

TEST_CASE("a report request on a broken connection is sent again to the "
          "worker's next life") {
  standins::FaultScript Answer;
  Answer.Answer = standins::rawAnswer(200, "", R"({"ClockMs":5,"born":1})");
  standins::FaultScript Lost;
  Lost.End = standins::ConnectionEnd::Reset;
  standins::FaultServer Server({Answer, Lost, Answer});
  ChangingCalls Calls("127.0.0.1:" + std::to_string(Server.port()));
  CHECK(Calls.send("extension") == Learned::Done);
  CHECK(Calls.send("extension") == Learned::Unknown);
  CHECK(Server.wholeRequests() == 2);
}

TEST_CASE("a request that waits for its turn acknowledges ends of the worker's "
          "earlier life") {
  constexpr milliseconds Busy(300);
  constexpr std::size_t CallsAtOnce = 6;
  RecordingServer Server(Busy);
  net::HttpClient Client(net::HttpClientOptions{});
  platform::HttpWorkers Workers(Client);
  jobs::WorkerEntry To;
  To.Id = "w";
  To.Address = "127.0.0.1:" + std::to_string(Server.port());
  jobs::HoldOrder Order;
  Order.DeadlineMs = 1000;
  Order.AcknowledgeUpTo = 57;
  Order.Wait = milliseconds(800);
  auto Request = [&] {
    std::promise<jobs::OrderOutcome> Ended;
    Workers.report(To, 1, Order, nullptr, [&](const jobs::ReportResult &R) {
      Ended.set_value(R.Outcome);
    });
    return Ended.get_future().get();
  };
  SUBCASE("not at all") {
    Order.AcknowledgeBy = net::bootNow() + std::chrono::seconds(1);
    CHECK(Request() == jobs::OrderOutcome::Accepted);
    CHECK(Server.holds().at(0)["LastSeen"] == 57);
    CHECK(Server.holds().at(0)["WaitMs"] == 800);
  }
  SUBCASE("before it reaches the client") {
    Order.AcknowledgeBy = net::bootNow() - milliseconds(1);
    CHECK(Request() == jobs::OrderOutcome::Accepted);
    CHECK(Server.holds().at(0)["LastSeen"] == 0);
  }
  SUBCASE("behind other orders") {
    for (std::uint32_t N = 0; N < CallsAtOnce; ++N)
      Workers.start(To, 1, orderOf(N), nullptr, [](const auto &) {});
    Order.AcknowledgeBy = net::bootNow() + milliseconds(100);
    CHECK(Request() == jobs::OrderOutcome::Accepted);
    REQUIRE(Server.holds().size() == 1);
    CHECK(Server.holds()[0]["LastSeen"] == 0);
    CHECK(Server.holds()[0]["DeadlineMs"] == 1000);
    CHECK_FALSE(Server.holds()[0].contains("WaitMs"));
  }
}

TEST_CASE("a report without the worker's start time counts as no answer") {
  standins::FaultScript Incomplete;
  Incomplete.Answer = standins::rawAnswer(200, "", R"({"ClockMs":5})");
  standins::FaultScript Whole;
  Whole.Answer = standins::rawAnswer(200, "", R"({"ClockMs":5,"born":1})");
  standins::FaultServer Server({Incomplete, Whole});
  ChangingCalls Calls("127.0.0.1:" + std::to_string(Server.port()));
  CHECK(Calls.send("extension") == Learned::Unknown);
  CHECK(Calls.send("extension") == Learned::Done);
}

TEST_CASE("the sending of orders is known") {
  standins::LoopbackServers Row(1);
  net::HttpClient Client(net::HttpClientOptions{});
  platform::HttpWorkers Workers(Client);
  jobs::WorkerEntry To;
  To.Id = "w";
  To.Address = Row.address(0);
  auto StartSent = std::make_shared<net::BeginTime>();
  auto ReportSent = std::make_shared<net::BeginTime>();
  std::promise<void> Started;
  std::promise<void> Reported;
  Workers.start(To, 1, orderOf(1), StartSent,
                [&](const jobs::OrderResult &) { Started.set_value(); });
  Workers.report(To, 1, {}, ReportSent,
                 [&](const jobs::ReportResult &) { Reported.set_value(); });
  Started.get_future().wait();
  Reported.get_future().wait();
  CHECK(StartSent->get().has_value());
  CHECK(ReportSent->get().has_value());
}

TEST_CASE("a burst of orders to one worker opens few connections") {
  standins::LoopbackServers Row(1);
  net::HttpClient Client(net::HttpClientOptions{});
  platform::HttpWorkers Workers(Client);
  jobs::WorkerEntry To;
  To.Id = "w";
  To.Address = Row.address(0);
  std::atomic<std::size_t> Accepted = 0;
  std::atomic<std::size_t> Ended = 0;
  std::promise<void> AllEnded;
  for (std::uint32_t N = 0; N < OrderCount; ++N)
    Workers.start(To, 1, orderOf(N), nullptr,
                  [&](const jobs::OrderResult &Result) {
                    if (Result.Outcome == jobs::OrderOutcome::Accepted)
                      ++Accepted;
                    if (++Ended == OrderCount)
                      AllEnded.set_value();
                  });
  AllEnded.get_future().wait();
  CHECK(Accepted == OrderCount);
  CHECK(Row.connections() <= MaxConnections);
}

TEST_CASE(
    "a response without its fields is an error, not an empty report or list") {
  standins::LoopbackServers Row(1);
  net::HttpClient Client(net::HttpClientOptions{});
  platform::HttpWorkers Workers(Client);
  jobs::WorkerEntry To;
  To.Id = "w";
  To.Address = Row.address(0);
  std::promise<jobs::ReportResult> Report;
  Workers.report(To, 1, {}, nullptr, [&](jobs::ReportResult Result) {
    Report.set_value(std::move(Result));
  });
  CHECK(Report.get_future().get().Outcome == jobs::OrderOutcome::Unknown);
  platform::HttpMachines Machines(Client, Row.address(0), "e1");
  std::promise<dispatch::MachineList> List;
  Machines.list(
      [&](dispatch::MachineList Read) { List.set_value(std::move(Read)); });
  CHECK_FALSE(List.get_future().get().Ok);
}

TEST_CASE("a machine whose kind can't be read costs no list of the machines") {
  standins::FaultScript Answer;
  Answer.Answer = standins::rawAnswer(200, "",
                                      R"({"Machines":[
        {"Machine":"m1","Pool":"p","State":"up","Id":"w1",
         "Labels":["large","r1-2"],
         "Capacity":{"Cpu":16000,"MemoryRequestMb":8000,"Gpus":2}},
        {"Machine":"m2","State":"down","Labels":"x","Capacity":{"Cpu":1000}},
        {"Machine":"m3","State":"down","Labels":[7],"Capacity":{"Cpu":1000}},
        {"Machine":"m4","State":"down","Labels":["small"],"Capacity":7},
        {"Machine":"m5","State":"down","Labels":["small"]}]})");
  standins::FaultServer Server({Answer});
  net::HttpClient Client(net::HttpClientOptions{});
  platform::HttpMachines Machines(
      Client, "127.0.0.1:" + std::to_string(Server.port()), "e1");
  std::promise<dispatch::MachineList> Done;
  Machines.list(
      [&](dispatch::MachineList Read) { Done.set_value(std::move(Read)); });
  dispatch::MachineList List = Done.get_future().get();
  CHECK(List.Ok);
  REQUIRE(List.Machines.size() == 5);
  CHECK(List.Machines[0].KindShown);
  CHECK(List.Machines[0].Labels == std::vector<std::string>{"large", "r1-2"});
  CHECK(List.Machines[0].Capacity == core::Resources{16000, 8000, 2});
  for (std::size_t Unreadable = 1; Unreadable < 5; ++Unreadable)
    CHECK_FALSE(List.Machines[Unreadable].KindShown);
}

// Cancelled tasks ran on: their runs were not recognized in reports, since the
// numbers had been rounded.
TEST_CASE("numbers of runs above 2^53 are read exactly from a report") {
  constexpr jobs::RunId LargeRun = 12582912155189257;
  standins::FaultScript Answer;
  Answer.Answer = standins::rawAnswer(
      200, "",
      R"({"ClockMs":5,"born":1,"Running":[["0123456789abcdef.0.0.1",12582912155189257]],
          "EndedRuns":[[9007199254740995,"0123456789abcdef.0.0.2",
                        12582912155189257,"done",""]]})");
  standins::FaultServer Server({Answer});
  net::HttpClient Client(net::HttpClientOptions{});
  platform::HttpWorkers Workers(Client);
  jobs::WorkerEntry To;
  To.Address = "127.0.0.1:" + std::to_string(Server.port());
  std::promise<jobs::WorkerReport> Report;
  Workers.report(To, 1, {}, nullptr, [&](const jobs::ReportResult &Result) {
    Report.set_value(Result.Report);
  });
  jobs::WorkerReport Read = Report.get_future().get();
  REQUIRE(Read.Running.size() == 1);
  CHECK(Read.Running[0].Run == LargeRun);
  REQUIRE(Read.Ended.size() == 1);
  CHECK(Read.Ended[0].Run == LargeRun);
  CHECK(Read.Ended[0].Number == 9007199254740995);
}
