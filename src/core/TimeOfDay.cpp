#include "core/TimeOfDay.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace comfreydeck::core {

namespace {

/// Readings of the store's clock that contradict each other by more are of
/// different clocks.
constexpr std::chrono::seconds StoreClockTolerance(1);
/// Agreed times confirmed this much earlier than the newest one are ignored.
constexpr std::chrono::hours MaxAgreedAge(1);
/// Longest time for which a review adjusts the followed time.
constexpr std::chrono::seconds MaxAdjustedTime(10);
constexpr std::int64_t Million = 1000000;

Duration storeOffset(const TimeOfDay &Time) {
  return (Time.Store->first + Time.Store->second) / 2;
}

bool isNear(Duration A, Duration B) {
  return std::chrono::abs(A - B) <= TimeTolerance;
}

/// The lower of the two middle ones of an even number: a mean of two that
/// differ would be nobody's time. \p Times must not be empty.
Duration median(std::vector<Duration> Times) {
  auto Middle = Times.begin() + static_cast<long>((Times.size() - 1) / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  return *Middle;
}

std::uint32_t countNear(const std::vector<Duration> &Times, Duration Wanted) {
  return static_cast<std::uint32_t>(
      std::count_if(Times.begin(), Times.end(),
                    [&](Duration Time) { return isNear(Time, Wanted); }));
}

/// Whether a time of day that \p Many entries confirm replaces one that \p Few
/// have confirmed. Nobody but itself confirms one entry's own.
bool outvotes(std::uint32_t Many, std::uint32_t Few) {
  return Many > 2 * std::uint64_t(Few) || (Few == 1 && Many > 1);
}

/// The median of the well-confirmed agreed times, each of which weighs as many
/// as have confirmed it. It has the sources of those near it alone.
std::optional<AgreedTime> medianAgreed(std::vector<AgreedTime> Known) {
  if (Known.empty())
    return std::nullopt;
  Duration Newest = Known.front().At;
  std::uint32_t MostSources = 0;
  for (const AgreedTime &Time : Known) {
    Newest = std::max(Newest, Time.At);
    MostSources = std::max(MostSources, Time.Sources);
  }
  std::erase_if(Known, [&](const AgreedTime &Time) {
    return Time.At < Newest - MaxAgreedAge ||
           outvotes(MostSources, Time.Sources);
  });
  if (Known.empty())
    return std::nullopt;
  std::sort(Known.begin(), Known.end(),
            [](const AgreedTime &A, const AgreedTime &B) {
              return A.Offset < B.Offset;
            });
  std::uint64_t Weight = 0;
  for (const AgreedTime &Time : Known)
    Weight += Time.Sources;
  std::uint64_t Below = 0;
  AgreedTime Result = Known.front();
  for (const AgreedTime &Time : Known) {
    Result = Time;
    Below += Time.Sources;
    if (2 * Below >= Weight)
      break;
  }
  for (const AgreedTime &Time : Known)
    if (isNear(Time.Offset, Result.Offset))
      Result.Sources = std::max(Result.Sources, Time.Sources);
  Result.At = Newest;
  return Result;
}

std::vector<AgreedTime> usableAgreed(std::span<const TimeReport> Reports,
                                     Duration StoreNow, bool OnlyAlive) {
  std::vector<AgreedTime> Known;
  for (const TimeReport &Report : Reports)
    if (Report.Agreed && (Report.Alive || !OnlyAlive) &&
        Report.Agreed->At <= StoreNow + StoreClockTolerance)
      Known.push_back(*Report.Agreed);
  return Known;
}

TimeReview follow(TimeOfDay &Time, Duration Offset, std::uint32_t Sources) {
  Duration Before = Time.Followed;
  Time.Followed = Offset + storeOffset(Time);
  Time.Sources = Sources;
  bool Adopted = !std::exchange(Time.Agreed, true);
  return {Adopted, Time.Followed - Before};
}

void slew(TimeOfDay &Time, Duration Target, TimePoint Now) {
  Duration Passed = Now - Time.AdjustedAt.value_or(Now);
  Duration Most =
      std::clamp<Duration>(Passed, Duration::zero(), MaxAdjustedTime) *
      TimeSlewPpm / Million;
  // Keeps what is left of a millionth for the next call.
  if (Most == Duration::zero() && Passed >= Duration::zero() && Time.AdjustedAt)
    return;
  Time.AdjustedAt = Now;
  Time.Followed += std::clamp(Target - Time.Followed, -Most, Most);
}

} // namespace

TimeOfDay startTimeOfDay(TimePoint Now, Duration Unix) {
  TimeOfDay Time;
  Time.Own = Time.Followed = Unix - Now.time_since_epoch();
  return Time;
}

std::optional<Duration> observeOwnTime(TimeOfDay &Time, TimePoint Now,
                                       Duration Unix) {
  Duration Before = std::exchange(Time.Own, Unix - Now.time_since_epoch());
  if (isNear(Before, Time.Own))
    return std::nullopt;
  return Time.Own - Before;
}

bool observeStoreClock(TimeOfDay &Time, const StoreReading &Reading) {
  // The answer's clock is cut to milliseconds.
  constexpr std::chrono::milliseconds Resolution(1);
  Duration Low = Reading.Clock - Reading.ReceivedAt.time_since_epoch();
  Duration High =
      Reading.Clock + Resolution - Reading.SentAt.time_since_epoch();
  if (!Time.Store) {
    Time.Store = {Low, High};
    return false;
  }
  auto &[Lowest, Highest] = *Time.Store;
  if (Low > Highest + StoreClockTolerance ||
      High < Lowest - StoreClockTolerance) {
    Time.Store = {Low, High};
    Time.HoldUntil = Reading.ReceivedAt + StoreClockHold;
    Time.ReportsSince.reset();
    return true;
  }
  // The clocks drift apart, so a newer reading replaces bounds it contradicts.
  Lowest = std::min(std::max(Lowest, Low), High);
  Highest = std::max(std::min(Highest, High), Low);
  return false;
}

TimeReview reviewTime(TimeOfDay &Time, std::span<const TimeReport> Reports,
                      TimePoint Now) {
  if (!Time.Store) {
    slew(Time, Time.Own, Now);
    return {};
  }
  if (Time.HoldUntil && Now < *Time.HoldUntil)
    return {};
  if (!Time.ReportsSince)
    Time.ReportsSince = Now;
  Duration Store = storeOffset(Time);
  std::vector<Duration> Own = {Time.Own - Store};
  for (const TimeReport &Report : Reports)
    if (Report.Alive && Report.Own)
      Own.push_back(*Report.Own);
  Duration Median = median(Own);
  std::uint32_t Support = countNear(Own, Median);
  std::vector<AgreedTime> Known =
      usableAgreed(Reports, Now.time_since_epoch() + Store, Time.Agreed);
  if (!Time.Agreed) {
    if (std::optional<AgreedTime> Kept = medianAgreed(std::move(Known)))
      return follow(Time, Kept->Offset, Kept->Sources);
    if (Now - *Time.ReportsSince < TimeSettling)
      return {};
    return follow(Time, Median, Support);
  }
  Known.push_back(*agreedTime(Time, Now));
  std::optional<AgreedTime> Others = medianAgreed(std::move(Known));
  Duration Mine = Time.Followed - Store;
  if (Others && !isNear(Others->Offset, Mine))
    return follow(Time, Others->Offset, Others->Sources);
  if (isNear(Median, Mine))
    Time.Sources = std::max(Time.Sources, Support);
  else if (outvotes(Support, Time.Sources))
    return follow(Time, Median, Support);
  slew(Time, Median + Store, Now);
  return {};
}

Duration unixTime(const TimeOfDay &Time, TimePoint Now) {
  return Time.Followed + Now.time_since_epoch();
}

std::optional<Duration> ownTimeReport(const TimeOfDay &Time) {
  if (!Time.Store)
    return std::nullopt;
  return Time.Own - storeOffset(Time);
}

std::optional<AgreedTime> agreedTime(const TimeOfDay &Time, TimePoint Now) {
  if (!Time.Agreed || !Time.Store)
    return std::nullopt;
  Duration Store = storeOffset(Time);
  return AgreedTime{Time.Followed - Store, Now.time_since_epoch() + Store,
                    Time.Sources};
}

} // namespace comfreydeck::core
