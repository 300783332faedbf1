#ifndef COMFREYDECK_NET_LOOP_H
#define COMFREYDECK_NET_LOOP_H

#include "core/DurationHistogram.h"

#include <functional>
#include <memory>

namespace comfreydeck::net {

/// Current time of the monotonic clock. Thread-safe.
core::TimePoint now();

/// Time since boot, including time spent suspended, unlike \ref now.
/// Thread-safe.
core::TimePoint bootNow();

/// Usage of a loop's thread over an interval.
struct LoopUsage {
  /// Number of functions posted.
  std::uint64_t Posts = 0;
  /// Time that sampled functions waited between post and run.
  core::DurationHistogram Waits;
  /// Run times of sampled functions and of all timer functions.
  core::DurationHistogram Runs;
  /// Estimated time that the thread ran functions, including time in which the
  /// operating system had descheduled it.
  core::Duration Busy{0};
  /// Functions that ended with an exception.
  std::uint64_t Failures = 0;
};

/// One thread that runs posted functions and timers one after another. An
/// exception ends the function that threw it and is logged; the loop goes on.
class Loop {
public:
  Loop();
  /// Stops as \ref stop does.
  ~Loop();

  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// Starts the thread. Must be called only once.
  void start();

  /// Drops functions that have not run and joins the thread. Must not be called
  /// on the loop's own thread. May be called twice.
  void stop();

  /// Queues \p Work to run on the loop's thread. Thread-safe.
  void post(std::function<void()> Work);

  /// Runs \p Work once after \p Delay. Thread-safe.
  void after(core::Duration Delay, std::function<void()> Work);

  /// Runs \p Work repeatedly, with a pause of \p Period before each run.
  /// Thread-safe.
  void every(core::Duration Period, std::function<void()> Work);

  /// One in this many posted functions is timed, to keep the overhead low.
  static constexpr std::uint64_t SampleEvery = 8;

  /// Returns the usage since the previous call. Only on the loop's thread.
  LoopUsage takeUsage();

private:
  void runTimed(core::TimePoint PostedAt, const std::function<void()> &Work);

  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_LOOP_H
