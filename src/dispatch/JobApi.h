#ifndef COMFREYDECK_DISPATCH_JOBAPI_H
#define COMFREYDECK_DISPATCH_JOBAPI_H

#include "dispatch/MachineKinds.h"
#include "dispatch/Peers.h"
#include "dispatch/WriteRepeats.h"

namespace comfreydeck::dispatch {

/// Answers callers: accepts jobs, reports their states and cancels them. Runs
/// on the loop's thread, except for \ref receive.
class JobApi {
public:
  JobApi(Context &Ctx, FleetView &View, Peers &PeerCalls);

  /// Decodes a call and hands it to the loop's thread. Thread-safe.
  void receive(const net::HttpRequest &Request, net::HttpResponder Respond);

  /// Whether this entry's configuration is recent enough to check callers'
  /// keys.
  bool isCurrent() const;

private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  void handle(const CallPtr &C);
  bool admit(const CallPtr &C);
  void submit(const CallPtr &C);
  void refuseUnserved(const CallPtr &C, const UnservedStep &Step);
  void store(const CallPtr &C);
  void repeatStore(const CallPtr &C, core::Duration Pause, bool BesideOpen);
  void onJobStored(const CallPtr &C, const store::PartAnswer &Answer,
                   core::Duration Took);
  void readState(const CallPtr &C);
  void readStored(const CallPtr &C);
  void readProgress(const CallPtr &C, const std::string &Pool);
  void findPool(const CallPtr &C,
                std::function<void(const std::string &)> Found);
  void cancel(const CallPtr &C);
  void storeCancel(const CallPtr &C);
  void onCancelStored(const CallPtr &C, store::PartOutcome Outcome);
  core::Duration storeTimeout(const CallPtr &C, core::Duration Limit) const;
  bool isTimeLeft(const CallPtr &C) const;
  void countPending(const CallPtr &C);

  void answer(const CallPtr &C, int Status, std::string Body);
  void refuse(const CallPtr &C, int Status, const char *Reason,
              const std::string &Detail = "");

  Context &Ctx_;
  FleetView &View_;
  Peers &Peers_;
  MachineKinds Kinds_;
  AnswerPace StorePace_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_JOBAPI_H
