#ifndef COMFREYDECK_ENTRY_TASKRUNNER_H
#define COMFREYDECK_ENTRY_TASKRUNNER_H

#include "core/Admission.h"
#include "core/RetryBudget.h"
#include "entry/PoolService.h"
#include "entry/TaskGate.h"

#include <map>

namespace comfreydeck::entry {

/// Takes an admitted request through slots and starts to its result. Only on
/// the control thread; so come all callbacks.
class TaskRunner {
public:
  using Done = std::function<void(TaskResult)>;

  /// The parts must outlive the runner.
  TaskRunner(const Context &C, Membership &Members, PoolService &Pools,
             const Fleet &Workers, TaskGate &Gate);

  /// Runs \p T. \p Finish comes once, with or without an answer.
  /// Precondition: \p T may be executed; no other run of it is under way.
  void run(const TaskPtr &T, Done Finish);

  /// Gives a waiting run up, or has the worker stop a running one.
  void cancel(const TaskPtr &T);

private:
  /// What waits are measured for.
  struct WaitKind {
    core::PoolId Pool;
    core::TeamId Team;
    bool Urgent = false;
    auto operator<=>(const WaitKind &) const = default;
  };

  struct Run {
    TaskPtr T;
    Done Finish;
    bool IsFinished = false;
  };
  using RunPtr = std::shared_ptr<Run>;

  void acquire(const RunPtr &R);
  void onAcquired(const RunPtr &R, core::DemandId Asked,
                  const AcquireResult &Result);
  void start(const RunPtr &R, const AcquireResult &Result);
  core::Reason refusalNow(const Task &T, const AcquireResult &Result) const;
  net::HttpCall callFor(const Task &T, const AcquireResult &Result) const;
  void onExchange(const RunPtr &R, net::HttpResult Result);
  void settle(const RunPtr &R, core::Verdict V, bool TargetFailed,
              net::HttpResponse Response);
  void release(const Task &T, core::Verdict V, bool TargetFailed);
  bool mayRetry(Task &T, core::Verdict Known, core::Reason Why);
  void stopAtWorker(const Task &T);
  void stopUntilEnded(const RunPtr &R, core::DemandId Attempt);
  void finish(const RunPtr &R, TaskResult Result);
  void refuse(const RunPtr &R, core::Reason Why, core::Verdict V,
              core::Duration RetryAfter = core::Duration(0));

  Context Context_;
  Membership &Members_;
  PoolService &Pools_;
  const Fleet &Workers_;
  TaskGate &Gate_;
  core::RetryPolicy Retries_;
  core::AdmissionPolicy Admission_;
  std::map<core::TeamId, core::RetryBudget> TeamBudgets_;
  std::map<core::PoolId, core::RetryBudget> PoolBudgets_;
  std::map<WaitKind, core::WaitWindow> Waits_;
  std::map<const Task *, RunPtr> Runs_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASKRUNNER_H
