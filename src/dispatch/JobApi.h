#ifndef COMFREYDECK_DISPATCH_JOBAPI_H
#define COMFREYDECK_DISPATCH_JOBAPI_H

#include "dispatch/JobSubmission.h"

namespace comfreydeck::dispatch {

/// Answers callers: admits their calls, accepts jobs through \ref
/// JobSubmission, reports their states and cancels them. Runs on the loop's
/// thread, except for \ref receive.
class JobApi {
public:
  JobApi(Context &Ctx, FleetView &View, Peers &PeerCalls);

  /// Decodes a call and hands it to the loop's thread. Thread-safe.
  void receive(const net::HttpRequest &Request, net::HttpResponder Respond);

  /// Whether this entry's configuration is recent enough to check callers'
  /// keys.
  bool isCurrent() const;

private:
  void handle(const JobCallPtr &C);
  bool admit(const JobCallPtr &C);
  void readState(const JobCallPtr &C);
  void readStored(const JobCallPtr &C);
  void readProgress(const JobCallPtr &C, const std::string &Pool);
  void findPool(const JobCallPtr &C,
                std::function<void(const std::string &)> Found);
  void cancel(const JobCallPtr &C);
  void storeCancel(const JobCallPtr &C);
  void onCancelStored(const JobCallPtr &C, store::PartOutcome Outcome);
  void countPending(const JobCallPtr &C);

  Context &Ctx_;
  FleetView &View_;
  Peers &Peers_;
  CallAnswers Answers_;
  JobSubmission Submission_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_JOBAPI_H
