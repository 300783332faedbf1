#include "core/Admission.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

void dropOld(WaitWindow &Waits, TimePoint Now, const AdmissionPolicy &Policy) {
  while (!Waits.Samples.empty() &&
         Waits.Samples.front().At + Policy.Window < Now)
    Waits.Samples.pop_front();
}

} // namespace

void recordWait(WaitWindow &Waits, Duration Waited, TimePoint Now,
                const AdmissionPolicy &Policy) {
  dropOld(Waits, Now, Policy);
  Waits.Samples.push_back({Now, Waited});
  if (Waits.Samples.size() > Policy.MaxSamples)
    Waits.Samples.pop_front();
}

Duration retryDelayIfUnreachable(WaitWindow &Waits, Duration Left, Duration Run,
                                 TimePoint Now, const AdmissionPolicy &Policy) {
  if (Run >= Left)
    return Run;
  dropOld(Waits, Now, Policy);
  if (Waits.Samples.size() < Policy.MinSamples)
    return Duration(0);
  auto Shortest = std::min_element(
      Waits.Samples.begin(), Waits.Samples.end(),
      [](const auto &A, const auto &B) { return A.Waited < B.Waited; });
  bool CanBeMet = Shortest->Waited + Run < Left;
  return CanBeMet ? Duration(0) : Shortest->Waited;
}

} // namespace comfreydeck::core
