#include "jobs/WorkerRelease.h"

#include "jobs/PoolState.h"

#include <algorithm>

namespace comfreydeck::jobs {

ReleaseState PoolState::releaseWorker(const std::string &Id,
                                      const ReleaseRequest &Request,
                                      core::TimePoint Now) {
  if (!isDrained(Id))
    return ReleaseState::Refused;
  WorkerState &W = *Workers_.at(Id);
  WorkerRelease &Release = W.Release;
  if (!Release.AskedAt) {
    Release = {std::nullopt, false, Request.FleetToken, 0};
    W.Closed = true;
    Outbox_.enrol(Id);
    Events_.Releases.push_back(
        {ReleaseChange::Kind::Released, Id, Request.FleetToken});
  }
  if (Release.FleetToken != Request.FleetToken)
    Release.FleetToken = 0;
  Release.Request = std::max(Release.Request, Request.Number);
  Release.AskedAt = std::max(Release.AskedAt.value_or(Now), Now);
  return Release.Stored ? ReleaseState::Released : ReleaseState::Pending;
}

void PoolState::takeBackWorker(const std::string &Id,
                               const ReleaseRequest &Request) {
  auto At = Workers_.find(Id);
  if (At == Workers_.end() || !At->second->Release.AskedAt)
    return;
  const WorkerRelease &Release = At->second->Release;
  if (Request.FleetToken != 0 && Release.FleetToken == Request.FleetToken &&
      Request.Number >= Release.Request)
    takeBack(*At->second, ReleaseChange::Kind::TakenBack);
}

void PoolState::takeBack(WorkerState &W, ReleaseChange::Kind Why) {
  Events_.Releases.push_back({Why, W.Entry.Id, W.Release.FleetToken});
  W.Release = {};
  W.Closed = false;
  Outbox_.enrol(W.Entry.Id);
}

/// Takes released workers back whose machines were not taken away in time.
void PoolState::expireReleases(core::TimePoint Now) {
  for (auto &[Id, W] : Workers_)
    if (W->Release.AskedAt && !W->Ended &&
        Now - *W->Release.AskedAt > Limits_.LateOrder)
      takeBack(*W, ReleaseChange::Kind::Expired);
}

} // namespace comfreydeck::jobs
