#ifndef COMFREYDECK_DISPATCH_ENTRYMONITOR_H
#define COMFREYDECK_DISPATCH_ENTRYMONITOR_H

#include "dispatch/Context.h"
#include "dispatch/EventLog.h"
#include "dispatch/OrderForwarder.h"

#include <vector>

namespace comfreydeck::dispatch {

/// The log fields of an entry's summary.
std::vector<LogField> summaryOf(const EntryStats &Stats);

/// Periodically reports statistics of the control thread, the HTTP calls and
/// the relayed orders of this entry, as a log line and as metrics. Runs on the
/// loop's thread.
class EntryMonitor {
public:
  EntryMonitor(Context &Ctx, OrderRelay &Relay, OrderForwarder &Forwarder)
      : Ctx_(Ctx), Relay_(Relay), Forwarder_(Forwarder) {}

  /// Call once.
  void start();

private:
  void publish();

  Context &Ctx_;
  OrderRelay &Relay_;
  OrderForwarder &Forwarder_;
  core::TimePoint PublishedAt_;
  std::array<net::HttpCounts, net::HttpTargetCount> LastCalls_{};
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_ENTRYMONITOR_H
