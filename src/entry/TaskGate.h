#ifndef COMFREYDECK_ENTRY_TASKGATE_H
#define COMFREYDECK_ENTRY_TASKGATE_H

#include "codec/KeyIndex.h"
#include "codec/RequestTag.h"
#include "entry/ConfigStore.h"
#include "entry/Membership.h"
#include "entry/Task.h"

#include <atomic>
#include <mutex>

namespace comfreydeck::entry {

/// Admits requests that are well-formed, name an existing queue and have a key
/// that may use it. Every method is thread-safe.
class TaskGate {
public:
  /// The referenced objects must outlive the gate.
  TaskGate(const Context &C, const Membership &Members,
           const ConfigStore &Config);

  /// Admits a request to `/v1/queues/QUEUE/tasks`. Throws RequestError.
  TaskPtr admit(net::HttpRequest Request, net::HttpResponder Respond);

  /// Returns the team of the request's key, nullopt if there is no key. Throws
  /// RequestError if the key is unknown.
  std::optional<core::TeamId> teamOf(const net::HttpRequest &Request) const;

  /// Throws RequestError if this entry may not serve requests at present.
  void checkCurrent() const;

  /// Whether the key of \p T is still granted and may still use its queue.
  bool isStillAllowed(const Task &T) const;

  /// Whether new tasks may start in the data centre.
  bool mayStartIn(std::string_view DataCentre) const;

  /// Returns a number that no other request or attempt of this incarnation has.
  std::uint64_t nextNumber() { return NextNumber_++; }

  /// Creates and verifies request ids of this incarnation.
  const codec::RequestTagger &tagger() const { return Tagger_; }

private:
  std::shared_ptr<const codec::KeyIndex> index() const;
  void authorize(Task &T, const core::Queue &Q,
                 const codec::KeyIndex &Keys) const;

  Context Context_;
  const Membership &Members_;
  const ConfigStore &Config_;
  codec::RequestTagger Tagger_;
  std::atomic<std::uint64_t> NextNumber_ = 1;
  mutable std::mutex Mutex_;
  mutable std::shared_ptr<const codec::KeyIndex> Index_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASKGATE_H
