#ifndef COMFREYDECK_JOBS_GANGRETRY_H
#define COMFREYDECK_JOBS_GANGRETRY_H

#include "jobs/JobRecord.h"

#include <span>

namespace comfreydeck::jobs {

/// Ends a try to start a gang once none of its members has a run. Members that
/// had to end because another one got no start pause longer after each such
/// try; a try in which all of them began clears that.
void endGangTry(std::span<TaskState> Members, core::TimePoint Now);

/// Whether the last tries ended for members without a start, the last one of
/// such on the worker.
bool gotNoStartOn(std::span<const TaskState> Members,
                  const std::string &Worker);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_GANGRETRY_H
