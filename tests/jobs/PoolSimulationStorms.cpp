#include "jobs/PoolSimulation_p.h"

#include <iterator>

namespace comfreydeck::jobs {

namespace {

/// What share of the workers crashes in a second of a storm.
constexpr double StormShares[] = {0.1, 0.5, 0.95};
constexpr int StepsPerSecond = 50;
/// How long a worker is down that crashes in a storm.
constexpr int LeastDownMs = 50;
constexpr int MostDownMs = 300;
constexpr int MostTasks = 25;
constexpr core::Resources SmallNeed{100, 10, 0};
/// Crashes for which a task is given up that was alone at the last of them.
constexpr std::uint32_t CrashesOfGivenUp = 3;

} // namespace

void PoolSimulation::beginStorm() {
  if (!Options_.CrashStorms)
    return;
  StormBegin_ = Now_ + milliseconds(draw(2000, 14000));
  StormEnd_ = StormBegin_ + milliseconds(draw(2000, 6000));
  StormShare_ = Options_.StormShare.value_or(
      StormShares[draw(0, static_cast<int>(std::size(StormShares)) - 1)]);
}

void PoolSimulation::storm() {
  if (!Options_.CrashStorms || Now_ < StormBegin_ || Now_ >= StormEnd_)
    return;
  for (Worker &W : Workers_) {
    if (!W.Up || W.Partitioned || !chance(StormShare_ / StepsPerSecond))
      continue;
    noteHits(W);
    crash(W);
    W.Listed = true;
    W.BackAt = Now_ + milliseconds(draw(LeastDownMs, MostDownMs));
  }
}

void PoolSimulation::shapeStormJob(JobSpec &Spec) {
  Spec.Steps[0].Tasks = static_cast<std::uint32_t>(draw(1, MostTasks));
  Spec.Steps[0].Need = SmallNeed;
}

void PoolSimulation::countShared(const ProgressWrite &Write) {
  for (const TaskProgress &Task : Write.Progress.Tasks)
    if (Task.Announced && Task.Announced->Shared &&
        SharedRuns_.insert(Task.Announced->Run).second)
      ++Result_.SharedRuns;
}

/// Whether a task of the job met a crash beside other suspects, and none had
/// the run more, alone, that such a crash leaves it.
bool PoolSimulation::wasGivenUpShared(const JobSpec &Spec) const {
  bool Shared = false;
  for (const auto &[Task, Hits] : Hits_) {
    if (Task.JobId != Spec.Id || Hits < CrashesOfGivenUp)
      continue;
    if (!SharedHits_.contains(Task) || Hits > CrashesOfGivenUp)
      return false;
    Shared = true;
  }
  return Shared;
}

} // namespace comfreydeck::jobs
