#ifndef COMFREYDECK_ENTRY_TASKSERVICE_H
#define COMFREYDECK_ENTRY_TASKSERVICE_H

#include "entry/RequestRoutes.h"
#include "entry/TaskAnswers.h"
#include "entry/TaskForwarder.h"
#include "entry/TaskRunner.h"
#include "entry/UnresolvedStore.h"

#include <atomic>

namespace comfreydeck::entry {

/// The callers' interface: takes a request all the way to its answer, and at
/// most once to a worker where it is not idempotent.
class TaskService {
public:
  /// The parts must outlive the service.
  TaskService(const Context &C, Membership &Members, ConfigStore &Config,
              PoolService &Pools, const Fleet &Workers);

  /// Handles `/v1/queues/...` and `/v1/requests...`. Thread-safe.
  void handle(net::HttpRequest Request, net::HttpResponder Respond);

  /// Requests that wait for their answers. Thread-safe.
  std::size_t inFlight() const { return InFlight_; }

  /// Rows that are still to be written. On the control thread.
  std::size_t openWrites() const { return Writes_.open(); }

  /// On the control thread.
  UnresolvedStore &unresolved() { return Unresolved_; }

private:
  void begin(const TaskPtr &T);
  void beginIssued(const TaskPtr &T);
  void claim(const TaskPtr &T);
  void onClaimed(const TaskPtr &T, ClaimResult Result);
  void onOwnClaim(const TaskPtr &T, const core::ClaimRecord &Found);
  void execute(const TaskPtr &T);
  void onResult(const TaskPtr &T, TaskResult Result);
  void keep(const TaskPtr &T, const TaskResult &Result,
            std::function<void()> Done);
  void forward(const TaskPtr &T);
  void onIssuerGone(const TaskPtr &T);
  void recordUnresolved(const Task &T, const core::RequestId &Id,
                        core::Reason Why);
  void repeat(const TaskPtr &T, const codec::ClaimRow &Row);
  void repeatOwn(const TaskPtr &T, const core::RequestRecord &Record);
  void refuse(const TaskPtr &T, core::Reason Why, core::Verdict V);
  void refuseOtherWork(const TaskPtr &T);
  void answer(const TaskPtr &T, net::HttpResponse Response, core::Verdict V);

  Context Context_;
  TaskGate Gate_;
  WriteBatcher Writes_;
  ClaimStore Claims_;
  UnresolvedStore Unresolved_;
  TaskForwarder Forwarder_;
  TaskRunner Runner_;
  RequestTable Requests_;
  RequestRoutes Routes_;
  std::atomic<std::size_t> InFlight_ = 0;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASKSERVICE_H
