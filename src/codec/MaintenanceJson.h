#ifndef COMFREYDECK_CODEC_MAINTENANCEJSON_H
#define COMFREYDECK_CODEC_MAINTENANCEJSON_H

#include "core/Wave.h"

#include <string_view>

/// Rows of the budgets and of the maintenance waves.
namespace comfreydeck::codec {

/// A pool's row of the table of budgets.
struct LedgerRow {
  core::BudgetLedger Ledger;
  /// The change that wrote the row, by which a lost answer is read back.
  std::string Change;
};

/// How far one pool is with one wave.
struct WavePoolRow {
  core::WaveId Wave;
  core::PoolId Pool;
  core::WaveProgress Progress;
  core::WaveHold Hold = core::WaveHold::None;
  /// Why it is held, in words.
  std::string Why;

  bool operator==(const WavePoolRow &) const = default;
};

/// Each parse function throws CodecError. All are thread-safe.
std::string toJson(const LedgerRow &Row);
LedgerRow parseLedgerRow(std::string_view Text);
std::string toJson(const core::Wave &W);
core::Wave parseWave(std::string_view Text);
std::string toJson(const WavePoolRow &Row);
WavePoolRow parseWavePoolRow(std::string_view Text);

/// Names in rows and answers; reading one throws CodecError. Thread-safe.
const char *nameOf(core::WaveState State);
const char *nameOf(core::WaveHold Hold);
const char *nameOf(core::WaveScope Scope);
core::WaveScope parseWaveScope(std::string_view Text);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_MAINTENANCEJSON_H
