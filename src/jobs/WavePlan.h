#ifndef COMFREYDECK_JOBS_WAVEPLAN_H
#define COMFREYDECK_JOBS_WAVEPLAN_H

#include "core/Types.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

/// Which machines of a maintenance wave are emptied and taken down next.
namespace comfreydeck::jobs {

/// One machine of a wave.
struct WaveMachine {
  std::string Id;
  std::string Pool;
  /// Its worker; empty: none, so that nothing has to be emptied.
  std::string Worker;
  bool Up = false;
  /// Its maintenance has begun, or it is gone for good.
  bool Done = false;
  /// Down for its maintenance, or ordered to be.
  bool Down = false;
  /// Its worker gets nothing new.
  bool Closing = false;
  /// Its worker runs nothing that matters.
  bool Clear = false;
};

struct WaveBounds {
  /// Most machines down at once.
  std::uint32_t MaxAtOnce = 1;
  core::Duration Left{0};
  /// Expected time to empty a machine and to maintain it.
  core::Duration PerMachine = std::chrono::milliseconds(4500);
  /// Workers of each pool, for the share that may be out at once.
  std::map<std::string, std::uint32_t> PoolWorkers;
};

struct WaveStep {
  /// Workers to close now.
  std::vector<std::string> Close;
  /// Machines to take down now.
  std::vector<std::string> Maintain;
};

/// Takes as few machines out at once as still ends the wave in time, never more
/// than allowed. \p Machines hold the machines by a fixed order. Thread-safe.
WaveStep planWave(std::span<const WaveMachine> Machines,
                  const WaveBounds &Bounds);

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_WAVEPLAN_H
