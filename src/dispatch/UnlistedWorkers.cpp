#include "dispatch/UnlistedWorkers.h"

#include "dispatch/MachineCache.h"

namespace comfreydeck::dispatch {

namespace {

/// Pause between two checks.
constexpr std::chrono::milliseconds CheckPause(400);

} // namespace

UnlistedWorkers::UnlistedWorkers(Context &Ctx, jobs::PoolState &State,
                                 const PoolEventLog &Log, PoolHost &Host)
    : Ctx_(Ctx), State_(State), Log_(Log), Host_(Host) {}

void UnlistedWorkers::check() {
  if (Checking_)
    return;
  std::vector<jobs::WorkerIncarnation> Open;
  for (const auto &[Id, Worker] : State_.workers())
    if (mayHaveEnded({Id, Worker->Born}))
      Open.push_back({Id, Worker->Born});
  if (Open.empty() || Host_.isDropped() || !Ctx_.Machines)
    return;
  Checking_ = true;
  readMachines(Open, false);
}

bool UnlistedWorkers::mayHaveEnded(const jobs::WorkerIncarnation &Which) const {
  auto At = State_.workers().find(Which.Worker);
  return At != State_.workers().end() && At->second->Born == Which.Born &&
         (jobs::PoolState::mayHaveEnded(*At->second) ||
          (At->second->Gone && State_.mayHaveCrashed(Which.Worker)));
}

/// Reads the list of machines. \p Again says that the last list showed none of
/// the workers.
void UnlistedWorkers::readMachines(
    const std::vector<jobs::WorkerIncarnation> &Open, bool Again) {
  Ctx_.Machines->list(
      [this, Keep = Host_.keep(), Open, Again](MachineList List) {
        Ctx_.Loop.post([this, Keep, Open, Again, List = std::move(List)] {
          onMachinesRead(Open, List, Again);
        });
      });
}

/// Pages of one list may be read while machines come and go, so that it misses
/// some: a worker has ended without a machine only if two lists agree.
void UnlistedWorkers::onMachinesRead(
    const std::vector<jobs::WorkerIncarnation> &Open, const MachineList &List,
    bool Again) {
  if (!List.Ok)
    Ctx_.Count.recordRetry("list-machines");
  std::vector<jobs::WorkerIncarnation> Missing;
  for (const jobs::WorkerIncarnation &Which : Open) {
    const std::string &Id = Which.Worker;
    // It may have reported or restarted since the list was requested.
    if (!List.Ok || !mayHaveEnded(Which) || !hasWorkerEnded(Id, List.Machines))
      continue;
    if (Again || isWorkerShown(Id, List.Machines)) {
      Log_.logWorkerEnded(*State_.workers().at(Id), List);
      State_.confirmEnded(Id);
    } else {
      Missing.push_back(Which);
    }
  }
  Host_.schedulePlan();
  if (!Missing.empty() && !Host_.isDropped()) {
    readMachines(Missing, true);
    return;
  }
  Ctx_.Loop.after(CheckPause, [this, Keep = Host_.keep()] {
    Checking_ = false;
    check();
  });
}

} // namespace comfreydeck::dispatch
