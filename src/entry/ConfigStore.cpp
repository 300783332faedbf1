#include "entry/ConfigStore.h"

#include "codec/ConfigJson.h"
#include "core/Names.h"

#include <glog/logging.h>

#include <algorithm>

namespace comfreydeck::entry {

namespace {

constexpr const char *LogTable = "config-log";
constexpr std::uint32_t MaxChangesRead = 200;
constexpr std::size_t VersionDigits = 20;
/// Changes cached in memory to be sent to other entries.
constexpr std::size_t MaxRecent = 100;
/// Versions between two snapshots.
constexpr std::uint64_t SnapshotInterval = 50;
/// Log rows retained although a snapshot covers them, so that entries that are
/// slightly out of date need not read the snapshot.
constexpr std::uint64_t RetainedChanges = 50;
constexpr core::Duration InForceLimit = std::chrono::seconds(5);
constexpr core::Duration InForcePoll = std::chrono::milliseconds(10);
constexpr core::Duration ReadBackInterval = std::chrono::milliseconds(300);
/// How long an operator waits for the outcome of a commit whose response was
/// lost.
constexpr core::Duration ReadBackLimit = std::chrono::seconds(10);
/// Attempts to commit a change. A commit that conflicts only with the head row
/// update of a snapshot is retried.
constexpr int MaxCommitAttempts = 3;

/// Zero-padded, so that rows sort by version.
std::string logKey(core::ConfigVersion Version) {
  std::string Digits = std::to_string(Version.Value);
  return std::string(VersionDigits - Digits.size(), '0') + Digits;
}

std::string snapshotName(core::ConfigVersion Version) {
  return "config-" + logKey(Version);
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

LogPage pageOf(const store::ScanResult &Result) {
  LogPage Page;
  Page.More = Result.More;
  try {
    for (const store::Row &Row : Result.Rows)
      Page.Changes.push_back(codec::parseConfigChange(Row.Value));
    Page.Available = Result.Outcome == store::ReadOutcome::Ok;
  } catch (const codec::CodecError &E) {
    LOG(ERROR) << "config: can't parse a log row: " << E.what();
  }
  return Page;
}

} // namespace

/// A proposal that is being committed.
struct ConfigStore::PendingProposal {
  ConfigProposal Request;
  std::function<void(ProposalResult)> Done;
  core::ConfigChange Change;
  LogHead Head;
  core::TimePoint StartedAt;
  int AttemptsLeft = MaxCommitAttempts;
  /// Whether an earlier attempt to commit the change may have been applied or
  /// may still be applied.
  bool MayBeApplied = false;

  void answer(ProposalOutcome Outcome, core::ConfigVersion Version,
              std::string Message) {
    if (Done)
      std::exchange(Done, nullptr)({Outcome, Version, std::move(Message)});
  }
};

ConfigStore::ConfigStore(const Context &C, Membership &Members)
    : Context_(C), Members_(Members),
      Current_(std::make_shared<core::Configuration>()) {
  LogAccess Log;
  Log.ChangesAfter = [this](core::ConfigVersion V) { return changesAfter(V); };
  Log.OnChanges = [this](const std::vector<std::string> &Changes) {
    onChanges(Changes);
  };
  Members_.setLog(std::move(Log), [this](core::ConfigVersion V) { onHead(V); });
}

void ConfigStore::start(std::function<void()> OnChange) {
  OnChange_ = std::move(OnChange);
}

std::shared_ptr<const core::Configuration> ConfigStore::current() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Current_;
}

void ConfigStore::onHead(core::ConfigVersion Head) {
  Head_ = std::max(Head_, Head);
  if (current()->Version < Head_)
    readLog();
}

void ConfigStore::readLog() {
  if (IsReading_)
    return;
  IsReading_ = true;
  Context_.Tables.scan(LogTable, "", logKey(current()->Version), MaxChangesRead,
                       [this](store::ScanResult Result) {
                         Context_.Control.post([this, Result] {
                           IsReading_ = false;
                           onLog(Result);
                         });
                       });
}

void ConfigStore::onLog(const store::ScanResult &Result) {
  if (Result.Outcome != store::ReadOutcome::Ok)
    return;
  core::ConfigVersion Next{current()->Version.Value + 1};
  bool Trimmed = Result.Rows.empty() || Result.Rows.front().Key != logKey(Next);
  if (Trimmed && current()->Version < Head_)
    return readSnapshot();
  onRows(Result.Rows);
  if (Result.More)
    readLog();
}

void ConfigStore::onRows(const std::vector<store::Row> &Rows) {
  std::vector<std::string> Changes;
  Changes.reserve(Rows.size());
  for (const store::Row &Row : Rows)
    Changes.push_back(Row.Value);
  onChanges(Changes);
}

/// Loads the latest snapshot, since the log rows that follow the current
/// version have been trimmed.
void ConfigStore::readSnapshot() {
  IsReading_ = true;
  Context_.Tables.read(headKey(), [this](const store::ReadResult &Result) {
    Context_.Control.post([this, Result] {
      if (!Result.Found) {
        IsReading_ = false;
        return;
      }
      std::string Name = snapshotName(parseHead(*Result.Found).Snapshot);
      Context_.Objects.get(Name, [this](store::ObjectResult Object) {
        Context_.Control.post([this, Object = std::move(Object)] {
          IsReading_ = false;
          if (!Object.Content)
            return;
          core::Configuration C = codec::parseConfiguration(*Object.Content);
          if (C.Version <= current()->Version)
            return;
          Recent_.clear();
          replace(std::move(C));
          if (current()->Version < Head_)
            readLog();
        });
      });
    });
  });
}

void ConfigStore::onChanges(const std::vector<std::string> &Changes) {
  try {
    for (const std::string &Text : Changes) {
      core::ConfigChange Change = codec::parseConfigChange(Text);
      if (Change.Version.Value == current()->Version.Value + 1)
        applyNext(Change, Text);
    }
  } catch (const std::runtime_error &E) {
    // This entry must not skip the change: without it, it isn't current.
    LOG(ERROR) << "config: can't apply a change: " << E.what();
  }
}

std::vector<std::string>
ConfigStore::changesAfter(core::ConfigVersion Version) const {
  std::vector<std::string> Changes;
  for (const LogEntry &E : Recent_)
    if (E.Version > Version)
      Changes.push_back(E.Text);
  return Changes;
}

void ConfigStore::applyNext(const core::ConfigChange &Change,
                            std::string Text) {
  core::Configuration Next = core::apply(*current(), Change);
  Recent_.push_back({Change.Version, std::move(Text)});
  if (Recent_.size() > MaxRecent)
    Recent_.pop_front();
  replace(std::move(Next));
}

void ConfigStore::replace(core::Configuration Next) {
  core::ConfigVersion Version = Next.Version;
  LOG(INFO) << "config: version " << Version.Value << " in use";
  auto Shared = std::make_shared<const core::Configuration>(std::move(Next));
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Current_ = std::move(Shared);
  }
  Head_ = std::max(Head_, Version);
  // The components that make decisions use the new version before this entry
  // reports it as applied.
  OnChange_();
  Members_.applied(Version);
}

void ConfigStore::propose(ConfigProposal Proposal,
                          std::function<void(ProposalResult)> Done) {
  auto P = std::make_shared<PendingProposal>();
  P->Request = std::move(Proposal);
  P->Done = std::move(Done);
  P->StartedAt = net::now();
  readHead(std::move(P));
}

void ConfigStore::readHead(std::shared_ptr<PendingProposal> P) {
  Context_.Tables.read(headKey(), [this, P](const store::ReadResult &Read) {
    Context_.Control.post([this, P, Read] {
      if (Read.Outcome != store::ReadOutcome::Ok)
        return P->answer(ProposalOutcome::Unavailable, current()->Version,
                         "the store is away; nothing was written");
      P->Head = Read.Found ? parseHead(*Read.Found) : LogHead{};
      onHead(P->Head.Version);
      prepare(P);
    });
  });
}

void ConfigStore::prepare(const std::shared_ptr<PendingProposal> &P) {
  std::shared_ptr<const core::Configuration> Now = current();
  if (P->Change.Version.Value != 0 &&
      P->Head.Version.Value > P->Change.Version.Value)
    return P->answer(ProposalOutcome::Unknown, P->Change.Version,
                     "the log was trimmed before the change was read back");
  if (Now->Version != P->Head.Version)
    return P->answer(ProposalOutcome::Conflict, P->Head.Version,
                     "another change came first");
  if (P->Request.Expected && *P->Request.Expected != Now->Version)
    return P->answer(ProposalOutcome::Conflict, Now->Version,
                     "the configuration is at another version");
  P->Change.Version.Value = Now->Version.Value + 1;
  P->Change.Id =
      core::nameOf(Context_.Self) + "-" + std::to_string(Context_.Random());
  P->Change.By = P->Request.By;
  P->Change.AtUnixMs = unixMs();
  P->Change.Edits = P->Request.Edits;
  try {
    core::apply(*Now, P->Change);
  } catch (const core::ConfigError &E) {
    return P->answer(ProposalOutcome::Invalid, Now->Version, E.what());
  }
  commit(P);
}

void ConfigStore::commit(const std::shared_ptr<PendingProposal> &P) {
  LogHead Next = P->Head;
  Next.Version = P->Change.Version;
  store::RowKey Key{LogTable, logKey(P->Change.Version)};
  store::Transaction T{
      P->Change.Id,
      {{headKey(), P->Head.RowVersion}, {Key, 0}},
      {{headKey(), valueOf(Next)}, {Key, codec::toJson(P->Change)}}};
  Context_.Tables.commit(
      std::move(T), [this, P](const store::CommitResult &Result) {
        Context_.Control.post(
            [this, P, Outcome = Result.Outcome] { onCommitted(P, Outcome); });
      });
}

void ConfigStore::readLog(core::ConfigVersion After, std::uint32_t Limit,
                          std::function<void(LogPage)> Done) {
  Context_.Tables.scan(
      LogTable, "", logKey(After), Limit,
      [this, Done = std::move(Done)](const store::ScanResult &Result) {
        Context_.Control.post([Done, Page = pageOf(Result)] { Done(Page); });
      });
}

void ConfigStore::onCommitted(const std::shared_ptr<PendingProposal> &P,
                              store::CommitOutcome Outcome) {
  switch (Outcome) {
  case store::CommitOutcome::Committed:
    return finish(P);
  case store::CommitOutcome::Conflict:
    // The head row has changed, so no earlier attempt can still be applied.
    P->MayBeApplied = false;
    return readBack(P);
  case store::CommitOutcome::NotApplied:
    if (!P->MayBeApplied)
      return P->answer(ProposalOutcome::Unavailable, current()->Version,
                       "the store is away; nothing was written");
    return readBack(P);
  case store::CommitOutcome::Unknown:
    P->MayBeApplied = true;
    return readBack(P);
  }
}

/// Reads the log row of the change's version and compares ids, since an earlier
/// attempt may have been applied.
void ConfigStore::readBack(const std::shared_ptr<PendingProposal> &P) {
  store::RowKey Key{LogTable, logKey(P->Change.Version)};
  Context_.Tables.read(Key, [this, P](const store::ReadResult &Result) {
    Context_.Control.post([this, P, Result] { onReadBack(P, Result); });
  });
}

void ConfigStore::onReadBack(const std::shared_ptr<PendingProposal> &P,
                             const store::ReadResult &Result) {
  bool Ok = Result.Outcome == store::ReadOutcome::Ok;
  if (Ok && Result.Found) {
    if (codec::parseConfigChange(Result.Found->Value).Id == P->Change.Id)
      return finish(P);
    onHead(P->Change.Version);
    return P->answer(ProposalOutcome::Conflict, P->Change.Version,
                     "another change came first");
  }
  if (net::now() - P->StartedAt > ReadBackLimit)
    P->answer(ProposalOutcome::Unknown, P->Change.Version,
              "the store's answer was lost and can't be read back yet");
  if (Ok && !P->MayBeApplied)
    return retryFromHead(P);
  // The same change is resent with the same conditions until the outcome is
  // definite, so that it can't be applied later unnoticed.
  Context_.Control.after(ReadBackInterval, [this, P, Ok] {
    if (Ok)
      commit(P);
    else
      readBack(P);
  });
}

/// Starts over from the head row after a conflict that was not caused by
/// another change.
void ConfigStore::retryFromHead(const std::shared_ptr<PendingProposal> &P) {
  if (--P->AttemptsLeft > 0 && P->Done)
    return readHead(P);
  P->answer(ProposalOutcome::Conflict, current()->Version,
            "another change came first");
}

void ConfigStore::finish(const std::shared_ptr<PendingProposal> &P) {
  onChanges({codec::toJson(P->Change)});
  onHead(P->Change.Version);
  Members_.pushChanges();
  awaitInForce(P);
  if (P->Change.Version.Value % SnapshotInterval == 0)
    snapshot();
}

void ConfigStore::awaitInForce(const std::shared_ptr<PendingProposal> &P) {
  ProposalResult Progress = progressOf(P->Change.Version);
  bool TimeUp = net::now() - P->StartedAt > InForceLimit;
  if (Progress.Outcome == ProposalOutcome::InForce || TimeUp)
    return P->answer(Progress.Outcome, Progress.Version, Progress.Message);
  Context_.Control.after(InForcePoll, [this, P] { awaitInForce(P); });
}

ProposalResult ConfigStore::progressOf(core::ConfigVersion Version) const {
  if (Version > current()->Version)
    return {ProposalOutcome::Invalid, current()->Version,
            "there is no such version yet"};
  core::InForceCount Count = Members_.countInForce(Version);
  if (Count.everywhere())
    return {ProposalOutcome::InForce, Version, "in force everywhere"};
  return {ProposalOutcome::Pending, Version,
          "in force on " + std::to_string(Count.InForce) + " of " +
              std::to_string(Count.Entries)};
}

/// Writes the current version to the object store, then records it in the head
/// row.
void ConfigStore::snapshot() {
  std::shared_ptr<const core::Configuration> Now = current();
  core::ConfigVersion Version = Now->Version;
  Context_.Objects.put(
      snapshotName(Version), codec::toJson(*Now), [this, Version](bool Ok) {
        if (!Ok)
          return;
        Context_.Tables.read(headKey(),
                             [this, Version](const store::ReadResult &Read) {
                               Context_.Control.post([this, Version, Read] {
                                 if (Read.Found)
                                   trim(parseHead(*Read.Found), Version);
                               });
                             });
      });
}

void ConfigStore::trim(LogHead Head, core::ConfigVersion Snapshot) {
  if (Head.Snapshot >= Snapshot)
    return;
  std::uint64_t Kept = std::min(Snapshot.Value, RetainedChanges);
  std::uint64_t First = Head.Snapshot.Value;
  First -= std::min(First, RetainedChanges);
  store::Transaction T{
      "snapshot-" + logKey(Snapshot), {{headKey(), Head.RowVersion}}, {}};
  for (std::uint64_t V = First + 1; V + Kept <= Snapshot.Value; ++V)
    T.Writes.push_back({{LogTable, logKey({V})}, std::nullopt});
  Head.Snapshot = Snapshot;
  T.Writes.push_back({headKey(), valueOf(Head)});
  LOG(INFO) << "config: snapshot of version " << Snapshot.Value;
  Context_.Tables.commit(std::move(T), [](const store::CommitResult &) {});
}

} // namespace comfreydeck::entry
