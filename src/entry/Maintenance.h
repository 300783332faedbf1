#ifndef COMFREYDECK_ENTRY_MAINTENANCE_H
#define COMFREYDECK_ENTRY_MAINTENANCE_H

#include "codec/MaintenanceJson.h"
#include "entry/PoolService.h"
#include "entry/PoolWriter.h"

namespace comfreydeck::entry {

constexpr const char *WaveTable = "waves";
constexpr const char *WaveProgressTable = "wave-progress";

/// Rows' keys; waves come in the order of their numbers. Thread-safe.
std::string waveKey(core::WaveId Wave);
std::string waveProgressKey(core::WaveId Wave, core::PoolId Pool);

/// What came of an operator's wish.
enum class WishOutcome : std::uint8_t {
  Done,
  /// Recorded; it takes its time.
  Accepted,
  /// The budget or the state refuses; nothing was written.
  Refused,
  NotFound,
  /// Another entry owns the pool by now.
  NotOwner,
  StoreAway,
  Unknown,
};

struct WishAnswer {
  WishOutcome Outcome = WishOutcome::Done;
  std::string Message;
};

/// Drains, reboots, moves and waves in the pools that this entry owns. On the
/// control thread only.
class Maintenance {
public:
  using Callback = std::function<void(WishAnswer)>;

  /// The parts must outlive this one.
  Maintenance(const Context &C, Membership &Members, ConfigStore &Config,
              Fleet &Workers, PoolService &Pools);

  /// Takes every owned pool one step on; to be called after each reading of the
  /// rows.
  void step();

  /// Drains an instance of an owned pool.
  void drain(const core::DrainRequest &Wish, Callback Done);

  /// Puts an instance of an owned pool back into service.
  void giveBack(core::WorkerId Id, Callback Done);

  /// Makes the row of a listed worker that has none, in an owned pool.
  void place(const std::string &Name, core::PoolId Pool, Callback Done);

  /// The waves as last read.
  const std::map<core::WaveId, core::Wave> &waves() const { return Waves_; }

  /// The owned pool as it counts now; nothing where it is not owned here or not
  /// read yet.
  std::optional<core::PoolSnapshot> snapshotOf(core::PoolId Pool) const;

private:
  void readWaves();
  void onWaves(const store::ScanResult &Result);
  void stepPool(const core::Pool &P);
  void sendReboots(const core::PoolSnapshot &S);
  void sendReboot(const core::PoolInstance &I);
  bool adoptListed(const core::Pool &Spare);
  void noteWaves(core::PoolId Pool, std::span<const core::WavePart> Parts);
  void pauseWave(const core::WavePart &Part, core::PoolId Pool);
  void finishWaves();
  void onWaveProgress(core::WaveId Wave, const store::ScanResult &Result);
  void writeWave(core::Wave W);
  void tryDrain(const core::DrainRequest &Wish, int TriesLeft, Callback Done);
  void tryReturn(core::WorkerId Id, int TriesLeft, Callback Done);
  void tryPlace(const store::ListedInstance &Item, core::PoolId Pool,
                int TriesLeft, Callback Done);
  void write(core::PoolId Pool, const core::PoolPlan &Plan,
             std::function<void()> Again, Callback Done);
  bool isReady(core::PoolId Pool) const;
  core::Instance instanceFrom(const store::ListedInstance &Item,
                              core::PoolId Pool, core::InstanceState S) const;

  Context Context_;
  Membership &Members_;
  ConfigStore &Config_;
  Fleet &Workers_;
  PoolService &Pools_;
  PoolWriter Writer_;
  std::map<core::WaveId, core::Wave> Waves_;
  std::map<core::WaveId, std::uint64_t> WaveVersions_;
  std::map<std::pair<core::WaveId, core::PoolId>, codec::WavePoolRow> Noted_;
  bool ReadingWaves_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_MAINTENANCE_H
