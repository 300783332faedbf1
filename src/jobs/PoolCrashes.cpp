#include "jobs/PoolState.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::jobs {

namespace {

/// How often it is stored for how long an outcome has been waited for.
constexpr std::chrono::milliseconds OutcomeNoteStep(2000);
/// Pause of a lasting task that has crashed its workers again and again. It has
/// to run again within nine seconds.
constexpr std::chrono::milliseconds LastingCrashPause(1000);
/// Counted runs that are remembered for logs.
constexpr std::size_t MaxCountedRuns = 1000;

/// What the answer to a start tells of it; nothing if it can't have been
/// carried out.
std::optional<StartSign> signOfAnswer(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Accepted:
    return StartSign::Accepted;
  case OrderOutcome::Unknown:
  // It may have been carried out before.
  case OrderOutcome::OldRun:
    return StartSign::Unclear;
  // A worker that refuses a start does nothing.
  case OrderOutcome::Fenced:
  case OrderOutcome::Late:
  case OrderOutcome::NoRoom:
  case OrderOutcome::NoTicket:
  case OrderOutcome::Refused:
  case OrderOutcome::OtherIncarnation:
  // No worker had it.
  case OrderOutcome::NotSent:
  case OrderOutcome::Withheld:
    return std::nullopt;
  }
  return StartSign::Unclear;
}

} // namespace

/// First and last task, exclusive, whose crashes count together: a gang's
/// members, or the task alone.
std::pair<std::uint32_t, std::uint32_t> PoolState::unitOf(const JobRecord &Job,
                                                          std::uint32_t Task) {
  TaskPlace Place = placeOf(Job, Task);
  const StepSpec &Step = Job.Spec.Steps[Place.Step];
  std::uint32_t First = Step.Gang ? Task - Place.Index : Task;
  return {First, First + (Step.Gang ? Step.Tasks : 1)};
}

std::size_t PoolState::countCrashes(const JobRecord &Job, std::uint32_t Task) {
  std::set<RunId> Runs;
  auto [First, Last] = unitOf(Job, Task);
  for (std::uint32_t T = First; T < Last; ++T)
    Runs.insert(Job.Tasks[T].Kept.CrashedRuns.begin(),
                Job.Tasks[T].Kept.CrashedRuns.end());
  return Runs.size();
}

/// Also counts runs on workers that have been silent since.
std::size_t PoolState::countPossibleCrashes(const JobRecord &Job,
                                            std::uint32_t Task) const {
  std::set<RunId> Runs;
  auto [First, Last] = unitOf(Job, Task);
  for (std::uint32_t T = First; T < Last; ++T) {
    Runs.insert(Job.Tasks[T].Kept.CrashedRuns.begin(),
                Job.Tasks[T].Kept.CrashedRuns.end());
    Lost_.collect(Job.Spec.Id, T, Runs);
  }
  return Runs.size();
}

/// Whether the runs of a task of the job start only once they are stored.
bool PoolState::hasPossibleCrash(const JobRecord &Job) const {
  if (!Job.Suspect)
    return false;
  for (std::uint32_t T = 0; T < Job.Tasks.size(); ++T)
    if (!Job.Tasks[T].Kept.Done && countPossibleCrashes(Job, T) > 0)
      return true;
  return false;
}

/// Whether another run, if it crashes its worker too, leaves the starts after
/// the last allowed crash within their limit. While no outcome but the last one
/// is open, that is waited for as long as a crash takes to become known.
bool PoolState::mayTryAgain(const JobRecord &Job, std::uint32_t Task) const {
  if (countPossibleCrashes(Job, Task) < Limits_.MaxCrashes)
    return true;
  std::set<RunId> Runs;
  std::optional<core::TimePoint> SilentSince;
  auto [First, Last] = unitOf(Job, Task);
  for (std::uint32_t T = First; T < Last; ++T) {
    const TaskProgress &Kept = Job.Tasks[T].Kept;
    Runs.insert(Kept.CrashedRuns.begin(), Kept.CrashedRuns.end());
    for (const AnnouncedRun &Run : Kept.Unsettled)
      Runs.insert(Run.Run);
    Lost_.collect(Job.Spec.Id, T, Runs);
    SilentSince = std::max(SilentSince, Lost_.latestOf(Job.Spec.Id, T));
  }
  bool MayBeLast = countCrashes(Job, Task) + 1 >= Limits_.MaxCrashes;
  bool Waited = !SilentSince || Now_ - *SilentSince >= Limits_.OutcomeWait;
  return Runs.size() < Limits_.MaxCrashes + Limits_.MaxLateStarts &&
         (!MayBeLast || Waited);
}

/// Whether the run was started together with those of other suspects.
bool PoolState::wasShared(const TaskProgress &Kept, RunId Run) {
  auto Is = [Run](const AnnouncedRun &Other) {
    return Other.Run == Run && Other.Shared;
  };
  return (Kept.Announced && Is(*Kept.Announced)) ||
         std::any_of(Kept.Unsettled.begin(), Kept.Unsettled.end(), Is);
}

/// Crashes under the task after which its job fails. Where another task may be
/// the cause of one, it gets one more run, alone.
std::size_t PoolState::mostCrashes(const JobRecord &Job,
                                   std::uint32_t Task) const {
  bool MayBeOthers =
      !stepOf(Job, Task).Lasting && !Job.Tasks[Task].Kept.SharedCrashes.empty();
  return Limits_.MaxCrashes + (MayBeOthers ? Limits_.RunsAfterShared : 0);
}

/// Has the run stored, beside those whose outcome is open.
void PoolState::setAnnounced(JobRecord &Job, std::uint32_t Task,
                             AnnouncedRun Run) {
  TaskProgress &Kept = Job.Tasks[Task].Kept;
  if (Kept.Announced &&
      Lost_.contains({Job.Spec.Id, Task, Kept.Announced->Run}))
    Kept.Unsettled.push_back(*Kept.Announced);
  Kept.Announced = std::move(Run);
  Outbox_.markChanged(Job);
}

/// Has stored how long the outcomes of runs have been waited for, so that a
/// later owner waits for the rest only. Nothing waits for those of a task that
/// may start anyway.
void PoolState::noteOpenOutcomes(core::TimePoint Now) {
  Lost_.forEach(Now, [this](const SuspectRun &Run, core::Duration Waited) {
    JobRecord *Job = jobOf(Run.JobId);
    if (!Job || Run.Task >= Job->Tasks.size() || isFinal(Job->Now) ||
        countPossibleCrashes(*Job, Run.Task) < Limits_.MaxCrashes)
      return;
    TaskProgress &Kept = Job->Tasks[Run.Task].Kept;
    auto Note = [&](AnnouncedRun &Open) {
      if (Open.Run != Run.Run || Waited - Open.Waited < OutcomeNoteStep)
        return;
      Open.Waited = Waited;
      Outbox_.markChanged(*Job);
    };
    if (Kept.Announced)
      Note(*Kept.Announced);
    for (AnnouncedRun &Open : Kept.Unsettled)
      Note(Open);
  });
}

/// Drops the suspicion against runs of a worker whose incarnation goes on, or
/// was ended on purpose.
void PoolState::clearLost(const std::string &Worker) {
  for (const LostRun &Lost :
       Lost_.takeIf(Worker, [](const LostRun &Open) { return !Open.Ended; }))
    settleUnknown(Lost.Run);
}

/// Forgets that the outcome of the run was open.
void PoolState::settleUnknown(const SuspectRun &Run) {
  JobRecord *Job = jobOf(Run.JobId);
  if (!Job || Run.Task >= Job->Tasks.size())
    return;
  std::size_t Erased = std::erase_if(
      Job->Tasks[Run.Task].Kept.Unsettled,
      [&](const AnnouncedRun &Open) { return Open.Run == Run.Run; });
  // A later owner that waits for it again has the whole time.
  std::optional<AnnouncedRun> &Last = Job->Tasks[Run.Task].Kept.Announced;
  bool WasWaitedFor =
      Last && Last->Run == Run.Run && Last->Waited > core::Duration::zero();
  if (WasWaitedFor)
    Last->Waited = core::Duration::zero();
  if (Erased > 0 || WasWaitedFor)
    Outbox_.markChanged(*Job);
}

/// Whether the run was younger than the suspicion age at the worker's last
/// answer.
bool PoolState::isSuspectOn(const WorkerState &W, const LiveRun &Run) const {
  core::TimePoint AnsweredAt =
      earliestTimeOf(W.Clock, W.Clock.ShownMs).value_or(W.BornKnownAt);
  return AnsweredAt - Run.OrderedAt < Limits_.SuspicionAge;
}

std::vector<SuspectRun> PoolState::suspectsOn(const WorkerState &W) const {
  std::vector<SuspectRun> Suspects;
  for (const auto &[Job, Task] : W.Tasks)
    for (const LiveRun &Run : Job->Tasks[Task].Runs)
      if (Run.Worker == W.Entry.Id && Run.SendAfter == 0 && isSuspectOn(W, Run))
        Suspects.push_back(
            {Job->Spec.Id, Task, Run.Run, signOf(Run), Run.OrderedAt});
  return Suspects;
}

/// The runs that the worker has now, and why those that are no suspects are
/// none.
CrashRecord PoolState::recordOf(const WorkerState &W) const {
  CrashRecord Record;
  Record.Runs = W.Tasks.size();
  for (const auto &[Job, Task] : W.Tasks)
    for (const LiveRun &Run : Job->Tasks[Task].Runs) {
      if (Run.Worker != W.Entry.Id)
        continue;
      if (Run.SendAfter != 0)
        ++Record.NotSent;
      else if (!isSuspectOn(W, Run))
        ++Record.TooOld;
    }
  return Record;
}

/// Has the suspects of a worker that stopped answering stored, since this owner
/// may be gone by the time that the worker is known to have crashed.
void PoolState::announceSuspects(const WorkerState &W) {
  if (W.Born == 0 || W.Ended || W.Entry.Draining)
    return;
  for (const SuspectRun &Run : suspectsOn(W)) {
    JobRecord &Job = *jobOf(Run.JobId);
    std::optional<AnnouncedRun> &Announced = Job.Tasks[Run.Task].Kept.Announced;
    bool Known = Announced && Announced->Run >= Run.Run;
    if (Known || isFinal(Job.Now))
      continue;
    setAnnounced(Job, Run.Task, {Run.Run, W.Entry.Id, W.Born});
    Job.Suspect = true;
  }
}

/// Whether a worker may have crashed under runs of an earlier owner that this
/// one does not know of.
bool PoolState::mayHaveMissedCrash(core::TimePoint Now) const {
  return MissedCrash_ ||
         std::any_of(Workers_.begin(), Workers_.end(), [&](const auto &Item) {
           const WorkerState &W = *Item.second;
           return !W.Heard && W.AskedAt &&
                  Now - *W.AskedAt >= Limits_.ReportAnswer;
         });
}

/// Records that the worker, which is lost, may have crashed under runs that
/// this owner does not know of.
void PoolState::noteUnheard(const WorkerState &W) {
  bool Left = W.Ended || W.Entry.Draining;
  bool KnowsRuns = W.Heard && W.UnknownRuns.empty();
  MissedCrash_ = MissedCrash_ || (!Left && !KnowsRuns);
}

/// Keeps the suspects of a worker that is out of reach until it answers.
void PoolState::recordLoss(const WorkerState &W, core::TimePoint Now) {
  // The first report tells which incarnation it is, and an ordered end is no
  // crash.
  if (W.Born == 0 || W.Ended || W.Entry.Draining)
    return;
  std::vector<SuspectRun> Suspects = suspectsOn(W);
  for (const SuspectRun &Run : Suspects)
    jobOf(Run.JobId)->Suspect = true;
  Lost_.add(W.Entry.Id, W.Born, std::move(Suspects), Now);
}

/// Counts the crashes of incarnations of the worker that have ended under these
/// runs. \p Record tells of the runs that were lost just now. \p NextBorn is
/// the start time of the incarnation that followed; zero if that is another
/// worker.
void PoolState::settleLost(const WorkerState &W,
                           const std::vector<LostRun> &Suspects,
                           CrashRecord Record, std::int64_t NextBorn,
                           core::TimePoint Now) {
  Record.Worker = W.Entry.Id;
  Record.Runs = std::max(Record.Runs, Suspects.size());
  if (Record.Runs == 0)
    return;
  CrashedAt_[W.Entry.Address] = Now;
  bool HadIsolated = std::any_of(
      Suspects.begin(), Suspects.end(), [this](const LostRun &Lost) {
        const JobRecord *Job = findJob(Lost.Run.JobId);
        return Job && Lost.Run.Task < Job->Tasks.size() &&
               countCrashes(*Job, Lost.Run.Task) >= Limits_.IsolationCrashes;
      });
  if (!HadIsolated)
    UnexplainedCrashAt_[W.Entry.Address] = Now;
  ++Counters_.Crashes;
  for (const LostRun &Lost : Suspects) {
    Record.Suspects.push_back(Lost.Run);
    countCrash({Lost.Run, W.Entry.Id, Lost.Born, NextBorn, Now}, Record);
  }
  Events_.Crashes.push_back(std::move(Record));
}

/// Drops the runs of an incarnation that a later one has followed, and counts
/// its crash and those of the ones before it.
void PoolState::dropCrashed(WorkerState &W, std::int64_t NextBorn,
                            const WorkerReport *Report, core::TimePoint Now) {
  std::deque<std::int64_t> Ended = W.EarlierBorns;
  Ended.push_back(W.Born);
  auto TakeSuspects = [&] {
    if (Report)
      clearRunElsewhere(W, *Report, earliestTimeOf(W.Clock, W.Clock.ShownMs),
                        Now);
    return Lost_.takeEnded(W.Entry.Id, Ended, NextBorn);
  };
  dropEnded(W, PresumedCause::WorkerRestarted, TakeSuspects, NextBorn, Now);
}

/// Drops the runs of a worker at whose address another one answered, and counts
/// its crash.
void PoolState::dropReplaced(WorkerState &W, core::TimePoint Now) {
  noteUnheard(W);
  dropEnded(
      W, PresumedCause::WorkerReplaced,
      [&] { return Lost_.takeOthers(W.Entry.Id, AnyIncarnation, 0); }, 0, Now);
}

/// An incarnation that left by order has not crashed.
void PoolState::dropEnded(
    WorkerState &W, PresumedCause Cause,
    const std::function<std::vector<LostRun>()> &TakeSuspects,
    std::int64_t NextBorn, core::TimePoint Now) {
  bool Left = W.Ended || W.Entry.Draining || W.Born == 0;
  CrashRecord Record = Left ? CrashRecord() : recordOf(W);
  recordLoss(W, Now);
  dropRuns(W, Cause);
  if (Left)
    clearLost(W.Entry.Id);
  settleLost(W, TakeSuspects(), std::move(Record), NextBorn, Now);
}

/// Drops the suspicion against runs that can't have run on an earlier
/// incarnation than the one that made the report: it lists them, or was born
/// before they were ordered, but not before \p EarlierSeen, when an earlier one
/// answered. Its clock is never fast.
void PoolState::clearRunElsewhere(const WorkerState &W,
                                  const WorkerReport &Report,
                                  std::optional<core::TimePoint> EarlierSeen,
                                  core::TimePoint Now) {
  core::TimePoint LatestBirth = Now - std::chrono::milliseconds(Report.ClockMs);
  auto IsListed = [&](const SuspectRun &Lost) {
    const JobRecord *Job = jobOf(Lost.JobId);
    if (!Job || Lost.Task >= Job->Tasks.size())
      return false;
    TaskRef Task = refOf(*Job, Lost.Task);
    auto IsRun = [&](const auto &Item) {
      return Item.Run == Lost.Run && Item.Task == Task;
    };
    return std::any_of(Report.Running.begin(), Report.Running.end(), IsRun) ||
           std::any_of(Report.Ended.begin(), Report.Ended.end(), IsRun);
  };
  auto RanElsewhere = [&](const LostRun &Lost) {
    bool SentLater = Report.ClockMs > 0 && EarlierSeen &&
                     LatestBirth >= *EarlierSeen && Lost.Run.OrderedAt &&
                     *Lost.Run.OrderedAt >= LatestBirth;
    return SentLater || IsListed(Lost.Run);
  };
  for (const LostRun &Lost : Lost_.takeIf(W.Entry.Id, RanElsewhere))
    settleUnknown(Lost.Run);
}

/// Settles the suspicion against a run of an incarnation that is lost, once its
/// start has been answered.
void PoolState::settleAnswered(const WorkerState &W, const SuspectRun &Run,
                               OrderOutcome Outcome, core::TimePoint Now) {
  LostRun *Lost = Lost_.find(W.Entry.Id, Run);
  if (!Lost)
    return;
  std::optional<StartSign> Sign = signOfAnswer(Outcome);
  auto IsThis = [&](const LostRun &Other) { return Other.Run == Run; };
  if (!Sign) {
    Lost_.takeIf(W.Entry.Id, IsThis);
    settleUnknown(Run);
    return;
  }
  if (Lost->Run.Sign == StartSign::Sent)
    Lost->Run.Sign = *Sign;
  // The next incarnation's report tells of a run that is kept until then.
  JobRecord *Job = jobOf(Run.JobId);
  if (Lost->Ended && !(Job && findRun(*Job, Run.Task, Run.Run)))
    settleLost(W, Lost_.takeIf(W.Entry.Id, IsThis), {}, Lost->NextBorn, Now);
}

/// Forgets an announced run whose start can't have been carried out, as its
/// answer tells. A later owner would count it if its worker has restarted.
void PoolState::dropRefusedAnnouncement(JobRecord &Job, std::uint32_t Task,
                                        RunId Run, OrderOutcome Outcome) {
  std::optional<AnnouncedRun> &Announced = Job.Tasks[Task].Kept.Announced;
  if (signOfAnswer(Outcome) || !Announced || Announced->Run != Run)
    return;
  Announced.reset();
  Outbox_.markChanged(Job);
}

/// Counts the crashes under runs whose starts may have been carried out by an
/// incarnation that has ended, and that its successor doesn't have, or has not
/// told of in time.
void PoolState::settleEnded(const WorkerState &W, core::TimePoint Now) {
  std::int64_t NextBorn = 0;
  auto IsOver = [&](const LostRun &Lost) {
    JobRecord *Job = jobOf(Lost.Run.JobId);
    bool IsKept = Job && findRun(*Job, Lost.Run.Task, Lost.Run.Run);
    bool Is = Lost.Ended && Lost.Run.Sign != StartSign::Sent &&
              (!IsKept || Now - Lost.Since >= Limits_.OutcomeWait);
    if (Is)
      NextBorn = Lost.NextBorn;
    return Is;
  };
  std::vector<LostRun> Over = Lost_.takeIf(W.Entry.Id, IsOver);
  settleLost(W, Over, {}, NextBorn, Now);
}

/// Counts the crashes of lost workers whose addresses have gone to others.
void PoolState::settleReplaced(std::span<const WorkerEntry> Entries,
                               core::TimePoint Now) {
  if (Lost_.isEmpty())
    return;
  for (const WorkerEntry &Entry : Entries)
    for (auto &[Id, W] : Workers_)
      if (W->Gone && Id != Entry.Id && W->Entry.Address == Entry.Address)
        settleLost(*W, Lost_.takeOthers(Id, AnyIncarnation, 0), {}, 0, Now);
}

void PoolState::countCrash(const CountedRun &Counted, CrashRecord &Record) {
  const SuspectRun &Run = Counted.Run;
  JobRecord *Job = jobOf(Run.JobId);
  if (!Job || Run.Task >= Job->Tasks.size() || isFinal(Job->Now))
    return;
  TaskProgress &Kept = Job->Tasks[Run.Task].Kept;
  std::vector<RunId> &Crashed = Kept.CrashedRuns;
  bool IsCounted =
      std::find(Crashed.begin(), Crashed.end(), Run.Run) != Crashed.end();
  if (Kept.Done || IsCounted)
    return;
  if (wasShared(Kept, Run.Run))
    Kept.SharedCrashes.push_back(Run.Run);
  Counted_.push_back(Counted);
  if (Counted_.size() > MaxCountedRuns)
    Counted_.pop_front();
  Crashed.push_back(Run.Run);
  settleUnknown(Run);
  if (Kept.Announced && Kept.Announced->Run == Run.Run)
    Kept.Announced.reset();
  Job->Suspect = true;
  Job->Tasks[Run.Task].SpreadUntil = Counted.CountedAt + Limits_.SuspectWait;
  Outbox_.markChanged(*Job);
  if (Job->ProgressUnread ||
      countCrashes(*Job, Run.Task) < mostCrashes(*Job, Run.Task))
    return;
  if (stepOf(*Job, Run.Task).Lasting) {
    Record.Delayed.push_back(refOf(*Job, Run.Task));
    delayLasting(*Job, Run.Task, Counted.CountedAt);
    return;
  }
  Record.GivenUp.push_back(refOf(*Job, Run.Task));
  auto [First, Last] = unitOf(*Job, Run.Task);
  for (const CountedRun &C : Counted_)
    if (C.Run.JobId == Run.JobId && C.Run.Task >= First && C.Run.Task < Last)
      Record.Counted.push_back(C);
  ++Counters_.GivenUp;
  endJob(*Job, JobEndCause::Crashes);
}

/// A lasting task has no limit of attempts, and giving its job up would end the
/// others of its step at once: it starts again after a pause, and only its
/// latest crashes count.
void PoolState::delayLasting(JobRecord &Job, std::uint32_t Task,
                             core::TimePoint Now) {
  auto [First, Last] = unitOf(Job, Task);
  std::set<RunId> Runs;
  for (std::uint32_t T = First; T < Last; ++T) {
    TaskState &State = Job.Tasks[T];
    Runs.insert(State.Kept.CrashedRuns.begin(), State.Kept.CrashedRuns.end());
    State.NotBefore = std::max(State.NotBefore, Now + LastingCrashPause);
  }
  for (; Runs.size() >= Limits_.MaxCrashes; Runs.erase(Runs.begin()))
    for (std::uint32_t T = First; T < Last; ++T)
      std::erase(Job.Tasks[T].Kept.CrashedRuns, *Runs.begin());
  Outbox_.markChanged(Job);
}

/// Clears the crashes of the task once one of its runs has lasted, as a report
/// that was made at \p MadeAt or later shows; those of a gang once the runs of
/// all its members have.
void PoolState::clearSuspicion(JobRecord &Job, std::uint32_t Task, LiveRun &Run,
                               core::TimePoint MadeAt) {
  if (!Job.Suspect || Run.Stopping ||
      MadeAt - Run.OrderedAt < Limits_.SuspicionAge)
    return;
  Run.HasLasted = true;
  auto [First, Last] = unitOf(Job, Task);
  for (std::uint32_t T = First; T < Last; ++T) {
    const LiveRun *Member = findRun(Job, T, Run.Run);
    if (!Member || !Member->HasLasted)
      return;
  }
  for (std::uint32_t T = First; T < Last; ++T) {
    TaskProgress &Kept = Job.Tasks[T].Kept;
    if (Kept.CrashedRuns.empty() && !Kept.Announced && Kept.Unsettled.empty())
      continue;
    Kept.CrashedRuns.clear();
    Kept.SharedCrashes.clear();
    Kept.Unsettled.clear();
    Kept.Announced.reset();
    Outbox_.markChanged(Job);
  }
}

/// A run that an earlier owner announced may have crashed its worker since.
void PoolState::inheritSuspicion(JobRecord &Job, core::TimePoint Now) {
  for (std::uint32_t T = 0; T < Job.Tasks.size(); ++T) {
    const TaskProgress &Kept = Job.Tasks[T].Kept;
    Job.Suspect = Job.Suspect || !Kept.CrashedRuns.empty() || Kept.Announced ||
                  !Kept.Unsettled.empty();
    for (const AnnouncedRun &Run : Kept.Unsettled)
      Lost_.add(Run.Worker, Run.Born, {{Job.Spec.Id, T, Run.Run}},
                Now - Run.Waited);
    if (const std::optional<AnnouncedRun> &Last = Kept.Announced)
      Lost_.add(Last->Worker, Last->Born, {{Job.Spec.Id, T, Last->Run}},
                Now - Last->Waited);
  }
}

} // namespace comfreydeck::jobs
