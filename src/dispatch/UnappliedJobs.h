#ifndef COMFREYDECK_DISPATCH_UNAPPLIEDJOBS_H
#define COMFREYDECK_DISPATCH_UNAPPLIEDJOBS_H

#include "core/Types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace comfreydeck::dispatch {

/// Why a job that is known is not in its pool, or is there without its
/// progress.
enum class UnappliedReason : std::uint8_t {
  /// Its row can't be decoded.
  JobRow,
  /// A row of its progress can't be decoded, or is missing.
  ProgressRow,
  /// Its rows could be read, and adding it failed.
  Failure,
};

inline constexpr std::size_t UnappliedReasonCount = 3;

const char *nameOf(UnappliedReason Reason);

/// Jobs of an owned pool that could not be applied, for logs and metrics.
struct UnappliedStats {
  std::array<std::uint64_t, UnappliedReasonCount> Jobs{};
  /// One that has been so for the longest time.
  struct Longest {
    std::string JobId;
    UnappliedReason Reason = UnappliedReason::JobRow;
    core::Duration Age{0};
    /// How often it was tried.
    std::uint32_t Tries = 0;
    std::string Error;
  };
  std::optional<Longest> Oldest;

  bool isEmpty() const { return !Oldest; }
  /// Number of the jobs.
  std::uint64_t count() const;
};

/// The jobs of one pool that are known and could not be applied or restored.
/// Not thread-safe.
class UnappliedJobs {
public:
  /// Records that a try failed. The next one follows after a pause, which
  /// doubles up to three seconds.
  void add(const std::string &JobId, UnappliedReason Reason,
           const std::string &Error, core::TimePoint Now);
  /// Records that the job is applied, or not of this pool.
  void remove(const std::string &JobId) { Jobs_.erase(JobId); }
  bool contains(const std::string &JobId) const {
    return Jobs_.count(JobId) != 0;
  }
  /// Returns up to \p Most jobs that are to be tried again now, those that wait
  /// longest first. They are not returned again before \ref add or \ref
  /// postpone.
  std::vector<std::string> takeDue(core::TimePoint Now, std::size_t Most);
  /// Has a try repeated that told nothing.
  void postpone(const std::string &JobId, core::TimePoint Now);
  /// Records that the job was cancelled, if it is not applied.
  void cancel(const std::string &JobId);
  bool isCancelled(const std::string &JobId) const;
  UnappliedStats stats(core::TimePoint Now) const;

private:
  struct Job {
    UnappliedReason Reason = UnappliedReason::JobRow;
    core::TimePoint Since;
    std::uint32_t Tries = 0;
    std::string Error;
    core::Duration Pause{0};
    /// Time of the next try; the maximum while one is under way.
    core::TimePoint NextAt;
    bool Cancelled = false;
  };
  /// By id.
  std::map<std::string, Job> Jobs_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_UNAPPLIEDJOBS_H
