#ifndef COMFREYDECK_TESTS_DISPATCH_INMEMORYSTORE_H
#define COMFREYDECK_TESTS_DISPATCH_INMEMORYSTORE_H

#include "net/Loop.h"
#include "store/PartitionedStore.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace comfreydeck::tests {

enum class CommitFate : std::uint8_t {
  Answered,
  /// Done at once and not answered.
  Done,
  /// Done later, if its conditions hold then, and not answered.
  Late,
  /// Neither done nor answered.
  NotDone,
  /// Answered as not done.
  Refused,
};

struct LostCommits {
  std::uint32_t Commits = 0;
  std::uint32_t Unanswered = 0;
  /// Commits with the conditions of one that had no answer and whose time limit
  /// had not passed.
  std::uint32_t RepeatedWhileOpen = 0;
  /// Late commits whose conditions held, and those whose did not.
  std::uint32_t LateApplied = 0;
  std::uint32_t LateRefused = 0;
};

/// A store in memory that answers immediately and refuses for good what the
/// platform's store refuses as too long. A long poll is answered by the first
/// change of its table that a test makes, or never. Thread-safe.
class InMemoryStore : public store::PartitionedStore {
public:
  void put(const store::PartKey &Where, const std::string &Value) {
    change({Where, Value, 0, false});
  }
  void remove(const store::PartKey &Where) { change({Where, "", 0, true}); }
  /// What the store's clock shows.
  static std::chrono::milliseconds clock() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               net::bootNow().time_since_epoch()) +
           std::chrono::hours(30);
  }
  std::uint32_t readCount() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return ReadCount_;
  }

  /// From now on, reads of the table fail.
  void failReads(const std::string &Table) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    FailingTables_.insert(Table);
  }

  /// From now on, commits that put or remove the row are refused for good.
  void refuseRow(const store::PartKey &Where) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Refused_.insert(Where);
  }
  void acceptAllRows() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Refused_.clear();
  }
  /// Number of commits that were refused for good.
  std::uint32_t refusedCommits() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return RefusedCommits_;
  }
  std::optional<store::PartRow> find(const store::PartKey &Where) const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    auto It = Rows_.find(Where);
    if (It == Rows_.end() || It->second.Removed)
      return std::nullopt;
    return It->second;
  }

  /// From now on, reads of the table get no answer.
  void silenceReads(const std::string &Table) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    SilentTables_.insert(Table);
  }

  /// From now on, commits are applied and answered as conflicts, as those that
  /// were sent twice. The answers name \p Owner with version \p OwnerVersion
  /// and the new version of \p Chain.
  void repeatCommits(const store::PartKey &Owner, std::uint64_t OwnerVersion,
                     const store::PartKey &Chain) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Repeated_ = {{Owner, "", OwnerVersion, false}, {Chain, "", 0, false}};
  }

  /// From now on, commits are subject to their conditions, except for those on
  /// rows of owners, and \p FateOf decides what becomes of each by its number
  /// (from 0). \p Loop must outlive all calls.
  void loseCommits(net::Loop &Loop,
                   std::function<CommitFate(std::uint32_t)> FateOf) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Loop_ = &Loop;
    FateOf_ = std::move(FateOf);
    Lost_ = {};
  }
  /// Counts since the last call of \ref loseCommits.
  LostCommits lostCommits() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Lost_;
  }

  void commit(store::PartTransaction T, core::Duration Limit,
              store::PartCallback Done) override {
    if (isLosing()) {
      commitOrLose(std::move(T), Limit, std::move(Done));
      return;
    }
    if (isTooLong(T) || isRefused(T)) {
      store::PartAnswer Refusal;
      Refusal.Permanent = true;
      Refusal.Error = "status 400";
      {
        std::lock_guard<std::mutex> Lock(Mutex_);
        ++RefusedCommits_;
      }
      Done(std::move(Refusal));
      return;
    }
    for (const store::PartWrite &Put : T.Puts)
      put(Put.Where, Put.Value);
    if (std::vector<store::PartRow> Rows = conflictRows(); !Rows.empty()) {
      store::PartAnswer Conflict;
      Conflict.Outcome = store::PartOutcome::Conflict;
      Conflict.Rows = std::move(Rows);
      Done(std::move(Conflict));
      return;
    }
    Done(answer([](const store::PartRow &) { return false; }));
  }
  void read(store::PartRange Range, store::PartCallback Done) override {
    if (isSilent(Range.Table))
      return;
    if (isFailing(Range.Table))
      Done({});
    else
      Done(answer([&](const store::PartRow &Row) {
        return Row.Where.Table == Range.Table && Row.Where.Part == Range.Part &&
               !Row.Removed;
      }));
  }
  void changes(std::string Table, std::uint64_t After, core::Duration Wait,
               store::PartCallback Done) override {
    store::PartAnswer Answer = answer([&](const store::PartRow &Row) {
      return Row.Where.Table == Table && Row.Version > After;
    });
    if (!Answer.Rows.empty() || Wait == core::Duration::zero()) {
      Done(std::move(Answer));
      return;
    }
    std::lock_guard<std::mutex> Lock(Mutex_);
    Polls_.push_back({std::move(Table), Answer.Version, std::move(Done)});
  }

private:
  /// A long poll that has not been answered.
  struct Poll {
    std::string Table;
    std::uint64_t After = 0;
    store::PartCallback Done;
  };

  void change(store::PartRow Row) {
    std::vector<Poll> Due;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Row.Version = ++Version_;
      Rows_[Row.Where] = Row;
      auto Others =
          std::partition(Polls_.begin(), Polls_.end(), [&](const Poll &P) {
            return P.Table != Row.Where.Table;
          });
      std::move(Others, Polls_.end(), std::back_inserter(Due));
      Polls_.erase(Others, Polls_.end());
    }
    for (Poll &P : Due)
      changes(std::move(P.Table), P.After, core::Duration::zero(),
              std::move(P.Done));
  }
  bool isLosing() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return FateOf_ != nullptr;
  }
  void commitOrLose(store::PartTransaction T, core::Duration Limit,
                    store::PartCallback Done) {
    constexpr std::chrono::milliseconds LateBy(700);
    CommitFate Fate = CommitFate::Answered;
    std::string Key;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Fate = FateOf_(Lost_.Commits++);
      for (const store::PartCondition &Condition : T.Conditions)
        Key +=
            Condition.Where.Key + ' ' + std::to_string(Condition.Version) + ' ';
      Lost_.RepeatedWhileOpen += Open_.count(Key) != 0 ? 1 : 0;
      if (Fate != CommitFate::Answered && Fate != CommitFate::Refused) {
        ++Lost_.Unanswered;
        Open_.insert(Key);
      }
    }
    if (Fate == CommitFate::Answered) {
      Done(apply(T));
      return;
    }
    if (Fate == CommitFate::Refused) {
      Done({});
      return;
    }
    if (Fate == CommitFate::Done)
      apply(T);
    if (Fate == CommitFate::Late)
      Loop_->after(LateBy, [this, T = std::move(T)] {
        bool Applied = apply(T).Outcome == store::PartOutcome::Ok;
        std::lock_guard<std::mutex> Lock(Mutex_);
        ++(Applied ? Lost_.LateApplied : Lost_.LateRefused);
      });
    Loop_->after(Limit, [this, Key, Done = std::move(Done)] {
      {
        std::lock_guard<std::mutex> Lock(Mutex_);
        Open_.erase(Open_.find(Key));
      }
      store::PartAnswer Answer;
      Answer.Outcome = store::PartOutcome::Unknown;
      Done(Answer);
    });
  }
  /// Applies the transaction as the platform's store does, with one version for
  /// all rows.
  store::PartAnswer apply(const store::PartTransaction &T) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    store::PartAnswer Answer;
    Answer.Outcome = store::PartOutcome::Ok;
    for (const store::PartCondition &Condition : T.Conditions) {
      auto It = Rows_.find(Condition.Where);
      bool IsThere = It != Rows_.end() && !It->second.Removed;
      std::uint64_t Version = IsThere ? It->second.Version : 0;
      if (Condition.Where.Table == "control")
        Version = Condition.Version;
      if (Version != Condition.Version)
        Answer.Outcome = store::PartOutcome::Conflict;
      Answer.Rows.push_back({Condition.Where, "", Version, false});
    }
    if (Answer.Outcome == store::PartOutcome::Ok) {
      ++Version_;
      for (const store::PartWrite &Put : T.Puts)
        Rows_[Put.Where] = {Put.Where, Put.Value, Version_, false};
      for (const store::PartKey &Key : T.Removals)
        Rows_[Key] = {Key, "", Version_, true};
    }
    Answer.Version = Version_;
    Answer.Clock = clock();
    return Answer;
  }
  static bool isTooLong(const store::PartTransaction &T) {
    constexpr std::size_t MaxRowBytes = 65536;
    constexpr std::size_t MaxTransactionBytes = 1000000;
    constexpr std::size_t MaxEntries = 100;
    std::size_t Bytes = 0;
    bool LongRow = false;
    for (const store::PartWrite &Put : T.Puts) {
      LongRow = LongRow || Put.Value.size() > MaxRowBytes;
      // In base64.
      Bytes += Put.Value.size() / 3 * 4;
    }
    return LongRow || Bytes > MaxTransactionBytes ||
           T.Conditions.size() + T.Puts.size() + T.Removals.size() > MaxEntries;
  }
  bool isRefused(const store::PartTransaction &T) const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return std::any_of(T.Puts.begin(), T.Puts.end(),
                       [this](const store::PartWrite &Put) {
                         return Refused_.count(Put.Where) != 0;
                       }) ||
           std::any_of(T.Removals.begin(), T.Removals.end(),
                       [this](const store::PartKey &Key) {
                         return Refused_.count(Key) != 0;
                       });
  }
  std::vector<store::PartRow> conflictRows() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    std::vector<store::PartRow> Rows = Repeated_;
    if (!Rows.empty())
      Rows.back().Version = Version_;
    return Rows;
  }
  bool isFailing(const std::string &Table) const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return FailingTables_.count(Table) != 0;
  }
  bool isSilent(const std::string &Table) const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return SilentTables_.count(Table) != 0;
  }
  template <typename Wanted> store::PartAnswer answer(Wanted IsWanted) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    ++ReadCount_;
    store::PartAnswer Answer;
    Answer.Outcome = store::PartOutcome::Ok;
    Answer.Version = Version_;
    Answer.Clock = clock();
    for (const auto &[Where, Row] : Rows_)
      if (IsWanted(Row))
        Answer.Rows.push_back(Row);
    return Answer;
  }

  mutable std::mutex Mutex_;
  std::map<store::PartKey, store::PartRow> Rows_;
  std::set<std::string> FailingTables_;
  std::set<std::string> SilentTables_;
  std::set<store::PartKey> Refused_;
  std::uint32_t RefusedCommits_ = 0;
  std::vector<store::PartRow> Repeated_;
  std::vector<Poll> Polls_;
  net::Loop *Loop_ = nullptr;
  std::function<CommitFate(std::uint32_t)> FateOf_;
  LostCommits Lost_;
  /// Conditions of commits that are not answered yet.
  std::multiset<std::string> Open_;
  std::uint64_t Version_ = 0;
  std::uint32_t ReadCount_ = 0;
};

} // namespace comfreydeck::tests

#endif // COMFREYDECK_TESTS_DISPATCH_INMEMORYSTORE_H
