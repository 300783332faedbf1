#include "dispatch/Peers.h"

#include "dispatch/ConfigDecoder.h"
#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"
#include "dispatch/SilentWorkers.h"
#include "net/HttpServer.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <mutex>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

namespace {

/// An entry that asks the owner of pool "p", which gives a fixed answer.
struct PeersFixture {
  std::string Answer;
  std::mutex Mutex;
  /// The body of the last call.
  std::string Asking;
  net::HttpServer Other{
      {}, [this](const net::HttpRequest &R, const net::HttpResponder &Respond) {
        std::lock_guard<std::mutex> Lock(Mutex);
        Asking = R.Body;
        Respond(net::jsonResponse(200, Answer));
      }};
  settings::DispatchSettings Settings;
  net::Loop Loop;
  net::HttpClient Client{{}};
  InMemoryStore Store;
  SilentWorkers Workers;
  RowDecoder Rows = decoderOf(configOf({"p"}));
  CallerCodec Codec;
  JobMetrics Count;
  Context Ctx{Settings, Loop, Client, Store, Workers,
              nullptr,  Rows, Codec,  Count, "1"};
  FleetView View{Ctx, [](ViewChange) {}};
  Ownership Owners{Ctx, View};
  Peers Asked{Ctx, View, Owners};

  explicit PeersFixture(std::string Text) : Answer(std::move(Text)) {
    Other.start();
    jobs::EntryView Entry;
    Entry.Name = "e2";
    Entry.Life = "2";
    Entry.PeerAddress = "127.0.0.1:" + std::to_string(Other.port());
    Store.put({"op", "", "config"}, "");
    Store.put({rows::Control, rows::entryPart("e2"),
               std::string(rows::EntryPrefix) + "e2"},
              FleetView::entryValue(Entry, 1));
    Store.put({rows::Control, rows::poolPart("p"), rows::OwnerKey},
              FleetView::ownerValue("e2", "2", {}));
    Loop.start();
    runOn(Loop, [this] { View.start(); });
    waitUntil(Loop,
              [this] { return View.pool("p") && View.entry("e2") != nullptr; });
  }
  ~PeersFixture() {
    Client.stop();
    Loop.stop();
    Other.stop();
  }

  OwnerAnswer ask() {
    std::optional<OwnerAnswer> Got;
    runOn(Loop, [&] {
      Asked.askState("p", "job", [&](OwnerAnswer A) { Got = std::move(A); });
    });
    waitUntil(Loop, [&] { return Got.has_value(); });
    return *Got;
  }
};

} // namespace

TEST_CASE("an answer of another entry that can't be decoded counts as none") {
  for (const char *Text :
       {"", "[", "7", R"({"known":"yes"})", R"({"state":{}})",
        R"({"clear":[1]})", R"({"load":3})", R"({"stopped_ms":"x"})"}) {
    PeersFixture B(Text);
    CAPTURE(Text);
    CHECK_FALSE(B.ask().Answered);
  }
  PeersFixture B(R"({"known":true,"state":2})");
  OwnerAnswer Answer = B.ask();
  CHECK(Answer.Known);
  CHECK(Answer.State == jobs::JobState::Completed);
}

TEST_CASE("an owner of a former release takes a worker for ended in any "
          "incarnation") {
  PeersFixture B(R"({"token":7})");
  CloseRequest Request;
  Request.Ended = {{"w1", 1796680867863}};
  std::optional<CloseAnswer> Got;
  runOn(B.Loop, [&] {
    B.Asked.askClose("p", Request, [&](const CloseAnswer &A) { Got = A; });
  });
  waitUntil(B.Loop, [&] { return Got.has_value(); });
  CHECK(Got->Token == 7);
  std::lock_guard<std::mutex> Lock(B.Mutex);
  auto Body = nlohmann::json::parse(B.Asking);
  CHECK(Body.at("ended") == nlohmann::json::array());
  CHECK(Body.at("ended_incarnations").dump() == R"([["w1",1796680867863]])");
}
