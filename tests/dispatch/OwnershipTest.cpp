#include "dispatch/Ownership.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/ConfigDecoder.h"
#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"
#include "dispatch/SilentWorkers.h"
#include "net/HttpClient.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

namespace {

constexpr const char *Life = "2";

/// An entry that owns pool "p", on a store in memory.
struct OwnershipFixture {
  settings::DispatchSettings Settings = settingsOf("e1");
  net::Loop Loop;
  net::HttpClient Client{{}};
  InMemoryStore Store;
  SilentWorkers Workers;
  RowDecoder Rows = decoderOf(configOf({"p"}));
  CallerCodec Codec;
  JobMetrics Count;
  Context Ctx{Settings, Loop, Client, Store, Workers,
              nullptr,  Rows, Codec,  Count, Life};
  FleetView View{Ctx, [this](ViewChange) { Owners.review(); }};
  Ownership Owners{Ctx, View};
  std::uint64_t Token = 0;

  explicit OwnershipFixture(
      const std::string &OwnerRow = FleetView::ownerValue("e1", Life, {}),
      const std::vector<jobs::EntryView> &Others = {}) {
    Store.put({"op", "", "config"}, "");
    Store.put({rows::Control, rows::poolPart("p"), rows::OwnerKey}, OwnerRow);
    for (const jobs::EntryView &Other : Others)
      Store.put({rows::Control, rows::entryPart(Other.Name),
                 rows::EntryPrefix + Other.Name},
                FleetView::entryValue(Other, 1));
    Owners.setProbe([](const std::string &,
                       const std::function<void(bool)> &Done) { Done(true); });
    Owners.setStopQuery(
        [](const std::string &, const std::string &, std::uint64_t,
           const std::function<void(std::optional<core::Duration>)> &) {});
    Loop.start();
    runOn(Loop, [this] {
      View.start();
      Owners.start();
    });
    waitUntil(Loop, [this] {
      Owners.review();
      return Owners.controller("p") != nullptr;
    });
    runOn(Loop, [this] { Token = Owners.controller("p")->token(); });
  }
  ~OwnershipFixture() {
    runOn(Loop, [this] {
      for (const auto &[Pool, Controller] : Owners.controllers())
        Controller->drop();
    });
    Loop.stop();
    Client.stop();
  }

  static settings::DispatchSettings settingsOf(const std::string &Name) {
    settings::DispatchSettings S;
    S.Name = Name;
    return S;
  }
  std::optional<core::Duration> stopOrders(const std::string &Pool,
                                           std::uint64_t Under) {
    std::optional<core::Duration> For;
    runOn(Loop, [&] { For = Owners.stopOrders(Pool, Under); });
    return For;
  }
  bool isOwned(const std::string &Pool) {
    bool Owned = false;
    runOn(Loop, [&] { Owned = Owners.isOwned(Pool); });
    return Owned;
  }
};

} // namespace

TEST_CASE("an owner that is asked to stop by a later one gives its pool up") {
  OwnershipFixture B;
  SUBCASE("by a later one") {
    core::TimePoint Asked = bootNow();
    std::optional<core::Duration> For = B.stopOrders("p", B.Token + 1);
    REQUIRE(For);
    CHECK(*For <= bootNow() - Asked);
    CHECK_FALSE(B.isOwned("p"));
  }
  SUBCASE("by an earlier one") {
    CHECK_FALSE(B.stopOrders("p", B.Token - 1));
    CHECK(B.isOwned("p"));
  }
  SUBCASE("by itself, about its earlier ownerships") {
    CHECK(B.stopOrders("p", B.Token));
    CHECK(B.isOwned("p"));
  }
}

TEST_CASE("an entry has given no order for a pool that it never owned since "
          "its start") {
  OwnershipFixture B;
  std::optional<core::Duration> First = B.stopOrders("other", 1);
  std::optional<core::Duration> Second = B.stopOrders("other", 1);
  REQUIRE(First);
  REQUIRE(Second);
  CHECK(*Second >= *First);
}

TEST_CASE("an entry that has not begun to work yet has stopped no earlier than "
          "its process started") {
  core::TimePoint Before = bootNow();
  OwnershipFixture B;
  Ownership Other(B.Ctx, B.View);
  std::optional<core::Duration> For;
  runOn(B.Loop, [&] { For = Other.stopOrders("p", 1); });
  REQUIRE(For);
  CHECK(*For <= bootNow() - Before);
}

TEST_CASE("a pool released in a rolling restart isn't left without an owner "
          "while the next entry waits for others to register") {
  // The pause in which entries that start together register.
  constexpr std::chrono::seconds RegistrationWait(1);
  jobs::EntryView Other;
  Other.Name = "e2";
  Other.Life = "9";
  Other.Capacity = 1;
  std::string Released = FleetView::releasedValue(1, {});
  core::TimePoint Start = bootNow();
  SUBCASE("beside a living entry") {
    // A busy machine may delay some of the entries, but not each of them.
    constexpr int Entries = 5;
    core::Duration Fastest = core::Duration::max();
    for (int N = 0; N < Entries && Fastest >= RegistrationWait; ++N) {
      core::TimePoint Began = bootNow();
      OwnershipFixture B(Released, {Other});
      Fastest = std::min<core::Duration>(Fastest, bootNow() - Began);
    }
    CHECK(Fastest < RegistrationWait);
  }
  SUBCASE("beside an entry that leaves") {
    Other.Leaving = true;
    OwnershipFixture B(Released, {Other});
    CHECK(bootNow() - Start >= RegistrationWait);
  }
  SUBCASE("alone") {
    OwnershipFixture B(Released);
    CHECK(bootNow() - Start >= RegistrationWait);
  }
}

TEST_CASE("an entry that took the fleet from another one in a write whose "
          "answer was lost does not count as its previous owner") {
  OwnershipFixture B;
  store::PartKey Fleet = {rows::Control, rows::poolPart(rows::FleetControl),
                          rows::OwnerKey};
  B.Store.repeatCommits(Fleet, 0, Fleet);
  B.Store.put(Fleet, FleetView::ownerValue("e2", "9", {}));
  waitUntil(B.Loop, [&] {
    B.Owners.review();
    return B.Owners.isOwned(rows::FleetControl);
  });
  runOn(B.Loop, [&] { CHECK_FALSE(B.Owners.isFleetReclaimed()); });
}

TEST_CASE("a pool learns of accepted jobs behind rows of the job table that "
          "can't be read") {
  OwnershipFixture B;
  auto Put = [&](const std::string &Id, const std::string &Value) {
    B.Store.put({rows::Jobs, rows::jobPart(Id), Id}, Value);
  };
  jobs::JobSpec Spec;
  Spec.Id = "0000000000000009";
  Spec.Pool = "p";
  Spec.Steps.resize(1);
  const char *const Unreadable[] = {"",    "\xff\xfe",        "{}",
                                    "[1]", R"({"pool":"p"})", R"({"pool":7})"};
  unsigned Number = 0;
  for (const char *Value : Unreadable)
    Put("000000000000000" + std::to_string(Number++), Value);
  Put(Spec.Id, codec::encodeJob(Spec));
  waitUntil(B.Loop, [&] {
    return B.Owners.controller("p")->state().findJob(Spec.Id) != nullptr;
  });
}
