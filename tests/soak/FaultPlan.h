#ifndef COMFREYDECK_TESTS_SOAK_FAULTPLAN_H
#define COMFREYDECK_TESTS_SOAK_FAULTPLAN_H

#include "core/Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace comfreydeck::soak {

enum class FaultKind : std::uint8_t {
  // Signals to an entry.
  Kill,
  Terminate,
  Pause,
  Reload,
  KillAll,
  // The connections between an entry and the store.
  StoreLinkDelay,
  StoreLinkHoldRequests,
  StoreLinkHoldResponses,
  StoreLinkSilence,
  StoreLinkReset,
  StoreLinkSilenceOpen,
  // The connections between the entries and a worker.
  WorkerLinkDelay,
  WorkerLinkHoldRequests,
  WorkerLinkHoldResponses,
  WorkerLinkSilence,
  WorkerLinkReset,
  WorkerLinkSilenceOpen,
  // A worker.
  WorkerCrash,
  WorkerCrashNewId,
  WorkerRowLapses,
  WorkerAppliesLate,
  // The store.
  StoreFails,
  StoreLosesAnswers,
  StoreAppliesLate,
  StoreForgetsHistory,
  // The operators.
  ConfigChange,
  Count
};

/// One fault. Durations are zero for faults that are over at once.
struct Fault {
  core::Duration At{0};
  core::Duration Lasts{0};
  FaultKind Kind = FaultKind::Kill;
  /// Index of the affected entry or worker.
  std::size_t Target = 0;
};

const char *nameOf(FaultKind Kind);

struct FaultPlanSize {
  std::size_t Entries = 0;
  std::size_t Workers = 0;
  core::Duration Span{0};
};

/// Draws faults over the span, in order of their times. The plan depends on the
/// arguments only. \p Kinds limits the kinds that are drawn, where empty means
/// all; those in \p Without are not drawn. Throws std::invalid_argument on an
/// unknown kind.
std::vector<Fault> drawFaults(std::uint64_t Seed, const FaultPlanSize &Size,
                              const std::vector<std::string> &Kinds,
                              const std::vector<std::string> &Without);

} // namespace comfreydeck::soak

#endif // COMFREYDECK_TESTS_SOAK_FAULTPLAN_H
