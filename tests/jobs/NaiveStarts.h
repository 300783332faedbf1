#ifndef COMFREYDECK_TESTS_JOBS_NAIVESTARTS_H
#define COMFREYDECK_TESTS_JOBS_NAIVESTARTS_H

#include "jobs/PoolState.h"

/// The decision on starts in its plainest form: every job in order, every task
/// of it, every worker. For tests that compare the owner's decision with it.
namespace comfreydeck::jobs {

/// What the decision depends on besides the owner's own state.
struct NaiveInput {
  PlanInput In;
  OwnerLimits Limits;
  const FleetConfig *Config = nullptr;
  std::map<std::string, core::Resources> TeamRoom;
  std::set<std::string> ClosedDataCentres;
};

/// One start: which task, and where.
struct NaiveStart {
  std::string Worker;
  TaskRef Task;
  auto operator<=>(const NaiveStart &) const = default;
};

/// What \p Owner should start next, in order.
std::vector<NaiveStart> naiveStarts(const PoolState &Owner,
                                    const NaiveInput &Input);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_TESTS_JOBS_NAIVESTARTS_H
