#include "core/FailureInference.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

InferredHealth inferOne(const InstanceSignals &S,
                        const InferenceLimits &Limits) {
  if (S.Listed == ListedStatus::Leaving)
    return InferredHealth::Leaving;
  if (S.Silent <= Limits.SuspectAfter)
    return InferredHealth::Healthy;
  bool Missing = S.Listed == ListedStatus::Missing &&
                 S.ListedFor >= Limits.FailedAfter &&
                 S.Silent >= Limits.FailedAfter;
  if (Missing || S.Silent >= Limits.FailedBySilenceAfter)
    return InferredHealth::Failed;
  return InferredHealth::Suspect;
}

} // namespace

std::vector<InferredHealth> inferPool(std::span<const InstanceSignals> Signals,
                                      const InferenceLimits &Limits) {
  std::vector<InferredHealth> Result;
  std::vector<std::size_t> NewlyFailed;
  std::size_t Failed = 0;
  for (std::size_t I = 0; I < Signals.size(); ++I) {
    Result.push_back(inferOne(Signals[I], Limits));
    Failed += Signals[I].Failed ? 1 : 0;
    if (Result[I] == InferredHealth::Failed && !Signals[I].Failed)
      NewlyFailed.push_back(I);
  }
  std::sort(NewlyFailed.begin(), NewlyFailed.end(),
            [&](std::size_t A, std::size_t B) {
              return Signals[A].Silent > Signals[B].Silent;
            });
  std::size_t Cap =
      std::max<std::size_t>(1, Signals.size() * Limits.MaxFailedPercent / 100);
  std::size_t Room = Cap > Failed ? Cap - Failed : 0;
  for (std::size_t I = Room; I < NewlyFailed.size(); ++I)
    Result[NewlyFailed[I]] = InferredHealth::Suspect;
  return Result;
}

} // namespace comfreydeck::core
