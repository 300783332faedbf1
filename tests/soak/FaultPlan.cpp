#include "soak/FaultPlan.h"

#include <algorithm>
#include <array>
#include <random>
#include <stdexcept>

namespace comfreydeck::soak {

using std::chrono::milliseconds;

namespace {

constexpr auto KindCount = static_cast<std::size_t>(FaultKind::Count);
constexpr std::array<const char *, KindCount> KindNames = {
    "kill",
    "terminate",
    "pause",
    "reload",
    "kill-all",
    "store-link-delay",
    "store-link-hold-requests",
    "store-link-hold-responses",
    "store-link-silence",
    "store-link-reset",
    "store-link-silence-open",
    "worker-link-delay",
    "worker-link-hold-requests",
    "worker-link-hold-responses",
    "worker-link-silence",
    "worker-link-reset",
    "worker-link-silence-open",
    "worker-crash",
    "worker-crash-new-id",
    "worker-row-lapses",
    "worker-applies-late",
    "store-fails",
    "store-loses-answers",
    "store-applies-late",
    "store-forgets-history",
    "config-change"};

bool targetsWorker(FaultKind Kind) {
  return Kind >= FaultKind::WorkerLinkDelay &&
         Kind <= FaultKind::WorkerAppliesLate;
}

/// Whether the fault is over as soon as it is brought about.
bool isInstant(FaultKind Kind) {
  switch (Kind) {
  case FaultKind::Kill:
  case FaultKind::Terminate:
  case FaultKind::Reload:
  case FaultKind::KillAll:
  case FaultKind::StoreLinkReset:
  case FaultKind::StoreLinkSilenceOpen:
  case FaultKind::WorkerLinkReset:
  case FaultKind::WorkerLinkSilenceOpen:
  case FaultKind::StoreForgetsHistory:
  case FaultKind::ConfigChange:
    return true;
  default:
    return false;
  }
}

FaultKind kindOf(const std::string &Name) {
  auto It = std::find(KindNames.begin(), KindNames.end(), Name);
  if (It == KindNames.end())
    throw std::invalid_argument("unknown kind of fault " + Name);
  return static_cast<FaultKind>(It - KindNames.begin());
}

} // namespace

const char *nameOf(FaultKind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)];
}

std::vector<Fault> drawFaults(std::uint64_t Seed, const FaultPlanSize &Size,
                              const std::vector<std::string> &Kinds,
                              const std::vector<std::string> &Without) {
  // The generator's own numbers are used, since the distributions of the
  // standard library differ between systems.
  std::mt19937_64 Random(Seed);
  auto Between = [&Random](milliseconds Low, milliseconds High) {
    auto Span = static_cast<std::uint64_t>((High - Low).count());
    return Low + milliseconds(static_cast<std::int64_t>(Random() % Span));
  };
  std::vector<FaultKind> Drawn;
  Drawn.reserve(KindCount);
  for (const std::string &Name : Kinds)
    Drawn.push_back(kindOf(Name));
  for (std::size_t N = 0; Kinds.empty() && N < KindCount; ++N)
    Drawn.push_back(static_cast<FaultKind>(N));
  for (const std::string &Name : Without)
    std::erase(Drawn, kindOf(Name));
  std::vector<Fault> Plan;
  core::Duration At = milliseconds(500);
  while (At < Size.Span) {
    Fault F;
    F.At = At;
    F.Kind = Drawn[Random() % Drawn.size()];
    F.Target = Random() % (targetsWorker(F.Kind) ? Size.Workers : Size.Entries);
    if (!isInstant(F.Kind))
      F.Lasts = Between(milliseconds(200), milliseconds(6000));
    Plan.push_back(F);
    // Short gaps make series of faults that overlap, long ones let them end.
    bool InSeries = Random() % 3 != 0;
    At += InSeries ? Between(milliseconds(20), milliseconds(500))
                   : Between(milliseconds(500), milliseconds(2500));
  }
  return Plan;
}

} // namespace comfreydeck::soak
