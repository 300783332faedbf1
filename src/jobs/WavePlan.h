#ifndef COMFREYDECK_JOBS_WAVEPLAN_H
#define COMFREYDECK_JOBS_WAVEPLAN_H

#include "core/Types.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

/// Selects the machines of a maintenance wave to drain and take down next.
namespace comfreydeck::jobs {

/// One machine of a wave.
struct WaveMachine {
  std::string Id;
  std::string Pool;
  /// Its worker; empty if there is none, so that nothing has to be drained.
  std::string Worker;
  bool Up = false;
  /// Its maintenance has begun, or it was permanently removed.
  bool Done = false;
  /// Down for maintenance, or ordered to go down.
  bool Down = false;
  /// Its worker is closed: it gets no new runs.
  bool Closing = false;
  /// Its worker is drained, see PoolState::isDrained.
  bool Clear = false;
};

struct WaveBounds {
  /// Maximum number of machines down at once.
  std::uint32_t MaxAtOnce = 1;
  /// Time until the end of the wave.
  core::Duration Left{0};
  /// Expected time to drain and maintain one machine.
  core::Duration PerMachine = std::chrono::milliseconds(4500);
  /// Number of workers by pool, to compute the share that may be out at once.
  std::map<std::string, std::uint32_t> PoolWorkers;
};

struct WaveStep {
  /// Workers to close now.
  std::vector<std::string> Close;
  /// Machines to take down now.
  std::vector<std::string> Maintain;
};

/// Takes out as few machines at once as will finish the wave in time, never
/// more than allowed. \p Machines must be in the same order in each call.
/// Thread-safe.
WaveStep planWave(std::span<const WaveMachine> Machines,
                  const WaveBounds &Bounds);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_WAVEPLAN_H
