#ifndef COMFREYDECK_ENTRY_TASK_H
#define COMFREYDECK_ENTRY_TASK_H

#include "core/Configuration.h"
#include "core/PoolOwner.h"
#include "core/RequestRegistry.h"
#include "entry/ClaimStore.h"
#include "entry/TaskRequest.h"
#include "net/HttpServer.h"

namespace comfreydeck::entry {

/// A caller's request from admission to its answer. Created on a traffic
/// thread, then used only on the control thread.
struct Task {
  TaskRequest Request;
  net::HttpResponder Respond;
  core::RequestId Id;
  core::PoolId Pool;
  std::string TeamName;
  /// Hash of the caller's key; unset for an open queue.
  std::optional<core::KeyHash> Key;
  /// Team of the caller's key, which may query and cancel the request; invalid
  /// if the request has no key.
  core::TeamId Owner;
  std::uint64_t Fingerprint = 0;
  bool Idempotent = false;
  /// The demand of the current attempt.
  core::Demand Demand;
  std::uint32_t Attempts = 0;
  /// When the current attempt's slot was requested.
  core::TimePoint Asked;
  /// When the current attempt was sent to the worker.
  core::TimePoint SentAt;
  core::WorkerId Worker;
  std::string WorkerAddress;
  /// Whether the current attempt was sent to the worker.
  bool IsSent = false;
  bool CancelAsked = false;
  /// The row that the outcome is written to; empty for idempotent requests.
  HeldClaim Claim;
};

using TaskPtr = std::shared_ptr<Task>;

/// The result of a request.
struct TaskResult {
  core::Verdict Verdict = core::Verdict::NotRun;
  /// None if the caller gets the target's own answer.
  core::Reason Why = core::Reason::None;
  /// The target's answer, if there is one.
  net::HttpResponse Response;
  /// Recommended delay before a retry; zero if there is no recommendation.
  core::Duration RetryAfter{0};
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASK_H
