#include "entry/WriteBatcher.h"

#include "core/Names.h"

#include <set>

namespace comfreydeck::entry {

namespace {

constexpr core::Duration RetryAfter = std::chrono::seconds(1);

} // namespace

WriteBatcher::WriteBatcher(const Context &C, WriteBatcherOptions Options)
    : Context_(C), Options_(Options) {}

void WriteBatcher::submit(RowWrite Write) {
  ++Open_;
  if (Waiting_.size() >= Options_.MostWaiting)
    return Context_.Control.post([this, Write = std::move(Write)] {
      finish(Write, {store::CommitOutcome::NotApplied, 0});
    });
  Waiting_.push_back(std::move(Write));
  if (Waiting_.size() >= Options_.MostRows)
    flush();
  else
    arm();
}

void WriteBatcher::submitUntilDone(RowWrite Write) {
  auto Kept = std::make_shared<RowWrite>(Write);
  Write.Done = [this, Kept](RowWriteResult Result) {
    bool IsOpen = Result.Outcome == store::CommitOutcome::NotApplied ||
                  Result.Outcome == store::CommitOutcome::Unknown;
    if (!IsOpen)
      return Kept->Done(Result);
    ++Open_;
    Context_.Control.after(RetryAfter, [this, Kept] {
      --Open_;
      submitUntilDone(*Kept);
    });
  };
  submit(std::move(Write));
}

void WriteBatcher::arm() {
  if (Armed_)
    return;
  Armed_ = true;
  Context_.Control.after(Options_.Gather, [this] {
    Armed_ = false;
    flush();
  });
}

void WriteBatcher::flush() {
  while (!Waiting_.empty() && Flying_ < Options_.MostFlying)
    send(takeBatch());
}

/// A batch has at most one write per row: if two writes of a row shared a
/// transaction, both conditions would hold and both would be reported as
/// successful.
WriteBatcher::Batch WriteBatcher::takeBatch() {
  Batch Taken;
  std::set<store::RowKey> Rows;
  std::deque<RowWrite> Left;
  while (!Waiting_.empty() && Taken.size() < Options_.MostRows) {
    RowWrite Write = std::move(Waiting_.front());
    Waiting_.pop_front();
    if (Rows.insert(Write.Row).second)
      Taken.push_back(std::move(Write));
    else
      Left.push_back(std::move(Write));
  }
  Waiting_.insert(Waiting_.begin(), std::make_move_iterator(Left.begin()),
                  std::make_move_iterator(Left.end()));
  return Taken;
}

void WriteBatcher::send(Batch Writes) {
  store::Transaction T;
  T.Id = core::nameOf(core::DemandId{Context_.Self, NextId_++});
  for (const RowWrite &Write : Writes) {
    T.Conditions.push_back({Write.Row, Write.Expected});
    T.Writes.push_back({Write.Row, Write.Value});
  }
  ++Flying_;
  auto Kept = std::make_shared<Batch>(std::move(Writes));
  Context_.Tables.commit(std::move(T),
                         [this, Kept](const store::CommitResult &Result) {
                           Context_.Control.post([this, Kept, Result] {
                             --Flying_;
                             onCommitted(std::move(*Kept), Result);
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
  --Open_;
  Write.Done(Result);
}

} // namespace comfreydeck::entry
