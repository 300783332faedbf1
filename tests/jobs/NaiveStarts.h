#ifndef COMFREYDECK_TESTS_JOBS_NAIVESTARTS_H
#define COMFREYDECK_TESTS_JOBS_NAIVESTARTS_H

#include "jobs/PoolState.h"

/// A naive reference implementation of start planning: it tries every worker
/// for every task of every job in order. Tests compare the owner's plan with
/// it.
namespace comfreydeck::jobs {

/// Input of the plan in addition to the owner's state.
struct NaiveInput {
  PlanInput In;
  OwnerLimits Limits;
  const FleetConfig *Config = nullptr;
  std::map<std::string, core::Resources> TeamRoom;
  std::set<std::string> ClosedDataCentres;
};

/// One planned start.
struct NaiveStart {
  std::string Worker;
  TaskRef Task;
  auto operator<=>(const NaiveStart &) const = default;
};

/// Returns the starts that \p Owner should plan next, in order.
std::vector<NaiveStart> naiveStarts(const PoolState &Owner,
                                    const NaiveInput &Input);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_TESTS_JOBS_NAIVESTARTS_H
