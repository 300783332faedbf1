#include "jobs/PoolSimulation_p.h"

namespace comfreydeck::jobs {

namespace {

/// Places are held against the best ones once the last fault is so long ago: a
/// start without an answer takes room until then.
constexpr std::chrono::seconds SettlingTime(15);
/// The same where nothing goes wrong, for an owner to hear the workers.
constexpr std::chrono::seconds CalmSettlingTime(2);
/// Room counts once it has been there for so long, so that the owner knows it.
constexpr std::chrono::seconds SureTime(1);
constexpr std::size_t SureLooks = SureTime / WaitStep;
/// A start has arrived within this time.
constexpr std::chrono::milliseconds ArrivalTime(100);
/// The most by which several racks make the run of a gang that wants one
/// longer.
constexpr std::chrono::milliseconds ExtraTime(1500);
/// Within this time any gang with room starts.
constexpr std::chrono::seconds StartTime(3);

core::Resources mostOf(const core::Resources &A, const core::Resources &B) {
  return {std::max(A.MilliCpus, B.MilliCpus), std::max(A.MemoryMb, B.MemoryMb),
          std::max(A.Accelerators, B.Accelerators)};
}

core::Resources without(const core::Resources &All,
                        const core::Resources &Used) {
  return {All.MilliCpus - std::min(All.MilliCpus, Used.MilliCpus),
          All.MemoryMb - std::min(All.MemoryMb, Used.MemoryMb),
          All.Accelerators - std::min(All.Accelerators, Used.Accelerators)};
}

void add(core::Resources &Sum, const core::Resources &One) {
  Sum.MilliCpus += One.MilliCpus;
  Sum.MemoryMb += One.MemoryMb;
  Sum.Accelerators += One.Accelerators;
}

} // namespace

core::TimePoint PoolSimulation::settledAt() const {
  core::TimePoint Begin = JobsEnd_ - FaultTime - MoreJobsTime;
  return Options_.Calm ? Begin + CalmSettlingTime
                       : Begin + FaultTime + SettlingTime;
}

/// Records what each worker has had room for.
void PoolSimulation::watchRoom() {
  if (!Options_.Racks)
    return;
  bool Look = Now_.time_since_epoch() % WaitStep == core::Duration::zero();
  for (Worker &W : Workers_) {
    bool Usable = W.Up && !isCutOff(W) && W.Listed && !W.Closed &&
                  Now_ >= W.DistrustedUntil && Now_ - W.BornAt >= CalmTime;
    if (!Usable)
      W.UsableSince = core::TimePoint::max();
    else
      W.UsableSince = std::min(W.UsableSince, Now_);
    std::erase_if(W.Ordered, [&](const auto &Order) {
      return Now_ - Order.first > ArrivalTime;
    });
    if (Look || W.UsedLately.empty())
      W.UsedLately.emplace_back();
    W.UsedLately.back() = mostOf(W.UsedLately.back(), usedOn(W));
    if (W.UsedLately.size() > SureLooks)
      W.UsedLately.pop_front();
  }
}

/// How many more such tasks the worker could have taken for some time, the
/// members of the task's gang aside.
std::uint32_t PoolSimulation::countSurePlaces(const Worker &W,
                                              const TaskRef &Task) const {
  const StepSpec &Step = stepOf(Task);
  bool Labelled =
      Step.Label.empty() ||
      std::find(W.Labels.begin(), W.Labels.end(), Step.Label) != W.Labels.end();
  if (!Labelled || W.UsableSince > Now_ - SureTime)
    return 0;
  core::Resources Used = usedOn(W);
  for (const core::Resources &Earlier : W.UsedLately)
    Used = mostOf(Used, Earlier);
  std::uint32_t OfStep = 0;
  for (const Run &R : W.Running)
    OfStep += isSameStep(R.Task, Task) ? 1 : 0;
  for (const auto &[At, Ordered] : W.Ordered) {
    if (Step.Gang && isSameStep(Ordered, Task))
      continue;
    add(Used, reservedNeed(stepOf(Ordered)));
    OfStep += isSameStep(Ordered, Task) ? 1 : 0;
  }
  std::uint32_t Places = timesIn(reservedNeed(Step), without(W.Capacity, Used));
  if (Step.MaxPerWorker == 0)
    return Places;
  return std::min(Places,
                  Step.MaxPerWorker - std::min(Step.MaxPerWorker, OfStep));
}

/// The members of the largest other gang that waits; room may be kept for it.
std::uint32_t PoolSimulation::membersWaiting(const TaskRef &Task) const {
  std::uint32_t Most = 0;
  for (const auto &[Id, Spec] : OpenJobs_)
    for (std::uint32_t K = 0; K < occurrences(*Spec); ++K) {
      TaskRef First{Id, K, 0, 0};
      if (Spec->Steps[0].Gang && !isOver(Id) && !isSameStep(First, Task) &&
          mustRun(First))
        Most = std::max(Most, Spec->Steps[0].Tasks);
    }
  return Most;
}

/// How many times as long the task, or its gang, takes in the best rack that
/// has room twice over. Nothing if none has.
std::optional<double> PoolSimulation::bestSlowness(const TaskRef &Task) const {
  std::map<std::string, std::vector<std::uint32_t>> Places;
  for (const Worker &W : Workers_)
    Places[W.Rack].push_back(countSurePlaces(W, Task));
  std::uint32_t Enough =
      RoomTimes * gangSize(stepOf(Task)) + membersWaiting(Task);
  std::optional<double> Best;
  for (auto &[Rack, OnWorkers] : Places) {
    // One worker's room may be kept for lasting tasks.
    if (LastingJob_)
      OnWorkers.erase(std::max_element(OnWorkers.begin(), OnWorkers.end()));
    std::uint32_t Sum = 0;
    for (std::uint32_t OnWorker : OnWorkers)
      Sum += OnWorker;
    if (Sum < Enough)
      continue;
    double Slowness = slownessOf(Task, {Rack});
    Best = Best ? std::min(*Best, Slowness) : Slowness;
  }
  return Best;
}

/// Whether an open job has lost a worker or will, so that its tasks may be
/// tried on workers of their own.
bool PoolSimulation::mayHaveSuspects() const {
  auto IsOpen = [&](const std::string &Id) { return !isOver(Id); };
  return std::any_of(HitJobs_.begin(), HitJobs_.end(), IsOpen) ||
         std::any_of(SuspectJobs_.begin(), SuspectJobs_.end(), IsOpen) ||
         std::any_of(CrashingJobs_.begin(), CrashingJobs_.end(), IsOpen);
}

/// Holds the places of the starts against the best ones.
void PoolSimulation::checkPlaces(const OwnerPtr &O, const Orders &Out) {
  if (!Options_.Racks)
    return;
  std::map<std::pair<TaskRef, RunId>, std::set<std::string>> Racks;
  for (const StartOrder &Order : Out.Starts) {
    Worker &W = worker(Order.Worker);
    W.Ordered.emplace_back(Now_, Order.Task);
    TaskRef First = Order.Task;
    if (stepOf(First).Gang)
      First.Index = 0;
    Racks[{First, Order.Run}].insert(W.Rack);
  }
  if (Now_ < settledAt() || O->Replaced)
    return;
  for (const auto &[Start, In] : Racks)
    checkPlace(Start.first, In);
}

void PoolSimulation::checkPlace(const TaskRef &Task,
                                const std::set<std::string> &Racks) {
  ++Result_.PlacesChecked;
  double Slowness = slownessOf(Task, Racks);
  if (Slowness <= 1)
    return;
  ++Result_.RemotePlaces;
  std::optional<double> Best = bestSlowness(Task);
  if (!Best || Slowness <= *Best || mayHaveSuspects())
    return;
  std::string Name = Task.JobId + "." + std::to_string(Task.Occurrence) + "." +
                     std::to_string(Task.Step) + "." +
                     std::to_string(Task.Index);
  if (stepOf(Task).SameRack && Racks.size() > 1)
    fail("a gang was started over several racks though one had room twice "
         "over: " +
         Name);
  else
    fail("a task was started away from its data though its rack had room twice "
         "over: " +
         Name);
}

/// A gang with room on several racks doesn't wait longer for one than it would
/// work longer on several.
void PoolSimulation::watchRackWait(const TaskRef &Task, core::Duration Wait) {
  const StepSpec &Step = stepOf(Task);
  if (!Options_.Racks || !Step.Gang || !Step.SameRack)
    return;
  core::Duration Settled = std::min(Wait, Now_ - settledAt());
  Result_.LongestRackWait = std::max(Result_.LongestRackWait, Settled);
  if (Settled >= ExtraTime + StartTime)
    fail("a gang has waited for one rack for longer than several cost: " +
         Task.JobId);
}

bool PoolSimulation::isDue(const TaskRef &Task) const {
  const JobSpec &Spec = specOf(Task.JobId);
  return Spec.Repetitions == 0 ||
         clockMs() >=
             Spec.FirstDueMs + std::int64_t{Task.Occurrence} * Spec.IntervalMs;
}

/// What the protocol allows of any start, wherever the room is.
void PoolSimulation::checkStart(const Worker &W, const TaskRef &Task) {
  const StepSpec &Step = stepOf(Task);
  bool Labelled =
      Step.Label.empty() ||
      std::find(W.Labels.begin(), W.Labels.end(), Step.Label) != W.Labels.end();
  if (!Labelled)
    fail("a task was started on a worker without its label");
  auto OfStep =
      std::count_if(W.Running.begin(), W.Running.end(),
                    [&](const Run &R) { return isSameStep(R.Task, Task); });
  if (Step.MaxPerWorker > 0 && OfStep >= std::ptrdiff_t{Step.MaxPerWorker})
    fail("a worker was started more tasks of a step than it may run");
  if (!isDue(Task))
    fail("a task was started before its time");
}

} // namespace comfreydeck::jobs
