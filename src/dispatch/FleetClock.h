#ifndef COMFREYDECK_DISPATCH_FLEETCLOCK_H
#define COMFREYDECK_DISPATCH_FLEETCLOCK_H

#include "core/TimeOfDay.h"
#include "dispatch/Clock.h"

#include <functional>

namespace comfreydeck::dispatch {

/// The time of day by which this entry decides: due times, acceptance times,
/// slack and how long jobs are kept. Logs what it does. Runs on the loop's
/// thread.
class FleetClock {
public:
  /// \p Own returns the machine's own time of day, in Unix time.
  explicit FleetClock(std::function<core::Duration()> Own = ownTimeOfDay);

  /// Unix time in milliseconds.
  std::int64_t nowMs() const;
  /// By how far the machine's own time of day is ahead of that.
  core::Duration ownError() const;

  void observeStore(const core::StoreReading &Reading);
  /// Call repeatedly once the reports have been read from the store.
  void review(std::span<const core::TimeReport> Reports);

  /// The machine's own time of day less the store's clock, to be published;
  /// nothing while that is unknown.
  std::optional<core::Duration> ownReport() const;
  /// The agreed time, if the store has none of this entry that is as good.
  std::optional<core::AgreedTime> agreedToStore() const;
  void noteStored(const core::AgreedTime &Time) { Stored_ = Time; }

private:
  void observeOwn();

  std::function<core::Duration()> Own_;
  core::TimeOfDay Time_;
  std::optional<core::AgreedTime> Stored_;
  bool IsOwnOff_ = false;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_FLEETCLOCK_H
