#ifndef COMFREYDECK_TESTS_DISPATCH_LOOPCALLS_H
#define COMFREYDECK_TESTS_DISPATCH_LOOPCALLS_H

#include "net/Loop.h"

#include <doctest/doctest.h>

#include <functional>
#include <future>
#include <thread>

namespace comfreydeck::tests {

/// Runs the function on the loop's thread and waits for it.
inline void runOn(net::Loop &Loop, const std::function<void()> &Do) {
  std::promise<void> Done;
  Loop.post([&] {
    Do();
    Done.set_value();
  });
  Done.get_future().wait();
}

/// Waits until the condition, evaluated on the loop's thread, holds.
inline void waitUntil(net::Loop &Loop, const std::function<bool()> &Condition) {
  constexpr std::chrono::milliseconds PollEvery(20);
  /// Far longer than any wait takes; fails a test that hangs.
  constexpr std::chrono::seconds WaitLimit(20);
  auto Until = std::chrono::steady_clock::now() + WaitLimit;
  bool Holds = false;
  while (!Holds) {
    REQUIRE(std::chrono::steady_clock::now() < Until);
    runOn(Loop, [&] { Holds = Condition(); });
    std::this_thread::sleep_for(PollEvery);
  }
}

} // namespace comfreydeck::tests

#endif // COMFREYDECK_TESTS_DISPATCH_LOOPCALLS_H
