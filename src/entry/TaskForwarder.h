#ifndef COMFREYDECK_ENTRY_TASKFORWARDER_H
#define COMFREYDECK_ENTRY_TASKFORWARDER_H

#include "entry/Membership.h"
#include "entry/Task.h"

namespace comfreydeck::entry {

/// What came of passing a call on to the entry that issued its id.
struct ForwardResult {
  /// The issuer is not registered any more.
  bool IsGone = false;
  /// The issuer's answer; nothing where it gave none.
  std::optional<net::HttpResponse> Response;
};

using ForwardDone = std::function<void(ForwardResult)>;

/// Passes calls about a request on to the entry that issued its id. Only on the
/// control thread; so come all callbacks.
class TaskForwarder {
public:
  /// \p Members must outlive the forwarder.
  TaskForwarder(const Context &C, const Membership &Members);

  /// Passes a submission on.
  void forward(const Task &T, ForwardDone Done);

  /// Passes any other call about a request on.
  void forward(core::Incarnation Issuer, const net::HttpRequest &Request,
               ForwardDone Done);

private:
  void send(core::Incarnation Issuer, net::HttpCall Call, ForwardDone Done);

  Context Context_;
  const Membership &Members_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASKFORWARDER_H
