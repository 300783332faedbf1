#ifndef COMFREYDECK_NET_LOOP_H
#define COMFREYDECK_NET_LOOP_H

#include "core/DurationHistogram.h"

#include <functional>
#include <memory>

namespace comfreydeck::net {

/// The monotonic clock. Thread-safe.
core::TimePoint now();

/// How a loop's thread was used for a while.
struct LoopUse {
  /// Functions posted.
  std::uint64_t Posts = 0;
  /// How long sampled functions waited from their posting to their run.
  core::DurationHistogram Waits;
  /// How long sampled functions and all timers' functions ran.
  core::DurationHistogram Runs;
  /// Estimate of the time that the thread was at work, pauses that the system
  /// made in it included.
  core::Duration Busy{0};
};

/// One thread that runs posted functions and timers in turn.
class Loop {
public:
  Loop();
  /// Stops as \ref stop does.
  ~Loop();

  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// Starts the thread. Call once.
  void start();

  /// Drops what has not run and joins the thread. Not to be called on the
  /// loop's own thread. May be called twice.
  void stop();

  /// Runs \p Work soon on the loop's thread. Thread-safe.
  void post(std::function<void()> Work);

  /// Runs \p Work once, \p Delay from now. Thread-safe.
  void after(core::Duration Delay, std::function<void()> Work);

  /// Runs \p Work each \p Period from now on. Thread-safe.
  void every(core::Duration Period, std::function<void()> Work);

  /// One posted function in that many is timed, so that the rest costs nothing.
  static constexpr std::uint64_t SampleEvery = 8;

  /// What was seen since the last call. Only on the loop's thread.
  LoopUse takeUse();

private:
  void timed(core::TimePoint PostedAt, const std::function<void()> &Work);

  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_LOOP_H
