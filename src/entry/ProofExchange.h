#ifndef COMFREYDECK_ENTRY_PROOFEXCHANGE_H
#define COMFREYDECK_ENTRY_PROOFEXCHANGE_H

#include "core/ServingLease.h"
#include "entry/Context.h"

#include <map>
#include <set>

namespace comfreydeck::entry {

/// What the exchange needs of the configuration's log.
struct LogAccess {
  /// The changes after a version as JSON, as many as are at hand.
  std::function<std::vector<std::string>(core::ConfigVersion)> ChangesAfter;
  /// Takes in committed changes, as JSON.
  std::function<void(std::vector<std::string>)> OnChanges;
};

/// Proofs of the serving lease, pushes of changes and goodbyes between entries.
/// Every method is for the control thread.
class ProofExchange {
public:
  /// \p OnUpdate is called after each change of \p Lease, which must outlive
  /// the exchange.
  ProofExchange(const Context &C, core::ServingLease &Lease,
                std::function<void()> OnUpdate);

  void setLog(LogAccess Log) { Log_ = std::move(Log); }
  void setAddress(core::Incarnation Id, const std::string &Address);
  /// While the store is away, proofs are given as standing ones.
  void setStoreAway(bool Away) { StoreAway_ = Away; }

  /// Asks every known entry for a proof; one request to each in flight.
  void askAll();

  /// Sends the log's latest changes to those that have not acknowledged them.
  void pushChanges();

  /// Tells everyone that this entry leaves; \p Done comes when all have
  /// answered or timed out.
  void sayGoodbye(std::function<void()> Done);

  cluster::wire::ProveReply
  serveProve(const cluster::wire::ProveRequest &Request);
  cluster::wire::GreetReply
  serveGreet(const cluster::wire::GreetRequest &Request);
  cluster::wire::NotifyReply
  serveNotify(const cluster::wire::NotifyRequest &Request);

  /// Entries that this one has not heard of for a time.
  std::vector<core::Incarnation> silent() const;

  /// Whether this entry and every other that it hears have not heard of \p Id
  /// for a time, and this one is to act on it.
  bool shouldFence(core::Incarnation Id) const;

  /// Whether this is the first by incarnation of those that it hears.
  bool isFirstHeard() const;

private:
  void ask(core::Incarnation Id);
  void onReply(core::Incarnation Id, core::TimePoint Sent,
               const cluster::wire::ProveReply &Reply);
  /// An entry that is cut off must not fence all the others.
  bool hearsMost() const;
  bool isSilent(const core::LeasePeer &P) const;
  const std::string *addressOf(core::Incarnation Id) const;

  Context Context_;
  core::ServingLease &Lease_;
  std::function<void()> OnUpdate_;
  LogAccess Log_;
  bool StoreAway_ = false;
  std::map<core::Incarnation, std::string> Addresses_;
  std::set<core::Incarnation> Asking_;
  std::set<core::Incarnation> Pushing_;
  std::map<core::Incarnation, std::set<core::Incarnation>> SilentAt_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_PROOFEXCHANGE_H
