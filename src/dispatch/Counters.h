#ifndef COMFREYDECK_DISPATCH_COUNTERS_H
#define COMFREYDECK_DISPATCH_COUNTERS_H

#include "jobs/PoolState.h"
#include "net/HttpClient.h"
#include "net/Loop.h"

#include <memory>
#include <string>

namespace comfreydeck::dispatch {

/// How one owned pool does.
struct PoolFigures {
  std::string Pool;
  std::uint64_t Token = 0;
  /// What of this was counted within.
  core::Duration Period{0};
  jobs::PoolGauges There;
  jobs::PoolCounters Since;
  /// How long plannings took, and how long they waited for the thread before.
  core::DurationHistogram Plans;
  core::DurationHistogram Waits;
};

/// How one entry's control thread and connections do.
struct EntryFigures {
  core::Duration Period{0};
  net::LoopUse Loop;
  std::array<net::HttpCounts, net::HttpTargets> Calls{};
};

/// The counters of one entry of the job path. Every method is thread-safe.
class Counters {
public:
  Counters();
  ~Counters();

  Counters(const Counters &) = delete;
  Counters &operator=(const Counters &) = delete;

  /// One call was answered with that status; \p Reason names a refusal. The
  /// texts must live as long as this.
  void answered(const char *Call, int Status, const char *Reason);
  /// Something was tried once more. The text must live as long as this.
  void retried(const char *Reason);
  /// How long a call took, in seconds. The text must live as long as this.
  void took(const char *Call, double Seconds);

  /// What happened in a pool since the last call, and what there is now.
  void pool(const PoolFigures &Figures);
  /// The pool's state is known here no more; what was counted stays.
  void forgetPool(const std::string &Pool);
  void entry(const EntryFigures &Figures);

  /// All counters in the text format of Prometheus.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_COUNTERS_H
