#include "entry/UnresolvedStore.h"

#include "codec/ConfigJson.h"

#include <glog/logging.h>

namespace comfreydeck::entry {

namespace {

constexpr const char *UnresolvedTable = "unresolved";
constexpr const char *ClaimTable = "claims";
constexpr std::uint32_t MaxScannedRows = 1000;
constexpr core::Duration ReadRetryDelay = std::chrono::seconds(1);

} // namespace

UnresolvedStore::UnresolvedStore(const Context &C, WriteBatcher &Writes)
    : Context_(C), Writes_(Writes) {}

void UnresolvedStore::record(codec::UnresolvedRow Row) {
  LOG(WARNING) << "requests: " << core::nameOf(Row.Request)
               << " may have run, kept as unresolved";
  Writes_.submitUntilDone({{UnresolvedTable, core::nameOf(Row.Request)},
                           0,
                           codec::toJson(Row),
                           [](RowWriteResult) {}});
}

void UnresolvedStore::list(
    std::function<void(std::optional<std::vector<codec::UnresolvedRow>>)>
        Done) {
  auto OnScan = [Done = std::move(Done)](const store::ScanResult &Result) {
    if (Result.Outcome != store::ReadOutcome::Ok)
      return Done(std::nullopt);
    std::vector<codec::UnresolvedRow> Open;
    for (const store::Row &Row : Result.Rows) {
      codec::UnresolvedRow Parsed = codec::parseUnresolvedRow(Row.Value);
      if (Parsed.State == "open")
        Open.push_back(std::move(Parsed));
    }
    Done(std::move(Open));
  };
  Context_.Tables.scan(UnresolvedTable, "", "", MaxScannedRows,
                       [this, OnScan](const store::ScanResult &Result) {
                         Context_.Control.post(
                             [OnScan, Result] { OnScan(Result); });
                       });
}

void UnresolvedStore::resolve(const core::RequestId &Id, bool Ran,
                              std::string By,
                              std::function<void(ResolveOutcome)> Done) {
  Context_.Tables.read({UnresolvedTable, core::nameOf(Id)},
                       [this, Ran, By = std::move(By), Done = std::move(Done)](
                           const store::ReadResult &Found) {
                         Context_.Control.post([this, Found, Ran, By, Done] {
                           onRead(Found, Ran, By, Done);
                         });
                       });
}

void UnresolvedStore::onRead(const store::ReadResult &Found, bool Ran,
                             const std::string &By,
                             const std::function<void(ResolveOutcome)> &Done) {
  if (Found.Outcome != store::ReadOutcome::Ok)
    return Done(ResolveOutcome::Unavailable);
  if (!Found.Found)
    return Done(ResolveOutcome::NotFound);
  codec::UnresolvedRow Row = codec::parseUnresolvedRow(Found.Found->Value);
  if (Row.State != "open")
    return Done(ResolveOutcome::Conflict);
  Row.State = Ran ? "ran" : "not-run";
  Row.By = By;
  Writes_.submit({{UnresolvedTable, Found.Found->Key},
                  Found.Found->Version,
                  codec::toJson(Row),
                  [this, Row, Done](RowWriteResult Result) {
                    if (Result.Outcome == store::CommitOutcome::Conflict)
                      return Done(ResolveOutcome::Conflict);
                    if (Result.Outcome != store::CommitOutcome::Committed)
                      return Done(ResolveOutcome::Unavailable);
                    resolveClaim(Row);
                    Done(ResolveOutcome::Resolved);
                  }});
}

void UnresolvedStore::resolveClaim(const codec::UnresolvedRow &Row) {
  if (Row.ClaimKey.empty())
    return;
  Context_.Tables.read(
      {ClaimTable, Row.ClaimKey}, [this, Row](const store::ReadResult &Found) {
        Context_.Control.post([this, Row, Found] { onClaimRead(Row, Found); });
      });
}

void UnresolvedStore::onClaimRead(const codec::UnresolvedRow &Row,
                                  const store::ReadResult &Found) {
  if (Found.Outcome != store::ReadOutcome::Ok)
    return Context_.Control.after(ReadRetryDelay,
                                  [this, Row] { resolveClaim(Row); });
  if (!Found.Found)
    return;
  codec::ClaimRow Claim = codec::parseClaimRow(Found.Found->Value);
  bool MayUpdate = Claim.Record.Request == Row.Request &&
                   Claim.Record.State != core::ClaimState::Ended;
  if (!MayUpdate)
    return;
  bool Ran = Row.State == "ran";
  Claim.Record.State = Ran ? core::ClaimState::Ended : core::ClaimState::NotRun;
  Claim.Outcome.BodyDropped = Ran;
  Writes_.submitUntilDone({{ClaimTable, Row.ClaimKey},
                           Found.Found->Version,
                           codec::toJson(Claim),
                           [](RowWriteResult) {}});
}

} // namespace comfreydeck::entry
