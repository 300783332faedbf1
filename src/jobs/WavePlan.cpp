#include "jobs/WavePlan.h"

#include <algorithm>
#include <cmath>

namespace comfreydeck::jobs {

namespace {

/// Share of the remaining time to plan for; the rest is reserve for delays.
constexpr double PlannedShare = 0.7;
/// Share of a pool that may be out of service at once while time permits.
constexpr double PoolShare = 0.25;

/// Number of machines to process at once to finish the wave in time.
std::uint32_t requiredConcurrency(std::size_t Remaining,
                                  const WaveBounds &Bounds) {
  double Left = static_cast<double>(Bounds.Left.count()) * PlannedShare;
  double Each = static_cast<double>(Bounds.PerMachine.count());
  if (Left <= Each)
    return Bounds.MaxAtOnce;
  double Wanted = std::ceil(static_cast<double>(Remaining) * Each / Left);
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(Wanted), 1,
                                   Bounds.MaxAtOnce);
}

} // namespace

WaveStep planWave(std::span<const WaveMachine> Machines,
                  const WaveBounds &Bounds) {
  WaveStep Step;
  std::uint32_t Down = 0;
  std::uint32_t InProgress = 0;
  std::size_t Remaining = 0;
  std::map<std::string, std::uint32_t> Out;
  for (const WaveMachine &M : Machines) {
    Remaining += M.Done ? 0 : 1;
    Down += M.Down ? 1 : 0;
    InProgress += M.Down || M.Closing ? 1 : 0;
    Out[M.Pool] += M.Down || M.Closing ? 1 : 0;
  }
  for (const WaveMachine &M : Machines) {
    bool Ready = M.Worker.empty() || (M.Closing && M.Clear);
    if (M.Done || M.Down || !M.Up || !Ready || Down >= Bounds.MaxAtOnce)
      continue;
    Step.Maintain.push_back(M.Id);
    ++Down;
  }
  std::uint32_t Wanted = requiredConcurrency(Remaining, Bounds);
  // First pass: limit each pool to its share. Second pass: ignore the shares.
  for (bool Even : {true, false}) {
    for (const WaveMachine &M : Machines) {
      bool Free = !M.Done && !M.Down && !M.Closing && M.Up && !M.Worker.empty();
      if (!Free || InProgress >= Wanted)
        continue;
      auto Size = Bounds.PoolWorkers.find(M.Pool);
      double Share =
          Size == Bounds.PoolWorkers.end() ? 1 : Size->second * PoolShare;
      if (Even && Out[M.Pool] >= std::max(Share, 1.0))
        continue;
      bool Chosen = std::find(Step.Close.begin(), Step.Close.end(), M.Worker) !=
                    Step.Close.end();
      if (Chosen)
        continue;
      Step.Close.push_back(M.Worker);
      ++Out[M.Pool];
      ++InProgress;
    }
  }
  return Step;
}

} // namespace comfreydeck::jobs
