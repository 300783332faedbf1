#ifndef COMFREYDECK_DISPATCH_COUNTERS_H
#define COMFREYDECK_DISPATCH_COUNTERS_H

#include "jobs/PoolState.h"
#include "net/HttpClient.h"
#include "net/Loop.h"

#include <memory>
#include <string>

namespace comfreydeck::dispatch {

/// Statistics of one owned pool over a period.
struct PoolFigures {
  std::string Pool;
  std::uint64_t Token = 0;
  /// Time over which the counters and durations were collected.
  core::Duration Period{0};
  jobs::PoolCensus There;
  jobs::PoolCounters Since;
  /// Durations of planning passes, and how long each was queued for the control
  /// thread.
  core::TimeBins Plans;
  core::TimeBins Waits;
};

/// Statistics of an entry's control thread and HTTP calls.
struct EntryFigures {
  core::Duration Period{0};
  net::LoopUse Loop;
  std::array<net::HttpCounts, net::HttpTargets> Calls{};
};

/// Prometheus metrics of one entry of the job path. Every method is
/// thread-safe.
class Counters {
public:
  Counters();
  ~Counters();

  Counters(const Counters &) = delete;
  Counters &operator=(const Counters &) = delete;

  /// Counts a call answered with \p Status; \p Reason names a refusal. Both
  /// strings must outlive this object.
  void answered(const char *Call, int Status, const char *Reason);
  /// Counts a retry. The string must outlive this object.
  void retried(const char *Reason);
  /// Records the duration of a call, in seconds. The string must outlive this
  /// object.
  void took(const char *Call, double Seconds);

  /// Adds a pool's counts since the last call and replaces its current state.
  void pool(const PoolFigures &Figures);
  /// Removes the pool's gauges; its counters stay.
  void forgetPool(const std::string &Pool);
  void entry(const EntryFigures &Figures);

  /// All metrics in the Prometheus text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_COUNTERS_H
