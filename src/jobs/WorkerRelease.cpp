#include "jobs/WorkerRelease.h"

#include "jobs/PoolState.h"

#include <algorithm>

namespace comfreydeck::jobs {

namespace {

/// A later owner waits longer than needed by up to this much.
constexpr std::chrono::milliseconds ReleaseNoteStep(1000);

} // namespace

ReleaseState PoolState::releaseWorker(const std::string &Id,
                                      const ReleaseRequest &Request,
                                      core::TimePoint Now) {
  if (!isDrained(Id))
    return ReleaseState::Refused;
  WorkerState &W = *Workers_.at(Id);
  WorkerRelease &Release = W.Release;
  if (!Release.AskedAt) {
    Release = {};
    Release.FleetToken = Request.FleetToken;
    W.Closed = true;
    Outbox_.enrol(Id);
    Events_.Releases.push_back(
        {ReleaseChange::Kind::Released, Id, Request.FleetToken});
  }
  if (Release.FleetToken != Request.FleetToken)
    Release.FleetToken = 0;
  Release.Request = std::max(Release.Request, Request.Number);
  if (Now > Release.AskedAt.value_or(Now) &&
      Release.Noted > Release.Noted.zero()) {
    // A later owner would take the worker back too soon.
    Release.Noted = core::Duration::zero();
    Release.Stored = false;
    Outbox_.enrol(Id);
  }
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

/// Takes released workers back whose machines were not taken away in time, and
/// has stored how much of that time has passed.
void PoolState::expireReleases(core::TimePoint Now) {
  for (auto &[Id, W] : Workers_) {
    WorkerRelease &Release = W->Release;
    if (!Release.AskedAt || W->Ended)
      continue;
    core::Duration Waited = Now - *Release.AskedAt;
    if (Waited > Limits_.LateOrder) {
      takeBack(*W, ReleaseChange::Kind::Expired);
    } else if (Release.Stored && Waited - Release.Noted >= ReleaseNoteStep) {
      Release.Noted = Waited;
      Outbox_.enrol(Id);
    }
  }
}

} // namespace comfreydeck::jobs
