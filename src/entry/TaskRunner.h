#ifndef COMFREYDECK_ENTRY_TASKRUNNER_H
#define COMFREYDECK_ENTRY_TASKRUNNER_H

#include "core/Admission.h"
#include "core/RetryBudget.h"
#include "entry/PoolService.h"
#include "entry/TaskGate.h"

#include <map>

namespace comfreydeck::entry {

/// Executes admitted requests: acquires a slot, starts the task on its worker
/// and retries if necessary. Must be used on the control thread, which also
/// runs all callbacks.
class TaskRunner {
public:
  using Done = std::function<void(TaskResult)>;

  /// The referenced objects must outlive the runner.
  TaskRunner(const Context &C, Membership &Members, PoolService &Pools,
             const Fleet &Workers, TaskGate &Gate);

  /// Runs \p T and calls \p Finish exactly once, with the target's answer or a
  /// refusal. Precondition: \p T may be executed and no other run of it is in
  /// progress.
  void run(const TaskPtr &T, Done Finish);

  /// Ends a waiting run, or asks the worker to stop a running one.
  void cancel(const TaskPtr &T);

private:
  /// The requests whose waiting times are measured together.
  struct WaitKey {
    core::PoolId Pool;
    core::TeamId Team;
    bool Urgent = false;
    auto operator<=>(const WaitKey &) const = default;
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
  core::Reason checkBeforeStart(const Task &T,
                                const AcquireResult &Result) const;
  net::HttpCall buildStartCall(const Task &T,
                               const AcquireResult &Result) const;
  void onExchange(const RunPtr &R, net::HttpResult Result);
  void retryOrFinish(const RunPtr &R, core::Verdict V, bool TargetFailed,
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
  std::map<WaitKey, core::WaitWindow> Waits_;
  std::map<const Task *, RunPtr> Runs_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASKRUNNER_H
