#ifndef COMFREYDECK_ENTRY_PROOFEXCHANGE_H
#define COMFREYDECK_ENTRY_PROOFEXCHANGE_H

#include "core/ServingLease.h"
#include "entry/Context.h"

#include <map>
#include <set>

namespace comfreydeck::entry {

/// The exchange's access to the configuration log.
struct LogAccess {
  /// The changes after a version as JSON, as far as they are available.
  std::function<std::vector<std::string>(core::ConfigVersion)> ChangesAfter;
  /// Receives committed changes as JSON.
  std::function<void(std::vector<std::string>)> OnChanges;
};

/// Exchanges proofs of the serving lease, configuration changes and goodbyes
/// between entries. Control thread only.
class ProofExchange {
public:
  /// \p OnUpdate is called after each change of \p Lease, which must outlive
  /// the exchange.
  ProofExchange(const Context &C, core::ServingLease &Lease,
                std::function<void()> OnUpdate);

  void setLog(LogAccess Log) { Log_ = std::move(Log); }
  void setAddress(core::Incarnation Id, const std::string &Address);
  /// While the store is unavailable, this entry grants standing proofs.
  void setStoreAway(bool Away) { StoreAway_ = Away; }

  /// Asks every known entry for a proof, with one request in flight to each.
  void askAll();

  /// Sends the latest changes to the entries that have not acknowledged them.
  void pushChanges();

  /// Tells every entry that this one leaves. \p Done is called when all have
  /// answered or timed out.
  void sayGoodbye(std::function<void()> Done);

  cluster::wire::ProveReply
  serveProve(const cluster::wire::ProveRequest &Request);
  cluster::wire::GreetReply
  serveGreet(const cluster::wire::GreetRequest &Request);
  cluster::wire::NotifyReply
  serveNotify(const cluster::wire::NotifyRequest &Request);

  /// Entries that this one has not heard from recently.
  std::vector<core::Incarnation> silent() const;

  /// Whether this entry should fence \p Id: neither this entry nor any other
  /// that it hears from has heard from it recently, or its process has ended,
  /// and this entry is the first by incarnation.
  bool shouldFence(core::Incarnation Id) const;

  /// Whether this entry has the lowest incarnation of those that it hears from.
  bool isFirstHeard() const;

private:
  void ask(core::Incarnation Id);
  void onReply(core::Incarnation Id, core::TimePoint Sent,
               const cluster::wire::ProveReply &Reply);
  /// Whether this entry hears from a majority. Prevents a partitioned entry
  /// from fencing all the others.
  bool hearsMajority() const;
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
  std::map<core::Incarnation, std::set<core::Incarnation>> ReportedSilent_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_PROOFEXCHANGE_H
