#include "dispatch/ProgressWriter.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"

#include <utility>

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;
using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Pause before a write of the chain row alone that the store refuses itself is
/// repeated, and before a row that was set aside is tried again. These bound
/// the calls that can't succeed to one per pause and pool.
constexpr milliseconds RefusedRetry(1000);
constexpr milliseconds AsideRetry(3000);
/// Batches the ends of several tasks into one write.
constexpr milliseconds FlushDelay(20);
/// A transaction takes 100 entries; two are conditions, one is the chain row
/// and some are further rows of large jobs.
constexpr std::size_t BatchRows = 80;
/// Most further rows in a batch. With the other rows they stay below the
/// megabyte that a transaction takes, in which bytes count four thirds.
constexpr std::size_t MaxFurtherRows = 8;
/// Tasks of the jobs in a batch, unless it has one job only.
constexpr std::size_t BatchTasks = 4000;

/// Splits the batch into two, each with about half of its rows. Roster rows
/// come first, removals last: what a removed worker has ended is stored before.
std::pair<jobs::ProgressBatch, jobs::ProgressBatch>
split(const jobs::ProgressBatch &Batch) {
  std::pair<jobs::ProgressBatch, jobs::ProgressBatch> Halves;
  std::size_t Left = Batch.rowCount() / 2;
  auto Next = [&]() -> jobs::ProgressBatch & {
    if (Left == 0)
      return Halves.second;
    --Left;
    return Halves.first;
  };
  for (const jobs::WorkerEntry &Entry : Batch.Enrolled)
    Next().Enrolled.push_back(Entry);
  if (Batch.Settled)
    Next().Settled = true;
  for (const jobs::ProgressWrite &Write : Batch.Writes)
    Next().Writes.push_back(Write);
  for (const std::string &Id : Batch.Unenrolled)
    Next().Unenrolled.push_back(Id);
  return Halves;
}

} // namespace

ProgressWriter::ProgressWriter(Context &Ctx, jobs::PoolState &State,
                               const PoolEventLog &Log, PoolMonitor &Monitor,
                               PoolHost &Host,
                               std::function<void(const char *Why)> Lose)
    : Ctx_(Ctx), State_(State), Log_(Log), Monitor_(Monitor), Host_(Host),
      Lose_(std::move(Lose)), Part_(rows::poolPart(State.pool())) {}

void ProgressWriter::begin(std::uint64_t ChainVersion) {
  ChainVersion_ = ChainVersion;
  Begun_ = true;
}

void ProgressWriter::finish(std::function<void()> Done) {
  Finishing_ = true;
  Finished_ = std::move(Done);
  flush();
}

void ProgressWriter::flush() {
  if (Storing_ || Host_.isDropped() || !Begun_)
    return;
  jobs::ProgressBatch Batch = takeBatch();
  if (Batch.isEmpty()) {
    if (auto Done = std::exchange(Finished_, nullptr))
      Done();
    return;
  }
  Storing_ = true;
  ChainAccepted_ = false;
  BatchMark_ = Batch.Mark;
  Parts_.push_back(std::move(Batch));
  sendNextPart();
}

jobs::ProgressBatch ProgressWriter::takeBatch() {
  if (State_.hasSetAside() && bootNow() >= NextAsideTry_) {
    jobs::ProgressBatch Batch = State_.takeSetAside();
    if (!Batch.isEmpty())
      return Batch;
  }
  return State_.takeChanges(BatchRows, BatchTasks);
}

/// Sends the next part of the batch; once there is none left, confirms it.
void ProgressWriter::sendNextPart() {
  if (!Parts_.empty()) {
    auto Write = std::make_shared<BatchWrite>();
    Write->Batch = std::move(Parts_.front());
    Monitor_.recordStoring(bootNow());
    Parts_.pop_front();
    sendBatch(Write);
    return;
  }
  State_.onStored(BatchMark_);
  Host_.schedulePlan();
  Ctx_.Loop.after(Finishing_ ? core::Duration::zero() : FlushDelay,
                  [this, Keep = Host_.keep()] {
                    Storing_ = false;
                    flush();
                  });
}

store::PartTransaction
ProgressWriter::transactionFor(const jobs::ProgressBatch &Batch) const {
  store::PartTransaction T;
  store::PartKey Chain = {rows::Progress, Part_, rows::ChainKey};
  T.Conditions = {{{rows::Control, Part_, rows::OwnerKey}, State_.token()},
                  {Chain, ChainVersion_}};
  T.Puts.push_back({Chain, ""});
  std::size_t RowBytes = Ctx_.Settings.StoreRowBytes;
  std::size_t BytesLeft = RowBytes * MaxFurtherRows;
  for (const jobs::ProgressWrite &Job : Batch.Writes) {
    std::vector<std::string> Rows =
        codec::encodeProgressRows(Job.Progress, RowBytes, BytesLeft);
    for (std::size_t N = 0; N < Rows.size(); ++N) {
      BytesLeft -= std::min(BytesLeft, Rows[N].size());
      T.Puts.push_back(
          {{rows::Progress, Part_, rows::progressKey(Job.JobId, N)},
           std::move(Rows[N])});
    }
  }
  for (const jobs::WorkerEntry &Entry : Batch.Enrolled)
    T.Puts.push_back({{rows::Progress, Part_, rows::RosterPrefix + Entry.Id},
                      codec::encodeRosterRow(Entry)});
  if (Batch.Settled)
    T.Puts.push_back({{rows::Progress, Part_, rows::SettledKey},
                      std::to_string(State_.token())});
  for (const std::string &Id : Batch.Unenrolled)
    T.Removals.push_back({rows::Progress, Part_, rows::RosterPrefix + Id});
  return T;
}

/// Sends the next attempt of the write. All attempts have the same conditions
/// and rows, so that one of them applies at most, and none after a newer batch.
void ProgressWriter::sendBatch(const std::shared_ptr<BatchWrite> &Write) {
  store::PartTransaction T = transactionFor(Write->Batch);
  recordAttempt(Write->Attempts);
  core::TimePoint SentAt = bootNow();
  Ctx_.Store.commit(
      std::move(T), attemptLimit(Write->Attempts.Sent),
      [this, Keep = Host_.keep(), Write, SentAt](PartAnswer Answer) {
        Ctx_.Loop.post([this, Keep, Write, SentAt, Answer = std::move(Answer)] {
          onBatchAnswered(Write, Answer, bootNow() - SentAt);
        });
      });
  if (auto Pause = pauseBeforeRepeat(StorePace_, Write->Attempts.Sent))
    repeatBatch(Write, *Pause, true);
}

/// Sends the next attempt after the pause if \ref mayRepeat allows it then.
void ProgressWriter::repeatBatch(const std::shared_ptr<BatchWrite> &Write,
                                 core::Duration Pause, bool BesideOpen) {
  Ctx_.Loop.after(Pause, [this, Keep = Host_.keep(), Write, BesideOpen,
                          Sent = Write->Attempts.Sent] {
    if (Host_.isDropped() || !mayRepeat(Write->Attempts, Sent, BesideOpen))
      return;
    Ctx_.Count.recordRetry("store-progress");
    sendBatch(Write);
  });
}

void ProgressWriter::onBatchAnswered(const std::shared_ptr<BatchWrite> &Write,
                                     const PartAnswer &Answer,
                                     core::Duration Took) {
  if (Answer.Outcome == PartOutcome::Ok ||
      Answer.Outcome == PartOutcome::Conflict)
    recordAnswer(StorePace_, Took);
  WriteStep Step =
      takeAnswer(Write->Attempts, Answer.Outcome, Answer.Permanent);
  if (Host_.isDropped())
    return;
  if (Step == WriteStep::Settle)
    onBatchSettled(*Write, Answer);
  else if (Step == WriteStep::Retry)
    repeatBatch(Write, StoreRetry, false);
}

void ProgressWriter::onBatchSettled(const BatchWrite &Write,
                                    const PartAnswer &Answer) {
  const jobs::ProgressBatch &Batch = Write.Batch;
  if (Answer.Permanent) {
    onBatchRefused(Batch, Answer, Write.Attempts.Unsure);
    return;
  }
  if (Answer.Outcome == PartOutcome::Ok)
    ChainVersion_ = Answer.Version;
  if (Answer.Outcome == PartOutcome::Conflict) {
    std::uint64_t Owner = 0;
    std::uint64_t Chain = 0;
    for (const store::PartRow &Row : Answer.Rows)
      (Row.Where.Key == rows::OwnerKey ? Owner : Chain) = Row.Version;
    // Only this owner writes the chain row, so an earlier attempt has applied
    // that was not answered.
    if (Owner != State_.token() || Chain <= ChainVersion_) {
      Lose_("owner row changed");
      return;
    }
    ChainVersion_ = Chain;
  }
  Monitor_.recordStored(bootNow(), Write.Attempts.Sent > 1,
                        Answer.Outcome == PartOutcome::Conflict);
  ChainAccepted_ = ChainAccepted_ || Batch.isEmpty();
  Log_.logEnded(State_, Batch, Answer.Version);
  sendNextPart();
}

/// Finds the rows that the store refuses. A write of the chain row alone shows
/// whether it refuses the rows, and ends earlier attempts without an answer:
/// one that was applied later would be taken for a write of newer rows.
void ProgressWriter::onBatchRefused(const jobs::ProgressBatch &Batch,
                                    const PartAnswer &Answer, bool Again) {
  if (Batch.isEmpty()) {
    Ctx_.Count.recordRetry("store-refuses-pool");
    Log_.logProgressRefused(Answer.Error);
    Parts_.push_front({});
    Ctx_.Loop.after(RefusedRetry, [this, Keep = Host_.keep()] {
      if (!Host_.isDropped())
        sendNextPart();
    });
    return;
  }
  if (Again || !ChainAccepted_) {
    Parts_.push_front(Batch);
    Parts_.push_front({});
  } else if (Batch.rowCount() > 1) {
    auto [First, Second] = split(Batch);
    Parts_.push_front(std::move(Second));
    Parts_.push_front(std::move(First));
  } else {
    setAside(Batch, Answer);
  }
  sendNextPart();
}

/// Leaves the only row of \p Row for later, so that it holds up no other.
void ProgressWriter::setAside(const jobs::ProgressBatch &Row,
                              const PartAnswer &Answer) {
  State_.setAside(Row);
  NextAsideTry_ = bootNow() + AsideRetry;
  const char *Kind = "settled";
  std::string Id;
  if (!Row.Writes.empty()) {
    Kind = "job";
    Id = Row.Writes.front().JobId;
  } else if (!Row.Enrolled.empty()) {
    Kind = "enrolled-worker";
    Id = Row.Enrolled.front().Id;
  } else if (!Row.Unenrolled.empty()) {
    Kind = "left-worker";
    Id = Row.Unenrolled.front();
  }
  Ctx_.Count.recordRefusedRow(Kind);
  Log_.logSetAside(Kind, Id, Answer.Error);
}

} // namespace comfreydeck::dispatch
