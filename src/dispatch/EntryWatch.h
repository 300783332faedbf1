#ifndef COMFREYDECK_DISPATCH_ENTRYWATCH_H
#define COMFREYDECK_DISPATCH_ENTRYWATCH_H

#include "dispatch/Context.h"
#include "dispatch/EventLog.h"

#include <vector>

namespace comfreydeck::dispatch {

/// The log fields of an entry's summary.
std::vector<LogField> summaryOf(const EntryFigures &Figures);

/// Periodically reports statistics of the control thread and the HTTP calls of
/// this entry, as a log line and as metrics. Runs on the loop's thread.
class EntryWatch {
public:
  explicit EntryWatch(Context &Ctx) : Ctx_(Ctx) {}

  /// Call once.
  void start();

private:
  void tell();

  Context &Ctx_;
  core::TimePoint ToldAt_;
  std::array<net::HttpCounts, net::HttpTargets> CallsBefore_{};
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_ENTRYWATCH_H
