#include "dispatch/MachineCache.h"

#include <algorithm>

namespace comfreydeck::dispatch {

namespace {

/// Bounds the delay until a returned machine is used, and the list requests per
/// second.
constexpr std::chrono::milliseconds ListPeriod(500);

} // namespace

bool hasWorkerEnded(const std::string &Worker,
                    std::span<const Machine> Machines) {
  return std::none_of(Machines.begin(), Machines.end(), [&](const Machine &M) {
    return M.Worker == Worker &&
           (M.State == MachineState::Up || M.State == MachineState::Down);
  });
}

bool isWorkerShown(const std::string &Worker,
                   std::span<const Machine> Machines) {
  return std::any_of(Machines.begin(), Machines.end(),
                     [&](const Machine &M) { return M.Worker == Worker; });
}

const char *machineStateOf(const std::string &Worker,
                           std::span<const Machine> Machines) {
  for (const Machine &M : Machines)
    if (M.Worker == Worker)
      return nameOf(M.State);
  return "none";
}

void MachineCache::refresh(core::TimePoint Now) {
  if (Listing_ || (ListedAt_ && Now - *ListedAt_ < ListPeriod))
    return;
  Listing_ = true;
  Ctx_.Machines->list([this, Now](MachineList List) {
    Ctx_.Loop.post([this, Now, List = std::move(List)] {
      Listing_ = false;
      if (!List.Ok) {
        Ctx_.Count.recordRetry("list-machines");
        return;
      }
      ListedAt_ = Now;
      Machines_.clear();
      for (const Machine &M : List.Machines)
        Machines_[M.Id] = M;
    });
  });
}

void MachineCache::invalidate() {
  Machines_.clear();
  ListedAt_.reset();
}

const Machine *MachineCache::find(const std::string &Id) const {
  auto It = Machines_.find(Id);
  return It == Machines_.end() ? nullptr : &It->second;
}

} // namespace comfreydeck::dispatch
