#include "entry/Membership.h"

#include "core/Names.h"

#include <glog/logging.h>

#include <algorithm>

namespace comfreydeck::entry {

namespace {

constexpr core::Duration RegisterRetry = std::chrono::milliseconds(300);
constexpr core::Duration FenceRetry = std::chrono::milliseconds(200);
constexpr core::Duration FencePoll = std::chrono::milliseconds(20);
constexpr core::Duration ListEvery = std::chrono::seconds(5);
/// Maximum factor by which the read interval grows while reads fail.
constexpr int MaxBackoff = 4;
constexpr int FenceTries = 5;

bool sameMembers(std::span<const Member> A, std::span<const Member> B) {
  return std::equal(
      A.begin(), A.end(), B.begin(), B.end(),
      [](const Member &X, const Member &Y) { return X.Id == Y.Id; });
}

/// A random 0.8 to 1.2 times \p D, so that entries don't synchronize.
core::Duration jittered(core::Duration D, core::Rng &Random) {
  constexpr std::int64_t Percent = 100;
  auto Part = static_cast<std::int64_t>(Random() % 41) + 80;
  return core::Duration(D.count() * Part / Percent);
}

core::StoreReading readingFrom(core::TimePoint Sent, const SessionRows &Rows) {
  core::StoreReading R;
  R.Sent = Sent;
  R.Head = Rows.Head.Version;
  for (const auto &[Id, S] : Rows.Sessions)
    R.Sessions.push_back({Id, S.Notice, S.Fenced});
  return R;
}

} // namespace

Membership::Membership(const Context &C)
    : Context_(C), Exchange_(C, Lease_, [this] { publish(); }) {
  Lease_.Self = C.Self;
  Lease_.Bounds.Freshness = C.Settings.Lease.Freshness;
  Lease_.Bounds.StoreGrace = C.Settings.Lease.StoreGrace;
}

void Membership::setLog(LogAccess Log,
                        std::function<void(core::ConfigVersion)> OnHead) {
  Exchange_.setLog(std::move(Log));
  OnHead_ = std::move(OnHead);
}

void Membership::setOnFenced(std::function<void()> OnFenced) {
  OnFenced_ = std::move(OnFenced);
}

void Membership::start(std::function<void()> OnChange) {
  OnChange_ = std::move(OnChange);
  registerSelf();
}

void Membership::registerSelf() {
  const settings::EntrySettings &Entry = Context_.Settings.Entry;
  Session S;
  S.Entry = {Context_.Self, Entry.Name, Entry.DataCentre, Entry.PeerListen,
             Entry.Listen};
  store::RowKey Key = sessionKey(Context_.Self);
  store::Transaction T{"register-" + Key.Key, {}, {{Key, valueOf(S)}}};
  Context_.Tables.commit(std::move(T), [this](store::CommitResult Result) {
    Context_.Control.post([this, Outcome = Result.Outcome] {
      if (Outcome != store::CommitOutcome::Committed) {
        LOG(WARNING) << "membership: registration failed, trying again";
        Context_.Control.after(jittered(RegisterRetry, Context_.Random),
                               [this] { registerSelf(); });
        return;
      }
      LOG(INFO) << "membership: registered as " << core::nameOf(Context_.Self);
      core::onRegistered(Lease_, net::now());
      read();
      scheduleRead();
      readList();
      Context_.Control.every(Context_.Settings.Lease.PollEvery, [this] {
        if (!Leaving_)
          Exchange_.askAll();
        updateMembers();
      });
    });
  });
}

void Membership::scheduleRead() {
  int Times = std::min(1 << std::min(FailedReads_, 2), MaxBackoff);
  core::Duration Delay =
      jittered(Context_.Settings.Lease.PollEvery * Times, Context_.Random);
  Context_.Control.after(Delay, [this] {
    read();
    scheduleRead();
  });
}

void Membership::read() {
  if (Leaving_ || Lease_.Fenced)
    return;
  ReadAgain_ = Reading_;
  if (Reading_)
    return;
  Reading_ = true;
  core::TimePoint Sent = net::now();
  Context_.Tables.scan(sessionTable(), "", "", MaxSessionRows,
                       [this, Sent](store::ScanResult Result) {
                         Context_.Control.post([this, Sent, Result] {
                           Reading_ = false;
                           onScan(Sent, Result);
                           if (ReadAgain_)
                             read();
                         });
                       });
}

bool Membership::parseRows(const std::vector<store::Row> &Rows) {
  try {
    Rows_ = parseSessions(Rows);
    return true;
  } catch (const std::exception &E) {
    LOG(ERROR) << "membership: a row can't be read: " << E.what();
    return false;
  }
}

void Membership::onScan(core::TimePoint Sent, const store::ScanResult &Result) {
  bool Ok = Result.Outcome == store::ReadOutcome::Ok && !Result.More &&
            parseRows(Result.Rows);
  if (Ok != (FailedReads_ == 0))
    LOG(WARNING) << "membership: the store is " << (Ok ? "back" : "away");
  FailedReads_ = Ok ? 0 : FailedReads_ + 1;
  Exchange_.setStoreAway(!Ok);
  if (!Ok || Leaving_)
    return;
  for (const auto &[Id, S] : Rows_.Sessions)
    Exchange_.setAddress(Id, S.Entry.PeerAddress);
  core::onReading(Lease_, readingFrom(Sent, Rows_), net::now());
  core::onNoticeTaken(Lease_, Lease_.Known.Notice);
  dropReplaced();
  OnHead_(Rows_.Head.Version);
  publish();
  updateMembers();
  cleanUp();
}

void Membership::publish() {
  core::TimePoint Until =
      Leaving_ ? core::TimePoint() : core::currentUntil(Lease_);
  CurrentUntilUs_ = Until.time_since_epoch().count();
  if (!Lease_.Fenced || !OnFenced_ || Leaving_)
    return;
  LOG(ERROR) << "membership: fenced, this entry may not go on";
  std::exchange(OnFenced_, nullptr)();
}

void Membership::updateMembers() {
  std::vector<Member> Members;
  for (const auto &[Id, S] : Rows_.Sessions)
    if (!core::fenceInEffect(Lease_, Id, net::now()))
      Members.push_back(S.Entry);
  bool Changed = !sameMembers(Members, Members_);
  Members_ = std::move(Members);
  Metrics &Counters = Context_.Counters;
  Counters.setGauge("entries", static_cast<double>(Members_.size()));
  Counters.setGauge("current", isCurrent(net::now()) ? 1 : 0);
  Counters.setGauge("store_away", FailedReads_ > 0 ? 1 : 0);
  Counters.setGauge("config_version",
                    static_cast<double>(Lease_.Progress.Version.Value));
  if (Changed)
    OnChange_();
}

/// Only one process can listen on an address, so another session with this
/// entry's address belongs to a process that has ended.
void Membership::dropReplaced() {
  const std::string &Own = Context_.Settings.Entry.PeerListen;
  for (const auto &[Id, S] : Rows_.Sessions)
    if (Id != Context_.Self && S.Entry.PeerAddress == Own)
      core::onDropped(Lease_, Id);
}

void Membership::readList() {
  Context_.Instances.list([this](store::ListResult Result) {
    Context_.Control.post([this, Result] {
      onList(Result);
      Context_.Control.after(jittered(ListEvery, Context_.Random),
                             [this] { readList(); });
    });
  });
}

void Membership::onList(const store::ListResult &Result) {
  if (!Result.Ok || Leaving_)
    return;
  std::set<std::string> Now;
  for (const store::ListedInstance &I : Result.Instances)
    if (I.Kind == store::InstanceKind::Entry)
      Now.insert(I.Name);
  for (const auto &[Id, S] : Rows_.Sessions)
    if (Id != Context_.Self && Listed_.contains(S.Entry.Name) &&
        !Now.contains(S.Entry.Name))
      core::onDropped(Lease_, Id);
  Listed_.insert(Now.begin(), Now.end());
  publish();
}

void Membership::cleanUp() {
  for (const auto &[Id, S] : Rows_.Sessions) {
    if (Id == Context_.Self)
      continue;
    if (!S.Fenced && Exchange_.shouldFence(Id) && !Fencing_.contains(Id))
      fence(Id, [](FenceOutcome) {});
    bool Ended = core::fenceInEffect(Lease_, Id, net::now());
    if (Ended && Exchange_.isFirstHeard())
      removeRow(Id);
  }
}

void Membership::removeRow(core::Incarnation Id) {
  if (!Removing_.insert(Id).second)
    return;
  store::RowKey Key = sessionKey(Id);
  store::Transaction T{"remove-" + Key.Key,
                       {{Key, Rows_.Sessions[Id].RowVersion}},
                       {{Key, std::nullopt}}};
  Context_.Tables.commit(std::move(T), [this, Id](store::CommitResult) {
    Context_.Control.post([this, Id] { Removing_.erase(Id); });
  });
}

void Membership::fence(core::Incarnation Id,
                       std::function<void(FenceOutcome)> Done) {
  Fencing_.insert(Id);
  commitFence(Id, net::now(), FenceTries,
              [this, Id, Done = std::move(Done)](FenceOutcome Outcome) {
                Fencing_.erase(Id);
                Done(Outcome);
              });
}

void Membership::commitFence(core::Incarnation Id, core::TimePoint Asked,
                             int TriesLeft,
                             std::function<void(FenceOutcome)> Done) {
  auto Target = Rows_.Sessions.find(Id);
  auto Own = Rows_.Sessions.find(Context_.Self);
  bool Present = Target != Rows_.Sessions.end();
  // Only a read started after the call tells a removed row from one not yet
  // seen.
  bool Gone = !Present && Lease_.ReadingSent && *Lease_.ReadingSent > Asked;
  if (Gone || (Present && Target->second.Fenced))
    return awaitFence(Id, std::move(Done));
  if (Own == Rows_.Sessions.end() || TriesLeft == 0)
    return Done(FenceOutcome::Failed);
  if (!Present)
    return retryFence(Id, Asked, TriesLeft, std::move(Done));
  LOG(INFO) << "membership: fencing " << Target->second.Entry.Name;
  Session Fenced = Target->second;
  Fenced.Fenced = true;
  store::RowKey Key = sessionKey(Id);
  // Also conditional on this entry's row: of two entries that fence each other,
  // only one succeeds.
  store::Transaction T{"fence-" + Key.Key,
                       {{Key, Fenced.RowVersion},
                        {sessionKey(Context_.Self), Own->second.RowVersion}},
                       {{Key, valueOf(Fenced)}}};
  Context_.Tables.commit(std::move(T), [this, Id, Asked, TriesLeft,
                                        Done](store::CommitResult Result) {
    Context_.Control.post([this, Id, Asked, TriesLeft, Done, Result] {
      if (Result.Outcome != store::CommitOutcome::Committed)
        return retryFence(Id, Asked, TriesLeft, Done);
      core::onFenceCommitted(Lease_, Id, net::now());
      awaitFence(Id, Done);
    });
  });
}

/// Reads again first: the failed commit may have been applied.
void Membership::retryFence(core::Incarnation Id, core::TimePoint Asked,
                            int TriesLeft,
                            std::function<void(FenceOutcome)> Done) {
  read();
  Context_.Control.after(FenceRetry, [this, Id, Asked, TriesLeft, Done] {
    commitFence(Id, Asked, TriesLeft - 1, Done);
  });
}

void Membership::awaitFence(core::Incarnation Id,
                            std::function<void(FenceOutcome)> Done) {
  bool Known = core::findPeer(Lease_, Id) != nullptr;
  if (!Known || core::fenceInEffect(Lease_, Id, net::now())) {
    updateMembers();
    return Done(FenceOutcome::Fenced);
  }
  Context_.Control.after(FencePoll, [this, Id, Done] { awaitFence(Id, Done); });
}

void Membership::leave(std::function<void()> Done) {
  Leaving_ = true;
  publish();
  Exchange_.sayGoodbye([this, Done = std::move(Done)] {
    store::RowKey Key = sessionKey(Context_.Self);
    store::Transaction T{"leave-" + Key.Key, {}, {{Key, std::nullopt}}};
    Context_.Tables.commit(std::move(T), [this, Done](store::CommitResult) {
      Context_.Control.post(Done);
    });
  });
}

core::TimePoint Membership::currentUntil() const {
  return core::TimePoint(core::Duration(CurrentUntilUs_.load()));
}

const Member *Membership::find(core::Incarnation Id) const {
  for (const Member &M : Members_)
    if (M.Id == Id)
      return &M;
  return nullptr;
}

void Membership::applied(core::ConfigVersion Version) {
  core::onApplied(Lease_, Version, net::now());
  publish();
}

core::InForceCount Membership::countInForce(core::ConfigVersion Version) const {
  core::InForceCount Count = core::countInForce(Lease_, Version, net::now());
  Count.Complete = Count.Complete && isCurrent(net::now());
  return Count;
}

void Membership::pushChanges() {
  Exchange_.pushChanges();
  read();
}

} // namespace comfreydeck::entry
