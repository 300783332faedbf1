#ifndef COMFREYDECK_TESTS_SOAK_SOAK_H
#define COMFREYDECK_TESTS_SOAK_SOAK_H

#include "soak/FaultPlan.h"
#include "soak/Ledger.h"

#include <string>
#include <vector>

namespace comfreydeck::soak {

struct SoakOptions {
  std::string Program;
  /// For the settings and logs of the entries; must exist.
  std::string Directory;
  std::uint64_t Seed = 1;
  std::size_t Entries = 3;
  std::size_t Workers = 4;
  /// Time in which faults are injected.
  core::Duration Span = std::chrono::seconds(12);
  /// Kinds of faults to draw; empty: all.
  std::vector<std::string> Kinds;
  /// Kinds of faults that are not drawn.
  std::vector<std::string> Without;
  /// See \ref ReportDraws.
  bool TornReports = false;
  bool TornAgain = false;
  bool ShuffledEnds = false;
};

struct SoakResult {
  LedgerCounts Counts;
  std::size_t Faults = 0;
  /// Highest memory of all entries together, in bytes.
  std::size_t ResidentBytes = 0;
  std::vector<std::string> Breaches;
};

/// Runs the program under the faults of one seed, waits until the accepted jobs
/// are completed, and returns what was seen. Throws std::runtime_error if the
/// stand-ins or the entries can't be started.
SoakResult runSoak(const SoakOptions &Options);

} // namespace comfreydeck::soak

#endif // COMFREYDECK_TESTS_SOAK_SOAK_H
