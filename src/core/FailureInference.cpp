#include "core/FailureInference.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

Inference inferOne(const InstanceSignals &S, const InferenceLimits &Limits) {
  if (S.Listed == ListedAs::Leaving)
    return Inference::Leaving;
  if (S.Silent <= Limits.SuspectAfter)
    return Inference::Healthy;
  bool Missing = S.Listed == ListedAs::Missing &&
                 S.ListedFor >= Limits.FailedAfter &&
                 S.Silent >= Limits.FailedAfter;
  if (Missing || S.Silent >= Limits.FailedAlone)
    return Inference::Failed;
  return Inference::Suspect;
}

} // namespace

std::vector<Inference> inferPool(std::span<const InstanceSignals> Signals,
                                 const InferenceLimits &Limits) {
  std::vector<Inference> Result;
  std::vector<std::size_t> Gone;
  std::size_t Failed = 0;
  for (std::size_t I = 0; I < Signals.size(); ++I) {
    Result.push_back(inferOne(Signals[I], Limits));
    Failed += Signals[I].Failed ? 1 : 0;
    if (Result[I] == Inference::Failed && !Signals[I].Failed)
      Gone.push_back(I);
  }
  std::sort(Gone.begin(), Gone.end(), [&](std::size_t A, std::size_t B) {
    return Signals[A].Silent > Signals[B].Silent;
  });
  std::size_t Cap =
      std::max<std::size_t>(1, Signals.size() * Limits.FailedPerHundred / 100);
  std::size_t Room = Cap > Failed ? Cap - Failed : 0;
  for (std::size_t I = Room; I < Gone.size(); ++I)
    Result[Gone[I]] = Inference::Suspect;
  return Result;
}

} // namespace comfreydeck::core
