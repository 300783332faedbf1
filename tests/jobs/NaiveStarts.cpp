#include "jobs/NaiveStarts.h"

#include <algorithm>
#include <tuple>

namespace comfreydeck::jobs {

namespace {

/// A worker with the resources used there, including this plan's starts.
struct Place {
  const WorkerState *Is = nullptr;
  core::Resources Used;
  std::uint32_t Serving = 0;
  std::uint32_t Lasting = 0;
  std::uint32_t Filling = 0;
};

/// A job with its sort key and the workers that run each task, including this
/// plan's starts.
struct Work {
  const JobRecord *Is = nullptr;
  std::vector<std::vector<std::string>> RunsOn;
  std::uint32_t Priority = 0;
  bool Advised = false;
  bool Late = false;
  double Remaining = 0;
};

class Naive {
public:
  Naive(const PoolState &Owner, const NaiveInput &Input)
      : Owner_(Owner), Input_(Input) {}

  std::vector<NaiveStart> run() {
    for (const auto &[Id, W] : Owner_.workers())
      if (isUsable(*W))
        Places_.push_back(
            {W.get(), W->Used, W->Serving, W->Lasting, W->Filling});
    std::vector<Work> All;
    for (const auto &[Id, Job] : Owner_.jobs())
      if (!isFinal(Job->Now) &&
          (!Job->Inherited || Owner_.allHeard(Input_.In.Now)))
        All.push_back(workOf(*Job));
    for (const auto &[Id, Job] : Owner_.jobs())
      TeamUse_[Job->Spec.Team] = Owner_.teamUse(Job->Spec.Team);
    std::sort(All.begin(), All.end(), [](const Work &A, const Work &B) {
      auto Key = [](const Work &W) {
        return std::make_tuple(!W.Is->Spec.Steps.front().Lasting, W.Priority,
                               W.Late, W.Remaining, W.Is->Spec.Id);
      };
      return Key(A) < Key(B);
    });
    for (Work &W : All)
      startTasks(W);
    return Starts_;
  }

private:
  bool isUsable(const WorkerState &W) const {
    core::Duration Lease =
        std::min(Input_.Limits.Lease, Input_.In.AuthorityEnd - Input_.In.Now);
    return W.Enrolled && W.Heard && W.LifeSure && !W.Ended && !W.Gone &&
           !W.Closed && !W.Entry.Draining && W.UnknownRuns.empty() &&
           W.ClockMs > 0 && W.AvoidUntil <= Input_.In.Now &&
           Input_.ClosedDataCentres.count(W.Entry.DataCentre) == 0 &&
           Lease > core::Duration::zero();
  }

  Work workOf(const JobRecord &Job) const {
    Work W;
    W.Is = &Job;
    for (const TaskState &Task : Job.Tasks) {
      W.RunsOn.emplace_back();
      for (const LiveRun &Run : Task.Runs)
        W.RunsOn.back().push_back(Run.Worker);
    }
    const Queue *Q = findQueueByName(*Input_.Config, Job.Spec.Queue);
    W.Priority = Q ? Q->Priority : Job.Spec.Priority;
    W.Advised = Q && Q->Advised;
    std::vector<double> Whole;
    std::vector<double> Left;
    for (std::size_t S = 0; S < Job.Spec.Steps.size(); ++S) {
      const StepSpec &Step = Job.Spec.Steps[S];
      double Ms = PoolState::runTimeMs(Job, Step);
      double Before = 0;
      double LeftBefore = 0;
      for (std::uint32_t Earlier : Step.After) {
        Before = std::max(Before, Whole[Earlier]);
        LeftBefore = std::max(LeftBefore, Left[Earlier]);
      }
      Whole.push_back(Before + Ms);
      Left.push_back(LeftBefore + (Job.Undone[S] > 0 ? Ms : 0));
      W.Remaining += Job.Undone[S] * Ms * Step.Need.MilliCpus;
    }
    double Chain = *std::max_element(Whole.begin(), Whole.end());
    double Deadline = static_cast<double>(Job.Spec.AcceptedMs) +
                      Job.Spec.SlackFactor * Chain + Job.Spec.TargetMs;
    W.Late = static_cast<double>(Input_.In.WallMs) +
                 *std::max_element(Left.begin(), Left.end()) >
             Deadline;
    return W;
  }

  /// References to all tasks of the job, in the order of their indexes.
  static std::vector<TaskRef> refsOf(const JobRecord &Job) {
    std::vector<TaskRef> Refs;
    for (std::uint32_t K = 0; K < occurrences(Job.Spec); ++K)
      for (std::uint32_t S = 0; S < Job.Spec.Steps.size(); ++S)
        for (std::uint32_t I = 0; I < Job.Spec.Steps[S].Tasks; ++I)
          Refs.push_back({Job.Spec.Id, K, S, I});
    return Refs;
  }

  bool mayStart(const Work &W, std::uint32_t Task, const TaskRef &Ref) const {
    const JobSpec &Spec = W.Is->Spec;
    const TaskState &State = W.Is->Tasks[Task];
    std::size_t Runs = W.RunsOn[Task].size();
    bool Wanted = Runs == 0 || (State.WantsCopy && Runs == 1 &&
                                Started_.count({W.Is, Task}) == 0);
    bool Due =
        Spec.Repetitions == 0 ||
        Input_.In.WallMs >= Spec.FirstDueMs + Ref.Occurrence * Spec.IntervalMs;
    bool Ready = true;
    for (std::uint32_t Earlier : Spec.Steps[Ref.Step].After)
      Ready = Ready &&
              W.Is->Undone[Ref.Occurrence * Spec.Steps.size() + Earlier] == 0;
    return !State.Kept.Done && Wanted && Due && Ready &&
           State.NotBefore <= Input_.In.Now;
  }

  void startTasks(Work &W) {
    if (W.Advised)
      return;
    std::vector<TaskRef> Refs = refsOf(*W.Is);
    for (std::uint32_t T = 0; T < Refs.size(); ++T) {
      const StepSpec &Step = W.Is->Spec.Steps[Refs[T].Step];
      if (!mayStart(W, T, Refs[T]) || (Step.Gang && Refs[T].Index != 0))
        continue;
      std::uint32_t Count = Step.Gang ? Step.Tasks : 1;
      bool All = hasTeamRoom(W, Step, Count);
      for (std::uint32_t M = T; M < T + Count; ++M)
        All = All && mayStart(W, M, Refs[M]);
      if (All)
        startTogether(W, Refs, T, Count);
    }
  }

  /// Starts all of the tasks or none.
  void startTogether(Work &W, const std::vector<TaskRef> &Refs,
                     std::uint32_t First, std::uint32_t Count) {
    auto Places = Places_;
    auto RunsOn = W.RunsOn;
    auto Started = Started_;
    auto TeamUse = TeamUse_;
    std::size_t Before = Starts_.size();
    std::string Rack;
    for (std::uint32_t T = First; T < First + Count; ++T) {
      const StepSpec &Step = W.Is->Spec.Steps[Refs[T].Step];
      Place *P = choose(W, Refs, T, Step, Rack);
      if (!P) {
        Places_ = Places;
        W.RunsOn = RunsOn;
        Started_ = Started;
        TeamUse_ = TeamUse;
        Starts_.resize(Before);
        return;
      }
      if (Step.SameRack)
        Rack = P->Is->Entry.Rack;
      put(W, T, Refs[T], Step, *P);
    }
  }

  void put(Work &W, std::uint32_t Task, const TaskRef &Ref,
           const StepSpec &Step, Place &P) {
    P.Used.MilliCpus += Step.Filling ? 0 : Step.Need.MilliCpus;
    P.Used.MemoryMb += Step.Need.MemoryMb;
    P.Used.Accelerators += Step.Need.Accelerators;
    P.Serving += Step.TailTargetMs > 0 ? 1 : 0;
    P.Lasting += Step.Lasting ? 1 : 0;
    P.Filling += Step.Filling ? 1 : 0;
    core::Resources &Use = TeamUse_[W.Is->Spec.Team];
    Use.MilliCpus += Step.Need.MilliCpus;
    Use.MemoryMb += Step.Need.MemoryMb;
    Use.Accelerators += Step.Need.Accelerators;
    W.RunsOn[Task].push_back(P.Is->Entry.Id);
    Started_.insert({W.Is, Task});
    Starts_.push_back({P.Is->Entry.Id, Ref});
  }

  bool hasTeamRoom(const Work &W, const StepSpec &Step, std::uint32_t Count) {
    auto Room = Input_.TeamRoom.find(W.Is->Spec.Team);
    if (Room == Input_.TeamRoom.end())
      return true;
    core::Resources Use = TeamUse_[W.Is->Spec.Team];
    return Use.MilliCpus + Step.Need.MilliCpus * Count <=
               Room->second.MilliCpus &&
           Use.MemoryMb + Step.Need.MemoryMb * Count <= Room->second.MemoryMb &&
           Use.Accelerators + Step.Need.Accelerators * Count <=
               Room->second.Accelerators;
  }

  static bool hasRoom(const Place &P, const StepSpec &Step) {
    const core::Resources &All = P.Is->Entry.Capacity;
    std::uint32_t Cpu = Step.Filling ? 0 : Step.Need.MilliCpus;
    // Filling tasks fit whatever CPU is in use.
    return (Cpu == 0 || P.Used.MilliCpus + Cpu <= All.MilliCpus) &&
           (Step.Need.MemoryMb == 0 ||
            P.Used.MemoryMb + Step.Need.MemoryMb <= All.MemoryMb) &&
           (Step.Need.Accelerators == 0 ||
            P.Used.Accelerators + Step.Need.Accelerators <= All.Accelerators);
  }

  static bool suits(const Work &W, const std::vector<TaskRef> &Refs,
                    std::uint32_t Task, const StepSpec &Step, const Place &P) {
    const WorkerEntry &Entry = P.Is->Entry;
    auto Here = [&](std::uint32_t T) {
      return std::count(W.RunsOn[T].begin(), W.RunsOn[T].end(), Entry.Id);
    };
    std::int64_t Mates = 0;
    for (std::uint32_t T = 0; T < Refs.size(); ++T)
      if (Refs[T].Step == Refs[Task].Step &&
          Refs[T].Occurrence == Refs[Task].Occurrence)
        Mates += Here(T);
    bool HasLabel =
        Step.Label.empty() ||
        std::count(Entry.Labels.begin(), Entry.Labels.end(), Step.Label) > 0;
    return hasRoom(P, Step) && HasLabel && Here(Task) == 0 &&
           (Step.MaxPerWorker == 0 || Mates < Step.MaxPerWorker);
  }

  static double scoreOf(const Work &W, std::uint32_t Task, const StepSpec &Step,
                        const Place &P) {
    const WorkerEntry &Entry = P.Is->Entry;
    std::uint32_t Cpus = Entry.Capacity.MilliCpus;
    std::uint32_t Free = Cpus > P.Used.MilliCpus ? Cpus - P.Used.MilliCpus : 0;
    double Score =
        1 - static_cast<double>(Free) / std::max<std::uint32_t>(Cpus, 1);
    Score += P.Lasting > 0 ? 1.0 : 0.0;
    Score += !Step.NearRack.empty() && Entry.Rack == Step.NearRack ? 4.0 : 0.0;
    bool Mixed = (Step.Filling && P.Serving > 0) ||
                 (Step.TailTargetMs > 0 && P.Filling > 0);
    Score -= Mixed ? 8.0 : 0.0;
    Score -= W.Is->Tasks[Task].FailedOn == Entry.Id ? 2.0 : 0.0;
    Score -= Entry.ColdFor > core::Duration::zero() ? 0.5 : 0.0;
    return Score;
  }

  Place *choose(const Work &W, const std::vector<TaskRef> &Refs,
                std::uint32_t Task, const StepSpec &Step,
                const std::string &Rack) {
    Place *Best = nullptr;
    for (Place &P : Places_) {
      bool InRack = Rack.empty() || P.Is->Entry.Rack == Rack;
      if (!InRack || !suits(W, Refs, Task, Step, P))
        continue;
      if (!Best || scoreOf(W, Task, Step, P) > scoreOf(W, Task, Step, *Best))
        Best = &P;
    }
    return Best;
  }

  const PoolState &Owner_;
  const NaiveInput &Input_;
  std::vector<Place> Places_;
  std::map<std::string, core::Resources> TeamUse_;
  std::set<std::pair<const JobRecord *, std::uint32_t>> Started_;
  std::vector<NaiveStart> Starts_;
};

} // namespace

std::vector<NaiveStart> naiveStarts(const PoolState &Owner,
                                    const NaiveInput &Input) {
  return Naive(Owner, Input).run();
}

} // namespace comfreydeck::jobs
