#ifndef COMFREYDECK_ENTRY_MAINTENANCE_H
#define COMFREYDECK_ENTRY_MAINTENANCE_H

#include "codec/MaintenanceJson.h"
#include "entry/PoolService.h"
#include "entry/PoolWriter.h"

namespace comfreydeck::entry {

constexpr const char *WaveTable = "waves";
constexpr const char *WaveProgressTable = "wave-progress";

/// Row keys; their order is the order of wave numbers. Thread-safe.
std::string waveKey(core::WaveId Wave);
std::string waveProgressKey(core::WaveId Wave, core::PoolId Pool);

/// The outcome of an operator's request.
enum class OperationOutcome : std::uint8_t {
  Done,
  /// Recorded; completes later.
  Accepted,
  /// Refused because of the budget or the state; nothing was written.
  Refused,
  NotFound,
  /// This entry does not own the pool.
  NotOwner,
  StoreUnavailable,
  Unknown,
};

struct OperationAnswer {
  OperationOutcome Outcome = OperationOutcome::Done;
  std::string Message;
};

/// Drains, reboots, moves and waves in the pools that this entry owns. Control
/// thread only.
class Maintenance {
public:
  using Callback = std::function<void(OperationAnswer)>;

  /// The arguments must outlive this object.
  Maintenance(const Context &C, Membership &Members, ConfigStore &Config,
              Fleet &Workers, PoolService &Pools);

  /// Advances every owned pool by one step. Call after each complete read of
  /// the rows.
  void step();

  /// Drains an instance of an owned pool.
  void drain(const core::DrainRequest &Request, Callback Done);

  /// Puts an instance of an owned pool back into service.
  void returnToService(core::WorkerId Id, Callback Done);

  /// Creates the row of a listed worker that has none, in an owned pool.
  void place(const std::string &Name, core::PoolId Pool, Callback Done);

  /// The waves as last read.
  const std::map<core::WaveId, core::Wave> &waves() const { return Waves_; }

  /// The current state of an owned pool; nullopt if this entry does not own it
  /// or has not read it yet.
  std::optional<core::PoolSnapshot> snapshotOf(core::PoolId Pool) const;

private:
  void readWaves();
  void onWaves(const store::ScanResult &Result);
  void stepPool(const core::Pool &P);
  void sendReboots(const core::PoolSnapshot &S);
  void sendReboot(const core::PoolInstance &I);
  bool adoptListed(const core::Pool &Spare);
  void recordWaveProgress(core::PoolId Pool,
                          std::span<const core::WavePart> Parts);
  void pauseWave(const core::WavePart &Part, core::PoolId Pool);
  void finishWaves();
  void onWaveProgress(core::WaveId Wave, const store::ScanResult &Result);
  void writeWave(core::Wave W);
  void tryDrain(const core::DrainRequest &Request, int TriesLeft,
                Callback Done);
  void tryReturn(core::WorkerId Id, int TriesLeft, Callback Done);
  void tryPlace(const store::ListedInstance &Item, core::PoolId Pool,
                int TriesLeft, Callback Done);
  void write(core::PoolId Pool, const core::PoolPlan &Plan,
             std::function<void()> Retry, Callback Done);
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
  std::map<std::pair<core::WaveId, core::PoolId>, codec::WavePoolRow>
      WaveProgress_;
  bool ReadingWaves_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_MAINTENANCE_H
