#include "jobs/ProgressOutbox.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::jobs {

namespace {

/// Sets what has to be stored before the end counts as stored.
void setMark(WorkerState &W, std::uint64_t Number, std::uint64_t Mark) {
  for (UnstoredEnd &End : W.Unstored)
    if (End.Number == Number)
      End.Mark = Mark;
}

WorkerEntry rosterEntryOf(const WorkerState &W) {
  WorkerEntry Entry = W.Entry;
  // The list may lag behind a restart.
  Entry.Born = W.Born;
  Entry.EarlierOrdersFor = W.NotedEarlierOrders;
  Entry.Released = W.Release.AskedAt.has_value();
  Entry.ReleasedFor = W.Release.Noted;
  return Entry;
}

/// Whether the worker's row in the roster has yet to be stored.
bool isRosterRowOpen(const WorkerState &W) {
  return !W.Enrolled || (W.Release.AskedAt && !W.Release.Stored) ||
         W.StoredEarlierOrders != W.NotedEarlierOrders;
}

} // namespace

JobRecord *ProgressOutbox::findJob(const std::string &Id) const {
  auto It = Jobs_.find(Id);
  return It == Jobs_.end() ? nullptr : It->second.get();
}

void ProgressOutbox::addEnd(WorkerState &W, const EndReport &End) {
  const JobRecord *Job = findJob(End.Task.JobId);
  bool Unsure = !Job || Job->SetAside || Job->ProgressUnread;
  W.Unstored.push_back(
      {End.Number, Unsure ? UnstoredEnd::Never : ChangeCount_, End.Task.JobId});
  if (Job)
    advanceIfNothingPends();
}

void ProgressOutbox::settleEnd(WorkerState &W, std::uint64_t Number) {
  setMark(W, Number, ChangeCount_);
  advanceIfNothingPends();
}

/// With no pending changes, ends have nothing to wait for.
void ProgressOutbox::advanceIfNothingPends() {
  if (Changed_.empty() && Storing_.empty())
    advanceStored(ChangeCount_);
}

void ProgressOutbox::dropEnd(WorkerState &W, std::uint64_t Number) {
  setMark(W, Number, 0);
}

void ProgressOutbox::markChanged(JobRecord &Job) {
  // What is stored must not be replaced before it is read.
  if (Job.ProgressUnread)
    return;
  ++ChangeCount_;
  if (Job.SetAside) {
    Job.ChangedAside = true;
    return;
  }
  if (Job.FirstChange != 0)
    return;
  Job.FirstChange = ChangeCount_;
  Changed_.push_back(&Job);
}

ProgressBatch ProgressOutbox::take(std::size_t MaxRows, std::size_t MaxTasks) {
  ProgressBatch Batch;
  Storing_.clear();
  auto HasRoom = [&](std::size_t Rows) {
    return Batch.Writes.size() + Batch.Enrolled.size() +
               Batch.Unenrolled.size() <
           Rows;
  };
  auto Enrol = [&](std::size_t Rows) {
    while (!ToEnrol_.empty() && HasRoom(Rows)) {
      auto Id = ToEnrol_.extract(ToEnrol_.begin());
      Batch.Enrolled.push_back(rosterEntryOf(*Workers_.at(Id.value())));
    }
  };
  // In a surge, more jobs change than a batch takes, and a worker that is not
  // enrolled gets no tasks.
  Enrol(MaxRows / 2);
  std::size_t Tasks = 0;
  while (!Changed_.empty() && HasRoom(MaxRows)) {
    JobRecord &Job = *Changed_.front();
    // A job with more tasks than that has a batch to itself.
    if (Tasks > 0 && Tasks + Job.Tasks.size() > MaxTasks)
      break;
    Tasks += Job.Tasks.size();
    Changed_.pop_front();
    Job.FirstChange = 0;
    Storing_.emplace_back(Job.Spec.Id, Job.Now);
    Batch.Writes.push_back(writeOf(Job));
  }
  Enrol(MaxRows);
  while (!ToUnenrol_.empty() && HasRoom(MaxRows))
    Batch.Unenrolled.push_back(ToUnenrol_.extract(ToUnenrol_.begin()).value());
  Enrolling_ = Batch.Enrolled;
  Batch.Settled = std::exchange(ToStoreSettled_, false);
  Batch.Mark = markOfBatch();
  return Batch;
}

ProgressWrite ProgressOutbox::writeOf(const JobRecord &Job) {
  ProgressWrite Write;
  Write.JobId = Job.Spec.Id;
  Write.Progress.State = Job.Now;
  // The task progress of a finished job is no longer needed.
  if (!isFinal(Job.Now))
    for (const TaskState &Task : Job.Tasks)
      Write.Progress.Tasks.push_back(Task.Kept);
  return Write;
}

/// All changes up to this one are stored with the batch that is being taken, or
/// set aside.
std::uint64_t ProgressOutbox::markOfBatch() const {
  return Changed_.empty() ? ChangeCount_ : Changed_.front()->FirstChange - 1;
}

void ProgressOutbox::setAside(const ProgressBatch &Refused) {
  using Kind = SetAsideRow::Kind;
  for (const ProgressWrite &Write : Refused.Writes) {
    std::erase_if(Storing_,
                  [&](const auto &Item) { return Item.first == Write.JobId; });
    JobRecord *Job = findJob(Write.JobId);
    if (!Job)
      continue;
    SetAside_.push_back({Kind::Progress, Write.JobId});
    if (Job->FirstChange != 0) {
      std::erase(Changed_, Job);
      Job->FirstChange = 0;
      Job->ChangedAside = true;
    }
    Job->SetAside = true;
    for (auto &[Id, W] : Workers_)
      for (UnstoredEnd &End : W->Unstored)
        if (End.JobId == Write.JobId)
          End.Mark = UnstoredEnd::Never;
  }
  for (const WorkerEntry &Entry : Refused.Enrolled) {
    std::erase_if(Enrolling_,
                  [&](const WorkerEntry &E) { return E.Id == Entry.Id; });
    SetAside_.push_back({Kind::Enrolled, Entry.Id});
  }
  for (const std::string &Id : Refused.Unenrolled)
    SetAside_.push_back({Kind::Unenrolled, Id});
  if (Refused.Settled)
    SetAside_.push_back({Kind::Settled, ""});
}

ProgressBatch ProgressOutbox::takeSetAside() {
  ProgressBatch Batch;
  Storing_.clear();
  while (!SetAside_.empty() && Batch.isEmpty()) {
    SetAsideRow Row = std::move(SetAside_.front());
    SetAside_.pop_front();
    auto Worker = Workers_.find(Row.Id);
    JobRecord *Job = nullptr;
    switch (Row.What) {
    case SetAsideRow::Kind::Progress:
      Job = findJob(Row.Id);
      if (!Job)
        break;
      Job->ChangedAside = false;
      Storing_.emplace_back(Row.Id, Job->Now);
      Batch.Writes.push_back(writeOf(*Job));
      break;
    case SetAsideRow::Kind::Enrolled:
      // It may have left, or its new address may have been stored.
      if (Worker != Workers_.end() && isRosterRowOpen(*Worker->second)) {
        ToEnrol_.erase(Row.Id);
        Batch.Enrolled.push_back(rosterEntryOf(*Worker->second));
      }
      break;
    case SetAsideRow::Kind::Unenrolled:
      if (Worker == Workers_.end())
        Batch.Unenrolled.push_back(Row.Id);
      break;
    case SetAsideRow::Kind::Settled:
      Batch.Settled = true;
      break;
    }
  }
  Enrolling_ = Batch.Enrolled;
  Batch.Mark = markOfBatch();
  return Batch;
}

/// Lets the job's changes into batches again once its row is stored.
void ProgressOutbox::returnFromAside(JobRecord &Job) {
  Job.SetAside = false;
  std::uint64_t Mark = 0;
  if (std::exchange(Job.ChangedAside, false)) {
    markChanged(Job);
    Mark = ChangeCount_;
  }
  for (auto &[Id, W] : Workers_)
    for (UnstoredEnd &End : W->Unstored)
      if (End.JobId == Job.Spec.Id)
        End.Mark = Mark;
}

/// Whether the worker alone can tell a later owner of an end of a job whose row
/// is refused.
bool ProgressOutbox::hasEndsSetAside(const WorkerState &W) const {
  return std::any_of(W.Unstored.begin(), W.Unstored.end(),
                     [this](const UnstoredEnd &End) {
                       const JobRecord *Job = findJob(End.JobId);
                       return Job && Job->SetAside;
                     });
}

void ProgressOutbox::onStored(std::uint64_t Mark) {
  for (const WorkerEntry &Stored : std::exchange(Enrolling_, {})) {
    auto At = Workers_.find(Stored.Id);
    if (At == Workers_.end() || At->second->Entry.Address != Stored.Address)
      continue;
    At->second->Enrolled = true;
    if (Stored.Born == At->second->Born)
      At->second->StoredEarlierOrders = Stored.EarlierOrdersFor;
    WorkerRelease &Release = At->second->Release;
    Release.Stored = Stored.Released && Release.AskedAt &&
                     Stored.ReleasedFor == Release.Noted;
  }
  advanceStored(Mark);
}

void ProgressOutbox::advanceStored(std::uint64_t Mark) {
  for (const auto &[Id, State] : Storing_)
    if (JobRecord *Job = findJob(Id)) {
      Job->Stored = State;
      if (Job->SetAside)
        returnFromAside(*Job);
    }
  Storing_.clear();
  StoredMark_ = std::max(StoredMark_, Mark);
  for (auto &[Id, W] : Workers_)
    advanceStoredEnds(*W);
}

// The roster: workers that orders may have reached, as stored for later owners.

void ProgressOutbox::enrol(const std::string &Id) {
  ToUnenrol_.erase(Id);
  ToEnrol_.insert(Id);
}

void ProgressOutbox::unenrol(const std::string &Id) {
  ToEnrol_.erase(Id);
  ToUnenrol_.insert(Id);
}

void ProgressOutbox::advanceStoredEnds(WorkerState &W) const {
  while (!W.Unstored.empty() && W.Unstored.front().Mark <= StoredMark_) {
    W.StoredUpTo = W.Unstored.front().Number;
    W.Unstored.pop_front();
  }
}

} // namespace comfreydeck::jobs
