#ifndef COMFREYDECK_CODEC_MAINTENANCEJSON_H
#define COMFREYDECK_CODEC_MAINTENANCEJSON_H

#include "core/Wave.h"

#include <string_view>

/// Rows of maintenance budgets and waves as JSON text.
namespace comfreydeck::codec {

/// A pool's row in the table of budgets.
struct LedgerRow {
  core::BudgetLedger Ledger;
  /// Id of the change that wrote the row. A writer whose response was lost
  /// reads it back to see whether the change was stored.
  std::string Change;
};

/// Progress of one wave in one pool.
struct WavePoolRow {
  core::WaveId Wave;
  core::PoolId Pool;
  core::WaveProgress Progress;
  core::WaveHold Hold = core::WaveHold::None;
  /// Reason for the hold, for operators to read.
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

/// Names in rows and responses. parseWaveScope throws CodecError on an unknown
/// one. Thread-safe.
const char *nameOf(core::WaveState State);
const char *nameOf(core::WaveHold Hold);
const char *nameOf(core::WaveScope Scope);
core::WaveScope parseWaveScope(std::string_view Text);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_MAINTENANCEJSON_H
