#include "dispatch/TableFollower.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

#include <mutex>

namespace comfreydeck::dispatch {

using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Pause after a failed read.
constexpr std::chrono::milliseconds RetryPause(150);
/// Pause before a row whose handling failed is passed again; doubles with each
/// failure of that row up to the longer one, which is well below the time in
/// which accepted work must start.
constexpr std::chrono::milliseconds RowRetryPause(1000);
constexpr std::chrono::milliseconds MaxRowRetryPause(5000);
/// The longest pause between full reads for rows that are not kept.
constexpr std::chrono::milliseconds MaxFullReadPause(30000);
/// Rows that are due within this time are passed together.
constexpr std::chrono::milliseconds RowRetryStep(200);
/// Most rows that are kept to be passed again; bounds the memory.
constexpr std::size_t MaxUnappliedRows = 1000;
/// Rows per page, and pages requested concurrently. All pages in flight share
/// the entry's link and must arrive within the time limit of one page: job rows
/// have a few thousand bytes, and a slow link carries one megabyte per second.
constexpr std::uint32_t PageRows = 100;
constexpr std::size_t PagesAtOnce = 2;

/// Requests of one page in a row that may fail until a patient read does.
constexpr std::uint32_t MaxPageTries = 8;

/// Reads several partitions page by page, some of them concurrently.
struct PartsReader : std::enable_shared_from_this<PartsReader> {
  store::PartitionedStore &Store;
  std::string Table;
  store::PartCallback Done;
  /// Waits before a failed page is requested again; null if one failed page
  /// fails the read.
  net::Loop *RetryLoop = nullptr;
  /// Bounds of the keys in each partition; empty for none.
  std::string FromKey;
  std::string ToKey;
  std::mutex Mutex;
  PartAnswer Result;
  /// Partitions not requested yet, in reverse order.
  std::vector<std::string> Remaining;
  std::size_t Unfinished = 0;

  PartsReader(store::PartitionedStore &S, std::string T, store::PartCallback D)
      : Store(S), Table(std::move(T)), Done(std::move(D)) {
    Result.Outcome = PartOutcome::Ok;
  }

  void start(std::vector<std::string> Parts) {
    Remaining.assign(Parts.rbegin(), Parts.rend());
    Unfinished = Parts.size();
    for (std::size_t Started = 0; Started < PagesAtOnce; ++Started)
      readNext();
  }

  /// Starts reading the next partition, if any.
  void readNext() {
    std::string Part;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Remaining.empty())
        return;
      Part = std::move(Remaining.back());
      Remaining.pop_back();
    }
    read(Part, FromKey);
  }

  /// \p Failures counts the requests of this page that failed.
  void read(const std::string &Part, const std::string &From,
            std::uint32_t Failures = 0) {
    auto Self = shared_from_this();
    Store.read({Table, Part, From, ToKey, PageRows},
               [Self, Part, From, Failures](PartAnswer Page) {
                 if (Self->mayRetry(Page, Failures + 1))
                   Self->retry(Part, From, Failures + 1, Page);
                 else
                   Self->handleAnswer(Part, std::move(Page));
               });
  }

  bool mayRetry(const PartAnswer &Page, std::uint32_t Failures) {
    std::lock_guard<std::mutex> Lock(Mutex);
    bool Failing = Result.Outcome != PartOutcome::Ok;
    return RetryLoop && Page.Outcome != PartOutcome::Ok && !Page.Permanent &&
           !Failing && Failures < MaxPageTries;
  }

  void retry(const std::string &Part, const std::string &From,
             std::uint32_t Failures, const PartAnswer &Page) {
    std::size_t RowsRead = 0;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      RowsRead = Result.Rows.size();
    }
    logEvent("page_read_again", {{"table", Table},
                                 {"part", Part},
                                 {"outcome", store::nameOf(Page.Outcome)},
                                 {"error", Page.Error},
                                 {"failures", Failures},
                                 {"rows_read", RowsRead}});
    RetryLoop->after(RetryPause,
                     [Self = shared_from_this(), Part, From, Failures] {
                       Self->read(Part, From, Failures);
                     });
  }

  void handleAnswer(const std::string &Part, PartAnswer Page) {
    bool Last = false;
    std::string Next;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Page.Outcome == PartOutcome::Ok && Page.More && !Page.Rows.empty())
        // The smallest key greater than the last one.
        Next = Page.Rows.back().Where.Key + '\x01';
      if (Page.Outcome != PartOutcome::Ok) {
        // One failed page fails the whole read.
        Unfinished -= Remaining.size();
        Remaining.clear();
      }
      merge(std::move(Page));
      Last = Next.empty() && --Unfinished == 0;
    }
    if (!Next.empty())
      read(Part, Next);
    else if (Last)
      Done(std::move(Result));
    else
      readNext();
  }

  void merge(PartAnswer Page) {
    if (Page.Outcome != PartOutcome::Ok) {
      Result.Outcome = Page.Outcome;
      Result.Error = Page.Error;
      return;
    }
    // Changes are followed from the version of the oldest page, so that writes
    // made during the read are not missed.
    if (Result.Version == 0 || Page.Version < Result.Version)
      Result.Version = Page.Version;
    for (store::PartRow &Row : Page.Rows)
      Result.Rows.push_back(std::move(Row));
  }
};

} // namespace

void readRange(net::Loop &Loop, store::PartitionedStore &Store,
               const store::PartRange &Range, store::PartCallback Done) {
  auto Reader =
      std::make_shared<PartsReader>(Store, Range.Table, std::move(Done));
  Reader->RetryLoop = &Loop;
  Reader->FromKey = Range.From;
  Reader->ToKey = Range.To;
  Reader->start({Range.Part});
}

void readParts(store::PartitionedStore &Store, std::string Table,
               std::vector<std::string> Parts, store::PartCallback Done) {
  std::make_shared<PartsReader>(Store, std::move(Table), std::move(Done))
      ->start(std::move(Parts));
}

void readPartsPatiently(net::Loop &Loop, store::PartitionedStore &Store,
                        std::string Table, std::vector<std::string> Parts,
                        store::PartCallback Done) {
  auto Reader =
      std::make_shared<PartsReader>(Store, std::move(Table), std::move(Done));
  Reader->RetryLoop = &Loop;
  Reader->start(std::move(Parts));
}

TableFollower::TableFollower(net::Loop &Loop, store::PartitionedStore &Store,
                             TableFollowerOptions Options, RowHandlers Handlers)
    : Loop_(Loop), Store_(Store), Options_(std::move(Options)),
      Handlers_(std::move(Handlers)) {}

void TableFollower::start() {
  Started_ = true;
  sendRead();
}

void TableFollower::startFrom(std::uint64_t Version) {
  Started_ = true;
  Synced_ = true;
  Version_ = Version;
  sendRead();
}

void TableFollower::sendRead() {
  core::TimePoint SentAt = bootNow();
  if (Synced_)
    readChanges(SentAt);
  else
    readAll(SentAt);
}

void TableFollower::readAll(core::TimePoint SentAt) {
  std::vector<std::string> Parts = {""};
  if (Options_.Parts)
    Parts = Options_.Parts();
  readPartsPatiently(Loop_, Store_, Options_.Table, std::move(Parts),
                     [this, SentAt](PartAnswer Answer) {
                       Loop_.post([this, SentAt, Answer = std::move(Answer)] {
                         handleAnswer(Answer, true, SentAt);
                       });
                     });
}

void TableFollower::readChanges(core::TimePoint SentAt) {
  Store_.changes(Options_.Table, Version_, Options_.Wait,
                 [this, SentAt](PartAnswer Answer) {
                   Loop_.post([this, SentAt, Answer = std::move(Answer)] {
                     handleAnswer(Answer, false, SentAt);
                   });
                 });
}

void TableFollower::handleAnswer(const PartAnswer &Answer, bool All,
                                 core::TimePoint SentAt) {
  if (Answer.Outcome == PartOutcome::HistoryGone) {
    logEvent("history_gone", {{"table", Options_.Table}});
    Synced_ = false;
    scheduleRead(core::Duration::zero());
    return;
  }
  if (Answer.Outcome != PartOutcome::Ok) {
    if (++Failures_ == 1)
      logEvent("store_reading_lost",
               {{"table", Options_.Table}, {"error", Answer.Error}});
    scheduleRead(RetryPause);
    return;
  }
  if (Failures_ > 0)
    logEvent("store_reading_regained",
             {{"table", Options_.Table}, {"failures", Failures_}});
  Failures_ = 0;
  bool WasSynced = Synced_;
  if (All)
    Synced_ = true;
  // A resync requested during this read is still pending.
  if (All || WasSynced)
    Version_ = std::max(All ? 0 : Version_, Answer.Version);
  CurrentAt_ = SentAt;
  if (All || !Answer.Rows.empty())
    passRows(Answer.Rows, All);
  notifyWaiters();
  scheduleRead(Waiters_.empty() ? Options_.Pause : core::Duration::zero());
}

/// A row that can't be handled must neither end the reading of the table nor
/// keep other rows from being handled.
void TableFollower::passRows(const std::vector<store::PartRow> &Rows,
                             bool All) {
  if (All) {
    UnappliedDropped_ = false;
    for (auto &[Where, Failed] : Unapplied_)
      Failed.Found = false;
  }
  try {
    if (Handlers_.Begin)
      Handlers_.Begin(All);
  } catch (const std::exception &E) {
    logEvent("rows_not_begun",
             {{"table", Options_.Table}, {"error", E.what()}});
  }
  for (const store::PartRow &Row : Rows)
    passRow(Row);
  if (All) {
    std::erase_if(Unapplied_,
                  [](const auto &Item) { return !Item.second.Found; });
    if (!UnappliedDropped_)
      NextFullRead_ = {};
  }
  endRows(All);
  scheduleRowRetry();
}

void TableFollower::passRow(const store::PartRow &Row) {
  if (applyRow(Row))
    Unapplied_.erase(Row.Where);
  else
    keepUnapplied(Row);
}

void TableFollower::keepUnapplied(const store::PartRow &Row) {
  auto At = Unapplied_.find(Row.Where);
  if (At == Unapplied_.end() && Unapplied_.size() >= MaxUnappliedRows) {
    if (!std::exchange(UnappliedDropped_, true))
      recordFailure(NextFullRead_, MaxFullReadPause);
  } else {
    UnappliedRow &Failed = Unapplied_[Row.Where];
    // A newer version may be handled where the one before could not be.
    if (Failed.Row.Version != Row.Version)
      Failed.Next = {};
    Failed.Row = Row;
    Failed.Found = true;
    recordFailure(Failed.Next, MaxRowRetryPause);
  }
}

void TableFollower::recordFailure(Retry &Next, core::Duration MaxPause) {
  Next.Pause =
      std::clamp<core::Duration>(Next.Pause * 2, RowRetryPause, MaxPause);
  Next.At = bootNow() + Next.Pause;
}

/// Returns false if the row's handling failed.
bool TableFollower::applyRow(const store::PartRow &Row) {
  try {
    Handlers_.Apply(Row);
    return true;
  } catch (const std::exception &E) {
    logEvent("row_not_applied", {{"table", Options_.Table},
                                 {"part", Row.Where.Part},
                                 {"key", Row.Where.Key},
                                 {"row_version", Row.Version},
                                 {"error", E.what()}});
    return false;
  }
}

void TableFollower::endRows(bool All) {
  bool ForAll = All || std::exchange(EndFailedForAll_, false);
  EndFailed_ = false;
  try {
    if (Handlers_.End)
      Handlers_.End(ForAll);
    NextEnd_ = {};
  } catch (const std::exception &E) {
    logEvent("rows_not_ended",
             {{"table", Options_.Table}, {"error", E.what()}});
    EndFailed_ = true;
    EndFailedForAll_ = ForAll;
    recordFailure(NextEnd_, MaxRowRetryPause);
  }
}

/// When something that failed is to be tried next, if anything has failed.
std::optional<core::TimePoint> TableFollower::nextRowRetry() const {
  std::optional<core::TimePoint> First;
  auto Consider = [&First](const Retry &Next) {
    First = First ? std::min(*First, Next.At) : Next.At;
  };
  for (const auto &[Where, Failed] : Unapplied_)
    Consider(Failed.Next);
  if (UnappliedDropped_)
    Consider(NextFullRead_);
  if (EndFailed_)
    Consider(NextEnd_);
  return First;
}

void TableFollower::scheduleRowRetry() {
  std::optional<core::TimePoint> First = nextRowRetry();
  if (!First)
    return;
  core::TimePoint Now = bootNow();
  core::TimePoint At = std::max<core::TimePoint>(*First, Now + RowRetryStep);
  if (RowRetryAt_ && *RowRetryAt_ <= At)
    return;
  RowRetryAt_ = At;
  Loop_.after(At - Now, [this, At] {
    // An earlier call was scheduled since if they differ.
    if (RowRetryAt_ == At)
      retryRows();
  });
}

/// Passes the rows that are due again; returns how many were applied.
std::size_t TableFollower::retryUnapplied(core::TimePoint Now) {
  std::size_t Applied = 0;
  for (auto It = Unapplied_.begin(); It != Unapplied_.end();) {
    UnappliedRow &Failed = It->second;
    bool IsApplied = Failed.Next.At <= Now && applyRow(Failed.Row);
    if (!IsApplied && Failed.Next.At <= Now)
      recordFailure(Failed.Next, MaxRowRetryPause);
    Applied += IsApplied ? 1 : 0;
    It = IsApplied ? Unapplied_.erase(It) : std::next(It);
  }
  return Applied;
}

void TableFollower::retryRows() {
  RowRetryAt_.reset();
  core::TimePoint Now = bootNow();
  bool HadFailed = nextRowRetry().has_value();
  std::size_t Applied = retryUnapplied(Now);
  bool EndDue = EndFailed_ && NextEnd_.At <= Now;
  if (Applied > 0 || EndDue)
    endRows(false);
  if (UnappliedDropped_ && NextFullRead_.At <= Now) {
    // The rows that still fail then are to be read after a longer pause.
    UnappliedDropped_ = false;
    resync();
  }
  if (HadFailed)
    logEvent("rows_passed_again", {{"table", Options_.Table},
                                   {"applied", Applied},
                                   {"left", Unapplied_.size()}});
  scheduleRowRetry();
}

void TableFollower::scheduleRead(core::Duration Pause) {
  if (Pause == core::Duration::zero()) {
    Loop_.post([this] { sendRead(); });
    return;
  }
  Pausing_ = true;
  Loop_.after(Pause, [this, Number = ++PauseNumber_] {
    if (Pausing_ && Number == PauseNumber_)
      endPause();
  });
}

void TableFollower::endPause() {
  Pausing_ = false;
  sendRead();
}

void TableFollower::setPause(core::Duration Pause) {
  bool Shorter = Pause < Options_.Pause;
  Options_.Pause = Pause;
  if (Shorter && Pausing_)
    endPause();
}

void TableFollower::whenCurrent(std::function<void()> Done) {
  Waiters_.push_back({bootNow(), std::move(Done)});
  if (Pausing_)
    endPause();
}

void TableFollower::notifyWaiters() {
  std::vector<Waiter> Remaining;
  for (Waiter &W : std::exchange(Waiters_, {})) {
    if (W.Since > CurrentAt_) {
      Remaining.push_back(std::move(W));
      continue;
    }
    try {
      W.Done();
    } catch (const std::exception &E) {
      logEvent("table_waiter_failed",
               {{"table", Options_.Table}, {"error", E.what()}});
    }
  }
  std::move(Remaining.begin(), Remaining.end(), std::back_inserter(Waiters_));
}

} // namespace comfreydeck::dispatch
