#include "net/Loop.h"

#include <doctest/doctest.h>

#include <future>
#include <stdexcept>
#include <thread>

using namespace comfreydeck;
using net::Loop;

namespace {

net::LoopUsage usageOf(Loop &L) {
  std::promise<net::LoopUsage> Usage;
  L.post([&] { Usage.set_value(L.takeUsage()); });
  return Usage.get_future().get();
}

} // namespace

TEST_CASE("time spent queued behind other work is measured as waiting") {
  constexpr std::chrono::milliseconds Hold(30);
  Loop L;
  std::promise<void> Held;
  std::promise<void> Go;
  L.start();
  usageOf(L);
  L.post([&] {
    Held.set_value();
    Go.get_future().wait();
  });
  Held.get_future().wait();
  for (std::uint64_t I = 0; I < Loop::SampleEvery; ++I)
    L.post([] {});
  std::this_thread::sleep_for(Hold);
  Go.set_value();
  net::LoopUsage Usage = usageOf(L);
  // The posted functions, the one that blocked, and the one of usageOf.
  CHECK(Usage.Posts == Loop::SampleEvery + 2);
  CHECK(Usage.Waits.Total >= 1);
  CHECK(Usage.Waits.Max >= Hold);
  L.stop();
}

TEST_CASE("each reading of a loop's usage starts from zero") {
  Loop L;
  L.start();
  for (std::uint64_t I = 0; I < 3 * Loop::SampleEvery; ++I)
    L.post([] {});
  CHECK(usageOf(L).Waits.Total >= 3);
  net::LoopUsage Next = usageOf(L);
  CHECK(Next.Posts == 1);
  CHECK(Next.Waits.Total <= 1);
  L.stop();
}

TEST_CASE("the run time of timer functions counts as busy time") {
  constexpr std::chrono::milliseconds Work(20);
  Loop L;
  std::promise<void> Ran;
  L.start();
  usageOf(L);
  L.after(std::chrono::milliseconds(1), [&] {
    std::this_thread::sleep_for(Work);
    L.post([&] { Ran.set_value(); });
  });
  Ran.get_future().wait();
  net::LoopUsage Usage = usageOf(L);
  CHECK(Usage.Runs.Max >= Work);
  CHECK(Usage.Busy >= Work);
  L.stop();
}

TEST_CASE("an exception ends only the function that threw it, and is counted") {
  Loop L;
  L.start();
  std::promise<void> Again;
  int Runs = 0;
  L.every(std::chrono::milliseconds(1), [&] {
    if (++Runs == 2)
      Again.set_value();
    throw std::runtime_error("unexpected");
  });
  L.post([] { throw std::runtime_error("unexpected"); });
  Again.get_future().wait();
  CHECK(usageOf(L).Failures >= 2);
  L.stop();
}
