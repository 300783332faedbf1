#ifndef COMFREYDECK_DISPATCH_ENTRYWATCH_H
#define COMFREYDECK_DISPATCH_ENTRYWATCH_H

#include "dispatch/Context.h"
#include "dispatch/EventLog.h"

#include <vector>

namespace comfreydeck::dispatch {

/// The fields of an entry's summary.
std::vector<LogField> summaryOf(const EntryFigures &Figures);

/// Tells how the control thread and the connections of this entry do, in a log
/// line and the metrics. On the loop's thread.
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
