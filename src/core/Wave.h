#ifndef COMFREYDECK_CORE_WAVE_H
#define COMFREYDECK_CORE_WAVE_H

#include "core/Budget.h"

#include <vector>

/// Maintenance waves: drain and reboot every instance of the fleet or of one
/// pool, rack or data centre, as many at a time as the budgets allow.
namespace comfreydeck::core {

/// The set of instances that a wave covers.
enum class WaveScope : std::uint8_t { All, Pool, Rack, DataCentre };

enum class WaveState : std::uint8_t { Running, Paused, Cancelled, Done };

/// A wave's row. Progress is stored in the instances' rows, so that a wave can
/// resume from the rows alone after any process fails.
struct Wave {
  WaveId Id;
  WaveScope Scope = WaveScope::All;
  /// Name of the pool, rack or data centre.
  std::string Name;
  WaveState State = WaveState::Running;
  /// Name of the operator who started it.
  std::string By;
  /// Reason for the current state, shown to the operator.
  std::string Why;
  std::int64_t StartedUnixMs = 0;
  /// Failures up to this time have been acknowledged by an operator's resume.
  std::int64_t FailuresAfterUnixMs = 0;
};

enum class WaveCommand : std::uint8_t { Pause, Resume, Cancel, Finish };

/// The state after \p Command; empty if the command is not valid in \p From.
/// Thread-safe.
std::optional<WaveState> next(WaveState From, WaveCommand Command);

/// Whether the wave covers \p I, whose pool is named \p PoolName. Thread-safe.
bool covers(const Wave &W, const Instance &I, std::string_view PoolName);

/// Whether \p I has completed this wave or a later one. Thread-safe.
bool isDone(const Wave &W, const Instance &I);

/// Progress of a wave over a set of instances.
struct WaveProgress {
  std::uint32_t Total = 0;
  std::uint32_t Done = 0;
  /// Draining, empty, rebooting or warming up for this wave.
  std::uint32_t Active = 0;
  /// Those of Done that are still warming up.
  std::uint32_t Warming = 0;
  std::uint32_t Failed = 0;

  bool isComplete() const { return Done == Total && Active == 0; }
  bool operator==(const WaveProgress &) const = default;
};

/// Counts \p Members, which the wave covers. Thread-safe.
WaveProgress progressOf(const Wave &W, std::span<const BudgetMember> Members);

/// Estimated time to completion at the rate so far, in milliseconds; empty if
/// no instance is done yet. Thread-safe.
std::optional<std::int64_t> remainingMs(const Wave &W, const WaveProgress &P,
                                        std::int64_t NowUnixMs);

/// Reason why a wave drains no further instance of a pool.
enum class WaveHold : std::uint8_t {
  None,
  Complete,
  /// The first instance (the canary) is not serving again yet.
  Canary,
  /// Too many failures in the wave: an operator has to intervene.
  Failures,
  /// The budgets allow no further drain for now.
  Budget,
  NotRunning,
};

/// The next step of a wave in one pool.
struct WaveStep {
  /// Instances to drain, in this order.
  std::vector<WorkerId> Drain;
  WaveHold Hold = WaveHold::None;
  /// The last refused permit.
  Permit Refusal;
};

/// A wave is paused when its failures in a pool exceed this percentage of the
/// instances done, and also \ref MinToleratedWaveFailures.
constexpr std::uint32_t ToleratedWaveFailurePercent = 2;
constexpr std::uint32_t MinToleratedWaveFailures = 1;

/// Chooses the instances to drain next, as many as the budgets allow, and adds
/// them to \p Table. The first instance of a pool goes alone, as a canary; the
/// others follow by data centre, the one with the most remaining instances
/// first, and by rack. \p Members are the instances of one pool that the wave
/// covers. Thread-safe.
WaveStep stepWave(const Wave &W, const Pool &Limits,
                  std::span<const BudgetMember> Members, AbsenceTable &Table);

/// Interval of each instance's regular maintenance, without waves.
constexpr std::int64_t MaintenanceIntervalMs = 14LL * 24 * 60 * 60 * 1000;

/// The instances of a pool that the regular schedule drains now, those with the
/// oldest maintenance first. They go one at a time, spread evenly over three
/// quarters of the interval; in addition, instances past nine tenths of the
/// interval go as fast as the budgets allow. Adds them to \p Table.
/// Thread-safe.
std::vector<WorkerId> dueForMaintenance(const Pool &Limits,
                                        std::span<const BudgetMember> Members,
                                        AbsenceTable &Table,
                                        std::int64_t IntervalMs,
                                        std::int64_t NowUnixMs);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_WAVE_H
