#ifndef COMFREYDECK_ENTRY_TASK_H
#define COMFREYDECK_ENTRY_TASK_H

#include "core/Configuration.h"
#include "core/PoolOwner.h"
#include "core/RequestRegistry.h"
#include "entry/ClaimStore.h"
#include "entry/TaskRequest.h"
#include "net/HttpServer.h"

namespace comfreydeck::entry {

/// One caller's request on its way to its answer. Made on a traffic thread,
/// then only on the control thread.
struct Task {
  TaskRequest Request;
  net::HttpResponder Respond;
  core::RequestId Id;
  core::PoolId Pool;
  std::string TeamName;
  /// Nothing on an open queue.
  std::optional<core::KeyHash> Key;
  /// Team of the key that came, which may ask for the request and cancel it;
  /// invalid where none came.
  core::TeamId Owner;
  std::uint64_t Fingerprint = 0;
  bool Idempotent = false;
  /// The present attempt.
  core::Demand Demand;
  std::uint32_t Attempts = 0;
  core::TimePoint Asked;
  core::TimePoint Sent;
  core::WorkerId Worker;
  std::string WorkerAddress;
  /// Whether the present attempt was sent to the worker.
  bool IsSent = false;
  bool CancelAsked = false;
  /// The row that the outcome goes to; none for idempotent work.
  HeldClaim Claim;
};

using TaskPtr = std::shared_ptr<Task>;

/// What came of a request.
struct TaskResult {
  core::Verdict Verdict = core::Verdict::NotRun;
  /// None where the target's own answer goes to the caller.
  core::Reason Why = core::Reason::None;
  /// The target's answer, where there is one.
  net::HttpResponse Response;
  /// When trying again may help; zero for no advice.
  core::Duration RetryAfter{0};
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASK_H
