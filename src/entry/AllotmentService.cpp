#include "entry/AllotmentService.h"

#include "codec/OwnershipJson.h"

#include <glog/logging.h>

namespace comfreydeck::entry {

namespace {

constexpr const char *AllotmentTable = "allotments";
constexpr const char *PoolTable = "pools";
constexpr std::uint32_t PageRows = 1000;
constexpr core::Duration PollEvery = std::chrono::milliseconds(500);
/// How long an unused share is kept for the next burst.
constexpr core::Duration PeakRetention = std::chrono::seconds(5);

} // namespace

AllotmentService::AllotmentService(const Context &C) : Context_(C) {}

void AllotmentService::start(std::function<void()> OnChange) {
  OnChange_ = std::move(OnChange);
  Context_.Control.every(PollEvery, [this] {
    if (!TakenOverAt_.empty())
      poll();
  });
}

void AllotmentService::begin(core::PoolId Pool) {
  end(Pool);
  TakenOverAt_[Pool] = net::now();
  poll();
}

void AllotmentService::end(core::PoolId Pool) {
  TakenOverAt_.erase(Pool);
  ReadPools_.erase(Pool);
  std::erase_if(Views_,
                [&](const auto &Item) { return Item.first.first == Pool; });
}

void AllotmentService::poll() {
  if (Polling_) {
    PollAgain_ = true;
    return;
  }
  Polling_ = true;
  NewRows_.clear();
  readPage(net::now(), "");
}

void AllotmentService::readPage(core::TimePoint Sent, std::string After) {
  Context_.Tables.scan(AllotmentTable, "", std::move(After), PageRows,
                       [this, Sent](store::ScanResult Result) {
                         Context_.Control.post(
                             [this, Sent, Result] { onScan(Sent, Result); });
                       });
}

void AllotmentService::onScan(core::TimePoint Sent,
                              const store::ScanResult &Result) {
  bool Ok = Result.Outcome == store::ReadOutcome::Ok;
  for (const store::Row &Row : Result.Rows) {
    try {
      core::AllotmentRow Read = codec::parseAllotment(Row.Value);
      NewRows_[Read.Team] = {Read, Row.Version};
    } catch (const std::runtime_error &) {
      LOG(ERROR) << "pools: allotment row " << Row.Key << " can't be read";
    }
  }
  if (Ok && Result.More)
    return readPage(Sent, Result.Rows.back().Key);
  Polling_ = false;
  if (Ok) {
    Rows_ = std::move(NewRows_);
    for (const auto &[Pool, Since] : TakenOverAt_)
      if (Sent >= Since)
        ReadPools_.insert(Pool);
    for (auto &[Key, V] : Views_) {
      auto It = Rows_.find(Key.second);
      if (It != Rows_.end() && ReadPools_.contains(Key.first))
        core::updateView(V.Seen, It->second.first, It->second.second);
    }
    OnChange_();
  }
  if (std::exchange(PollAgain_, false))
    poll();
}

std::uint32_t AllotmentService::usable(core::PoolId Pool,
                                       const core::Team &T) const {
  auto It = Views_.find({Pool, T.Id});
  if (It == Views_.end())
    return 0;
  return core::usableAllotment(It->second.Seen, Pool,
                               {T.UpperLimit, T.LimitSince});
}

std::uint32_t AllotmentService::updatePeak(View &V, const core::PoolUse &Use) {
  core::TimePoint Now = net::now();
  std::uint32_t Need = Use.Running + Use.Waiting;
  if (Need >= V.Peak || Now - V.PeakAt > PeakRetention) {
    V.Peak = Need;
    V.PeakAt = Now;
  }
  return V.Peak;
}

void AllotmentService::update(const PoolTerm &Term, const core::Team &T,
                              const core::PoolUse &Use) {
  if (!ReadPools_.contains(Term.Pool))
    return;
  View &V = Views_[{Term.Pool, T.Id}];
  if (!V.Seen.Known) {
    // Without a row in the last scan, the view starts from an empty row.
    core::AllotmentRow None;
    None.Team = T.Id;
    auto It = Rows_.find(T.Id);
    core::updateView(V.Seen, It == Rows_.end() ? None : It->second.first,
                     It == Rows_.end() ? 0 : It->second.second);
  }
  core::PoolUse Seen = Use;
  Seen.Peak = updatePeak(V, Use);
  bool Idle = V.Seen.Version == 0 && Use.Running + Use.Waiting == 0;
  if (V.Writing || Idle || !core::mayWriteRow(V.LastWrite, net::now()))
    return;
  std::optional<core::AllotmentRow> Next =
      core::nextRow(V.Seen, Term.Pool, Seen, {T.UpperLimit, T.LimitSince});
  if (!Next)
    return;
  V.Writing = true;
  V.LastWrite = net::now();
  write(Term, T.Id, *Next, V.Seen.Version);
}

void AllotmentService::write(const PoolTerm &Term, core::TeamId Team,
                             const core::AllotmentRow &Row,
                             std::uint64_t Version) {
  store::RowKey Key{AllotmentTable, std::to_string(Team.Value)};
  store::RowKey Owner{PoolTable, std::to_string(Term.Pool.Value)};
  store::Transaction T;
  T.Id = "allot-" + Key.Key + "-" + Owner.Key;
  // Rejects the write if ownership of the pool has changed since.
  T.Conditions = {{Key, Version}, {Owner, Term.RowVersion}};
  T.Writes = {{Key, codec::toJson(Row)}};
  Context_.Tables.commit(std::move(T), [this, Pool = Term.Pool, Team, Row](
                                           const store::CommitResult &Result) {
    Context_.Control.post([this, Pool, Team, Row, Result] {
      onWritten({Pool, Team}, Row, Result);
    });
  });
}

void AllotmentService::onWritten(const ViewKey &Key,
                                 const core::AllotmentRow &Row,
                                 const store::CommitResult &Result) {
  auto It = Views_.find(Key);
  if (It == Views_.end())
    return;
  View &V = It->second;
  V.Writing = false;
  switch (Result.Outcome) {
  case store::CommitOutcome::Committed:
    core::updateView(V.Seen, Row, Result.Versions.front());
    Rows_[Key.second] = {Row, Result.Versions.front()};
    return OnChange_();
  case store::CommitOutcome::NotApplied:
    return core::onNotApplied(V.Seen);
  case store::CommitOutcome::Conflict:
    // Another owner wrote first: read again at once and retry.
    core::onNotApplied(V.Seen);
    V.LastWrite.reset();
    return poll();
  case store::CommitOutcome::Unknown:
    core::onOutcomeUnknown(V.Seen);
    return poll();
  }
}

} // namespace comfreydeck::entry
