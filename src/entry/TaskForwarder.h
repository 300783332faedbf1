#ifndef COMFREYDECK_ENTRY_TASKFORWARDER_H
#define COMFREYDECK_ENTRY_TASKFORWARDER_H

#include "entry/Membership.h"
#include "entry/Task.h"

namespace comfreydeck::entry {

/// The result of forwarding a call to the entry that issued its id.
struct ForwardResult {
  /// The issuer is no longer registered, or another process has its address.
  bool IsIssuerGone = false;
  /// The issuer's answer; nullopt if there was none.
  std::optional<net::HttpResponse> Response;
};

using ForwardDone = std::function<void(ForwardResult)>;

/// Forwards calls about a request to the entry that issued its id. Must be used
/// on the control thread, which also runs all callbacks.
class TaskForwarder {
public:
  /// \p Members must outlive the forwarder.
  TaskForwarder(const Context &C, const Membership &Members);

  /// Forwards a submission.
  void forward(const Task &T, ForwardDone Done);

  /// Forwards any other call about a request.
  void forward(core::Incarnation Issuer, const net::HttpRequest &Request,
               ForwardDone Done);

private:
  void send(core::Incarnation Issuer, net::HttpCall Call, ForwardDone Done);

  Context Context_;
  const Membership &Members_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASKFORWARDER_H
