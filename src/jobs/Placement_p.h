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

/// Whether the worker has the label that the step requires. Thread-safe.
inline bool hasLabel(const WorkerEntry &Entry, const StepSpec &Step) {
  return Step.Label.empty() ||
         std::find(Entry.Labels.begin(), Entry.Labels.end(), Step.Label) !=
             Entry.Labels.end();
}

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_PLACEMENT_P_H
