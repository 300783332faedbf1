#include "net/Loop.h"

#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace comfreydeck;
using net::Loop;

namespace {

net::LoopUse useOf(Loop &L) {
  std::promise<net::LoopUse> Use;
  L.post([&] { Use.set_value(L.takeUse()); });
  return Use.get_future().get();
}

} // namespace

TEST_CASE("time spent queued behind other work is measured as waiting") {
  constexpr std::chrono::milliseconds Hold(30);
  Loop L;
  std::promise<void> Held;
  std::promise<void> Go;
  L.start();
  useOf(L);
  L.post([&] {
    Held.set_value();
    Go.get_future().wait();
  });
  Held.get_future().wait();
  for (std::uint64_t I = 0; I < Loop::SampleEvery; ++I)
    L.post([] {});
  std::this_thread::sleep_for(Hold);
  Go.set_value();
  net::LoopUse Use = useOf(L);
  // The posted functions, the one that blocked, and the one of useOf.
  CHECK(Use.Posts == Loop::SampleEvery + 2);
  CHECK(Use.Waits.Total >= 1);
  CHECK(Use.Waits.Max >= Hold);
  L.stop();
}

TEST_CASE("each reading of a loop's usage starts from zero") {
  Loop L;
  L.start();
  for (std::uint64_t I = 0; I < 3 * Loop::SampleEvery; ++I)
    L.post([] {});
  CHECK(useOf(L).Waits.Total >= 3);
  net::LoopUse Next = useOf(L);
  CHECK(Next.Posts == 1);
  CHECK(Next.Waits.Total <= 1);
  L.stop();
}

TEST_CASE("the run time of timer functions counts as busy time") {
  constexpr std::chrono::milliseconds Work(20);
  Loop L;
  std::promise<void> Ran;
  L.start();
  useOf(L);
  L.after(std::chrono::milliseconds(1), [&] {
    std::this_thread::sleep_for(Work);
    L.post([&] { Ran.set_value(); });
  });
  Ran.get_future().wait();
  net::LoopUse Use = useOf(L);
  CHECK(Use.Runs.Max >= Work);
  CHECK(Use.Busy >= Work);
  L.stop();
}
