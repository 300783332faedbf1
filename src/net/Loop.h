#ifndef COMFREYDECK_NET_LOOP_H
#define COMFREYDECK_NET_LOOP_H

#include "core/Types.h"

#include <functional>
#include <memory>

namespace comfreydeck::net {

/// The monotonic clock. Thread-safe.
core::TimePoint now();

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

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_LOOP_H
