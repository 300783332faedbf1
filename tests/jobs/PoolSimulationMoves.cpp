#include "jobs/PoolSimulation_p.h"

namespace comfreydeck::jobs {

namespace {

constexpr std::uint64_t FleetToken = 1;
/// An order is given at once. Most are carried out within the first time, all
/// within the second one.
constexpr int UsualOrderMs = 4000;
constexpr int MostOrderMs = 12900;

} // namespace

/// Has the owner release a worker, so that its machine can be ordered away.
void PoolSimulation::moveMachine() {
  Worker &W = Workers_[static_cast<std::size_t>(
      draw(0, static_cast<int>(Workers_.size()) - 1))];
  if (!W.Up || W.Partitioned || W.Moving)
    return;
  OwnerPtr O = Owners_.back();
  if (askRelease(W, O) == ReleaseState::Pending)
    schedule(30, 300, [this, &W, O, Id = W.Id] {
      if (W.Id != Id || W.Moving || O->Replaced)
        return;
      if (askRelease(W, O) == ReleaseState::Pending)
        O->State->takeBackWorker(Id, {FleetToken, ++Releases_});
    });
}

/// Orders the machine away if the owner lets it.
ReleaseState PoolSimulation::askRelease(Worker &W, const OwnerPtr &O) {
  ReleaseState Release =
      O->State->releaseWorker(W.Id, {FleetToken, ++Releases_}, nowOf(*O));
  if (Release == ReleaseState::Released) {
    W.Moving = true;
    schedule(0, chance(0.3) ? MostOrderMs : UsualOrderMs,
             [this, &W, Id = W.Id] { takeMachine(W, Id); });
  }
  return Release;
}

/// The machine comes back with a worker of another id.
void PoolSimulation::takeMachine(Worker &W, const std::string &Id) {
  W.Moving = false;
  if (W.Id != Id || !W.Up)
    return;
  if (!W.Running.empty()) {
    fail("a machine was taken away with tasks that started after its owner had "
         "let it go");
    return;
  }
  ++Result_.Moves;
  for (const EndReport &End : W.Ended)
    if (End.How == RunEnd::Done)
      AcknowledgedTasks_.insert(End.Task);
  crash(W);
  W.NewId = true;
  if (chance(0.5))
    Owners_.back()->State->endIncarnation({Id, W.ListedBorn});
}

} // namespace comfreydeck::jobs
