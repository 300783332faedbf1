#ifndef COMFREYDECK_DISPATCH_ORDERFORWARDER_H
#define COMFREYDECK_DISPATCH_ORDERFORWARDER_H

#include "codec/OrderJson.h"
#include "dispatch/OrderRelay.h"
#include "dispatch/PayloadCache.h"

#include <utility>

namespace comfreydeck::dispatch {

/// Sends orders to workers on behalf of owners at other entries, and returns
/// the results in batches. Decides nothing and keeps nothing but orders in
/// flight. Runs on the loop's thread.
class OrderForwarder {
public:
  OrderForwarder(net::Loop &Loop, net::HttpClient &Client,
                 store::PartitionedStore &Store, WorkerOrders &Workers,
                 EntryIdentity Me, OrderRelay::AddressOf Address);

  /// Sends a batch that arrived at \p ReceivedAt. \p Known tells whether an
  /// entry has that name and incarnation. Returns the answer's status; with any
  /// other than 200, nothing is sent.
  int handleOrders(const std::string &Body, core::TimePoint ReceivedAt,
                   const std::function<bool(const EntryIdentity &)> &Known);

  /// Returns and resets the counters of this entry's work for others.
  RelayCounters takeCounters() { return std::exchange(Counters_, {}); }

private:
  /// Results for one owner's entry that are not returned yet.
  struct Inbox {
    std::string Entry;
    std::vector<codec::RelayedResult> Results;
    bool Sending = false;
    bool Queued = false;
    /// When the oldest of the results arrived.
    core::TimePoint Since;
  };

  void readPayload(const EntryIdentity &Owner, codec::RelayedOrder Order,
                   core::TimePoint SendBy);
  void forward(const EntryIdentity &Owner, const codec::RelayedOrder &Order);
  void addResult(const EntryIdentity &Owner, codec::RelayedResult Result);
  void returnResults(const EntryIdentity &Owner);
  void onReturned(const EntryIdentity &Owner,
                  std::vector<codec::RelayedResult> Results, bool Taken);

  net::Loop &Loop_;
  net::HttpClient &Client_;
  WorkerOrders &Workers_;
  EntryIdentity Me_;
  OrderRelay::AddressOf Address_;
  PayloadCache Payloads_;
  /// Orders that wait for their payload or for their worker's answer.
  std::size_t InFlight_ = 0;
  /// By the owner's incarnation.
  std::map<std::string, Inbox> Inboxes_;
  RelayCounters Counters_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_ORDERFORWARDER_H
