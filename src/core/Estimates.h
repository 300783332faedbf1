#ifndef COMFREYDECK_CORE_ESTIMATES_H
#define COMFREYDECK_CORE_ESTIMATES_H

#include "core/Types.h"

#include <map>

/// Corrects declared run times and sizes by those observed.
namespace comfreydeck::core {

/// Work that behaves alike: one team's on one queue.
struct WorkClass {
  TeamId Team;
  QueueId Queue;
  auto operator<=>(const WorkClass &) const = default;
};

/// What was observed of one class.
struct ObservedWork {
  /// Smoothed run time.
  Duration Run{0};
  /// Smoothed ratio of the observed run time to the declared one.
  double RunRatio = 1;
  /// Slowly falling peak ratio of used to declared size.
  double SizeRatio = 1;
  std::uint32_t RunSamples = 0;
  std::uint32_t SizeSamples = 0;
};

/// All classes that were seen of late.
struct Estimates {
  std::map<WorkClass, ObservedWork> Classes;
};

/// Takes in how long a task ran. \p Declared is zero where nothing was
/// declared.
void observeRun(Estimates &E, WorkClass Class, Duration Declared, Duration Ran);

/// Takes in what a task used at most of its declared size. A single report
/// moves the estimate by a bounded factor, since reports may be wrong.
void observeSize(Estimates &E, WorkClass Class, const Resources &Declared,
                 const Resources &Used);

/// The run time to expect; never zero.
Duration expectedRun(const Estimates &E, WorkClass Class, Duration Declared);

/// The size to plan with.
Resources expectedSize(const Estimates &E, WorkClass Class,
                       const Resources &Declared);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_ESTIMATES_H
