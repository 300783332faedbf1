#ifndef COMFREYDECK_CORE_ESTIMATES_H
#define COMFREYDECK_CORE_ESTIMATES_H

#include "core/Types.h"

#include <map>

/// Corrects declared run times and sizes by observed ones.
namespace comfreydeck::core {

/// A class of similar work: one team's tasks on one queue.
struct WorkClass {
  TeamId Team;
  QueueId Queue;
  auto operator<=>(const WorkClass &) const = default;
};

/// Statistics of one class.
struct ObservedWork {
  /// Smoothed run time.
  Duration Run{0};
  /// Smoothed ratio of the observed run time to the declared one.
  double RunRatio = 1;
  /// Slowly decaying peak ratio of the used to the declared size.
  double SizeRatio = 1;
  std::uint32_t RunSamples = 0;
  std::uint32_t SizeSamples = 0;
};

/// The statistics of all classes that were observed.
struct Estimates {
  std::map<WorkClass, ObservedWork> Classes;
};

/// Records how long a task ran. \p Declared is zero if no run time was
/// declared.
void observeRun(Estimates &E, WorkClass Class, Duration Declared, Duration Ran);

/// Records a task's peak use of resources. A single report raises the estimate
/// by a bounded factor only, since reports may be wrong.
void observeSize(Estimates &E, WorkClass Class, const Resources &Declared,
                 const Resources &Used);

/// The expected run time; never zero.
Duration expectedRun(const Estimates &E, WorkClass Class, Duration Declared);

/// The size to use for placement.
Resources expectedSize(const Estimates &E, WorkClass Class,
                       const Resources &Declared);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_ESTIMATES_H
