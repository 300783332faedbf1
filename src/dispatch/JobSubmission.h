#ifndef COMFREYDECK_DISPATCH_JOBSUBMISSION_H
#define COMFREYDECK_DISPATCH_JOBSUBMISSION_H

#include "dispatch/JobCall.h"
#include "dispatch/MachineKinds.h"
#include "dispatch/Peers.h"

namespace comfreydeck::dispatch {

/// Accepts jobs: checks them, stores them and tells the pool's owner. Runs on
/// the loop's thread.
class JobSubmission {
public:
  JobSubmission(Context &Ctx, FleetView &View, Peers &PeerCalls,
                CallAnswers &Answers);

  /// Answers the call, which was admitted and submits a job, once the job is
  /// stored or refused, or before the caller's deadline.
  void submit(const JobCallPtr &C);

private:
  void refuseUnserved(const JobCallPtr &C, const UnservedStep &Step);
  void store(const JobCallPtr &C);
  void repeatStore(const JobCallPtr &C, core::Duration Pause, bool BesideOpen);
  void onJobStored(const JobCallPtr &C, const store::PartAnswer &Answer,
                   core::Duration Took);

  Context &Ctx_;
  Peers &Peers_;
  CallAnswers &Answers_;
  MachineKinds Kinds_;
  AnswerPace StorePace_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_JOBSUBMISSION_H
