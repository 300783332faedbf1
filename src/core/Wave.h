#ifndef COMFREYDECK_CORE_WAVE_H
#define COMFREYDECK_CORE_WAVE_H

#include "core/Budget.h"

#include <vector>

/// Maintenance waves: every instance of a pool, rack or data centre is drained
/// and rebooted, as many at a time as the budgets allow.
namespace comfreydeck::core {

/// What a wave goes over.
enum class WaveScope : std::uint8_t { All, Pool, Rack, DataCentre };

enum class WaveState : std::uint8_t { Running, Paused, Cancelled, Done };

/// A wave's row. What has been done stands in the instances' rows, so that a
/// wave goes on from the rows alone after any loss.
struct Wave {
  WaveId Id;
  WaveScope Scope = WaveScope::All;
  /// Name of the pool, rack or data centre.
  std::string Name;
  WaveState State = WaveState::Running;
  /// Who started it.
  std::string By;
  /// Why it stands in its state, for the operator.
  std::string Why;
  std::int64_t StartedUnixMs = 0;
  /// Failures before this have been accepted by an operator's resume.
  std::int64_t FailuresAfterUnixMs = 0;
};

enum class WaveCommand : std::uint8_t { Pause, Resume, Cancel, Finish };

/// The state after \p Command; nothing where it can't be given in \p From.
/// Thread-safe.
std::optional<WaveState> next(WaveState From, WaveCommand Command);

/// Whether the wave goes over \p I, which is in a pool named \p PoolName.
/// Thread-safe.
bool covers(const Wave &W, const Instance &I, std::string_view PoolName);

/// Whether \p I has been through the wave, or a later one over it. Thread-safe.
bool isDone(const Wave &W, const Instance &I);

/// Where a wave stands in some instances.
struct WaveProgress {
  std::uint32_t Total = 0;
  std::uint32_t Done = 0;
  /// Draining, rebooting or warming up for it now.
  std::uint32_t Active = 0;
  /// Of those done, the ones that still warm up.
  std::uint32_t Warming = 0;
  std::uint32_t Failed = 0;

  bool isComplete() const { return Done == Total && Active == 0; }
  bool operator==(const WaveProgress &) const = default;
};

/// Counts \p Members, which the wave covers. Thread-safe.
WaveProgress progressOf(const Wave &W, std::span<const BudgetMember> Members);

/// How long the rest takes at the pace so far, in milliseconds; nothing where
/// none is done yet. Thread-safe.
std::optional<std::int64_t> remainingMs(const Wave &W, const WaveProgress &P,
                                        std::int64_t NowUnixMs);

/// Why a pool's part of a wave gives no further permit.
enum class WaveHold : std::uint8_t {
  None,
  Complete,
  /// One instance goes first; it has not served again yet.
  Canary,
  /// Failures in the wave: an operator must look.
  Failures,
  /// The budgets leave no room for now.
  Budget,
  NotRunning,
};

/// What one pool does for a wave now.
struct WaveStep {
  /// In the order of the drains.
  std::vector<WorkerId> Drain;
  WaveHold Hold = WaveHold::None;
  /// The refusal that holds the wave back.
  Permit Refusal;
};

/// Failures that pause a wave in one pool, of as many instances as are done.
constexpr std::uint32_t WaveFailuresPerHundred = 2;
constexpr std::uint32_t WaveFailuresLeast = 1;

/// Takes the pool's part of the wave as far as the budgets allow and counts
/// what it takes in \p Table. The first of a pool goes alone; then the data
/// centre with the most left, by rack. \p Members are those of one pool that
/// the wave covers. Thread-safe.
WaveStep stepWave(const Wave &W, const Pool &Limits,
                  std::span<const BudgetMember> Members, AbsenceTable &Table);

/// How often each instance is maintained without any wave.
constexpr std::int64_t MaintenanceIntervalMs = 14LL * 24 * 60 * 60 * 1000;

/// The instances of a pool that the standing schedule drains now, oldest first:
/// one at a time, evenly over three quarters of the interval, and whatever is
/// nearly overdue as wide as the budgets allow. Thread-safe.
std::vector<WorkerId> dueForMaintenance(const Pool &Limits,
                                        std::span<const BudgetMember> Members,
                                        AbsenceTable &Table,
                                        std::int64_t IntervalMs,
                                        std::int64_t NowUnixMs);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_WAVE_H
