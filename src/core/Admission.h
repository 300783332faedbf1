#ifndef COMFREYDECK_CORE_ADMISSION_H
#define COMFREYDECK_CORE_ADMISSION_H

#include "core/Types.h"

#include <deque>

/// Early refusal of requests whose deadlines can't be met at the current waits.
namespace comfreydeck::core {

/// Recent waiting times for a slot, of one class of work.
struct WaitWindow {
  struct Sample {
    TimePoint At;
    Duration Waited{0};
  };
  std::deque<Sample> Samples;
};

struct AdmissionPolicy {
  /// Older waits are ignored.
  Duration Window = std::chrono::seconds(2);
  /// Minimum number of waits before anything is refused.
  std::size_t MinSamples = 20;
  /// Maximum number of waits kept.
  std::size_t MaxSamples = 256;
};

/// Records that a demand was granted after \p Waited. Not thread-safe.
void recordWait(WaitWindow &Waits, Duration Waited, TimePoint Now,
                const AdmissionPolicy &Policy);

/// Zero if a request that has \p Left until its deadline and runs for \p Run
/// may be admitted; else the delay after which to retry. A request is refused
/// only if even the shortest recent wait would be too long. Not thread-safe.
Duration retryDelayIfUnreachable(WaitWindow &Waits, Duration Left, Duration Run,
                                 TimePoint Now, const AdmissionPolicy &Policy);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_ADMISSION_H
