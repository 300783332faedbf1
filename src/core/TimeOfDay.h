#ifndef COMFREYDECK_CORE_TIMEOFDAY_H
#define COMFREYDECK_CORE_TIMEOFDAY_H

#include "core/Types.h"

#include <optional>
#include <span>

/// The time of day by which entries decide. It is reckoned on the boot clock
/// and agreed on as an offset to the clock of the store, so that neither a
/// wrong machine nor a step of all machines' times of day moves it.
namespace comfreydeck::core {

/// The agreed time of day, as kept in the store.
struct AgreedTime {
  /// Unix time less the store's clock.
  Duration Offset{0};
  /// When it was confirmed, on the store's clock.
  Duration At{0};
  /// The most entries whose own times of day have confirmed it.
  std::uint32_t Sources = 0;
};

/// What another entry, or an earlier process of this one, has stored.
struct TimeReport {
  /// Its own time of day less the store's clock; only of a living entry.
  std::optional<Duration> Own;
  std::optional<AgreedTime> Agreed;
  /// Whether it is a living entry other than this one.
  bool Alive = false;
};

/// A reading of the store's clock.
struct StoreReading {
  TimePoint SentAt;
  TimePoint ReceivedAt;
  /// What the answer says.
  Duration Clock{0};
};

/// An entry's state. Times of day are kept less the boot clock.
struct TimeOfDay {
  /// The time of day to decide by.
  Duration Followed{0};
  /// This machine's own time of day, as last seen.
  Duration Own{0};
  /// Bounds of the store's clock less the boot clock.
  std::optional<std::pair<Duration, Duration>> Store;
  bool Agreed = false;
  /// As in \ref AgreedTime.
  std::uint32_t Sources = 0;
  /// Since when the other entries' reports have been read.
  std::optional<TimePoint> ReportsSince;
  /// Up to when the followed time has been adjusted.
  std::optional<TimePoint> AdjustedAt;
  /// Reports are not comparable before.
  std::optional<TimePoint> HoldUntil;
};

/// How long an entry that finds no agreed time collects the others' times.
inline constexpr std::chrono::seconds TimeSettling(3);
/// Times of day that differ by less confirm each other; larger changes are
/// steps.
inline constexpr std::chrono::milliseconds TimeTolerance(500);
/// How fast the agreed time follows the entries' own, in millionths.
inline constexpr std::int64_t TimeSlewPpm = 500;
/// How long other entries' reports are ignored after the store's clock was
/// replaced, until these have stored new ones.
inline constexpr std::chrono::seconds StoreClockHold(10);

/// The state at the start of a process. \p Unix is the machine's own time of
/// day. Thread-safe.
TimeOfDay startTimeOfDay(TimePoint Now, Duration Unix);

/// Notes the machine's own time of day; returns the size of a step since the
/// last call.
std::optional<Duration> observeOwnTime(TimeOfDay &Time, TimePoint Now,
                                       Duration Unix);

/// Returns whether the store's clock is not the one of earlier readings.
bool observeStoreClock(TimeOfDay &Time, const StoreReading &Reading);

/// What \ref reviewTime did.
struct TimeReview {
  /// An agreed time was taken over or, in its absence, formed.
  bool Adopted = false;
  /// By how much the followed time changed at once.
  Duration Step{0};
};

/// Adopts and adjusts the agreed time. Call repeatedly once the stored reports
/// have been read.
TimeReview reviewTime(TimeOfDay &Time, std::span<const TimeReport> Reports,
                      TimePoint Now);

/// Unix time by which to decide. Thread-safe.
Duration unixTime(const TimeOfDay &Time, TimePoint Now);

/// The machine's own time of day less the store's clock; nothing while that
/// can't be read. Thread-safe.
std::optional<Duration> ownTimeReport(const TimeOfDay &Time);

/// The agreed time to keep in the store; nothing if there is none. Thread-safe.
std::optional<AgreedTime> agreedTime(const TimeOfDay &Time, TimePoint Now);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_TIMEOFDAY_H
