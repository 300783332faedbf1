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

/// Lets requests in: well-formed, for a queue that there is, with a key that is
/// good for it. Every method is thread-safe.
class TaskGate {
public:
  /// The parts must outlive the gate.
  TaskGate(const Context &C, const Membership &Members,
           const ConfigStore &Config);

  /// A request to `/v1/queues/QUEUE/tasks`. Throws RequestError.
  TaskPtr admit(net::HttpRequest Request, net::HttpResponder Respond);

  /// The team of the key that came with a request; nothing where none came.
  /// Throws RequestError where the key is not known.
  std::optional<core::TeamId> teamOf(const net::HttpRequest &Request) const;

  /// Throws RequestError where this entry may not serve.
  void checkCurrent() const;

  /// Whether the key that \p T came with is granted still, and good for its
  /// queue.
  bool isStillAllowed(const Task &T) const;

  /// Whether new work may start in that data centre.
  bool isIn(std::string_view DataCentre) const;

  /// A number that no other request or attempt of this incarnation has.
  std::uint64_t nextNumber() { return NextNumber_++; }

  /// Makes and checks this incarnation's ids.
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
