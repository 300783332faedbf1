#include "dispatch/FleetClock.h"

#include "dispatch/EventLog.h"

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;

namespace {

/// Agreed times that differ by less are not stored again, except after
/// StorePeriod.
constexpr milliseconds StoredTolerance(20);
constexpr std::chrono::minutes StorePeriod(10);
/// A machine whose own time of day is off by more is reported in the log.
constexpr std::chrono::seconds OwnErrorBound(1);

std::int64_t msOf(core::Duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

} // namespace

FleetClock::FleetClock(std::function<core::Duration()> Own)
    : Own_(std::move(Own)), Time_(core::startTimeOfDay(bootNow(), Own_())) {}

std::int64_t FleetClock::nowMs() const {
  return msOf(core::unixTime(Time_, bootNow()));
}

core::Duration FleetClock::ownError() const {
  return Time_.Own - Time_.Followed;
}

void FleetClock::observeOwn() {
  if (std::optional<core::Duration> Step =
          core::observeOwnTime(Time_, bootNow(), Own_()))
    logEvent("time_of_day_stepped", {{"by_ms", msOf(*Step)}});
}

void FleetClock::observeStore(const core::StoreReading &Reading) {
  if (core::observeStoreClock(Time_, Reading))
    logEvent("store_clock_replaced");
}

void FleetClock::review(std::span<const core::TimeReport> Reports) {
  observeOwn();
  core::TimeReview Done = core::reviewTime(Time_, Reports, bootNow());
  if (Done.Adopted)
    logEvent("time_of_day_agreed", {{"sources", Time_.Sources},
                                    {"moved_by_ms", msOf(Done.Step)},
                                    {"own_error_ms", msOf(ownError())}});
  else if (Done.Step != core::Duration::zero())
    logEvent("time_of_day_moved",
             {{"by_ms", msOf(Done.Step)}, {"sources", Time_.Sources}});
  bool WasOff =
      std::exchange(IsOwnOff_, std::chrono::abs(ownError()) > OwnErrorBound);
  if (IsOwnOff_ && !WasOff)
    logEvent("own_time_of_day_off", {{"by_ms", msOf(ownError())}});
}

std::optional<core::Duration> FleetClock::ownReport() const {
  return core::ownTimeReport(Time_);
}

std::optional<core::AgreedTime> FleetClock::agreedToStore() const {
  std::optional<core::AgreedTime> Now = core::agreedTime(Time_, bootNow());
  bool IsStored =
      Now && Stored_ && Stored_->Sources == Now->Sources &&
      std::chrono::abs(Stored_->Offset - Now->Offset) <= StoredTolerance &&
      Now->At - Stored_->At < StorePeriod;
  return IsStored ? std::nullopt : Now;
}

} // namespace comfreydeck::dispatch
