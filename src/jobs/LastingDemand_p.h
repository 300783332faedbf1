#ifndef COMFREYDECK_JOBS_LASTINGDEMAND_P_H
#define COMFREYDECK_JOBS_LASTINGDEMAND_P_H

#include "jobs/PoolState.h"

#include <map>

namespace comfreydeck::jobs {

/// Finds how many more machines a pool needs for lasting tasks that have no
/// place on its open workers: those that wait, and those on workers that are
/// closed or draining. Tasks are placed whole; short tasks count as ended. Runs
/// on the owner's thread.
class LastingDemand {
public:
  LastingDemand(const PoolState &Owner, core::TimePoint Now);

  /// Sets the load's open workers and missing machines.
  void describe(PoolLoad &Load);

private:
  /// Tasks of one step that need a place.
  struct Group {
    JobRecord *Job = nullptr;
    std::uint32_t First = 0;
    const StepSpec *Step = nullptr;
    std::uint32_t Tasks = 0;
  };

  void addTask(JobRecord &Job, std::uint32_t Task);
  void findGroups();
  void placeOnWorkers();
  std::uint32_t placeOnMachines(const core::Resources &Machine);
  bool isOpen(const WorkerState &W) const;
  bool mayHostNow(const WorkerState &W) const;
  bool mayWaitForMachine(const Group &G, const core::Resources &Machine) const;
  bool mayAskFor(const JobRecord &Job, std::uint32_t Task) const;

  const PoolState &Owner_;
  core::TimePoint Now_;
  std::map<std::pair<std::string, std::uint32_t>, Group> Groups_;
  /// By need, the largest first.
  std::vector<Group *> ByNeed_;
  std::map<std::string, core::Resources> TeamUse_;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_LASTINGDEMAND_P_H
