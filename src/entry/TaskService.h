#ifndef COMFREYDECK_ENTRY_TASKSERVICE_H
#define COMFREYDECK_ENTRY_TASKSERVICE_H

#include "entry/RequestRoutes.h"
#include "entry/TaskAnswers.h"
#include "entry/TaskForwarder.h"
#include "entry/TaskRunner.h"
#include "entry/UnresolvedStore.h"

#include <atomic>

namespace comfreydeck::entry {

/// The callers' interface. Processes requests from admission to the answer; a
/// non-idempotent request runs at most once.
class TaskService {
public:
  /// The referenced objects must outlive the service.
  TaskService(const Context &C, Membership &Members, ConfigStore &Config,
              PoolService &Pools, const Fleet &Workers);

  /// Handles `/v1/queues/...` and `/v1/requests...`. Thread-safe.
  void handle(net::HttpRequest Request, net::HttpResponder Respond);

  /// Number of requests that are not answered yet. Thread-safe.
  std::size_t inFlight() const { return InFlight_; }

  /// Number of row writes that are not completed yet. Must be called on the
  /// control thread.
  std::size_t openWrites() const { return Writes_.pending(); }

  /// Must be called on the control thread.
  UnresolvedStore &unresolved() { return Unresolved_; }

private:
  void begin(const TaskPtr &T);
  void beginIssued(const TaskPtr &T);
  void claim(const TaskPtr &T);
  void onClaimed(const TaskPtr &T, ClaimResult Result);
  void onOwnClaim(const TaskPtr &T, const core::ClaimRecord &Found);
  void execute(const TaskPtr &T);
  void onResult(const TaskPtr &T, TaskResult Result);
  void storeOutcome(const TaskPtr &T, const TaskResult &Result,
                    std::function<void()> Done);
  void forward(const TaskPtr &T);
  void onIssuerGone(const TaskPtr &T);
  void recordUnresolved(const Task &T, const core::RequestId &Id,
                        core::Reason Why);
  void answerFromClaim(const TaskPtr &T, const codec::ClaimRow &Row);
  void answerFromRecord(const TaskPtr &T, const core::RequestRecord &Record);
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
