#include "dispatch/FleetView.h"

#include "dispatch/ConfigDecoder.h"
#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"
#include "dispatch/SilentWorkers.h"
#include "net/HttpClient.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>
#include <map>
#include <thread>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

namespace {

store::PartRow entryRow(const std::string &Value) {
  store::PartRow Row;
  Row.Where = {rows::Control, rows::entryPart("e1"),
               std::string(rows::EntryPrefix) + "e1"};
  Row.Value = Value;
  Row.Version = 7;
  return Row;
}

constexpr char HeartbeatMark = '#';

/// A FleetView on a store in memory. A worker's value consists of its state, a
/// separator and its heartbeat; without the separator it can't be decoded.
struct ViewFixture {
  settings::DispatchSettings Settings;
  net::Loop Loop;
  net::HttpClient Client{{}};
  InMemoryStore Store;
  SilentWorkers Orders;
  RowDecoder Rows = tables();
  CallerCodec Codec;
  JobMetrics Count;
  Context Ctx{Settings, Loop, Client, Store, Orders,
              nullptr,  Rows, Codec,  Count, "1"};
  /// Accessed on the loop's thread only.
  std::uint32_t Decoded = 0;
  std::uint32_t Changes = 0;
  FleetView View{Ctx, [this](ViewChange What) {
                   Changes += What == ViewChange::Workers ? 1 : 0;
                 }};

  ViewFixture() {
    Rows.Operator = decoderOf(configOf({"p"})).Operator;
    Rows.WorkerWithoutHeartbeat = [](const std::string &Value) {
      return Value.substr(0, Value.find(HeartbeatMark));
    };
    Rows.Worker = [this](const store::PartRow &Row) {
      ++Decoded;
      if (Row.Value.find(HeartbeatMark) == std::string::npos)
        throw std::invalid_argument("no separator");
      jobs::WorkerEntry Entry;
      Entry.Id = Row.Where.Key;
      Entry.Pool = "p";
      Entry.Draining = Row.Value.starts_with("draining");
      return Entry;
    };
    Store.put({"op", "", "config"}, "");
    putWorker("w1", "ready#1");
    putWorker("w2", "ready#1");
    Loop.start();
    on([this] { View.start(); });
    read();
  }
  ~ViewFixture() {
    Loop.stop();
    Client.stop();
  }

  /// Table names, which the view copies in its constructor.
  static RowDecoder tables() {
    RowDecoder Named;
    Named.OperatorTable = "op";
    Named.WorkerTable = "servers";
    return Named;
  }
  void putWorker(const std::string &Id, const std::string &Value) {
    Store.put({"servers", "", Id}, Value);
  }
  /// Runs \p Work on the loop's thread and waits for it.
  void on(const std::function<void()> &Work) {
    std::promise<void> Done;
    Loop.post([&] {
      Work();
      Done.set_value();
    });
    Done.get_future().wait();
  }
  /// Waits for a new read of the worker list; returns the number of draining
  /// workers.
  std::ptrdiff_t read() {
    std::promise<std::ptrdiff_t> Done;
    Loop.post([&] {
      View.whenWorkersRead([&] {
        std::vector<jobs::WorkerEntry> Workers = View.workersOf("p");
        Done.set_value(
            std::count_if(Workers.begin(), Workers.end(),
                          [](const auto &Entry) { return Entry.Draining; }));
      });
    });
    return Done.get_future().get();
  }
  std::size_t listed() {
    std::size_t Found = 0;
    on([&] { Found = View.workersOf("p").size(); });
    return Found;
  }
};

} // namespace

TEST_CASE("an entry's row carries its capacity") {
  jobs::EntryView Entry;
  Entry.Life = "1";
  Entry.PeerAddress = "10.0.0.1:7000";
  Entry.DataCentre = "dc1";
  Entry.Capacity = 480;
  jobs::EntryView Read =
      FleetView::decodeEntry(entryRow(FleetView::entryValue(Entry, 3)));
  CHECK(Read.Name == "e1");
  CHECK(Read.Capacity == 480);
  CHECK(Read.PeerAddress == Entry.PeerAddress);
  CHECK(Read.Version == 7);
}

TEST_CASE("an entry's row without a capacity can be decoded") {
  jobs::EntryView Read = FleetView::decodeEntry(entryRow(
      R"({"life":"1","peer":"10.0.0.1:7000","dc":"dc1","leaving":true,"beat":4})"));
  CHECK(Read.Capacity == jobs::DefaultCapacity);
  CHECK(Read.Leaving);
}

TEST_CASE("an entry's row carries its own time of day, and one without it can "
          "be decoded") {
  jobs::EntryView Entry;
  auto Read = [&] {
    return FleetView::decodeEntry(entryRow(FleetView::entryValue(Entry, 3)));
  };
  CHECK_FALSE(Read().OwnTime);
  Entry.OwnTime = core::Duration(-5);
  CHECK(Read().OwnTime == Entry.OwnTime);
}

TEST_CASE("a row of an agreed time is no entry, and counts for the entry that "
          "wrote it") {
  ViewFixture B;
  B.Store.put({rows::Control, rows::entryPart("e1"),
               std::string(rows::TimePrefix) + "e1"},
              FleetView::timeValue({core::Duration(7), core::Duration(8), 3}));
  std::vector<core::TimeReport> Reports;
  waitUntil(B.Loop, [&] {
    Reports = B.View.timeReports("e2", std::chrono::seconds(1));
    return !Reports.empty();
  });
  REQUIRE(Reports.size() == 1);
  REQUIRE(Reports[0].Agreed);
  CHECK(Reports[0].Agreed->Offset == core::Duration(7));
  CHECK(Reports[0].Agreed->Sources == 3);
  CHECK_FALSE(Reports[0].Alive);
  B.on([&] { CHECK(B.View.entries().empty()); });
}

TEST_CASE("a team's row without needs can be read, and one with needs gives an "
          "earlier release the parts") {
  auto Read = [](const std::string &Value) {
    return FleetView::decodeAllotment(
        {{rows::Control, rows::LimitsPart, "t"}, Value, 7, false});
  };
  TeamAllotment Old = Read(R"({"p":[600,20,1],"q":[400,10,0]})");
  CHECK(Old.ByPool.at("p") == core::Resources{600, 20, 1});
  CHECK(Old.Needs.empty());
  TeamAllotment New = Old;
  New.Needs["q"] = {{800, 30, 2}, 5};
  std::string Value = FleetView::allotmentValue(New);
  CHECK(Read(Value).ByPool == New.ByPool);
  CHECK(Read(Value).Needs == New.Needs);
  nlohmann::json Object = nlohmann::json::parse(Value);
  REQUIRE(Object.size() == 2);
  for (const auto &[Pool, Part] : New.ByPool) {
    CHECK(Object[Pool].at(0).get<std::uint32_t>() == Part.MilliCpus);
    CHECK(Object[Pool].at(1).get<std::uint32_t>() == Part.MemoryMb);
    CHECK(Object[Pool].at(2).get<std::uint32_t>() == Part.Accelerators);
  }
}

TEST_CASE(
    "a new owner reads the worker list without waiting for the idle pause") {
  ViewFixture Fixture;
  CHECK(Fixture.listed() == 2);
  // Well within the read pause of an entry without a pool.
  Fixture.putWorker("w1", "draining#2");
  CHECK(Fixture.read() == 1);
  Fixture.Store.remove({"servers", "", "w2"});
  Fixture.read();
  CHECK(Fixture.listed() == 1);
}

// 350 workers renew their rows every 1.5 s. Every entry used to decode each of
// these rows in full, and owners applied all their workers again each time.
TEST_CASE("a worker's heartbeat is neither decoded nor reported as a change") {
  ViewFixture Fixture;
  std::uint32_t Decoded = 0;
  std::uint32_t Changes = 0;
  Fixture.on([&] {
    Decoded = Fixture.Decoded;
    Changes = Fixture.Changes;
  });
  Fixture.putWorker("w1", "ready#2");
  Fixture.putWorker("w2", "ready#2");
  Fixture.read();
  Fixture.on([&] {
    CHECK(Fixture.Decoded == Decoded);
    CHECK(Fixture.Changes == Changes);
  });
  Fixture.putWorker("w2", "draining#3");
  CHECK(Fixture.read() == 1);
  Fixture.on([&] {
    CHECK(Fixture.Decoded == Decoded + 1);
    CHECK(Fixture.Changes == Changes + 1);
  });
}

TEST_CASE("an unreadable worker row keeps the worker's last known entry") {
  ViewFixture Fixture;
  Fixture.putWorker("w1", "???");
  CHECK(Fixture.read() == 0);
  CHECK(Fixture.listed() == 2);
}

TEST_CASE("a worker row whose bytes can't be read costs no other worker of the "
          "list") {
  ViewFixture Fixture;
  Fixture.on([&] {
    Fixture.Rows.WorkerWithoutHeartbeat = [](const std::string &Value) {
      if (Value == "\xff")
        throw std::invalid_argument("not text");
      return Value.substr(0, Value.find(HeartbeatMark));
    };
  });
  Fixture.putWorker("w0", "\xff");
  Fixture.putWorker("w3", "draining#1");
  CHECK(Fixture.read() == 1);
  CHECK(Fixture.listed() == 3);
}

TEST_CASE("an owner sees changed workers without requesting a read") {
  ViewFixture Fixture;
  Fixture.on([&] { Fixture.View.followWorkersClosely(true); });
  Fixture.putWorker("w1", "draining#2");
  std::ptrdiff_t Draining = 0;
  while (Draining == 0)
    Fixture.on([&] {
      for (const jobs::WorkerEntry &Entry : Fixture.View.workersOf("p"))
        Draining += Entry.Draining ? 1 : 0;
    });
  CHECK(Draining == 1);
}

TEST_CASE("an entry without a pool reads the worker list less often") {
  ViewFixture Owner;
  ViewFixture Other;
  Owner.on([&] { Owner.View.followWorkersClosely(true); });
  Other.on([&] { Other.View.followWorkersClosely(false); });
  std::uint32_t OwnersFirst = Owner.Store.readCount();
  std::uint32_t OthersFirst = Other.Store.readCount();
  constexpr std::uint32_t Enough = 8;
  while (Owner.Store.readCount() - OwnersFirst < Enough)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(Other.Store.readCount() - OthersFirst < Enough / 2);
}

TEST_CASE("the heartbeats of a large fleet are spread over the partitions") {
  constexpr std::size_t Entries = 147;
  std::map<std::string, std::size_t> Counts;
  for (std::size_t N = 0; N < Entries; ++N)
    ++Counts[rows::entryPart("frontend-mu-west-a-" + std::to_string(N))];
  std::vector<std::string> Parts = rows::entryParts();
  for (const auto &[Part, Count] : Counts) {
    CHECK(std::find(Parts.begin(), Parts.end(), Part) != Parts.end());
    CHECK(Count < 2 * Entries / Parts.size());
  }
}
