#ifndef COMFREYDECK_DISPATCH_JOBCALL_H
#define COMFREYDECK_DISPATCH_JOBCALL_H

#include "dispatch/FleetView.h"
#include "dispatch/WriteRepeats.h"
#include "net/HttpServer.h"

namespace comfreydeck::dispatch {

/// Status codes of answers to callers.
namespace status {

inline constexpr int Ok = 200;
inline constexpr int Bad = 400;
inline constexpr int Unauthorized = 401;
inline constexpr int NotFound = 404;
inline constexpr int Gone = 410;
inline constexpr int TooLarge = 413;
inline constexpr int Unavailable = 503;
inline constexpr int Unknown = 504;

} // namespace status

/// Time limit of a first write to the store for a caller.
inline constexpr core::Duration CallStoreTimeout =
    std::chrono::milliseconds(900);
/// Pause before such a write is repeated if no attempt is open.
inline constexpr core::Duration CallStoreRetry = std::chrono::milliseconds(60);

/// A caller's call in progress.
struct JobCall {
  CallerCall Asked;
  net::HttpResponder Respond;
  core::TimePoint ReceivedAt;
  const jobs::Queue *Queue = nullptr;
  /// Keeps \ref Queue alive.
  std::shared_ptr<const jobs::FleetConfig> Config;
  std::string Team;
  std::string JobId;
  jobs::JobSpec Spec;
  /// Why the job is invalid; empty if it is valid.
  std::string JobFault;
  /// Attempts to store the job.
  RepeatedWrite Attempts;
  /// An attempt to store the cancellation was not answered and may have
  /// applied.
  bool CancelUnsure = false;
};

using JobCallPtr = std::shared_ptr<JobCall>;

/// Time limit of a store write on behalf of the call, at most \p Limit.
core::Duration storeTimeout(const JobCall &Call, core::Duration Limit);
/// Whether a retry can be answered before the caller's deadline.
bool isTimeLeft(const JobCall &Call);

/// Sends the answers to callers, and counts and logs them. Runs on the loop's
/// thread.
class CallAnswers {
public:
  CallAnswers(Context &Ctx, const FleetView &View) : Ctx_(Ctx), View_(View) {}

  /// Answers the call; call this or \ref refuse once for each call.
  void answer(const JobCall &Call, int Status, std::string Body);
  /// Answers the call with an error. \p Detail is for the caller and not
  /// logged.
  void refuse(const JobCall &Call, int Status, const char *Reason,
              const std::string &Detail = "");

private:
  Context &Ctx_;
  const FleetView &View_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_JOBCALL_H
