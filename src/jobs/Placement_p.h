#ifndef COMFREYDECK_JOBS_PLACEMENT_P_H
#define COMFREYDECK_JOBS_PLACEMENT_P_H

#include "jobs/Worker.h"

#include <algorithm>

namespace comfreydeck::jobs {

/// Resources that a task of the step reserves on its worker. Thread-safe.
inline core::Resources reservedBy(const StepSpec &Step) {
  core::Resources Need = Step.Need;
  if (Step.Filling)
    Need.MilliCpus = 0;
  return Need;
}

/// How many times as long a task of the step takes on the worker as near its
/// data. Thread-safe.
inline double slowdownOn(const WorkerEntry &Entry, const StepSpec &Step,
                         double RemoteFactor) {
  bool Near = Step.NearRack.empty() || Entry.Rack == Step.NearRack;
  return Near ? 1.0 : RemoteFactor;
}

/// Whether the worker has the label that the step requires. Thread-safe.
inline bool hasLabel(const WorkerEntry &Entry, const StepSpec &Step) {
  return Step.Label.empty() ||
         std::find(Entry.Labels.begin(), Entry.Labels.end(), Step.Label) !=
             Entry.Labels.end();
}

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_PLACEMENT_P_H
