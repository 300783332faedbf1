#ifndef COMFREYDECK_DISPATCH_JOBMETRICS_H
#define COMFREYDECK_DISPATCH_JOBMETRICS_H

#include "dispatch/UnappliedJobs.h"
#include "jobs/PoolState.h"
#include "net/HttpClient.h"
#include "net/Loop.h"

#include <memory>
#include <string>

namespace comfreydeck::dispatch {

/// Statistics of one owned pool over a period.
struct PoolStats {
  std::string Pool;
  std::uint64_t Token = 0;
  /// Time over which the counters and durations were collected.
  core::Duration Period{0};
  jobs::PoolGauges Gauges;
  jobs::PoolCounters PeriodCounts;
  /// Durations of planning passes, and how long each was queued for the control
  /// thread.
  core::DurationHistogram Plans;
  core::DurationHistogram Waits;
  /// Starts that may be unanswered at a time, and those that were at the last
  /// planning pass.
  std::size_t StartWindow = 0;
  std::size_t UnansweredStarts = 0;
  /// Time from the first attempt to store a batch of progress, or a part of
  /// one, until it was stored.
  core::DurationHistogram Stores;
  /// Batches of these that were sent more than once, and those among them that
  /// turned out to be stored by an attempt without an answer.
  std::uint64_t RepeatedBatches = 0;
  std::uint64_t FoundBatches = 0;
  /// How long the batch that is not stored yet has been under way; later
  /// changes wait for it.
  core::Duration UnstoredFor{0};
  /// Jobs that are known and could not be applied.
  UnappliedStats Unapplied;
};

/// Counters of orders that entries send for one another, since the last
/// reading.
struct RelayCounters {
  /// Orders that this entry gave to others, and the batches they went in.
  std::uint64_t Orders = 0;
  std::uint64_t Batches = 0;
  /// Orders whose results did not arrive in time.
  std::uint64_t Expired = 0;
  /// Batches that another entry refused or did not answer.
  std::uint64_t FailedBatches = 0;
  /// Orders that this entry sent for others.
  std::uint64_t Forwarded = 0;
  /// Messages refused here: not decodable, from an unknown entry, or too many
  /// at once.
  std::uint64_t Refused = 0;
};

/// Statistics of an entry's control thread and HTTP calls.
struct EntryStats {
  core::Duration Period{0};
  net::LoopUsage Loop;
  std::array<net::HttpCounts, net::HttpTargetCount> Calls{};
  RelayCounters Relay;
  /// By how far the machine's own time of day differs from the one decided by.
  core::Duration OwnTimeError{0};
};

/// Prometheus metrics of one entry of the job path. Every method is
/// thread-safe.
class JobMetrics {
public:
  JobMetrics();
  ~JobMetrics();

  JobMetrics(const JobMetrics &) = delete;
  JobMetrics &operator=(const JobMetrics &) = delete;

  /// Counts a call answered with \p Status; \p Reason names a refusal. Both
  /// strings must outlive this object.
  void recordAnswer(const char *Call, int Status, const char *Reason);
  /// Counts a retry. The string must outlive this object.
  void recordRetry(const char *Reason);
  /// Counts a row of a pool that the store refused and that was set aside. The
  /// string must outlive this object.
  void recordRefusedRow(const char *Kind);
  /// Records the duration of a call, in seconds. The string must outlive this
  /// object.
  void recordLatency(const char *Call, double Seconds);

  /// Adds a pool's counts since the last call and replaces its current state.
  void pool(const PoolStats &Stats);
  /// Removes the pool's gauges; its counters stay.
  void removePool(const std::string &Pool);
  void entry(const EntryStats &Stats);

  /// All metrics in the Prometheus text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_JOBMETRICS_H
