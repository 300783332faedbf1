#include "dispatch/OrderSender.h"

#include "dispatch/Clock.h"
#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"
#include "dispatch/SilentWorkers.h"

#include <doctest/doctest.h>

#include <deque>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

namespace {

/// Workers that answer starts and stops when the test says so.
struct HeldWorkers : SilentWorkers {
  std::deque<std::function<void(jobs::OrderResult)>> Asked;
  /// Those asked for, each sent at the zero of the machine's clock.
  std::vector<std::pair<SendMark, std::function<void(jobs::ReportResult)>>>
      Reports;

  void start(const jobs::WorkerEntry &, std::uint64_t, const jobs::StartOrder &,
             SendMark SentAt,
             std::function<void(jobs::OrderResult)> Done) override {
    setSent(SentAt);
    Asked.push_back(std::move(Done));
  }
  void report(const jobs::WorkerEntry &, std::uint64_t, const jobs::HoldOrder &,
              SendMark SentAt,
              std::function<void(jobs::ReportResult)> Done) override {
    SentAt->set(core::TimePoint());
    Reports.push_back({std::move(SentAt), std::move(Done)});
  }
  void stop(const jobs::WorkerEntry &, std::uint64_t, const jobs::StopOrder &,
            std::function<void(jobs::OrderResult)> Done) override {
    Asked.push_back(std::move(Done));
  }
  /// Answers the oldest order, and forgets its callback.
  void answer() {
    Asked.front()({jobs::OrderOutcome::Accepted, 0});
    Asked.pop_front();
  }
};

struct CountingHost : PoolHost {
  std::shared_ptr<int> Owner = std::make_shared<int>();
  bool Dropped = false;
  unsigned Plans = 0;

  std::shared_ptr<const void> keep() override { return Owner; }
  bool isDropped() const override { return Dropped; }
  void schedulePlan() override { ++Plans; }
};

struct SenderFixture {
  settings::DispatchSettings Settings;
  net::Loop Loop;
  net::HttpClient Client{{}};
  InMemoryStore Store;
  HeldWorkers Workers;
  RowDecoder Rows;
  CallerCodec Codec;
  JobMetrics Count;
  Context Ctx{Settings, Loop, Client, Store, Workers,
              nullptr,  Rows, Codec,  Count, "1"};
  jobs::PoolState State{"p", 5, bootNow(), {}};
  PoolEventLog Log{"p", 5, bootNow()};
  CountingHost Host;
  OrderSender Sender{Ctx, State, Log, Host};

  SenderFixture() {
    jobs::WorkerEntry Entry;
    Entry.Id = "w1";
    Entry.Pool = "p";
    State.setWorkers(std::vector{Entry}, bootNow());
    Loop.start();
  }
  ~SenderFixture() {
    Client.stop();
    Loop.stop();
  }
  void on(const std::function<void()> &Do) { runOn(Loop, Do); }
  static jobs::StartOrder startOn(const char *Worker) {
    jobs::StartOrder Order;
    Order.Worker = Worker;
    Order.Task.JobId = "j";
    Order.Run = 1;
    return Order;
  }
};

} // namespace

TEST_CASE("an order keeps its pool's owner until it is answered, also once the "
          "pool was given up") {
  SenderFixture B;
  std::weak_ptr<int> Owner = B.Host.Owner;
  jobs::StopOrder Stop;
  Stop.Worker = "w1";
  Stop.Task.JobId = "j";
  B.on([&] {
    B.Sender.send({{SenderFixture::startOn("w1")}, {Stop}, {}});
    B.Host.Dropped = true;
    B.Host.Owner = nullptr;
  });
  REQUIRE(B.Workers.Asked.size() == 2);
  B.on([&] { B.Workers.answer(); });
  B.on([&] { CHECK_FALSE(Owner.expired()); });
  B.on([&] { B.Workers.answer(); });
  B.on([&] { CHECK(Owner.expired()); });
}

TEST_CASE("starts take room until they are answered, and those to unknown "
          "workers take none") {
  SenderFixture B;
  std::size_t Room = 0;
  B.on([&] {
    Room = B.Sender.startRoom();
    jobs::StartOrder Start = SenderFixture::startOn("w1");
    B.Sender.send({{Start, Start, SenderFixture::startOn("w2")}, {}, {}});
    CHECK(B.Sender.unansweredStarts() == 2);
    CHECK(B.Sender.startRoom() == Room - 2);
  });
  REQUIRE(B.Workers.Asked.size() == 2);
  B.on([&] { B.Workers.answer(); });
  B.on([&] {
    CHECK(B.Sender.unansweredStarts() == 1);
    CHECK(B.Host.Plans == 0);
  });
}

TEST_CASE("an order that is sent at the zero of the machine's clock counts as "
          "not sent") {
  SenderFixture B;
  B.on([&] {
    jobs::Orders Out = B.State.plan({});
    REQUIRE(Out.Holds.size() == 1);
    B.Sender.send(Out);
    B.Sender.recordSending();
    const jobs::WorkerState &W = *B.State.workers().at("w1");
    REQUIRE(W.Requests.size() == 1);
    CHECK(W.Requests[0].OverdueAt < core::TimePoint::max());
  });
}
