#ifndef COMFREYDECK_CORE_ADMISSION_H
#define COMFREYDECK_CORE_ADMISSION_H

#include "core/Types.h"

#include <deque>

/// Refuses early the deadlines that the waits of the moment rule out.
namespace comfreydeck::core {

/// The latest waits for a slot of one kind of work.
struct WaitWindow {
  struct Sample {
    TimePoint At;
    Duration Waited{0};
  };
  std::deque<Sample> Samples;
};

struct AdmissionPolicy {
  /// Waits older than this don't speak for the present.
  Duration Window = std::chrono::seconds(2);
  /// Waits needed before anything is refused.
  std::size_t LeastSamples = 20;
  /// Waits kept.
  std::size_t MostSamples = 256;
};

/// A demand was granted after \p Waited. Not thread-safe.
void recordWait(WaitWindow &Waits, Duration Waited, TimePoint Now,
                const AdmissionPolicy &Policy);

/// Zero where a request that has \p Left until its deadline and runs for
/// \p Run may be met; else after how long to try again. It is refused only if
/// even the shortest of the recent waits would be too long. Not thread-safe.
Duration unreachableFor(WaitWindow &Waits, Duration Left, Duration Run,
                        TimePoint Now, const AdmissionPolicy &Policy);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_ADMISSION_H
