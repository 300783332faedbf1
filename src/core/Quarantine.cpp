#include "core/Quarantine.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

/// Time after which a probe that never finishes no longer delays the next one.
constexpr Duration ProbeLimit = std::chrono::minutes(1);

double peerFailureRate(const Quarantine &Q, WorkerId Except) {
  double Finished = 0;
  double Failures = 0;
  for (const auto &[Id, Health] : Q.Workers) {
    if (Id == Except || Health.Quarantined)
      continue;
    Finished += Health.Finished;
    Failures += Health.Failures;
  }
  return Finished > 0 ? Failures / Finished : 0;
}

bool failsMoreThanPeers(const Quarantine &Q, WorkerId Id) {
  const WorkerHealth &Health = Q.Workers.at(Id);
  if (Health.Finished < Q.Policy.MinFinished)
    return false;
  double Own = Health.Failures / Health.Finished;
  return Own > peerFailureRate(Q, Id) + Q.Policy.ExcessFailureRate;
}

bool hasRoom(const Quarantine &Q, std::size_t PoolSize) {
  auto Out = std::count_if(Q.Workers.begin(), Q.Workers.end(),
                           [](const auto &W) { return W.second.Quarantined; });
  auto Most = static_cast<std::int64_t>(static_cast<double>(PoolSize) *
                                        Q.Policy.MaxQuarantinedFraction);
  return Out < std::max<std::int64_t>(Most, 1) &&
         Out + 1 < static_cast<std::int64_t>(PoolSize);
}

Duration backoff(const QuarantinePolicy &Policy, std::uint32_t FailedProbes) {
  Duration Wait = Policy.FirstBackoff;
  for (std::uint32_t N = 0; N < FailedProbes; ++N)
    Wait = std::min(Wait * 2, Policy.LongestBackoff);
  return Wait;
}

void endProbe(Quarantine &Q, WorkerHealth &Health, bool Failed, TimePoint Now) {
  if (!Failed) {
    Health = {};
    return;
  }
  Health.Probing = false;
  ++Health.FailedProbes;
  Health.ProbeAt = Now + backoff(Q.Policy, Health.FailedProbes);
}

} // namespace

void recordFinished(Quarantine &Q, WorkerId Worker, bool Failed,
                    std::size_t PoolSize, TimePoint Now) {
  WorkerHealth &Health = Q.Workers[Worker];
  if (Health.Quarantined) {
    // Tasks granted before the quarantine still finish; only a probe's result
    // counts.
    if (Health.Probing)
      endProbe(Q, Health, Failed, Now);
    return;
  }
  Health.Finished = Health.Finished * Q.Policy.Decay + 1;
  Health.Failures = Health.Failures * Q.Policy.Decay + (Failed ? 1 : 0);
  if (!failsMoreThanPeers(Q, Worker) || !hasRoom(Q, PoolSize))
    return;
  Health.Quarantined = true;
  Health.ProbeAt = Now + backoff(Q.Policy, 0);
}

bool mayStart(const Quarantine &Q, WorkerId Worker, TimePoint Now) {
  auto It = Q.Workers.find(Worker);
  if (It == Q.Workers.end() || !It->second.Quarantined)
    return true;
  return Now >= It->second.ProbeAt;
}

void recordStart(Quarantine &Q, WorkerId Worker, TimePoint Now) {
  auto It = Q.Workers.find(Worker);
  if (It == Q.Workers.end() || !It->second.Quarantined)
    return;
  It->second.Probing = true;
  It->second.ProbeAt = Now + ProbeLimit;
}

} // namespace comfreydeck::core
