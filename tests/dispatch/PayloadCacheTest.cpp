#include "dispatch/PayloadCache.h"

#include "dispatch/Context.h"
#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

namespace {

std::string jobId(int Number) {
  std::string Digits = std::to_string(Number);
  return std::string(16 - Digits.size(), '0') + Digits;
}

struct CacheFixture {
  net::Loop Loop;
  InMemoryStore Store;
  PayloadCache Cache{Loop, Store};

  CacheFixture() { Loop.start(); }
  ~CacheFixture() { Loop.stop(); }

  void put(int Number, const std::string &Payload) {
    std::string Id = jobId(Number);
    Store.put({rows::Payloads, rows::jobPart(Id), Id}, Payload);
  }
  std::string get(int Number) {
    std::optional<std::string> Got;
    runOn(Loop, [&] {
      Cache.get(jobId(Number), [&](const std::string *Payload) {
        Got = Payload ? *Payload : "none";
      });
    });
    waitUntil(Loop, [&] { return Got.has_value(); });
    return *Got;
  }
};

} // namespace

TEST_CASE("a payload that several orders wait for is read once") {
  CacheFixture F;
  F.put(1, "first");
  std::size_t Answered = 0;
  runOn(F.Loop, [&] {
    for (int N = 0; N < 3; ++N)
      F.Cache.get(jobId(1), [&](const std::string *Payload) {
        CHECK((Payload && *Payload == "first"));
        ++Answered;
      });
  });
  waitUntil(F.Loop, [&] { return Answered == 3; });
  CHECK(F.get(1) == "first");
  CHECK(F.Store.readCount() == 1);
}

TEST_CASE("payloads of many jobs don't fill the memory of the entry that sends "
          "for others") {
  constexpr std::size_t Bytes = 1U << 20U;
  CacheFixture F;
  for (int N = 1; N <= 6; ++N)
    F.put(N, std::string(Bytes, 'x'));
  for (int N = 1; N <= 6; ++N)
    CHECK(F.get(N).size() == Bytes);
  // The first jobs have been dropped and are read again, the last one has not.
  std::uint32_t Reads = F.Store.readCount();
  CHECK(F.get(6).size() == Bytes);
  CHECK(F.Store.readCount() == Reads);
  CHECK(F.get(1).size() == Bytes);
  CHECK(F.Store.readCount() == Reads + 1);
}

TEST_CASE("a payload that could not be read is read again later") {
  CacheFixture F;
  CHECK(F.get(1) == "none");
  F.put(1, "text");
  CHECK(F.get(1) == "text");
}
