#include "entry/WriteBatcher.h"

#include "core/Names.h"

#include <set>

namespace comfreydeck::entry {

namespace {

constexpr core::Duration RetryDelay = std::chrono::seconds(1);

} // namespace

WriteBatcher::WriteBatcher(const Context &C, WriteBatcherOptions Options)
    : Context_(C), Options_(Options) {}

void WriteBatcher::submit(RowWrite Write) {
  ++Pending_;
  if (Queue_.size() >= Options_.MaxQueued)
    return Context_.Control.post([this, Write = std::move(Write)] {
      finish(Write, {store::CommitOutcome::NotApplied, 0});
    });
  Queue_.push_back(std::move(Write));
  if (Queue_.size() >= Options_.MaxRows)
    flush();
  else
    scheduleFlush();
}

void WriteBatcher::submitUntilDone(RowWrite Write) {
  auto Shared = std::make_shared<RowWrite>(Write);
  Write.Done = [this, Shared](RowWriteResult Result) {
    bool MustRetry = Result.Outcome == store::CommitOutcome::NotApplied ||
                     Result.Outcome == store::CommitOutcome::Unknown;
    if (!MustRetry)
      return Shared->Done(Result);
    ++Pending_;
    Context_.Control.after(RetryDelay, [this, Shared] {
      --Pending_;
      submitUntilDone(*Shared);
    });
  };
  submit(std::move(Write));
}

void WriteBatcher::scheduleFlush() {
  if (IsFlushScheduled_)
    return;
  IsFlushScheduled_ = true;
  Context_.Control.after(Options_.BatchDelay, [this] {
    IsFlushScheduled_ = false;
    flush();
  });
}

void WriteBatcher::flush() {
  while (!Queue_.empty() && InFlight_ < Options_.MaxInFlight)
    send(takeBatch());
}

/// A batch has at most one write per row: if two writes of a row shared a
/// transaction, both conditions would hold and both would be reported as
/// successful.
WriteBatcher::Batch WriteBatcher::takeBatch() {
  Batch Taken;
  std::set<store::RowKey> Rows;
  std::deque<RowWrite> Deferred;
  while (!Queue_.empty() && Taken.size() < Options_.MaxRows) {
    RowWrite Write = std::move(Queue_.front());
    Queue_.pop_front();
    if (Rows.insert(Write.Row).second)
      Taken.push_back(std::move(Write));
    else
      Deferred.push_back(std::move(Write));
  }
  Queue_.insert(Queue_.begin(), std::make_move_iterator(Deferred.begin()),
                std::make_move_iterator(Deferred.end()));
  return Taken;
}

void WriteBatcher::send(Batch Writes) {
  store::Transaction T;
  T.Id = core::nameOf(core::DemandId{Context_.Self, NextId_++});
  for (const RowWrite &Write : Writes) {
    T.Conditions.push_back({Write.Row, Write.Expected});
    T.Writes.push_back({Write.Row, Write.Value});
  }
  ++InFlight_;
  auto Shared = std::make_shared<Batch>(std::move(Writes));
  Context_.Tables.commit(std::move(T),
                         [this, Shared](const store::CommitResult &Result) {
                           Context_.Control.post([this, Shared, Result] {
                             --InFlight_;
                             onCommitted(std::move(*Shared), Result);
                             flush();
                           });
                         });
}

void WriteBatcher::onCommitted(Batch Writes,
                               const store::CommitResult &Result) {
  bool IsCommitted = Result.Outcome == store::CommitOutcome::Committed &&
                     Result.Versions.size() == Writes.size();
  if (Result.Outcome == store::CommitOutcome::Conflict && Writes.size() > 1)
    return split(std::move(Writes));
  for (std::size_t N = 0; N < Writes.size(); ++N) {
    RowWriteResult Each{Result.Outcome, 0};
    if (IsCommitted)
      Each.Version = Result.Versions[N];
    else if (Result.Outcome == store::CommitOutcome::Committed)
      Each.Outcome = store::CommitOutcome::Unknown;
    finish(Writes[N], Each);
  }
}

void WriteBatcher::split(Batch Writes) {
  auto Middle = Writes.begin() + static_cast<std::ptrdiff_t>(Writes.size() / 2);
  Batch First(std::make_move_iterator(Writes.begin()),
              std::make_move_iterator(Middle));
  Batch Second(std::make_move_iterator(Middle),
               std::make_move_iterator(Writes.end()));
  send(std::move(First));
  send(std::move(Second));
}

void WriteBatcher::finish(const RowWrite &Write, RowWriteResult Result) {
  --Pending_;
  Write.Done(Result);
}

} // namespace comfreydeck::entry
