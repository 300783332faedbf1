#include "dispatch/MachineKinds.h"

#include "dispatch/Clock.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::dispatch {

namespace {

/// How long two lists of the machines serve to refuse jobs; bounds the requests
/// for lists.
constexpr std::chrono::seconds ListValidity(10);
/// How often the kinds of the listed workers are remembered, so that one whose
/// last worker leaves stays known.
constexpr std::chrono::seconds RememberPeriod(10);

/// The need without what a worker reserves nothing for.
core::Resources reservedNeed(const jobs::StepSpec &Step) {
  core::Resources Need = Step.Need;
  if (Step.Filling)
    Need.MilliCpus = 0;
  return Need;
}

bool hasLabel(const std::vector<std::string> &Labels,
              const std::string &Label) {
  return Label.empty() ||
         std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

std::string describe(const jobs::StepSpec &Step, bool LabelShown) {
  std::string Label =
      Step.Label.empty() ? "" : "the label '" + Step.Label + "'";
  if (!LabelShown)
    return "no machine has " + Label;
  core::Resources Need = reservedNeed(Step);
  return "no machine" + (Label.empty() ? "" : " with " + Label) + " has " +
         std::to_string(Need.MilliCpus) + " thousandths of a core, " +
         std::to_string(Need.MemoryMb) + " MB and " +
         std::to_string(Need.Accelerators) + " accelerators";
}

} // namespace

void MachineKinds::check(const jobs::JobSpec &Spec, core::Duration Limit,
                         Callback Done) {
  if (!WorkersAddedAt_ || bootNow() - *WorkersAddedAt_ >= RememberPeriod)
    addListedWorkers();
  std::optional<UnservedStep> Unserved = findUnserved(Spec);
  if (Unserved) {
    addListedWorkers();
    Unserved = findUnserved(Spec);
  }
  if (!Unserved || !Ctx_.Machines || !View_.isSynced()) {
    Done(std::nullopt);
    return;
  }
  core::TimePoint Now = bootNow();
  if (ListedAt_ && Now - *ListedAt_ < ListValidity) {
    Done(std::move(Unserved));
    return;
  }
  std::uint64_t Number = NextWaiter_++;
  Waiters_.emplace(Number, Waiter{Spec, std::move(Done)});
  Ctx_.Loop.after(Limit, [this, Number] {
    auto Late = Waiters_.extract(Number);
    if (Late)
      Late.mapped().Done(std::nullopt);
  });
  if (!Listing_)
    list(Now, false);
}

std::optional<UnservedStep>
MachineKinds::findUnserved(const jobs::JobSpec &Spec) const {
  for (std::size_t Number = 0; Number < Spec.Steps.size(); ++Number) {
    const jobs::StepSpec &Step = Spec.Steps[Number];
    core::Resources Need = reservedNeed(Step);
    bool LabelShown = Step.Label.empty();
    bool Shown = false;
    for (const auto &[Labels, Capacities] : Kinds_) {
      if (!hasLabel(Labels, Step.Label))
        continue;
      LabelShown = true;
      Shown = std::any_of(Capacities.begin(), Capacities.end(),
                          [&](const core::Resources &Capacity) {
                            return core::fits(Need, Capacity);
                          });
      if (Shown)
        break;
    }
    if (!Shown)
      return UnservedStep{Number, !LabelShown, Need,
                          "step " + std::to_string(Number) + ": " +
                              describe(Step, LabelShown)};
  }
  return std::nullopt;
}

void MachineKinds::add(const core::Resources &Capacity,
                       std::vector<std::string> Labels) {
  std::sort(Labels.begin(), Labels.end());
  std::vector<core::Resources> &Capacities = Kinds_[std::move(Labels)];
  if (std::find(Capacities.begin(), Capacities.end(), Capacity) ==
      Capacities.end())
    Capacities.push_back(Capacity);
}

void MachineKinds::addListedWorkers() {
  WorkersAddedAt_ = bootNow();
  View_.forEachWorker([this](const jobs::WorkerEntry &Worker) {
    add(Worker.Capacity, Worker.Labels);
  });
}

void MachineKinds::list(core::TimePoint Since, bool Again) {
  Listing_ = true;
  Ctx_.Machines->list([this, Since, Again](MachineList List) {
    Ctx_.Loop.post([this, Since, Again, List = std::move(List)] {
      onListed(List, Since, Again);
    });
  });
}

/// Pages of one list may be read while machines come and go, so that it misses
/// some.
void MachineKinds::onListed(const MachineList &List, core::TimePoint Since,
                            bool Again) {
  if (!addMachines(List)) {
    Ctx_.Count.recordRetry("list-machines");
    answerAll(false);
    return;
  }
  if (!Again) {
    list(Since, true);
    return;
  }
  addListedWorkers();
  ListedAt_ = Since;
  answerAll(true);
}

/// Returns false if the list may not show each kind.
bool MachineKinds::addMachines(const MachineList &List) {
  if (!List.Ok)
    return false;
  bool AllShown = List.Machines.size() >= View_.workerCount();
  for (const Machine &M : List.Machines) {
    AllShown = AllShown && M.KindShown;
    if (M.KindShown)
      add(M.Capacity, M.Labels);
  }
  return AllShown;
}

void MachineKinds::answerAll(bool Known) {
  Listing_ = false;
  for (auto &[Number, Waiting] : std::exchange(Waiters_, {}))
    Waiting.Done(Known ? findUnserved(Waiting.Spec) : std::nullopt);
}

} // namespace comfreydeck::dispatch
