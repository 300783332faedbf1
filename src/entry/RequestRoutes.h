#ifndef COMFREYDECK_ENTRY_REQUESTROUTES_H
#define COMFREYDECK_ENTRY_REQUESTROUTES_H

#include "entry/TaskForwarder.h"
#include "entry/TaskRunner.h"

namespace comfreydeck::entry {

/// The requests of this entry: the records of all, and the tasks in progress by
/// request number.
struct RequestTable {
  core::RequestRegistry Registry;
  std::map<std::uint64_t, TaskPtr> Active;
};

/// Handles `/v1/requests`: issues ids in advance, reports the state of requests
/// and cancels them.
class RequestRoutes {
public:
  /// The referenced objects must outlive the routes.
  RequestRoutes(const Context &C, TaskGate &Gate, ClaimStore &Claims,
                TaskForwarder &Forwarder, TaskRunner &Runner,
                RequestTable &Requests);

  /// Throws RequestError. Thread-safe.
  void handle(net::HttpRequest Request, net::HttpResponder Respond);

private:
  /// An authenticated call about one request.
  struct Call {
    net::HttpRequest Request;
    net::HttpResponder Respond;
    core::TeamId Team;
    core::RequestId Id;
    bool IsCancel = false;
  };

  void issueId(core::TeamId Team, const net::HttpResponder &Respond);
  void handleCall(const Call &C);
  void handleOwn(const Call &C);
  void cancel(std::uint64_t Number);
  void handleIssuerGone(const Call &C);

  Context Context_;
  TaskGate &Gate_;
  ClaimStore &Claims_;
  TaskForwarder &Forwarder_;
  TaskRunner &Runner_;
  RequestTable &Requests_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_REQUESTROUTES_H
